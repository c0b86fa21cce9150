//! Which chunk to draw next, and from whom.
//!
//! Chunks come first from whoever has to bring them into a place, then from the
//! origin by those that are the first to draw them, then from neighbours, and at
//! last from the origin by the reserve.

use std::collections::BTreeMap;
use std::time::Duration;

use cinderspoke_types::id::Instance;

use super::{Fetching, Flight, Limits, Neighbour, Policy, Source, Step, Transfer};
use crate::bitmap::Bitmap;
use crate::rendezvous::{Key, weight};
use crate::swarm::Distance;

/// The most chunks drawn from one peer at once.
const PER_PEER: usize = 2;

/// The most chunks that are waited for at once, to bring them into a place.
const IMPORTS: usize = 16;

impl Transfer<Fetching> {
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
        let Limits { spacing, fallback_timeout, .. } = self.state.limits;
        let since = match spacing.is_zero() {
            true => self.state.progress,
            false => self.state.started + spacing.saturating_mul(turn(chunk + 1)),
        };
        now.saturating_sub(since) >= fallback_timeout.saturating_mul(turns)
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
            let turn = role.import_after.is_some_and(|turns| self.has_waited(*chunk, turns, now));
            turn && !role.fetches
                && self.is_due(*chunk, now)
                && self.holders(*chunk, now).next().is_none()
                // Whoever is always waiting for a chunk never steps in for it.
                && !(self.steps_in(*chunk, now) && now >= self.state.origin_rests_until)
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
        let own = |chunk: &usize| self.state.roles[*chunk].fetches && turn(chunk) && !near(chunk);
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
            self.steps_in(*chunk, now) && self.holders(*chunk, now).next().is_none()
        };
        self.missing().find(due).map(|chunk| (chunk, Source::Origin))
    }

    /// Whether it is this instance's turn to draw a chunk that has stayed away.
    fn steps_in(&self, chunk: usize, now: Duration) -> bool {
        let Fetching { limits, started, origin_failed, recovery, .. } = &self.state;
        let Some(turns) = self.state.roles[chunk].fallback_after else { return false };
        let Limits { spacing, fallback_timeout, .. } = *limits;
        // After a failure of the origin, the reserve waits until the origin could have delivered
        // every missing chunk, so that it does not duplicate draws by the assigned instances.
        let began = (*origin_failed).max(recovery.map_or(Duration::ZERO, |recovery| recovery.at));
        if began <= *started || spacing.is_zero() {
            return self.has_waited(chunk, turns, now);
        }
        let missing = match recovery {
            Some(recovery) if recovery.at >= *origin_failed => recovery.missing,
            _ => self.state.held.len() - self.state.held.count(),
        };
        let since = began + spacing.saturating_mul(turn(missing));
        now.saturating_sub(since) >= fallback_timeout.saturating_mul(turns)
    }

    /// Whether the origin can be asked for one more chunk.
    fn origin_is_open(&self, now: Duration) -> bool {
        now >= self.state.origin_rests_until
            && self.drawn_from(&Source::Origin) < self.state.limits.origin_downloads
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

    /// How many chunks are being drawn from a source.
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
}

/// A chunk's turn to be drawn.
fn turn(chunk: usize) -> u32 {
    u32::try_from(chunk).unwrap_or(u32::MAX)
}
