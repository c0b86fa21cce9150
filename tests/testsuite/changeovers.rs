//! Changeovers of an engine whose staged chunks turn bad, whose calls are slow or late, and whose
//! agent stands still, in simulated time.
//!
//! Guards against weights that an engine takes although a chunk has been corrupt there for
//! [`TOLERANCE`] or longer, or belongs to another version: the agent had verified the chunks some
//! seconds before, or had begun to stage another version while an order was under way.

use std::future::Future;
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use cinderspoke::gateway::message::{Peer, Plan};
use cinderspoke::staging::{Agent, Parts};
use cinderspoke_core::gateway::catalog::Origin as Declared;
use cinderspoke_core::gateway::name::Model;
use cinderspoke_core::gateway::rollout::{Rollout, Version};
use cinderspoke_core::manifest::Algorithm;
use cinderspoke_ports::Error;
use cinderspoke_ports::client::Client;
use cinderspoke_ports::gateway::{
    Engine, EngineReport, Layers, Listing, OrderOutcome, Origin, Switch,
};
use cinderspoke_test_support::address::{self, shared_port};
use cinderspoke_types::size;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::runtime::Builder;
use tokio::time::{Instant, advance, sleep, timeout};
use yare::parameterized;

use crate::staging::{model, settings};

/// The number of chunks of a version, and of the layers that they make up.
const CHUNKS: usize = 96;
const LAYERS: u32 = 16;
const CHUNKS_IN_LAYER: usize = CHUNKS / LAYERS as usize;

/// How long a chunk may have been corrupt when an engine takes it.
const TOLERANCE: Duration = Duration::from_secs(3);

/// How long an engine takes to load what lies there.
const WARM_TIME: Duration = Duration::from_millis(300);

/// How long a call to an engine may take, as the client of the platform has it.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);

/// How often the engine is looked at.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The time within which the newest version has to run, also beside a slow engine.
const ARRIVAL_TIMEOUT: Duration = Duration::from_secs(60);

/// How many changeovers each property is checked with.
const SEEDS: Range<u64> = 0..100;

fn chunk(version: Version, number: usize) -> Bytes {
    Bytes::from(format!("chunk {number} of version {version}"))
}

/// An origin that serves all chunks at once, but for a version that it lacks.
struct FastOrigin {
    lacks: Option<Version>,
}

#[async_trait]
impl Origin for FastOrigin {
    async fn listing(&self, _: &Model, version: Version) -> Result<Listing, Error> {
        if self.lacks == Some(version) {
            return Err(Error::Unavailable("the version is missing".into()));
        }
        let digests = (0..CHUNKS).map(|number| Algorithm::Sha256.chunk(&chunk(version, number)));
        Ok(Listing { chunk_bytes: 64, digests: digests.map(|it| *it.as_bytes()).collect() })
    }

    async fn chunk(&self, _: &Model, version: Version, number: usize) -> Result<Bytes, Error> {
        Ok(chunk(version, number))
    }
}

/// What disturbs a changeover.
#[derive(Debug, Clone, Default)]
struct Trouble {
    /// How long the engine takes to read a chunk back.
    read_time: Duration,
    /// How long after version 2 is named chunks turn bad.
    spoilt_after: Vec<(Duration, usize)>,
    /// How long the engine takes to take its first order.
    order_delay: Duration,
    /// Whether its answer to the first order is lost.
    is_answer_lost: bool,
    /// The number of the upload that is applied late, and how late.
    late_upload: Option<(usize, Duration)>,
    /// The number of the report after which the agent stands still, and for how long.
    freeze: Option<(usize, Duration)>,
    /// How long after version 2 version 3 is named.
    next_after: Option<Duration>,
    /// Whether the origin lacks version 3.
    lacks_next: bool,
}

/// A chunk that lies at an engine.
#[derive(Debug, Clone)]
struct Staged {
    bytes: Bytes,
    // The chunk before it turned bad, and when it did.
    spoilt: Option<(Bytes, Instant)>,
}

/// What is wrong with a chunk of taken weights.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Wrong {
    /// The chunk is missing or of another version.
    Other(usize),
    /// The chunk had been corrupt for so long.
    Corrupt(usize, Duration),
}

impl Wrong {
    /// The layer that the chunk is part of.
    fn layer(&self) -> u32 {
        let (Self::Other(number) | Self::Corrupt(number, _)) = self;
        (number / CHUNKS_IN_LAYER) as u32
    }
}

/// Layers that an engine holds, all of one version.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Held {
    version: Version,
    layers: Range<u32>,
    wrong: Vec<Wrong>,
}

#[derive(Debug)]
struct State {
    staged: Vec<Option<Staged>>,
    running: Held,
    // What it will hold once it has loaded, and when.
    loading: Option<(Held, Instant)>,
    orders: u64,
    // What it held after each order.
    taken: Vec<Held>,
    uploads: usize,
    reports: usize,
    order_calls: usize,
    // The chunks that turn bad, and when.
    spoiling: Vec<(Instant, usize)>,
}

impl State {
    /// Applies what has happened by itself since the last call, also while time was set forward.
    fn advance(&mut self) {
        let now = Instant::now();
        let spoilt: Vec<_> = self.spoiling.extract_if(.., |(at, _)| *at <= now).collect();
        for (at, number) in spoilt {
            if let Some(staged) = &mut self.staged[number]
                && staged.spoilt.is_none()
            {
                staged.spoilt = Some((staged.bytes.clone(), at));
                staged.bytes = Bytes::from_static(b"rot");
            }
        }
        if self.loading.as_ref().is_some_and(|(_, until)| *until <= now) {
            self.running = self.loading.take().unwrap().0;
        }
    }

