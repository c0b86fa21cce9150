//! An origin in memory that spoils its first listings of a version.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

use async_trait::async_trait;
use bytes::Bytes;
use cinderspoke_core::gateway::name::Model;
use cinderspoke_core::gateway::rollout::Version;
use cinderspoke_core::manifest::Algorithm;
use cinderspoke_ports::Error;
use cinderspoke_ports::gateway::{Listing, Origin};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::changeovers::engine::{CHUNK_BYTES, CHUNKS, chunk};

/// How a listing is spoilt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Spoilt {
    /// It lacks the last digests.
    Short(usize),
    /// It lacks one digest in its middle.
    Dropped(usize),
    /// It has further digests at its end.
    Long(usize),
    /// The last digests are those of the version before.
    LastOlder(usize),
    /// The last digests repeat the first.
    Repeated(usize),
    /// Two digests stand in each other's place.
    Exchanged(usize, usize),
    /// A bit of a digest is flipped.
    Flipped(usize),
    /// The size of a chunk is another one.
    ChunkBytes(u64),
}

impl Spoilt {
    /// A random way to spoil a listing.
    pub(super) fn random(rng: &mut ChaCha8Rng) -> Self {
        let count = rng.random_range(1..=CHUNKS);
        let (one, other) = (rng.random_range(0..CHUNKS), rng.random_range(0..CHUNKS - 1));
        match rng.random_range(0..8) {
            0 => Self::Short(count),
            1 => Self::Dropped(one),
            2 => Self::Long(count),
            3 => Self::LastOlder(count),
            4 => Self::Repeated(rng.random_range(1..CHUNKS)),
            5 => Self::Exchanged(one, (one + 1 + other) % CHUNKS),
            6 => Self::Flipped(one),
            _ => Self::ChunkBytes([0, 32, 63, 1 << 20, 1 << 63][one % 5]),
        }
    }

    /// Spoils the listing of a version.
    fn apply(self, version: Version, listing: &mut Listing) {
        let digests = &mut listing.digests;
        match self {
            Self::Short(count) => digests.truncate(CHUNKS - count),
            Self::Dropped(number) => _ = digests.remove(number),
            Self::Long(count) => digests.extend_from_within(..count),
            Self::LastOlder(count) => {
                let before = sound(Version(version.0 - 1)).digests;
                digests[CHUNKS - count..].copy_from_slice(&before[CHUNKS - count..]);
            }
            Self::Repeated(count) => digests.copy_within(..count, CHUNKS - count),
            Self::Exchanged(one, other) => digests.swap(one, other),
            Self::Flipped(number) => digests[number][0] ^= 1,
            Self::ChunkBytes(bytes) => listing.chunk_bytes = bytes,
        }
    }
}

/// The listing of a version as it should be.
pub(super) fn sound(version: Version) -> Listing {
    let digests = (0..CHUNKS).map(|number| Algorithm::Sha256.chunk(&chunk(version, number)));
    Listing { chunk_bytes: CHUNK_BYTES, digests: digests.map(|it| *it.as_bytes()).collect() }
}

/// An origin that counts its answers. Clones share their state.
#[derive(Debug, Clone, Default)]
pub(super) struct SpoilingOrigin {
    // The listings that are spoilt, by version and by number.
    spoilt: Arc<Mutex<BTreeMap<(u64, usize), Spoilt>>>,
    listings: Arc<Mutex<BTreeMap<u64, usize>>>,
    // The numbers of the answers with chunks that are spoilt.
    spoilt_chunks: Arc<Mutex<Vec<usize>>>,
    chunks: Arc<AtomicUsize>,
}

impl SpoilingOrigin {
    /// Spoils the listing of a version that is the next but `number`.
    pub(super) fn spoil(&self, version: Version, number: usize, how: Spoilt) {
        self.spoilt.lock().unwrap().insert((version.0, number), how);
    }

    /// Spoils the answers with these numbers among those with chunks.
    pub(super) fn spoil_chunks(&self, numbers: Vec<usize>) {
        *self.spoilt_chunks.lock().unwrap() = numbers;
    }

    /// The number of listings that it has given, of all versions.
    pub(super) fn listings(&self) -> usize {
        self.listings.lock().unwrap().values().sum()
    }

    /// The number of answers that it has given.
    pub(super) fn answers(&self) -> usize {
        self.listings() + self.chunks.load(Ordering::Relaxed)
    }
}

#[async_trait]
impl Origin for SpoilingOrigin {
    async fn listing(&self, _: &Model, version: Version) -> Result<Listing, Error> {
        let number = {
            let mut listings = self.listings.lock().unwrap();
            let count = listings.entry(version.0).or_default();
            *count += 1;
            *count - 1
        };
        let mut listing = sound(version);
        if let Some(how) = self.spoilt.lock().unwrap().get(&(version.0, number)) {
            how.apply(version, &mut listing);
        }
        Ok(listing)
    }

    async fn chunk(&self, _: &Model, version: Version, number: usize) -> Result<Bytes, Error> {
        let answer = self.chunks.fetch_add(1, Ordering::Relaxed);
        if number >= CHUNKS {
            return Err(Error::NotFound);
        }
        if self.spoilt_chunks.lock().unwrap().contains(&answer) {
            return Ok(Bytes::from_static(b"spoilt"));
        }
        Ok(chunk(version, number))
    }
}
