//! What differs between two configurations.
//!
//! A change of a few routes among thousands is told between gateways in some hundred bytes,
//! so that changes that come quickly find room on a link that all traffic shares.

use std::collections::HashMap;
use std::ops::Range;

use displaydoc::Display;
use serde::{Deserialize, Serialize};

use super::catalog::{Backend, Catalog, Declared, Limits, Route, Tenancy};

/// Tells the contents of configurations apart.
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

/// A part of a new list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
enum Part<T> {
    /// Items of the list before, by their places there.
    Kept(Range<u32>),
    /// Items that it did not have, or had elsewhere.
    New(Vec<T>),
}

/// A new list, told by the one before.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct List<T>(Vec<Part<T>>);

/// A configuration, told by the one before.
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
    /// it is told by another configuration
    BaseMismatch,
    /// it keeps what the configuration does not have
    MissingItems,
    /// what comes of it is another configuration
    ResultMismatch,
}

impl std::error::Error for ApplyError {}

impl Difference {
    /// What leads from one configuration to another.
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

    /// The version that it leads to.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The configuration to which it leads from one.
    ///
    /// # Errors
    ///
    /// When it does not lead from that one, or is damaged.
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
        let places: HashMap<Vec<u8>, usize> =
            before.iter().enumerate().map(|(place, item)| (pack(item), place)).collect();
        let (mut parts, mut next) = (Vec::new(), 0);
        while let Some(item) = after.get(next) {
            match places.get(&pack(item)) {
                Some(&place) => {
                    let length = alike(&before[place..], &after[next..]);
                    parts.push(Part::Kept(place as u32..(place + length) as u32));
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
                Part::Kept(places) => before.get(places.start as usize..places.end as usize),
                Part::New(items) => Some(items.as_slice()),
            };
            after.extend_from_slice(items.ok_or(ApplyError::MissingItems)?);
        }
        Ok(after)
    }
}

/// How many items two lists begin alike with.
fn alike<T: PartialEq>(one: &[T], other: &[T]) -> usize {
    one.iter().zip(other).take_while(|(one, other)| one == other).count()
}

/// Packs an item. Only a map or sequence of unknown length fails, and there is none; an
/// item that did would be told anew, and its configuration whole.
fn pack<T: Serialize>(item: &T) -> Vec<u8> {
    postcard::to_stdvec(item).unwrap_or_default()
}
