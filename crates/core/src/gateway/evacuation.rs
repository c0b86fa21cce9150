//! Availability zones whose endpoints are to receive nothing.
//!
//! Operators empty a zone and take that back. Few gateways read it from the platform; digests
//! carry the whole set with its revision, so that whoever knows an older one replaces it. What
//! runs in a zone when it is emptied finishes there.

use std::collections::BTreeSet;

use super::fact::{Fact, Revision};
use super::name::Zone;

/// One change of the set.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// The zone is to be emptied.
    Evacuated(Zone),
    /// The zone may be used again.
    Reopened(Zone),
}

/// The zones that are emptied, as far as a gateway knows.
// Invariant: the revision of `known` never falls.
#[derive(Debug, Default)]
pub struct Table {
    // None before the platform or another gateway has told it.
    known: Option<Fact<BTreeSet<Zone>>>,
}

impl Table {
    /// The zones and the revision at which they were emptied; none before they are known.
    #[must_use]
    pub fn known(&self) -> Option<&Fact<BTreeSet<Zone>>> {
        self.known.as_ref()
    }

    /// Whether a zone is emptied.
    #[must_use]
    pub fn is_evacuated(&self, zone: &Zone) -> bool {
        self.known.as_ref().is_some_and(|known| known.value.contains(zone))
    }

    /// Replaces the set by one of a newer revision; true when the zones differ or were unknown.
    pub fn replace(&mut self, told: Fact<BTreeSet<Zone>>) -> bool {
        let Some(known) = &self.known else {
            self.known = Some(told);
            return true;
        };
        if told.revision <= known.revision {
            return false;
        }
        let differs = known.value != told.value;
        self.known = Some(told);
        differs
    }

    /// Applies changes up to a revision; true when the zones differ.
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
