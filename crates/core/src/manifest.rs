//! Manifests, which list the chunks of a version's weights by their digests.

use std::ops::Range;

use cinderspoke_schema::control;
use cinderspoke_types::digest::Digest;
use cinderspoke_types::size::Bytes;
use displaydoc::Display;
use sha2::{Digest as _, Sha256};

/// A manifest: verified against the digest that names the version, or only listed by an origin.
// Invariants: `digest` is the digest of `raw`, and the number of chunks in `raw`
// matches its sizes.
#[derive(Debug, Clone, PartialEq)]
pub struct Manifest {
    digest: Digest,
    raw: control::Manifest,
    algorithm: Algorithm,
    // The version that an origin lists the chunks for; none if `digest` names the version. A
    // listing may be spoilt, so each of its chunks has to be proven (`crate::proof`).
    listed_for: Option<Digest>,
}

/// The hash of chunks and of the complete weights.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Algorithm {
    /// BLAKE3 of each chunk, and of the complete weights in one piece. Used by Cinderspoke's own
    /// manifests.
    Blake3,
    /// SHA-256 of each chunk, as origins list chunks. The digest of the complete weights is the
    /// BLAKE3 hash of the list of chunk hashes.
    Sha256,
}

impl Algorithm {
    /// The digest of a chunk.
    #[must_use]
    pub fn chunk(self, bytes: &[u8]) -> Digest {
        match self {
            Self::Blake3 => Digest::of(bytes),
            Self::Sha256 => Digest::new(Sha256::digest(bytes).into()),
        }
    }
}

/// Why a manifest is rejected.
#[derive(Debug, Clone, Display, PartialEq, Eq)]
pub enum Error {
    /// the manifest's digest is {found}, not {wanted}
    Digest {
        /// The digest requested.
        wanted: Digest,
        /// The digest of the manifest received.
        found: Digest,
    },
    /// the manifest lists {listed} chunks, but its sizes imply {wanted}
    Layout {
        /// The number of chunks in the list.
        listed: usize,
        /// The number of chunks that the sizes imply.
        wanted: u64,
    },
}

impl std::error::Error for Error {}

impl Manifest {
    /// Builds the manifest of some weights.
    ///
    /// # Panics
    ///
    /// When the chunk size is zero.
    #[must_use]
    pub fn build(weights: &[u8], chunk_size: Bytes) -> Self {
        let raw = control::Manifest {
            size: Bytes::new(weights.len() as u64),
            chunk_size,
            chunks: weights.chunks(chunk_size.as_usize()).map(Digest::of).collect(),
            whole: Digest::of(weights),
        };
        Self { digest: digest(&raw), raw, algorithm: Algorithm::Blake3, listed_for: None }
    }

    /// Verifies a received manifest against the digest that identifies it.
    ///
    /// # Errors
    ///
    /// When the digest differs, or the number of chunks does not match the sizes.
    pub fn verify(raw: control::Manifest, wanted: Digest) -> Result<Self, Error> {
        let found = digest(&raw);
        if found != wanted {
            return Err(Error::Digest { wanted, found });
        }
        let chunks = match raw.chunk_size.as_u64() {
            0 => u64::MAX,
            chunk_size => raw.size.as_u64().div_ceil(chunk_size),
        };
        if raw.chunks.len() as u64 != chunks {
            return Err(Error::Layout { listed: raw.chunks.len(), wanted: chunks });
        }
        Ok(Self { digest: found, raw, algorithm: Algorithm::Blake3, listed_for: None })
    }

    /// Builds the manifest of weights from the SHA-256 digests of their chunks, all of them
    /// `chunk_size` long.
    #[must_use]
    pub fn from_chunk_digests(chunk_size: Bytes, chunks: Vec<Digest>) -> Self {
        let size = Bytes::new(chunk_size.as_u64().saturating_mul(chunks.len() as u64));
        let mut hasher = Hasher::new(Algorithm::Sha256);
        chunks.iter().for_each(|chunk| hasher.add_hash(chunk));
        let raw = control::Manifest { size, chunk_size, chunks, whole: hasher.finish() };
        Self { digest: digest(&raw), raw, algorithm: Algorithm::Sha256, listed_for: None }
    }

