//! Selects the engines whose agents report to a gateway (deterministic subsetting).
//!
//! If each agent reported to each gateway, the traffic would grow with the product of their
//! numbers, and most of it would cross the links between regions. So a gateway subscribes to the
//! agents of a subset of the engines, ranked by a hash. In its own region the subset is large
//! enough that its choice is as good as among all engines. In each other region the subset is
//! limited so that the reports from one region to another use a fixed part of their link. With
//! few gateways or engines, the subset contains all engines. Engines outside the subset are
//! queried if no engine in it has capacity.
//!
//! With `G` gateways and `E` engines in a region a gateway receives the reports of at most
//! [`OWN_REGION_ENGINES`] engines of its region (more only if `G` is far below `E`), and an agent
//! reports to about `OWN_REGION_ENGINES * G / E` gateways of its region. A link to another region
//! carries the reports for [`CROSS_REGION_PAIRS`] pairs of an engine and a gateway, or for
//! [`MIN_OTHER_REGION_ENGINES`] engines per gateway if that is more.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::rotation::scheduled;
use crate::rendezvous::{Key, weight};

/// Number of engines of its own region that report to a gateway. Large enough that some have
/// capacity while half of them change their weights, small enough that idle connections are
/// reused.
pub const OWN_REGION_ENGINES: usize = 32;

/// Lower bound on the mean number of gateways of its own region that an agent reports to.
const MIN_GATEWAYS_PER_ENGINE: usize = 8;

/// Number of pairs of an engine and a gateway whose reports are sent over one link between two
/// regions.
pub const CROSS_REGION_PAIRS: usize = 450;

/// Lower bound on the number of engines of each other region that report to a gateway.
pub const MIN_OTHER_REGION_ENGINES: usize = 4;

/// Interval at which a gateway renews its subscriptions.
pub const RENEWAL_INTERVAL: Duration = Duration::from_millis(500);

/// How long a subscription lasts after its last renewal. Long, so that a gateway receives reports
/// again as soon as a network partition ends.
const LEASE: Duration = Duration::from_secs(30);

/// Number of engines that a gateway subscribes to in its own region, which has `engines` engines
/// and `gateways` gateways.
#[must_use]
pub fn own_region_count(engines: usize, gateways: usize) -> usize {
    OWN_REGION_ENGINES
        .max((MIN_GATEWAYS_PER_ENGINE * engines).div_ceil(gateways.max(1)))
        .min(engines)
}

/// Number of engines that a gateway subscribes to in each other region, if its own region has
/// `gateways` gateways.
#[must_use]
pub fn other_region_count(gateways: usize) -> usize {
    MIN_OTHER_REGION_ENGINES.max(CROSS_REGION_PAIRS / gateways.max(1))
}

/// The `count` engines that a gateway ranks highest, by rendezvous hashing of their addresses.
#[must_use]
pub fn top_ranked(gateway: Key, mut engines: Vec<SocketAddr>, count: usize) -> Vec<SocketAddr> {
    if engines.len() > count {
        let rank = |engine: &SocketAddr| Reverse(weight(gateway, Key::of_address(*engine)));
        engines.sort_by_cached_key(rank);
        engines.truncate(count);
    }
    engines
}

/// The gateways that have subscribed to an agent's reports, with the end of each subscription.
#[derive(Debug, Default)]
pub struct Subscribers(BTreeMap<SocketAddr, Duration>);

impl Subscribers {
    /// Adds a gateway or extends its subscription, and removes subscriptions that have ended.
    pub fn renew(&mut self, gateway: SocketAddr, now: Duration) {
        self.0.retain(|_, until| *until > now);
        self.0.insert(gateway, now + LEASE);
    }

    /// The gateways whose subscriptions have not ended.
    #[must_use]
    pub fn active(&self, now: Duration) -> Vec<SocketAddr> {
        let active = self.0.iter().filter(|(_, until)| **until > now);
        active.map(|(gateway, _)| *gateway).collect()
    }

    /// Those of `gateways` that an agent reports to at a tick.
    #[must_use]
    pub fn scheduled(gateways: &[SocketAddr], tick: usize) -> Vec<SocketAddr> {
        scheduled(gateways.len(), tick).map(|number| gateways[number]).collect()
    }
}
