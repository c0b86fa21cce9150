//! Judging an attempt by what was promised. Pure: all times come with the facts.

use std::collections::HashMap;
use std::time::Duration;

use super::attempt::{Attempt, End, Run};
use super::disturbance::{Disturbance, Window};

/// By how much all that is bound by a time may come later: the machine runs the
/// stand-ins, the links and all programs, and is shared with others. Milliseconds
/// are usual; a bound missed by more is not the machine's doing.
pub const MARGIN: Duration = Duration::from_millis(300);

/// How long work may go on after its caller left, as the platform allows.
const GONE: Duration = Duration::from_millis(500);

/// How long after a route's time its answer may come, as the platform allows.
pub const LATE: Duration = Duration::from_millis(500);

/// Something that is promised to callers and operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Promise {
    /// An answer is whole and the request's own.
    Mixed,
    /// What may not be repeated runs once.
    Twice,
    /// What is refused has not run.
    Refused,
    /// An endpoint gets what the caller sent.
    Unasked,
    /// An endpoint that leaves gets nothing later than allowed.
    Drain,
    /// Nothing begins on an old version later than allowed.
    Version,
    /// A configuration is in force in time.
    Config,
    /// No answer is cut off.
    Lost,
    /// Each request gets an answer by its route's time.
    Unanswered,
    /// Work ends with its caller.
    Gone,
    /// A program does not end by itself.
    Ended,
    /// A model is made only of the chunks that belong to it.
    Whole,
    /// A request under which endpoints end is held back, and so are those with a part under which
    /// they end.
    HeldBack,
    /// Sound requests beside those that are held back are served about as often as before.
    Beside,
    /// An endpoint whose answer says that it leaves gets nothing later than allowed.
    Noticed,
    /// An endpoint that asks a gateway for rest gets it.
    Rest,
    /// Large requests are served about as often as others.
    Sizes,
    /// An endpoint gets no more from all gateways together than it says it accepts.
    Limit,
    /// A service gets no more requests again than its retry budget allows.
    Budget,
}

/// The least difference between two times.
const TICK: Duration = Duration::from_millis(1);

/// A promise that was not kept.
#[derive(Debug, Clone)]
pub struct Breach {
    /// Which one.
    pub promise: Promise,
    /// When.
    pub at: Duration,
    /// Whether a fault accounts for it.
    pub excused: bool,
    /// What was seen.
    pub what: String,
}

/// The platform's bounds.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// For how long a gateway has to be undisturbed before it is held to a time.
    pub contact: Duration,
    /// How long an endpoint that leaves may get requests.
    pub drain: Duration,
    /// How long requests may begin on an old version.
    pub version: Duration,
    /// Until when a configuration has to be in force.
    pub apply: Duration,
    /// How long after its last byte a request that nobody took may be cut off.
    pub loss_slack: Duration,
}

/// When a route or key was in the operators' configuration.
#[derive(Debug, Clone, Copy)]
pub struct Span {
    /// From when on.
    pub from: Duration,
    /// When it was taken away, if it was.
    pub until: Option<Duration>,
}

/// What the platform had acknowledged, and what was done to the system.
#[derive(Debug, Default)]
pub struct Facts {
    /// By endpoint: when the store took that it leaves, or that its entry is gone.
    pub leaving: HashMap<String, Duration>,
    /// Named versions of the one model, in their order.
    pub versions: Vec<(Duration, u64)>,
    /// By route's prefix or key.
    pub declared: HashMap<String, Span>,
    /// The faults that were played.
    pub disturbances: Vec<Disturbance>,
}

/// Judges an attempt that is over.
pub fn judge(attempt: &Attempt, facts: &Facts, bounds: &Bounds) -> Vec<Breach> {
    let case = Case { attempt, facts, bounds };
    let mut breaches = Vec::from_iter(case.answer());
    breaches.extend(case.repeats());
    breaches.extend(case.configuration());
    breaches.extend(case.end());
    for run in &attempt.runs {
        breaches.extend(case.unasked(run));
        breaches.extend(case.drain(run));
        breaches.extend(case.version(run));
        breaches.extend(case.gone(run));
    }
    breaches
}

