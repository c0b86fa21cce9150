//! Transfers of weights to an instance, chunk by chunk.
//!
//! A [`Transfer`] in the state [`Fetching`] collects chunks. It becomes
//! [`Verified`] once the digest of the complete weights matches the manifest,
//! and only verified weights can be loaded. The module `choice` selects the
//! next chunk and the source to fetch it from.

mod choice;

use std::collections::BTreeMap;
use std::time::Duration;

use cinderspoke_schema::control::Peer;
use cinderspoke_types::digest::Digest;
use cinderspoke_types::id::Instance;
use displaydoc::Display;

use crate::bitmap::Bitmap;
use crate::manifest::Manifest;
use crate::rendezvous::Key;
use crate::swarm::{Distance, Role, Swarm};

/// The default of [`Limits::source_backoff`].
pub const SOURCE_BACKOFF: Duration = Duration::from_secs(1);

/// The default of [`Limits::origin_downloads`], for an origin that does not declare how many
/// connections it accepts.
pub const ORIGIN_DOWNLOADS: usize = 4;

/// The number of concurrent downloads that each chunk received in time adds to the window.
const WINDOW_INCREMENT: f64 = 0.25;

/// How an instance chooses the source of each chunk.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Policy {
    /// Each chunk is fetched once from the origin, then exchanged between peers.
    #[default]
    Swarm,
    /// Every chunk is fetched from the origin. A baseline for comparison.
    OriginOnly,
    /// Chunks are fetched from the parent in a binary tree of instances, once the parent holds
    /// all of them. A baseline for comparison.
    Tree,
}

/// Where a chunk is fetched from.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Source {
    /// The origin of weights.
    Origin,
    /// Another instance.
    Peer(Instance),
}

/// What a transfer does next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Fetch a chunk that the source holds.
    Fetch {
        /// The chunk's number.
        chunk: usize,
        /// Where to fetch it from.
        source: Source,
    },
    /// Request a chunk from a peer that may not hold it yet, and wait until the peer does.
    Await {
        /// The chunk's number.
        chunk: usize,
        /// The peer to request it from.
        peer: Instance,
    },
    /// Nothing can be fetched now.
    Wait,
    /// Every chunk is held, and the complete weights can be verified.
    Complete,
}

/// How a transfer classifies a received chunk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Arrival {
    /// The digest matches and the chunk is new; the caller stores it.
    Accepted,
    /// The digest differs from the manifest's; the caller drops the chunk.
    Corrupt,
    /// The chunk is already held or not part of these weights; the caller drops it.
    Unwanted,
}

/// The complete weights do not match their manifest.
#[derive(Debug, Clone, Display, PartialEq, Eq)]
#[displaydoc("the complete weights of manifest {manifest} have the digest {found}")]
pub struct Mismatch {
    manifest: Digest,
    found: Digest,
}

impl std::error::Error for Mismatch {}

/// The state of a transfer that still collects chunks.
#[derive(Debug)]
pub struct Fetching {
    policy: Policy,
    limits: Limits,
    swarm: Swarm,
    // Indexed by chunk.
    roles: Vec<Role>,
    held: Bitmap,
    in_flight: BTreeMap<usize, Download>,
    // The number of failed requests with `Step::Await`, by chunk.
    failures: BTreeMap<usize, usize>,
    peers: BTreeMap<Instance, Neighbour>,
    origin_backoff_until: Duration,
    // The number of concurrent downloads, between one and `Limits::downloads`.
    window: f64,
    // When a chunk was last accepted.
    last_progress: Duration,
    // The start of the transfer, and of the schedule for fetches from the origin.
    started: Duration,
    // When the origin last failed.
    origin_failed: Duration,
    // The first chunk accepted after a failure of the origin.
    recovery: Option<Recovery>,
    // Breaks ties differently on each instance.
    tie_break: Key,
}

