//! Changeovers of an engine whose staged chunks turn bad, whose calls are slow or late, and whose
//! agent stands still, in simulated time.
//!
//! Guards against weights that an engine takes although a chunk has been corrupt there for
//! [`TOLERANCE`] or longer, or belongs to another version: the agent had verified the chunks some
//! seconds before, or had begun to stage another version while an order was under way.

pub(crate) mod engine;

use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use cinderspoke::gateway::message::{Peer, Plan};
use cinderspoke::staging::{Agent, Parts};
use cinderspoke_core::gateway::catalog::Origin as Declared;
use cinderspoke_core::gateway::rollout::{Rollout, Version};
use cinderspoke_ports::client::Client;
use cinderspoke_test_support::address::{self, shared_port};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::runtime::Builder;
use tokio::time::{Instant, sleep};
use yare::parameterized;

use self::engine::{CHUNKS, FastOrigin, Held, LAYERS, ModelEngine, Trouble};
use crate::staging::{model, settings};

/// How often the engine is looked at.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The time within which the newest version has to run, also beside a slow engine.
const ARRIVAL_TIMEOUT: Duration = Duration::from_secs(60);

/// How many changeovers each property is checked with.
const SEEDS: Range<u64> = 0..100;

/// What came of a changeover.
#[derive(Debug)]
struct Changeover {
    /// The orders that the engine took.
    taken: Vec<Held>,
    /// Weights with wrong chunks or without all layers that requests would have run on.
    served: Option<Held>,
    /// How long after version 2 was named the newest version ran; none if it did not in time.
    took: Option<Duration>,
    /// Whether the engine is open in the end.
    is_open: bool,
}

impl Changeover {
    fn wrong(&self) -> Vec<&Held> {
        self.taken.iter().filter(|taken| !taken.wrong.is_empty()).collect()
    }
}

fn plan(version: Version, engine: SocketAddr) -> Plan {
    let mut rollout = Rollout::default();
    rollout.advance(model(), version);
    Plan {
        rollout,
        models: vec!["m".into()],
        origins: vec![Declared { address: engine, rate: 1e9 }],
        peers: vec![Peer { engine, zone: "a".into(), region: "r".into() }],
        ..Plan::default()
    }
}

/// Has an agent bring version 2 to an engine, and version 3 if it is named.
async fn change_over(trouble: Trouble) -> Changeover {
    let engine = ModelEngine::new(trouble.clone());
    let lacks = trouble.lacks_next.then_some(Version(3));
    let own = address::free().unwrap();
    let seed = SocketAddr::new(address::free().unwrap().ip(), shared_port());
    let parts = Parts {
        engine: Arc::new(engine.clone()),
        open_origin: Arc::new(move |_| Arc::new(FastOrigin { lacks })),
        client: Client::new(),
        metrics: None,
    };
    let agent = Agent::bind(&settings(own, "a", seed), parts).await.unwrap();
    let named = Instant::now();
    agent.plans().merge(plan(Version(2), own));
    let spoiling = trouble.spoilt_after.iter().map(|(after, number)| (named + *after, *number));
    engine.spoil_at(spoiling.collect());
    let last = if trouble.next_after.is_some() { Version(3) } else { Version(2) };
    let (mut served, mut took, mut is_last_named) = (None, None, last == Version(2));
    // Goes on for some time after the last version has arrived: an order may be taken late.
    let mut until = named + ARRIVAL_TIMEOUT;
    while Instant::now() < until {
        if !is_last_named && trouble.next_after.is_some_and(|after| named + after <= Instant::now())
        {
            agent.plans().merge(plan(last, own));
            is_last_named = true;
        }
        let running = engine.running().filter(|_| agent.accepts_requests());
        if let Some(running) = running {
            if took.is_none() && running.version == last {
                took = Some(named.elapsed());
                until = until.min(Instant::now() + Duration::from_secs(8));
            }
            if !running.wrong.is_empty() || running.layers != (0..LAYERS) {
                served.get_or_insert(running);
            }
        }
        sleep(POLL_INTERVAL).await;
    }
    let is_open = agent.accepts_requests();
    agent.stop();
    let taken = engine.taken();
    Changeover { taken, served, took, is_open }
}

/// Runs a changeover in simulated time.
fn run(trouble: Trouble) -> Changeover {
    let mut builder = Builder::new_current_thread();
    let runtime = builder.enable_all().start_paused(true).build().unwrap();
    runtime.block_on(change_over(trouble))
}

/// Returns a random time in milliseconds.
fn random(rng: &mut ChaCha8Rng, range: Range<u64>) -> Duration {
    Duration::from_millis(rng.random_range(range))
}