struct Case<'a> {
    attempt: &'a Attempt,
    facts: &'a Facts,
    bounds: &'a Bounds,
}

impl Case<'_> {
    fn breach(&self, promise: Promise, at: Duration, excused: bool, what: String) -> Breach {
        let Attempt { id, gateway, route, sent, .. } = self.attempt;
        let sent = sent.as_secs_f64();
        let what = format!("{id} on {route}, sent at {sent:.3} s to gateway {gateway}: {what}");
        Breach { promise, at, excused, what }
    }

    fn window<'a>(&self, from: Duration, until: Duration, endpoint: Option<&'a str>) -> Window<'a> {
        let from = from.saturating_sub(self.bounds.contact);
        Window { from, until, gateway: self.attempt.gateway, endpoint }
    }

    /// Whether the gateway was out of touch at some moment, or the endpoint's path harmed.
    fn disturbed(&self, from: Duration, until: Duration, endpoint: Option<&str>) -> bool {
        let window = self.window(from, until, endpoint);
        self.facts.disturbances.iter().any(|disturbance| disturbance.touches(&window))
    }

    fn ran(&self) -> impl Iterator<Item = &Run> {
        self.attempt.runs.iter().filter(|run| run.ran)
    }

    fn answer(&self) -> Option<Breach> {
        let (at, End::Answered { wrong: Some(wrong), .. }) = self.attempt.end.as_ref()? else {
            return None;
        };
        Some(self.breach(Promise::Mixed, *at, false, wrong.clone()))
    }

    fn repeats(&self) -> Option<Breach> {
        if self.attempt.kind.repeats() {
            return None;
        }
        let mut runs = self.ran();
        let first = runs.next()?;
        if let Some(second) = runs.next() {
            let what = format!("ran at {} and at {}", first.endpoint, second.endpoint);
            return Some(self.breach(Promise::Twice, second.came, false, what));
        }
        match self.attempt.end.as_ref()? {
            (at, End::Answered { status: status @ (408 | 421 | 429 | 503), signed: false, .. }) => {
                let what = format!("{status}, and it ran at {}", first.endpoint);
                Some(self.breach(Promise::Refused, *at, false, what))
            }
            _ => None,
        }
    }

    fn configuration(&self) -> Option<Breach> {
        let Attempt { route, key, sent, .. } = self.attempt;
        let settled = self.bounds.apply + MARGIN;
        let spans = [route, key].map(|name| self.facts.declared.get(name));
        let over = spans.iter().any(|span| {
            let ended = span.map_or(Some(Duration::ZERO), |span| span.until);
            ended.is_some_and(|ended| ended + settled < *sent)
        });
        let (at, end) = self.attempt.end.as_ref()?;
        let due = spans.iter().all(|span| {
            span.is_some_and(|span| {
                span.from + settled < *sent && span.until.is_none_or(|until| until > *at)
            })
        });
        let excused = self.disturbed(*sent, *sent, None);
        let denied = matches!(end, End::Answered { status: 401 | 403 | 404, .. });
        let what = match self.ran().next() {
            Some(run) if over => format!("ran at {} with what was taken away", run.endpoint),
            _ if due && denied => "denied what is allowed".to_owned(),
            _ => return None,
        };
        Some(self.breach(Promise::Config, *sent, excused, what))
    }

    fn end(&self) -> Option<Breach> {
        let (at, end) = self.attempt.end.as_ref()?;
        let sent = self.attempt.sent;
        let excused = self.cut_by_fault(self.window(sent, *at, None))
            || self.attempt.runs.iter().any(|run| run.broken_off);
        let took = (*at - sent).as_secs_f64();
        match end {
            // A request that crosses a close, and is not passed on, is sent again.
            End::Cut if self.ran().next().is_none() && *at <= sent + self.bounds.loss_slack => None,
            End::Cut => {
                Some(self.breach(Promise::Lost, *at, excused, format!("cut off after {took:.3} s")))
            }
            End::Silent => {
                let what = format!("no answer after {took:.3} s");
                Some(self.breach(Promise::Unanswered, *at, excused, what))
            }
            End::Answered { .. } | End::Left => None,
        }
    }

    /// Whether a fault may have cut the answer off, also where it hit the endpoint or
    /// kept the request from all endpoints.
    fn cut_by_fault(&self, window: Window<'_>) -> bool {
        let runs = &self.attempt.runs;
        self.facts.disturbances.iter().any(|it| {
            let on_endpoint =
                |run: &Run| it.cuts(&Window { endpoint: Some(&run.endpoint), ..window });
            let unreached = runs.is_empty() && it.is_on_endpoint() && it.overlaps(&window);
            it.cuts(&window) || unreached || runs.iter().any(on_endpoint)
        })
    }

    fn unasked(&self, run: &Run) -> Option<Breach> {
        let wrong = run.wrong.clone()?;
        Some(self.breach(Promise::Unasked, run.came, false, format!("{}: {wrong}", run.endpoint)))
    }

    fn drain(&self, run: &Run) -> Option<Breach> {
        let said = *self.facts.leaving.get(&run.endpoint)?;
        let after = run.came.checked_sub(said)?;
        if !run.ran || after <= self.bounds.drain + MARGIN {
            return None;
        }
        let binds = self
            .settled(said)
            .is_some_and(|settled| run.came.saturating_sub(settled) > self.bounds.drain + MARGIN);
        let excused = !binds || self.disturbed(run.came, run.came, Some(&run.endpoint));
        let what = format!("reached {} {:.3} s after it left", run.endpoint, after.as_secs_f64());
        Some(self.breach(Promise::Drain, run.came, excused, what))
    }

    /// From when on something binds that the store took at a time: once the store has been well for
    /// long enough; none while it is not.
    fn settled(&self, taken: Duration) -> Option<Duration> {
        let mut settled = taken;
        loop {
            let window = self.window(settled, settled, None);
            let unstable = self.facts.disturbances.iter().filter(|it| it.unsettles(&window));
            let ends: Option<Vec<_>> = unstable.map(|it| it.until).collect();
            match ends?.into_iter().max() {
                Some(end) if end + self.bounds.contact > settled => {
                    settled = end + self.bounds.contact + TICK;
                }
                _ => return Some(settled),
            }
        }
    }

    fn version(&self, run: &Run) -> Option<Breach> {
        let had = run.version.filter(|_| run.ran)?;
        let newer = self.facts.versions.iter().find(|(_, version)| *version > had);
        let (named, newer) = newer?;
        let after = run.came.checked_sub(*named)?;
        if after <= self.bounds.version + MARGIN {
            return None;
        }
        let stretch = Window {
            from: run.came.saturating_sub(self.bounds.version),
            ..self.window(run.came, run.came, Some(&run.endpoint))
        };
        let suspended = self.facts.disturbances.iter().any(|it| it.suspends(&stretch));
        let excused = suspended || self.disturbed(run.came, run.came, Some(&run.endpoint));
        let after = after.as_secs_f64();
        let what = format!(
            "began on version {had} at {} {after:.3} s after {newer} was named",
            run.endpoint
        );
        Some(self.breach(Promise::Version, run.came, excused, what))
    }

    fn gone(&self, run: &Run) -> Option<Breach> {
        let (left, End::Left) = self.attempt.end.as_ref()? else { return None };
        let end = *left + GONE + MARGIN;
        if !self.attempt.kind.ends_with_caller() || !run.ran {
            return None;
        }
        let what = if run.came > end {
            "was sent on after its caller left".to_owned()
        } else if run.ended.is_none_or(|ended| ended > end) {
            format!("work at {} went on after its caller left", run.endpoint)
        } else {
            return None;
        };
        let excused = self.disturbed(*left, end.max(run.came), Some(&run.endpoint));
        Some(self.breach(Promise::Gone, *left, excused, what))
    }
}
