//! Tracks the list of endpoints across outages of the platform, and across its returns from older
//! copies of itself.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::super::departure::{self, LAPSE};
use super::super::fact::Revision;
use super::super::name::{Endpoint, Service};
use super::super::notice::{Run, Update};
use super::{Change, Directory, Entry, FIRST_UPDATES, MAX_RETENTION, RENEWAL_RETENTION, RETENTION};

/// The retention period after an outage of the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Recovery {
    ended: Duration,
    // The end of the retention of entries that expired during the outage.
    until: Duration,
    // Whether the platform came back from an older copy, so that all gateways miss entries.
    is_restore: bool,
}

impl Recovery {
    /// The end of the retention of an entry that is removed now.
    fn retained_until(self, now: Duration) -> Duration {
        let is_from_outage = now <= self.ended + FIRST_UPDATES;
        if is_from_outage { self.until } else { self.until.min(now + RENEWAL_RETENTION) }
    }
}

/// Tracks the list of endpoints across outages of the platform.
// Invariant: `directory.retained` is empty, only snapshots fill it; every key of `retained` is
// in `directory.entries`.
#[derive(Debug, Default)]
pub struct Tracker {
    directory: Directory,
    revision: Revision,
    // The last revision at which the whole list was known; lower than `revision` while entries may
    // be missing, since only a part of a list could be read.
    whole: Revision,
    // Set after an outage, while removed entries count as expired and are retained.
    recovery: Option<Recovery>,
    // Retained entries, and the end of their retention.
    retained: BTreeMap<Endpoint, Duration>,
    // Endpoints that renewed their entries since the outage: if removed again, they have ended.
    renewed: BTreeSet<Endpoint>,
    // The last entries of endpoints whose address another endpoint has now. The platform still
    // lists them until they expire.
    displaced: BTreeMap<Endpoint, Displaced>,
    // Entries with the address of an endpoint that the platform went on to list: another writer has
    // copied that endpoint's entry, or part of it. None is in the list.
    copies: BTreeMap<Endpoint, Entry>,
    // The declared services; `None` until a configuration is known.
    services: Option<BTreeSet<Service>>,
    // The runs that are gone, and those that were last listed as draining.
    gone: departure::Table,
    draining: departure::Table,
    baseline: Baseline,
}

/// The last entry of an endpoint whose address another one has now.
#[derive(Debug)]
struct Displaced {
    entry: Entry,
    // From when on the platform would remove the entry unless its endpoint renewed it.
    since: Duration,
}

/// What the list was when its era began: that of an older copy, or the first list.
#[derive(Debug, Default)]
struct Baseline {
    // When the era began here.
    began: Duration,
    // Entries in it that are not used since their runs are gone. None is in the list.
    aside: BTreeMap<Endpoint, Entry>,
    // Endpoints that have written their entries since.
    written: BTreeSet<Endpoint>,
    // Runs that were draining when the era began.
    drained: Vec<Run>,
}

impl Baseline {
    /// Whether a time is within the one in which entries may be of endpoints that are gone.
    fn is_recent(&self, now: Duration) -> bool {
        now < self.began + LAPSE
    }
}

/// What became of the list when the platform came back from an older copy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Counts {
    /// Entries that the copy lacks and that are retained.
    pub retained: usize,
    /// Entries of the copy that are not used since their runs are gone.
    pub aside: usize,
}

impl Tracker {
    /// The current list, without remaining retention times.
    #[must_use]
    pub fn directory(&self) -> &Directory {
        &self.directory
    }

    /// The list for another gateway, with the remaining time of each retained entry, and with what
    /// an older copy lists although its runs are gone: without them, gateways that have the list
    /// would lack those that turn out to live.
    #[must_use]
    pub fn snapshot(&self, now: Duration) -> Directory {
        let retained = self.retained.iter();
        let retained =
            retained.map(|(name, until)| (name.clone(), until.saturating_sub(now))).collect();
        let mut list = Directory { retained, ..self.directory.clone() };
        for (name, entry) in &self.baseline.aside {
            list.entries.entry(name.clone()).or_insert_with(|| entry.clone());
        }
        list
    }

    /// The revision of the list.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// The last revision at which the whole list was known.
    #[must_use]
    pub fn whole_revision(&self) -> Revision {
        self.whole
    }

    /// Whether entries may be missing, since only a part of a list could be read.
    #[must_use]
    pub fn is_part(&self) -> bool {
        self.whole < self.revision
    }

