//! The log line and the metrics of one request.

use std::time::Duration;

use cinderspoke_core::gateway::attempt;
use cinderspoke_core::gateway::call::Size;
use cinderspoke_core::gateway::catalog::Engine;
use cinderspoke_core::gateway::fingerprint::Fingerprint;
use cinderspoke_core::gateway::name::{Endpoint, Request, Service};
use cinderspoke_core::gateway::pick::BestCandidate;
use cinderspoke_core::gateway::returns::Return;
use cinderspoke_core::gateway::rollout::Version;
use cinderspoke_core::gateway::shedding::Rank;
use cinderspoke_core::gateway::size::Class;
use cinderspoke_core::gateway::suspect::{Part, Subject};
use cinderspoke_ports::framing::{Fault, Framing};
use cinderspoke_ports::gateway::Invalid;
use http::StatusCode;
use metrics::{counter, histogram};
use tokio::time::Instant;

use super::choose::{Selected, Unavailable};
use super::context::{Exhausted, InProgress};
use super::refusal::Refusal;
use super::suspects::kind;
use crate::util::metrics::{
    ATTEMPTS, FIRST_BYTE, HELD_BACK, QUARANTINE_REFUSALS, REQUESTS, REQUESTS_BY_SIZE,
    REQUESTS_SHED, RETRIES, RETRY_AFTER,
};

/// Usual size of a body, in bytes: a few kilobytes take no longer than the shortest body.
const USUAL_BODY_BYTES: u64 = 4096;

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Outcome {
    /// The connection ended before any other outcome: the caller disconnected, or the gateway
    /// closed it, which [`super::cut`] reports.
    Left,
    /// An endpoint's whole answer was forwarded.
    Answered,
    /// An endpoint's answer broke off while it was forwarded.
    Broken,
    /// The gateway answered the request itself.
    Refused,
}

impl Outcome {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Left => "left",
            Self::Answered => "answered",
            Self::Broken => "broken",
            Self::Refused => "refused",
        }
    }
}

/// The record of one request; dropping it writes the log line and the metrics.
pub struct Record {
    // None if the request has no readable id.
    id: Option<Request>,
    arrived: Instant,
    /// The version of the configuration under which it was parsed.
    pub version: u64,
    /// The name of the route.
    pub route: String,
    /// How long the caller had waited before; zero for the caller's first attempt.
    pub waited: Duration,
    /// What is known of an earlier refusal of the request.
    pub returned: Option<Return>,
    /// The target of the time to the first byte or event.
    pub target_latency: Duration,
    /// The target of the longest pause between events.
    pub target_gap: Option<Duration>,
    /// The size in tokens, if the request is for a model.
    pub size: Size,
    /// The size of the body in bytes; none before it was read whole.
    pub body_bytes: Option<u64>,
    // The usual size of the service's requests; none if it is no model engine.
    usual: Option<Size>,
    // The best candidate, if the request was refused although there were candidates.
    best: Option<BestCandidate>,
    /// The rank of the request under load.
    pub rank: Rank,
    // The fraction of the endpoints that had room for higher ranks, if the request was shed.
    shed: Option<f64>,
    endpoint: Option<Endpoint>,
    // The version of the weights that the last attempt was sent for, and how much longer requests
    // could begin on it then; none while it was the newest.
    weights: Option<Version>,
    weights_left: Option<Duration>,
    predicted: Option<Duration>,
    // How the end of the last attempt's answer is marked, if its head was received.
    framing: Option<Framing>,
    candidates: usize,
    // How many agents were queried.
    queried: usize,
    // How many endpoints a limit left out of the choices.
    limited: usize,
    sends: u32,
    resumes: u32,
    // How often the retry budget refused a further send.
    budget_refusals: u32,
    // The fingerprint, if the request was quarantined, and the part of its prompt for which it was.
    quarantined: Option<Fingerprint>,
    quarantined_part: Option<Part>,
    first: Option<Duration>,
    // When the last events were forwarded, and the longest pause between events.
    last_events: Option<Instant>,
    gap: Duration,
    status: Option<StatusCode>,
    // The retry delay of a refusal.
    retry_after: Option<Duration>,
    why: &'static str,
    outcome: Outcome,
    _in_progress: InProgress,
}

