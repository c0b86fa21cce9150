//! What an agent gives to peers: chunks, and word of which it holds.

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

use super::cache::Cache;
use crate::util::metrics::WEIGHTS_UPLOADED;
use crate::util::pacer::Pacer;

/// The longest that a peer may wait for more chunks.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// What gives chunks to peers.
#[derive(Debug)]
pub struct Uploader {
    cache: Arc<Cache>,
    pacer: Arc<Pacer>,
    // One permit for each chunk that may be given at once.
    uploads: Semaphore,
    // How long a peer waits for a permit before it is sent elsewhere.
    queue: Duration,
}

impl Uploader {
    /// Gives chunks of a cache, so many at once; others wait so long.
    #[must_use]
    pub fn new(cache: Arc<Cache>, pacer: Arc<Pacer>, uploads: usize, queue: Duration) -> Self {
        Self { cache, pacer, uploads: Semaphore::new(uploads), queue }
    }

    /// A permit to give a chunk; none when others take too long.
    async fn permit(&self) -> Option<SemaphorePermit<'_>> {
        if self.queue.is_zero() {
            return self.uploads.try_acquire().ok();
        }
        timeout(self.queue, self.uploads.acquire()).await.ok()?.ok()
    }
}

/// What peers may ask.
pub fn app(uploader: Arc<Uploader>) -> Router {
    Router::new()
        .route("/v1/chunks/{digest}", get(chunk))
        .route("/v1/holdings/{manifest}", get(holdings))
        .with_state(uploader)
}

/// How long a peer waits for a chunk that is not held yet.
#[derive(Debug, Deserialize)]
pub struct ChunkQuery {
    wait_ms: Option<u64>,
}

/// Gives a chunk; 503 says that others are being given at the moment.
pub async fn chunk(
    State(uploader): State<Arc<Uploader>>,
    Path(digest): Path<Digest>,
    Query(query): Query<ChunkQuery>,
) -> Result<Bytes, StatusCode> {
    if let Some(wait) = query.wait_ms {
        let wait = Duration::from_millis(wait).min(MAX_WAIT);
        // When the wait is over, the chunk is not found below.
        let _ = timeout(wait, uploader.cache.wait_for(digest)).await;
        let _upload =
            uploader.uploads.acquire().await.map_err(|_| StatusCode::SERVICE_UNAVAILABLE)?;
        return give(&uploader, digest).await;
    }
    let _upload = uploader.permit().await.ok_or(StatusCode::SERVICE_UNAVAILABLE)?;
    give(&uploader, digest).await
}

async fn give(uploader: &Uploader, digest: Digest) -> Result<Bytes, StatusCode> {
    let bytes = uploader.cache.serve(digest).ok_or(StatusCode::NOT_FOUND)?;
    let length = bytes.len() as u64;
    uploader.pacer.acquire(size::Bytes::new(length)).await;
    counter!(WEIGHTS_UPLOADED).increment(length);
    Ok(bytes)
}

/// Which holdings a peer knows already, and how long it waits for newer ones.
#[derive(Debug, Deserialize)]
pub struct HoldingsQuery {
    after: u64,
    wait_ms: u64,
}

/// Tells which chunks of a version are held, as soon as there are newer ones.
pub async fn holdings(
    State(uploader): State<Arc<Uploader>>,
    Path(manifest): Path<Digest>,
    Query(query): Query<HoldingsQuery>,
) -> Result<Json<Holdings>, StatusCode> {
    let (holdings, mut revision) =
        uploader.cache.holdings(manifest).ok_or(StatusCode::NOT_FOUND)?;
    if holdings.revision != query.after {
        return Ok(Json(holdings));
    }
    let wait = Duration::from_millis(query.wait_ms).min(MAX_WAIT);
    // Whether it changed or the wait is over, the newest holdings are told.
    let _ = timeout(wait, revision.changed()).await;
    let (holdings, _) = uploader.cache.holdings(manifest).ok_or(StatusCode::NOT_FOUND)?;
    Ok(Json(holdings))
}
