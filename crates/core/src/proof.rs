//! Which chunks that an origin lists are certain.
//!
//! A listing is a single answer of an origin and may be spoilt in any way, also in the same way
//! several times. A chunk is proven once another answer of the origin agrees: the chunk itself,
//! read for this version and this number, had the listed digest. Only proven chunks count as held,
//! are given to peers as chunks of the version, and are loaded. A chunk that is found by its digest
//! alone, in the cache or staged at an engine, proves nothing, since it may be one of another
//! version that the listing names by mistake.
//!
//! An origin's chunk that differs from the listing speaks against one of the two. The listing is
//! read again then, as [`Recheck`] schedules, and [`weigh`] decides which reading to go on with.

use std::collections::BTreeMap;
use std::time::Duration;

use cinderspoke_types::digest::Digest;

use crate::manifest::Manifest;

/// The proofs of one version's chunks.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Proofs {
    // The digest of each chunk that was read from the origin as listed, by its number.
    read: BTreeMap<usize, Digest>,
    // The digests of chunks that lie at an engine and can only be those of the version.
    accepted: BTreeMap<usize, Digest>,
}

impl Proofs {
    /// Records that the origin's chunk with this number has this digest, as it was listed.
    ///
    /// An earlier proof of another digest stays: the origin has contradicted itself, and nothing
    /// tells which of both is right.
    pub fn add(&mut self, chunk: usize, digest: Digest) {
        self.read.entry(chunk).or_insert(digest);
    }

    /// Records that these chunks of a manifest lie at an engine, and that they can only be those of
    /// the version.
    pub fn accept(&mut self, manifest: &Manifest, chunks: impl IntoIterator<Item = usize>) {
        let digests = chunks.into_iter().filter_map(|chunk| Some((chunk, manifest.chunk(chunk)?)));
        self.accepted.extend(digests);
    }

    /// Whether a chunk of a manifest is proven.
    #[must_use]
    pub fn confirm(&self, manifest: &Manifest, chunk: usize) -> bool {
        let known = self.read.get(&chunk).or_else(|| self.accepted.get(&chunk));
        known.is_some_and(|digest| manifest.chunk(chunk) == Some(*digest))
    }

    /// Whether a chunk of a manifest was read from the origin as listed. Only this is passed on to
    /// other agents as a proof: that an engine has a chunk says nothing against their listings.
    #[must_use]
    pub fn is_read(&self, manifest: &Manifest, chunk: usize) -> bool {
        self.read.get(&chunk).is_some_and(|digest| manifest.chunk(chunk) == Some(*digest))
    }

    /// The chunks of a manifest that are proven to have another digest.
    #[must_use]
    pub fn contradict(&self, manifest: &Manifest) -> Vec<usize> {
        let differs =
            |(chunk, digest): &(&usize, &Digest)| manifest.chunk(**chunk) != Some(**digest);
        self.read.iter().filter(differs).map(|(chunk, _)| *chunk).collect()
    }
}

/// The digests of chunks that the origin returned and that were not those listed, by number.
pub type Unmatched = BTreeMap<usize, Digest>;

/// What to do with another reading of a listing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// It does not differ.
    Same,
    /// Go on with it.
    Replace,
    /// Refuse it: these chunks are proven to have other digests.
    Contradicted(Vec<usize>),
    /// Refuse it: nothing shows that it is right and the known one wrong.
    Unsupported,
}

/// Decides whether another reading of a version's listing replaces the known one. `is_stuck` is
/// whether the chunks of the known one have not come for so long that any other is tried.
#[must_use]
pub fn weigh(
    known: &Manifest,
    other: &Manifest,
    proofs: &Proofs,
    unmatched: &Unmatched,
    is_stuck: bool,
) -> Verdict {
    if known.digest() == other.digest() {
        return Verdict::Same;
    }
    let contradicted = proofs.contradict(other);
    if !contradicted.is_empty() {
        return Verdict::Contradicted(contradicted);
    }
    let mut unmatched = unmatched.iter();
    let agrees = unmatched.any(|(chunk, digest)| {
        other.chunk(*chunk) == Some(*digest) && known.chunk(*chunk) != Some(*digest)
    });
    if agrees || is_stuck || !proofs.contradict(known).is_empty() {
        return Verdict::Replace;
    }
    Verdict::Unsupported
}

/// The numbers of the chunks that two manifests list differently.
#[must_use]
pub fn differing(one: &Manifest, other: &Manifest) -> Vec<usize> {
    let numbers = 0..one.chunks().max(other.chunks());
    numbers.filter(|chunk| one.chunk(*chunk) != other.chunk(*chunk)).collect()
}

/// When the chunks of a listing have not come for so long that it is read again although nothing
/// speaks against it: several times as long as they take over a link of its declared rate.
const STUCK_AFTER: Duration = Duration::from_secs(10);

/// The wait after the first reading that something spoke for; it doubles with each further one.
const FIRST_WAIT: Duration = Duration::from_millis(200);

/// When a listing is read again. All times are those of the caller's clock.
// Invariant: `wait` is zero until the first reading, and at most `STUCK_AFTER`.
#[derive(Debug, Clone)]
pub struct Recheck {
    read_at: Duration,
    wait: Duration,
    is_suspected: bool,
}

impl Recheck {
    /// Creates the schedule of a listing whose chunks are collected from `now` on.
    #[must_use]
    pub fn new(now: Duration) -> Self {
        Self { read_at: now, wait: Duration::ZERO, is_suspected: false }
    }

    /// Records that something speaks against the listing.
    pub fn suspect(&mut self) {
        self.is_suspected = true;
    }

    /// When the listing has to be read again.
    #[must_use]
    pub fn due_at(&self) -> Duration {
        self.read_at + if self.is_suspected { self.wait } else { STUCK_AFTER }
    }

    /// Whether the listing is read again only because its chunks do not come.
    #[must_use]
    pub fn is_stuck(&self) -> bool {
        !self.is_suspected
    }

    /// Records that the listing was read again at `now`, whatever came of it. `is_answered` is
    /// false if the origin did not answer, and the reading is still due then.
    pub fn record_read(&mut self, now: Duration, is_answered: bool) {
        self.read_at = now;
        self.wait = (self.wait * 2).clamp(FIRST_WAIT, STUCK_AFTER);
        self.is_suspected &= !is_answered;
    }
}
