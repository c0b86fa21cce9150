//! Estimates the load of an endpoint and forecasts the time to first token of another request.
//!
//! An endpoint's agent sends a [`Report`] several times a second. [`Load`] adds the requests that
//! this gateway has sent since the last report, and gives an [`Estimate`]. Engines alternate
//! between prefill (reading prompts) and decode (writing tokens), so a first token waits mostly
//! for the prompt tokens ahead of it; [`forecast`] computes that wait.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::call::Size;
use super::catalog::Engine;
use super::notice::Drain;
use super::reservation;
use super::rollout::Version;
use super::tally::Outstanding;

/// Age above which a report is ignored. Agents poll their engines ten times a second and report to
/// each gateway at least every third time, and one report may be lost.
pub const MAX_REPORT_AGE: Duration = Duration::from_millis(700);

/// Lower bound on the delay of a first token, beyond its forecast, after which its endpoint counts
/// as stalled.
const MIN_STALL: Duration = Duration::from_millis(400);

/// Transit time of a report beyond the shortest one above which the link counts as congested.
const MAX_DELAY: Duration = Duration::from_millis(120);

/// Age of a report on arrival: the poll of the engine and the transit.
const REPORT_AGE: Duration = Duration::from_millis(10);

/// Upper bound on the fraction of an engine's time that is assumed to go into prefill.
const MAX_PREFILL_FRACTION: f64 = 0.8;

/// Upper bound on a forecast, in milliseconds; exceeds any deadline.
const MAX_FORECAST_MS: f64 = 600_000.0;

/// Number of passes of the engine that a first token waits for besides prefill.
const WAITED_PASSES: f64 = 1.5;

/// The load of an endpoint as reported by its agent.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Requests in decode.
    pub running: u32,
    /// Requests that wait for their first token.
    pub queued: u32,
    /// Tokens in memory that cannot be evicted.
    pub used: u64,
    /// Tokens that fit into memory.
    pub total: u64,
    /// Ratio of its actual to its declared processing time; 1 is the declared speed.
    pub slowdown: f32,
    /// The version of the weights that it serves; `None` while it has no complete version.
    pub version: Option<Version>,
    /// Whether it accepts new requests; it does not while it changes weights.
    pub accepts_requests: bool,
    /// Time since its instance last received a message from a gateway.
    pub last_contact_age: Duration,
    /// Whether traffic over its instance's link may be delayed by seconds.
    pub is_congested: bool,
    /// The announcement that the engine is draining, if it is.
    pub drain: Option<Drain>,
    /// Identifies the agent's process, since each process has a clock of its own.
    pub process: u64,
    /// Outstanding requests of gateways other than the receiver of the report.
    pub others: Outstanding,
}

/// Time without a message from a gateway after which an instance counts as unreachable, since its
/// link is congested. Gateways answer its reports ten times a second, and some answers in a row
/// may be lost.
const CONTACT_TIMEOUT: Duration = Duration::from_millis(450);

/// An outstanding request of this gateway.
#[derive(Debug, Clone, Copy)]
struct Sent {
    at: Duration,
    // The forecast time to first token.
    ttft: Duration,
    prompt: u32,
    has_first_token: bool,
}

impl Sent {
    /// Whether its first token is so late that its endpoint is stalled rather than slow.
    fn is_overdue(&self, now: Duration) -> bool {
        !self.has_first_token && self.at + self.ttft + self.ttft.max(MIN_STALL) < now
    }
}

/// The load of one endpoint, as known to this gateway.
#[derive(Debug, Default)]
pub struct Load {
    report: Option<(Duration, Report)>,
    // The least difference between the clocks of this gateway and the agent over all reports, in
    // microseconds.
    min_offset: Option<i128>,
    // Transit time of the last report beyond the shortest one.
    delay: Duration,
    sent: BTreeMap<u64, Sent>,
    /// The queries to its agent that this gateway has not decided on.
    pub pending: reservation::Pending,
    // When its agent last answered a query.
    last_answer: Option<Duration>,
    // Number of requests of this gateway that were sent before the last report and have ended
    // since.
    ended_since: u32,
}

/// The estimated load of an endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Estimate {
    /// Requests at the endpoint, including waiting ones.
    pub requests: f64,
    /// Requests that wait for their first token.
    pub waiting: f64,
    /// Prompt tokens to be read before those of another request.
    pub unread: f64,
    /// Ratio of its actual to its declared processing time.
    pub slowdown: f64,
}

