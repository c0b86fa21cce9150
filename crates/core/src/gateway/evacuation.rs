//! The evacuated availability zones, whose endpoints receive no requests.
//!
//! Operators evacuate and reopen zones. Few gateways read the set from the platform; gossip
//! digests carry the whole set with its revision, and a gateway replaces an older set by a
//! newer one. Requests that run in a zone when it is evacuated finish there.

use std::collections::BTreeSet;

use super::fact::{Fact, Revision};
use super::name::Zone;

/// A change of the set of evacuated zones.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// The zone is evacuated.
    Evacuated(Zone),
    /// The zone may receive requests again.
    Reopened(Zone),
}

/// The evacuated zones that a gateway knows of.
// Invariant: the revision of `known` never falls.
#[derive(Debug, Default)]
pub struct Table {
    // `None` until the set arrives from the platform or another gateway.
    known: Option<Fact<BTreeSet<Zone>>>,
}

impl Table {
    /// The evacuated zones and the revision of the set; `None` until they are known.
    #[must_use]
    pub fn known(&self) -> Option<&Fact<BTreeSet<Zone>>> {
        self.known.as_ref()
    }

    /// Whether a zone is evacuated.
    #[must_use]
    pub fn is_evacuated(&self, zone: &Zone) -> bool {
        self.known.as_ref().is_some_and(|known| known.value.contains(zone))
    }

    /// Replaces the set by one of a newer revision and ignores an older one. Returns whether
    /// the zones changed or were unknown before.
    pub fn replace(&mut self, newer: Fact<BTreeSet<Zone>>) -> bool {
        let Some(known) = &self.known else {
            self.known = Some(newer);
            return true;
        };
        if newer.revision <= known.revision {
            return false;
        }
        let differs = known.value != newer.value;
        self.known = Some(newer);
        differs
    }

    /// Applies changes up to a revision. Returns whether the zones changed or were unknown
    /// before.
    pub fn apply(&mut self, revision: Revision, changes: Vec<Change>) -> bool {
        let mut zones = self.known.clone().unwrap_or_default().value;
        for change in changes {
            match change {
                Change::Evacuated(zone) => _ = zones.insert(zone),
                Change::Reopened(zone) => _ = zones.remove(&zone),
            }
        }
        self.replace(Fact::new(revision, zones))
    }
}
