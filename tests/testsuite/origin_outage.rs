//! Simulated transfers across a service during an outage of the origin.
//!
//! Guards against fallback agents fetching chunks that the assigned agents are already fetching.

use std::collections::VecDeque;
use std::time::Duration;

use cinderspoke_core::bitmap::Bitmap;
use cinderspoke_core::manifest::{Algorithm, Manifest};
use cinderspoke_core::swarm::Swarm;
use cinderspoke_core::transfer::{Fetching, Limits, Policy, Source, Step, Transfer};
use cinderspoke_schema::control::Peer;
use cinderspoke_types::digest::Digest;
use cinderspoke_types::size;

use crate::turns;

const CHUNKS: usize = 96;
const AGENTS: usize = 76;
const ZONES: [&str; 3] = ["a", "b", "c"];

/// The time that the origin's link takes to transfer a chunk.
const SPACING: Duration = Duration::from_millis(45);

/// The time that a peer takes to transfer a chunk.
const PEER_LATENCY: Duration = Duration::from_millis(60);

/// How long a peer waits for a chunk that it does not hold before the request fails.
const AWAIT_TIMEOUT: Duration = Duration::from_millis(700);

/// How long fallback agents wait for the assigned agents.
const FALLBACK_TIMEOUT: Duration = Duration::from_millis(1200);

const OUTAGE_START: Duration = Duration::from_millis(500);
const OUTAGE_END: Duration = Duration::from_millis(6500);

const TICK: Duration = Duration::from_millis(15);

fn chunk(number: usize) -> Digest {
    Algorithm::Sha256.chunk(&[number as u8; 64])
}

fn peer(seed: usize, number: usize) -> Peer {
    let instance = format!("{seed}-{number}").parse().unwrap();
    Peer { instance, ..turns::peer(number, ZONES[number % ZONES.len()]) }
}

fn limits() -> Limits {
    Limits {
        spacing: SPACING,
        fallback_timeout: FALLBACK_TIMEOUT,
        slow_chunk: None,
        ..turns::limits()
    }
}

/// A request for a chunk from a peer.
struct Flight {
    agent: usize,
    chunk: usize,
    from: usize,
    // When the request completes or fails.
    due: Duration,
    // Whether the peer may not hold the chunk yet.
    awaited: bool,
}

struct Simulation {
    seed: usize,
    transfers: Vec<Transfer<Fetching>>,
    held: Vec<Bitmap>,
    // Agents with lower indices are offline.
    first_online: usize,
    // Pending requests to the origin, as agent and chunk.
    origin_queue: VecDeque<(usize, usize)>,
    next_origin_delivery: Duration,
    origin_fetches: usize,
    flights: Vec<Flight>,
}

impl Simulation {
    fn new(seed: usize, offline: usize) -> Self {
        let manifest =
            Manifest::from_chunk_digests(size::Bytes::new(64), (0..CHUNKS).map(chunk).collect());
        let transfer = |number: usize| {
            let mut peers: Vec<_> = (0..AGENTS).map(|number| peer(seed, number)).collect();
            let swarm = Swarm::new(manifest.digest(), peers.remove(number), peers);
            Transfer::new(manifest.clone(), swarm, Policy::Swarm, limits(), Duration::ZERO)
        };
        Self {
            seed,
            transfers: (0..AGENTS).map(transfer).collect(),
            held: vec![Bitmap::new(CHUNKS); AGENTS],
            first_online: offline,
            origin_queue: VecDeque::new(),
            next_origin_delivery: Duration::ZERO,
            origin_fetches: 0,
            flights: Vec::new(),
        }
    }

    /// Delivers a chunk to an agent and reports its holdings to the peers.
    fn deliver(&mut self, agent: usize, number: usize, now: Duration) {
        self.transfers[agent].record_chunk(number, chunk(number), now);
        self.held[agent].insert(number);
        let holder = peer(self.seed, agent).instance;
        for other in (0..AGENTS).filter(|other| *other != agent) {
            self.transfers[other].record_peer(&holder, &self.held[agent], 0);
        }
    }

