//! A set of chunk numbers, stored as one bit per chunk.

use std::fmt;
use std::str::FromStr;

use displaydoc::Display;

const BITS: usize = 8;

/// A set of chunk numbers below a fixed length.
///
/// Its text form has two hexadecimal digits for every eight chunks, lowest chunks first.
// Invariant: bits at and above `length` are zero.
#[derive(Clone, PartialEq, Eq)]
pub struct Bitmap {
    bytes: Vec<u8>,
    length: usize,
}

/// Why a text cannot be parsed as a bitmap.
#[derive(Debug, Clone, Display, PartialEq, Eq)]
pub enum Error {
    /// the digits are not pairs of hexadecimal digits
    Digits,
}

impl std::error::Error for Error {}

impl Bitmap {
    /// Creates an empty set of chunks below `length`.
    #[must_use]
    pub fn new(length: usize) -> Self {
        Self { bytes: vec![0; length.div_ceil(BITS)], length }
    }

    /// The number of chunks that the set can hold, not of those in it.
    #[must_use]
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether no chunk is in the set.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.bytes.iter().all(|byte| *byte == 0)
    }

    /// Whether every chunk is in the set.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.count() == self.length
    }

    /// The number of chunks in the set.
    #[must_use]
    pub fn count(&self) -> usize {
        self.bytes.iter().map(|byte| byte.count_ones() as usize).sum()
    }

    /// Whether a chunk is in the set; false for numbers beyond the length.
    #[must_use]
    pub fn contains(&self, chunk: usize) -> bool {
        self.bytes.get(chunk / BITS).is_some_and(|byte| byte >> (chunk % BITS) & 1 == 1)
    }

    /// Adds a chunk; numbers beyond the length are ignored.
    pub fn insert(&mut self, chunk: usize) {
        if chunk < self.length {
            self.bytes[chunk / BITS] |= 1 << (chunk % BITS);
        }
    }

    /// The same set with another length; chunks beyond the length are dropped.
    #[must_use]
    pub fn resized(&self, length: usize) -> Self {
        let mut resized = Self::new(length);
        (0..length).filter(|chunk| self.contains(*chunk)).for_each(|chunk| resized.insert(chunk));
        resized
    }
}

impl fmt::Display for Bitmap {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.bytes.iter().try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

impl fmt::Debug for Bitmap {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} of {}", self.count(), self.length)
    }
}

impl FromStr for Bitmap {
    type Err = Error;

    /// Parses a set. Its length is the number of digits times four, a multiple of eight.
    fn from_str(text: &str) -> Result<Self, Error> {
        if !text.is_ascii() || !text.len().is_multiple_of(2) {
            return Err(Error::Digits);
        }
        let pair = |at: usize| u8::from_str_radix(&text[at..at + 2], 16);
        let bytes: Result<Vec<u8>, _> = (0..text.len()).step_by(2).map(pair).collect();
        let bytes = bytes.map_err(|_| Error::Digits)?;
        Ok(Self { length: bytes.len() * BITS, bytes })
    }
}