impl Record {
    /// Creates the record of a request that has just arrived.
    #[must_use]
    pub fn new(id: Option<Request>, arrived: Instant, in_progress: InProgress) -> Self {
        Self {
            id,
            arrived,
            version: 0,
            route: String::new(),
            waited: Duration::ZERO,
            returned: None,
            target_latency: Duration::ZERO,
            target_gap: None,
            size: Size::default(),
            body_bytes: None,
            usual: None,
            best: None,
            rank: Rank::default(),
            shed: None,
            endpoint: None,
            weights: None,
            weights_left: None,
            predicted: None,
            framing: None,
            candidates: 0,
            queried: 0,
            limited: 0,
            sends: 0,
            resumes: 0,
            budget_refusals: 0,
            quarantined: None,
            quarantined_part: None,
            first: None,
            last_events: None,
            gap: Duration::ZERO,
            status: None,
            retry_after: None,
            why: "",
            outcome: Outcome::Left,
            _in_progress: in_progress,
        }
    }

    /// Returns the request's id for the log.
    fn id(&self) -> Option<&str> {
        self.id.as_ref().map(Request::as_str)
    }

    /// Records that an endpoint was selected for an attempt.
    pub fn selected(&mut self, selected: &Selected, candidates: usize) {
        self.endpoint = Some(selected.target.name.clone());
        (self.weights, self.weights_left) = (selected.version, selected.version_left);
        self.predicted = Some(selected.expected_ttft);
        self.framing = None;
        self.candidates = candidates;
    }

    /// Records that the request leaves this process.
    pub fn sent(&mut self) {
        self.sends += 1;
    }

    /// Takes back the last [`Self::sent`]: no byte of the request has left this process.
    pub fn unsent(&mut self) {
        self.sends = self.sends.saturating_sub(1);
    }

    /// Records that a further send was paid for from the retry budget.
    pub fn retry_sent(&mut self) {
        counter!(RETRIES, "budget" => "spent").increment(1);
    }

    /// Records and logs that the retry budget refused a further send.
    pub fn retry_refused(&mut self, service: &Service, exhausted: Exhausted) {
        self.budget_refusals += 1;
        counter!(RETRIES, "budget" => "refused").increment(1);
        let Exhausted { requests, tokens, gateways } = exhausted;
        tracing::info!(
            id = self.id(),
            %service,
            requests,
            tokens,
            gateways,
            "the retry budget refused a further send"
        );
    }

    /// Sets the usual size of the service's requests, if its endpoints are model engines.
    pub fn set_usual_size(&mut self, engine: Option<&Engine>) {
        self.usual = engine.map(|engine| Size {
            prompt: engine.usual_prompt,
            max_answer: engine.usual_answer,
            answer_hint: None,
        });
    }

    /// Sets how many agents were queried before a choice.
    pub fn set_queried(&mut self, agents: usize) {
        self.queried = agents;
    }

    /// Adds the number of endpoints that their limits left out of a choice.
    pub fn add_limited(&mut self, endpoints: usize) {
        self.limited += endpoints;
        counter!(HELD_BACK).increment(endpoints as u64);
    }

    /// Records that the request, or a part of its prompt, is quarantined because endpoints crashed
    /// while they ran it.
    pub fn quarantined(&mut self, subject: Subject, fingerprint: Fingerprint) {
        self.quarantined = Some(fingerprint);
        self.quarantined_part = subject.part();
        counter!(QUARANTINE_REFUSALS, "of" => kind(subject)).increment(1);
    }

