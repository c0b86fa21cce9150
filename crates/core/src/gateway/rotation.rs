//! Which gateways an agent tells of its engine, and when.
//!
//! An agent asks its engine ten times a second. Were it to tell all gateways each
//! time, what agents send would grow with the product of both numbers; so it tells
//! some of them each time.

/// How many gateways an agent tells at a time: where there are more, they take
/// turns.
const TOLD_AT_ONCE: usize = 14;

/// The most turns: a report is [fresh](super::load::MAX_REPORT_AGE) for twice as long, so
/// one may be lost.
const MOST_TURNS: usize = 3;

/// Which of so many gateways an agent tells at a tick, by their numbers.
pub fn scheduled(gateways: usize, tick: usize) -> impl Iterator<Item = usize> {
    let turns = gateways.div_ceil(TOLD_AT_ONCE).clamp(1, MOST_TURNS);
    (0..gateways).skip(tick % turns).step_by(turns)
}

/// After how many questions the ones that go to the last answerer recur: no
/// multiple of any number of turns, so that all gateways are asked in the end.
const ROUND: usize = 5;

/// Whether an agent's next question goes to whoever answered last, which most
/// likely lives, and not to any other gateway.
#[must_use]
pub fn queries_last_responder(question: usize) -> bool {
    matches!(question % ROUND, 0 | 2)
}
