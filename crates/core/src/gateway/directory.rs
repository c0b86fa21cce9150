//! The endpoints that the platform lists.
//!
//! The list says who is there and who leaves. While the platform is away,
//! entries lapse although their endpoints live; those that are back soon after
//! its return are kept until then.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::fact::Revision;
use super::name::{Endpoint, Model, Service, Zone};
use super::rollout::Version;

/// How long after the platform's return an entry that lapsed may still be retained.
///
/// Endpoints renew their entries about every second; a lapsed one is back
/// within two seconds, and the rest is for the way here.
pub const RETENTION: Duration = Duration::from_millis(2200);

/// The same from when the platform was last known to be away: its return is noticed up to
/// 1.2 s late, and an endpoint that left may get nothing later than 3 s after it.
pub const MAX_RETENTION: Duration = Duration::from_millis(2850);

/// How long after the platform's return the first news still tell of what happened
/// while it was away.
const FIRST_NEWS: Duration = Duration::from_millis(300);

/// How long an entry may be retained that goes later than that: endpoints renew theirs
/// about every 1.2 s, so one that lapsed and lives is back by then. One that left may
/// get nothing 2 s after its entry went.
pub const RENEWAL_RETENTION: Duration = Duration::from_millis(1500);

/// Whether an endpoint takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// It does.
    Ready,
    /// It is about to leave.
    Draining,
}

/// When an endpoint started, in milliseconds of Unix time by its instance's clock, which
/// may step: two differ, and say nothing of which one came first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start(pub u64);

/// An endpoint as the platform lists it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Its service.
    pub service: Service,
    /// Where it answers.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Zone,
    /// How many requests it handles at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: State,
    /// How much longer it was to be cold when it wrote this.
    pub cold: Duration,
    /// The models that it holds whole, with their versions.
    pub models: Vec<(Model, Version)>,
    /// Whether it held a model's layers, in whole or in part, when it wrote this.
    pub reports_models: bool,
    /// When it started, where the platform tells it. One that starts again may have the
    /// name that it had, and knows nothing of before.
    pub start: Option<Start>,
}

impl Entry {
    /// Whether the endpoint takes new work.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.state == State::Ready
    }

    /// Whether it is the same run of the endpoint that another entry of its name was of.
    #[must_use]
    pub fn is_same_run(&self, other: &Self) -> bool {
        self.address == other.address && self.start == other.start
    }
}

/// The list at a revision.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Directory {
    /// The endpoints, by name.
    pub entries: BTreeMap<Endpoint, Entry>,
    /// Those of them that lapsed around an outage, and how much longer each is kept if it
    /// is not back. It is told along, since a time that began anew with each gateway would
    /// let an endpoint that left live on from one to the next.
    pub retained: BTreeMap<Endpoint, Duration>,
    /// Those whose entry there is but names no endpoint to use: none of them is kept.
    pub unusable: BTreeSet<Endpoint>,
}

/// A change of one entry.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    /// The entry is now this.
    Put(Endpoint, Entry),
    /// There is no such entry any more.
    Removed(Endpoint),
    /// The entry names no endpoint to use: someone else wrote it, or what they wrote
    /// cannot be read.
    Unusable(Endpoint),
}

/// The time after an outage of the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Settling {
    returned: Duration,
    // Until when entries that lapsed meanwhile are kept.
    until: Duration,
}

impl Settling {
    /// Until when an entry is kept that goes now.
    fn kept_until(self, now: Duration) -> Duration {
        let is_first_news = now <= self.returned + FIRST_NEWS;
        if is_first_news { self.until } else { self.until.min(now + RENEWAL_RETENTION) }
    }
}

/// Keeps the list of endpoints across outages of the platform.
// Invariant: `directory.retained` is empty, it is made for whoever is told; all that are
// `retained` are in `directory.entries`.
#[derive(Debug, Default)]
pub struct Tracker {
    directory: Directory,
    revision: Revision,
    // After an outage, while entries that go are taken for lapsed ones, and kept.
    settling: Option<Settling>,
    // Those that are kept, and until when.
    retained: BTreeMap<Endpoint, Duration>,
    // Those that were written anew since the platform's return: if they go, they left.
    back: BTreeSet<Endpoint>,
    // Those whose address another endpoint has now, as they were. Their entries last a
    // while yet.
    displaced: BTreeMap<Endpoint, Entry>,
    // The services that there are; none before any is known.
    services: Option<BTreeSet<Service>>,
}

impl Tracker {
    /// The list now.
    #[must_use]
    pub fn directory(&self) -> &Directory {
        &self.directory
    }

    /// The list as another gateway is told of it.
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