impl Load {
    /// Applies a report that has just arrived and was sent at `sent` by the agent's clock.
    pub fn apply_report(&mut self, report: Report, sent: Duration, now: Duration) {
        let offset = now.as_micros() as i128 - sent.as_micros() as i128;
        let last_process = self.report.as_ref().map(|(_, report)| report.process);
        let min_offset = match self.min_offset {
            Some(least) if last_process == Some(report.process) => least.min(offset),
            // A new process has a new clock.
            _ => offset,
        };
        self.min_offset = Some(min_offset);
        self.delay = Duration::from_micros(u64::try_from(offset - min_offset).unwrap_or_default());
        self.report = Some((now.saturating_sub(REPORT_AGE), report));
        self.ended_since = 0;
    }

    /// Records that the last report was the answer of its agent to a query.
    pub fn record_answer(&mut self, now: Duration) {
        self.last_answer = Some(now);
    }

    /// Whether an answer of its agent to a query is still valid.
    #[must_use]
    pub fn has_recent_answer(&self, now: Duration) -> bool {
        self.last_answer.is_some_and(|at| at + reservation::ANSWER_VALIDITY >= now)
    }

    /// The last report, if it is at most [`MAX_REPORT_AGE`] old.
    #[must_use]
    pub fn report(&self, now: Duration) -> Option<&Report> {
        let (at, report) = self.report.as_ref()?;
        (at.saturating_add(MAX_REPORT_AGE) >= now).then_some(report)
    }

    /// The age of the last report; `None` if that is above [`MAX_REPORT_AGE`] or there is none.
    #[must_use]
    pub fn report_age(&self, now: Duration) -> Option<Duration> {
        let (at, _) = self.report.as_ref()?;
        self.report(now).map(|_| now.saturating_sub(*at))
    }

    /// Whether its agent's reports have stopped or arrive late, or its instance receives no
    /// messages: the instance is stalled or partitioned, or its link is congested. Not if its
    /// agent has never reported.
    #[must_use]
    pub fn is_unreachable(&self, now: Duration) -> bool {
        self.report.is_some()
            && (self.report(now).is_none_or(|report| report.last_contact_age > CONTACT_TIMEOUT)
                || self.delay > MAX_DELAY)
    }

    /// Whether a request of this gateway waits for its first token much longer than forecast.
    #[must_use]
    pub fn is_stalled(&self, now: Duration) -> bool {
        self.sent.values().any(|sent| sent.is_overdue(now))
    }

    /// Records that a request was sent; `ttft` is its forecast time to first token.
    pub fn record_sent(&mut self, number: u64, prompt: u32, ttft: Duration, now: Duration) {
        self.sent.insert(number, Sent { at: now, ttft, prompt, has_first_token: false });
    }

    /// Records that the first token of a request has arrived.
    pub fn record_first_token(&mut self, number: u64) {
        if let Some(sent) = self.sent.get_mut(&number) {
            sent.has_first_token = true;
        }
    }

    /// Records that a request has ended, successfully or not.
    pub fn record_end(&mut self, number: u64) {
        if let Some(sent) = self.sent.remove(&number)
            && self.report.as_ref().is_some_and(|(at, _)| sent.at < *at)
        {
            self.ended_since += 1;
        }
    }

    /// Number of outstanding requests of this gateway there.
    #[must_use]
    pub fn own_requests(&self) -> usize {
        self.sent.len()
    }

    /// The outstanding requests of this gateway there.
    #[must_use]
    pub fn outstanding(&self) -> Outstanding {
        let waiting = || self.sent.values().filter(|sent| !sent.has_first_token);
        Outstanding {
            requests: u32::try_from(self.sent.len()).unwrap_or(u32::MAX),
            waiting: u32::try_from(waiting().count()).unwrap_or(u32::MAX),
            unread: waiting().fold(0, |sum, sent| sum.saturating_add(sent.prompt)),
        }
    }

