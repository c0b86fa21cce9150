//! The endpoints that the platform lists.
//!
//! A [`Directory`] holds one [`Entry`] per endpoint, with its state: ready or draining. While
//! the platform is unreachable, entries expire although their endpoints live. Therefore the
//! [`Tracker`] retains entries that are removed shortly after an outage until their endpoints
//! have had time to renew them.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::fact::Revision;
use super::name::{Endpoint, Model, Service, Zone};
use super::rollout::Version;

/// How long after the end of an outage an expired entry is retained.
///
/// Endpoints renew their entries about every second, so an expired entry is back within two
/// seconds; the rest is transit time.
pub const RETENTION: Duration = Duration::from_millis(2200);

/// Upper limit of [`RETENTION`], counted from the last time at which the platform was known to
/// be unreachable: the end of an outage is detected up to 1.2 s late, and an endpoint that has
/// ended may receive no request later than 3 s after that end.
pub const MAX_RETENTION: Duration = Duration::from_millis(2850);

/// How long after the end of an outage a removal may still stem from the outage itself.
const FIRST_UPDATES: Duration = Duration::from_millis(300);

/// How long an entry is retained whose removal comes too late after an outage to stem from it.
/// Endpoints renew their entries about every 1.2 s, so the entry of an endpoint that lives is
/// back by then. An endpoint that has ended may receive no request 2 s after its entry was
/// removed.
pub const RENEWAL_RETENTION: Duration = Duration::from_millis(1500);

/// Whether an endpoint accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// It accepts new requests.
    Ready,
    /// It is about to end and accepts none.
    Draining,
}

/// The start time of an endpoint, in milliseconds of Unix time by its instance's clock. That
/// clock may step, so two start times only tell two runs apart; they do not order them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start(pub u64);

/// An endpoint as the platform lists it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Its service.
    pub service: Service,
    /// The address at which it serves requests.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Zone,
    /// Number of requests that it handles concurrently.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub state: State,
    /// Remaining warm-up time when the endpoint wrote the entry.
    pub cold: Duration,
    /// The models of which it holds all layers, with their versions.
    pub models: Vec<(Model, Version)>,
    /// Whether the endpoint held layers of a model, all or some, when it wrote the entry.
    pub reports_models: bool,
    /// Its start time, if the platform lists it. An endpoint that restarts may keep its name, and
    /// has no state from its previous run.
    pub start: Option<Start>,
}

impl Entry {
    /// Whether the endpoint accepts new requests.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.state == State::Ready
    }

    /// Whether this entry and another of the same name describe the same run of the endpoint.
    #[must_use]
    pub fn is_same_run(&self, other: &Self) -> bool {
        self.address == other.address && self.start == other.start
    }
}

/// The list of endpoints at one revision.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Directory {
    /// The endpoints, by name.
    pub entries: BTreeMap<Endpoint, Entry>,
    /// Retained entries: endpoints whose entries expired around an outage, and how much longer
    /// each is retained unless it is renewed. Gateways send the remaining times along: if each
    /// gateway started a new time, an endpoint that has ended would be passed from one gateway
    /// to the next for good.
    pub retained: BTreeMap<Endpoint, Duration>,
    /// Endpoints whose entry exists but cannot be used. Such entries are never retained.
    pub unusable: BTreeSet<Endpoint>,
}

/// A change of one entry.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    /// The entry was added or replaced.
    Put(Endpoint, Entry),
    /// The entry was removed.
    Removed(Endpoint),
    /// The entry cannot be used: it was not written by the endpoint, or cannot be parsed.
    Unusable(Endpoint),
}

/// The retention period after an outage of the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Recovery {
    ended: Duration,
    // The end of the retention of entries that expired during the outage.
    until: Duration,
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
    // Set after an outage, while removed entries count as expired and are retained.
    recovery: Option<Recovery>,
    // Retained entries, and the end of their retention.
    retained: BTreeMap<Endpoint, Duration>,
    // Endpoints that renewed their entries since the outage: if removed again, they have ended.
    renewed: BTreeSet<Endpoint>,
    // The last entries of endpoints whose address another endpoint has now. The platform still
    // lists them until they expire.
    displaced: BTreeMap<Endpoint, Entry>,
    // The declared services; `None` until a configuration is known.
    services: Option<BTreeSet<Service>>,
}

impl Tracker {
    /// The current list, without remaining retention times.
    #[must_use]
    pub fn directory(&self) -> &Directory {
        &self.directory
    }

    /// The list for another gateway, with the remaining time of each retained entry.
    #[must_use]
    pub fn snapshot(&self, now: Duration) -> Directory {
        let retained = self.retained.iter();
        let retained =
            retained.map(|(name, until)| (name.clone(), until.saturating_sub(now))).collect();
        Directory { retained, ..self.directory.clone() }
    }

