//! Drawing one chunk from the origin or a peer.

use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context as _, Result};
use bytes::Bytes;
use cinderspoke_core::gateway::link::Observation;
use cinderspoke_core::transfer::{Fetching, Source, Transfer};
use cinderspoke_types::digest::Digest;
use cinderspoke_types::size;

use super::transfer::Context;
use crate::util::http::{Call, Error};

/// How long a peer may take to give a chunk.
const CHUNK_TIMEOUT: Duration = Duration::from_secs(20);

/// How long a peer is asked to wait for a chunk that it does not hold yet.
const AWAIT: Duration = Duration::from_secs(5);

/// The slowest link over which a chunk is waited for, in bytes a second.
const SLOWEST: u64 = 100_000;

/// How long peers may take to answer.
#[derive(Debug, Clone, Copy)]
pub struct Timeouts {
    /// To give a chunk that they hold, however small it is.
    pub chunk: Duration,
    /// To have a chunk that they do not hold yet.
    pub wait: Duration,
}

impl Default for Timeouts {
    /// Timeouts for chunks of megabytes.
    fn default() -> Self {
        Self { chunk: CHUNK_TIMEOUT, wait: AWAIT }
    }
}

impl Timeouts {
    /// How long a peer may take to give a chunk of a length: a large one is on its way for
    /// longer, and would never be whole by the time that suffices for a small one.
    #[must_use]
    pub fn for_chunk(&self, length: size::Bytes) -> Duration {
        let carried = length.as_u64().saturating_mul(1000) / SLOWEST;
        self.chunk.max(Duration::from_millis(carried))
    }
}

/// A chunk that was asked for, and what came.
pub(super) struct Fetched {
    /// The chunk.
    pub(super) chunk: usize,
    /// Who was asked.
    pub(super) source: Source,
    /// The bytes and their digest.
    pub(super) result: Result<(Digest, Bytes)>,
    /// How long it was on its way; none where it was waited for.
    pub(super) took: Option<Duration>,
    /// What the request indicates about this instance's link.
    pub(super) observation: Observation,
}

/// What is asked of a source.
struct Request {
    manifest: Digest,
    // None for a chunk that the manifest does not have.
    digest: Option<Digest>,
    range: Range<u64>,
    // Where the peer answers; none for the origin, and for a peer that has left.
    address: Option<SocketAddr>,
    // Whether the peer has yet to have the chunk itself.
    awaited: bool,
}

/// Draws one chunk, and hashes what came.
pub(super) fn fetch(
    context: Arc<Context>,
    transfer: &Transfer<Fetching>,
    chunk: usize,
    source: Source,
    awaited: bool,
) -> impl Future<Output = Fetched> + use<> {
    let manifest = transfer.manifest();
    let algorithm = manifest.algorithm();
    let mut peers = transfer.swarm().peers();
    let peer = match &source {
        Source::Origin => None,
        Source::Peer(peer) => peers.find(|known| known.instance == *peer),
    };
    let request = Request {
        manifest: manifest.digest(),
        digest: manifest.chunk(chunk),
        range: manifest.range(chunk),
        address: peer.map(|peer| peer.address),
        awaited,
    };
    async move {
        let began = context.clock.now();
        let bytes = match source {
            Source::Origin => from_origin(&context, request).await,
            Source::Peer(_) => from_peer(&context, request).await,
        };
        let elapsed = context.clock.now().saturating_sub(began);
        let observation = match source {
            // A slow or failed origin request may be due to the origin's own link.
            Source::Origin => Observation::Inconclusive,
            Source::Peer(_) => {
                observe_peer(&bytes, elapsed, awaited.then_some(context.timeouts.wait))
            }
        };
        let result = bytes.map(|bytes| (algorithm.chunk(&bytes), bytes));
        let took = (!awaited).then_some(elapsed);
        Fetched { chunk, source, result, took, observation }
    }
}

/// Derives a link observation from a chunk request to a peer. `wait` is how long the peer was
/// asked to wait for a chunk that it did not hold yet.
fn observe_peer(result: &Result<Bytes>, elapsed: Duration, wait: Option<Duration>) -> Observation {
    let Err(error) = result else {
        // How long the peer waited for an awaited chunk is unknown.
        return match wait {
            Some(_) => Observation::Inconclusive,
            None => Observation::ResponseTime(elapsed),
        };
    };
    match error.downcast_ref::<Error>() {
        // Error statuses and failed connections are judged by response time, like chunks.
        Some(Error::Status(..)) => {
            Observation::ResponseTime(elapsed.saturating_sub(wait.unwrap_or_default()))
        }
        Some(Error::Connect(..)) => Observation::ResponseTime(elapsed),
        Some(_) => Observation::NoResponse,
        // No request was sent.
        None => Observation::Inconclusive,
    }
}

/// Draws a chunk from the origin.
async fn from_origin(context: &Context, request: Request) -> Result<Bytes> {
    let Request { manifest, range, .. } = request;
    context.pacer.acquire(length(&range)).await;
    Ok(context.origin.read(manifest, range).await?)
}

/// Draws a chunk from a peer, or waits there until the peer has it.
async fn from_peer(context: &Context, request: Request) -> Result<Bytes> {
    let Request { digest, range, address, awaited, .. } = request;
    if !awaited {
        context.pacer.acquire(length(&range)).await;
    }
    let address = address.context("the peer has left")?;
    let digest = digest.context("no such chunk")?;
    let wait = if awaited { context.timeouts.wait } else { Duration::ZERO };
    let query = if awaited { format!("?wait_ms={}", wait.as_millis()) } else { String::new() };
    let call = Call::get(address, format!("/v1/chunks/{digest}{query}"));
    let call = call.limit(usize::MAX).timeout(wait + context.timeouts.for_chunk(length(&range)));
    let bytes = context.client.fetch(call).await?;
    if awaited {
        // When it would come was not known before.
        context.pacer.acquire(length(&range)).await;
    }
    Ok(bytes)
}

/// How many bytes of the weights a chunk has.
fn length(range: &Range<u64>) -> size::Bytes {
    size::Bytes::new(range.end - range.start)
}
