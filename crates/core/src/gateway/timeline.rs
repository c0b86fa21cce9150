//! How long ago versions were named, and so for how long requests may still begin on older ones.
//!
//! Only a process that watched while a version was named knows its age. Processes exchange ages
//! as durations. An age from a process that saw the version being named is a lower bound, so the
//! greatest one is used. An age from a process that learned of the version late is an upper bound,
//! so the smallest one is used, and only until a lower bound is known.
//!
//! [`Timeline`] combines the [`Age`]s that this process observed with the [`Ages`] of others.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::name::Model;
use super::rollout::{Rollout, Version};

/// What is known about the time since a version was named.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Age {
    /// A process saw it being named, at least so long ago.
    Seen(Duration),
    /// No process is known to have seen it being named; that was at most so long ago.
    Within(Duration),
    /// It was named before the processes that know it started.
    Found,
}

impl Age {
    /// Returns the age after `time` has passed.
    #[must_use]
    pub fn after(self, time: Duration) -> Self {
        match self {
            Self::Seen(age) => Self::Seen(age.saturating_add(time)),
            Self::Within(age) => Self::Within(age.saturating_add(time)),
            Self::Found => Self::Found,
        }
    }

    /// Returns the more accurate of two ages of the same version.
    #[must_use]
    fn or(self, other: Self) -> Self {
        match (self, other) {
            (Self::Seen(one), Self::Seen(other)) => Self::Seen(one.max(other)),
            (Self::Within(one), Self::Within(other)) => Self::Within(one.min(other)),
            (seen @ Self::Seen(_), _) | (_, seen @ Self::Seen(_)) => seen,
            (within @ Self::Within(_), _) | (_, within @ Self::Within(_)) => within,
            (Self::Found, Self::Found) => Self::Found,
        }
    }

    /// Returns how the age is known, without its duration.
    fn kind(self) -> std::mem::Discriminant<Self> {
        std::mem::discriminant(&self)
    }
}

/// How many versions of a model are kept, which bounds the messages: engines hold the newest
/// version or one of the two before it.
const MAX_VERSIONS: usize = 3;

/// The ages of the newest versions of each model, as processes exchange them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ages(BTreeMap<Model, BTreeMap<Version, Age>>);

impl Ages {
    /// Returns the newest version of each model.
    #[must_use]
    pub fn rollout(&self) -> Rollout {
        let mut rollout = Rollout::default();
        for (model, versions) in &self.0 {
            if let Some((newest, _)) = versions.last_key_value() {
                rollout.advance(model.clone(), *newest);
            }
        }
        rollout
    }
}

/// An age, and when it was determined by the process's own clock.
#[derive(Debug, Clone, Copy)]
struct Observation {
    age: Age,
    at: Duration,
}

impl Observation {
    /// Returns the age now.
    fn now(self, now: Duration) -> Age {
        self.age.after(now.saturating_sub(self.at))
    }

    /// Returns for how much longer requests may begin on a version whose successor has this age.
    fn remaining(self, overlap: Duration, now: Duration) -> Duration {
        match self.now(now) {
            Age::Seen(age) | Age::Within(age) => overlap.saturating_sub(age),
            // The age may be any. An old version that is used for too long violates the bound of
            // the overlap; one that ends too soon costs a few seconds of service.
            Age::Found => Duration::ZERO,
        }
    }

    /// Returns the observation that gives an older version less time.
    fn earlier_end(self, other: Self, now: Duration) -> Self {
        let overlap = Duration::MAX;
        if self.remaining(overlap, now) <= other.remaining(overlap, now) { self } else { other }
    }
}

/// The versions of a model.
// Invariant: at most `MAX_VERSIONS` versions, the newest ones.
#[derive(Debug, Default)]
struct Versions {
    observed: BTreeMap<Version, Observation>,
    // The newest evicted version, with that observation of all evicted versions which leaves
    // older ones the least time: a version that they ended must not be used again.
    evicted: Option<(Version, Observation)>,
}

impl Versions {
    /// Evicts all but the newest versions.
    fn evict_oldest(&mut self, now: Duration) {
        while self.observed.len() > MAX_VERSIONS {
            let Some((version, observed)) = self.observed.pop_first() else { return };
            self.evicted = Some(match self.evicted {
                Some((newest, known)) => (newest.max(version), known.earlier_end(observed, now)),
                None => (version, observed),
            });
        }
    }

    /// Returns the observations of the versions that are newer than the given one.
    fn newer_than(&self, version: Version) -> impl Iterator<Item = &Observation> {
        let evicted = self.evicted.iter().map(|(evicted, observed)| (evicted, observed));
        let all = self.observed.iter().chain(evicted);
        all.filter(move |(known, _)| **known > version).map(|(_, observed)| observed)
    }
}

/// The ages of versions, from which follows for how long requests may begin on older ones.
#[derive(Debug, Default)]
pub struct Timeline {
    models: BTreeMap<Model, Versions>,
}

impl Timeline {
    /// Records that versions have the given age now. Returns whether any version is new or its
    /// age is of a more accurate kind than before.
    pub fn record(&mut self, rollout: &Rollout, age: Age, now: Duration) -> bool {
        let improved =
            rollout.iter().map(|(model, version)| self.observe(model, version, age, now));
        improved.fold(false, |any, improved| any | improved)
    }

    /// Merges the ages of another process. Returns whether any version is new or its age is of a
    /// more accurate kind than before.
    pub fn merge(&mut self, ages: &Ages, now: Duration) -> bool {
        let mut any = false;
        for (model, versions) in &ages.0 {
            for (version, age) in versions {
                any |= self.observe(model, *version, *age, now);
            }
        }
        any
    }

    /// Records an age, if it is more accurate than the known one.
    fn observe(&mut self, model: &Model, version: Version, age: Age, now: Duration) -> bool {
        let versions = self.models.entry(model.clone()).or_default();
        let oldest = versions.observed.first_key_value().map(|(oldest, _)| *oldest);
        let kept = versions.observed.len() < MAX_VERSIONS || oldest < Some(version);
        let known = versions.observed.get(&version).map(|observed| observed.now(now));
        let better = known.map_or(age, |known| known.or(age));
        versions.observed.insert(version, Observation { age: better, at: now });
        versions.evict_oldest(now);
        let improved = known.is_none_or(|known| known.kind() != better.kind());
        kept && improved
    }

    /// Returns the current ages, for other processes.
    #[must_use]
    pub fn ages(&self, now: Duration) -> Ages {
        let ages = |versions: &Versions| {
            versions
                .observed
                .iter()
                .map(|(version, observed)| (*version, observed.now(now)))
                .collect()
        };
        let models = self.models.iter();
        Ages(models.map(|(model, versions)| (model.clone(), ages(versions))).collect())
    }

    /// Returns for how much longer requests may begin on a version, if they may for `overlap` after
    /// a newer version was named. Returns none while the version is the newest.
    #[must_use]
    pub fn remaining(
        &self,
        model: &Model,
        version: Version,
        overlap: Duration,
        now: Duration,
    ) -> Option<Duration> {
        let versions = self.models.get(model)?;
        versions.newer_than(version).map(|observed| observed.remaining(overlap, now)).min()
    }
}
