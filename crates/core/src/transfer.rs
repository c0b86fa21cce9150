//! Transfers: which chunk to draw next, and from whom.
//!
//! A [`Transfer`] in the state [`Fetching`] collects chunks; only one whose
//! whole has been verified becomes [`Verified`], and only that can be loaded.

use std::collections::BTreeMap;
use std::time::Duration;

use cinderspoke_schema::control::Peer;
use cinderspoke_types::digest::Digest;
use cinderspoke_types::id::Instance;
use displaydoc::Display;

use crate::bitmap::Bitmap;
use crate::manifest::Manifest;
use crate::rendezvous::{Key, weight};
use crate::swarm::{Distance, Role, Swarm};

/// How long a source that failed is left alone, unless a transfer is in more of a hurry.
pub const PENALTY: Duration = Duration::from_secs(1);

/// The most chunks drawn from one peer at once.
const PER_PEER: usize = 2;

/// The most chunks drawn from the origin at once where it does not say how many
/// connections it takes.
pub const PER_ORIGIN: usize = 4;

/// By how much each chunk that comes in time lets more be drawn at once.
const WIDEN: f64 = 0.25;

/// The most chunks that are waited for at once, to bring them into a place.
const IMPORTS: usize = 16;

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
    started: Duration,
    own: Key,
}

