//! Caches chunks in memory, for loading and for peers that need them.
//!
//! Chunks are stored by digest, so that versions share the chunks they have in common. A chunk of
//! a version that an origin has listed counts as held only once it is proven
//! ([`cinderspoke_core::proof`]): the listing may name a chunk of another version by mistake.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::{Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use cinderspoke_core::bitmap::Bitmap;
use cinderspoke_core::manifest::Manifest;
use cinderspoke_core::proof::Proofs;
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

/// What is known of a chunk that a peer requests as one of a version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Lookup {
    /// It is held and proven.
    Held(Bytes),
    /// It is not held, or not proven.
    Missing,
    /// The version is proven to have another chunk in its place.
    Other,
}

/// The chunks of one version.
// Invariant: `held` has the positions whose chunks are cached and, if the manifest is listed,
// proven.
#[derive(Debug)]
struct Version {
    manifest: Manifest,
    positions: HashMap<Digest, Vec<usize>>,
    held: Bitmap,
    // Empty unless the manifest is listed.
    proofs: Proofs,
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

    /// Starts to track a version, and returns which of its chunks are held already. The manifest
    /// of a listed version replaces an earlier one, whose proofs stay.
    ///
    /// Evicts versions that the engine has loaded if the memory limit requires it.
    pub fn add_version(&self, manifest: &Manifest) -> Bitmap {
        let mut state = self.lock();
        let key = manifest.version();
        let revision = match state.versions.get(&key) {
            Some(known) if known.manifest.digest() == manifest.digest() => {
                return known.held.clone();
            }
            // Peers may be waiting on its revision signal, which must not be replaced.
            Some(known) => known.revision.clone(),
            None => {
                state.make_room(self.limit, manifest);
                Signal::default()
            }
        };
        // Revisions start at 1, since peers that know no revision request changes after 0.
        revision.raise();
        let replaced = state.versions.remove(&key);
        let (proofs, replaced) = match replaced {
            Some(version) => (version.proofs, Some(version.positions)),
            None => (Proofs::default(), None),
        };
        let mut version = Version {
            manifest: manifest.clone(),
            positions: positions(manifest),
            held: Bitmap::new(manifest.chunks()),
            proofs,
            revision,
            evictable: false,
        };
        version.count_held(&state.chunks);
        let held = version.held.clone();
        state.versions.insert(key, version);
        if let Some(replaced) = replaced {
            state.remove_unused(replaced.keys());
        }
        held
    }

    /// Inserts a chunk with its digest, which then counts as held in each version that contains
    /// it, if it is proven there or does not have to be.
    pub fn insert(&self, digest: Digest, bytes: Bytes) {
        let mut state = self.lock();
        let length = size::Bytes::new(bytes.len() as u64);
        if state.chunks.insert(digest, bytes).is_none() {
            state.used += length;
        }
        for version in state.versions.values_mut() {
            version.record_cached(digest);
        }
        state.notify(digest);
        drop(state);
        self.insertions.raise();
    }

    /// Inserts a chunk of a version, which a source returned for its number. If the version is
    /// listed, the chunk is proven thereby.
    pub fn insert_chunk(&self, manifest: &Manifest, chunk: usize, digest: Digest, bytes: Bytes) {
        if manifest.is_listed() {
            self.prove(manifest.version(), chunk, digest);
        }
        self.insert(digest, bytes);
    }

    /// Records that a chunk of a listed version is proven to have a digest.
    pub fn prove(&self, version: Digest, chunk: usize, digest: Digest) {
        self.change_proofs(version, |version| version.proofs.add(chunk, digest));
    }

    /// Records that these chunks of a listed manifest lie at an engine, and that they can only be
    /// those of the version.
    pub fn accept(&self, manifest: &Manifest, chunks: impl IntoIterator<Item = usize>) {
        self.change_proofs(manifest.version(), |version| version.proofs.accept(manifest, chunks));
    }

    fn change_proofs(&self, version: Digest, change: impl FnOnce(&mut Version)) {
        let mut state = self.lock();
        let State { versions, chunks, .. } = &mut *state;
        let Some(version) = versions.get_mut(&version) else { return };
        change(version);
        version.count_held(chunks);
        version.revision.raise();
        drop(state);
        self.insertions.raise();
    }

    /// The proofs of a listed version's chunks.
    #[must_use]
    pub fn proofs(&self, version: Digest) -> Proofs {
        self.lock().versions.get(&version).map(|version| version.proofs.clone()).unwrap_or_default()
    }

    /// Returns a chunk to be served to a peer as one of a version, and counts the upload.
    #[must_use]
    pub fn serve_chunk(&self, version: Digest, chunk: usize, digest: Digest) -> Lookup {
        let lookup = self.lookup(version, chunk, digest);
        if let Lookup::Held(_) = lookup {
            self.lock().record_upload(digest);
        }
        lookup
    }

