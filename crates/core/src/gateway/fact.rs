//! Values from the platform's store with the revision at which they held.

use serde::{Deserialize, Serialize};

/// The revision of the store, which grows with each change of its contents.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision(pub u64);

impl std::fmt::Display for Revision {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(formatter)
    }
}

/// A value that held at a revision of the store.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Fact<T> {
    /// The revision; zero while nothing is known.
    pub revision: Revision,
    /// The value at that revision.
    pub value: T,
}

impl<T> Fact<T> {
    /// A value that held at a revision.
    #[must_use]
    pub fn new(revision: Revision, value: T) -> Self {
        Self { revision, value }
    }
}
