//! Telling that two attempts are the same request.
//!
//! Each attempt has an id of its own; a fingerprint is made of what stays the same.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// What stays the same when a request is attempted again.
#[derive(Debug, Clone, Copy)]
pub struct Identity<'a> {
    /// Its method.
    pub method: &'a str,
    /// The host that it is meant for.
    pub host: &'a str,
    /// The path, with the query.
    pub path: &'a str,
    /// Who asks: the team, or else what the caller proves itself with.
    pub caller: &'a str,
    /// Its whole body.
    pub body: &'a [u8],
}

/// Tells requests apart by what stays the same from one attempt to the next; its text
/// is 16 hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint(u64);

impl Fingerprint {
    /// The fingerprint of a request.
    #[must_use]
    pub fn of(identity: &Identity<'_>) -> Self {
        let Identity { method, host, path, caller, body } = identity;
        let mut hasher = blake3::Hasher::new();
        for part in [method.as_bytes(), host.as_bytes(), path.as_bytes(), caller.as_bytes(), body] {
            // Lengths keep the end of one part from passing for the start of the next.
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let mut first = [0; 8];
        first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        Self(u64::from_le_bytes(first))
    }
}

impl Fingerprint {
    /// The fingerprint as a number.
    #[must_use]
    pub const fn as_u64(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

impl FromStr for Fingerprint {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        u64::from_str_radix(text, 16).map(Self)
    }
}