    /// Records and logs that no endpoint was selected.
    pub fn no_endpoint(&mut self, unavailable: Unavailable) {
        let Unavailable { members, excluded, candidates, best, shed, protected } = unavailable;
        self.shed = shed;
        if shed.is_some() {
            self.count_shed();
        }
        self.candidates = candidates;
        self.predicted = best.map(|best| best.forecast.ttft());
        self.best = best;
        tracing::info!(
            id = self.id(),
            prompt = self.size.prompt,
            answer = self.size.max_answer,
            body_bytes = self.body_bytes,
            waited_ms = self.waited.as_millis() as u64,
            members,
            outside_homes = excluded.outside_allowed_regions,
            in_emptied_zones = excluded.in_evacuated_zones,
            cold = excluded.cold,
            limited = excluded.limited,
            candidates,
            asked = self.queried,
            best_ms = ms(self.predicted),
            own_ms = ms(best.map(|best| best.forecast.prefill)),
            wait_ms = ms(best.map(|best| best.forecast.wait)),
            limit_ms = ms(best.map(|best| best.max_wait)),
            priority = self.rank.priority,
            route_priority = self.rank.route,
            late = self.rank.is_late,
            room = shed,
            protected_ms = ms(protected.map(|protected| protected.ttft_target)),
            protected_share = protected.map(|protected| protected.share),
            "no endpoint can take a request"
        );
    }

    /// Logs and counts an attempt that did not succeed.
    pub fn attempt_failed(&mut self, endpoint: &Endpoint, outcome: attempt::Outcome) {
        let label = match outcome {
            attempt::Outcome::NotSent => "not-sent",
            attempt::Outcome::Refused => "refused",
            attempt::Outcome::Lost => "lost",
            attempt::Outcome::Stale => "stale",
            attempt::Outcome::BrokenOff => "broken-off",
            attempt::Outcome::Spoilt => "spoilt",
            attempt::Outcome::Failed => "failed",
        };
        counter!(ATTEMPTS, "result" => label).increment(1);
        let after_ms = self.arrived.elapsed().as_millis() as u64;
        tracing::info!(id = self.id(), %endpoint, fate = label, after_ms, "attempt failed");
    }

    /// Logs and counts an answer of an endpoint with a spoilt head. `detail` says more of what is
    /// wrong with it, where more is known.
    pub fn head_spoilt(&self, endpoint: &Endpoint, fault: Fault, detail: Option<&str>) {
        fault.count();
        let (name, id) = (fault.as_str(), self.id());
        tracing::warn!(id, %endpoint, fault = name, why = %fault, detail, "answer with a spoilt head");
    }

    /// Sets how the end of the last attempt's answer is marked.
    pub fn set_framing(&mut self, framing: Framing) {
        self.framing = Some(framing);
    }

    /// Returns how the end of the last attempt's answer is marked, if its head was received.
    #[must_use]
    pub fn framing(&self) -> Option<Framing> {
        self.framing
    }

    /// Records that the first byte or event of an answer was received.
    pub fn first_byte(&mut self) {
        if self.first.is_none() {
            let first = self.arrived.elapsed();
            histogram!(FIRST_BYTE).record(first.as_secs_f64());
            self.first = Some(first);
        }
    }

    /// Records that events are forwarded.
    pub fn events_sent(&mut self) {
        let now = Instant::now();
        let gap = self.last_events.replace(now).map_or(Duration::ZERO, |last| now - last);
        self.gap = self.gap.max(gap);
    }

    /// Records that another endpoint resumed the stream.
    pub fn resumed(&mut self) {
        self.resumes += 1;
    }

    /// Records that an endpoint's whole answer was forwarded.
    pub fn answered(&mut self, status: StatusCode) {
        self.first_byte();
        self.status = Some(status);
        self.outcome = Outcome::Answered;
    }

    /// Records that a stream broke off.
    pub fn broken(&mut self, why: &'static str) {
        self.why = why;
        self.outcome = Outcome::Broken;
    }