    /// The revision of the list.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// When the retention of an entry ends next; `None` if no entry is retained.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Duration> {
        self.retained.values().min().copied()
    }

    /// Sets the declared services. Entries of other services displace no endpoint.
    pub fn set_services(&mut self, services: BTreeSet<Service>) {
        self.services = Some(services);
    }

    /// Records that an outage ended: the platform answered again at `at`, and was last known to
    /// be unreachable at `unreachable_at`.
    pub fn record_recovery(&mut self, at: Duration, unreachable_at: Duration) {
        let until = (at + RETENTION).min(unreachable_at + MAX_RETENTION);
        let recovery = Some(Recovery { ended: at, until });
        if self.recovery != recovery {
            self.renewed.clear();
        }
        self.recovery = recovery;
    }

    /// Records that the platform was unreachable for this gateway only, so that no entry expired
    /// because of it. Drops all retained entries and returns whether there were any.
    pub fn record_local_outage(&mut self) -> bool {
        self.recovery = None;
        let retained = std::mem::take(&mut self.retained);
        self.drop_entries(retained.into_keys())
    }

    /// Replaces the whole list, unless the new one is older. Returns whether anything changed.
    pub fn replace(&mut self, revision: Revision, listed: Directory, now: Duration) -> bool {
        if revision < self.revision {
            return false;
        }
        let listed = self.without_ended(listed);
        let removed: Vec<_> = self
            .directory
            .entries
            .keys()
            .filter(|name| !listed.entries.contains_key(*name))
            .cloned()
            .collect();
        self.displaced.retain(|name, _| listed.entries.contains_key(name));
        let known: BTreeSet<_> = self.directory.entries.keys().cloned().collect();
        let removed = removed.into_iter().map(|name| match listed.unusable.contains(&name) {
            true => Change::Unusable(name),
            false => Change::Removed(name),
        });
        let mut changed = self.apply(revision, removed, now);
        let own_retained = self.retained.clone();
        self.directory.unusable = listed.unusable;
        for (name, entry) in listed.entries {
            changed |= self.put(name, entry, |other| known.contains(other));
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
    fn without_ended(&self, mut listed: Directory) -> Directory {
        if self.revision == Revision::default() {
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

    /// Applies changes up to a revision, unless it is older than the list. Returns whether
    /// anything changed.
    pub fn apply(
        &mut self,
        revision: Revision,
        changes: impl IntoIterator<Item = Change>,
        now: Duration,
    ) -> bool {
        if revision < self.revision {
            return false;
        }
        self.revision = revision;
        let recovery = self.recovery.filter(|recovery| now < recovery.until);
        let mut changed = false;
        for change in changes {
            changed |= self.apply_one(change, recovery, now);
        }
        changed
    }

    /// Applies one change. Returns whether the list changed.
    fn apply_one(&mut self, change: Change, recovery: Option<Recovery>, now: Duration) -> bool {
        match change {
            Change::Put(name, entry) => self.put(name, entry, |_| true),
            Change::Removed(name) => {
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
        may_be_older: impl Fn(&Endpoint) -> bool,
    ) -> bool {
        if self.is_displaced(&name, &entry) {
            return false;
        }
        self.directory.unusable.remove(&name);
        if self.retained.remove(&name).is_some() {
            self.renewed.insert(name.clone());
        }
        let displaced = self.displace(&name, &entry, may_be_older);
        let old = self.directory.entries.insert(name, entry.clone());
        displaced || old.as_ref() != Some(&entry)
    }

    /// Whether an entry describes a run of an endpoint whose address another endpoint has now.
    fn is_displaced(&self, name: &Endpoint, entry: &Entry) -> bool {
        let taken = || self.directory.entries.values().any(|known| known.address == entry.address);
        self.displaced.get(name).is_some_and(|before| before.is_same_run(entry)) && taken()
    }

    /// Removes older entries of other endpoints with the address of this entry. Returns whether
    /// there were any.
    fn displace(
        &mut self,
        name: &Endpoint,
        entry: &Entry,
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
        let any = !replaced.is_empty();
        self.displaced.extend(replaced);
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
        self.retained.remove(&name);
        self.directory.entries.remove(&name).is_some()
    }

    /// Drops retained entries that were not renewed in time. Returns whether there were any.
    pub fn expire(&mut self, now: Duration) -> bool {
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
        self.drop_entries(late)
    }

    /// Removes entries from the list. Returns whether any was listed.
    fn drop_entries(&mut self, names: impl IntoIterator<Item = Endpoint>) -> bool {
        let entries = &mut self.directory.entries;
        names.into_iter().fold(false, |any, name| any | entries.remove(&name).is_some())
    }
}
