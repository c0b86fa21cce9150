//! The model engine's stand-in.
//!
//! A token's text follows from the weights, the prompt and the position, so
//! that every answer can be checked whole. The stand-in counts what must never
//! happen: loads of weights that are not what their manifest says.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use anyhow::Result;
use axum::body::Body;
use axum::extract::{DefaultBodyLimit, Path, Query, State};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post, put};
use axum::{Json, Router};
use bytes::Bytes;
use cinderspoke::endpoint::{CacheEvent, Inventory, Piece, Role};
use cinderspoke_core::manifest::{Hasher, Manifest};
use cinderspoke_schema::control::{Generate, Load, Weights as Version};
use cinderspoke_types::counter::Fence;
use cinderspoke_types::digest::Digest;
use cinderspoke_types::id;
use cinderspoke_types::size;
use futures::{StreamExt, stream};
use http::StatusCode;
use http_body_util::BodyExt;
use serde::Deserialize;
use tokio::time::sleep;

use crate::node::{Ground, Machine, Server};

/// How many characters of a prompt make up the prefix that is cached.
const PREFIX: usize = 256;

/// How many prefixes the cache holds.
const CACHE: usize = 64;

/// The text of an answer's token.
#[must_use]
pub fn token(manifest: Digest, prompt: &str, position: u64) -> String {
    Digest::of(format!("{manifest}/{position}/{prompt}").as_bytes()).to_short()
}

/// How an engine behaves and misbehaves.
#[derive(Debug, Clone)]
pub struct Behaviour {
    /// How long a token takes.
    pub token: Duration,
    /// How long it takes to load weights, once their bytes have come.
    pub load: Duration,
    /// How long a prompt takes whose prefix is not cached.
    pub prompt: Duration,
    /// It carries out orders whatever their fence.
    pub ignores_fences: bool,
    /// Streams break off after so many tokens.
    pub breaks_after: Option<u64>,
    /// It refuses requests as not run.
    pub refuses: bool,
    /// Load reports are as old as this many reports.
    pub report_lag: usize,
    /// Every so many cache events one is lost.
    pub event_gaps: Option<u64>,
    /// The newest so many cache events are not told yet.
    pub event_lag: u64,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            token: Duration::from_millis(1),
            load: Duration::ZERO,
            prompt: Duration::from_millis(2),
            ignores_fences: false,
            breaks_after: None,
            refuses: false,
            report_lag: 0,
            event_gaps: None,
            event_lag: 0,
        }
    }
}

/// What an engine has done.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Record {
    /// Orders to load that came in, carried out or not.
    pub load_orders: u32,
    /// Weights loaded, in order.
    pub loads: Vec<Digest>,
    /// Loads whose bytes were not what the manifest says.
    pub wrong_loads: u32,
    /// Orders refused for their fence.
    pub fenced: u32,
    /// How often each prompt was run.
    pub runs: BTreeMap<String, u32>,
    /// Streams that the other side left before the end.
    pub cancelled: u32,
}

#[derive(Debug, Default)]
struct EngineState {
    behaviour: Behaviour,
    inventory: Inventory,
    manifests: BTreeMap<Digest, Manifest>,
    record: Record,
    running: u32,
    reports: Vec<Load>,
    cached: Vec<String>,
    events: Vec<CacheEvent>,
    caches: BTreeMap<(Digest, String), Bytes>,
    role: Option<Role>,
}

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<EngineState>,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The model engine's stand-in.
#[derive(Debug)]
pub struct Engine {
    /// The listener; killing it cuts every stream.
    pub server: Server,
    shared: Arc<Shared>,
}

impl Engine {
    /// Starts an engine with no weights on a machine.
    ///
    /// # Errors
    ///
    /// When it cannot listen.
    pub async fn spawn(ground: &Ground, machine: Machine, behaviour: Behaviour) -> Result<Self> {
        let shared = Arc::new(Shared::default());
        shared.lock().behaviour = behaviour;
        let app = Router::new()
            .route("/v1/engine", get(inventory))
            .route("/v1/engine/weights/{manifest}", put(load).delete(unload))
            .route("/v1/engine/role", put(change_role))
            .route("/v1/engine/generate/{manifest}", post(generate))
            .route("/v1/engine/load", get(load_report))
            .route("/v1/engine/cache-events", get(cache_events))
            .route("/v1/engine/cache/{manifest}/{prefix}", get(export).put(import))
            .layer(DefaultBodyLimit::disable())
            .with_state(Arc::clone(&shared));
        let server = Server::spawn(ground, machine, app).await?;
        Ok(Self { server, shared })
    }

