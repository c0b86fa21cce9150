//! How gateways hear of each other, and of news.
//!
//! Each one tells one of the others at random from time to time, so the more
//! there are, the longer each is silent towards any other.

use std::time::Duration;

/// How often a gateway tells another one what it knows, news or not.
pub const PERIOD: Duration = Duration::from_millis(500);

/// How many times the mean silence between two gateways one that lives may be
/// silent for: one in e^4, or 2 in 100, is silent for longer at any moment, which
/// the part of the budget that is never spent makes good many times over.
const TIMEOUT_FACTOR: u32 = 4;

/// The least time for which a silent gateway counts: news among few are told late
/// on a busy machine.
const MIN_TIMEOUT: Duration = Duration::from_secs(5);

/// For how long a gateway that is not heard of counts as one that takes requests,
/// for one that knows of so many others.
///
/// Gateways divide among them what all may spend together. One that is counted
/// after its end makes the shares too small, which breaks no promise; one that
/// lives and is not counted makes them too large.
#[must_use]
pub fn liveness_timeout(others: usize) -> Duration {
    let others = u32::try_from(others).unwrap_or(u32::MAX);
    PERIOD.saturating_mul(others).saturating_mul(TIMEOUT_FACTOR).max(MIN_TIMEOUT)
}

/// How many more gateways are told of news than the logarithm of all.
///
/// Whoever learns of it tells as many again, so all but one in e^(e^6) rounds of
/// telling reach everybody; the digests that are sent without news heal the rest.
const BEYOND_LOG: f64 = 6.0;

/// How many others, drawn at random, a gateway tells of news at once.
///
/// Were it all of them, each piece of news would cost the square of their number in
/// datagrams: of 149 gateways, each with some changes a second, enough to fill the
/// links between regions, behind which endpoints then could not renew their entries.
#[must_use]
pub fn fanout(others: usize) -> usize {
    let told = ((others + 1) as f64).ln() + BEYOND_LOG;
    others.min(told.ceil() as usize)
}
