//! Values from the platform's store with the revision at which they held.
//!
//! The store may come back from an older copy of itself. What it had accepted since is gone then,
//! and the revisions after the copy are given out again. Each such life of the store is an
//! [`Era`], and a [`Revision`] is the store's counter within an era.

use std::fmt;
use std::str::FromStr;

use displaydoc::Display;
use serde::{Deserialize, Serialize};

/// How many bits a revision's number takes in messages; the era has the bits above it.
const NUMBER_BITS: u32 = 40;

/// The largest number in messages.
const MAX_NUMBER: u64 = (1 << NUMBER_BITS) - 1;

/// The largest era in messages, where zero stands for none.
const MAX_ERA: u32 = (1 << (u64::BITS - NUMBER_BITS)) - 2;

/// One life of the store, from one return from an older copy to the next, as the store counts
/// them. The store may name none.
// Invariant: at most `MAX_ERA`. No era orders before all others.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Era(Option<u32>);

/// Why a text names no era.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum InvalidEra {
    /// it is not a whole number
    Syntax,
    /// it is larger than messages can hold
    TooLarge,
}

impl std::error::Error for InvalidEra {}

impl Era {
    /// The era of a store that names none.
    pub const UNNAMED: Self = Self(None);

    /// Whether the store names it.
    #[must_use]
    pub fn is_named(self) -> bool {
        self.0.is_some()
    }
}

impl TryFrom<u64> for Era {
    type Error = InvalidEra;

    fn try_from(number: u64) -> Result<Self, InvalidEra> {
        let number = u32::try_from(number).ok().filter(|number| *number <= MAX_ERA);
        number.map(|number| Self(Some(number))).ok_or(InvalidEra::TooLarge)
    }
}

impl FromStr for Era {
    type Err = InvalidEra;

    fn from_str(text: &str) -> Result<Self, InvalidEra> {
        text.trim().parse::<u64>().map_err(|_| InvalidEra::Syntax)?.try_into()
    }
}

impl fmt::Display for Era {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(number) => number.fmt(formatter),
            None => formatter.write_str("none"),
        }
    }
}

/// The revision of the store, which grows with each change of its contents within an era.
///
/// In messages it is one number with the era in its upper bits, so that builds which know no eras
/// order revisions in the same way.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(into = "u64", from = "u64")]
pub struct Revision {
    // First, since it orders before the number.
    era: Era,
    number: u64,
}

impl Revision {
    /// The revision with a number in an era.
    #[must_use]
    pub fn new(era: Era, number: u64) -> Self {
        Self { era, number: number.min(MAX_NUMBER) }
    }

    /// The era.
    #[must_use]
    pub fn era(self) -> Era {
        self.era
    }

    /// The store's counter.
    #[must_use]
    pub fn number(self) -> u64 {
        self.number
    }

    /// The revision with the same number in an era, if the store named none.
    #[must_use]
    pub fn or_in(self, era: Era) -> Self {
        if self.era.is_named() { self } else { Self { era, ..self } }
    }
}

impl From<Revision> for u64 {
    fn from(Revision { era, number }: Revision) -> Self {
        let era = era.0.map_or(0, |era| Self::from(era) + 1);
        era << NUMBER_BITS | number
    }
}

/// Without an era, a number is a revision of a store that names none.
impl From<u64> for Revision {
    fn from(packed: u64) -> Self {
        let era = (packed >> NUMBER_BITS).checked_sub(1).and_then(|era| u32::try_from(era).ok());
        Self { era: Era(era), number: packed & MAX_NUMBER }
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.era.is_named() {
            write!(formatter, "{}.", self.era)?;
        }
        self.number.fmt(formatter)
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