    /// The estimated load. Without a valid report, it is assumed that each of `gateways` gateways
    /// has sent as much as this one.
    #[must_use]
    pub fn estimate(&self, engine: Option<&Engine>, gateways: usize, now: Duration) -> Estimate {
        let usual = f64::from(engine.map_or(0, |engine| engine.usual_prompt));
        let unread = |sent: &Sent| if sent.has_first_token { 0.0 } else { f64::from(sent.prompt) };
        let Some(report) = self.report(now) else {
            let gateways = gateways.max(1) as f64;
            let waiting = self.sent.values().filter(|sent| !sent.has_first_token).count() as f64;
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
        // Both counts may be too low, so the higher one is used. That of the engine omits requests
        // that have arrived since its last pass; that of the gateways omits requests of a gateway
        // process that has ended.
        Estimate {
            requests: ((reported - f64::from(self.ended_since)).max(0.0) + count)
                .max(f64::from(own.requests) + f64::from(others.requests)),
            waiting: (f64::from(report.queued) + count)
                .max(f64::from(own.waiting) + f64::from(others.waiting)),
            unread: (f64::from(report.queued) * usual + tokens)
                .max(f64::from(own.unread) + f64::from(others.unread)),
            slowdown: f64::from(report.slowdown).max(1.0),
        }
    }
}

/// The time of a decode step, which writes one token of each running request, in milliseconds.
fn step_ms(engine: &Engine, running: f64) -> f64 {
    let context = running * f64::from(engine.usual_prompt + engine.usual_answer / 2) / 1000.0;
    engine.step_ms + engine.per_request_ms * running + engine.per_context_ms * context
}

/// The mean time between the ends of two successive requests at a full engine, in milliseconds:
/// the prefill of one prompt, and one answer's share of the decode steps.
fn service_time_ms(engine: &Engine, step: f64) -> f64 {
    let prefill = f64::from(engine.usual_prompt) / engine.read_per_s.max(1.0) * 1000.0;
    prefill + f64::from(engine.usual_answer) * step / f64::from(engine.slots.max(1))
}

/// By how much each request at a full engine delays the ones after it.
#[must_use]
pub fn service_time(engine: &Engine) -> Duration {
    let step = step_ms(engine, f64::from(engine.slots));
    Duration::from_secs_f64(service_time_ms(engine, step).clamp(0.0, MAX_FORECAST_MS) / 1000.0)
}

/// The prefill time of a prompt at the engine's declared speed, in milliseconds.
fn prefill_ms(engine: &Engine, prompt: u32) -> f64 {
    let prompt = f64::from(prompt);
    let pairs = prompt * prompt / 2.0 / 1e6;
    prompt * 1000.0 / engine.read_per_s.max(1.0) + pairs * engine.per_pairs_ms
}

/// The forecast time to first token of another request, by its parts.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Forecast {
    /// The wait for other requests: their prefill, their decode steps, and a free slot.
    pub wait: Duration,
    /// The prefill time of its own prompt.
    pub prefill: Duration,
    /// The prefill time of a prompt of the usual size.
    pub usual_prefill: Duration,
}

impl Forecast {
    /// The time to first token.
    #[must_use]
    pub fn ttft(&self) -> Duration {
        self.wait + self.prefill
    }

    /// The time to first token of a request with a prompt of the usual size in its place.
    #[must_use]
    pub fn usual_ttft(&self) -> Duration {
        self.wait + self.usual_prefill
    }
}

/// Forecasts the time to first token of another request at an engine.
#[must_use]
pub fn forecast(engine: &Engine, estimate: &Estimate, size: Size) -> Forecast {
    let slots = f64::from(engine.slots.max(1));
    let running = (estimate.requests - estimate.waiting).clamp(0.0, slots);
    let step = step_ms(engine, running);
    let per_token = 1000.0 / engine.read_per_s.max(1.0);
    let excess = (estimate.requests + 1.0 - slots).max(0.0);
    // The prefill of requests that wait for a slot is part of the service time, added below.
    let with_slot = (estimate.waiting - excess).max(0.0) / estimate.waiting.max(1.0);
    let unread = estimate.unread * with_slot;
    let usual_prefill = f64::from(engine.usual_prompt) * per_token;
    let service_time = service_time_ms(engine, step);
    // Prefill of other requests makes passes longer.
    let prefill_fraction =
        (usual_prefill / service_time.max(1.0) * running / slots).clamp(0.0, MAX_PREFILL_FRACTION);
    let pass = if running >= 1.0 { f64::from(engine.stride.max(1)) * step } else { step };
    let passes = if running >= 1.0 { WAITED_PASSES / (1.0 - prefill_fraction) } else { 1.0 };
    let wait = unread * per_token + passes * pass + excess * service_time;
    let slowed = |ms: f64| {
        Duration::from_secs_f64(
            (ms * estimate.slowdown.max(1.0)).clamp(0.0, MAX_FORECAST_MS) / 1000.0,
        )
    };
    Forecast {
        wait: slowed(wait),
        prefill: slowed(prefill_ms(engine, size.prompt)),
        usual_prefill: slowed(prefill_ms(engine, engine.usual_prompt)),
    }
}
