//! The versions that models are to have, and for how long they have been named.

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

    /// The versions that are newer than those of another rollout.
    #[must_use]
    pub fn newer_than(&self, other: &Self) -> Self {
        let newer = self.0.iter().filter(|(model, version)| **version > other.version(model));
        Self(newer.map(|(model, version)| (model.clone(), *version)).collect())
    }

    /// Takes in what another process knows; true when any of it was news.
    pub fn merge(&mut self, other: &Self) -> bool {
        let named = other.0.iter().map(|(model, version)| self.name(model.clone(), *version));
        named.fold(false, |any, newer| any | newer)
    }
}

/// What is known of the time since a version was named.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Age {
    /// It was named while someone watched, at least so long ago.
    Seen(Duration),
    /// It was there already when whoever knows of it started.
    Found,
}

impl Age {
    /// The age after more time has passed.
    #[must_use]
    pub fn after(self, time: Duration) -> Self {
        match self {
            Self::Seen(age) => Self::Seen(age.saturating_add(time)),
            Self::Found => Self::Found,
        }
    }

    /// The better of two ages of the same version: all that were seen are at
    /// most the true one.
    #[must_use]
    fn or(self, other: Self) -> Self {
        match (self, other) {
            (Self::Seen(one), Self::Seen(other)) => Self::Seen(one.max(other)),
            (Self::Found, seen) | (seen, Self::Found) => seen,
        }
    }
}

/// How many versions of a model are kept, so that messages stay small: engines
/// hold the newest or one of the two before it.
const KEPT: usize = 3;

/// The ages of the newest versions of each model, as one process tells another.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ages(BTreeMap<Model, BTreeMap<Version, Age>>);

impl Ages {
    /// The newest of the versions.
    #[must_use]
    pub fn rollout(&self) -> Rollout {
        let mut rollout = Rollout::default();
        for (model, versions) in &self.0 {
            if let Some((newest, _)) = versions.last_key_value() {
                rollout.name(model.clone(), *newest);
            }
        }
        rollout
    }
}

/// An age and when, by the process's own clock, it was so.
#[derive(Debug, Clone, Copy)]
struct Noted {
    age: Age,
    at: Duration,
}

impl Noted {
    /// The age now.
    fn now(self, now: Duration) -> Age {
        self.age.after(now.saturating_sub(self.at))
    }
}

/// Keeps only the newest versions. The oldest that stays takes over the age of
/// the one before it: what that one ended must not begin again.
fn forget_oldest(versions: &mut BTreeMap<Version, Noted>, now: Duration) {
    while versions.len() > KEPT {
        let Some((_, forgotten)) = versions.pop_first() else { return };
        if let Some(mut oldest) = versions.first_entry() {
            let age = oldest.get().now(now).or(forgotten.now(now));
            oldest.insert(Noted { age, at: now });
        }
    }
}

/// For how long versions have been named, to tell how long an older one may
/// still begin requests.
// Invariant: at most `KEPT` versions of a model, its newest ones; the oldest of
// them has at least the age of all that are no longer kept.
#[derive(Debug, Default)]
pub struct Timeline {
    noted: BTreeMap<Model, BTreeMap<Version, Noted>>,
}

impl Timeline {
    /// Takes in that versions have the given age now; true when any is news or
    /// was only found before.
    pub fn learn(&mut self, rollout: &Rollout, age: Age, now: Duration) -> bool {
        let noted = rollout.0.iter().map(|(model, version)| self.note(model, *version, age, now));
        noted.fold(false, |any, better| any | better)
    }

    /// Takes in what another process knows of ages; true when any version is news
    /// or was only found before.
    pub fn merge(&mut self, ages: &Ages, now: Duration) -> bool {
        let mut any = false;
        for (model, versions) in &ages.0 {
            for (version, age) in versions {
                any |= self.note(model, *version, *age, now);
            }
        }
        any
    }

    /// Notes an age, if it is better than the one that is known.
    fn note(&mut self, model: &Model, version: Version, age: Age, now: Duration) -> bool {
        let versions = self.noted.entry(model.clone()).or_default();
        let oldest = versions.first_key_value().map(|(oldest, _)| *oldest);
        if versions.len() == KEPT && oldest.is_some_and(|oldest| version < oldest) {
            return false;
        }
        let known = versions.get(&version).map(|noted| noted.now(now));
        let better = known.map_or(age, |known| known.or(age));
        versions.insert(version, Noted { age: better, at: now });
        forget_oldest(versions, now);
        known.is_none() || (known == Some(Age::Found) && better != Age::Found)
    }

    /// What is known of ages, for another process.
    #[must_use]
    pub fn ages(&self, now: Duration) -> Ages {
        let versions = |noted: &BTreeMap<Version, Noted>| {
            noted.iter().map(|(version, noted)| (*version, noted.now(now))).collect()
        };
        Ages(self.noted.iter().map(|(model, noted)| (model.clone(), versions(noted))).collect())
    }

    /// How much longer a version may begin requests, so long after a newer one
    /// was named; none while it is the newest.
    #[must_use]
    pub fn left(
        &self,
        model: &Model,
        version: Version,
        overlap: Duration,
        now: Duration,
    ) -> Option<Duration> {
        let newer = self.noted.get(model)?.iter().filter(|(known, _)| **known > version);
        let left = |noted: &Noted| match noted.now(now) {
            Age::Seen(age) => overlap.saturating_sub(age),
            // It may be the oldest of all: an old version that goes on too long
            // breaks a promise, one that ends too soon costs a few seconds' service.
            Age::Found => Duration::ZERO,
        };
        newer.map(|(_, noted)| left(noted)).min()
    }
}
