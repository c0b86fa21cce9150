//! Caches chunks in memory, for loading and for peers that need them.
//!
//! Chunks are stored by digest, so that versions share the chunks they have in common.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::{Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use cinderspoke_core::bitmap::Bitmap;
use cinderspoke_core::manifest::Manifest;
use cinderspoke_schema::control::Holdings;
use cinderspoke_types::digest::Digest;
use cinderspoke_types::size;

use crate::util::signal::{Receiver, Signal};

/// After how many uploads peers that wait for changes receive the updated count of bytes served.
const UPLOADS_PER_UPDATE: u64 = 4;

/// All chunks that an instance holds.
#[derive(Debug)]
pub struct Cache {
    limit: size::Bytes,
    state: Mutex<State>,
    // Raised after each inserted chunk.
    insertions: Signal,
}

#[derive(Debug, Default)]
struct State {
    chunks: HashMap<Digest, Bytes>,
    versions: BTreeMap<Digest, Version>,
    used: size::Bytes,
    // Bytes of chunks served to peers.
    served_bytes: u64,
    uploads: u64,
}

/// The chunks of one version.
#[derive(Debug)]
struct Version {
    manifest: Manifest,
    positions: HashMap<Digest, Vec<usize>>,
    held: Bitmap,
    // Raised after each change; the number of times is the revision of the holdings.
    revision: Signal,
    // Whether the engine has loaded the weights, so that the chunks are only kept for peers.
    evictable: bool,
}

impl Cache {
    /// Creates an empty cache for at most `limit` of chunks.
    #[must_use]
    pub fn new(limit: size::Bytes) -> Self {
        Self { limit, state: Mutex::default(), insertions: Signal::default() }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts to track a version, and returns which of its chunks are cached already.
    ///
    /// Evicts versions that the engine has loaded if the memory limit requires it.
    pub fn add_version(&self, manifest: &Manifest) -> Bitmap {
        let mut state = self.lock();
        if let Some(version) = state.versions.get(&manifest.digest()) {
            // Peers may be waiting on its revision signal, which must not be replaced.
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
        // Revisions start at 1, since peers that know no revision request changes after 0.
        revision.raise();
        let version = Version {
            manifest: manifest.clone(),
            positions,
            held: held.clone(),
            revision,
            evictable: false,
        };
        state.versions.insert(manifest.digest(), version);
        held
    }

    /// Inserts a verified chunk, which then counts as held in each version that contains it.
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
        state.notify(digest);
        drop(state);
        self.insertions.raise();
    }

    /// Returns a chunk to be served to a peer, if it is held, and counts the upload.
    #[must_use]
    pub fn serve(&self, digest: Digest) -> Option<Bytes> {
        let mut state = self.lock();
        let bytes = state.chunks.get(&digest).cloned()?;
        state.served_bytes += bytes.len() as u64;
        state.uploads += 1;
        if state.uploads.is_multiple_of(UPLOADS_PER_UPDATE) {
            state.notify(digest);
        }
        Some(bytes)
    }

    /// Waits until a chunk is held.
    pub async fn wait_for(&self, digest: Digest) {
        let mut insertions = self.insertions.subscribe();
        while !self.lock().chunks.contains_key(&digest) {
            insertions.changed().await;
        }
    }

    /// All chunks of a version in order; `None` while some are missing.
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

    /// The number of held chunks of a version and its total number of chunks; `None` if the
    /// version is not tracked.
    #[must_use]
    pub fn progress(&self, manifest: Digest) -> Option<(usize, usize)> {
        let state = self.lock();
        let version = state.versions.get(&manifest)?;
        Some((version.held.count(), version.held.len()))
    }

    /// The held chunks of a version, and a receiver that waits for changes.
    #[must_use]
    pub fn holdings(&self, manifest: Digest) -> Option<(Holdings, Receiver)> {
        let state = self.lock();
        let version = state.versions.get(&manifest)?;
        let revision = version.revision.subscribe();
        let holdings = Holdings {
            revision: version.revision.raised(),
            chunks: version.held.to_string(),
            given: state.served_bytes,
        };
        Some((holdings, revision))
    }

    /// Marks a version as loaded, so that it may be evicted when memory is needed.
    pub fn mark_evictable(&self, manifest: Digest) {
        if let Some(version) = self.lock().versions.get_mut(&manifest) {
            version.evictable = true;
        }
    }

    /// Removes a version and its chunks, except chunks that other versions share.
    pub fn remove_version(&self, manifest: Digest) {
        self.lock().remove(manifest);
    }
}

impl State {
    /// Notifies peers that wait for changes of the versions that contain a chunk.
    fn notify(&mut self, digest: Digest) {
        let versions = self.versions.values();
        let containing = versions.filter(|version| version.positions.contains_key(&digest));
        containing.for_each(|version| version.revision.raise());
    }

    fn make_room(&mut self, limit: size::Bytes, manifest: &Manifest) {
        while self.used + manifest.size() > limit {
            let evictable = self.versions.iter().find(|(_, version)| version.evictable);
            let Some(version) = evictable.map(|(digest, _)| *digest) else {
                tracing::warn!(used = %self.used, %limit, "chunks take more memory than allowed");
                return;
            };
            self.remove(version);
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
