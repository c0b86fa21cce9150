//! How often and to how many peers a gateway sends gossip, and when a silent peer stops counting.
//!
//! Each gateway periodically sends its state to one random peer. The more gateways there are, the
//! longer the interval between two messages from any one of them to any other.

use std::time::Duration;

/// How often a gateway sends its state to a random peer, whether or not the state has changed.
pub const PERIOD: Duration = Duration::from_millis(500);

/// The liveness timeout in multiples of the mean interval between messages from one gateway to
/// another.
///
/// At any moment one in e^4 live gateways, or 2 in 100, has been silent for longer.
const TIMEOUT_FACTOR: u32 = 4;

/// The shortest liveness timeout: on a busy machine messages are late even among few gateways.
const MIN_TIMEOUT: Duration = Duration::from_secs(5);

/// Returns how long after its last message a gateway still counts as live, for a gateway that
/// knows `others` peers.
///
/// Estimates of what other gateways send rest on the number of live ones. What must never be
/// exceeded may not: a silent gateway may be partitioned from this one and go on sending.
#[must_use]
pub fn liveness_timeout(others: usize) -> Duration {
    let others = u32::try_from(others).unwrap_or(u32::MAX);
    PERIOD.saturating_mul(others).saturating_mul(TIMEOUT_FACTOR).max(MIN_TIMEOUT)
}

/// How long a silent gateway still counts where gateways divide a budget by rank, at least: it may
/// be partitioned from this one and go on sending.
const MIN_RIVAL_TIMEOUT: Duration = Duration::from_secs(60);

/// Returns how long after its last message a gateway still counts where gateways divide a budget
/// by rank, for a gateway that knows `others` peers. Counting one that has ended leaves its share
/// unused; missing one that is live exceeds the budget.
#[must_use]
pub fn rival_timeout(others: usize) -> Duration {
    liveness_timeout(others).max(MIN_RIVAL_TIMEOUT)
}

/// How long gateways need to learn of a new one, so that all rank the same gateways.
pub const SETTLING: Duration = Duration::from_secs(5);

/// How long a gateway that starts waits for a message of another one before it is ready: it
/// cannot know that all others have ended.
pub const FIRST_CONTACT: Duration = Duration::from_secs(1);

/// How much larger the fanout is than the natural logarithm of the number of gateways.
///
/// Each gateway that receives an update forwards it to as many peers, so all but one in e^(e^6)
/// updates reach every gateway. The periodic messages repair the rest.
const FANOUT_MARGIN: f64 = 6.0;

/// Returns to how many random peers a gateway sends an update at once.
///
/// With all of them, the datagrams for one update would grow with the square of the number of
/// gateways: 149 gateways with some changes a second each filled the links between regions, and
/// endpoints behind these links could not renew their entries.
#[must_use]
pub fn fanout(others: usize) -> usize {
    let fanout = ((others + 1) as f64).ln() + FANOUT_MARGIN;
    others.min(fanout.ceil() as usize)
}
