//! Leaving out endpoints that fail, by what became of real requests.

use std::time::Duration;

/// So many failures in a row leave an endpoint out.
const STREAK: u32 = 2;

/// The share of failures above which an endpoint is left out.
const RATE: f64 = 0.4;

/// How many requests the share has to rest on.
const SAMPLES: u32 = 6;

/// The weight of the newest request in the share of failures.
const NEWEST: f64 = 0.15;

/// How long an endpoint is left out at first.
const FIRST: Duration = Duration::from_millis(800);

/// How long an endpoint is left out at most.
const LONGEST: Duration = Duration::from_secs(6);

/// How a request at an endpoint ended, as far as it tells of the endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Observation {
    /// It answered as it should.
    Good,
    /// It answered with a failure of its own.
    Failure,
    /// It could not be reached or broke off.
    Silence,
    /// It said nothing for as long as a request could wait.
    Stall,
}

/// Whether an endpoint may be sent requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// It may.
    Healthy,
    /// One request may find out.
    ProbeDue,
    /// It may not.
    Ejected,
}

/// What is known of one endpoint's health.
#[derive(Debug, Default)]
pub struct Health {
    streak: u32,
    rate: f64,
    samples: u32,
    // How often it was left out without being well in between.
    trips: u32,
    out_until: Option<Duration>,
    trying: Option<Duration>,
}

impl Health {
    /// Takes in how a request ended; true when the endpoint is left out by it.
    pub fn record(&mut self, sign: Observation, now: Duration) -> bool {
        let bad = if sign == Observation::Good { 0.0 } else { 1.0 };
        self.rate += NEWEST * (bad - self.rate);
        self.samples = self.samples.saturating_add(1);
        if sign == Observation::Good {
            if self.trying.is_some() || self.out_until.is_some() {
                *self = Self { trips: self.trips, ..Self::default() };
            }
            self.streak = 0;
            if self.samples > 4 * SAMPLES {
                self.trips = 0;
            }
            return false;
        }
        if sign == Observation::Silence {
            self.streak += 1;
        }
        let tried = self.trying.take().is_some();
        let out = tried
            || sign == Observation::Stall
            || self.streak >= STREAK
            || (self.samples >= SAMPLES && self.rate > RATE);
        if out {
            let wait = FIRST.saturating_mul(1 << self.trips.min(4)).min(LONGEST);
            self.out_until = Some(now + wait);
            self.trips += 1;
            self.streak = 0;
            self.samples = 0;
            self.rate = 0.0;
        }
        out
    }

    /// Whether it may be sent requests.
    #[must_use]
    pub fn state(&self, now: Duration) -> State {
        match self.out_until {
            Some(until) if now < until => State::Ejected,
            // A trial that brought no word is given up like a new one.
            Some(_) if self.trying.is_some_and(|since| now < since + FIRST) => State::Ejected,
            Some(_) => State::ProbeDue,
            None => State::Healthy,
        }
    }

    /// Takes in that a request was sent to find out.
    pub fn start_probe(&mut self, now: Duration) {
        if self.state(now) == State::ProbeDue {
            self.trying = Some(now);
        }
    }
}
