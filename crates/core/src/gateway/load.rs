//! What an endpoint is busy with, and when it would answer one more request.
//!
//! An endpoint's agent reports often; what this gateway has sent since the last
//! report comes on top. Engines read prompts and write tokens in turns, so a
//! first token waits mostly for the prompt tokens ahead of it.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::call::Size;
use super::catalog::Engine;
use super::notice::Drain;
use super::reservation;
use super::rollout::Version;
use super::tally::Outstanding;

/// A report older than this says nothing: agents ask their engines ten times a
/// second and tell each gateway at least every third time, and a report may be lost.
pub const MAX_REPORT_AGE: Duration = Duration::from_millis(700);

/// How late a first token may be at least before its endpoint is taken to stand still.
const STUCK: Duration = Duration::from_millis(400);

/// A report that was on its way for so much longer than others tells of a full link.
const DELAYED: Duration = Duration::from_millis(120);

/// What a report is older than when it arrives: asking the engine and the way here.
const REPORT_AGE: Duration = Duration::from_millis(10);

/// The most of an engine's time that is taken to go into reading prompts.
const MOST_READING: f64 = 0.8;

/// The longest time that is forecast, in milliseconds: beyond any deadline.
const MOST_MS: f64 = 600_000.0;

/// How many passes of the engine a first token waits besides reading.
const PASSES: f64 = 1.5;

/// What an endpoint's agent says of it.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Requests that write tokens.
    pub running: u32,
    /// Requests that wait for their first token.
    pub queued: u32,
    /// Tokens in memory that cannot give way.
    pub used: u64,
    /// Tokens that fit into memory.
    pub total: u64,
    /// How much slower than declared it is; 1 is as declared.
    pub slowdown: f32,
    /// The version of the weights with which it answers; none while it has none whole.
    pub version: Option<Version>,
    /// Whether it takes new requests; not while it changes weights.
    pub accepts_requests: bool,
    /// The age of the newest word that its instance had from a gateway.
    pub last_contact_age: Duration,
    /// Whether what goes over its instance's link may be held up for seconds.
    pub is_congested: bool,
    /// Whether the engine says that it leaves.
    pub drain: Option<Drain>,
    /// Tells the processes of an agent apart: each has a clock of its own.
    pub process: u64,
    /// What other gateways than the one that is told have outstanding there.
    pub others: Outstanding,
}

/// An instance that has had no word for so long has a full link: gateways answer
/// its reports ten times a second, and some answers in a row may be lost.
const DEAF: Duration = Duration::from_millis(450);

/// A request that this gateway has sent.
#[derive(Debug, Clone, Copy)]
struct Sent {
    at: Duration,
    // How soon its first token should come.
    first: Duration,
    prompt: u32,
    begun: bool,
}

impl Sent {
    /// Whether its first token is so late that its endpoint stands still, not only is slow.
    fn is_overdue(&self, now: Duration) -> bool {
        !self.begun && self.at + self.first + self.first.max(STUCK) < now
    }
}

/// One endpoint, as this gateway sees it.
#[derive(Debug, Default)]
pub struct Load {
    report: Option<(Duration, Report)>,
    // The least difference between our clock and the agent's, over all reports.
    offset: Option<i128>,
    // How much longer than the fastest the last report was on its way.
    delay: Duration,
    sent: BTreeMap<u64, Sent>,
    /// What its agent was asked, and not decided on yet.
    pub pending: reservation::Pending,
    // When its agent last answered a question.
    answered: Option<Duration>,
    // Requests of this gateway that ended since the last report.
    ended: u32,
}

/// What an endpoint is taken to be busy with.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Estimate {
    /// Requests that it has, those that wait among them.
    pub requests: f64,
    /// Requests that wait for their first token.
    pub waiting: f64,
    /// Prompt tokens to be read before another request's.
    pub unread: f64,
    /// How much slower than declared it is.
    pub slowdown: f64,
}

impl Load {
    /// Takes in a report that has just come, with the agent's own time.
    pub fn apply_report(&mut self, report: Report, told: Duration, now: Duration) {
        let offset = now.as_micros() as i128 - told.as_micros() as i128;
        let before = self.report.as_ref().map(|(_, report)| report.process);
        let least = match self.offset {
            Some(least) if before == Some(report.process) => least.min(offset),
            // Another process has another clock.
            _ => offset,
        };
        self.offset = Some(least);
        self.delay = Duration::from_micros(u64::try_from(offset - least).unwrap_or_default());
        self.report = Some((now.saturating_sub(REPORT_AGE), report));
        self.ended = 0;
    }

