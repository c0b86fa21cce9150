//! How far a configuration is behind the newest one that is known to be.

use std::collections::VecDeque;
use std::time::Duration;

/// How many newer versions are remembered: more than come within the time in which a
/// configuration has to be in force.
const REMEMBERED: usize = 32;

/// Which versions a gateway has heard of, and when.
// Invariants: versions grow, times do not fall; both from the oldest to the newest.
#[derive(Debug, Clone, Default)]
pub struct Lag {
    heard: VecDeque<(u64, Duration)>,
}

impl Lag {
    /// Takes in that a version is there; true when none as new was known.
    pub fn record(&mut self, version: u64, now: Duration) -> bool {
        if version <= self.newest() {
            return false;
        }
        if self.heard.len() == REMEMBERED {
            self.heard.pop_front();
        }
        self.heard.push_back((version, now));
        true
    }

    /// The newest version that is known to be; zero for none.
    #[must_use]
    pub fn newest(&self) -> u64 {
        self.heard.back().map_or(0, |(version, _)| *version)
    }

    /// For how long a newer version than the one in force has been known to be.
    #[must_use]
    pub fn behind(&self, in_force: u64, now: Duration) -> Duration {
        let first = self.heard.iter().find(|(version, _)| *version > in_force);
        first.map_or(Duration::ZERO, |(_, heard)| now.saturating_sub(*heard))
    }
}
