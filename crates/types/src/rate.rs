//! Data rates.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use displaydoc::Display;

use crate::size::Bytes;

/// A rate in bytes per second, above zero; its text is a size with `/s`, such as `12 MiB/s`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ByteRate(Bytes);

/// The error when a text is not a rate.
#[derive(Debug, Clone, Display, PartialEq, Eq)]
#[displaydoc(
    "{text:?} is not a rate: expected a size above zero with \"/s\", such as \"12 MiB/s\""
)]
pub struct Error {
    text: String,
}

impl std::error::Error for Error {}

impl ByteRate {
    /// Creates a rate from the bytes per second; `None` for zero.
    #[must_use]
    pub fn new(per_second: Bytes) -> Option<Self> {
        (per_second > Bytes::ZERO).then_some(Self(per_second))
    }

    /// Returns the bytes per second.
    #[must_use]
    pub fn as_bytes(self) -> Bytes {
        self.0
    }

    /// Returns how long the transfer of some bytes takes at this rate.
    #[must_use]
    pub fn time_for(self, bytes: Bytes) -> Duration {
        Duration::from_secs_f64(bytes.as_u64() as f64 / self.0.as_u64() as f64)
    }
}

impl fmt::Display for ByteRate {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/s", self.0)
    }
}

impl FromStr for ByteRate {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let parsed = text.strip_suffix("/s").and_then(|size| size.parse().ok());
        parsed.and_then(Self::new).ok_or_else(|| Error { text: text.into() })
    }
}

crate::serde_as_text!(ByteRate);
