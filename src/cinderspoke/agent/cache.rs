//! Chunks in memory: held for loading, and for as long as peers need them.
//!
//! Chunks are kept by their digest, so that versions share those which they
//! have in common.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::{Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use cinderspoke_core::bitmap::Bitmap;
use cinderspoke_core::manifest::Manifest;
use cinderspoke_schema::control::Holdings;
use cinderspoke_types::digest::Digest;
use cinderspoke_types::size;

use crate::util::signal::{Receiver, Signal};

/// After so many chunks given, peers are told how much it was.
const TOLD_EACH: u64 = 4;

/// All chunks that an instance holds.
#[derive(Debug)]
pub struct Cache {
    limit: size::Bytes,
    state: Mutex<State>,
    // Told after each chunk.
    puts: Signal,
}

#[derive(Debug, Default)]
struct State {
    chunks: HashMap<Digest, Bytes>,
    versions: BTreeMap<Digest, Version>,
    used: size::Bytes,
    given: u64,
    gifts: u64,
}

/// The chunks of one version.
#[derive(Debug)]
struct Version {
    manifest: Manifest,
    positions: HashMap<Digest, Vec<usize>>,
    held: Bitmap,
    // Told after each chunk; the revision is how often.
    revision: Signal,
    // Whether the engine has the weights: then the chunks only serve peers.
    spare: bool,
}

impl Cache {
    /// An empty cache for at most `limit` of chunks.
    #[must_use]
    pub fn new(limit: size::Bytes) -> Self {
        Self { limit, state: Mutex::default(), puts: Signal::default() }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts to hold a version, and tells which of its chunks are here already.
    ///
    /// Versions that the engine has loaded make room for it where they must.
    pub fn add_version(&self, manifest: &Manifest) -> Bitmap {
        let mut state = self.lock();
        if let Some(version) = state.versions.get(&manifest.digest()) {
            // Peers wait for its next chunk: it has to stay the same one.
            return version.held.clone();
        }
        state.make_room(self.limit, manifest);
        let mut positions: HashMap<Digest, Vec<usize>> = HashMap::new();
        for (position, chunk) in manifest.as_raw().chunks.iter().enumerate() {
            positions.entry(*chunk).or_default().push(position);
        }
        let mut held = Bitmap::new(manifest.chunks());
        for (chunk, positions) in &positions {
            if state.chunks.contains_key(chunk) {
                positions.iter().for_each(|position| held.insert(*position));
            }
        }
        let revision = Signal::default();
        // Peers that know nothing say 0.
        revision.raise();
        let version = Version {
            manifest: manifest.clone(),
            positions,
            held: held.clone(),
            revision,
            spare: false,
        };
        state.versions.insert(manifest.digest(), version);
        held
    }

    /// Puts a verified chunk where it belongs.
    pub fn insert(&self, digest: Digest, bytes: Bytes) {
        let mut state = self.lock();
        let length = size::Bytes::new(bytes.len() as u64);
        if state.chunks.insert(digest, bytes).is_none() {
            state.used += length;
        }
        for version in state.versions.values_mut() {
            if let Some(positions) = version.positions.get(&digest) {
                positions.iter().for_each(|position| version.held.insert(*position));
            }
        }
        state.tell(digest);
        drop(state);
        self.puts.raise();
    }

    /// A chunk, to be given to a peer, if it is held.
    #[must_use]
    pub fn serve(&self, digest: Digest) -> Option<Bytes> {
        let mut state = self.lock();
        let bytes = state.chunks.get(&digest).cloned()?;
        state.given += bytes.len() as u64;
        state.gifts += 1;
        if state.gifts.is_multiple_of(TOLD_EACH) {
            state.tell(digest);
        }
        Some(bytes)
    }

    /// Waits until a chunk is held.
    pub async fn wait_for(&self, digest: Digest) {
        let mut puts = self.puts.subscribe();
        while !self.lock().chunks.contains_key(&digest) {
            puts.changed().await;
        }
    }

    /// The whole weights, chunk by chunk; `None` while some are missing.
    #[must_use]
    pub fn all_chunks(&self, manifest: Digest) -> Option<Vec<Bytes>> {
        let state = self.lock();
        let version = state.versions.get(&manifest)?;
        version
            .manifest
            .as_raw()
            .chunks
            .iter()
            .map(|chunk| state.chunks.get(chunk).cloned())
            .collect()
    }

    /// How many chunks of a version are held, and how many there are.
    #[must_use]
    pub fn progress(&self, manifest: Digest) -> Option<(usize, usize)> {
        let state = self.lock();
        let version = state.versions.get(&manifest)?;
        Some((version.held.count(), version.held.len()))
    }

    /// The chunks held of a version, and a way to wait for more.
    #[must_use]
    pub fn holdings(&self, manifest: Digest) -> Option<(Holdings, Receiver)> {
        let state = self.lock();
        let version = state.versions.get(&manifest)?;
        let revision = version.revision.subscribe();
        let holdings = Holdings {
            revision: version.revision.raised(),
            chunks: version.held.to_string(),
            given: state.given,
        };
        Some((holdings, revision))
    }

    /// Marks a version as loaded: its chunks may go when room is needed.
    pub fn mark_evictable(&self, manifest: Digest) {
        if let Some(version) = self.lock().versions.get_mut(&manifest) {
            version.spare = true;
        }
    }

    /// Stops holding a version; chunks that other versions share stay.
    pub fn remove_version(&self, manifest: Digest) {
        self.lock().remove(manifest);
    }
}

impl State {
    /// Lets peers know of a change to the versions that have a chunk.
    fn tell(&mut self, digest: Digest) {
        let having =
            self.versions.values().filter(|version| version.positions.contains_key(&digest));
        having.for_each(|version| version.revision.raise());
    }

    fn make_room(&mut self, limit: size::Bytes, manifest: &Manifest) {
        while self.used + manifest.size() > limit {
            let spare = self.versions.iter().find(|(_, version)| version.spare);
            let Some(oldest) = spare.map(|(digest, _)| *digest) else {
                tracing::warn!(used = %self.used, %limit, "chunks take more memory than allowed");
                return;
            };
            self.remove(oldest);
        }
    }

    fn remove(&mut self, manifest: Digest) {
        let Some(version) = self.versions.remove(&manifest) else { return };
        let shared: HashSet<_> =
            self.versions.values().flat_map(|version| version.positions.keys().copied()).collect();
        for chunk in version.positions.keys().filter(|chunk| !shared.contains(chunk)) {
            if let Some(bytes) = self.chunks.remove(chunk) {
                self.used = self.used.saturating_sub(size::Bytes::new(bytes.len() as u64));
            }
        }
    }
}