    fn lookup(&self, version: Digest, chunk: usize, digest: Digest) -> Lookup {
        let state = self.lock();
        let Some(version) = state.versions.get(&version) else { return Lookup::Missing };
        let is_listed = version.manifest.chunk(chunk) == Some(digest);
        if !is_listed && version.proofs.is_read(&version.manifest, chunk) {
            return Lookup::Other;
        }
        let bytes = state.chunks.get(&digest).filter(|_| is_listed && version.held.contains(chunk));
        bytes.map_or(Lookup::Missing, |bytes| Lookup::Held(bytes.clone()))
    }

    /// Waits until a chunk of a version is held, or is proven to be another one.
    pub async fn wait_for_chunk(&self, version: Digest, chunk: usize, digest: Digest) {
        let mut insertions = self.insertions.subscribe();
        while self.lookup(version, chunk, digest) == Lookup::Missing {
            insertions.changed().await;
        }
    }

    /// Returns a chunk to be served to a peer, if it is held, and counts the upload.
    #[must_use]
    pub fn serve(&self, digest: Digest) -> Option<Bytes> {
        let mut state = self.lock();
        let bytes = state.chunks.get(&digest).cloned()?;
        state.record_upload(digest);
        Some(bytes)
    }

    /// Waits until a chunk is held.
    pub async fn wait_for(&self, digest: Digest) {
        let mut insertions = self.insertions.subscribe();
        while !self.lock().chunks.contains_key(&digest) {
            insertions.changed().await;
        }
    }

    /// All chunks of a version in order; `None` while some are missing, or not proven though they
    /// have to be.
    #[must_use]
    pub fn all_chunks(&self, version: Digest) -> Option<Vec<Bytes>> {
        let state = self.lock();
        let version = state.versions.get(&version).filter(|version| version.held.is_full())?;
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
    pub fn progress(&self, version: Digest) -> Option<(usize, usize)> {
        let state = self.lock();
        let version = state.versions.get(&version)?;
        Some((version.held.count(), version.held.len()))
    }

    /// The held chunks of a version, and a receiver that waits for changes.
    #[must_use]
    pub fn holdings(&self, version: Digest) -> Option<(Holdings, Receiver)> {
        let state = self.lock();
        let version = state.versions.get(&version)?;
        let revision = version.revision.subscribe();
        let holdings = Holdings {
            revision: version.revision.raised(),
            chunks: version.held.to_string(),
            given: state.served_bytes,
            manifest: version.manifest.is_listed().then(|| version.manifest.digest()),
        };
        Some((holdings, revision))
    }

    /// Marks a version as loaded, so that it may be evicted when memory is needed.
    pub fn mark_evictable(&self, version: Digest) {
        if let Some(version) = self.lock().versions.get_mut(&version) {
            version.evictable = true;
        }
    }

    /// Removes a version and its chunks, except chunks that other versions share.
    pub fn remove_version(&self, version: Digest) {
        self.lock().remove(version);
    }
}

impl Version {
    /// Counts a chunk that is cached now as held, where it is proven or does not have to be.
    fn record_cached(&mut self, digest: Digest) {
        let Some(positions) = self.positions.get(&digest) else { return };
        for position in positions {
            if !self.manifest.is_listed() || self.proofs.confirm(&self.manifest, *position) {
                self.held.insert(*position);
            }
        }
    }

    /// Counts anew which chunks are held.
    fn count_held(&mut self, cached: &HashMap<Digest, Bytes>) {
        self.held = Bitmap::new(self.manifest.chunks());
        let digests: Vec<_> = self.positions.keys().copied().collect();
        for digest in digests.into_iter().filter(|digest| cached.contains_key(digest)) {
            self.record_cached(digest);
        }
    }
}

/// The positions of each chunk of a manifest.
fn positions(manifest: &Manifest) -> HashMap<Digest, Vec<usize>> {
    let mut positions: HashMap<Digest, Vec<usize>> = HashMap::new();
    for (position, chunk) in manifest.as_raw().chunks.iter().enumerate() {
        positions.entry(*chunk).or_default().push(position);
    }
    positions
}

impl State {
    /// Counts the upload of a chunk.
    fn record_upload(&mut self, digest: Digest) {
        self.served_bytes += self.chunks.get(&digest).map_or(0, |bytes| bytes.len() as u64);
        self.uploads += 1;
        if self.uploads.is_multiple_of(UPLOADS_PER_UPDATE) {
            self.notify(digest);
        }
    }

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

    fn remove(&mut self, version: Digest) {
        if let Some(version) = self.versions.remove(&version) {
            self.remove_unused(version.positions.keys());
        }
    }

    /// Removes those of some chunks that no version contains.
    fn remove_unused<'a>(&mut self, digests: impl Iterator<Item = &'a Digest>) {
        let shared: HashSet<_> =
            self.versions.values().flat_map(|version| version.positions.keys().copied()).collect();
        for chunk in digests.filter(|chunk| !shared.contains(chunk)) {
            if let Some(bytes) = self.chunks.remove(chunk) {
                self.used = self.used.saturating_sub(size::Bytes::new(bytes.len() as u64));
            }
        }
    }
}
