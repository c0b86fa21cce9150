//! Selects the next chunk of a transfer and its source.
//!
//! In this order: chunks that this instance imports into its region or zone from another one,
//! chunks that it is assigned to fetch from the origin, chunks that neighbours hold, and last
//! chunks that it fetches from the origin as a fallback.

use std::collections::BTreeMap;
use std::time::Duration;

use cinderspoke_types::id::Instance;

use super::{Download, Fetching, Limits, Neighbour, Policy, Source, Step, Transfer};
use crate::bitmap::Bitmap;
use crate::rendezvous::{Key, weight};
use crate::swarm::Distance;

/// The maximum number of concurrent downloads from one peer.
const PEER_DOWNLOADS: usize = 2;

/// The maximum number of chunks awaited at once from other zones and regions.
const MAX_IMPORTS: usize = 16;

impl Transfer<Fetching> {
    /// Selects the next step and records its download as in flight. Callers repeat the call until
    /// it returns [`Step::Wait`] or [`Step::Complete`].
    pub fn step(&mut self, now: Duration) -> Step {
        if self.state.held.is_full() {
            return Step::Complete;
        }
        if let Some((chunk, peer)) = self.import(now) {
            let source = Source::Peer(peer.clone());
            self.state.in_flight.insert(chunk, Download { source, awaited: true });
            return Step::Await { chunk, peer };
        }
        let downloads = self.state.in_flight.values().filter(|flight| !flight.awaited).count();
        if downloads >= self.window() {
            return Step::Wait;
        }
        let choice = self
            .assigned_fetch(now)
            .or_else(|| self.peer_fetch(now))
            .or_else(|| self.fallback_fetch(now));
        match choice {
            Some((chunk, source)) => {
                let flight = Download { source: source.clone(), awaited: false };
                self.state.in_flight.insert(chunk, flight);
                Step::Fetch { chunk, source }
            }
            None => Step::Wait,
        }
    }

    /// The number of concurrent downloads allowed now.
    fn window(&self) -> usize {
        self.state.window as usize
    }

    /// The chunks that are neither held nor in flight.
    fn missing(&self) -> impl Iterator<Item = usize> {
        let state = &self.state;
        (0..self.manifest.chunks())
            .filter(|chunk| !state.held.contains(*chunk) && !state.in_flight.contains_key(chunk))
    }

    /// Whether so many fallback timeouts have passed without the chunk.
    ///
    /// Without a schedule for the origin, the time counts from the last chunk accepted. With one,
    /// it counts from the chunk's own slot, because other chunks may keep arriving while the
    /// instance assigned to this one is stalled.
    fn has_timed_out(&self, chunk: usize, timeouts: u32, now: Duration) -> bool {
        let Limits { spacing, fallback_timeout, .. } = self.state.limits;
        let since = match spacing.is_zero() {
            true => self.state.last_progress,
            false => self.state.started + spacing.saturating_mul(slot(chunk + 1)),
        };
        now.saturating_sub(since) >= fallback_timeout.saturating_mul(timeouts)
    }

    /// The next chunk that this instance imports into its region or zone, and the peer to await
    /// it from.
    fn import(&self, now: Duration) -> Option<(usize, Instance)> {
        let awaited = self.state.in_flight.values().filter(|flight| flight.awaited).count();
        let is_congested = self.window() < self.state.limits.downloads;
        if awaited >= if is_congested { 1 } else { MAX_IMPORTS } {
            return None;
        }
        let due = |chunk: &usize| {
            let role = &self.state.roles[*chunk];
            let imports =
                role.import_after.is_some_and(|timeouts| self.has_timed_out(*chunk, timeouts, now));
            imports && !role.fetches
                && self.is_scheduled(*chunk, now)
                && self.holders(*chunk, now).next().is_none()
                // An awaited chunk is in flight, so that the fallback would never fetch it.
                && !(self.is_fallback_due(*chunk, now) && now >= self.state.origin_backoff_until)
        };
        let mut due = self.missing().filter(due);
        due.find_map(|chunk| Some((chunk, self.import_source(chunk, now)?)))
    }

    /// The peer to await a chunk from; each failure moves on to the next source. `None` if there
    /// are no sources, or after a round of failures until the fallback timeout.
    fn import_source(&self, chunk: usize, now: Duration) -> Option<Instance> {
        let sources = &self.state.roles[chunk].sources;
        let failures = self.state.failures.get(&chunk).copied().unwrap_or_default();
        // Once every source has failed, the round starts again only after the timeout.
        if failures >= sources.len() && !self.has_timed_out(chunk, 1, now) {
            return None;
        }
        let number = *sources.get(failures.checked_rem(sources.len())?)?;
        Some(self.state.swarm.peer(number)?.instance.clone())
    }

    /// A chunk that this instance is assigned to fetch from the origin.
    fn assigned_fetch(&self, now: Duration) -> Option<(usize, Source)> {
        if !self.origin_is_available(now) {
            return None;
        }
        // An instance that joins late takes chunks from peers that fetched them long ago.
        let nearby = |chunk: &usize| self.holders(*chunk, now).next().is_some();
        let due = |chunk: &usize| self.is_scheduled(*chunk, now);
        let assigned =
            |chunk: &usize| self.state.roles[*chunk].fetches && due(chunk) && !nearby(chunk);
        self.missing().find(assigned).map(|chunk| (chunk, Source::Origin))
    }