    /// Takes in that the last report was its agent's answer to a question.
    pub fn record_answer(&mut self, now: Duration) {
        self.answered = Some(now);
    }

    /// Whether its agent has just answered a question.
    #[must_use]
    pub fn has_recent_answer(&self, now: Duration) -> bool {
        self.answered.is_some_and(|at| at + reservation::ANSWER >= now)
    }

    /// The last report, if it is fresh.
    #[must_use]
    pub fn report(&self, now: Duration) -> Option<&Report> {
        let (at, report) = self.report.as_ref()?;
        (at.saturating_add(MAX_REPORT_AGE) >= now).then_some(report)
    }

    /// How old the last report is; none where there is none that is fresh.
    #[must_use]
    pub fn report_age(&self, now: Duration) -> Option<Duration> {
        let (at, _) = self.report.as_ref()?;
        self.report(now).map(|_| now.saturating_sub(*at))
    }

    /// Whether its agent has reported and then fell silent, or reports come late:
    /// the instance stands still, is cut off, or its link is full.
    #[must_use]
    pub fn is_unreachable(&self, now: Duration) -> bool {
        self.report.is_some()
            && (self.report(now).is_none_or(|report| report.last_contact_age > DEAF)
                || self.delay > DELAYED)
    }

    /// Whether a request of this gateway waits for its first token much longer than it should.
    #[must_use]
    pub fn is_stalled(&self, now: Duration) -> bool {
        self.sent.values().any(|sent| sent.is_overdue(now))
    }

    /// Takes in that a request was sent whose first token should come so soon.
    pub fn record_sent(&mut self, number: u64, prompt: u32, first: Duration, now: Duration) {
        self.sent.insert(number, Sent { at: now, first, prompt, begun: false });
    }

    /// Takes in that a request has its first token.
    pub fn record_first_token(&mut self, number: u64) {
        if let Some(sent) = self.sent.get_mut(&number) {
            sent.begun = true;
        }
    }

    /// Takes in that a request has ended, however it did.
    pub fn record_end(&mut self, number: u64) {
        if let Some(sent) = self.sent.remove(&number)
            && self.report.as_ref().is_some_and(|(at, _)| sent.at < *at)
        {
            self.ended += 1;
        }
    }

    /// How many of this gateway's requests it has.
    #[must_use]
    pub fn own_requests(&self) -> usize {
        self.sent.len()
    }

    /// What this gateway has outstanding there.
    #[must_use]
    pub fn outstanding(&self) -> Outstanding {
        let waiting = || self.sent.values().filter(|sent| !sent.begun);
        Outstanding {
            requests: u32::try_from(self.sent.len()).unwrap_or(u32::MAX),
            waiting: u32::try_from(waiting().count()).unwrap_or(u32::MAX),
            unread: waiting().fold(0, |sum, sent| sum.saturating_add(sent.prompt)),
        }
    }

    /// What it is taken to be busy with, where so many gateways send alike.
    #[must_use]
    pub fn estimate(&self, engine: Option<&Engine>, gateways: usize, now: Duration) -> Estimate {
        let usual = f64::from(engine.map_or(0, |engine| engine.usual_prompt));
        let unread = |sent: &Sent| if sent.begun { 0.0 } else { f64::from(sent.prompt) };
        let Some(report) = self.report(now) else {
            let gateways = gateways.max(1) as f64;
            let waiting = self.sent.values().filter(|sent| !sent.begun).count() as f64;
            return Estimate {
                requests: self.sent.len() as f64 * gateways,
                waiting: waiting * gateways,
                unread: self.sent.values().map(unread).sum::<f64>() * gateways,
                slowdown: 1.0,
            };
        };
        let at = self.report.as_ref().map_or(Duration::ZERO, |(at, _)| *at);
        let since = self.sent.values().filter(|sent| sent.at >= at);
        let (count, tokens) =
            since.fold((0.0, 0.0), |(count, tokens), sent| (count + 1.0, tokens + unread(sent)));
        let reported = f64::from(report.running + report.queued);
        let (own, others) = (self.outstanding(), report.others);
        // Either may miss requests: the engine's word those since its last pass, that
        // of gateways what is left of one that has ended.
        Estimate {
            requests: ((reported - f64::from(self.ended)).max(0.0) + count)
                .max(f64::from(own.requests) + f64::from(others.requests)),
            waiting: (f64::from(report.queued) + count)
                .max(f64::from(own.waiting) + f64::from(others.waiting)),
            unread: (f64::from(report.queued) * usual + tokens)
                .max(f64::from(own.unread) + f64::from(others.unread)),
            slowdown: f64::from(report.slowdown).max(1.0),
        }
    }
}

