//! The platform's stand-in: the object API and the list of instances.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use anyhow::Result;
use axum::extract::{Path, Query, State};
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use axum::{Json, Router};
use cinderspoke::ports::http::{Write, Written};
use cinderspoke::ports::{Expect, Listed, Listing, Object};
use cinderspoke::util::signal::Signal;
use cinderspoke_types::counter::Revision;
use cinderspoke_types::id::Zone;
use http::StatusCode;
use serde::Deserialize;
use tokio::time::{Instant, sleep, timeout};

use crate::node::{Ground, Machine, Server};

/// The largest value, in bytes.
const MAX_VALUE: usize = 1_000_000;

/// How the platform misbehaves.
#[derive(Debug, Clone, Default)]
pub struct Faults {
    /// Every call is answered with 503.
    pub down: bool,
    /// Every answer comes this much later.
    pub slow: Duration,
    /// The next write to a key with this prefix takes effect and is then answered with 503.
    pub lose_reply_to: Option<String>,
    /// Changes of the list of instances show this much later.
    pub list_lag: Duration,
    /// Watches never answer.
    pub watches_dead: bool,
    /// How often the connections of watches have gone silent: watches that were made
    /// before never answer, later ones do.
    pub silences: u32,
}

/// How often the platform was called; a waiting watch counts as one call.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Calls {
    /// Calls that read, list or watch.
    pub reads: u64,
    /// Calls that write or remove.
    pub writes: u64,
}

#[derive(Debug, Default)]
struct Store {
    objects: BTreeMap<String, Object>,
    revision: u64,
    // Each list with the time from which on it shows; the last that does counts.
    instances: Vec<(Instant, Vec<Listed>)>,
    faults: Faults,
    calls: Calls,
}

/// What the stand-in's tasks share.
#[derive(Debug)]
struct Shared {
    store: Mutex<Store>,
    changed: Signal,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Store> {
        self.store.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The platform's stand-in.
#[derive(Debug)]
pub struct Platform {
    /// The listener; killing it cuts every connection, but loses no object.
    pub server: Server,
    shared: Arc<Shared>,
}

impl Platform {
    /// Starts a platform with no objects.
    ///
    /// # Errors
    ///
    /// When it cannot listen.
    pub async fn spawn(ground: &Ground) -> Result<Self> {
        let shared = Arc::new(Shared { store: Mutex::default(), changed: Signal::default() });
        let server =
            Server::spawn(ground, Machine::platform("platform"), app(Arc::clone(&shared))).await?;
        Ok(Self { server, shared })
    }

    /// Changes how it misbehaves.
    pub fn set_faults(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.shared.lock().faults);
    }

    /// Sets the list of instances.
    pub fn set_instances(&self, instances: Vec<Listed>) {
        let mut store = self.shared.lock();
        let shows = Instant::now() + store.faults.list_lag;
        store.instances.push((shows, instances));
    }

    /// How often it was called.
    #[must_use]
    pub fn calls(&self) -> Calls {
        self.shared.lock().calls
    }

    /// An object's value.
    #[must_use]
    pub fn value(&self, key: &str) -> Option<String> {
        self.shared.lock().objects.get(key)?.value.clone()
    }
}

fn app(shared: Arc<Shared>) -> Router {
    Router::new()
        .route("/v1/objects/{*key}", get(read).put(write).delete(remove))
        .route("/v1/list", get(list))
        .route("/v1/watch", get(watch_objects))
        .route("/v1/instances", get(instances))
        .layer(axum::extract::DefaultBodyLimit::max(4 * MAX_VALUE))
        .with_state(shared)
}

/// Whether a call reads or writes.
enum Kind {
    Read,
    Write,
}

/// Counts a call, and lets it be as slow as asked; an error when it is down.
async fn enter(shared: &Shared, kind: Kind) -> Result<(), StatusCode> {
    let slow = {
        let mut store = shared.lock();
        match kind {
            Kind::Read => store.calls.reads += 1,
            Kind::Write => store.calls.writes += 1,
        }
        if store.faults.down {
            return Err(StatusCode::SERVICE_UNAVAILABLE);
        }
        store.faults.slow
    };
    sleep(slow).await;
    Ok(())
}

async fn read(
    State(shared): State<Arc<Shared>>,
    Path(key): Path<String>,
) -> Result<Json<Object>, StatusCode> {
    enter(&shared, Kind::Read).await?;
    let object = shared.lock().objects.get(&key).filter(|object| object.value.is_some()).cloned();
    object.map(Json).ok_or(StatusCode::NOT_FOUND)
}

async fn write(
    State(shared): State<Arc<Shared>>,
    Path(key): Path<String>,
    Json(write): Json<Write>,
) -> Result<Response, StatusCode> {
    enter(&shared, Kind::Write).await?;
    if write.value.len() > MAX_VALUE {
        return Err(StatusCode::PAYLOAD_TOO_LARGE);
    }
    let (revision, lost) = {
        let mut store = shared.lock();
        store.check(&key, write.expect)?;
        let revision = store.put(&key, Some(write.value));
        let lost =
            store.faults.lose_reply_to.take_if(|prefix| key.starts_with(prefix.as_str())).is_some();
        (revision, lost)
    };
    shared.changed.raise();
    if lost {
        Err(StatusCode::SERVICE_UNAVAILABLE)
    } else {
        Ok(Json(Written { revision }).into_response())
    }
}

async fn remove(
    State(shared): State<Arc<Shared>>,
    Path(key): Path<String>,
) -> Result<StatusCode, StatusCode> {
    enter(&shared, Kind::Write).await?;
    {
        let mut store = shared.lock();
        if store.objects.get(&key).is_none_or(|object| object.value.is_none()) {
            return Err(StatusCode::NOT_FOUND);
        }
        store.put(&key, None);
    }
    shared.changed.raise();
    Ok(StatusCode::NO_CONTENT)
}

impl Store {
    fn check(&self, key: &str, expect: Expect) -> Result<(), StatusCode> {
        let current = self.objects.get(key).filter(|object| object.value.is_some());
        let met = match expect {
            Expect::Any => true,
            Expect::Absent => current.is_none(),
            Expect::Revision(revision) => current.is_some_and(|object| object.revision == revision),
        };
        if met { Ok(()) } else { Err(StatusCode::CONFLICT) }
    }

