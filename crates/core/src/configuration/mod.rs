//! The configuration that operators declare in files, checked as a whole.
//!
//! [`Configuration::check`] parses and checks a set of files; [`changes`] lists the differences
//! between two configurations.

mod check;
mod diff;

use std::collections::BTreeMap;

use cinderspoke_schema::control::{Finding, Part, Weights};
use cinderspoke_schema::operator;
use cinderspoke_types::digest::Digest;
use cinderspoke_types::id;

pub use diff::{Change, changes};

/// The size limit of a file, in bytes, so that it fits into one object of the platform.
pub const MAX_FILE_BYTES: usize = 1_000_000;

/// The [`Configuration::origin_weight`] if no file declares one.
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
    /// The cost of bytes from the origin relative to time, from 0 to 1.
    pub origin_weight: f64,
}

impl Configuration {
    /// Checks a set of files as a whole.
    ///
    /// # Errors
    ///
    /// All findings, ordered by file and position.
    pub fn check(files: &[Part]) -> Result<Self, Vec<Finding>> {
        check::check(files)
    }

    /// The weights that a service's replicas load; `None` for a plain service.
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

    /// The availability zones in which a service's replicas may be placed.
    #[must_use]
    pub fn zones_of(&self, service: &operator::Service) -> Vec<id::Zone> {
        match &service.placement {
            Some(placement) if !placement.zones.is_empty() => placement.zones.clone(),
            _ => self.zones.keys().cloned().collect(),
        }
    }
}

/// The minimum number of replicas that stay live during a planned change of a service. By default
/// all replicas but one, and at least one.
#[must_use]
pub fn min_live_replicas(service: &operator::Service) -> u32 {
    service.minimum.unwrap_or_else(|| service.replicas.get().saturating_sub(1).max(1))
}

/// The digest under which a file is stored.
#[must_use]
pub fn part_digest(text: &str) -> Digest {
    Digest::of(text.as_bytes())
}
