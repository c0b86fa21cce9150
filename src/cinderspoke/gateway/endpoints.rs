//! State on the list of endpoints, and on outages of the store that affect it.

use std::collections::BTreeSet;
use std::time::Duration;

use cinderspoke_core::gateway::directory::{Change, Counts, Directory, Tracker};
use cinderspoke_core::gateway::fact::{Fact, Revision};
use cinderspoke_core::gateway::notice::Update;
use cinderspoke_core::gateway::outage::Ago;

use super::inner::Inner;
use super::state::State;
use crate::util::signal::Receiver;

impl State {
    /// Replaces the list of endpoints. Returns true if the effective list changed.
    pub fn apply_directory(&self, fact: Fact<Directory>, from: &str) -> bool {
        let now = self.clock().now();
        self.change_directory(from, |tracker| tracker.replace(fact.revision, fact.value, now))
    }

    /// Applies a part of the list of endpoints; those that it does not name stay. Returns true if the
    /// effective list changed.
    pub fn apply_directory_part(&self, fact: Fact<Directory>, from: &str) -> bool {
        let now = self.clock().now();
        self.change_directory(from, |tracker| tracker.replace_part(fact.revision, fact.value, now))
    }

    /// Applies changes to the list of endpoints. Returns true if the effective list changed.
    pub fn apply_directory_changes(&self, fact: Fact<Vec<Change>>, from: &str) -> bool {
        let now = self.clock().now();
        self.change_directory(from, |tracker| tracker.apply(fact.revision, fact.value, now))
    }

    /// Records that the store did not answer a call that was due at a time.
    pub fn record_store_failure(&self, due: Duration) {
        self.lock().outage.record_failure(due);
    }

    /// Records the start of an outage: the store has not answered since a time.
    pub fn record_outage_start(&self, since: Duration) {
        self.lock().outage.record_loss(since);
    }

    /// Records an answer of the store.
    pub fn record_store_answer(&self) {
        let now = self.clock().now();
        self.lock().outage.record_answer(now);
    }

    /// Records the end of an outage: the store answers again. If it answered other gateways
    /// meanwhile, the outage was local and no entries have expired because of it.
    pub fn record_outage_end(&self) {
        let now = self.clock().now();
        let mut inner = self.lock();
        inner.outage.record_return(now);
        // Each kind of data is read again at its own time; entries may be registered again from
        // the first of these answers on.
        if let Some(at) = inner.outage.ended().filter(|_| !inner.outage.is_local()) {
            let away = inner.outage.last_unanswered().unwrap_or(at);
            inner.tracker.record_recovery(at, away);
        }
    }

    /// Merges how long ago the store answered other gateways.
    pub fn merge_store_answers(&self, answers: &[Ago]) {
        let now = self.clock().now();
        let mut inner = self.lock();
        if !inner.outage.merge_answers(answers, now) {
            return;
        }
        drop(inner);
        let last_ms = answers.first().map(|ago| Duration::from(*ago).as_millis() as u64);
        tracing::info!(last_ms, "the outage affected only this gateway");
        self.change_directory("gateway", |tracker| tracker.record_local_outage(now));
    }

    /// When the next retained entry or evacuated zone expires; none if none is retained.
    #[must_use]
    pub fn next_retention_end(&self) -> Option<Duration> {
        let inner = self.lock();
        inner.tracker.next_expiry().into_iter().chain(inner.evacuation.next_expiry()).min()
    }

    /// Returns a receiver that is notified when the next expiry of a retained entry changes.
    #[must_use]
    pub fn retention_changes(&self) -> Receiver {
        self.retention_signal().subscribe()
    }

    /// Removes the entries, and reopens the zones, that were retained after an outage or for an older
    /// copy of the store and that nobody wrote again in time.
    pub fn expire_retained(&self) {
        let now = self.clock().now();
        self.change_directory("outage", |tracker| tracker.expire(now));
        self.expire_held_zones();
    }

    /// Merges the runs that another gateway knows to be gone although an older copy lists them.
    pub fn merge_gone(&self, updates: &[Update]) {
        if !updates.is_empty() {
            let now = self.clock().now();
            self.change_directory("gateway", |tracker| tracker.merge_gone(updates, now));
        }
    }

    /// Changes the list of endpoints, and rebuilds the view and publishes the list if it differs.
    fn change_directory(&self, from: &str, change: impl FnOnce(&mut Tracker) -> bool) -> bool {
        let mut inner = self.lock();
        let (before, due) = (inner.tracker.revision(), inner.tracker.next_expiry());
        let changed = change(&mut inner.tracker);
        if inner.tracker.next_expiry() != due {
            self.retention_signal().raise();
        }
        let is_joined = self.join_era(&mut inner, before, from);
        if changed || is_joined {
            inner.sync_targets(self.clock().now());
            self.rebuild_view(&mut inner);
            let (endpoints, revision) = (inner.targets.len(), inner.tracker.revision());
            let (copies, is_part) = (inner.tracker.copies(), inner.tracker.is_part());
            drop(inner);
            tracing::info!(endpoints, %revision, from, copies, is_part, "endpoints changed");
            self.publish();
        }
        changed
    }

    /// Records the runs that were draining when the list became that of an older copy, which may
    /// list them as ready, and logs what became of the list. Returns whether it did.
    fn join_era(&self, inner: &mut Inner, before: Revision, from: &str) -> bool {
        let revision = inner.tracker.revision();
        if before == Revision::default() || revision.era() == before.era() {
            return false;
        }
        let now = self.clock().now();
        let drained = BTreeSet::from_iter(inner.tracker.take_drained());
        drained.iter().for_each(|run| _ = inner.notices.record_drain(*run, now));
        let targets = inner.targets.values().filter(|target| drained.contains(&target.run));
        targets.for_each(|target| target.set_draining());
        let Counts { retained, aside } = inner.tracker.counts();
        let drained = drained.len();
        tracing::warn!(
            %before, %revision, from, retained, aside, drained,
            "endpoints of an older copy of the store joined"
        );
        true
    }
}
