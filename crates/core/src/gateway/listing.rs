//! Whom an agent asks for the listing of a version's chunks.
//!
//! A listing is as long as a part of a chunk, and an origin takes few
//! connections: were all agents to ask it, most would be reset, and again at
//! each retry. So the agents of a zone form a tree, ranked by a hash that
//! differs from version to version: its root asks the origin, the others ask
//! their parents. Whoever gets nothing that way asks its further ancestors,
//! then others and the origin by turns, the later the lower its rank.

use std::cmp::Reverse;

use cinderspoke_schema::control::Peer;

use crate::rendezvous::{Key, weight};

/// How many agents ask the same parent: a parent's link gives a listing to so
/// many in a few tens of milliseconds.
const CHILDREN: usize = 4;

/// How many agents of a zone may ask the origin by the same round, once their
/// ancestors gave nothing.
const ROUND: usize = 8;

/// Who is asked.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Source<'a> {
    /// The origin.
    Origin,
    /// Another agent, which may wait for the listing itself.
    Peer(&'a Peer),
}

/// The agents that may have a version's listing, as one of them sees them.
#[derive(Debug, Clone)]
pub struct Tree {
    // Invariants: all agents of the own zone in their rank, `zone[own]` among them.
    zone: Vec<Peer>,
    own: usize,
    beyond: Vec<Peer>,
}

impl Tree {
    /// The tree of a version, by a key that tells versions apart; `own` joins
    /// it where the peers lack it.
    #[must_use]
    pub fn new(version: Key, own: &Peer, peers: &[Peer]) -> Self {
        let others = peers.iter().filter(|peer| peer.instance != own.instance);
        let mut all: Vec<_> = others.chain([own]).cloned().collect();
        all.sort_by_cached_key(|peer| Reverse(weight(version, Key::of(peer.instance.as_str()))));
        let (zone, beyond): (Vec<_>, Vec<_>) =
            all.into_iter().partition(|peer| peer.zone == own.zone);
        let position = zone.iter().position(|peer| peer.instance == own.instance);
        Self { zone, own: position.unwrap_or_default(), beyond }
    }

    /// Whom to ask after so many attempts that brought nothing.
    #[must_use]
    pub fn source(&self, attempt: usize) -> Source<'_> {
        match self.ancestor(attempt) {
            Ok(parent) => Source::Peer(parent),
            Err(later) => self.fallback(later),
        }
    }

    /// An ancestor: the parent, its parent, and so on up to the root. Beyond the
    /// root, by how much.
    fn ancestor(&self, number: usize) -> Result<&Peer, usize> {
        let mut rank = self.own;
        for passed in 0..=number {
            let Some(before) = rank.checked_sub(1) else { return Err(number - passed) };
            rank = before / CHILDREN;
        }
        Ok(&self.zone[rank])
    }

    /// Whom to ask once all ancestors gave nothing: the origin and others by turns.
    fn fallback(&self, attempt: usize) -> Source<'_> {
        let round = attempt / 2;
        let origins_turn = attempt.is_multiple_of(2) && round >= self.own / ROUND;
        let mut others = self.others().cycle().skip(self.own + round);
        match others.next().filter(|_| !origins_turn) {
            Some(peer) => Source::Peer(peer),
            None => Source::Origin,
        }
    }

    /// All other agents, those of the zone first.
    fn others(&self) -> impl Iterator<Item = &Peer> + Clone {
        let zone = self.zone.iter().enumerate().filter(|(rank, _)| *rank != self.own);
        zone.map(|(_, peer)| peer).chain(&self.beyond)
    }
}
