//! For how long versions have been named, and so how long older ones may go on.
//!
//! Only who watched when a version was named knows its age. Processes tell each
//! other ages as durations. Who saw it named tells an age that is at most the true
//! one, so the greatest counts; who heard of it late tells one that is at least the
//! true one, so the least counts, and only until someone who saw it tells.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::name::Model;
use super::rollout::{Rollout, Version};

/// What is known of the time since a version was named.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Age {
    /// It was named while someone watched, at least so long ago.
    Seen(Duration),
    /// It was named while nobody is known to have watched, at most so long ago.
    Within(Duration),
    /// It was there already when whoever knows of it started.
    Found,
}

impl Age {
    /// The age after more time has passed.
    #[must_use]
    pub fn after(self, time: Duration) -> Self {
        match self {
            Self::Seen(age) => Self::Seen(age.saturating_add(time)),
            Self::Within(age) => Self::Within(age.saturating_add(time)),
            Self::Found => Self::Found,
        }
    }

    /// The better of two ages of the same version.
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

    /// How well it is known, without how long it is.
    fn kind(self) -> std::mem::Discriminant<Self> {
        std::mem::discriminant(&self)
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
                rollout.advance(model.clone(), *newest);
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

    /// How much longer a version may begin requests that one of this age followed.
    fn left(self, overlap: Duration, now: Duration) -> Duration {
        match self.now(now) {
            Age::Seen(age) | Age::Within(age) => overlap.saturating_sub(age),
            // It may be the oldest of all: an old version that goes on too long
            // breaks a promise, one that ends too soon costs a few seconds' service.
            Age::Found => Duration::ZERO,
        }
    }

    /// The one of two ages that leaves an older version less time.
    fn ending_first(self, other: Self, now: Duration) -> Self {
        let overlap = Duration::MAX;
        if self.left(overlap, now) <= other.left(overlap, now) { self } else { other }
    }
}

/// The versions of a model.
// Invariant: at most `KEPT` versions, the newest ones.
#[derive(Debug, Default)]
struct Versions {
    noted: BTreeMap<Version, Noted>,
    // The newest version that is not kept any more, with the age of that one of all that
    // are not which leaves older ones the least time: what they ended must not begin again.
    forgotten: Option<(Version, Noted)>,
}

impl Versions {
    /// Keeps only the newest versions.
    fn forget_oldest(&mut self, now: Duration) {
        while self.noted.len() > KEPT {
            let Some((version, noted)) = self.noted.pop_first() else { return };
            self.forgotten = Some(match self.forgotten {
                Some((newest, known)) => (newest.max(version), known.ending_first(noted, now)),
                None => (version, noted),
            });
        }
    }

    /// The ages of versions that are newer than one.
    fn newer_than(&self, version: Version) -> impl Iterator<Item = &Noted> {
        let forgotten = self.forgotten.iter().map(|(forgotten, noted)| (forgotten, noted));
        let all = self.noted.iter().chain(forgotten);
        all.filter(move |(known, _)| **known > version).map(|(_, noted)| noted)
    }
}

/// For how long versions have been named, to tell how long an older one may
/// still begin requests.
#[derive(Debug, Default)]
pub struct Timeline {
    models: BTreeMap<Model, Versions>,
}

impl Timeline {
    /// Takes in that versions have the given age now; true when any is news or is
    /// better known than before.
    pub fn record(&mut self, rollout: &Rollout, age: Age, now: Duration) -> bool {
        let noted = rollout.iter().map(|(model, version)| self.note(model, version, age, now));
        noted.fold(false, |any, better| any | better)
    }

    /// Takes in what another process knows of ages; true when any version is news
    /// or is better known than before.
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
        let versions = self.models.entry(model.clone()).or_default();
        let oldest = versions.noted.first_key_value().map(|(oldest, _)| *oldest);
        let kept = versions.noted.len() < KEPT || oldest < Some(version);
        let known = versions.noted.get(&version).map(|noted| noted.now(now));
        let better = known.map_or(age, |known| known.or(age));
        versions.noted.insert(version, Noted { age: better, at: now });
        versions.forget_oldest(now);
        let news = known.is_none_or(|known| known.kind() != better.kind());
        kept && news
    }

    /// What is known of ages, for another process.
    #[must_use]
    pub fn ages(&self, now: Duration) -> Ages {
        let ages = |versions: &Versions| {
            versions.noted.iter().map(|(version, noted)| (*version, noted.now(now))).collect()
        };
        let models = self.models.iter();
        Ages(models.map(|(model, versions)| (model.clone(), ages(versions))).collect())
    }

    /// How much longer a version may begin requests, so long after a newer one
    /// was named; none while it is the newest.
    #[must_use]
    pub fn remaining(
        &self,
        model: &Model,
        version: Version,
        overlap: Duration,
        now: Duration,
    ) -> Option<Duration> {
        let versions = self.models.get(model)?;
        versions.newer_than(version).map(|noted| noted.left(overlap, now)).min()
    }
}
