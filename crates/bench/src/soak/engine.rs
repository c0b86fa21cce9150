//! What a model engine has besides requests: reports, orders and staged chunks.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use axum::extract::{Path, Query, State};
use axum::routing::{get, post, put};
use axum::{Json, Router};
use bytes::Bytes;
use cinderspoke_stand_ins::engine::{
    Busy, CHUNK, ORDER, Order, REPORT, STAGE, STAGED, report as told,
};
use cinderspoke_stand_ins::{spec, store};
use cinderspoke_test_support::oracle::judge::Promise;
use http::StatusCode;
use serde_json::Value;
use tokio::sync::watch;
use tokio::time::sleep;

use super::oracle::Oracle;
use super::origin::{self, CHUNKS};

/// The name of the one model.
pub(crate) const MODEL: &str = "m";

/// How long loading takes.
pub(crate) const WARM: Duration = Duration::from_millis(300);

/// How often an engine that waits for its work to end looks.
const LOOK: Duration = Duration::from_millis(10);

#[derive(Default)]
struct Inner {
    version: u64,
    // Being loaded.
    next: Option<u64>,
    orders: u64,
    running: u32,
    staged: HashMap<usize, Bytes>,
}

/// A model engine's state.
pub(crate) struct Engine {
    name: String,
    oracle: Oracle,
    store: store::Store,
    inner: Mutex<Inner>,
    // Its entry as ready.
    entry: Mutex<Option<Value>>,
    // How often it was told to break off what runs.
    cuts: watch::Sender<u64>,
    // Held while a prompt is read.
    reader: tokio::sync::Mutex<()>,
    // How much slower than declared it is.
    pace: f64,
}

impl Engine {
    /// An engine with a version of the model, so much slower than it is declared.
    pub(crate) fn new(
        name: &str,
        version: u64,
        pace: f64,
        oracle: &Oracle,
        store: &store::Store,
    ) -> Self {
        Self {
            name: name.to_owned(),
            oracle: oracle.clone(),
            store: store.clone(),
            inner: Mutex::new(Inner { version, ..Inner::default() }),
            entry: Mutex::default(),
            cuts: watch::Sender::new(0),
            reader: tokio::sync::Mutex::default(),
            pace,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The version that requests run on.
    pub(crate) fn version(&self) -> u64 {
        self.lock().version
    }

    /// What it tells of its models.
    pub(crate) fn models(&self) -> Value {
        spec::models(MODEL, self.version())
    }

    /// Keeps its entry up to date from now on; none once it says that it leaves.
    pub(crate) fn listed(&self, entry: Option<Value>) {
        *self.entry.lock().unwrap_or_else(PoisonError::into_inner) = entry;
    }

    /// Changes when what runs is to be broken off.
    pub(crate) fn cuts(&self) -> watch::Receiver<u64> {
        self.cuts.subscribe()
    }

    /// Waits until no other prompt is read.
    pub(crate) async fn reader(&self) -> tokio::sync::MutexGuard<'_, ()> {
        self.reader.lock().await
    }

    /// How long it takes to read a prompt of so many tokens.
    pub(crate) fn reading(&self, prompt: u32) -> Duration {
        Duration::from_secs_f64(f64::from(prompt) / spec::READ_PER_S * self.pace)
    }

    /// Begins a request, unless it takes nothing new.
    pub(crate) fn begin(&self) -> bool {
        let mut inner = self.lock();
        let open = inner.next.is_none();
        inner.running += u32::from(open);
        open
    }

    /// Ends a request.
    pub(crate) fn done(&self) {
        self.lock().running -= 1;
    }

    /// Loads a version once what runs is done.
    async fn load(self: Arc<Self>, version: u64) {
        while self.lock().running > 0 {
            sleep(LOOK).await;
        }
        let staged = self.lock().staged.clone();
        let whole = |chunk: usize| staged.get(&chunk) == Some(&origin::chunk(version, chunk));
        if let Some(chunk) = (0..CHUNKS).find(|chunk| !whole(*chunk)) {
            let what = format!("{} loads version {version} without chunk {chunk}", self.name);
            self.oracle.broken(Promise::Whole, what);
        }
        sleep(WARM).await;
        {
            let mut inner = self.lock();
            (inner.version, inner.next) = (version, None);
        }
        let entry = self.entry.lock().unwrap_or_else(PoisonError::into_inner).clone();
        if let Some(mut entry) = entry {
            spec::set_models(&mut entry, self.models());
            self.store.put(spec::ENDPOINTS, &self.name, entry);
        }
    }
}

/// The calls of its own instance.
pub(crate) fn app(engine: Arc<Engine>) -> Router {
    Router::new()
        .route(REPORT, get(report))
        .route(ORDER, post(order))
        .route(&format!("{STAGE}/{{model}}"), put(stage))
        .route(&format!("{STAGED}/{{model}}"), get(staged))
        .with_state(engine)
}

async fn report(State(engine): State<Arc<Engine>>) -> Json<Value> {
    let models = engine.models();
    let inner = engine.lock();
    let (loading, orders, running) = (inner.next.is_some(), inner.orders, inner.running);
    Json(told(&models, Busy { loading, orders, running }))
}

/// Takes an order to load what is staged.
async fn order(State(engine): State<Arc<Engine>>, Json(order): Json<Value>) -> StatusCode {
    let Some(Order { version, expected, aborts }) = Order::read(&order) else {
        return StatusCode::BAD_REQUEST;
    };
    let mut inner = engine.lock();
    if inner.version == version {
        return StatusCode::OK;
    }
    let unexpected = expected.is_some_and(|expected| expected != inner.orders);
    if inner.next.is_some() || unexpected {
        return StatusCode::CONFLICT;
    }
    inner.next = Some(version);
    inner.orders += 1;
    if aborts {
        engine.cuts.send_modify(|cuts| *cuts += 1);
    }
    tokio::spawn(Arc::clone(&engine).load(version));
    StatusCode::ACCEPTED
}

async fn stage(
    State(engine): State<Arc<Engine>>,
    Path(_model): Path<String>,
    Query(query): Query<HashMap<String, usize>>,
    bytes: Bytes,
) -> StatusCode {
    let Some(number) = query.get(CHUNK) else { return StatusCode::BAD_REQUEST };
    engine.lock().staged.insert(*number, bytes);
    StatusCode::OK
}

async fn staged(
    State(engine): State<Arc<Engine>>,
    Path(_model): Path<String>,
    Query(query): Query<HashMap<String, usize>>,
) -> Result<Bytes, StatusCode> {
    let number = query.get(CHUNK).ok_or(StatusCode::BAD_REQUEST)?;
    engine.lock().staged.get(number).cloned().ok_or(StatusCode::NOT_FOUND)
}