/// Concurrency and timeouts of a transfer.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// The maximum number of concurrent downloads.
    pub downloads: usize,
    /// The maximum number of concurrent downloads from the origin.
    pub origin_downloads: usize,
    /// The time that the origin's link takes to transfer a chunk. Fetches from the origin are
    /// scheduled this far apart in the order of the chunks, so that peers get the first chunks
    /// early. Zero disables the schedule.
    pub spacing: Duration,
    /// How long a source gets no requests after it failed.
    pub source_backoff: Duration,
    /// A chunk that takes longer than this indicates a congested link. The transfer then reduces
    /// its concurrent downloads, since inference requests use the same link. `None` disables the
    /// reduction.
    pub slow_chunk: Option<Duration>,
    /// How long to wait for a chunk from the assigned instances before the next fallback acts.
    /// [`Role`] counts in multiples of it.
    pub fallback_timeout: Duration,
}

/// The first chunk accepted, from any source, after a failure of the origin.
#[derive(Debug, Clone, Copy)]
struct Recovery {
    at: Duration,
    // The number of chunks missing at that time, including this one.
    missing: usize,
}

/// A chunk that has been requested and not yet received.
#[derive(Debug)]
struct Download {
    source: Source,
    // Whether the peer may not hold the chunk yet (`Step::Await`).
    awaited: bool,
}

/// The state of a transfer whose complete weights have been verified.
#[derive(Debug)]
pub struct Verified;

/// A peer that this instance exchanges chunks with.
#[derive(Debug)]
struct Neighbour {
    held: Bitmap,
    // The number of bytes that the peer has sent to others, as it last reported.
    given: u64,
    distance: Distance,
    backoff_until: Duration,
}

/// The transfer of one version's weights to this instance.
#[derive(Debug)]
pub struct Transfer<S> {
    manifest: Manifest,
    state: S,
}

impl<S> Transfer<S> {
    /// The manifest of the weights.
    #[must_use]
    pub fn manifest(&self) -> &Manifest {
        &self.manifest
    }
}

impl Transfer<Fetching> {
    /// Starts a transfer.
    #[must_use]
    pub fn new(
        manifest: Manifest,
        swarm: Swarm,
        policy: Policy,
        limits: Limits,
        now: Duration,
    ) -> Self {
        let chunks = manifest.chunks();
        let state = Fetching {
            policy,
            limits,
            tie_break: Key::of(swarm.own().instance.as_str()),
            swarm: swarm.clone(),
            roles: Vec::new(),
            held: Bitmap::new(chunks),
            in_flight: BTreeMap::new(),
            failures: BTreeMap::new(),
            peers: BTreeMap::new(),
            origin_backoff_until: Duration::ZERO,
            last_progress: now,
            started: now,
            origin_failed: Duration::ZERO,
            recovery: None,
            window: limits.downloads as f64,
        };
        let mut transfer = Self { manifest, state };
        transfer.set_swarm(swarm);
        transfer
    }

    /// Replaces the members of the swarm and computes the roles anew. What is known of peers that
    /// stay neighbours is kept.
    pub fn set_swarm(&mut self, swarm: Swarm) {
        let chunks = self.manifest.chunks();
        let state = &mut self.state;
        state.roles = (0..chunks).map(|chunk| role(state.policy, &swarm, chunk)).collect();
        let mut known = std::mem::take(&mut state.peers);
        for peer in neighbours(state.policy, &swarm) {
            let fresh = || Neighbour {
                held: Bitmap::new(chunks),
                given: 0,
                distance: swarm.distance(peer),
                backoff_until: Duration::ZERO,
            };
            let neighbour = known.remove(&peer.instance).unwrap_or_else(fresh);
            state.peers.insert(peer.instance.clone(), neighbour);
        }
        state.swarm = swarm;
    }

    /// The peers whose held chunks the transfer needs to follow.
    #[must_use]
    pub fn neighbours(&self) -> Vec<&Peer> {
        neighbours(self.state.policy, &self.state.swarm)
    }

    /// The swarm that the transfer belongs to.
    #[must_use]
    pub fn swarm(&self) -> &Swarm {
        &self.state.swarm
    }

    /// Records a chunk that the instance already holds, for instance from an older version.
    pub fn record_held(&mut self, chunk: usize) {
        self.state.held.insert(chunk);
    }

