//! The configuration: what operators declare, checked as a whole.

mod check;
mod diff;

use std::collections::BTreeMap;

use cinderspoke_schema::control::{Finding, Part, Weights};
use cinderspoke_schema::operator;
use cinderspoke_types::digest::Digest;
use cinderspoke_types::id;

pub use diff::{Change, changes};

/// The largest file that fits into one object of the platform, in bytes.
pub const MAX_FILE_BYTES: usize = 1_000_000;

/// What counts when no file says how to weigh time against origin bytes.
pub const DEFAULT_ORIGIN_WEIGHT: f64 = 0.5;

/// A checked configuration.
// Invariants: every name that an item refers to is declared, and a model
// service names a version of its model.
#[derive(Debug, Clone, PartialEq)]
pub struct Configuration {
    /// The availability zones.
    pub zones: BTreeMap<id::Zone, operator::Zone>,
    /// The teams.
    pub teams: BTreeMap<id::Team, operator::Team>,
    /// The models with their versions.
    pub models: BTreeMap<id::Model, operator::Model>,
    /// The services.
    pub services: BTreeMap<id::Service, operator::Service>,
    /// What bytes from the origin count against time, from 0 to 1.
    pub origin_weight: f64,
}

impl Configuration {
    /// Checks a set of files as a whole.
    ///
    /// # Errors
    ///
    /// All findings, ordered by file and place.
    pub fn check(files: &[Part]) -> Result<Self, Vec<Finding>> {
        check::check(files)
    }

    /// The weights that a service's replicas carry; `None` for a plain service.
    #[must_use]
    pub fn weights(&self, service: &operator::Service) -> Option<Weights> {
        let model = self.models.get(service.model.as_ref()?)?;
        let wanted = service.version.as_ref()?;
        let version = model.version.iter().find(|version| version.name == *wanted)?;
        Some(Weights {
            model: model.name.clone(),
            version: version.name.clone(),
            manifest: version.manifest,
            size: version.size,
        })
    }

    /// The availability zones in which a service's replicas may stand.
    #[must_use]
    pub fn zones_of(&self, service: &operator::Service) -> Vec<id::Zone> {
        match &service.placement {
            Some(placement) if !placement.zones.is_empty() => placement.zones.clone(),
            _ => self.zones.keys().cloned().collect(),
        }
    }
}

/// How many replicas keep answering during a planned change of a service.
#[must_use]
pub fn min_live_replicas(service: &operator::Service) -> u32 {
    service.minimum.unwrap_or_else(|| service.replicas.get().saturating_sub(1).max(1))
}

/// The digest under which a file is kept.
#[must_use]
pub fn part_digest(text: &str) -> Digest {
    Digest::of(text.as_bytes())
}