    /// How many entries are not used since they are copies of those of other endpoints.
    #[must_use]
    pub fn copies(&self) -> usize {
        self.copies.len()
    }

    /// When the retention of an entry ends next; `None` if no entry is retained.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Duration> {
        self.retained.values().min().copied()
    }

    /// What became of the list when its era began.
    #[must_use]
    pub fn counts(&self) -> Counts {
        Counts { retained: self.retained.len(), aside: self.baseline.aside.len() }
    }

    /// Takes the runs that were draining when the era of the list began: an older copy may list
    /// them as ready.
    pub fn take_drained(&mut self) -> Vec<Run> {
        std::mem::take(&mut self.baseline.drained)
    }

    /// The updates for other gateways on runs that are gone although the copy lists them.
    #[must_use]
    pub fn gone_updates(&self, now: Duration) -> Vec<Update> {
        let runs = self.baseline.aside.iter().map(|(name, entry)| Run::of(name, entry));
        self.gone.updates(runs, now)
    }

    /// Merges the updates of another gateway on runs that are gone. Returns whether the list
    /// changed.
    pub fn merge_gone(&mut self, updates: &[Update], now: Duration) -> bool {
        let is_new = self.gone.merge(updates, now.min(self.baseline.began), now);
        if !is_new || !self.baseline.is_recent(now) {
            return false;
        }
        let runs: BTreeSet<Run> = updates.iter().map(|update| update.run).collect();
        let is_gone = |(name, entry): &(&Endpoint, &Entry)| {
            !self.baseline.written.contains(*name) && runs.contains(&Run::of(name, entry))
        };
        let gone = self.directory.entries.iter().filter(is_gone);
        let gone: Vec<_> = gone.map(|(name, _)| name.clone()).collect();
        for name in &gone {
            let is_listed = self.retained.remove(name).is_none();
            if let Some(entry) = self.directory.entries.remove(name).filter(|_| is_listed) {
                self.baseline.aside.insert(name.clone(), entry);
            }
        }
        !gone.is_empty()
    }

    /// Sets the declared services. Entries of other services displace no endpoint.
    pub fn set_services(&mut self, services: BTreeSet<Service>) {
        self.services = Some(services);
    }

    /// Records that an outage ended: the platform answered again at `at`, and was last known to
    /// be unreachable at `unreachable_at`.
    pub fn record_recovery(&mut self, at: Duration, unreachable_at: Duration) {
        if self.recovery.is_some_and(|known| known.is_restore && at <= known.ended) {
            return;
        }
        let until = (at + RETENTION).min(unreachable_at + MAX_RETENTION);
        let recovery = Some(Recovery { ended: at, until, is_restore: false });
        if self.recovery != recovery {
            self.renewed.clear();
        }
        self.displaced.values_mut().for_each(|displaced| displaced.since = at);
        self.recovery = recovery;
    }

    /// Records that the platform was unreachable for this gateway only, so that no entry expired
    /// because of it. Drops all retained entries and returns whether there were any. Entries that
    /// are missing from an older copy are missing for all gateways, and stay retained.
    pub fn record_local_outage(&mut self, now: Duration) -> bool {
        if self.recovery.is_some_and(|recovery| recovery.is_restore) {
            return false;
        }
        self.recovery = None;
        let retained = std::mem::take(&mut self.retained);
        self.drop_entries(retained.into_keys(), now)
    }

    /// Replaces the whole list, unless the new one is older. A list of a later era is that of an
    /// older copy, or of another gateway that has read one. Returns whether anything changed.
    pub fn replace(&mut self, revision: Revision, listed: Directory, now: Duration) -> bool {
        if revision < self.revision {
            return false;
        }
        self.whole = revision;
        self.replace_entries(revision, listed, now)
    }

    /// Replaces entries by those of a part of a list, unless it is older. Known entries that the part
    /// does not name stay. Returns whether anything changed.
    pub fn replace_part(&mut self, revision: Revision, part: Directory, now: Duration) -> bool {
        if revision < self.revision {
            return false;
        }
        let named: BTreeSet<_> = part.entries.keys().cloned().collect();
        let mut listed = part;
        for (name, entry) in &self.directory.entries {
            if !listed.unusable.contains(name) {
                listed.entries.entry(name.clone()).or_insert_with(|| entry.clone());
            }
        }
        for (name, until) in &self.retained {
            if !named.contains(name) {
                listed.retained.insert(name.clone(), until.saturating_sub(now));
            }
        }
        let unusable = &self.directory.unusable;
        let unnamed = unusable.iter().filter(|name| !listed.entries.contains_key(*name));
        listed.unusable.extend(unnamed.cloned());
        self.replace_entries(revision, listed, now)
    }

    /// Replaces all entries by those of a list that is not older.
    fn replace_entries(&mut self, revision: Revision, listed: Directory, now: Duration) -> bool {
        let is_first = self.revision == Revision::default();
        let begins_era = revision.era() > self.revision.era();
        if is_first {
            self.baseline.began = now;
        } else if begins_era {
            self.begin_era(now);
        }
        self.revision = revision;
        let listed = self.without_ended(listed, is_first);
        let listed = self.without_gone(listed, now);
        let removed: Vec<_> = self
            .directory
            .entries
            .keys()
            .filter(|name| !listed.entries.contains_key(*name))
            .cloned()
            .collect();
        if !self.is_part() {
            self.displaced.retain(|name, _| listed.entries.contains_key(name));
            self.copies.retain(|name, _| listed.entries.contains_key(name));
        }
        let known: BTreeSet<_> = self.directory.entries.keys().cloned().collect();
        let removed = removed.into_iter().map(|name| match listed.unusable.contains(&name) {
            true => Change::Unusable(name),
            false => Change::Removed(name),
        });
        let mut changed = self.apply(revision, removed, now);
        let own_retained = self.retained.clone();
        self.directory.unusable = listed.unusable;
        for (name, entry) in listed.entries {
            changed |= self.put(name, entry, now, |other| known.contains(other));
        }
        for (name, left) in listed.retained {
            // Another gateway's retained entry does not show that the endpoint renewed it. The
            // earlier end of retention holds: dropping an entry makes no newer list.
            self.renewed.remove(&name);
            let received = now + left.min(RETENTION);
            let until = own_retained.get(&name).map_or(received, |own| received.min(*own));
            self.retained.insert(name, until);
        }
        changed
    }

    /// Removes from a list the entries that another gateway retains and whose endpoints, as this
    /// gateway knows, have ended or are draining. A gateway without a list accepts all.
    fn without_ended(&self, mut listed: Directory, is_first: bool) -> Directory {
        if is_first {
            return listed;
        }
        let entries = &self.directory.entries;
        let ready = |name: &Endpoint| entries.get(name).is_some_and(Entry::is_ready);
        let (retained, ended): (BTreeMap<_, _>, BTreeMap<_, _>) =
            listed.retained.into_iter().partition(|(name, _)| ready(name));
        listed.retained = retained;
        listed.entries.retain(|name, _| !ended.contains_key(name));
        listed
    }

    /// Begins a new era of the list: entries that are missing from the older copy are retained, as
    /// after an outage, until their endpoints have had time to write again.
    fn begin_era(&mut self, now: Duration) {
        let recent = self.recovery.filter(|recovery| now <= recovery.ended + FIRST_UPDATES);
        let until = recent.map_or(now + RETENTION, |recovery| recovery.until);
        self.recovery = Some(Recovery { ended: now, until, is_restore: true });
        self.renewed.clear();
        self.retained.clear();
        self.displaced.values_mut().for_each(|displaced| displaced.since = now);
        let listed = self.directory.entries.iter().filter(|(_, entry)| !entry.is_ready());
        let listed = listed.map(|(name, entry)| Run::of(name, entry));
        let drained = listed.chain(self.draining.runs()).collect();
        self.baseline = Baseline { began: now, drained, ..Baseline::default() };
    }

    /// Sets aside the entries of a list whose runs were gone before its era began, unless they were
    /// written since.
    fn without_gone(&mut self, mut listed: Directory, now: Duration) -> Directory {
        self.baseline.aside.clear();
        if !self.baseline.is_recent(now) {
            return listed;
        }
        let Self { gone, baseline, .. } = self;
        let is_gone = |name: &Endpoint, entry: &Entry| {
            !baseline.written.contains(name) && gone.went_by(Run::of(name, entry), baseline.began)
        };
        let entries = std::mem::take(&mut listed.entries);
        (baseline.aside, listed.entries) =
            entries.into_iter().partition(|(name, entry)| is_gone(name, entry));
        listed.retained.retain(|name, _| listed.entries.contains_key(name));
        listed
    }

    /// Applies the changes up to a revision that the platform returned, unless it is older than the
    /// list or of another era. Returns whether anything changed.
    pub fn apply(
        &mut self,
        revision: Revision,
        changes: impl IntoIterator<Item = Change>,
        now: Duration,
    ) -> bool {
        let is_first = self.revision == Revision::default();
        if revision < self.revision || (!is_first && revision.era() != self.revision.era()) {
            return false;
        }
        if !self.is_part() {
            self.whole = revision;
        }
        self.revision = revision;
        let recovery = self.recovery.filter(|recovery| now < recovery.until);
        let mut changed = false;
        for change in changes {
            changed |= self.apply_one(change, recovery, now);
        }
        let reinstated = self.reinstate(now);
        self.readmit(now) || reinstated || changed
    }

    /// Applies one change. Returns whether the list changed.
    fn apply_one(&mut self, change: Change, recovery: Option<Recovery>, now: Duration) -> bool {
        match change {
            Change::Put(name, entry) => {
                self.baseline.aside.remove(&name);
                if self.baseline.is_recent(now) {
                    self.baseline.written.insert(name.clone());
                }
                if recovery.is_some_and(|recovery| recovery.is_restore) {
                    self.renewed.insert(name.clone());
                }
                self.put(name, entry, now, |_| true)
            }
            Change::Removed(name) => {
                self.baseline.aside.remove(&name);
                self.directory.unusable.remove(&name);
                self.remove(name, recovery, now)
            }
            Change::Unusable(name) => {
                self.directory.unusable.insert(name.clone());
                self.remove(name, None, now)
            }
        }
    }

    /// Adds or replaces an entry, and removes other entries with its address for which
    /// `may_be_older` is true. Returns whether the list changed.
    fn put(
        &mut self,
        name: Endpoint,
        entry: Entry,
        now: Duration,
        may_be_older: impl Fn(&Endpoint) -> bool,
    ) -> bool {
        if self.is_displaced(&name, &entry) || self.is_copy(&name, &entry) {
            return false;
        }
        self.copies.remove(&name);
        self.directory.unusable.remove(&name);
        if self.retained.remove(&name).is_some() {
            self.renewed.insert(name.clone());
        }
        let displaced = self.displace(&name, &entry, now, may_be_older);
        let old = self.directory.entries.insert(name.clone(), entry.clone());
        if old.as_ref() == Some(&entry) {
            return displaced;
        }
        if let Some(old) = old.filter(|old| !old.is_same_run(&entry)) {
            self.gone.record(Run::of(&name, &old), now);
        }
        let run = Run::of(&name, &entry);
        self.gone.forget(run);
        match entry.is_ready() {
            true => self.draining.forget(run),
            false => self.draining.record(run, now),
        }
        true
    }

    /// Whether an entry describes a run of an endpoint whose address another endpoint has now.
    fn is_displaced(&self, name: &Endpoint, entry: &Entry) -> bool {
        let before = self.displaced.get(name);
        before.is_some_and(|before| before.entry.is_same_run(entry)) && self.is_taken(entry)
    }

    /// Whether an entry is known as a copy of that of the endpoint which has its address.
    fn is_copy(&self, name: &Endpoint, entry: &Entry) -> bool {
        self.copies.get(name).is_some_and(|copy| copy.is_same_run(entry)) && self.is_taken(entry)
    }

    /// Whether an endpoint in the list has the address of an entry.
    fn is_taken(&self, entry: &Entry) -> bool {
        self.directory.entries.values().any(|known| known.address == entry.address)
    }

    /// Removes older entries of other endpoints with the address of this entry. Returns whether
    /// there were any.
    fn displace(
        &mut self,
        name: &Endpoint,
        entry: &Entry,
        now: Duration,
        may_be_older: impl Fn(&Endpoint) -> bool,
    ) -> bool {
        let entries = &mut self.directory.entries;
        // An entry that was listed before is not newer than the others. An entry of an undeclared
        // service displaces none either, since anyone may have written it.
        let was_listed = entries.get(name).is_some_and(|known| known.is_same_run(entry));
        let is_known = self.services.as_ref().is_none_or(|known| known.contains(&entry.service));
        if was_listed || !is_known {
            return false;
        }
        let had = |(other, known): &(&Endpoint, &Entry)| {
            *other != name && known.address == entry.address && may_be_older(other)
        };
        let replaced: BTreeMap<_, _> = entries
            .iter()
            .filter(had)
            .map(|(other, known)| (other.clone(), known.clone()))
            .collect();
        entries.retain(|other, _| !replaced.contains_key(other));
        self.retained.retain(|other, _| !replaced.contains_key(other));
        self.displaced.remove(name);
        for (other, replaced) in &replaced {
            self.gone.record(Run::of(other, replaced), now);
        }
        let any = !replaced.is_empty();
        let displaced = |entry| Displaced { entry, since: now };
        self.displaced.extend(replaced.into_iter().map(|(name, entry)| (name, displaced(entry))));
        any
    }

    /// Removes an entry. After an outage, retains it instead if its endpoint was ready and has
    /// not renewed it since. Returns whether the list changed.
    fn remove(&mut self, name: Endpoint, recovery: Option<Recovery>, now: Duration) -> bool {
        let recovery = recovery.filter(|_| !self.renewed.contains(&name));
        let ready = self.directory.entries.get(&name).is_some_and(Entry::is_ready);
        if let Some(recovery) = recovery.filter(|_| ready) {
            let until = recovery.retained_until(now);
            self.retained
                .entry(name)
                .and_modify(|known| *known = until.min(*known))
                .or_insert(until);
            return false;
        }
        self.displaced.remove(&name);
        self.copies.remove(&name);
        self.retained.remove(&name);
        self.drop_entries([name], now)
    }

    /// Drops retained entries that were not renewed in time. Returns whether there were any.
    pub fn expire(&mut self, now: Duration) -> bool {
        self.gone.expire(now);
        self.draining.expire(now);
        if self.recovery.is_some_and(|recovery| recovery.until <= now) {
            self.recovery = None;
            self.renewed.clear();
        }
        let late: Vec<_> = self
            .retained
            .iter()
            .filter(|(_, until)| **until <= now)
            .map(|(name, _)| name.clone())
            .collect();
        self.retained.retain(|_, until| *until > now);
        self.drop_entries(late, now)
    }

    /// Returns endpoints to the list that the platform still lists although another entry took their
    /// address longer ago than it lists entries that are not renewed: they live, and the other entry
    /// is a copy. Returns copies whose address no listed endpoint has any more, too. Returns whether
    /// there were any.
    fn reinstate(&mut self, now: Duration) -> bool {
        let lives = |displaced: &Displaced| displaced.since + LAPSE <= now;
        let (live, displaced): (BTreeMap<_, _>, _) =
            std::mem::take(&mut self.displaced).into_iter().partition(|(_, it)| lives(it));
        self.displaced = displaced;
        let mut any = !live.is_empty();
        for (name, Displaced { entry, .. }) in live {
            let entries = std::mem::take(&mut self.directory.entries);
            let (copies, entries): (BTreeMap<_, _>, _) =
                entries.into_iter().partition(|(_, known)| known.address == entry.address);
            self.directory.entries = entries;
            self.copies.extend(copies);
            self.gone.forget(Run::of(&name, &entry));
            self.directory.entries.insert(name, entry);
        }
        let copies = std::mem::take(&mut self.copies);
        for (name, copy) in copies {
            if self.is_taken(&copy) {
                self.copies.insert(name, copy);
            } else {
                self.directory.entries.insert(name, copy);
                any = true;
            }
        }
        any
    }

    /// Adds the entries of a copy to the list that were set aside and that the platform still lists,
    /// after an answer of it that is later than the time in which it removes entries that are not
    /// renewed. Returns whether there were any.
    fn readmit(&mut self, now: Duration) -> bool {
        if self.baseline.is_recent(now) {
            return false;
        }
        let aside = std::mem::take(&mut self.baseline.aside);
        let mut any = false;
        for (name, entry) in aside {
            let entries = &self.directory.entries;
            let is_taken = entries.values().any(|known| known.address == entry.address);
            if !is_taken && !entries.contains_key(&name) {
                any |= self.put(name, entry, now, |_| false);
            }
        }
        any
    }

    /// Removes entries from the list, whose runs are gone. Returns whether any was listed.
    fn drop_entries(&mut self, names: impl IntoIterator<Item = Endpoint>, now: Duration) -> bool {
        let mut any = false;
        for name in names {
            if let Some(entry) = self.directory.entries.remove(&name) {
                self.gone.record(Run::of(&name, &entry), now);
                any = true;
            }
        }
        any
    }
}