    /// Tells the engine what a manifest's bytes have to be, so that wrong loads are counted.
    pub fn expect(&self, manifest: Manifest) {
        self.shared.lock().manifests.insert(manifest.digest(), manifest);
    }

    /// Changes how it behaves.
    pub fn set_behaviour(&self, change: impl FnOnce(&mut Behaviour)) {
        change(&mut self.shared.lock().behaviour);
    }

    /// What it has done.
    #[must_use]
    pub fn record(&self) -> Record {
        self.shared.lock().record.clone()
    }

    /// The weights that are loaded whole.
    #[must_use]
    pub fn loaded(&self) -> Vec<Digest> {
        self.shared.lock().inventory.loaded.keys().copied().collect()
    }

    /// Has weights loaded from the start.
    pub fn preload(&self, weights: Version) {
        self.shared.lock().inventory.loaded.insert(weights.manifest, weights);
    }

    /// Forgets all weights, as a new process would.
    pub fn forget(&self) {
        self.shared.lock().inventory = Inventory::default();
    }
}

async fn inventory(State(shared): State<Arc<Shared>>) -> Json<Inventory> {
    Json(shared.lock().inventory.clone())
}

/// Takes in an order's fence; an error when it is refused.
fn check_fence(state: &mut EngineState, fence: Fence) -> Result<(), StatusCode> {
    if fence < state.inventory.fence && !state.behaviour.ignores_fences {
        state.record.fenced += 1;
        return Err(StatusCode::PRECONDITION_FAILED);
    }
    state.inventory.fence = state.inventory.fence.max(fence);
    Ok(())
}

#[derive(Debug, Deserialize)]
struct LoadQuery {
    fence: Fence,
    model: id::Model,
    version: id::Version,
    size: u64,
}

async fn load(
    State(shared): State<Arc<Shared>>,
    Path(manifest): Path<Digest>,
    Query(query): Query<LoadQuery>,
    body: Body,
) -> Result<StatusCode, StatusCode> {
    {
        let mut state = shared.lock();
        state.record.load_orders += 1;
        check_fence(&mut state, query.fence)?;
    }
    let (mut hasher, mut length, mut body) =
        (Hasher::new(cinderspoke_core::manifest::Algorithm::Blake3), 0, body);
    while let Some(frame) = body.frame().await {
        let data = frame.map_err(|_| StatusCode::BAD_REQUEST)?.into_data().unwrap_or_default();
        length += data.len() as u64;
        hasher.add(&data);
    }
    if length != query.size {
        return Err(StatusCode::BAD_REQUEST);
    }
    let loading = shared.lock().behaviour.load;
    sleep(loading).await;
    let mut state = shared.lock();
    // The order may have been overtaken while its bytes came.
    check_fence(&mut state, query.fence)?;
    let known = state.manifests.get(&manifest);
    if known.is_some_and(|known| known.whole() != hasher.finish()) {
        state.record.wrong_loads += 1;
    }
    let size = size::Bytes::new(length);
    let version = Version { model: query.model, version: query.version, manifest, size };
    state.inventory.loaded.insert(manifest, version);
    state.record.loads.push(manifest);
    Ok(StatusCode::NO_CONTENT)
}

#[derive(Debug, Deserialize)]
struct FenceQuery {
    fence: Fence,
}

async fn unload(
    State(shared): State<Arc<Shared>>,
    Path(manifest): Path<Digest>,
    Query(query): Query<FenceQuery>,
) -> Result<StatusCode, StatusCode> {
    let mut state = shared.lock();
    check_fence(&mut state, query.fence)?;
    state.inventory.loaded.remove(&manifest);
    Ok(StatusCode::NO_CONTENT)
}

async fn change_role(
    State(shared): State<Arc<Shared>>,
    Query(query): Query<FenceQuery>,
    Json(role): Json<Role>,
) -> Result<StatusCode, StatusCode> {
    let mut state = shared.lock();
    check_fence(&mut state, query.fence)?;
    state.role = Some(role);
    Ok(StatusCode::NO_CONTENT)
}

/// Counts a request as running until it is dropped.
struct Running {
    shared: Arc<Shared>,
    done: bool,
}

