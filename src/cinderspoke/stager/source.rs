//! Origins, in the form in which transfers draw from them.

use std::ops::Range;
use std::sync::Arc;

use async_trait::async_trait;
use bytes::Bytes;
use cinderspoke_core::gateway::name::Model;
use cinderspoke_core::gateway::rollout::Version;
use cinderspoke_core::manifest::Manifest;
use cinderspoke_ports::gateway::Origin;
use cinderspoke_ports::{Error, Origin as Source};
use cinderspoke_types::digest::Digest;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::agent::shelf::Shelf;

/// Stands where transfers have no origin of their own.
pub(super) struct NoOrigin;

#[async_trait]
impl Source for NoOrigin {
    async fn read(&self, _manifest: Digest, _range: Range<u64>) -> Result<Bytes, Error> {
        Err(Error::Missing)
    }
}

/// One version at the origins.
pub(super) struct VersionSource {
    pub(super) origin: Arc<dyn Origin>,
    pub(super) model: Model,
    pub(super) version: Version,
    /// Chunks are asked for by their number.
    pub(super) manifest: Manifest,
    /// Where a chunk goes for which nobody waits any more.
    pub(super) shelf: Arc<Shelf>,
}

#[async_trait]
impl Source for VersionSource {
    async fn read(&self, _manifest: Digest, range: Range<u64>) -> Result<Bytes, Error> {
        let chunk_bytes = self.manifest.as_raw().chunk_size.as_u64();
        let number = range.start.checked_div(chunk_bytes).unwrap_or_default();
        let number = usize::try_from(number).unwrap_or(usize::MAX);
        let (sender, receiver) = oneshot::channel();
        let (origin, model, version) = (Arc::clone(&self.origin), self.model.clone(), self.version);
        let (manifest, shelf) = (self.manifest.clone(), Arc::clone(&self.shelf));
        // Goes on when the version is given up: the origin's link has carried most of
        // the chunk, and it may be the one that all agents together lack.
        tokio::spawn(async move {
            let read = read(origin.as_ref(), &model, version, number).await;
            if let Err(Ok(bytes)) = sender.send(read) {
                keep(&shelf, &manifest, number, bytes);
            }
        });
        let Ok(read) = receiver.await else {
            return Err(Error::Unavailable("the read was ended".into()));
        };
        read
    }
}

/// Reads a chunk. One line for each among all agents tells when the origin fell
/// silent, and what had come until then.
async fn read(
    origin: &dyn Origin,
    model: &Model,
    version: Version,
    chunk: usize,
) -> Result<Bytes, Error> {
    let began = Instant::now();
    let read = origin.chunk(model, version, chunk).await;
    let took_ms = began.elapsed().as_millis() as u64;
    match &read {
        Ok(_) => tracing::info!(%version, chunk, took_ms, "the origin gave a chunk"),
        Err(error) => tracing::info!(%version, chunk, took_ms, %error, "the origin gave no chunk"),
    }
    read
}

/// Keeps a chunk, if it is the right one and its version is still held.
fn keep(shelf: &Shelf, manifest: &Manifest, number: usize, bytes: Bytes) {
    let digest = manifest.algorithm().chunk(&bytes);
    if manifest.chunk(number) == Some(digest) && shelf.progress(manifest.digest()).is_some() {
        shelf.put(digest, bytes);
    }
}
