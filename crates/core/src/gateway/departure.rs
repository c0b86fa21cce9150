//! Runs of endpoints that are gone, as far as this gateway has seen.
//!
//! The platform may come back from an older copy of itself, which lists endpoints that have ended
//! since. The [`Table`] remembers their runs for longer than such copies are old. An entry may
//! also have lapsed although its endpoint lives, so that a run is gone only until it writes again.

use std::collections::BTreeMap;
use std::time::Duration;

use super::notice::{Run, Update};

/// How long after the platform's return from a copy an entry that still stands in it shows that its
/// endpoint lives: entries that are not renewed lapse after three heartbeats of 1.2 s, and an answer
/// of the platform that shows it may be 4 s late.
pub const LAPSE: Duration = Duration::from_secs(8);

/// How long a run that is gone is remembered: longer than copies of the platform are old.
const MEMORY: Duration = Duration::from_secs(60);

/// The most runs that are remembered, at 16 bytes each.
const MAX_RUNS: usize = 4096;

/// The most updates in one message, at about 14 bytes each.
const MAX_UPDATES: usize = 32;

/// The runs that are gone.
// Invariant: at most `MAX_RUNS`.
#[derive(Debug, Clone, Default)]
pub struct Table {
    // When each run went, by the gateway's own clock.
    gone: BTreeMap<Run, Duration>,
}

impl Table {
    /// Records that a run is gone.
    pub fn record(&mut self, run: Run, now: Duration) {
        self.gone.insert(run, now);
        if self.gone.len() > MAX_RUNS {
            let oldest = self.gone.iter().min_by_key(|(_, at)| **at).map(|(run, _)| *run);
            oldest.map(|run| self.gone.remove(&run));
        }
    }

    /// Records that a run has written its entry, so that it is not gone.
    pub fn forget(&mut self, run: Run) {
        self.gone.remove(&run);
    }

    /// Returns whether a run was gone by a time.
    #[must_use]
    pub fn went_by(&self, run: Run, time: Duration) -> bool {
        self.gone.get(&run).is_some_and(|at| *at <= time)
    }

    /// Iterates over the runs.
    pub fn runs(&self) -> impl Iterator<Item = Run> {
        self.gone.keys().copied()
    }

    /// Removes the runs that went long ago.
    pub fn expire(&mut self, now: Duration) {
        self.gone.retain(|_, at| *at + MEMORY > now);
    }

    /// Merges the updates of another gateway on runs that were gone before an era began. Returns
    /// whether any run was not known to be so.
    pub fn merge(&mut self, updates: &[Update], began: Duration, now: Duration) -> bool {
        let new = updates.iter().filter(|update| !self.went_by(update.run, began));
        let new: Vec<_> = new.map(|Update { run, ago }| (*run, Duration::from(*ago))).collect();
        new.iter().for_each(|(run, ago)| self.record(*run, began.min(now.saturating_sub(*ago))));
        !new.is_empty()
    }

    /// Returns the updates on some runs for other gateways.
    #[must_use]
    pub fn updates(&self, runs: impl IntoIterator<Item = Run>, now: Duration) -> Vec<Update> {
        let update = |run| {
            let at = self.gone.get(&run)?;
            Some(Update { run, ago: now.saturating_sub(*at).into() })
        };
        runs.into_iter().filter_map(update).take(MAX_UPDATES).collect()
    }
}
