//! The versions that models are to have.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::name::Model;

/// The number of a model's weights; grows with each that is named.
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

/// The newest named version of each model.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollout(BTreeMap<Model, Version>);

impl Rollout {
    /// Takes in that a version was named; true when it is newer than what was known.
    pub fn advance(&mut self, model: Model, version: Version) -> bool {
        let known = self.0.entry(model).or_insert(FIRST);
        let newer = version > *known;
        *known = version.max(*known);
        newer
    }

    /// The version that a model is to have.
    #[must_use]
    pub fn version(&self, model: &Model) -> Version {
        self.0.get(model).copied().unwrap_or(FIRST)
    }

    /// The versions that are newer than those of another rollout.
    #[must_use]
    pub fn newer_than(&self, other: &Self) -> Self {
        let newer = self.0.iter().filter(|(model, version)| **version > other.version(model));
        Self(newer.map(|(model, version)| (model.clone(), *version)).collect())
    }

    /// Each model with its version.
    pub fn iter(&self) -> impl Iterator<Item = (&Model, Version)> {
        self.0.iter().map(|(model, version)| (model, *version))
    }

    /// Takes in what another process knows; true when any of it was news.
    pub fn merge(&mut self, other: &Self) -> bool {
        let named = other.0.iter().map(|(model, version)| self.advance(model.clone(), *version));
        named.fold(false, |any, newer| any | newer)
    }
}