    /// Whether the slot of a chunk in the schedule for the origin has started.
    fn is_scheduled(&self, chunk: usize, now: Duration) -> bool {
        let spacing = self.state.limits.spacing;
        if now >= self.state.started + spacing.saturating_mul(slot(chunk)) {
            return true;
        }
        // An instance that starts late infers the position in the schedule from the chunks that
        // its peers hold.
        let later = |held: &Bitmap| (chunk + 1..held.len()).any(|later| held.contains(later));
        !spacing.is_zero() && self.state.peers.values().any(|peer| later(&peer.held))
    }

    /// A chunk that this instance fetches from the origin as a fallback, since it has timed out.
    fn fallback_fetch(&self, now: Duration) -> Option<(usize, Source)> {
        if !self.origin_is_available(now) {
            return None;
        }
        let due = |chunk: &usize| {
            self.is_fallback_due(*chunk, now) && self.holders(*chunk, now).next().is_none()
        };
        self.missing().find(due).map(|chunk| (chunk, Source::Origin))
    }

    /// Whether a chunk has timed out so often that this instance is the fallback to fetch it.
    fn is_fallback_due(&self, chunk: usize, now: Duration) -> bool {
        let Fetching { limits, started, origin_failed, recovery, .. } = &self.state;
        let Some(timeouts) = self.state.roles[chunk].fallback_after else { return false };
        let Limits { spacing, fallback_timeout, .. } = *limits;
        // After a failure of the origin, the fallback waits until the origin could have delivered
        // every missing chunk, so that it does not duplicate fetches by the assigned instances.
        let began = (*origin_failed).max(recovery.map_or(Duration::ZERO, |recovery| recovery.at));
        if began <= *started || spacing.is_zero() {
            return self.has_timed_out(chunk, timeouts, now);
        }
        let missing = match recovery {
            Some(recovery) if recovery.at >= *origin_failed => recovery.missing,
            _ => self.state.held.len() - self.state.held.count(),
        };
        let since = began + spacing.saturating_mul(slot(missing));
        now.saturating_sub(since) >= fallback_timeout.saturating_mul(timeouts)
    }

    /// Whether the origin accepts one more download: it is not in back-off and below its limit.
    fn origin_is_available(&self, now: Duration) -> bool {
        now >= self.state.origin_backoff_until
            && self.downloads_from(&Source::Origin) < self.state.limits.origin_downloads
    }

    /// A chunk to fetch from a neighbour. Neighbours that have sent nearly a whole copy are used
    /// only if no other neighbour can send a chunk.
    fn peer_fetch(&self, now: Duration) -> Option<(usize, Source)> {
        let busy = self.peer_downloads();
        // Neighbours' reports of the bytes they have sent lag, so the share is less than a copy.
        let share = self.manifest.size().as_u64() / 10 * 9;
        self.peer_fetch_below(share, &busy, now)
            .or_else(|| self.peer_fetch_below(u64::MAX, &busy, now))
    }

    /// The rarest chunk among neighbours that have sent at most `share` bytes. Ties are broken
    /// differently on each instance, so that neighbours hold different chunks to exchange.
    fn peer_fetch_below(
        &self,
        share: u64,
        busy: &BTreeMap<&Instance, usize>,
        now: Duration,
    ) -> Option<(usize, Source)> {
        let downloads = |peer: &Instance| busy.get(peer).copied().unwrap_or_default();
        let free = |peer: &Instance, holder: &Neighbour| {
            downloads(peer) < PEER_DOWNLOADS && holder.given <= share
        };
        let holders = |chunk| self.holders(chunk, now).filter(|(peer, holder)| free(peer, holder));
        let counted = self.missing().map(|chunk| (chunk, holders(chunk).count()));
        let available = counted.filter(|(_, copies)| *copies > 0);
        let (chunk, _) = available.min_by_key(|(chunk, copies)| {
            (*copies, weight(self.state.tie_break, Key::of_number(*chunk as u64)))
        })?;
        let (peer, _) = holders(chunk)
            .min_by_key(|(peer, holder)| (holder.distance, downloads(peer), holder.given))?;
        Some((chunk, Source::Peer(peer.clone())))
    }

    /// The neighbours that hold a chunk and are not in back-off.
    ///
    /// Neighbours in other zones count only once the chunk has timed out, so that links between
    /// zones and regions carry each chunk about once.
    fn holders(
        &self,
        chunk: usize,
        now: Duration,
    ) -> impl Iterator<Item = (&Instance, &Neighbour)> {
        let tree = self.state.policy == Policy::Tree;
        let far = tree || self.has_timed_out(chunk, 1, now);
        self.state.peers.iter().filter(move |(_, neighbour)| {
            now >= neighbour.backoff_until
                && (far || neighbour.distance == Distance::Zone)
                && (!tree || neighbour.held.is_full())
                && neighbour.held.contains(chunk)
        })
    }

    /// The number of downloads in flight from a source.
    fn downloads_from(&self, source: &Source) -> usize {
        self.state.in_flight.values().filter(|flight| flight.source == *source).count()
    }

    /// The number of downloads in flight from each peer, without awaited chunks.
    fn peer_downloads(&self) -> BTreeMap<&Instance, usize> {
        let mut downloads = BTreeMap::new();
        for flight in self.state.in_flight.values().filter(|flight| !flight.awaited) {
            if let Source::Peer(peer) = &flight.source {
                *downloads.entry(peer).or_default() += 1;
            }
        }
        downloads
    }
}

/// The slot of a chunk in the schedule for the origin, as a multiple of the spacing.
fn slot(chunk: usize) -> u32 {
    u32::try_from(chunk).unwrap_or(u32::MAX)
}