    /// Logs that the request cannot be parsed.
    pub fn invalid(&self, misfit: &Invalid) {
        tracing::info!(id = self.id(), %misfit, "request cannot be parsed");
    }

    /// Records that the gateway answered the request itself.
    pub fn refused(&mut self, refusal: &Refusal) {
        self.status = Some(refusal.status);
        self.why = refusal.reason;
        self.retry_after = refusal.retry_after;
        if let Some(delay) = refusal.retry_after {
            histogram!(RETRY_AFTER).record(delay.as_secs_f64());
        }
        self.outcome = Outcome::Refused;
    }
}

impl Record {
    /// Returns whether the request was refused although there were endpoints that could run it.
    #[must_use]
    pub fn is_overload(&self) -> bool {
        self.best.is_some()
    }

    /// Counts the request among those that were refused for their rank.
    fn count_shed(&self) {
        let late = if self.rank.is_late { "true" } else { "false" };
        let priority = self.rank.priority.to_string();
        counter!(REQUESTS_SHED, "priority" => priority, "late" => late).increment(1);
    }

    /// Counts the request by each of its known sizes.
    fn count_by_size(&self) {
        let outcome = self.outcome.as_str();
        let count = |of: &'static str, class: Class| {
            counter!(REQUESTS_BY_SIZE, "outcome" => outcome, "of" => of, "size" => class.as_str())
                .increment(1);
        };
        if let Some(usual) = self.usual {
            count("prompt", Class::of(self.size.prompt.into(), usual.prompt.into()));
            count("answer", Class::of(self.size.max_answer.into(), usual.max_answer.into()));
        }
        if let Some(bytes) = self.body_bytes {
            count("body", Class::of(bytes, USUAL_BODY_BYTES));
        }
    }
}

/// Converts a duration to whole milliseconds for the log.
fn ms(time: Option<Duration>) -> Option<u64> {
    time.map(|time| time.as_millis() as u64)
}

impl Drop for Record {
    fn drop(&mut self) {
        let outcome = self.outcome.as_str();
        counter!(REQUESTS, "outcome" => outcome).increment(1);
        self.count_by_size();
        tracing::info!(
            id = self.id(),
            outcome,
            status = self.status.map(|status| status.as_u16()),
            why = self.why,
            route = self.route,
            configuration = self.version,
            waited_ms = self.waited.as_millis() as u64,
            aim_ms = self.target_latency.as_millis() as u64,
            gap_ms = self.gap.as_millis() as u64,
            gap_aim_ms = ms(self.target_gap),
            prompt = self.size.prompt,
            answer = self.size.max_answer,
            guess = self.size.answer_hint,
            body_bytes = self.body_bytes,
            endpoint = self.endpoint.as_ref().map(Endpoint::as_str),
            weights = self.weights.map(|version| version.0),
            weights_left_ms = ms(self.weights_left),
            candidates = self.candidates,
            asked = self.queried,
            limited = self.limited,
            predicted_ms = ms(self.predicted),
            own_ms = ms(self.best.map(|best| best.forecast.prefill)),
            wait_ms = ms(self.best.map(|best| best.forecast.wait)),
            limit_ms = ms(self.best.map(|best| best.max_wait)),
            priority = self.rank.priority,
            route_priority = self.rank.route,
            late = self.rank.is_late,
            room = self.shed,
            returned = self.returned.is_some(),
            early = self.returned.is_some_and(|returned| returned.is_early),
            retry_after_ms = ms(self.retry_after),
            framing = self.framing.map(Framing::as_str),
            first_ms = ms(self.first),
            total_ms = self.arrived.elapsed().as_millis() as u64,
            sends = self.sends,
            resumes = self.resumes,
            budget_refusals = self.budget_refusals,
            fingerprint = self.quarantined.map(|fingerprint| fingerprint.to_string()),
            part = self.quarantined_part.map(|part| part.to_string()),
            "request"
        );
    }
}
