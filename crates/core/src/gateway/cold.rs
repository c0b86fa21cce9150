//! Endpoints that bear only a few requests a second for a time after their start.
//!
//! The bound holds for the requests of all gateways together, in any second. Each gateway has a
//! share of it that needs no word from the others: gateways rank each other for each endpoint by
//! a hash, the whole part of the quotient goes to each of them, and the rest to the first ones.
//! Where a gateway knows of more others than live, the shares are too small, which breaks
//! nothing.

use std::collections::VecDeque;
use std::time::Duration;

use crate::rendezvous::{Key, weight};

/// The part of the bound that is shared out: what was sent within a second may arrive within
/// less than one.
const PART: f64 = 0.8;

/// The time in which the requests to an endpoint are counted: a little over the second of the
/// bound, since requests are on their way for different times.
const WINDOW: Duration = Duration::from_millis(1100);

/// The most requests that gateways together may send to one cold endpoint within a second.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bound(pub f64);

/// What operators allow to a cold endpoint beside what its service declares.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Options {
    /// How many times the declared rate.
    pub overage: f64,
    /// Requests beyond that.
    pub slack: f64,
}

impl Options {
    /// The bound of a service whose cold endpoints are declared to bear so many requests a
    /// second.
    #[must_use]
    pub fn bound(self, per_s: f64) -> Bound {
        Bound(per_s * self.overage + self.slack)
    }
}

impl Bound {
    /// How many requests a gateway may send to an endpoint within [`WINDOW`], where it and the
    /// others are known by their keys.
    #[must_use]
    pub fn share(self, endpoint: Key, own: Key, others: &[Key]) -> usize {
        let (all, count) = ((self.0 * PART).max(0.0) as usize, others.len() + 1);
        let rank = |gateway: Key| (weight(endpoint, gateway), gateway);
        let before = || others.iter().filter(|other| rank(**other) > rank(own)).count();
        all / count + usize::from(!all.is_multiple_of(count) && before() < all % count)
    }
}

/// The requests that a gateway has lately sent to an endpoint.
// Invariant: in the order of time.
#[derive(Debug, Default)]
pub struct Sends(VecDeque<Duration>);

impl Sends {
    /// Adds a request that is sent now.
    pub fn add(&mut self, now: Duration) {
        self.forget(now);
        self.0.push_back(now);
    }

    /// How many were sent within the window that ends now.
    #[must_use]
    pub fn count(&self, now: Duration) -> usize {
        self.0.iter().filter(|sent| **sent + WINDOW > now).count()
    }

    fn forget(&mut self, now: Duration) {
        while self.0.front().is_some_and(|sent| *sent + WINDOW <= now) {
            self.0.pop_front();
        }
    }
}
