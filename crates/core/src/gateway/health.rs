//! Outlier ejection: endpoints whose requests fail receive none for a while.
//!
//! [`Health`] judges one endpoint by the outcomes of real requests. An ejected endpoint is
//! probed with a single request after its ejection, and is readmitted if that succeeds.

use std::time::Duration;

/// Number of requests without a complete response that eject an endpoint, with no success in
/// between.
const MAX_SILENCES: u32 = 2;

/// Smoothed failure rate above which an endpoint is ejected.
const MAX_FAILURE_RATE: f64 = 0.4;

/// Number of requests that the failure rate must be based on.
const MIN_SAMPLES: u32 = 6;

/// Weight of the newest request in the failure rate (exponential moving average).
const NEWEST_WEIGHT: f64 = 0.15;

/// Duration of the first ejection; each further one doubles.
const FIRST_EJECTION: Duration = Duration::from_millis(800);

/// Upper bound on the duration of an ejection.
const MAX_EJECTION: Duration = Duration::from_secs(6);

/// What the outcome of a request indicates about its endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Observation {
    /// The endpoint responded as it should.
    Good,
    /// The endpoint responded with an error of its own.
    Failure,
    /// The connection failed or broke before the response was complete.
    Silence,
    /// The endpoint sent nothing until the request timed out.
    Stall,
}

/// Whether an endpoint may be sent requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// It may be sent requests.
    Healthy,
    /// It may be sent one request as a probe.
    ProbeDue,
    /// It may not be sent requests, or a probe is in progress.
    Ejected,
}

/// The health of one endpoint.
#[derive(Debug, Default)]
pub struct Health {
    silences: u32,
    failure_rate: f64,
    samples: u32,
    // Number of ejections since the endpoint was last healthy for a while.
    ejections: u32,
    ejected_until: Option<Duration>,
    probe_started: Option<Duration>,
}

impl Health {
    /// Records the outcome of a request; returns whether it ejects the endpoint.
    pub fn record(&mut self, observation: Observation, now: Duration) -> bool {
        let failed = if observation == Observation::Good { 0.0 } else { 1.0 };
        self.failure_rate += NEWEST_WEIGHT * (failed - self.failure_rate);
        self.samples = self.samples.saturating_add(1);
        if observation == Observation::Good {
            if self.probe_started.is_some() || self.ejected_until.is_some() {
                *self = Self { ejections: self.ejections, ..Self::default() };
            }
            self.silences = 0;
            if self.samples > 4 * MIN_SAMPLES {
                self.ejections = 0;
            }
            return false;
        }
        if observation == Observation::Silence {
            self.silences += 1;
        }
        let was_probe = self.probe_started.take().is_some();
        let is_ejected = was_probe
            || observation == Observation::Stall
            || self.silences >= MAX_SILENCES
            || (self.samples >= MIN_SAMPLES && self.failure_rate > MAX_FAILURE_RATE);
        if is_ejected {
            let duration =
                FIRST_EJECTION.saturating_mul(1 << self.ejections.min(4)).min(MAX_EJECTION);
            self.ejected_until = Some(now + duration);
            self.ejections += 1;
            self.silences = 0;
            self.samples = 0;
            self.failure_rate = 0.0;
        }
        is_ejected
    }

    /// Whether the endpoint may be sent requests.
    #[must_use]
    pub fn state(&self, now: Duration) -> State {
        match self.ejected_until {
            Some(until) if now < until => State::Ejected,
            // A probe without an outcome expires, so that another one may be sent.
            Some(_) if self.probe_started.is_some_and(|since| now < since + FIRST_EJECTION) => {
                State::Ejected
            }
            Some(_) => State::ProbeDue,
            None => State::Healthy,
        }
    }

    /// Records that a request was sent; it counts as the probe if one is due.
    pub fn start_probe(&mut self, now: Duration) {
        if self.state(now) == State::ProbeDue {
            self.probe_started = Some(now);
        }
    }
}
