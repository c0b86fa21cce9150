//! Fingerprints of requests, which show that two attempts are the same request.
//!
//! Each attempt has its own id, so a fingerprint hashes the parts that all attempts share.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// The parts of a request that stay the same in each attempt.
#[derive(Debug, Clone, Copy)]
pub struct Identity<'a> {
    /// The HTTP method.
    pub method: &'a str,
    /// The target host.
    pub host: &'a str,
    /// The path, with the query.
    pub path: &'a str,
    /// The caller: its team, or else its credentials.
    pub caller: &'a str,
    /// The whole body.
    pub body: &'a [u8],
}

/// A 64-bit hash of a request's [`Identity`]. Its text form has 16 hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint(u64);

impl Fingerprint {
    /// The fingerprint of a request.
    #[must_use]
    pub fn of(identity: &Identity<'_>) -> Self {
        let Identity { method, host, path, caller, body } = identity;
        let mut hasher = blake3::Hasher::new();
        for part in [method.as_bytes(), host.as_bytes(), path.as_bytes(), caller.as_bytes(), body] {
            // Without lengths, bytes could move from one part to the next and hash the same.
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
