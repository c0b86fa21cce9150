//! A model engine in memory whose staged chunks turn bad and whose calls are slow or late, and the
//! origin of its weights.

use std::future::Future;
use std::ops::Range;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use cinderspoke_core::gateway::name::Model;
use cinderspoke_core::gateway::rollout::Version;
use cinderspoke_core::manifest::Algorithm;
use cinderspoke_ports::Error;
use cinderspoke_ports::gateway::{
    Engine, EngineReport, Layers, Listing, OrderOutcome, Origin, Switch,
};
use cinderspoke_types::size;
use tokio::time::{Instant, advance, sleep, timeout};

use crate::staging::model;

/// The number of chunks of a version, and of the layers that they make up.
pub(crate) const CHUNKS: usize = 96;
pub(crate) const LAYERS: u32 = 16;
/// The declared size of a chunk, in bytes.
pub(crate) const CHUNK_BYTES: u64 = 64;

const CHUNKS_IN_LAYER: usize = CHUNKS / LAYERS as usize;

/// How long a chunk may have been corrupt when an engine takes it.
const TOLERANCE: Duration = Duration::from_secs(3);

/// How long an engine takes to load what lies there.
const WARM_TIME: Duration = Duration::from_millis(300);

/// How long a call to an engine may take, as the client of the platform has it.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);

/// A chunk: different for each version and number.
pub(crate) fn chunk(version: Version, number: usize) -> Bytes {
    Bytes::from(format!("chunk {number} of version {version}"))
}

/// An origin that serves all chunks at once, but for a version that it lacks.
pub(crate) struct FastOrigin {
    pub(crate) lacks: Option<Version>,
}

#[async_trait]
impl Origin for FastOrigin {
    async fn listing(&self, _: &Model, version: Version) -> Result<Listing, Error> {
        if self.lacks == Some(version) {
            return Err(Error::Unavailable("the version is missing".into()));
        }
        let digests = (0..CHUNKS).map(|number| Algorithm::Sha256.chunk(&chunk(version, number)));
        Ok(Listing {
            chunk_bytes: CHUNK_BYTES,
            digests: digests.map(|it| *it.as_bytes()).collect(),
        })
    }

    async fn chunk(&self, _: &Model, version: Version, number: usize) -> Result<Bytes, Error> {
        Ok(chunk(version, number))
    }
}

/// What disturbs a changeover.
#[derive(Debug, Clone, Default)]
pub(crate) struct Trouble {
    /// How long the engine takes to read a chunk back.
    pub(crate) read_time: Duration,
    /// How long after version 2 is named chunks turn bad.
    pub(crate) spoilt_after: Vec<(Duration, usize)>,
    /// How long the engine takes to take its first order.
    pub(crate) order_delay: Duration,
    /// Whether its answer to the first order is lost.
    pub(crate) is_answer_lost: bool,
    /// The number of the upload that is applied late, and how late.
    pub(crate) late_upload: Option<(usize, Duration)>,
    /// The number of the report after which the agent stands still, and for how long.
    pub(crate) freeze: Option<(usize, Duration)>,
    /// How long after version 2 version 3 is named.
    pub(crate) next_after: Option<Duration>,
    /// Whether the origin lacks version 3.
    pub(crate) lacks_next: bool,
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
pub(crate) enum Wrong {
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
pub(crate) struct Held {
    pub(crate) version: Version,
    pub(crate) layers: Range<u32>,
    pub(crate) wrong: Vec<Wrong>,
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
pub(crate) struct ModelEngine {
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
    pub(crate) fn new(trouble: Trouble) -> Self {
        Self::with_chunks_of(trouble, Version(1), |_| Version(1))
    }

    /// Creates an engine that says that it runs a version, and took chunks of these versions for
    /// it, which lie there too.
    pub(crate) fn with_chunks_of(
        trouble: Trouble,
        version: Version,
        of: impl Fn(usize) -> Version,
    ) -> Self {
        let staged = |number| Some(Staged { bytes: chunk(of(number), number), spoilt: None });
        let wrong = (0..CHUNKS).filter(|number| of(*number) != version).map(Wrong::Other);
        let state = State {
            staged: (0..CHUNKS).map(staged).collect(),
            running: Held { version, layers: 0..LAYERS, wrong: wrong.collect() },
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

    /// Sets which chunks turn bad, and when.
    pub(crate) fn spoil_at(&self, spoiling: Vec<(Instant, usize)>) {
        self.lock().spoiling = spoiling;
    }

    /// What it held after each order.
    pub(crate) fn taken(&self) -> Vec<Held> {
        self.lock().taken.clone()
    }

    /// The weights that requests run on; none while it loads.
    pub(crate) fn running(&self) -> Option<Held> {
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
            let mut state = engine.lock();
            if state.staged.len() <= number {
                state.staged.resize(number + 1, None);
            }
            state.staged[number] = Some(Staged { bytes, spoilt: None });
        })
        .await
    }

    async fn staged(
        &self,
        _: &Model,
        number: usize,
        _: size::Bytes,
    ) -> Result<Option<Bytes>, Error> {
        let staged = self.lock().staged.get(number).cloned().flatten();
        let read_time = self.trouble.read_time;
        call(async move {
            sleep(read_time).await;
            staged.map(|staged| staged.bytes)
        })
        .await
    }
}
