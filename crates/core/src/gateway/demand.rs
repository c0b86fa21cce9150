//! The rate at which requests arrive at a gateway and at the others, and how urgent they are.
//!
//! A gateway measures its own rate for each service ([`Demand`]) and reports it to others in
//! [`Update`]s, which they forward. A [`Table`] holds the figures of others.

mod table;

use std::collections::BTreeMap;
use std::time::Duration;

pub use table::{MAX_AGE, MAX_UPDATES, Table, Tag, Update};

/// Time constant of the exponential average: short enough to follow a burst that lasts
/// seconds, long enough for a gateway that receives a few requests a second.
const TIME_CONSTANT: Duration = Duration::from_secs(2);

/// An estimate of the arrival rate, as an exponentially decaying average.
#[derive(Debug, Clone, Copy, Default)]
pub struct Demand {
    // The decayed number of arrivals at the time of the last one.
    weight: f64,
    last_arrival: Duration,
}

impl Demand {
    /// Records an arrival.
    pub fn record_arrival(&mut self, now: Duration) {
        self.weight = self.decayed(now) + 1.0;
        self.last_arrival = now;
    }

    /// The estimated number of arrivals per second.
    #[must_use]
    pub fn per_second(&self, now: Duration) -> f64 {
        self.decayed(now) / TIME_CONSTANT.as_secs_f64()
    }

    fn decayed(&self, now: Duration) -> f64 {
        let passed = now.saturating_sub(self.last_arrival).as_secs_f64();
        self.weight * (-passed / TIME_CONSTANT.as_secs_f64()).exp()
    }
}

/// How long requests of a priority are expected to go on after the last one.
const URGENCY_LASTS: Duration = Duration::from_secs(3);

/// When the last request of each priority arrived; 0 is the most urgent.
#[derive(Debug, Clone, Default)]
pub struct Urgency(BTreeMap<u8, Duration>);

impl Urgency {
    /// Records an arrival.
    pub fn record_arrival(&mut self, priority: u8, now: Duration) {
        self.0.insert(priority, now);
    }

    /// Whether more urgent requests than those of a priority have arrived lately.
    #[must_use]
    pub fn is_exceeded(&self, priority: u8, now: Duration) -> bool {
        self.0.range(..priority).any(|(_, last)| *last + URGENCY_LASTS > now)
    }
}
