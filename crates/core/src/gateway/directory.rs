//! The endpoints that the platform lists.
//!
//! A [`Directory`] holds one [`Entry`] per endpoint, with its state: ready or draining. While
//! the platform is unreachable, entries expire although their endpoints live. Therefore the
//! [`Tracker`] retains entries that are removed shortly after an outage until their endpoints
//! have had time to renew them. It does so too with entries that are missing when the platform
//! comes back from an older copy of itself, and does not use those of the copy whose endpoints have
//! ended since.

mod tracker;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

pub use self::tracker::{Counts, Tracker};
use super::name::{Endpoint, Model, Service, Zone};
use super::rollout::Version;

/// How long after the end of an outage an expired entry is retained.
///
/// Endpoints renew their entries about every second, so an expired entry is back within two
/// seconds; the rest is transit time.
pub const RETENTION: Duration = Duration::from_millis(2200);

/// Upper limit of [`RETENTION`], counted from the last time at which the platform was known to
/// be unreachable: the end of an outage is detected up to 1.2 s late, and an endpoint that has
/// ended may receive no request later than 3 s after that end.
pub const MAX_RETENTION: Duration = Duration::from_millis(2850);

/// How long after the end of an outage a removal may still stem from the outage itself.
const FIRST_UPDATES: Duration = Duration::from_millis(300);

/// How long an entry is retained whose removal comes too late after an outage to stem from it.
/// Endpoints renew their entries about every 1.2 s, so the entry of an endpoint that lives is
/// back by then. An endpoint that has ended may receive no request 2 s after its entry was
/// removed.
pub const RENEWAL_RETENTION: Duration = Duration::from_millis(1500);

/// Whether an endpoint accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// It accepts new requests.
    Ready,
    /// It is about to end and accepts none.
    Draining,
}

/// The start time of an endpoint, in milliseconds of Unix time by its instance's clock. That
/// clock may step, so two start times only tell two runs apart; they do not order them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start(pub u64);

/// An endpoint as the platform lists it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Its service.
    pub service: Service,
    /// The address at which it serves requests.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Zone,
    /// Number of requests that it handles concurrently.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub state: State,
    /// Remaining warm-up time when the endpoint wrote the entry.
    pub cold: Duration,
    /// The models of which it holds all layers, with their versions.
    pub models: Vec<(Model, Version)>,
    /// Whether the endpoint held layers of a model, all or some, when it wrote the entry.
    pub reports_models: bool,
    /// Its start time, if the platform lists it. An endpoint that restarts may keep its name, and
    /// has no state from its previous run.
    pub start: Option<Start>,
}

impl Entry {
    /// Whether the endpoint accepts new requests.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.state == State::Ready
    }

    /// Whether this entry and another of the same name describe the same run of the endpoint.
    #[must_use]
    pub fn is_same_run(&self, other: &Self) -> bool {
        self.address == other.address && self.start == other.start
    }
}

/// The list of endpoints at one revision.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Directory {
    /// The endpoints, by name.
    pub entries: BTreeMap<Endpoint, Entry>,
    /// Retained entries: endpoints whose entries expired around an outage, and how much longer
    /// each is retained unless it is renewed. Gateways send the remaining times along: if each
    /// gateway started a new time, an endpoint that has ended would be passed from one gateway
    /// to the next for good.
    pub retained: BTreeMap<Endpoint, Duration>,
    /// Endpoints whose entry exists but cannot be used. Such entries are never retained.
    pub unusable: BTreeSet<Endpoint>,
}

/// A change of one entry.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    /// The entry was added or replaced.
    Put(Endpoint, Entry),
    /// The entry was removed.
    Removed(Endpoint),
    /// The entry cannot be used: it was not written by the endpoint, or cannot be parsed.
    Unusable(Endpoint),
}