/// How much a transfer draws at once, and how long it waits.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// The most chunks drawn at once.
    pub downloads: usize,
    /// The most chunks drawn from the origin at once.
    pub origin: usize,
    /// The time that the origin's link takes for a chunk: each is drawn in its
    /// turn, so that the first ones come to peers early. Zero for no turns.
    pub spacing: Duration,
    /// How long a source that failed is left alone.
    pub penalty: Duration,
    /// A chunk that takes longer than this tells of a link that carries less
    /// than it should: fewer are drawn at once then, since requests go over it
    /// too. `None` where that is no concern.
    pub slow: Option<Duration>,
    /// How long to wait for those that come first before stepping in.
    pub patience: Duration,
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
            window: limits.downloads as f64,
        };
        let mut transfer = Self { manifest, state };
        transfer.join(swarm);
        transfer
    }

    /// Takes in the swarm's members as they are now.
    pub fn join(&mut self, swarm: Swarm) {
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
    pub fn has(&mut self, chunk: usize) {
        self.state.held.insert(chunk);
    }

    /// Takes in which chunks a peer holds, and how many bytes it has given.
    pub fn peer_holds(&mut self, peer: &Instance, held: &Bitmap, given: u64) {
        if let Some(neighbour) = self.state.peers.get_mut(peer) {
            neighbour.held = held.resized(self.manifest.chunks());
            neighbour.given = given;
        }
    }

    /// Takes in a chunk that arrived, by the digest of its bytes.
    pub fn arrived(&mut self, chunk: usize, digest: Digest, now: Duration) -> Arrival {
        let flight = self.state.in_flight.remove(&chunk);
        if self.state.held.contains(chunk) || chunk >= self.manifest.chunks() {
            return Arrival::Unwanted;
        }
        if self.manifest.chunk(chunk) != Some(digest) {
            self.penalise(chunk, flight, now);
            return Arrival::Corrupt;
        }
        self.state.held.insert(chunk);
        self.state.progress = now;
        Arrival::Accepted
    }

    /// Takes in that a chunk did not come.
    pub fn failed(&mut self, chunk: usize, now: Duration) {
        let flight = self.state.in_flight.remove(&chunk);
        self.penalise(chunk, flight, now);
    }

    /// Leaves a source alone for a while; the next one is asked for an awaited chunk.
    fn penalise(&mut self, chunk: usize, flight: Option<Flight>, now: Duration) {
        let Some(Flight { source, awaited }) = flight else { return };
        let penalty = self.state.limits.penalty;
        if awaited {
            *self.state.failures.entry(chunk).or_default() += 1;
        }
        match source {
            Source::Origin => self.state.origin_rests_until = now + penalty,
            Source::Peer(peer) => {
                if let Some(neighbour) = self.state.peers.get_mut(&peer) {
                    neighbour.rests_until = now + penalty;
                }
            }
        }
    }

    /// What to do next.
    pub fn step(&mut self, now: Duration) -> Step {
        if self.state.held.is_full() {
            return Step::Complete;
        }
        if let Some((chunk, peer)) = self.import(now) {
            let source = Source::Peer(peer.clone());
            self.state.in_flight.insert(chunk, Flight { source, awaited: true });
            return Step::Await { chunk, peer };
        }
        let drawing = self.state.in_flight.values().filter(|flight| !flight.awaited).count();
        if drawing >= self.window() {
            return Step::Wait;
        }
        let choice =
            self.own_draw(now).or_else(|| self.trade(now)).or_else(|| self.reserve_draw(now));
        match choice {
            Some((chunk, source)) => {
                let flight = Flight { source: source.clone(), awaited: false };
                self.state.in_flight.insert(chunk, flight);
                Step::Fetch { chunk, source }
            }
            None => Step::Wait,
        }
    }

    /// How many chunks are drawn at once.
    fn window(&self) -> usize {
        self.state.window as usize
    }

    /// Takes in how long a chunk was on its way that its source held.
    pub fn took(&mut self, time: Duration) {
        let Limits { slow, downloads, .. } = self.state.limits;
        let Some(slow) = slow else { return };
        let window = &mut self.state.window;
        *window = if time > slow { *window / 2.0 } else { *window + WIDEN };
        *window = window.clamp(1.0, downloads as f64);
    }

    /// The chunks that are neither held nor on their way.
    fn missing(&self) -> impl Iterator<Item = usize> {
        let state = &self.state;
        (0..self.manifest.chunks())
            .filter(|chunk| !state.held.contains(*chunk) && !state.in_flight.contains_key(chunk))
    }

    /// Whether so many times the patience have passed without a chunk.
    ///
    /// Where chunks have turns, each is waited for by itself: others may keep
    /// coming while the one that was to draw it stands still.
    fn has_waited(&self, chunk: usize, turns: u32, now: Duration) -> bool {
        let Limits { spacing, patience, .. } = self.state.limits;
        let since = match spacing.is_zero() {
            true => self.state.progress,
            false => self.state.started + spacing.saturating_mul(turn(chunk + 1)),
        };
        now.saturating_sub(since) >= patience.saturating_mul(turns)
    }

    /// A chunk that this instance has to bring into its region or zone, and from whom.
    fn import(&self, now: Duration) -> Option<(usize, Instance)> {
        let awaited = self.state.in_flight.values().filter(|flight| flight.awaited).count();
        let narrow = self.window() < self.state.limits.downloads;
        if awaited >= if narrow { 1 } else { IMPORTS } {
            return None;
        }
        let due = |chunk: &usize| {
            let role = &self.state.roles[*chunk];
            let turn = role.imports.is_some_and(|turns| self.has_waited(*chunk, turns, now));
            turn && !role.draws
                && self.is_due(*chunk, now)
                && self.holders(*chunk, now).next().is_none()
        };
        let mut due = self.missing().filter(due);
        due.find_map(|chunk| Some((chunk, self.import_source(chunk, now)?)))
    }

    /// Whom to ask for a chunk next; `None` while the one in turn is left alone.
    fn import_source(&self, chunk: usize, now: Duration) -> Option<Instance> {
        let sources = &self.state.roles[chunk].sources;
        let failures = self.state.failures.get(&chunk).copied().unwrap_or_default();
        // After a round of failures, only the patient are asked again.
        if failures >= sources.len() && !self.has_waited(chunk, 1, now) {
            return None;
        }
        let number = *sources.get(failures.checked_rem(sources.len())?)?;
        Some(self.state.swarm.peer(number)?.instance.clone())
    }

    /// A chunk that this instance is the first to draw from the origin.
    fn own_draw(&self, now: Duration) -> Option<(usize, Source)> {
        if !self.origin_is_open(now) {
            return None;
        }
        // Whoever joins late finds chunks nearby that were drawn long ago.
        let near = |chunk: &usize| self.holders(*chunk, now).next().is_some();
        let turn = |chunk: &usize| self.is_due(*chunk, now);
        let own = |chunk: &usize| self.state.roles[*chunk].draws && turn(chunk) && !near(chunk);
        self.missing().find(own).map(|chunk| (chunk, Source::Origin))
    }

    /// Whether it is a chunk's turn to be drawn from the origin.
    fn is_due(&self, chunk: usize, now: Duration) -> bool {
        let spacing = self.state.limits.spacing;
        if now >= self.state.started + spacing.saturating_mul(turn(chunk)) {
            return true;
        }
        // Whoever starts late finds by what others hold how far the turns are.
        let later = |held: &Bitmap| (chunk + 1..held.len()).any(|later| held.contains(later));
        !spacing.is_zero() && self.state.peers.values().any(|peer| later(&peer.held))
    }

    /// A chunk that has stayed away so long that the reserve steps in.
    fn reserve_draw(&self, now: Duration) -> Option<(usize, Source)> {
        if !self.origin_is_open(now) {
            return None;
        }
        let due = |chunk: &usize| {
            let turns = self.state.roles[*chunk].reserve;
            turns.is_some_and(|turns| self.has_waited(*chunk, turns, now))
                && self.holders(*chunk, now).next().is_none()
        };
        self.missing().find(due).map(|chunk| (chunk, Source::Origin))
    }

    fn origin_is_open(&self, now: Duration) -> bool {
        now >= self.state.origin_rests_until
            && self.drawn_from(&Source::Origin) < self.state.limits.origin
    }

    /// A chunk that a neighbour can give, sparing those that have given nearly a
    /// whole copy while others can give.
    fn trade(&self, now: Duration) -> Option<(usize, Source)> {
        let busy = self.busy();
        // What is known of a neighbour's giving lags, so the share ends early.
        let share = self.manifest.size().as_u64() / 10 * 9;
        self.trade_below(share, &busy, now).or_else(|| self.trade_below(u64::MAX, &busy, now))
    }

    /// The rarest chunk among neighbours that have given at most `share`; ties
    /// are broken differently on each instance, so that neighbours have
    /// something to trade.
    fn trade_below(
        &self,
        share: u64,
        busy: &BTreeMap<&Instance, usize>,
        now: Duration,
    ) -> Option<(usize, Source)> {
        let drawn = |peer: &Instance| busy.get(peer).copied().unwrap_or_default();
        let free =
            |peer: &Instance, giver: &Neighbour| drawn(peer) < PER_PEER && giver.given <= share;
        let holders = |chunk| self.holders(chunk, now).filter(|(peer, giver)| free(peer, giver));
        let counted = self.missing().map(|chunk| (chunk, holders(chunk).count()));
        let given = counted.filter(|(_, copies)| *copies > 0);
        let (chunk, _) = given.min_by_key(|(chunk, copies)| {
            (*copies, weight(self.state.own, Key::of_number(*chunk as u64)))
        })?;
        let (peer, _) = holders(chunk)
            .min_by_key(|(peer, giver)| (giver.distance, drawn(peer), giver.given))?;
        Some((chunk, Source::Peer(peer.clone())))
    }

    /// The neighbours that hold a chunk and can be asked now.
    ///
    /// Those beyond the zone count only once a chunk has stayed away for long,
    /// so that links between places carry a chunk about once.
    fn holders(
        &self,
        chunk: usize,
        now: Duration,
    ) -> impl Iterator<Item = (&Instance, &Neighbour)> {
        let tree = self.state.policy == Policy::Tree;
        let far = tree || self.has_waited(chunk, 1, now);
        self.state.peers.iter().filter(move |(_, neighbour)| {
            now >= neighbour.rests_until
                && (far || neighbour.distance == Distance::Zone)
                && (!tree || neighbour.held.is_full())
                && neighbour.held.contains(chunk)
        })
    }

    fn drawn_from(&self, source: &Source) -> usize {
        self.state.in_flight.values().filter(|flight| flight.source == *source).count()
    }

    /// How many chunks are being drawn from each peer.
    fn busy(&self) -> BTreeMap<&Instance, usize> {
        let mut busy = BTreeMap::new();
        for flight in self.state.in_flight.values().filter(|flight| !flight.awaited) {
            if let Source::Peer(peer) = &flight.source {
                *busy.entry(peer).or_default() += 1;
            }
        }
        busy
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

/// A chunk's turn to be drawn.
fn turn(chunk: usize) -> u32 {
    u32::try_from(chunk).unwrap_or(u32::MAX)
}

/// What a policy lets an instance do about a chunk.
fn role(policy: Policy, swarm: &Swarm, chunk: usize) -> Role {
    let draws = match policy {
        Policy::Swarm => return swarm.role(chunk),
        Policy::OriginOnly => true,
        Policy::Tree => swarm.parent().is_none(),
    };
    Role { draws, reserve: None, imports: None, sources: Vec::new() }
}

fn neighbours(policy: Policy, swarm: &Swarm) -> Vec<&Peer> {
    match policy {
        Policy::Swarm => swarm.neighbours(),
        Policy::OriginOnly => Vec::new(),
        Policy::Tree => swarm.parent().into_iter().collect(),
    }
}