    /// Builds the manifest of a version from an origin's listing, as
    /// [`Manifest::from_chunk_digests`] does. `version` identifies the model and the version.
    #[must_use]
    pub fn listed(version: Digest, chunk_size: Bytes, chunks: Vec<Digest>) -> Self {
        let manifest = Self::from_chunk_digests(chunk_size, chunks);
        Self { listed_for: Some(version), ..manifest }
    }

    /// Identifies the version among peers: the version that the chunks are listed for, whatever
    /// its listing is, or the digest of the manifest.
    #[must_use]
    pub fn version(&self) -> Digest {
        self.listed_for.unwrap_or(self.digest)
    }

    /// Whether an origin has listed the chunks, so that each of them has to be proven.
    #[must_use]
    pub fn is_listed(&self) -> bool {
        self.listed_for.is_some()
    }

    /// The algorithm that hashes the chunks.
    #[must_use]
    pub fn algorithm(&self) -> Algorithm {
        self.algorithm
    }

    /// The digest of the manifest. It identifies the version unless the manifest is listed.
    #[must_use]
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// The manifest as it is sent in messages.
    #[must_use]
    pub fn as_raw(&self) -> &control::Manifest {
        &self.raw
    }

    /// The size of the complete weights.
    #[must_use]
    pub fn size(&self) -> Bytes {
        self.raw.size
    }

    /// The number of chunks.
    #[must_use]
    pub fn chunks(&self) -> usize {
        self.raw.chunks.len()
    }

    /// The digest of a chunk; `None` beyond the last.
    #[must_use]
    pub fn chunk(&self, chunk: usize) -> Option<Digest> {
        self.raw.chunks.get(chunk).copied()
    }

    /// The digest of the complete weights.
    #[must_use]
    pub fn whole(&self) -> Digest {
        self.raw.whole
    }

    /// The byte range of a chunk in the complete weights.
    #[must_use]
    pub fn range(&self, chunk: usize) -> Range<u64> {
        let size = self.raw.chunk_size.as_u64();
        let start = size * chunk as u64;
        start..(start + size).min(self.raw.size.as_u64())
    }
}

/// The digest of a manifest, over its fields in a fixed order and width.
fn digest(raw: &control::Manifest) -> Digest {
    let mut bytes = Vec::with_capacity(48 + 32 * raw.chunks.len());
    bytes.extend(raw.size.as_u64().to_le_bytes());
    bytes.extend(raw.chunk_size.as_u64().to_le_bytes());
    bytes.extend(raw.whole.as_bytes());
    raw.chunks.iter().for_each(|chunk| bytes.extend(chunk.as_bytes()));
    Digest::of(&bytes)
}

/// Computes the digest of complete weights, chunk by chunk.
#[derive(Debug)]
pub struct Hasher {
    algorithm: Algorithm,
    state: blake3::Hasher,
}

impl Hasher {
    /// Creates a hasher for weights whose manifest uses `algorithm`.
    #[must_use]
    pub fn new(algorithm: Algorithm) -> Self {
        Self { algorithm, state: blake3::Hasher::new() }
    }

    /// Adds the next chunk.
    pub fn add(&mut self, chunk: &[u8]) {
        match self.algorithm {
            Algorithm::Blake3 => {
                self.state.update(chunk);
            }
            Algorithm::Sha256 => self.add_hash(&self.algorithm.chunk(chunk)),
        }
    }

    fn add_hash(&mut self, chunk: &Digest) {
        self.state.update(chunk.as_bytes());
    }

    /// The digest of all chunks added so far.
    #[must_use]
    pub fn finish(&self) -> Digest {
        Digest::new(*self.state.finalize().as_bytes())
    }
}
