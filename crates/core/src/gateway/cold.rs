//! A rate limit for cold endpoints, which handle only a few requests a second for a time after
//! their start.
//!
//! The limit holds for the requests of all gateways together, in any second. Each gateway
//! computes its share without communication: for each endpoint, gateways are ranked by a hash;
//! each gets the integer quotient of the limit and their number, and the first in rank get one
//! more until the remainder is used up. If a gateway counts others that no longer live, the
//! shares are too small, which does no harm.

use std::time::Duration;

use super::quota::Fleet;
use crate::rendezvous::Key;

/// Fraction of the limit that is shared out. Requests sent within one second may arrive within
/// less than a second, which could exceed the full limit at the endpoint.
const SHARED_FRACTION: f64 = 0.8;

/// Window over which the requests to an endpoint are counted: slightly longer than the one
/// second of the limit, since transit times differ between requests.
pub const WINDOW: Duration = Duration::from_millis(1100);

/// The limit of requests that all gateways together may send to one cold endpoint within a
/// second.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bound(pub f64);

/// What operators allow for a cold endpoint beyond the rate that its service declares.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Options {
    /// Factor on the declared rate.
    pub overage: f64,
    /// Requests per second added to the product.
    pub slack: f64,
}

impl Options {
    /// The limit for a service that declares `per_s` requests a second for its cold endpoints.
    #[must_use]
    pub fn bound(self, per_s: f64) -> Bound {
        Bound(per_s * self.overage + self.slack)
    }
}

impl Bound {
    /// The number of requests that the gateway `own` may send to an endpoint within [`WINDOW`],
    /// where `others` are all other gateways.
    #[must_use]
    pub fn share(self, endpoint: Key, own: Key, others: &[Key]) -> usize {
        let (all, count) = ((self.0 * SHARED_FRACTION).max(0.0) as usize, others.len() + 1);
        let rank = || Fleet::new(endpoint, own, others).rank;
        all / count + usize::from(!all.is_multiple_of(count) && rank() < all % count)
    }
}
