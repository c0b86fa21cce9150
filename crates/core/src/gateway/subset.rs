//! Which engines' agents report to a gateway.
//!
//! Were each agent to report to each gateway, what agents send would grow with the product of
//! their numbers, and most of it over the links between regions. So a gateway subscribes to the
//! agents of some engines, ranked by a hash: of its own region as many as keep its choice as
//! good as among all, of each other region so many that the reports of one region to another
//! take a fixed part of their link. Where there are few gateways or engines, that is all of
//! them. Engines beyond the subset are asked when one of it has no room.
//!
//! With `G` gateways and `E` engines in a region a gateway receives the reports of at most
//! [`OWN_REGION_ENGINES`] engines of its region (more only where `G` is far below `E`), an agent reports to
//! some `OWN_REGION_ENGINES * G / E` of its gateways, and over a link to another region go the reports for
//! [`CROSS_REGION_PAIRS`] pairs of an engine and a gateway, or [`MIN_OTHER_REGION_ENGINES`] for each gateway.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::rotation::scheduled;
use crate::rendezvous::{Key, weight};

/// How many engines of its own region a gateway has reports of: enough for some to have room
/// while half of them change their weights, few enough that a kept connection is used again.
pub const OWN_REGION_ENGINES: usize = 32;

/// How many gateways of its own region an engine is reported to on average, at least.
const LEAST_TOLD: usize = 8;

/// How many pairs of an engine and a gateway of another region are told of each other over one
/// link between two regions.
pub const CROSS_REGION_PAIRS: usize = 450;

/// How many engines of each other region a gateway has reports of, at least.
pub const MIN_OTHER_REGION_ENGINES: usize = 4;

/// How often a gateway says that it wants an agent's reports.
pub const RENEWAL_INTERVAL: Duration = Duration::from_millis(500);

/// How long an agent reports to a gateway that says nothing more. Long, so that one behind a
/// link that is cut has reports as soon as the cut ends.
const LEASE: Duration = Duration::from_secs(30);

/// How many engines of its own region a gateway subscribes to, where there are so many engines
/// and gateways in it.
#[must_use]
pub fn own_region_count(engines: usize, gateways: usize) -> usize {
    OWN_REGION_ENGINES.max((LEAST_TOLD * engines).div_ceil(gateways.max(1))).min(engines)
}

/// How many engines of one other region a gateway subscribes to, where there are so many
/// gateways in its own.
#[must_use]
pub fn other_region_count(gateways: usize) -> usize {
    MIN_OTHER_REGION_ENGINES.max(CROSS_REGION_PAIRS / gateways.max(1))
}

/// The first of some engines in a gateway's own ranking, by their addresses.
#[must_use]
pub fn top_ranked(gateway: Key, mut engines: Vec<SocketAddr>, count: usize) -> Vec<SocketAddr> {
    if engines.len() > count {
        let rank = |engine: &SocketAddr| Reverse(weight(gateway, Key::of_address(*engine)));
        engines.sort_by_cached_key(rank);
        engines.truncate(count);
    }
    engines
}

/// The gateways that want an agent's reports, and until when.
#[derive(Debug, Default)]
pub struct Subscribers(BTreeMap<SocketAddr, Duration>);

impl Subscribers {
    /// Adds a gateway, or keeps it for another lease.
    pub fn renew(&mut self, gateway: SocketAddr, now: Duration) {
        self.0.retain(|_, until| *until > now);
        self.0.insert(gateway, now + LEASE);
    }

    /// All of them.
    #[must_use]
    pub fn active(&self, now: Duration) -> Vec<SocketAddr> {
        let live = self.0.iter().filter(|(_, until)| **until > now);
        live.map(|(gateway, _)| *gateway).collect()
    }

    /// Those whose turn it is at a tick.
    #[must_use]
    pub fn scheduled(gateways: &[SocketAddr], tick: usize) -> Vec<SocketAddr> {
        scheduled(gateways.len(), tick).map(|number| gateways[number]).collect()
    }
}
