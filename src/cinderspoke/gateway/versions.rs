//! State on versions of weights: which were named, and for how long.

use std::time::Duration;

use cinderspoke_core::gateway::fact::{Fact, Revision};
use cinderspoke_core::gateway::name::Model;
use cinderspoke_core::gateway::rollout::{Rollout, Version};
use cinderspoke_core::gateway::timeline::{Age, Ages};
use cinderspoke_core::gateway::watch::Freshness;

use super::inner::Inner;
use super::state::State;

impl State {
    /// Applies the named versions as read from the store. A version found by the first read may
    /// have been named long before the process started. A version that is new in a later read
    /// was named just now, or at some time since the store last answered. The age matters since
    /// an old version may be used only for a limited time after a new one is named.
    pub fn apply_rollout(&self, fact: &Fact<Rollout>, freshness: Freshness) {
        let (now, rollout, age) = (self.clock().now(), &fact.value, age(freshness));
        self.change_versions("store", |inner| {
            inner.rollout_revision = inner.rollout_revision.max(fact.revision);
            inner.rollout.merge(rollout);
            match &mut inner.stored_rollout {
                Some(stored) => {
                    let newer = rollout.newer_than(stored);
                    stored.merge(rollout);
                    inner.timeline.record(&newer, age, now)
                }
                none => {
                    *none = Some(rollout.clone());
                    inner.timeline.record(rollout, Age::Found, now)
                }
            }
        });
    }

    /// Applies the named versions of a list that could not be read whole. Before the first whole
    /// list, any of them may have been named long before the process started.
    pub fn apply_rollout_part(&self, rollout: &Rollout, freshness: Freshness) {
        let now = self.clock().now();
        self.change_versions("store", |inner| {
            inner.rollout.merge(rollout);
            let Some(stored) = &mut inner.stored_rollout else {
                return inner.timeline.record(rollout, Age::Found, now);
            };
            let newer = rollout.newer_than(stored);
            stored.merge(rollout);
            inner.timeline.record(&newer, age(freshness), now)
        });
    }

    /// The last revision of the store at which the versions are known to be the newest; none
    /// before any.
    #[must_use]
    pub fn rollout_revision(&self) -> Option<Revision> {
        Some(self.lock().rollout_revision).filter(|revision| *revision > Revision::default())
    }

    /// When another gateway last raised that revision; zero if none did.
    #[must_use]
    pub fn rollout_gossiped_at(&self) -> Duration {
        self.lock().rollout_gossiped_at
    }

    /// Merges the ages of versions from another gateway. They include all versions that were named
    /// up to the given revision of the store.
    pub fn merge_versions(&self, ages: &Ages, revision: Revision) {
        self.merge_ages(ages, "gateway");
        let now = self.clock().now();
        let mut inner = self.lock();
        if revision > inner.rollout_revision {
            (inner.rollout_revision, inner.rollout_gossiped_at) = (revision, now);
            let current = inner.rollout.clone();
            inner.stored_rollout.get_or_insert(current);
        }
    }

    /// Merges the ages of versions from another process.
    pub fn merge_ages(&self, ages: &Ages, from: &str) {
        let now = self.clock().now();
        self.change_versions(from, |inner| {
            inner.rollout.merge(&ages.rollout());
            inner.timeline.merge(ages, now)
        });
    }

    /// Applies a change of versions, and publishes them if any version or age changed.
    fn change_versions(&self, from: &str, change: impl FnOnce(&mut Inner) -> bool) {
        let mut inner = self.lock();
        if !change(&mut inner) {
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

    /// How much longer requests may begin with a model's version at an endpoint; `None` for no
    /// limit. `is_congested` says whether its link is congested, which leaves
    /// less time.
    #[must_use]
    pub fn version_time_left(
        &self,
        model: &Model,
        version: Version,
        is_congested: bool,
    ) -> Option<Duration> {
        let overlap = self.options().overlap;
        let overlap = if is_congested { overlap.narrow } else { overlap.clear };
        self.lock().timeline.remaining(model, version, overlap, self.clock().now())
    }
}

/// The age of a version that is new in an answer.
fn age(freshness: Freshness) -> Age {
    match freshness {
        Freshness::New => Age::Seen(Duration::ZERO),
        Freshness::Within(time) => Age::Within(time),
    }
}
