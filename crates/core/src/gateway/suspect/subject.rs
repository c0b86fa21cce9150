//! What a crash of an endpoint is attributed to: a whole request, or a part of its prompt.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::gateway::call::Call;
use crate::gateway::fingerprint::Fingerprint;

/// How many parts of a prompt are tracked at most, from its start: parts that many requests share
/// come first.
const MAX_TRACKED_PARTS: usize = 64;

/// What the text form of a part begins with.
const PART_PREFIX: &str = "part-";

/// The key of a part of a prompt that requests may share. Its text form has 16 hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Part(u64);

impl Part {
    /// The part with a key.
    #[must_use]
    pub const fn new(key: u64) -> Self {
        Self(key)
    }

    /// The key.
    #[must_use]
    pub const fn as_u64(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Part {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

impl FromStr for Part {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        u64::from_str_radix(text, 16).map(Self)
    }
}

/// What endpoints are suspected to crash on. Its text form is a fingerprint, or `part-` and the key
/// of a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Subject {
    /// A whole request.
    Request(Fingerprint),
    /// A part of prompts.
    Part(Part),
}

impl Subject {
    /// The subjects of a request: itself, and the parts of its prompt except the last, which
    /// no other request has.
    #[must_use]
    pub fn of(fingerprint: Fingerprint, call: &Call) -> Vec<Self> {
        let shared = call.prefix.split_last().map_or(&[][..], |(_, shared)| shared);
        let parts = shared.iter().take(MAX_TRACKED_PARTS).map(|(key, _)| Self::Part(Part(*key)));
        std::iter::once(Self::Request(fingerprint)).chain(parts).collect()
    }

    /// The part, if it is one.
    #[must_use]
    pub fn part(self) -> Option<Part> {
        match self {
            Self::Request(_) => None,
            Self::Part(part) => Some(part),
        }
    }
}

impl fmt::Display for Subject {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Request(fingerprint) => fingerprint.fmt(formatter),
            Self::Part(part) => write!(formatter, "{PART_PREFIX}{part}"),
        }
    }
}

impl FromStr for Subject {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        match text.strip_prefix(PART_PREFIX) {
            Some(part) => part.parse().map(Self::Part),
            None => text.parse().map(Self::Request),
        }
    }
}
