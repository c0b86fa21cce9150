//! Adapts a platform's origin to the interface that transfers fetch chunks through.

use std::ops::Range;
use std::sync::Arc;

use async_trait::async_trait;
use bytes::Bytes;
use cinderspoke_core::gateway::name::Model;
use cinderspoke_core::gateway::rollout::Version;
use cinderspoke_ports::gateway::Origin;
use cinderspoke_ports::{Error, Origin as Source};
use cinderspoke_types::digest::Digest;
use tokio::time::Instant;

/// The placeholder origin of the shared transfer context, which each transfer replaces.
pub(super) struct NoOrigin;

#[async_trait]
impl Source for NoOrigin {
    async fn read(&self, _manifest: Digest, _range: Range<u64>) -> Result<Bytes, Error> {
        Err(Error::NotFound)
    }
}

/// One version at an origin.
pub(super) struct VersionSource {
    pub(super) origin: Arc<dyn Origin>,
    pub(super) model: Model,
    pub(super) version: Version,
    /// The size of each chunk but the last, in bytes. The origin serves chunks by their index,
    /// which is computed from a byte range with it.
    pub(super) chunk_bytes: u64,
}

#[async_trait]
impl Source for VersionSource {
    async fn read(&self, _manifest: Digest, range: Range<u64>) -> Result<Bytes, Error> {
        let chunk = range.start.checked_div(self.chunk_bytes).unwrap_or_default();
        let chunk = usize::try_from(chunk).unwrap_or(usize::MAX);
        let began = Instant::now();
        let read = self.origin.chunk(&self.model, self.version, chunk).await;
        let (version, took_ms) = (self.version, began.elapsed().as_millis() as u64);
        // Usually a single agent of the service fetches a given chunk from the origin, so these
        // lines show when the origin stopped answering and which chunks had arrived by then.
        match &read {
            Ok(_) => tracing::info!(%version, chunk, took_ms, "fetched a chunk from the origin"),
            Err(error) => {
                tracing::info!(
                    %version,
                    chunk,
                    took_ms,
                    %error,
                    "failed to fetch a chunk from the origin"
                );
            }
        }
        read
    }
}
