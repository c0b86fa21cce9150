//! A compact encoding of the change between two configurations.
//!
//! Gateways send each other differences instead of whole configurations: a change of a few
//! routes among thousands takes some hundred bytes, so that frequent changes fit on a link
//! that all traffic shares.

use std::collections::HashMap;
use std::ops::Range;

use displaydoc::Display;
use serde::{Deserialize, Serialize};

use super::catalog::{Backend, Catalog, Declared, Limits, Route, Tenancy};

/// A hash of a configuration's contents.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Hash(pub u64);

impl Hash {
    /// The hash of a configuration.
    #[must_use]
    pub fn of(declared: &Declared) -> Self {
        let digest = blake3::hash(&pack(declared));
        let mut first = [0; 8];
        first.copy_from_slice(&digest.as_bytes()[..8]);
        Self(u64::from_le_bytes(first))
    }
}

/// A run of items in a new list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
enum Part<T> {
    /// Items copied from the base list, as a range of indexes there.
    Copied(Range<u32>),
    /// Items that the base list lacks.
    New(Vec<T>),
}

/// A new list, encoded relative to a base list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct List<T>(Vec<Part<T>>);

/// A configuration, encoded relative to a base configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Difference {
    base: Hash,
    hash: Hash,
    version: u64,
    routes: List<Route>,
    backends: List<Backend>,
    tenancies: List<Tenancy>,
    limits: Limits,
}

/// Why a difference cannot be applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum ApplyError {
    /// the difference is based on another configuration
    BaseMismatch,
    /// the difference refers to items that its base configuration does not have
    MissingItems,
    /// the difference leads to a configuration with another hash than it states
    ResultMismatch,
}

impl std::error::Error for ApplyError {}

impl Difference {
    /// The difference that leads from `before` to `after`.
    #[must_use]
    pub fn between(before: &Catalog, after: &Catalog) -> Self {
        let (base, hash) = (before.hash(), after.hash());
        let (before, after) = (before.declared(), after.declared());
        Self {
            base,
            hash,
            version: after.version,
            routes: List::between(&before.routes, &after.routes),
            backends: List::between(&before.backends, &after.backends),
            tenancies: List::between(&before.tenancies, &after.tenancies),
            limits: after.limits,
        }
    }

    /// The version of the resulting configuration.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Applies the difference to its base configuration.
    ///
    /// # Errors
    ///
    /// When `before` is not the base configuration, or the difference is damaged.
    pub fn apply(&self, before: &Catalog) -> Result<Catalog, ApplyError> {
        if before.hash() != self.base {
            return Err(ApplyError::BaseMismatch);
        }
        let before = before.declared();
        let after = Catalog::from(Declared {
            version: self.version,
            routes: self.routes.apply(&before.routes)?,
            backends: self.backends.apply(&before.backends)?,
            tenancies: self.tenancies.apply(&before.tenancies)?,
            limits: self.limits,
        });
        if after.hash() == self.hash { Ok(after) } else { Err(ApplyError::ResultMismatch) }
    }
}

impl<T: Clone + PartialEq + Serialize> List<T> {
    fn between(before: &[T], after: &[T]) -> Self {
        let positions: HashMap<Vec<u8>, usize> =
            before.iter().enumerate().map(|(position, item)| (pack(item), position)).collect();
        let (mut parts, mut next) = (Vec::new(), 0);
        while let Some(item) = after.get(next) {
            match positions.get(&pack(item)) {
                Some(&position) => {
                    let length = common_prefix(&before[position..], &after[next..]);
                    parts.push(Part::Copied(position as u32..(position + length) as u32));
                    next += length;
                }
                None => {
                    match parts.last_mut() {
                        Some(Part::New(items)) => items.push(item.clone()),
                        _ => parts.push(Part::New(vec![item.clone()])),
                    }
                    next += 1;
                }
            }
        }
        Self(parts)
    }

    fn apply(&self, before: &[T]) -> Result<Vec<T>, ApplyError> {
        let mut after = Vec::new();
        for part in &self.0 {
            let items = match part {
                Part::Copied(range) => before.get(range.start as usize..range.end as usize),
                Part::New(items) => Some(items.as_slice()),
            };
            after.extend_from_slice(items.ok_or(ApplyError::MissingItems)?);
        }
        Ok(after)
    }
}

/// The length of the common prefix of two lists.
fn common_prefix<T: PartialEq>(one: &[T], other: &[T]) -> usize {
    one.iter().zip(other).take_while(|(one, other)| one == other).count()
}

/// Packs an item. Packing fails only for maps and sequences of unknown length, and there are
/// none; an item that failed would be sent anew, and its configuration as a whole.
fn pack<T: Serialize>(item: &T) -> Vec<u8> {
    postcard::to_stdvec(item).unwrap_or_default()
}