/// How long a step takes that writes a token of so many requests, in milliseconds.
fn step_ms(engine: &Engine, running: f64) -> f64 {
    let context = running * f64::from(engine.usual_prompt + engine.usual_answer / 2) / 1000.0;
    engine.step_ms + engine.per_request_ms * running + engine.per_context_ms * context
}

/// How long a full engine takes from the end of a request to that of the next: it
/// reads one prompt, and writes one answer's share of its steps; in milliseconds.
fn turn_ms(engine: &Engine, step: f64) -> f64 {
    let reading = f64::from(engine.usual_prompt) / engine.read_per_s.max(1.0) * 1000.0;
    reading + f64::from(engine.usual_answer) * step / f64::from(engine.slots.max(1))
}

/// By how much each request at a full engine has the next ones wait longer.
#[must_use]
pub fn service_time(engine: &Engine) -> Duration {
    let step = step_ms(engine, f64::from(engine.slots));
    Duration::from_secs_f64(turn_ms(engine, step).clamp(0.0, MOST_MS) / 1000.0)
}

/// How long an engine takes to read a prompt, in milliseconds at its declared speed.
fn reading_ms(engine: &Engine, prompt: u32) -> f64 {
    let prompt = f64::from(prompt);
    let pairs = prompt * prompt / 2.0 / 1e6;
    prompt * 1000.0 / engine.read_per_s.max(1.0) + pairs * engine.per_pairs_ms
}

/// When another request would have its first token.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Forecast {
    /// The time that it waits for others: their prompts, their steps, and a free slot.
    pub wait: Duration,
    /// The time that its own prompt takes to be read.
    pub prefill: Duration,
    /// The time that a usual prompt would take to be read in its place.
    pub usual_prefill: Duration,
}

impl Forecast {
    /// The time until its first token.
    #[must_use]
    pub fn ttft(&self) -> Duration {
        self.wait + self.prefill
    }

    /// The time until a request with a usual prompt would have its first token in its place.
    #[must_use]
    pub fn usual_ttft(&self) -> Duration {
        self.wait + self.usual_prefill
    }
}

/// When another request would have its first token at an engine.
#[must_use]
pub fn forecast(engine: &Engine, estimate: &Estimate, size: Size) -> Forecast {
    let slots = f64::from(engine.slots.max(1));
    let running = (estimate.requests - estimate.waiting).clamp(0.0, slots);
    let step = step_ms(engine, running);
    let per_token = 1000.0 / engine.read_per_s.max(1.0);
    let excess = (estimate.requests + 1.0 - slots).max(0.0);
    // Those that wait for a slot are read in their turn, which is counted below.
    let reading = (estimate.waiting - excess).max(0.0) / estimate.waiting.max(1.0);
    let unread = estimate.unread * reading;
    let usual_reading = f64::from(engine.usual_prompt) * per_token;
    let turn = turn_ms(engine, step);
    // Passes are longer by what is read for others in them.
    let others = (usual_reading / turn.max(1.0) * running / slots).clamp(0.0, MOST_READING);
    let pass = if running >= 1.0 { f64::from(engine.stride.max(1)) * step } else { step };
    let passes = if running >= 1.0 { PASSES / (1.0 - others) } else { 1.0 };
    let wait = unread * per_token + passes * pass + excess * turn;
    let at_pace = |ms: f64| {
        Duration::from_secs_f64((ms * estimate.slowdown.max(1.0)).clamp(0.0, MOST_MS) / 1000.0)
    };
    Forecast {
        wait: at_pace(wait),
        prefill: at_pace(reading_ms(engine, size.prompt)),
        usual_prefill: at_pace(reading_ms(engine, engine.usual_prompt)),
    }
}
