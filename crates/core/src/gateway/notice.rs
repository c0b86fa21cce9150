//! What endpoints say of themselves in their answers: that they are about to leave, or for
//! how long they want no requests.
//!
//! The platform's list tells of the first as well, but later, and not at all while the
//! store takes nothing; nobody else tells of the second. What was said holds for one run of
//! an endpoint, whatever lists come meanwhile.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::directory::{Entry, Start};
use super::name::Endpoint;
use super::outage::Ago;
use crate::rendezvous::Key;

/// For how long it is known of a run that no list names that it leaves. Entries lapse while
/// the store is away and are back after it, and one that leaves may serve on for minutes.
const KEPT: Duration = Duration::from_secs(600);

/// The most runs that are known to leave, 24 bytes each.
const MOST: usize = 4096;

/// The most of them that others are told at once, some 14 bytes each: a link's packet holds
/// them beside the rest of a digest.
const MAX_UPDATES: usize = 48;

/// One run of an endpoint, from its start to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Run(u64);

impl Run {
    /// The run that an entry is of.
    #[must_use]
    pub fn of(name: &Endpoint, entry: &Entry) -> Self {
        let Entry { address, start, .. } = entry;
        Self(Key::of(&format!("{name} {address} {start:?}")).as_u64())
    }
}

/// An engine's word that it leaves, as its agent heard it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Drain {
    /// When the engine that said so had started, where it tells that.
    pub start: Option<Start>,
}

/// A run that leaves, as gateways tell each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The run.
    pub run: Run,
    /// How long ago it said so.
    pub ago: Ago,
}

/// What runs of endpoints have said, by the gateway's own time.
#[derive(Debug, Default)]
pub struct Table {
    // When each run first said that it leaves.
    leaving: BTreeMap<Run, Duration>,
    // Until when each run wants no requests.
    rests: BTreeMap<Run, Duration>,
}

impl Table {
    /// Takes in that a run leaves; true when that is news.
    pub fn record_drain(&mut self, run: Run, now: Duration) -> bool {
        let is_news = self.leaving.insert(run, now).is_none();
        while self.leaving.len() > MOST {
            let oldest = self.leaving.iter().min_by_key(|(_, said)| **said).map(|(run, _)| *run);
            oldest.map(|run| self.leaving.remove(&run));
        }
        is_news
    }

    /// Takes in that a run wants no requests until a time; one that it has asked for
    /// already is not made shorter.
    pub fn record_backoff(&mut self, run: Run, until: Duration) {
        let known = self.rests.entry(run).or_default();
        *known = until.max(*known);
    }

    /// Whether a run leaves.
    #[must_use]
    pub fn is_draining(&self, run: Run) -> bool {
        self.leaving.contains_key(&run)
    }

    /// Until when a run wants no requests.
    #[must_use]
    pub fn backoff_until(&self, run: Run) -> Duration {
        self.rests.get(&run).copied().unwrap_or_default()
    }

    /// What other gateways are to be told, the newest first: the runs that leave although
    /// the list has them as ready. The list tells of all others.
    #[must_use]
    pub fn updates(&self, ready: impl IntoIterator<Item = Run>, now: Duration) -> Vec<Update> {
        if self.leaving.is_empty() {
            return Vec::new();
        }
        let said = |run: Run| Some((*self.leaving.get(&run)?, run));
        let mut told: Vec<_> = ready.into_iter().filter_map(said).collect();
        told.sort_unstable_by(|one, other| other.cmp(one));
        told.truncate(MAX_UPDATES);
        let told = told.into_iter();
        told.map(|(said, run)| Update { run, ago: now.saturating_sub(said).into() }).collect()
    }

    /// Takes in what another gateway tells; gives the runs that are news.
    pub fn merge(&mut self, told: &[Update], now: Duration) -> Vec<Run> {
        let mut news = Vec::new();
        for Update { run, ago } in told {
            let said = now.saturating_sub(Duration::from(*ago));
            if !self.is_draining(*run) && self.record_drain(*run, said) {
                news.push(*run);
            }
        }
        news
    }

    /// Forgets rests that are over, and runs that said long ago that they leave, but for
    /// those that are listed still.
    pub fn expire(&mut self, is_listed: impl Fn(Run) -> bool, now: Duration) {
        self.rests.retain(|_, until| *until > now);
        self.leaving.retain(|run, said| *said + KEPT > now || is_listed(*run));
    }
}