/// Returns random chunks that turn bad within so many milliseconds after version 2 is named.
fn random_spoilt(rng: &mut ChaCha8Rng, within: u64) -> Vec<(Duration, usize)> {
    let count = rng.random_range(1..4);
    let spoilt = (0..count).map(|_| (random(rng, 0..within), rng.random_range(0..CHUNKS)));
    spoilt.collect()
}

/// What has to hold of a changeover, besides that the newest version arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Judged {
    /// Engines take whole weights only.
    Taken,
    /// Requests run on whole weights only. What engines take is not in the agent's hand.
    Served,
}

/// Checks changeovers with random troubles.
fn check(judged: Judged, sample: impl Fn(&mut ChaCha8Rng) -> Trouble) {
    let mut failed = Vec::new();
    for seed in SEEDS {
        let trouble = sample(&mut ChaCha8Rng::seed_from_u64(seed));
        let result = run(trouble.clone());
        let takes_wrong = judged == Judged::Taken && !result.wrong().is_empty();
        if takes_wrong || result.served.is_some() || result.took.is_none() {
            failed.push((seed, trouble, result));
        }
    }
    let first = failed.first();
    assert!(failed.is_empty(), "{} of {SEEDS:?} failed, the first: {first:#?}", failed.len());
}

// Guards against the order to load chunks that were verified seconds before: reading them back one
// after the other took longer than a corrupt chunk is tolerated.
#[parameterized(
    sound = { Duration::from_millis(12) },
    slow = { Duration::from_millis(48) },
    very_slow = { Duration::from_millis(200) },
)]
fn no_engine_takes_a_chunk_that_turned_bad_before(read_time: Duration) {
    let within = 3000 + read_time.as_millis() as u64 * CHUNKS as u64;
    check(Judged::Taken, |rng| Trouble {
        read_time,
        spoilt_after: random_spoilt(rng, within),
        ..Trouble::default()
    });
}

// Guards against other chunks under an order that was given up and is still taken.
#[test]
fn an_order_that_is_taken_late_finds_whole_weights() {
    check(Judged::Taken, |rng| Trouble {
        read_time: Duration::from_millis(12),
        spoilt_after: random_spoilt(rng, 8000),
        order_delay: random(rng, 0..6000),
        next_after: Some(random(rng, 0..8000)),
        ..Trouble::default()
    });
}

// Guards against a newer version that is staged under an order whose answer got lost.
#[test]
fn an_order_without_an_answer_is_settled_before_anything_is_staged() {
    check(Judged::Taken, |rng| Trouble {
        read_time: Duration::from_millis(12),
        order_delay: random(rng, 0..1400),
        is_answer_lost: true,
        next_after: Some(random(rng, 0..5000)),
        ..Trouble::default()
    });
}

// Guards against a changeover that is dropped in the midst of a call once a newer version is named.
#[parameterized(
    sound = { Duration::from_millis(12) },
    slow = { Duration::from_millis(48) },
)]
fn a_newer_version_may_be_named_at_any_step(read_time: Duration) {
    check(Judged::Taken, |rng| Trouble {
        read_time,
        order_delay: random(rng, 0..1400),
        next_after: Some(random(rng, 0..8000)),
        ..Trouble::default()
    });
}

// Guards against an upload that was given up and that the engine applies later, over a chunk that
// has been verified since.
#[test]
fn no_request_runs_on_a_chunk_that_was_uploaded_late() {
    check(Judged::Served, |rng| {
        let late_upload = Some((rng.random_range(1..CHUNKS * 2), random(rng, 0..6000)));
        let next_after = Some(random(rng, 0..8000));
        let read_time = Duration::from_millis(12);
        Trouble { read_time, late_upload, next_after, ..Trouble::default() }
    });
}

// Guards against an agent that stands still between its last check and its order.
#[test]
fn no_engine_takes_a_chunk_that_turned_bad_while_its_agent_stood_still() {
    check(Judged::Taken, |rng| Trouble {
        read_time: Duration::from_millis(12),
        spoilt_after: random_spoilt(rng, 6000),
        freeze: Some((rng.random_range(1..60), random(rng, 3000..5000))),
        ..Trouble::default()
    });
}

// Guards against an engine that stays closed for a version that was given up before its order.
#[test]
fn an_engine_is_opened_again_after_a_changeover_was_abandoned() {
    // While chunks are read back.
    let next_after = Some(Duration::from_secs(4));
    let read_time = Duration::from_millis(1200);
    let result = run(Trouble { read_time, next_after, lacks_next: true, ..Trouble::default() });
    assert!(result.is_open && result.taken.is_empty(), "{result:?}");
}

// Guards against weights that nobody verified once it was known when the engine took them.
#[test]
fn no_request_runs_on_chunks_whose_check_was_too_old_at_the_order() {
    check(Judged::Served, |rng| Trouble {
        read_time: Duration::from_millis(1200),
        spoilt_after: random_spoilt(rng, 20_000),
        ..Trouble::default()
    });
}
