//! Which gateways an agent reports to at each tick, and which one it queries.
//!
//! An agent polls its engine ten times a second. If it reported to all gateways each time, its
//! traffic would grow with the product of the numbers of agents and gateways. So it reports to
//! a part of them at each tick, in rotation.

/// Number of gateways that an agent reports to at each tick. The gateways rotate if there are
/// more.
const GATEWAYS_PER_TICK: usize = 14;

/// Upper bound on the ticks per rotation. A report is valid for
/// [twice as long](super::load::MAX_REPORT_AGE) as a rotation takes, so that one may be lost.
const MAX_TICKS: usize = 3;

/// The gateways, by their indices, that an agent reports to at a tick.
pub fn scheduled(gateways: usize, tick: usize) -> impl Iterator<Item = usize> {
    let ticks = gateways.div_ceil(GATEWAYS_PER_TICK).clamp(1, MAX_TICKS);
    (0..gateways).skip(tick % ticks).step_by(ticks)
}

/// Number of queries after which the pattern of [`queries_last_responder`] repeats. It is not a
/// multiple of any length of a rotation, so that every gateway is queried eventually.
const PATTERN_LENGTH: usize = 5;

/// Whether an agent sends a query to the gateway that responded last, which is the most likely
/// to be alive, rather than to the next gateway of the rotation.
#[must_use]
pub fn queries_last_responder(query: usize) -> bool {
    matches!(query % PATTERN_LENGTH, 0 | 2)
}
