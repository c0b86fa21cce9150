//! The source from which an agent fetches the listing of a version's chunks, and the comparison
//! of a listing with what the configuration declares.
//!
//! A listing is about as large as a part of a chunk, and an origin accepts few connections: if
//! all agents fetched from it, most connections would be reset, and again at each retry. So the
//! agents of a zone form a tree, ranked by a hash that differs between versions. The root fetches
//! from the origin, the others from their parents. After a failure an agent tries its further
//! ancestors, then other agents and the origin alternately; the lower its rank, the later it
//! turns to the origin.

use std::cmp::Reverse;

use cinderspoke_schema::control::Peer;
use displaydoc::Display;
use serde::{Deserialize, Serialize};

use crate::rendezvous::{Key, weight};

/// Number of children per agent: a parent's link transfers a listing to this many in a few tens
/// of milliseconds.
const CHILDREN: usize = 4;

/// Number of agents of a zone that start to fetch from the origin in the same round, once all
/// their ancestors have failed.
const AGENTS_PER_ROUND: usize = 8;

/// How the configuration declares that a version's weights are divided.
// Invariant: neither is zero.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Layout {
    /// The number of chunks.
    pub chunks: u32,
    /// The size of a chunk in bytes.
    pub chunk_bytes: u32,
}

impl Layout {
    /// Creates a layout; none if the configuration leaves one of the two out.
    #[must_use]
    pub fn new(chunks: u32, chunk_bytes: u32) -> Option<Self> {
        (chunks > 0 && chunk_bytes > 0).then_some(Self { chunks, chunk_bytes })
    }
}

/// What a listing has that it cannot have.
#[derive(Debug, Clone, Display, PartialEq, Eq)]
pub enum Misfit {
    /// it is of model {0}
    Model(String),
    /// it is of version {0}
    Version(u64),
    /// it has {listed} chunks where {declared} are declared
    Chunks {
        /// The number of chunks in the listing.
        listed: usize,
        /// The number of chunks that the configuration declares.
        declared: u32,
    },
    /// its chunks have {listed} bytes where {declared} are declared
    ChunkBytes {
        /// The size of a chunk in the listing.
        listed: u64,
        /// The size of a chunk that the configuration declares.
        declared: u32,
    },
    /// it lists no chunk
    Empty,
    /// {chunks} chunks of {chunk_bytes} bytes are no weights
    Size {
        /// The number of chunks in the listing.
        chunks: usize,
        /// The size of a chunk in the listing.
        chunk_bytes: u64,
    },
}

/// All that a listing has and cannot have.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Misfits(pub Vec<Misfit>);

impl std::fmt::Display for Misfits {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let texts: Vec<_> = self.0.iter().map(ToString::to_string).collect();
        formatter.write_str(&texts.join("; "))
    }
}

impl std::error::Error for Misfits {}

/// Compares a listing of `chunks` chunks of `chunk_bytes` bytes with what is declared.
///
/// # Errors
///
/// All that does not fit. Without a declaration, only what cannot be weights.
pub fn check(chunks: usize, chunk_bytes: u64, declared: Option<Layout>) -> Result<(), Misfits> {
    let mut misfits = Vec::new();
    match declared {
        Some(Layout { chunks: declared, .. }) if chunks as u64 != u64::from(declared) => {
            misfits.push(Misfit::Chunks { listed: chunks, declared });
        }
        None if chunks == 0 => misfits.push(Misfit::Empty),
        _ => {}
    }
    match declared {
        Some(Layout { chunk_bytes: declared, .. }) if chunk_bytes != u64::from(declared) => {
            misfits.push(Misfit::ChunkBytes { listed: chunk_bytes, declared });
        }
        // Sizes in bytes have to be positive and fit into 63 bits.
        None if !(1..=i64::MAX as u64 / chunks.max(1) as u64).contains(&chunk_bytes) => {
            misfits.push(Misfit::Size { chunks, chunk_bytes });
        }
        _ => {}
    }
    if misfits.is_empty() { Ok(()) } else { Err(Misfits(misfits)) }
}

/// The source of a listing.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Source<'a> {
    /// The origin.
    Origin,
    /// Another agent, which may itself still wait for the listing.
    Peer(&'a Peer),
}

/// The agents that may have a version's listing, seen from one of them.
#[derive(Debug, Clone)]
pub struct Tree {
    // Invariant: all agents of the own zone in the order of their ranks; `zone[own]` is this one.
    zone: Vec<Peer>,
    own: usize,
    other_zones: Vec<Peer>,
}

impl Tree {
    /// The tree of the version with the key `version`. Adds `own` if `peers` lacks it.
    #[must_use]
    pub fn new(version: Key, own: &Peer, peers: &[Peer]) -> Self {
        let others = peers.iter().filter(|peer| peer.instance != own.instance);
        let mut all: Vec<_> = others.chain([own]).cloned().collect();
        all.sort_by_cached_key(|peer| Reverse(weight(version, Key::of(peer.instance.as_str()))));
        let (zone, other_zones): (Vec<_>, Vec<_>) =
            all.into_iter().partition(|peer| peer.zone == own.zone);
        let position = zone.iter().position(|peer| peer.instance == own.instance);
        Self { zone, own: position.unwrap_or_default(), other_zones }
    }

    /// The source for the attempt with this number, counted from 0.
    #[must_use]
    pub fn source(&self, attempt: usize) -> Source<'_> {
        match self.ancestor(attempt) {
            Ok(parent) => Source::Peer(parent),
            Err(later) => self.fallback(later),
        }
    }

    /// The ancestor with this number: 0 is the parent, 1 its parent, and so on up to the root.
    /// Beyond the root, the error says by how many.
    fn ancestor(&self, number: usize) -> Result<&Peer, usize> {
        let mut rank = self.own;
        for passed in 0..=number {
            let Some(before) = rank.checked_sub(1) else { return Err(number - passed) };
            rank = before / CHILDREN;
        }
        Ok(&self.zone[rank])
    }

    /// The source once all ancestors have failed: the origin and other agents alternately.
    fn fallback(&self, attempt: usize) -> Source<'_> {
        let round = attempt / 2;
        let is_origin_due = attempt.is_multiple_of(2) && round >= self.own / AGENTS_PER_ROUND;
        let mut others = self.others().cycle().skip(self.own + round);
        match others.next().filter(|_| !is_origin_due) {
            Some(peer) => Source::Peer(peer),
            None => Source::Origin,
        }
    }

    /// All other agents, those of the own zone first.
    fn others(&self) -> impl Iterator<Item = &Peer> + Clone {
        let zone = self.zone.iter().enumerate().filter(|(rank, _)| *rank != self.own);
        zone.map(|(_, peer)| peer).chain(&self.other_zones)
    }
}
