//! How gateways hear of each other while there is no news.
//!
//! Each one tells one of the others at random from time to time, so the more
//! there are, the longer each is silent towards any other.

use std::time::Duration;

/// How often a gateway tells another one what it knows, news or not.
pub const PERIOD: Duration = Duration::from_millis(500);

/// How many times the mean silence between two gateways one that lives may be
/// silent for: one in e^4, or 2 in 100, is silent for longer at any moment, which
/// the part of the budget that is never spent makes good many times over.
const PATIENCE: u32 = 4;

/// The least time for which a silent gateway counts: news among few are told late
/// on a busy machine.
const LEAST: Duration = Duration::from_secs(5);

/// For how long a gateway that is not heard of counts as one that takes requests,
/// for one that knows of so many others.
///
/// Gateways divide among them what all may spend together. One that is counted
/// after its end makes the shares too small, which breaks no promise; one that
/// lives and is not counted makes them too large.
#[must_use]
pub fn patience(others: usize) -> Duration {
    let others = u32::try_from(others).unwrap_or(u32::MAX);
    PERIOD.saturating_mul(others).saturating_mul(PATIENCE).max(LEAST)
}
