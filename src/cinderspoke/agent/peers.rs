//! Serves chunks, and the list of chunks that are held, to peers.

use std::sync::Arc;
use std::time::Duration;

use axum::extract::{Path, Query, State};
use axum::routing::get;
use axum::{Json, Router};
use bytes::Bytes;
use cinderspoke_schema::control::Holdings;
use cinderspoke_types::digest::Digest;
use cinderspoke_types::size;
use http::StatusCode;
use metrics::counter;
use serde::Deserialize;
use tokio::sync::{Semaphore, SemaphorePermit};
use tokio::time::timeout;

use super::cache::{Cache, Lookup};
use crate::util::metrics::WEIGHTS_UPLOADED;
use crate::util::pacer::Pacer;

/// The maximum wait that a peer may request.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// Serves chunks to peers, with limited concurrency and rate.
#[derive(Debug)]
pub struct Uploader {
    cache: Arc<Cache>,
    pacer: Arc<Pacer>,
    // One permit for each concurrent upload.
    uploads: Semaphore,
    // How long a request waits for a permit before it is refused.
    queue_timeout: Duration,
}

impl Uploader {
    /// Creates an uploader of a cache's chunks with at most `uploads` at once; further requests
    /// wait for at most `queue_timeout`.
    #[must_use]
    pub fn new(
        cache: Arc<Cache>,
        pacer: Arc<Pacer>,
        uploads: usize,
        queue_timeout: Duration,
    ) -> Self {
        Self { cache, pacer, uploads: Semaphore::new(uploads), queue_timeout }
    }

    /// Acquires a permit for an upload; `None` when none is free within the queue timeout.
    async fn permit(&self) -> Option<SemaphorePermit<'_>> {
        if self.queue_timeout.is_zero() {
            return self.uploads.try_acquire().ok();
        }
        timeout(self.queue_timeout, self.uploads.acquire()).await.ok()?.ok()
    }
}

/// The routes that peers request.
pub fn app(uploader: Arc<Uploader>) -> Router {
    Router::new()
        .route("/v1/chunks/{digest}", get(chunk))
        .route("/v1/versions/{version}/chunks/{chunk}", get(listed_chunk))
        .route("/v1/holdings/{version}", get(holdings))
        .with_state(uploader)
}

/// The query parameters of a request for a chunk.
#[derive(Debug, Deserialize)]
pub struct ChunkQuery {
    // How long to wait for a chunk that is not held yet.
    wait_ms: Option<u64>,
}

/// Serves a chunk; 503 when too many uploads are in progress, 404 when it is not held.
pub async fn chunk(
    State(uploader): State<Arc<Uploader>>,
    Path(digest): Path<Digest>,
    Query(query): Query<ChunkQuery>,
) -> Result<Bytes, StatusCode> {
    if let Some(wait) = query.wait_ms {
        let wait = Duration::from_millis(wait).min(MAX_WAIT);
        // After a timeout, the lookup in `upload` returns 404.
        let _ = timeout(wait, uploader.cache.wait_for(digest)).await;
        let _upload =
            uploader.uploads.acquire().await.map_err(|_| StatusCode::SERVICE_UNAVAILABLE)?;
        return upload(&uploader, digest).await;
    }
    let _upload = uploader.permit().await.ok_or(StatusCode::SERVICE_UNAVAILABLE)?;
    upload(&uploader, digest).await
}

async fn upload(uploader: &Uploader, digest: Digest) -> Result<Bytes, StatusCode> {
    let bytes = uploader.cache.serve(digest).ok_or(StatusCode::NOT_FOUND)?;
    Ok(pace(uploader, bytes).await)
}

/// Waits until an upload's bytes may be sent.
async fn pace(uploader: &Uploader, bytes: Bytes) -> Bytes {
    let length = bytes.len() as u64;
    uploader.pacer.acquire(size::Bytes::new(length)).await;
    counter!(WEIGHTS_UPLOADED).increment(length);
    bytes
}

/// The query parameters of a request for a chunk of a version that an origin has listed.
#[derive(Debug, Deserialize)]
pub struct ListedChunkQuery {
    // The digest that the peer's listing has.
    digest: Digest,
    // How long to wait for a chunk that is not held yet.
    wait_ms: Option<u64>,
}

/// Serves a chunk that is proven to be the one of a version with this number; 503 when too many
/// uploads are in progress, 404 when it is not held, 409 when another one is proven to be there.
pub async fn listed_chunk(
    State(uploader): State<Arc<Uploader>>,
    Path((version, chunk)): Path<(Digest, usize)>,
    Query(query): Query<ListedChunkQuery>,
) -> Result<Bytes, StatusCode> {
    let digest = query.digest;
    let _upload = match query.wait_ms {
        Some(wait) => {
            let wait = Duration::from_millis(wait).min(MAX_WAIT);
            // After a timeout, the lookup below returns 404.
            let _ = timeout(wait, uploader.cache.wait_for_chunk(version, chunk, digest)).await;
            uploader.uploads.acquire().await.map_err(|_| StatusCode::SERVICE_UNAVAILABLE)?
        }
        None => uploader.permit().await.ok_or(StatusCode::SERVICE_UNAVAILABLE)?,
    };
    match uploader.cache.serve_chunk(version, chunk, digest) {
        Lookup::Held(bytes) => Ok(pace(&uploader, bytes).await),
        Lookup::Missing => Err(StatusCode::NOT_FOUND),
        Lookup::Other => Err(StatusCode::CONFLICT),
    }
}

/// The query parameters of a request for holdings.
#[derive(Debug, Deserialize)]
pub struct HoldingsQuery {
    // The revision that the peer knows; 0 for none.
    after: u64,
    // How long to wait for a newer revision.
    wait_ms: u64,
}

/// Serves the chunks held of a version, as soon as they differ from the peer's revision.
pub async fn holdings(
    State(uploader): State<Arc<Uploader>>,
    Path(version): Path<Digest>,
    Query(query): Query<HoldingsQuery>,
) -> Result<Json<Holdings>, StatusCode> {
    let (holdings, mut revision) = uploader.cache.holdings(version).ok_or(StatusCode::NOT_FOUND)?;
    if holdings.revision != query.after {
        return Ok(Json(holdings));
    }
    let wait = Duration::from_millis(query.wait_ms).min(MAX_WAIT);
    // The newest holdings are served also when the wait times out.
    let _ = timeout(wait, revision.changed()).await;
    let (holdings, _) = uploader.cache.holdings(version).ok_or(StatusCode::NOT_FOUND)?;
    Ok(Json(holdings))
}