    fn put(&mut self, key: &str, value: Option<String>) -> Revision {
        self.revision += 1;
        let revision = Revision::new(self.revision);
        let object = Object { key: key.into(), revision, value };
        self.objects.insert(key.into(), object);
        revision
    }

    fn select(&self, prefix: &str, after: Revision) -> Listing {
        let wanted = |object: &&Object| object.key.starts_with(prefix) && object.revision > after;
        let mut objects: Vec<_> = self.objects.values().filter(wanted).cloned().collect();
        objects.sort_by_key(|object| object.revision);
        Listing { revision: Revision::new(self.revision), objects }
    }
}

#[derive(Debug, Deserialize)]
struct Prefix {
    prefix: String,
}

async fn list(
    State(shared): State<Arc<Shared>>,
    Query(query): Query<Prefix>,
) -> Result<Json<Listing>, StatusCode> {
    enter(&shared, Kind::Read).await?;
    let mut listing = shared.lock().select(&query.prefix, Revision::default());
    listing.objects.retain(|object| object.value.is_some());
    Ok(Json(listing))
}

#[derive(Debug, Deserialize)]
struct Watch {
    prefix: String,
    after: Revision,
    wait_ms: u64,
}

async fn watch_objects(
    State(shared): State<Arc<Shared>>,
    Query(query): Query<Watch>,
) -> Result<Json<Listing>, StatusCode> {
    enter(&shared, Kind::Read).await?;
    let mut changed = shared.changed.subscribe();
    let silences = shared.lock().faults.silences;
    let is_dead = |faults: &Faults| faults.watches_dead || faults.silences != silences;
    let wait = async {
        loop {
            let (listing, dead) = {
                let store = shared.lock();
                (store.select(&query.prefix, query.after), is_dead(&store.faults))
            };
            if !listing.objects.is_empty() && !dead {
                return listing;
            }
            changed.changed().await;
        }
    };
    match timeout(Duration::from_millis(query.wait_ms), wait).await {
        Ok(listing) => Ok(Json(listing)),
        Err(_) if is_dead(&shared.lock().faults) => std::future::pending().await,
        Err(_) => Ok(Json(Listing { revision: query.after, objects: Vec::new() })),
    }
}

#[derive(Debug, Deserialize)]
struct InZone {
    zone: Zone,
}

async fn instances(
    State(shared): State<Arc<Shared>>,
    Query(query): Query<InZone>,
) -> Result<Json<Vec<Listed>>, StatusCode> {
    enter(&shared, Kind::Read).await?;
    let now = Instant::now();
    let listed = {
        let store = shared.lock();
        let shown = store.instances.iter().rfind(|(shows, _)| *shows <= now);
        shown.map(|(_, listed)| listed.clone()).unwrap_or_default()
    };
    Ok(Json(listed.into_iter().filter(|listed| listed.zone == query.zone).collect()))
}
