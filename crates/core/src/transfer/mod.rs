//! Transfers: which chunk to draw next, and from whom.
//!
//! A [`Transfer`] in the state [`Fetching`] collects chunks; only one whose
//! whole has been verified becomes [`Verified`], and only that can be loaded.
//! What to draw next is decided in `choice`.

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

/// How long a source that failed is left alone, unless a transfer is in more of a hurry.
pub const SOURCE_BACKOFF: Duration = Duration::from_secs(1);

/// The most chunks drawn from the origin at once where it does not say how many
/// connections it takes.
pub const ORIGIN_DOWNLOADS: usize = 4;

/// By how much each chunk that comes in time lets more be drawn at once.
const WIDEN: f64 = 0.25;

/// How an instance chooses what to draw from whom.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Policy {
    /// Chunks, each drawn once from the origin, traded among neighbours.
    #[default]
    Swarm,
    /// Everything from the origin: a baseline.
    OriginOnly,
    /// Whole weights from a parent in a binary tree: a baseline.
    Tree,
}

/// Where a chunk comes from.
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
    /// Draw a chunk that the source holds.
    Fetch {
        /// The chunk's number.
        chunk: usize,
        /// From where.
        source: Source,
    },
    /// Ask a peer for a chunk that it may not hold yet, and wait for it.
    Await {
        /// The chunk's number.
        chunk: usize,
        /// From whom.
        peer: Instance,
    },
    /// Nothing can be drawn now.
    Wait,
    /// Every chunk is held: the whole can be verified.
    Complete,
}

/// What became of a chunk that arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Arrival {
    /// It is right and new: keep it.
    Accepted,
    /// Its digest is wrong: drop it.
    Corrupt,
    /// It is held already, or not part of these weights: drop it.
    Unwanted,
}

/// The whole of some weights does not fit its manifest.
#[derive(Debug, Clone, Display, PartialEq, Eq)]
#[displaydoc("the whole of {manifest} has the digest {found}")]
pub struct Mismatch {
    manifest: Digest,
    found: Digest,
}

impl std::error::Error for Mismatch {}

/// State of a transfer that still collects chunks.
#[derive(Debug)]
pub struct Fetching {
    policy: Policy,
    limits: Limits,
    swarm: Swarm,
    // By chunk.
    roles: Vec<Role>,
    held: Bitmap,
    in_flight: BTreeMap<usize, Flight>,
    // How often bringing a chunk in has failed, by chunk.
    failures: BTreeMap<usize, usize>,
    peers: BTreeMap<Instance, Neighbour>,
    origin_rests_until: Duration,
    // How many chunks are drawn at once, between one and the limit.
    window: f64,
    // When a chunk last arrived.
    progress: Duration,
    // From when on chunks have their turns at the origin.
    started: Duration,
    // When the origin last failed.
    origin_failed: Duration,
    // The first chunk accepted after a failure of the origin.
    recovery: Option<Recovery>,
    // By what ties are broken differently on each instance.
    own: Key,
}

/// How much a transfer draws at once, and how long it waits.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// The most chunks drawn at once.
    pub downloads: usize,
    /// The most chunks drawn from the origin at once.
    pub origin_downloads: usize,
    /// The time that the origin's link takes for a chunk: each is drawn in its
    /// turn, so that the first ones come to peers early. Zero for no turns.
    pub spacing: Duration,
    /// How long a source that failed is left alone.
    pub source_backoff: Duration,
    /// A chunk that takes longer than this tells of a link that carries less
    /// than it should: fewer are drawn at once then, since requests go over it
    /// too. `None` where that is no concern.
    pub slow_chunk: Option<Duration>,
    /// How long to wait for those that come first before stepping in.
    pub fallback_timeout: Duration,
}

/// The first chunk accepted, from any source, after a failure of the origin.
#[derive(Debug, Clone, Copy)]
struct Recovery {
    at: Duration,
    // The number of chunks not held at that time, including this one.
    missing: usize,
}

/// A chunk on its way.
#[derive(Debug)]
struct Flight {
    source: Source,
    // Whether the source may not hold the chunk yet.
    awaited: bool,
}

/// State of a transfer whose whole has been verified.
#[derive(Debug)]
pub struct Verified;