    /// Records which chunks a peer holds, and how many bytes it has sent to others (`given`).
    pub fn record_peer(&mut self, peer: &Instance, held: &Bitmap, given: u64) {
        if let Some(neighbour) = self.state.peers.get_mut(peer) {
            neighbour.held = held.resized(self.manifest.chunks());
            neighbour.given = given;
        }
    }

    /// Records a received chunk, given the digest of its bytes.
    pub fn record_chunk(&mut self, chunk: usize, digest: Digest, now: Duration) -> Arrival {
        let flight = self.state.in_flight.remove(&chunk);
        if self.state.held.contains(chunk) || chunk >= self.manifest.chunks() {
            return Arrival::Unwanted;
        }
        if self.manifest.chunk(chunk) != Some(digest) {
            self.back_off(chunk, flight, now);
            return Arrival::Corrupt;
        }
        let Fetching { held, origin_failed, recovery, .. } = &mut self.state;
        if recovery.map_or(Duration::ZERO, |recovery| recovery.at) < *origin_failed {
            *recovery = Some(Recovery { at: now, missing: held.len() - held.count() });
        }
        held.insert(chunk);
        self.state.last_progress = now;
        Arrival::Accepted
    }

    /// Records that fetching a chunk failed.
    pub fn record_failure(&mut self, chunk: usize, now: Duration) {
        let flight = self.state.in_flight.remove(&chunk);
        self.back_off(chunk, flight, now);
    }

    /// Records how long the download of a chunk took, from a source that held it, and adapts the
    /// number of concurrent downloads: additive increase, multiplicative decrease.
    pub fn record_download_time(&mut self, time: Duration) {
        let Limits { slow_chunk, downloads, .. } = self.state.limits;
        let Some(slow_chunk) = slow_chunk else { return };
        let window = &mut self.state.window;
        *window = if time > slow_chunk { *window / 2.0 } else { *window + WINDOW_INCREMENT };
        *window = window.clamp(1.0, downloads as f64);
    }

    /// Starts the back-off of the source of a failed download. For an awaited chunk, the failure
    /// also selects the next source.
    fn back_off(&mut self, chunk: usize, flight: Option<Download>, now: Duration) {
        let Some(Download { source, awaited }) = flight else { return };
        let backoff = self.state.limits.source_backoff;
        if awaited {
            *self.state.failures.entry(chunk).or_default() += 1;
        }
        match source {
            Source::Origin => {
                self.state.origin_backoff_until = now + backoff;
                self.state.origin_failed = now;
            }
            Source::Peer(peer) => {
                if let Some(neighbour) = self.state.peers.get_mut(&peer) {
                    neighbour.backoff_until = now + backoff;
                }
            }
        }
    }

    /// Verifies the complete weights by their digest.
    ///
    /// # Errors
    ///
    /// When a chunk is missing or the digest differs from the manifest's. The transfer is then
    /// lost.
    pub fn verify(self, whole: Digest) -> Result<Transfer<Verified>, Mismatch> {
        if self.state.held.is_full() && whole == self.manifest.whole() {
            Ok(Transfer { manifest: self.manifest, state: Verified })
        } else {
            Err(Mismatch { manifest: self.manifest.digest(), found: whole })
        }
    }
}

/// The role of this instance for a chunk under a policy.
fn role(policy: Policy, swarm: &Swarm, chunk: usize) -> Role {
    let fetches = match policy {
        Policy::Swarm => return swarm.role(chunk),
        Policy::OriginOnly => true,
        Policy::Tree => swarm.parent().is_none(),
    };
    Role { fetches, fallback_after: None, import_after: None, sources: Vec::new() }
}

/// The peers whose held chunks matter under a policy.
fn neighbours(policy: Policy, swarm: &Swarm) -> Vec<&Peer> {
    match policy {
        Policy::Swarm => swarm.neighbours(),
        Policy::OriginOnly => Vec::new(),
        Policy::Tree => swarm.parent().into_iter().collect(),
    }
}
