//! Facts with the revision at which they held.

use serde::{Deserialize, Serialize};

/// The store's count of changes: it grows with each.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision(pub u64);

impl std::fmt::Display for Revision {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(formatter)
    }
}

/// Something that held at a revision.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Fact<T> {
    /// When it held; zero while nothing is known.
    pub revision: Revision,
    /// What held.
    pub value: T,
}

impl<T> Fact<T> {
    /// A fact that held at a revision.
    #[must_use]
    pub fn new(revision: Revision, value: T) -> Self {
        Self { revision, value }
    }
}