/// A peer that chunks are traded with.
#[derive(Debug)]
struct Neighbour {
    held: Bitmap,
    given: u64,
    distance: Distance,
    rests_until: Duration,
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
            own: Key::of(swarm.own().instance.as_str()),
            swarm: swarm.clone(),
            roles: Vec::new(),
            held: Bitmap::new(chunks),
            in_flight: BTreeMap::new(),
            failures: BTreeMap::new(),
            peers: BTreeMap::new(),
            origin_rests_until: Duration::ZERO,
            progress: now,
            started: now,
            origin_failed: Duration::ZERO,
            recovery: None,
            window: limits.downloads as f64,
        };
        let mut transfer = Self { manifest, state };
        transfer.set_swarm(swarm);
        transfer
    }

    /// Takes in the swarm's members as they are now.
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
                rests_until: Duration::ZERO,
            };
            let neighbour = known.remove(&peer.instance).unwrap_or_else(fresh);
            state.peers.insert(peer.instance.clone(), neighbour);
        }
        state.swarm = swarm;
    }

    /// The peers whose holdings the transfer has to know.
    #[must_use]
    pub fn neighbours(&self) -> Vec<&Peer> {
        neighbours(self.state.policy, &self.state.swarm)
    }

    /// The swarm of which the transfer is part.
    #[must_use]
    pub fn swarm(&self) -> &Swarm {
        &self.state.swarm
    }

    /// Takes in a chunk that is held from elsewhere, such as an older version.
    pub fn record_held(&mut self, chunk: usize) {
        self.state.held.insert(chunk);
    }

    /// Takes in which chunks a peer holds, and how many bytes it has given.
    pub fn record_peer(&mut self, peer: &Instance, held: &Bitmap, given: u64) {
        if let Some(neighbour) = self.state.peers.get_mut(peer) {
            neighbour.held = held.resized(self.manifest.chunks());
            neighbour.given = given;
        }
    }

    /// Takes in a chunk that arrived, by the digest of its bytes.
    pub fn record_chunk(&mut self, chunk: usize, digest: Digest, now: Duration) -> Arrival {
        let flight = self.state.in_flight.remove(&chunk);
        if self.state.held.contains(chunk) || chunk >= self.manifest.chunks() {
            return Arrival::Unwanted;
        }
        if self.manifest.chunk(chunk) != Some(digest) {
            self.penalise(chunk, flight, now);
            return Arrival::Corrupt;
        }
        let Fetching { held, origin_failed, recovery, .. } = &mut self.state;
        if recovery.map_or(Duration::ZERO, |recovery| recovery.at) < *origin_failed {
            *recovery = Some(Recovery { at: now, missing: held.len() - held.count() });
        }
        held.insert(chunk);
        self.state.progress = now;
        Arrival::Accepted
    }

    /// Takes in that a chunk did not come.
    pub fn record_failure(&mut self, chunk: usize, now: Duration) {
        let flight = self.state.in_flight.remove(&chunk);
        self.penalise(chunk, flight, now);
    }

    /// Takes in how long a chunk was on its way that its source held.
    pub fn record_download_time(&mut self, time: Duration) {
        let Limits { slow_chunk, downloads, .. } = self.state.limits;
        let Some(slow_chunk) = slow_chunk else { return };
        let window = &mut self.state.window;
        *window = if time > slow_chunk { *window / 2.0 } else { *window + WIDEN };
        *window = window.clamp(1.0, downloads as f64);
    }

    /// Leaves a source alone for a while; the next one is asked for an awaited chunk.
    fn penalise(&mut self, chunk: usize, flight: Option<Flight>, now: Duration) {
        let Some(Flight { source, awaited }) = flight else { return };
        let backoff = self.state.limits.source_backoff;
        if awaited {
            *self.state.failures.entry(chunk).or_default() += 1;
        }
        match source {
            Source::Origin => {
                self.state.origin_rests_until = now + backoff;
                self.state.origin_failed = now;
            }
            Source::Peer(peer) => {
                if let Some(neighbour) = self.state.peers.get_mut(&peer) {
                    neighbour.rests_until = now + backoff;
                }
            }
        }
    }

    /// Checks the whole by its digest.
    ///
    /// # Errors
    ///
    /// When the digest is not the manifest's; the transfer is given up then.
    pub fn verify(self, whole: Digest) -> Result<Transfer<Verified>, Mismatch> {
        if self.state.held.is_full() && whole == self.manifest.whole() {
            Ok(Transfer { manifest: self.manifest, state: Verified })
        } else {
            Err(Mismatch { manifest: self.manifest.digest(), found: whole })
        }
    }
}

/// What a policy lets an instance do about a chunk.
fn role(policy: Policy, swarm: &Swarm, chunk: usize) -> Role {
    let fetches = match policy {
        Policy::Swarm => return swarm.role(chunk),
        Policy::OriginOnly => true,
        Policy::Tree => swarm.parent().is_none(),
    };
    Role { fetches, fallback_after: None, import_after: None, sources: Vec::new() }
}

/// The peers whose holdings a policy asks for.
fn neighbours(policy: Policy, swarm: &Swarm) -> Vec<&Peer> {
    match policy {
        Policy::Swarm => swarm.neighbours(),
        Policy::OriginOnly => Vec::new(),
        Policy::Tree => swarm.parent().into_iter().collect(),
    }
}
