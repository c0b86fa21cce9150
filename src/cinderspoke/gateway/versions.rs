//! What a gateway knows of versions of weights: which were named, and for how long.

use std::time::Duration;

use cinderspoke_core::gateway::fact::{Fact, Revision};
use cinderspoke_core::gateway::name::Model;
use cinderspoke_core::gateway::rollout::{Rollout, Version};
use cinderspoke_core::gateway::timeline::{Age, Ages};
use cinderspoke_core::gateway::watch::Freshness;

use super::inner::Inner;
use super::state::State;

impl State {
    /// Takes in what the store says of named versions. What a process finds when
    /// it first reads the store may have been named long before it started; what
    /// the store did not say before was named just now, or at some time since the
    /// store last answered: an old version that goes on too long breaks a promise.
    pub fn apply_rollout(&self, fact: &Fact<Rollout>, freshness: Freshness) {
        let (now, rollout) = (self.clock().now(), &fact.value);
        let age = match freshness {
            Freshness::New => Age::Seen(Duration::ZERO),
            Freshness::Within(time) => Age::Within(time),
        };
        self.change_versions("store", |inner| {
            inner.rollout_revision = inner.rollout_revision.max(fact.revision);
            inner.rollout.merge(rollout);
            match &mut inner.stored_rollout {
                Some(stored) => {
                    let news = rollout.newer_than(stored);
                    stored.merge(rollout);
                    inner.timeline.record(&news, age, now)
                }
                none => {
                    *none = Some(rollout.clone());
                    inner.timeline.record(rollout, Age::Found, now)
                }
            }
        });
    }

    /// The last revision of the store at which the versions are known to be the newest; none
    /// before any.
    #[must_use]
    pub fn rollout_revision(&self) -> Option<Revision> {
        Some(self.lock().rollout_revision).filter(|revision| *revision > Revision::default())
    }

    /// When another gateway last told a newer such revision; zero if none did.
    #[must_use]
    pub fn rollout_gossiped_at(&self) -> Duration {
        self.lock().rollout_gossiped_at
    }

    /// Merges for how long versions have been named, as another gateway knows it by a
    /// revision of the store: whatever was named until then is among them.
    pub fn merge_versions(&self, ages: &Ages, revision: Revision) {
        self.merge_ages(ages, "gateway");
        let now = self.clock().now();
        let mut inner = self.lock();
        if revision > inner.rollout_revision {
            (inner.rollout_revision, inner.rollout_gossiped_at) = (revision, now);
            let told = inner.rollout.clone();
            inner.stored_rollout.get_or_insert(told);
        }
    }

    /// Merges for how long versions have been named, as another process knows it.
    pub fn merge_ages(&self, ages: &Ages, from: &str) {
        let now = self.clock().now();
        self.change_versions(from, |inner| {
            inner.rollout.merge(&ages.rollout());
            inner.timeline.merge(ages, now)
        });
    }

    /// Has versions learned; makes them known if any is news, or its age is.
    fn change_versions(&self, from: &str, learn: impl FnOnce(&mut Inner) -> bool) {
        let mut inner = self.lock();
        if !learn(&mut inner) {
            return;
        }
        self.rebuild_view(&mut inner);
        let ages = inner.timeline.ages(self.clock().now());
        drop(inner);
        tracing::info!(?ages, from, "versions changed");
        self.publish();
    }

    /// The versions that were named, and for how long.
    #[must_use]
    pub fn ages(&self) -> Ages {
        self.lock().timeline.ages(self.clock().now())
    }

    /// How much longer a model's version may begin requests at an endpoint whose link
    /// is narrow, or is not; none for no end.
    #[must_use]
    pub fn version_time_left(
        &self,
        model: &Model,
        version: Version,
        narrow: bool,
    ) -> Option<Duration> {
        let overlap = self.options().overlap;
        let overlap = if narrow { overlap.narrow } else { overlap.clear };
        self.lock().timeline.remaining(model, version, overlap, self.clock().now())
    }
}