    /// When an entry that is kept is to be given up next; none if none is.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Duration> {
        self.retained.values().min().copied()
    }

    /// Takes in which services there are.
    pub fn set_services(&mut self, services: BTreeSet<Service>) {
        self.services = Some(services);
    }

    /// Takes in when the platform answered again, and when it was last known to be away.
    pub fn record_recovery(&mut self, at: Duration, away: Duration) {
        let until = (at + RETENTION).min(away + MAX_RETENTION);
        let settling = Some(Settling { returned: at, until });
        if self.settling != settling {
            self.back.clear();
        }
        self.settling = settling;
    }

    /// Takes in that the platform was away for this gateway only, so that no entry
    /// has lapsed by it; true when one is given up by that.
    pub fn record_local_outage(&mut self) -> bool {
        self.settling = None;
        let retained = std::mem::take(&mut self.retained);
        self.give_up(retained.into_keys())
    }

    /// Takes in the whole list; true when anything changed.
    pub fn replace(&mut self, revision: Revision, listed: Directory, now: Duration) -> bool {
        if revision < self.revision {
            return false;
        }
        let listed = self.credible(listed);
        let gone: Vec<_> = self
            .directory
            .entries
            .keys()
            .filter(|name| !listed.entries.contains_key(*name))
            .cloned()
            .collect();
        self.displaced.retain(|name, _| listed.entries.contains_key(name));
        let known: BTreeSet<_> = self.directory.entries.keys().cloned().collect();
        let gone = gone.into_iter().map(|name| match listed.unusable.contains(&name) {
            true => Change::Unusable(name),
            false => Change::Removed(name),
        });
        let mut changed = self.apply(revision, gone, now);
        let kept = self.retained.clone();
        self.directory.unusable = listed.unusable;
        for (name, entry) in listed.entries {
            changed |= self.put(name, entry, |other| known.contains(other));
        }
        for (name, left) in listed.retained {
            // That another gateway keeps it as well does not tell that it is back; whoever
            // gives it up first does so without a newer list.
            self.back.remove(&name);
            let told = now + left.min(RETENTION);
            let until = kept.get(&name).map_or(told, |own| told.min(*own));
            self.retained.insert(name, until);
        }
        changed
    }

    /// A list without what another gateway keeps and this one knows to have left, or
    /// to be about to; who knows nothing yet takes all.
    fn credible(&self, mut listed: Directory) -> Directory {
        if self.revision == Revision::default() {
            return listed;
        }
        let entries = &self.directory.entries;
        let ready = |name: &Endpoint| entries.get(name).is_some_and(Entry::is_ready);
        let (kept, left): (BTreeMap<_, _>, BTreeMap<_, _>) =
            listed.retained.into_iter().partition(|(name, _)| ready(name));
        listed.retained = kept;
        listed.entries.retain(|name, _| !left.contains_key(name));
        listed
    }

    /// Takes in changes up to a revision; true when anything changed.
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
        let settling = self.settling.filter(|settling| now < settling.until);
        let mut changed = false;
        for change in changes {
            changed |= self.apply_one(change, settling, now);
        }
        changed
    }

    /// Takes in one change; true when the list is another then.
    fn apply_one(&mut self, change: Change, settling: Option<Settling>, now: Duration) -> bool {
        match change {
            Change::Put(name, entry) => self.put(name, entry, |_| true),
            Change::Removed(name) => {
                self.directory.unusable.remove(&name);
                self.remove(name, settling, now)
            }
            Change::Unusable(name) => {
                self.directory.unusable.insert(name.clone());
                self.remove(name, None, now)
            }
        }
    }

    /// Puts an entry, in place of those that had its address where they may be
    /// older; true when the list is another then.
    fn put(&mut self, name: Endpoint, entry: Entry, older: impl Fn(&Endpoint) -> bool) -> bool {
        if self.is_displaced(&name, &entry) {
            return false;
        }
        self.directory.unusable.remove(&name);
        if self.retained.remove(&name).is_some() {
            self.back.insert(name.clone());
        }
        let displaced = self.displace(&name, &entry, older);
        let old = self.directory.entries.insert(name, entry.clone());
        displaced || old.as_ref() != Some(&entry)
    }

    /// Whether an entry is of an endpoint whose address another one has now.
    fn is_displaced(&self, name: &Endpoint, entry: &Entry) -> bool {
        let taken = || self.directory.entries.values().any(|known| known.address == entry.address);
        self.displaced.get(name).is_some_and(|before| before.is_same_run(entry)) && taken()
    }

    /// Removes those that had an address before its endpoint; true when any did.
    fn displace(
        &mut self,
        name: &Endpoint,
        entry: &Entry,
        older: impl Fn(&Endpoint) -> bool,
    ) -> bool {
        let entries = &mut self.directory.entries;
        // An endpoint that was there already displaces nobody by being there still, nor
        // does one of a service that nothing leads to: anyone may have written that.
        let was_there = entries.get(name).is_some_and(|known| known.is_same_run(entry));
        let is_known = self.services.as_ref().is_none_or(|known| known.contains(&entry.service));
        if was_there || !is_known {
            return false;
        }
        let had = |(other, known): &(&Endpoint, &Entry)| {
            *other != name && known.address == entry.address && older(other)
        };
        let gone: BTreeMap<_, _> = entries
            .iter()
            .filter(had)
            .map(|(other, known)| (other.clone(), known.clone()))
            .collect();
        entries.retain(|other, _| !gone.contains_key(other));
        self.retained.retain(|other, _| !gone.contains_key(other));
        self.displaced.remove(name);
        let any = !gone.is_empty();
        self.displaced.extend(gone);
        any
    }

    /// Removes an entry; while entries settle after an outage, one that was ready
    /// and may have lapsed is only noted as retained.
    fn remove(&mut self, name: Endpoint, settling: Option<Settling>, now: Duration) -> bool {
        let settling = settling.filter(|_| !self.back.contains(&name));
        let ready = self.directory.entries.get(&name).is_some_and(Entry::is_ready);
        if let Some(settling) = settling.filter(|_| ready) {
            let until = settling.kept_until(now);
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

    /// Gives up entries that are not back in time; true when any was.
    pub fn expire(&mut self, now: Duration) -> bool {
        if self.settling.is_some_and(|settling| settling.until <= now) {
            self.settling = None;
            self.back.clear();
        }
        let late: Vec<_> = self
            .retained
            .iter()
            .filter(|(_, until)| **until <= now)
            .map(|(name, _)| name.clone())
            .collect();
        self.retained.retain(|_, until| *until > now);
        self.give_up(late)
    }

    /// Removes entries; true when any was there.
    fn give_up(&mut self, retained: impl IntoIterator<Item = Endpoint>) -> bool {
        let entries = &mut self.directory.entries;
        retained.into_iter().fold(false, |any, name| any | entries.remove(&name).is_some())
    }
}
