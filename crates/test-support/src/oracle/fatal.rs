//! Judging how often a request, or requests with a part in common, reach endpoints under which
//! each of them ends, and whether sound requests beside them are served.

use std::time::Duration;

use super::disturbance::Window;
use super::judge::{Bounds, Breach, Facts, MARGIN, Promise};

/// Under how many ends of endpoints a request has been before it is to be held back.
const ENDS: usize = 3;

/// The same of requests with a part in common.
const ENDS_OF_PART: usize = 5;

/// How often they may reach endpoints after that, as the platform allows.
const ALLOWED: usize = 3;

/// How often sound requests begin at least beside such requests, as a part of how often before.
const LEAST: f64 = 0.5;

/// Fewer sound requests than this, before or beside, tell nothing.
const FEWEST: usize = 20;

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
    let what = format!("a request under which {ENDS} endpoints had ended");
    let late = |arrival: &Arrival| arrival.sent > due;
    held_back(arrivals, late, |arrival| arrival.sent, &what, facts, bounds)
}

/// Judges all arrivals of requests with a part under which endpoints end, in the order in which
/// they came, by when endpoints ended: gateways may send nothing late, whenever its caller asked.
pub fn judge_part(
    arrivals: &[Arrival],
    ends: &[Duration],
    facts: &Facts,
    bounds: &Bounds,
) -> Option<Breach> {
    let due = *ends.get(ENDS_OF_PART - 1)? + bounds.contact + MARGIN;
    let what = format!("requests with a part under which {ENDS_OF_PART} endpoints had ended");
    let late = |arrival: &Arrival| arrival.came > due;
    held_back(arrivals, late, |arrival| arrival.came, &what, facts, bounds)
}

/// Counts the late arrivals from gateways that were undisturbed for a while before they sent.
fn held_back(
    arrivals: &[Arrival],
    late: impl Fn(&Arrival) -> bool,
    begun: impl Fn(&Arrival) -> Duration,
    what: &str,
    facts: &Facts,
    bounds: &Bounds,
) -> Option<Breach> {
    let undisturbed =
        |arrival: &&Arrival| in_touch(arrival.gateway, begun(arrival), arrival.came, facts, bounds);
    let late: Vec<_> =
        arrivals.iter().filter(|arrival| late(arrival)).filter(undisturbed).collect();
    let last = late.last().filter(|_| late.len() > ALLOWED)?;
    let what = format!("{what} reached {} more, {} in all", late.len(), arrivals.len());
    Some(Breach { promise: Promise::HeldBack, at: last.came, excused: false, what })
}

/// Whether nothing disturbed a gateway in a time, nor for a while before it.
fn in_touch(
    gateway: usize,
    from: Duration,
    until: Duration,
    facts: &Facts,
    bounds: &Bounds,
) -> bool {
    let from = from.saturating_sub(bounds.contact);
    let window = Window { from, until, gateway, endpoint: None };
    !facts.disturbances.iter().any(|disturbance| disturbance.touches(&window))
}

/// A sound request of the route, with the same key or first part.
#[derive(Debug, Clone, Copy)]
pub struct Sound {
    /// The gateway that it was sent to.
    pub gateway: usize,
    /// When its caller sent it.
    pub sent: Duration,
    /// Whether an endpoint began it.
    pub has_begun: bool,
}

/// How often sound requests began.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Begun {
    /// Of those before the first end.
    pub before: Share,
    /// Of those beside requests that are held back.
    pub beside: Share,
}

/// How many of so many requests began.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Share {
    /// How many began.
    pub begun: usize,
    /// Of how many.
    pub all: usize,
}

impl Share {
    fn of<'a>(requests: impl Iterator<Item = &'a Sound>) -> Self {
        requests.fold(Self::default(), |share, request| Self {
            begun: share.begun + usize::from(request.has_begun),
            all: share.all + 1,
        })
    }

    fn part(self) -> f64 {
        self.begun as f64 / self.all.max(1) as f64
    }
}

impl std::fmt::Display for Share {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{} of {}", self.begun, self.all)
    }
}

impl Begun {
    /// Adds up the sound requests at gateways in touch. Those count as beside that were sent from
    /// 2 × `contact` after the fifth end, or the last one, until `last`, when the last request
    /// with the part was sent.
    #[must_use]
    pub fn new(
        sound: &[Sound],
        ends: &[Duration],
        last: Duration,
        facts: &Facts,
        bounds: &Bounds,
    ) -> Self {
        let first = ends.first().copied().unwrap_or(Duration::MAX);
        let known = ends.iter().take(ENDS_OF_PART).next_back();
        let from = known.map_or(Duration::MAX, |end| *end + 2 * bounds.contact + MARGIN);
        let sound = sound.iter();
        let counted = sound.filter(|it| in_touch(it.gateway, it.sent, it.sent, facts, bounds));
        let before = Share::of(counted.clone().filter(|it| it.sent < first));
        let beside = Share::of(counted.filter(|it| (from..=last).contains(&it.sent)));
        Self { before, beside }
    }

    /// What is broken, seen by this time.
    #[must_use]
    pub fn judge(&self, at: Duration) -> Option<Breach> {
        let Self { before, beside } = *self;
        let tells = before.all.min(beside.all) >= FEWEST;
        if !tells || beside.part() >= LEAST * before.part() {
            return None;
        }
        let what = format!("of sound requests {before} began before and {beside} beside");
        Some(Breach { promise: Promise::Beside, at, excused: false, what })
    }
}
