//! Routing: selects the replica that serves a request.
//!
//! Requests with the same prefix go to the same replica, whose prefix cache
//! makes it faster, unless its load is clearly above the mean (rendezvous
//! hashing with bounded loads). The load of a replica is the larger of the
//! outstanding requests of this instance and the endpoint's own report, which
//! lags.

use std::net::SocketAddr;

use cinderspoke_types::id::Instance;

use crate::rendezvous::{Key, weight};

/// The load, relative to the mean, up to which a replica is selected for its prefixes.
const LOAD_FACTOR: f64 = 1.25;

/// The requests that a replica may have beyond the bound, so that low loads do not count as busy.
const LOAD_SLACK: u32 = 2;

/// The distance from the entry instance to a replica.
pub use crate::swarm::Distance;

/// A replica that can serve a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// The replica's instance.
    pub instance: Instance,
    /// The instance's name, hashed.
    pub key: Key,
    /// The address of the instance's agent.
    pub address: SocketAddr,
    /// The distance from the entry instance.
    pub distance: Distance,
    /// Outstanding requests of this entry instance to the replica.
    pub in_flight: u32,
    /// Requests running or queued at the replica, as last reported.
    pub reported: u32,
}

impl Candidate {
    /// The estimated number of requests at the replica.
    fn load(&self) -> u32 {
        self.in_flight.max(self.reported)
    }
}

/// The properties of a request that routing uses.
#[derive(Debug, Clone, Copy, Default)]
pub struct Request {
    /// The hash of the prefix that the request shares with others, if it has one.
    pub prefix: Option<Key>,
    /// A number that differs from request to request.
    pub salt: u64,
}

/// Picks the replica to serve a request; `None` only if there are no candidates.
///
/// The nearest candidates come first, unless all of them are above the load
/// bound. If all candidates are, the least loaded one is picked.
#[must_use]
pub fn pick<'a>(request: &Request, candidates: &'a [Candidate]) -> Option<&'a Candidate> {
    let bound = bound(candidates);
    for distance in [Distance::Zone, Distance::Region, Distance::Far] {
        let near =
            |candidate: &&Candidate| candidate.distance == distance && candidate.load() <= bound;
        let near: Vec<_> = candidates.iter().filter(near).collect();
        if let Some(choice) = choose(request, &near) {
            return Some(choice);
        }
    }
    candidates.iter().min_by_key(|candidate| candidate.load())
}

/// The load above which a replica is not selected for its prefix or distance.
fn bound(candidates: &[Candidate]) -> u32 {
    let total: u32 = candidates.iter().map(Candidate::load).sum();
    let mean = f64::from(total) / candidates.len().max(1) as f64;
    // Loads are small integers that both types represent exactly.
    (mean * LOAD_FACTOR).ceil() as u32 + LOAD_SLACK
}

fn choose<'a>(request: &Request, near: &[&'a Candidate]) -> Option<&'a Candidate> {
    match request.prefix {
        Some(prefix) => near.iter().copied().max_by_key(|candidate| weight(prefix, candidate.key)),
        None => two_choices(request.salt, near),
    }
}

/// The less loaded of two replicas that the salt selects (power of two choices).
fn two_choices<'a>(salt: u64, near: &[&'a Candidate]) -> Option<&'a Candidate> {
    let pick = |number: u64| -> Option<&'a Candidate> {
        let hashed = weight(Key::of_number(salt), Key::of_number(number));
        let index = hashed.checked_rem(near.len() as u64)?;
        near.get(usize::try_from(index).ok()?).copied()
    };
    [pick(0), pick(1)].into_iter().flatten().min_by_key(|candidate| candidate.load())
}
