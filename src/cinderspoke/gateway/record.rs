//! What is logged and counted of one request.

use std::time::Duration;

use cinderspoke_core::gateway::attempt::Fate;
use cinderspoke_core::gateway::fingerprint::Fingerprint;
use cinderspoke_core::gateway::name::{Endpoint, Request};
use cinderspoke_core::gateway::rollout::Version;
use cinderspoke_ports::gateway::Misfit;
use http::StatusCode;
use metrics::{counter, histogram};
use tokio::time::Instant;

use super::choose::{Barred, Chosen};
use super::context::InProgress;
use crate::util::metrics::{ATTEMPTS, FIRST_BYTE, REQUESTS};

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Outcome {
    /// Its caller left, or the process ended, before anything else.
    Left,
    /// An endpoint's answer was passed on whole.
    Answered,
    /// An endpoint's answer broke off on the way to the caller.
    Broken,
    /// We answered ourselves.
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

/// One request's record; it is logged when it is dropped.
pub struct Record {
    // None where it cannot be read.
    id: Option<Request>,
    arrived: Instant,
    /// The version of the configuration that decided.
    pub version: u64,
    /// The name of its route.
    pub route: String,
    /// How long its caller had waited before; zero for a first attempt.
    pub waited: Duration,
    /// The time to the first byte or event within which an answer has its full worth.
    pub aim: Duration,
    /// The longest pause between events that keeps the full worth.
    pub gap_aim: Option<Duration>,
    endpoint: Option<Endpoint>,
    // The version that it was last sent for, and how much longer that could begin
    // requests then; none while it was the newest.
    weights: Option<Version>,
    weights_left: Option<Duration>,
    predicted: Option<Duration>,
    candidates: usize,
    // How many agents were asked what their engines hold.
    asked: usize,
    sends: u32,
    resumes: u32,
    // What it is known by, where it was held back.
    held_back: Option<Fingerprint>,
    first: Option<Duration>,
    // When the last events were passed on, and the longest pause between any.
    last_events: Option<Instant>,
    gap: Duration,
    status: Option<StatusCode>,
    why: &'static str,
    outcome: Outcome,
    _in_progress: InProgress,
}

impl Record {
    /// A record of a request that has just arrived.
    #[must_use]
    pub fn new(id: Option<Request>, arrived: Instant, in_progress: InProgress) -> Self {
        Self {
            id,
            arrived,
            version: 0,
            route: String::new(),
            waited: Duration::ZERO,
            aim: Duration::ZERO,
            gap_aim: None,
            endpoint: None,
            weights: None,
            weights_left: None,
            predicted: None,
            candidates: 0,
            asked: 0,
            sends: 0,
            resumes: 0,
            held_back: None,
            first: None,
            last_events: None,
            gap: Duration::ZERO,
            status: None,
            why: "",
            outcome: Outcome::Left,
            _in_progress: in_progress,
        }
    }

    /// The request's id for the log.
    fn id(&self) -> Option<&str> {
        self.id.as_ref().map(Request::as_str)
    }

    /// Takes in that an endpoint was chosen.
    pub fn chose(&mut self, chosen: &Chosen, candidates: usize) {
        self.endpoint = Some(chosen.target.name.clone());
        (self.weights, self.weights_left) = (chosen.version, chosen.version_left);
        self.predicted = Some(chosen.first);
        self.candidates = candidates;
        self.sends += 1;
    }

    /// Takes in how many agents were asked before a choice.
    pub fn asked(&mut self, agents: usize) {
        self.asked = agents;
    }

    /// Takes in that it may not be sent, as endpoints end under it.
    pub fn held_back(&mut self, fingerprint: Fingerprint) {
        self.held_back = Some(fingerprint);
    }

    /// Takes in that no endpoint was chosen.
    pub fn found_none(
        &mut self,
        members: usize,
        barred: Barred,
        candidates: usize,
        best: Option<Duration>,
    ) {
        self.candidates = candidates;
        self.predicted = best;
        tracing::info!(
            id = self.id(),
            members,
            outside_homes = barred.outside_homes,
            in_emptied_zones = barred.in_emptied_zones,
            cold = barred.cold,
            candidates,
            asked = self.asked,
            best_ms = best.map(|best| best.as_millis() as u64),
            "no endpoint for a request"
        );
    }

    /// Takes in that a send brought no success.
    pub fn failed_send(&mut self, endpoint: &Endpoint, fate: Fate) {
        let label = match fate {
            Fate::NotSent => "not-sent",
            Fate::Refused => "refused",
            Fate::Lost => "lost",
            Fate::Stale => "stale",
            Fate::BrokenOff => "broken-off",
            Fate::Failed => "failed",
        };
        counter!(ATTEMPTS, "result" => label).increment(1);
        let after_ms = self.arrived.elapsed().as_millis() as u64;
        tracing::info!(id = self.id(), %endpoint, fate = label, after_ms, "a send failed");
    }

    /// Takes in that the first byte or event of an answer is there.
    pub fn began(&mut self) {
        if self.first.is_none() {
            let first = self.arrived.elapsed();
            histogram!(FIRST_BYTE).record(first.as_secs_f64());
            self.first = Some(first);
        }
    }

    /// Takes in that events are passed on.
    pub fn passed(&mut self) {
        let now = Instant::now();
        let gap = self.last_events.replace(now).map_or(Duration::ZERO, |last| now - last);
        self.gap = self.gap.max(gap);
    }

    /// Takes in that a stream goes on at another endpoint.
    pub fn resumed(&mut self) {
        self.resumes += 1;
    }

    /// Takes in that an endpoint's answer was passed on whole.
    pub fn answered(&mut self, status: StatusCode) {
        self.began();
        self.status = Some(status);
        self.outcome = Outcome::Answered;
    }

    /// Takes in that a stream broke off.
    pub fn broken(&mut self, why: &'static str) {
        self.why = why;
        self.outcome = Outcome::Broken;
    }

    /// Takes in that the request cannot be understood.
    pub fn misfitting(&self, misfit: &Misfit) {
        tracing::info!(id = self.id(), %misfit, "request cannot be understood");
    }

    /// Takes in that we answered ourselves.
    pub fn refused(&mut self, status: StatusCode, why: &'static str) {
        self.status = Some(status);
        self.why = why;
        self.outcome = Outcome::Refused;
    }
}

impl Drop for Record {
    fn drop(&mut self) {
        let outcome = self.outcome.as_str();
        counter!(REQUESTS, "outcome" => outcome).increment(1);
        let ms = |time: Option<Duration>| time.map(|time| time.as_millis() as u64);
        tracing::info!(
            id = self.id(),
            outcome,
            status = self.status.map(|status| status.as_u16()),
            why = self.why,
            route = self.route,
            configuration = self.version,
            waited_ms = self.waited.as_millis() as u64,
            aim_ms = self.aim.as_millis() as u64,
            gap_ms = self.gap.as_millis() as u64,
            gap_aim_ms = ms(self.gap_aim),
            endpoint = self.endpoint.as_ref().map(Endpoint::as_str),
            weights = self.weights.map(|version| version.0),
            weights_left_ms = ms(self.weights_left),
            candidates = self.candidates,
            asked = self.asked,
            predicted_ms = ms(self.predicted),
            first_ms = ms(self.first),
            total_ms = self.arrived.elapsed().as_millis() as u64,
            sends = self.sends,
            resumes = self.resumes,
            fingerprint = self.held_back.map(|fingerprint| fingerprint.to_string()),
            "request"
        );
    }
}
