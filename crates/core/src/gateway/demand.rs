//! The rate at which requests arrive at a gateway.

use std::time::Duration;

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
