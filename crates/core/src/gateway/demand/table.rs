//! The request rates that other gateways report, and what is forwarded of them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::super::name::Service;
use crate::rendezvous::Key;

/// How long a figure counts after it was measured. Demand may double within seconds, so an older
/// figure is no better than the assumption that replaces it.
pub const MAX_AGE: Duration = Duration::from_secs(10);

/// The most updates in one message, at up to 16 bytes each: they have to fit into one packet
/// together with the rest of the message.
pub const MAX_UPDATES: usize = 32;

/// How many of the updates in a message are at most the sender's own.
const MAX_OWN: usize = 16;

/// How many of these are of the services with the highest rates. The others take turns, so that
/// all are reported also by a gateway of many services.
const HIGHEST_OWN: usize = 8;

/// The hash of the name of a gateway or a service. It is short since each message has many.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Tag(u32);

impl Tag {
    /// The tag of a gateway.
    #[must_use]
    pub fn of_gateway(address: SocketAddr) -> Self {
        Self(Key::of_address(address).as_u64() as u32)
    }

    /// The tag of a service.
    #[must_use]
    pub fn of_service(service: &Service) -> Self {
        Self(Key::of(service.as_str()).as_u64() as u32)
    }
}

/// The rate of a service's requests at a gateway, as one gateway reports it to another.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Update {
    /// The gateway that receives the requests.
    pub gateway: Tag,
    /// The service.
    pub service: Tag,
    /// Requests per second.
    pub per_s: f32,
    /// How long ago the gateway measured it, in milliseconds. Clocks differ, so updates name ages
    /// rather than times.
    pub age_ms: u32,
}

/// A rate as it was received.
#[derive(Debug, Clone, Copy)]
struct Figure {
    per_s: f32,
    // Its age when it was received. It may exceed the time since this process started.
    age: Duration,
    received_at: Duration,
}

impl Figure {
    fn age(&self, now: Duration) -> Duration {
        self.age + now.saturating_sub(self.received_at)
    }
}

/// The last known request rates at other gateways.
// Invariant: there is no figure of the table's own gateway.
#[derive(Debug)]
pub struct Table {
    own: Tag,
    // By service and gateway.
    figures: BTreeMap<(Tag, Tag), Figure>,
    // The service after which the own updates that take turns begin.
    last_turn: Option<Tag>,
}

impl Table {
    /// Creates the empty table of a gateway.
    #[must_use]
    pub fn new(own: Tag) -> Self {
        Self { own, figures: BTreeMap::new(), last_turn: None }
    }

    /// Records the rate of a service's requests that a gateway measured some time ago. Of several
    /// figures the one that was measured last counts.
    pub fn observe(
        &mut self,
        gateway: Tag,
        service: Tag,
        per_s: f32,
        age: Duration,
        now: Duration,
    ) {
        let is_valid = per_s.is_finite() && per_s >= 0.0;
        if gateway == self.own || age >= MAX_AGE || !is_valid {
            return;
        }
        let known = self.figures.get(&(service, gateway));
        if known.is_none_or(|known| age < known.age(now)) {
            self.figures.insert((service, gateway), Figure { per_s, age, received_at: now });
        }
    }

    /// Merges the updates of another gateway.
    pub fn merge(&mut self, updates: &[Update], now: Duration) {
        for Update { gateway, service, per_s, age_ms } in updates {
            let age = Duration::from_millis(u64::from(*age_ms));
            self.observe(*gateway, *service, *per_s, age, now);
        }
    }

    /// Returns updates for another gateway: the own rate of each service, measured now, and the
    /// freshest figures of others.
    #[must_use]
    pub fn updates(&mut self, own: &[(Tag, f64)], now: Duration) -> Vec<Update> {
        self.figures.retain(|_, figure| figure.age(now) < MAX_AGE);
        let own = self.select_own(own).into_iter().map(|(service, per_s)| Update {
            gateway: self.own,
            service,
            per_s: per_s as f32,
            age_ms: 0,
        });
        let mut updates: Vec<Update> = own.collect();
        updates.extend(self.freshest(MAX_UPDATES - updates.len(), now));
        updates
    }

    /// Selects which of the own rates a message reports.
    fn select_own(&mut self, rates: &[(Tag, f64)]) -> Vec<(Tag, f64)> {
        let mut rates = rates.to_vec();
        if rates.len() > MAX_OWN {
            rates.sort_unstable_by(|one, other| other.1.total_cmp(&one.1));
            let mut others = rates.split_off(HIGHEST_OWN);
            others
                .sort_unstable_by_key(|(service, _)| (Some(*service) <= self.last_turn, *service));
            others.truncate(MAX_OWN - HIGHEST_OWN);
            self.last_turn = others.last().map(|(service, _)| *service);
            rates.extend(others);
        }
        rates
    }

    /// The freshest figures of other gateways.
    fn freshest(&self, count: usize, now: Duration) -> Vec<Update> {
        let mut figures: Vec<_> = self
            .figures
            .iter()
            .map(|((service, gateway), figure)| (figure.age(now), *service, *gateway, figure.per_s))
            .collect();
        figures.sort_unstable_by_key(|(age, service, gateway, _)| (*age, *service, *gateway));
        figures.truncate(count);
        let update = |(age, service, gateway, per_s): (Duration, Tag, Tag, f32)| {
            let age_ms = u32::try_from(age.as_millis()).unwrap_or(u32::MAX);
            Update { gateway, service, per_s, age_ms }
        };
        figures.into_iter().map(update).collect()
    }

    /// Returns the estimated rate of a service's requests at other live gateways together: their
    /// figures, and the own rate for each of them whose figure is not known.
    #[must_use]
    pub fn others(&self, service: Tag, live: &[Tag], own: f64, now: Duration) -> f64 {
        let others = live.iter().filter(|gateway| **gateway != self.own);
        let rates = others.map(|gateway| {
            let known = self.figures.get(&(service, *gateway));
            let known = known.filter(|figure| figure.age(now) < MAX_AGE);
            known.map_or(own, |figure| f64::from(figure.per_s))
        });
        rates.sum()
    }
}