    /// What is wrong with the chunks that lie there, for a version that takes them now.
    fn wrong(&self, version: Version) -> Vec<Wrong> {
        let now = Instant::now();
        let wrong = |(number, staged): (usize, &Option<Staged>)| match staged {
            Some(Staged { bytes, .. }) if *bytes == chunk(version, number) => None,
            Some(Staged { spoilt: Some((before, at)), .. })
                if *before == chunk(version, number) =>
            {
                (now - *at >= TOLERANCE).then(|| Wrong::Corrupt(number, now - *at))
            }
            _ => Some(Wrong::Other(number)),
        };
        self.staged.iter().enumerate().filter_map(wrong).collect()
    }
}

/// A model engine in memory. Work that it has begun goes on when the caller gives the call up.
#[derive(Debug, Clone)]
struct ModelEngine {
    state: Arc<Mutex<State>>,
    trouble: Arc<Trouble>,
}

/// Carries out a call in the background and waits for its answer as a client would.
async fn call<T: Send + 'static>(
    work: impl Future<Output = T> + Send + 'static,
) -> Result<T, Error> {
    let answer = timeout(CALL_TIMEOUT, tokio::spawn(work)).await;
    answer.map(Result::unwrap).map_err(|_| Error::Unavailable("timed out".into()))
}

impl ModelEngine {
    /// Creates an engine that runs version 1, which lies there too.
    fn new(trouble: Trouble) -> Self {
        let staged = |number| Some(Staged { bytes: chunk(Version(1), number), spoilt: None });
        let state = State {
            staged: (0..CHUNKS).map(staged).collect(),
            running: Held { version: Version(1), layers: 0..LAYERS, wrong: Vec::new() },
            loading: None,
            orders: 0,
            taken: Vec::new(),
            uploads: 0,
            reports: 0,
            order_calls: 0,
            spoiling: Vec::new(),
        };
        Self { state: Arc::new(Mutex::new(state)), trouble: Arc::new(trouble) }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        let mut state = self.state.lock().unwrap();
        state.advance();
        state
    }

    /// The weights that requests run on; none while it loads.
    fn running(&self) -> Option<Held> {
        let state = self.lock();
        state.loading.is_none().then(|| state.running.clone())
    }

    /// Takes an order. Layers of the version that it holds stay as they are, others go at once.
    fn take(&self, version: Version, layers: Layers, orders: u64) -> OrderOutcome {
        let mut state = self.lock();
        if state.orders != orders || state.loading.is_some() {
            return OrderOutcome::Rejected;
        }
        let ordered = match layers {
            Layers::All => 0..LAYERS,
            Layers::Only(layer) => layer..layer + 1,
        };
        let held = state.running.clone();
        let is_held = |layer: u32| held.version == version && held.layers.contains(&layer);
        if is_held(ordered.start) && ordered == held.layers {
            return OrderOutcome::Held;
        }
        let mut wrong = held.wrong.clone();
        wrong.retain(|it| is_held(it.layer()) && ordered.contains(&it.layer()));
        let loaded: Vec<_> = ordered.clone().filter(|layer| !is_held(*layer)).collect();
        wrong.extend(state.wrong(version).into_iter().filter(|it| loaded.contains(&it.layer())));
        let taken = Held { version, layers: ordered, wrong };
        state.taken.push(taken.clone());
        state.orders += 1;
        let load_time = if loaded.is_empty() { Duration::ZERO } else { WARM_TIME };
        state.loading = Some((taken, Instant::now() + load_time));
        OrderOutcome::Begun
    }
}

#[async_trait]
impl Engine for ModelEngine {
    async fn report(&self) -> Result<EngineReport, Error> {
        let (report, number) = {
            let mut state = self.lock();
            state.reports += 1;
            let report = EngineReport {
                models: vec![(model(), state.running.version)],
                busy: state.loading.is_some(),
                orders: state.orders,
                ..EngineReport::default()
            };
            (report, state.reports)
        };
        if let Some((_, time)) = self.trouble.freeze.filter(|(after, _)| *after == number) {
            advance(time).await;
        }
        Ok(report)
    }

    async fn start_load(
        &self,
        _: &Model,
        version: Version,
        layers: Layers,
        _: Switch,
        orders: u64,
    ) -> Result<OrderOutcome, Error> {
        let is_first = {
            let mut state = self.lock();
            state.order_calls += 1;
            state.order_calls == 1
        };
        let delay = if is_first { self.trouble.order_delay } else { Duration::ZERO };
        let engine = self.clone();
        let outcome = call(async move {
            sleep(delay).await;
            engine.take(version, layers, orders)
        });
        let outcome = outcome.await?;
        if is_first && self.trouble.is_answer_lost {
            return Err(Error::Unavailable("the connection was reset".into()));
        }
        Ok(outcome)
    }

    async fn stage(&self, _: &Model, number: usize, bytes: Bytes) -> Result<(), Error> {
        let upload = {
            let mut state = self.lock();
            state.uploads += 1;
            state.uploads
        };
        let late = self.trouble.late_upload.filter(|(late, _)| *late == upload);
        let engine = self.clone();
        call(async move {
            if let Some((_, delay)) = late {
                sleep(delay).await;
            }
            engine.lock().staged[number] = Some(Staged { bytes, spoilt: None });
        })
        .await
    }

    async fn staged(
        &self,
        _: &Model,
        number: usize,
        _: size::Bytes,
    ) -> Result<Option<Bytes>, Error> {
        let staged = self.lock().staged[number].clone();
        let read_time = self.trouble.read_time;
        call(async move {
            sleep(read_time).await;
            staged.map(|staged| staged.bytes)
        })
        .await
    }
}

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
    engine.lock().spoiling = spoiling.collect();
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
    let taken = engine.lock().taken.clone();
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
