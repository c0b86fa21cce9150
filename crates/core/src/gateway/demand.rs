//! How many requests come to a gateway in a second.

use std::time::Duration;

/// Over how long arrivals are averaged: short enough to follow a burst that lasts
/// seconds, long enough for a gateway that gets a few requests a second.
const MEMORY: Duration = Duration::from_secs(2);

/// A rate of arrivals, in which older ones count for less.
#[derive(Debug, Clone, Copy, Default)]
pub struct Demand {
    // Arrivals, each as much as is left of it.
    weight: f64,
    at: Duration,
}

impl Demand {
    /// Takes in an arrival.
    pub fn record_arrival(&mut self, now: Duration) {
        self.weight = self.left(now) + 1.0;
        self.at = now;
    }

    /// Arrivals a second.
    #[must_use]
    pub fn per_second(&self, now: Duration) -> f64 {
        self.left(now) / MEMORY.as_secs_f64()
    }

    fn left(&self, now: Duration) -> f64 {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        self.weight * (-passed / MEMORY.as_secs_f64()).exp()
    }
}
