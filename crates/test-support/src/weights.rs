//! The weight store's and the origin's stand-in, and the weights themselves.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use anyhow::Result;
use axum::extract::{Path, State};
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use axum::{Json, Router};
use bytes::Bytes;
use cinderspoke::util::pacer::Pacer;
use cinderspoke_core::configuration::Configuration;
use cinderspoke_core::manifest::Manifest;
use cinderspoke_types::digest::Digest;
use cinderspoke_types::id::{Model, Version};
use cinderspoke_types::rate::ByteRate;
use cinderspoke_types::size;
use http::{HeaderMap, StatusCode};
use tokio::time::sleep;

use crate::node::{Ground, Machine, Server};

/// The size of the chunks in the stand-in's manifests.
pub const CHUNK: size::Bytes = size::Bytes::new(256 << 10);

/// The weights of a version: the same ones each time for the same names and size.
#[must_use]
pub fn generate(model: &Model, version: &Version, size: size::Bytes) -> Bytes {
    let mut bytes = vec![0; size.as_usize()];
    let mut hasher = blake3::Hasher::new();
    hasher.update(format!("{model}@{version}").as_bytes());
    hasher.finalize_xof().fill(&mut bytes);
    bytes.into()
}

/// How the weight store and the origin misbehave.
#[derive(Debug, Clone, Default)]
pub struct Faults {
    /// The origin answers every call with 503.
    pub origin_down: bool,
    /// The weight store answers every call with 429.
    pub store_limited: bool,
    /// So many chunks from the origin arrive corrupt.
    pub corrupt: u32,
    /// Every answer of the origin comes this much later.
    pub slow: Duration,
}

/// What the origin has given.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Given {
    /// Answered reads of the origin.
    pub reads: u64,
    /// Bytes of weights.
    pub bytes: u64,
    /// Answered reads of the weight store.
    pub manifests: u64,
}

#[derive(Debug, Default)]
struct Catalogue {
    versions: BTreeMap<Digest, (Manifest, Bytes)>,
    faults: Faults,
    given: Given,
}

#[derive(Debug)]
struct Shared {
    catalogue: Mutex<Catalogue>,
    pacer: Pacer,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Catalogue> {
        self.catalogue.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The weight store's and the origin's stand-in, at one address.
#[derive(Debug)]
pub struct Weights {
    /// The listener.
    pub server: Server,
    shared: Arc<Shared>,
    chunk: size::Bytes,
}

impl Weights {
    /// Starts an origin whose link carries `rate`, with no weights, for chunks of a size.
    ///
    /// # Errors
    ///
    /// When it cannot listen.
    pub async fn spawn(
        ground: &Ground,
        rate: Option<ByteRate>,
        chunk: size::Bytes,
    ) -> Result<Self> {
        let shared = Arc::new(Shared { catalogue: Mutex::default(), pacer: Pacer::new(rate) });
        let app = Router::new()
            .route("/v1/manifests/{digest}", get(manifest))
            .route("/v1/weights/{digest}", get(range))
            .with_state(Arc::clone(&shared));
        let server = Server::spawn(ground, Machine::platform("weights"), app).await?;
        Ok(Self { server, shared, chunk })
    }

    /// Adds a version, and gives its manifest.
    pub fn add(&self, model: &Model, version: &Version, size: size::Bytes) -> Manifest {
        let bytes = generate(model, version, size);
        let manifest = Manifest::build(&bytes, self.chunk);
        self.shared.lock().versions.insert(manifest.digest(), (manifest.clone(), bytes));
        manifest
    }

    /// Adds all versions that a configuration declares.
    pub fn add_all(&self, configuration: &Configuration) {
        for model in configuration.models.values() {
            for version in &model.version {
                self.add(&model.name, &version.name, version.size);
            }
        }
    }

    /// The manifest of a version that was added.
    #[must_use]
    pub fn manifest(&self, digest: Digest) -> Option<Manifest> {
        self.shared.lock().versions.get(&digest).map(|(manifest, _)| manifest.clone())
    }

    /// What was given so far.
    #[must_use]
    pub fn given(&self) -> Given {
        self.shared.lock().given
    }

    /// Changes how it misbehaves.
    pub fn set_faults(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.shared.lock().faults);
    }
}

async fn manifest(State(shared): State<Arc<Shared>>, Path(digest): Path<Digest>) -> Response {
    let mut catalogue = shared.lock();
    if catalogue.faults.store_limited {
        return StatusCode::TOO_MANY_REQUESTS.into_response();
    }
    catalogue.given.manifests += 1;
    match catalogue.versions.get(&digest) {
        Some((manifest, _)) => Json(manifest.as_raw()).into_response(),
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

async fn range(
    State(shared): State<Arc<Shared>>,
    Path(digest): Path<Digest>,
    headers: HeaderMap,
) -> Result<Bytes, StatusCode> {
    let (bytes, slow) = {
        let catalogue = shared.lock();
        if catalogue.faults.origin_down {
            return Err(StatusCode::SERVICE_UNAVAILABLE);
        }
        let (_, bytes) = catalogue.versions.get(&digest).ok_or(StatusCode::NOT_FOUND)?;
        (bytes.clone(), catalogue.faults.slow)
    };
    let (start, end) = parse_range(&headers).ok_or(StatusCode::BAD_REQUEST)?;
    let bytes = bytes.get(start..=end).map(|part| bytes.slice_ref(part));
    let bytes = bytes.ok_or(StatusCode::RANGE_NOT_SATISFIABLE)?;
    sleep(slow).await;
    shared.pacer.acquire(size::Bytes::new(bytes.len() as u64)).await;
    let mut catalogue = shared.lock();
    catalogue.given.reads += 1;
    catalogue.given.bytes += bytes.len() as u64;
    if catalogue.faults.corrupt > 0 {
        catalogue.faults.corrupt -= 1;
        return Ok(corrupted(&bytes));
    }
    Ok(bytes)
}

fn parse_range(headers: &HeaderMap) -> Option<(usize, usize)> {
    let text = headers.get("range")?.to_str().ok()?.strip_prefix("bytes=")?;
    let (start, end) = text.split_once('-')?;
    Some((start.parse().ok()?, end.parse().ok()?))
}

fn corrupted(bytes: &Bytes) -> Bytes {
    let mut bytes = bytes.to_vec();
    if let Some(first) = bytes.first_mut() {
        *first ^= 1;
    }
    bytes.into()
}
