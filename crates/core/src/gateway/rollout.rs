//! The target versions of models.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::name::Model;

/// The version number of a model's weights. Each newly named version has a higher number.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Version(pub u64);

impl std::fmt::Display for Version {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(formatter)
    }
}

/// The version that engines hold before any is named.
pub const FIRST: Version = Version(1);

/// The newest named version of each model, which is its target version.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollout(BTreeMap<Model, Version>);

impl Rollout {
    /// Advances a model to a named version, unless it has a newer one. Returns whether the
    /// version is newer than the known one.
    pub fn advance(&mut self, model: Model, version: Version) -> bool {
        let known = self.0.entry(model).or_insert(FIRST);
        let newer = version > *known;
        *known = version.max(*known);
        newer
    }

    /// Returns the target version of a model.
    #[must_use]
    pub fn version(&self, model: &Model) -> Version {
        self.0.get(model).copied().unwrap_or(FIRST)
    }

    /// Returns the versions that are newer than those of another rollout.
    #[must_use]
    pub fn newer_than(&self, other: &Self) -> Self {
        let newer = self.0.iter().filter(|(model, version)| **version > other.version(model));
        Self(newer.map(|(model, version)| (model.clone(), *version)).collect())
    }

    /// Iterates over the models and their target versions.
    pub fn iter(&self) -> impl Iterator<Item = (&Model, Version)> {
        self.0.iter().map(|(model, version)| (model, *version))
    }

    /// Merges the rollout of another process. Returns whether any version is newer than the
    /// known one.
    pub fn merge(&mut self, other: &Self) -> bool {
        let advanced = other.0.iter().map(|(model, version)| self.advance(model.clone(), *version));
        advanced.fold(false, |any, newer| any | newer)
    }
}