    /// Delivers the next chunk from the origin, or fails all pending requests during an outage.
    fn serve_origin(&mut self, outage: bool, now: Duration) {
        if outage {
            for (agent, chunk) in std::mem::take(&mut self.origin_queue) {
                self.transfers[agent].record_failure(chunk, now);
            }
        }
        if now < self.next_origin_delivery {
            return;
        }
        if let Some((agent, chunk)) = self.origin_queue.pop_front() {
            self.origin_fetches += 1;
            self.next_origin_delivery += SPACING;
            self.deliver(agent, chunk, now);
        } else {
            self.next_origin_delivery = now + SPACING;
        }
    }

    /// Completes or fails the requests to peers that are due.
    fn serve_peers(&mut self, now: Duration) {
        for flight in std::mem::take(&mut self.flights) {
            let Flight { agent, chunk, from, due, awaited } = flight;
            let holds = from >= self.first_online && self.held[from].contains(chunk);
            if awaited && holds {
                self.flights.push(Flight { due: now + PEER_LATENCY, awaited: false, ..flight });
            } else if now < due {
                self.flights.push(flight);
            } else if holds {
                self.deliver(agent, chunk, now);
            } else {
                self.transfers[agent].record_failure(chunk, now);
            }
        }
    }

    /// Runs an agent's steps until it has to wait or is complete.
    fn step_agent(&mut self, agent: usize, outage: bool, now: Duration) {
        loop {
            let (chunk, peer, timeout) = match self.transfers[agent].step(now) {
                Step::Fetch { chunk, source: Source::Origin } if outage => {
                    self.transfers[agent].record_failure(chunk, now);
                    continue;
                }
                Step::Fetch { chunk, source: Source::Origin } => {
                    self.origin_queue.push_back((agent, chunk));
                    continue;
                }
                Step::Fetch { chunk, source: Source::Peer(peer) } => (chunk, peer, None),
                Step::Await { chunk, peer } => (chunk, peer, Some(AWAIT_TIMEOUT)),
                Step::Wait | Step::Complete => return,
            };
            let name = peer.to_string();
            let from = name.rsplit('-').next().unwrap().parse().unwrap();
            let (due, awaited) = (now + timeout.unwrap_or(PEER_LATENCY), timeout.is_some());
            self.flights.push(Flight { agent, chunk, from, due, awaited });
        }
    }

    /// Returns the time from the end of the outage until the first agent holds all chunks.
    fn run(&mut self) -> Duration {
        let mut now = Duration::ZERO;
        while !self.held.iter().any(Bitmap::is_full) {
            assert!(now < OUTAGE_END * 3, "no agent holds all chunks after {now:?}");
            let outage = (OUTAGE_START..OUTAGE_END).contains(&now);
            self.serve_origin(outage, now);
            self.serve_peers(now);
            for agent in self.first_online..AGENTS {
                self.step_agent(agent, outage, now);
            }
            now += TICK;
        }
        now - OUTAGE_END
    }
}

/// The least time that the origin's link takes to transfer the chunks left after the outage.
fn min_transfer_time() -> Duration {
    let delivered = OUTAGE_START.as_millis() / SPACING.as_millis();
    SPACING * (CHUNKS as u32 - delivered as u32)
}

#[test]
fn few_chunks_are_fetched_twice_after_an_outage() {
    for seed in 0..3 {
        let mut simulation = Simulation::new(seed, 0);
        let elapsed = simulation.run();
        let minimum = min_transfer_time();
        let limit = minimum + Duration::from_millis(500);
        assert!(elapsed <= limit, "took {elapsed:?}, minimum {minimum:?}");
        let fetches = simulation.origin_fetches;
        assert!(fetches <= CHUNKS * 10 / 9, "{fetches} fetches for {CHUNKS} chunks");
    }
}

#[test]
fn chunks_assigned_to_offline_agents_are_fetched_after_an_outage() {
    let elapsed = Simulation::new(0, AGENTS / 12).run();
    let minimum = min_transfer_time();
    assert!(elapsed <= minimum + 2 * FALLBACK_TIMEOUT, "took {elapsed:?}, minimum {minimum:?}");
}
