//! Notices that endpoints give in their answers: that they drain, or that they want no requests
//! for a time.
//!
//! The platform's list of endpoints also reports draining ones, but later, and not at all while
//! the store accepts no writes. Back-offs are reported nowhere else. A notice applies to one run
//! of an endpoint, whatever lists arrive in the meantime.
//!
//! [`Table`] holds the notices by [`Run`]. Gateways exchange the draining runs as [`Update`]s.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::directory::{Entry, Start};
use super::name::Endpoint;
use super::outage::Ago;
use crate::rendezvous::Key;

/// How long a draining run that is in no list is remembered. During an outage of the store
/// entries expire and they return after it, and a draining endpoint may serve for minutes more.
const RETENTION: Duration = Duration::from_secs(600);

/// The most draining runs that are remembered, at 24 bytes each.
const MAX_RUNS: usize = 4096;

/// The most updates in one message, at about 14 bytes each: they have to fit into one packet
/// together with the rest of the message.
const MAX_UPDATES: usize = 48;

/// Identifies one run of an endpoint, from its start to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Run(u64);

impl Run {
    /// Returns the run that a directory entry belongs to.
    #[must_use]
    pub fn of(name: &Endpoint, entry: &Entry) -> Self {
        let Entry { address, start, .. } = entry;
        Self(Key::of(&format!("{name} {address} {start:?}")).as_u64())
    }
}

/// An engine's notice to its agent that it drains.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Drain {
    /// When the engine started, if it reports that.
    pub start: Option<Start>,
}

/// A run that drains or is gone, as one gateway reports it to another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The run.
    pub run: Run,
    /// How long ago it announced that it drains, or its entry went.
    pub ago: Ago,
}

/// The notices of all runs, with times by the gateway's own clock.
#[derive(Debug, Default)]
pub struct Table {
    // When each run announced that it drains.
    draining: BTreeMap<Run, Duration>,
    // Until when each run wants no requests.
    backoffs: BTreeMap<Run, Duration>,
}

impl Table {
    /// Records that a run drains. Returns whether this was unknown.
    pub fn record_drain(&mut self, run: Run, now: Duration) -> bool {
        let is_new = self.draining.insert(run, now).is_none();
        while self.draining.len() > MAX_RUNS {
            let oldest = self.draining.iter().min_by_key(|(_, since)| **since).map(|(run, _)| *run);
            oldest.map(|run| self.draining.remove(&run));
        }
        is_new
    }

    /// Records until when a run wants no requests. A back-off is never shortened.
    pub fn record_backoff(&mut self, run: Run, until: Duration) {
        let known = self.backoffs.entry(run).or_default();
        *known = until.max(*known);
    }

    /// Returns whether a run drains.
    #[must_use]
    pub fn is_draining(&self, run: Run) -> bool {
        self.draining.contains_key(&run)
    }

    /// Returns the end of the back-off that a run asked for, or zero if it asked for none.
    #[must_use]
    pub fn backoff_until(&self, run: Run) -> Duration {
        self.backoffs.get(&run).copied().unwrap_or_default()
    }

    /// Returns the updates for other gateways, the newest first: the draining runs that the
    /// platform's list still shows as ready. The list itself reports all others.
    #[must_use]
    pub fn updates(&self, ready: impl IntoIterator<Item = Run>, now: Duration) -> Vec<Update> {
        if self.draining.is_empty() {
            return Vec::new();
        }
        let since = |run: Run| Some((*self.draining.get(&run)?, run));
        let mut draining: Vec<_> = ready.into_iter().filter_map(since).collect();
        draining.sort_unstable_by(|one, other| other.cmp(one));
        draining.truncate(MAX_UPDATES);
        let draining = draining.into_iter();
        draining.map(|(since, run)| Update { run, ago: now.saturating_sub(since).into() }).collect()
    }

    /// Merges the updates of another gateway. Returns the runs that were not known to drain.
    pub fn merge(&mut self, updates: &[Update], now: Duration) -> Vec<Run> {
        let mut new = Vec::new();
        for Update { run, ago } in updates {
            let since = now.saturating_sub(Duration::from(*ago));
            if !self.is_draining(*run) && self.record_drain(*run, since) {
                new.push(*run);
            }
        }
        new
    }

    /// Removes back-offs that have ended, and runs that announced long ago that they drain,
    /// except those that are still listed.
    pub fn expire(&mut self, is_listed: impl Fn(Run) -> bool, now: Duration) {
        self.backoffs.retain(|_, until| *until > now);
        self.draining.retain(|run, since| *since + RETENTION > now || is_listed(*run));
    }
}
