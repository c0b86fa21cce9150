//! Cryptographic hashes of chunks, manifests and configuration parts.

use std::fmt;
use std::str::FromStr;

use displaydoc::Display;

const PREFIX: &str = "blake3:";
const BYTES: usize = 32;

/// A BLAKE3 hash; its text is `blake3:` and 64 lower-case hexadecimal digits.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Digest([u8; BYTES]);

/// The error when a text is not a digest.
#[derive(Debug, Clone, Display, PartialEq, Eq)]
#[displaydoc("{text:?} is not a digest: expected \"blake3:\" and 64 lower-case hexadecimal digits")]
pub struct Error {
    text: String,
}

impl std::error::Error for Error {}

impl Digest {
    /// Computes the digest of some bytes.
    #[must_use]
    pub fn of(bytes: &[u8]) -> Self {
        Self(*blake3::hash(bytes).as_bytes())
    }

    /// Creates a digest from its 32 bytes.
    #[must_use]
    pub const fn new(bytes: [u8; 32]) -> Self {
        Self(bytes)
    }

    /// Returns the 32 bytes of the hash.
    #[must_use]
    pub fn as_bytes(&self) -> &[u8; BYTES] {
        &self.0
    }

    /// Returns the first eight hexadecimal digits, for display.
    #[must_use]
    pub fn to_short(&self) -> String {
        self.0[..4].iter().map(|byte| format!("{byte:02x}")).collect()
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(PREFIX)?;
        self.0.iter().try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{PREFIX}{}", self.to_short())
    }
}

impl FromStr for Digest {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        parse(text).ok_or_else(|| Error { text: text.into() })
    }
}

fn parse(text: &str) -> Option<Digest> {
    let hex = text.strip_prefix(PREFIX)?.as_bytes();
    if hex.len() != 2 * BYTES {
        return None;
    }
    let mut bytes = [0; BYTES];
    for (byte, pair) in bytes.iter_mut().zip(hex.chunks_exact(2)) {
        *byte = nibble(pair[0])? << 4 | nibble(pair[1])?;
    }
    Some(Digest(bytes))
}

fn nibble(digit: u8) -> Option<u8> {
    match digit {
        b'0'..=b'9' => Some(digit - b'0'),
        b'a'..=b'f' => Some(digit - b'a' + 10),
        _ => None,
    }
}

crate::serde_as_text!(Digest);
