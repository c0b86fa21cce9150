//! Choosing an endpoint for a request, or refusing it while nothing has run.

use std::time::Duration;

use crate::swarm::Distance;

/// What a farther endpoint has to be faster by: its way and the price of the bytes.
const REGION_PENALTY: Duration = Duration::from_millis(8);

/// The same for another region.
const FAR_PENALTY: Duration = Duration::from_millis(16);

/// The part of the time to the first token that may come late and is still sent.
///
/// Estimates err both ways; a refusal that was needless costs more than a late answer.
const TOLERANCE: f64 = 1.15;

/// How long callers wait for a first token at least before they leave.
const PATIENCE: Duration = Duration::from_millis(1800);

/// The least and the most time after which a refused caller is to come back.
const COME_BACK: (Duration, Duration) = (Duration::from_millis(150), Duration::from_millis(1500));

/// An endpoint that could take a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// The caller's number for it.
    pub number: usize,
    /// How near it is.
    pub distance: Distance,
    /// The time until it would begin to answer.
    pub first: Duration,
    /// Whether a request is to find out if it is well again.
    pub trial: bool,
}

/// What is asked for.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Wish {
    /// The time that is left until an answer has begun too late for its full worth.
    pub target: Duration,
    /// The time that is left until the caller needs no answer any more.
    pub deadline: Duration,
    /// Whether the caller was refused before.
    pub returning: bool,
    /// A number that spreads requests among endpoints that are alike.
    pub spread: u64,
}

/// What becomes of a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Choice {
    /// It is sent to this endpoint.
    Send {
        /// The endpoint's number.
        number: usize,
        /// The time until it is expected to begin to answer.
        first: Duration,
    },
    /// It is refused; the caller is to come back after this time.
    Refuse {
        /// When there should be room.
        come_back: Duration,
        /// The time that the best endpoint would have needed; none when there is none.
        best: Option<Duration>,
    },
}

/// Chooses an endpoint for a request.
#[must_use]
pub fn pick(wish: &Wish, candidates: &[Candidate]) -> Choice {
    let cost = |candidate: &Candidate| {
        let penalty = match candidate.distance {
            Distance::Zone => Duration::ZERO,
            Distance::Region => REGION_PENALTY,
            Distance::Far => FAR_PENALTY,
        };
        candidate.first + penalty + jitter(wish.spread, candidate.number)
    };
    // One request finds out whether an endpoint is well; the others need not.
    let best = candidates.iter().min_by_key(|candidate| (cost(candidate), candidate.number));
    let Some(best) = best else {
        return Choice::Refuse { come_back: spread_out(COME_BACK.0 * 2, wish.spread), best: None };
    };
    let limit = if wish.returning {
        wish.deadline.min(wish.target.max(PATIENCE))
    } else {
        wish.target.mul_f64(TOLERANCE).min(wish.deadline)
    };
    if best.first <= limit {
        return Choice::Send { number: best.number, first: best.first };
    }
    let wait = best.first.saturating_sub(wish.target).clamp(COME_BACK.0, COME_BACK.1);
    Choice::Refuse { come_back: spread_out(wait, wish.spread), best: Some(best.first) }
}

/// Up to 6 ms, so that gateways that know the same do not all choose the same endpoint.
fn jitter(spread: u64, number: usize) -> Duration {
    let mixed = crate::rendezvous::Key::of_number(spread ^ (number as u64) << 32).as_u64();
    Duration::from_micros(mixed % 6000)
}

/// A time that differs from caller to caller, up to half longer.
fn spread_out(wait: Duration, spread: u64) -> Duration {
    let part = (spread % 1024) as f64 / 1024.0;
    wait.mul_f64(1.0 + part / 2.0)
}
