//! How far the configuration in force is behind the newest known one.

use std::collections::VecDeque;
use std::time::Duration;

/// How many newer versions are remembered: more than are published within the time in which a
/// configuration has to be in force.
const MAX_VERSIONS: usize = 32;

/// The versions of the configuration that a gateway knows to exist, and since when.
// Invariants: versions grow, times do not fall; both from the oldest to the newest.
#[derive(Debug, Clone, Default)]
pub struct Lag {
    versions: VecDeque<(u64, Duration)>,
}

impl Lag {
    /// Records that a version exists. Returns whether it is newer than all known ones.
    pub fn record(&mut self, version: u64, now: Duration) -> bool {
        if version <= self.newest() {
            return false;
        }
        if self.versions.len() == MAX_VERSIONS {
            self.versions.pop_front();
        }
        self.versions.push_back((version, now));
        true
    }

    /// Returns the newest known version, or zero for none.
    #[must_use]
    pub fn newest(&self) -> u64 {
        self.versions.back().map_or(0, |(version, _)| *version)
    }

    /// Returns for how long a version newer than the one in force has been known.
    #[must_use]
    pub fn behind(&self, in_force: u64, now: Duration) -> Duration {
        let first = self.versions.iter().find(|(version, _)| *version > in_force);
        first.map_or(Duration::ZERO, |(_, since)| now.saturating_sub(*since))
    }
}
