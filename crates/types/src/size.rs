//! Sizes in bytes.

use std::fmt;
use std::iter::Sum;
use std::ops::{Add, AddAssign};
use std::str::FromStr;

use displaydoc::Display;

/// A number of bytes; its text is a whole number and a unit, such as `48 MiB`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Bytes(u64);

/// The error when a text is not a size.
#[derive(Debug, Clone, Display, PartialEq, Eq)]
#[displaydoc("{text:?} is not a size: expected a whole number and one of B, KiB, MiB, GiB, TiB")]
pub struct Error {
    text: String,
}

impl std::error::Error for Error {}

/// The units from the largest to the smallest, each with its number of bytes.
const UNITS: [(&str, u64); 5] =
    [("TiB", 1 << 40), ("GiB", 1 << 30), ("MiB", 1 << 20), ("KiB", 1 << 10), ("B", 1)];

impl Bytes {
    /// Zero bytes.
    pub const ZERO: Self = Self(0);

    /// Creates a size from a number of bytes.
    #[must_use]
    pub const fn new(bytes: u64) -> Self {
        Self(bytes)
    }

    /// Creates a size from a number of mebibytes.
    #[must_use]
    pub const fn from_mib(mebibytes: u64) -> Self {
        Self(mebibytes << 20)
    }

    /// Returns the number of bytes.
    #[must_use]
    pub const fn as_u64(self) -> u64 {
        self.0
    }

    /// Returns the number of bytes as a length in memory, at most `usize::MAX`.
    #[must_use]
    pub fn as_usize(self) -> usize {
        usize::try_from(self.0).unwrap_or(usize::MAX)
    }

    /// Subtracts `other`; the result is at least zero.
    #[must_use]
    pub fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl Add for Bytes {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl AddAssign for Bytes {
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}

impl Sum for Bytes {
    fn sum<I: Iterator<Item = Self>>(sizes: I) -> Self {
        sizes.fold(Self::ZERO, Add::add)
    }
}

impl fmt::Display for Bytes {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let exact = |unit: &&(&str, u64)| self.0 >= unit.1 && self.0.is_multiple_of(unit.1);
        let (name, bytes) = UNITS.iter().find(exact).unwrap_or(&UNITS[4]);
        write!(formatter, "{} {name}", self.0 / bytes)
    }
}

impl FromStr for Bytes {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        parse(text).ok_or_else(|| Error { text: text.into() })
    }
}

fn parse(text: &str) -> Option<Bytes> {
    let (number, unit) = text.split_once(' ')?;
    let (_, bytes) = UNITS.iter().find(|(name, _)| *name == unit)?;
    number.parse::<u64>().ok()?.checked_mul(*bytes).map(Bytes)
}

crate::serde_as_text!(Bytes);
