//! The versions that models are to have.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::name::Model;

/// The number of a model's weights; grows with each that is named.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Version(pub u64);

impl std::fmt::Display for Version {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(formatter)
    }
}

/// The version that engines hold before any is named.
pub const FIRST: Version = Version(1);

/// The newest named version of each model.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollout(BTreeMap<Model, Version>);

impl Rollout {
    /// Takes in that a version was named; true when it is newer than what was known.
    pub fn name(&mut self, model: Model, version: Version) -> bool {
        let known = self.0.entry(model).or_insert(FIRST);
        let newer = version > *known;
        *known = version.max(*known);
        newer
    }

    /// The version that a model is to have.
    #[must_use]
    pub fn version(&self, model: &Model) -> Version {
        self.0.get(model).copied().unwrap_or(FIRST)
    }

    /// Takes in what another process knows; true when any of it was news.
    pub fn merge(&mut self, other: &Self) -> bool {
        let named = other.0.iter().map(|(model, version)| self.name(model.clone(), *version));
        named.fold(false, |any, newer| any | newer)
    }
}

/// How long after its start a process takes versions to be older than its knowledge.
const FOUND: Duration = Duration::from_secs(2);

/// When versions became known here, to tell how long an older one may still answer.
#[derive(Debug, Default)]
// Invariant: the versions of a model are in rising order.
pub struct Timeline {
    known: BTreeMap<Model, Vec<(Version, Duration)>>,
}

impl Timeline {
    /// Takes in what is known now. A version that is found soon after the
    /// process has started may have been named `head_start` earlier.
    pub fn learn(&mut self, rollout: &Rollout, now: Duration, head_start: Duration) {
        for (model, version) in &rollout.0 {
            let found = now < FOUND;
            let versions = self.known.entry(model.clone()).or_default();
            if versions.last().is_some_and(|(last, _)| last >= version) {
                continue;
            }
            let since = if found { now.saturating_sub(head_start) } else { now };
            versions.push((*version, since));
        }
    }

    /// Until when a version may begin requests, so long after a newer one was
    /// named; none while it is the newest.
    #[must_use]
    pub fn ends(&self, model: &Model, version: Version, overlap: Duration) -> Option<Duration> {
        let newer = self.known.get(model)?.iter().find(|(known, _)| *known > version);
        newer.map(|(_, since)| *since + overlap)
    }
}
