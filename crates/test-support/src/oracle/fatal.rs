//! Judging how often a request reaches endpoints under which each of them ends.

use std::time::Duration;

use super::disturbance::Window;
use super::judge::{Bounds, Breach, Facts, MARGIN, Promise};

/// Under how many ends of endpoints a request has been before it is to be held back.
const ENDS: usize = 3;

/// How often it may reach endpoints after that, as the platform allows.
const ALLOWED: usize = 3;

/// An arrival of the request at an endpoint, which it ends.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    /// The gateway that it was sent to.
    pub gateway: usize,
    /// When its caller sent it.
    pub sent: Duration,
    /// When it reached the endpoint.
    pub came: Duration,
}

/// Judges all arrivals, in the order in which they came; `run` is how long an endpoint
/// works on the request before it ends.
pub fn judge(
    arrivals: &[Arrival],
    run: Duration,
    facts: &Facts,
    bounds: &Bounds,
) -> Option<Breach> {
    let third = arrivals.get(ENDS - 1)?;
    let due = third.came + run + bounds.contact + MARGIN;
    let undisturbed = |arrival: &&Arrival| {
        let from = arrival.sent.saturating_sub(bounds.contact);
        let window = Window { from, until: arrival.came, gateway: arrival.gateway, endpoint: None };
        !facts.disturbances.iter().any(|disturbance| disturbance.touches(&window))
    };
    let late = arrivals.iter().filter(|arrival| arrival.sent > due);
    let late: Vec<_> = late.filter(undisturbed).collect();
    let last = late.last().filter(|_| late.len() > ALLOWED)?;
    let what = format!(
        "a request under which {ENDS} endpoints had ended reached {} more, {} in all",
        late.len(),
        arrivals.len(),
    );
    Some(Breach { promise: Promise::HeldBack, at: last.came, excused: false, what })
}