impl Drop for Running {
    fn drop(&mut self) {
        let mut state = self.shared.lock();
        state.running -= 1;
        state.record.cancelled += u32::from(!self.done);
    }
}

async fn generate(
    State(shared): State<Arc<Shared>>,
    Path(manifest): Path<Digest>,
    Json(request): Json<Generate>,
) -> Response {
    let (behaviour, cached) = {
        let mut state = shared.lock();
        if state.behaviour.refuses || !state.inventory.loaded.contains_key(&manifest) {
            return StatusCode::CONFLICT.into_response();
        }
        *state.record.runs.entry(request.prompt.clone()).or_default() += 1;
        state.running += 1;
        (state.behaviour.clone(), state.touch(&request.prompt))
    };
    let running = Running { shared, done: false };
    sleep(if cached { Duration::ZERO } else { behaviour.prompt }).await;
    let start = Some((request.from, running));
    let lines = stream::unfold(start, move |state| {
        let (request, behaviour) = (request.clone(), behaviour.clone());
        async move {
            let (position, mut running) = state?;
            let loaded = running.shared.lock().inventory.loaded.contains_key(&manifest);
            if !loaded || behaviour.breaks_after.is_some_and(|after| position >= after) {
                return Some((Err(std::io::Error::other("broken")), None));
            }
            sleep(behaviour.token).await;
            if position >= u64::from(request.max_tokens.get()) {
                running.done = true;
                return Some((Ok(line(&Piece::Done { tokens: position })), None));
            }
            let text = token(manifest, &request.prompt, position);
            Some((Ok(line(&Piece::Token { position, text })), Some((position + 1, running))))
        }
    });
    Response::new(Body::from_stream(lines.boxed()))
}

fn line(piece: &Piece) -> Bytes {
    let mut line = serde_json::to_vec(piece).unwrap_or_default();
    line.push(b'\n');
    line.into()
}

impl EngineState {
    /// Takes a prompt's prefix into the cache; true when it was there.
    fn touch(&mut self, prompt: &str) -> bool {
        let prefix: String = prompt.chars().take(PREFIX).collect();
        let cached = self.cached.contains(&prefix);
        self.cached.retain(|known| *known != prefix);
        self.cached.push(prefix.clone());
        if !cached {
            self.tell(prefix, true);
        }
        if self.cached.len() > CACHE {
            let evicted = self.cached.remove(0);
            self.tell(evicted, false);
        }
        cached
    }

    fn tell(&mut self, prefix: String, cached: bool) {
        let sequence = self.events.last().map_or(1, |event| event.sequence + 1);
        self.events.push(CacheEvent { sequence, prefix, cached });
    }
}

async fn load_report(State(shared): State<Arc<Shared>>) -> Json<Load> {
    let mut state = shared.lock();
    let running = state.running;
    state.reports.push(Load { running, queued: 0 });
    let keep = state.behaviour.report_lag + 1;
    let excess = state.reports.len().saturating_sub(keep);
    state.reports.drain(..excess);
    Json(state.reports[0].clone())
}

#[derive(Debug, Deserialize)]
struct After {
    after: u64,
}

async fn cache_events(
    State(shared): State<Arc<Shared>>,
    Query(query): Query<After>,
) -> Json<Vec<CacheEvent>> {
    let state = shared.lock();
    let gap = state.behaviour.event_gaps;
    let newest = state.events.last().map_or(0, |event| event.sequence);
    let told = newest.saturating_sub(state.behaviour.event_lag);
    let lost = |event: &&CacheEvent| {
        event.sequence > told || gap.is_some_and(|gap| event.sequence.is_multiple_of(gap))
    };
    let events = state.events.iter().filter(|event| event.sequence > query.after);
    Json(events.filter(|event| !lost(event)).cloned().collect())
}

async fn export(
    State(shared): State<Arc<Shared>>,
    Path((manifest, prefix)): Path<(Digest, String)>,
) -> Result<Bytes, StatusCode> {
    shared.lock().caches.get(&(manifest, prefix)).cloned().ok_or(StatusCode::NOT_FOUND)
}

async fn import(
    State(shared): State<Arc<Shared>>,
    Path((manifest, prefix)): Path<(Digest, String)>,
    cache: Bytes,
) -> StatusCode {
    shared.lock().caches.insert((manifest, prefix), cache);
    StatusCode::NO_CONTENT
}
