//! The evacuated availability zones, whose endpoints receive no requests.
//!
//! Operators evacuate and reopen zones. Few gateways read the set from the platform; gossip
//! digests carry the whole set with its revision, and a gateway replaces an older set by a
//! newer one. Requests that run in a zone when it is evacuated finish there.
//!
//! The platform may come back from an older copy of itself, which lacks zones that were evacuated
//! since. They stay evacuated until operators have had time to evacuate them again.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::fact::{Fact, Revision};
use super::name::Zone;
use super::outage::Ago;

/// How long a zone stays evacuated that an older copy of the platform lacks. Operators write again
/// within seconds what the platform has lost.
pub const HOLD: Duration = Duration::from_secs(30);

/// How long after the begin of an era a gateway still learns from others which zones it lacks. Later,
/// one that has not yet seen a zone reopened would have it evacuated again.
const MERGE: Duration = Duration::from_secs(2);

/// A change of the set of evacuated zones.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// The zone is evacuated.
    Evacuated(Zone),
    /// The zone may receive requests again.
    Reopened(Zone),
}

/// A zone that an older copy of the platform lacks, as one gateway reports it to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The zone.
    pub zone: Zone,
    /// For how much longer it stays evacuated.
    pub left: Ago,
}

/// The evacuated zones that a gateway knows of.
// Invariants: the revision of `known` never falls; no zone of `known` is in `held`.
#[derive(Debug, Default)]
pub struct Table {
    // `None` until the set arrives from the platform or another gateway.
    known: Option<Fact<BTreeSet<Zone>>>,
    // Zones in parts of sets that could not be read whole, with the revision of the latest; `None`
    // once a whole set of that revision or a later one is known.
    part: Option<Fact<BTreeSet<Zone>>>,
    // Zones that an older copy lacks, and until when they stay evacuated.
    held: BTreeMap<Zone, Duration>,
    // When the era of the set began here, and the zones that operators have changed since.
    began: Duration,
    changed: BTreeSet<Zone>,
}

impl Table {
    /// The evacuated zones and the revision of the set; `None` until they are known.
    #[must_use]
    pub fn known(&self) -> Option<&Fact<BTreeSet<Zone>>> {
        self.known.as_ref()
    }

    /// Whether a set is known, or at least a part of one.
    #[must_use]
    pub fn is_known(&self) -> bool {
        self.known.is_some() || self.part.is_some()
    }

    /// Whether a zone is evacuated.
    #[must_use]
    pub fn is_evacuated(&self, zone: &Zone) -> bool {
        let mut sets = self.known.iter().chain(&self.part);
        self.held.contains_key(zone) || sets.any(|set| set.value.contains(zone))
    }

    /// All evacuated zones, whether the platform lists them or lacks them.
    #[must_use]
    pub fn zones(&self) -> BTreeSet<Zone> {
        let listed = self.known.iter().chain(&self.part).flat_map(|set| set.value.iter());
        listed.chain(self.held.keys()).cloned().collect()
    }

    /// Adds the zones in a part of a set. Those that it does not name stay as they are. Returns whether
    /// the evacuated zones changed or were unknown before.
    pub fn add_part(&mut self, part: Fact<BTreeSet<Zone>>) -> bool {
        let (was_known, before) = (self.is_known(), self.zones());
        let Fact { revision, value } = self.part.get_or_insert_default();
        *revision = part.revision.max(*revision);
        value.extend(part.value);
        !was_known || before != self.zones()
    }

    /// Replaces the set by one of a newer revision and ignores an older one. The zones that a set
    /// of a later era lacks stay evacuated for [`HOLD`]. Returns whether the evacuated zones changed
    /// or were unknown before.
    pub fn replace(&mut self, newer: Fact<BTreeSet<Zone>>, now: Duration) -> bool {
        let before = self.known.as_ref().map(|known| (known.revision, self.zones()));
        let ends_part = self.part.take_if(|part| part.revision <= newer.revision).is_some();
        if before.as_ref().is_some_and(|(revision, _)| newer.revision <= *revision) {
            return ends_part;
        }
        if before.as_ref().is_none_or(|(revision, _)| newer.revision.era() > revision.era()) {
            self.begin_era(&newer.value, now);
        }
        self.held.retain(|zone, _| !newer.value.contains(zone));
        self.known = Some(newer);
        before.is_none_or(|(_, zones)| zones != self.zones())
    }

    /// Begins an era: the zones that its set lacks stay evacuated.
    fn begin_era(&mut self, zones: &BTreeSet<Zone>, now: Duration) {
        let known = self.known.iter().flat_map(|known| known.value.difference(zones));
        self.held.extend(known.map(|zone| (zone.clone(), now + HOLD)));
        self.began = now;
        self.changed.clear();
    }

    /// Applies changes up to a revision of the era of the set. Returns whether the evacuated zones
    /// changed or were unknown before.
    pub fn apply(&mut self, revision: Revision, changes: Vec<Change>, now: Duration) -> bool {
        let Fact { revision: before, value: mut zones } = self.known.clone().unwrap_or_default();
        if self.known.is_some() && revision.era() != before.era() {
            return false;
        }
        let mut released = false;
        for change in changes {
            let zone = match change {
                Change::Evacuated(zone) => {
                    zones.insert(zone.clone());
                    zone
                }
                Change::Reopened(zone) => {
                    zones.remove(&zone);
                    released |= self.held.remove(&zone).is_some();
                    zone
                }
            };
            self.changed.insert(zone);
        }
        self.replace(Fact::new(revision, zones), now) || released
    }

    /// The zones that an older copy lacks, for other gateways.
    #[must_use]
    pub fn updates(&self, now: Duration) -> Vec<Update> {
        let left = |until: &Duration| until.saturating_sub(now).into();
        self.held
            .iter()
            .map(|(zone, until)| Update { zone: zone.clone(), left: left(until) })
            .collect()
    }

    /// Merges the zones that an older copy lacks as another gateway knows them, for a gateway that
    /// has started with the copy. Returns whether the evacuated zones changed.
    pub fn merge(&mut self, updates: Vec<Update>, now: Duration) -> bool {
        if self.known.is_none() || now > self.began + MERGE {
            return false;
        }
        let is_new = |zone: &Zone| !self.is_evacuated(zone) && !self.changed.contains(zone);
        let new = updates.into_iter().filter(|update| is_new(&update.zone));
        let new: Vec<_> = new.collect();
        let until = |left: Ago| now + Duration::from(left).min(HOLD);
        let any = !new.is_empty();
        self.held.extend(new.into_iter().map(|Update { zone, left }| (zone, until(left))));
        any
    }

    /// When [`expire`](Self::expire) is due next; `None` if it is not.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Duration> {
        self.held.values().min().copied()
    }

    /// Reopens the zones that nobody has evacuated again in time. Returns whether there were any.
    pub fn expire(&mut self, now: Duration) -> bool {
        let held = self.held.len();
        self.held.retain(|_, until| *until > now);
        self.held.len() < held
    }
}
