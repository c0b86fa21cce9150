//! Fetches one chunk from the origin or a peer.

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
use http::StatusCode;

use super::transfer::Context;
use crate::util::http::{Call, Error, Path};

/// Default timeout for a chunk from a peer.
const CHUNK_TIMEOUT: Duration = Duration::from_secs(20);

/// By default, how long a peer waits for a chunk that it does not hold yet.
const PEER_WAIT: Duration = Duration::from_secs(5);

/// The slowest link for which the timeout of a chunk suffices, in bytes per second.
const MIN_LINK_RATE: u64 = 100_000;

/// Timeouts of requests for chunks to peers.
#[derive(Debug, Clone, Copy)]
pub struct Timeouts {
    /// The timeout for a chunk that the peer holds, however small the chunk is.
    pub chunk: Duration,
    /// How long the peer waits for a chunk that it does not hold yet.
    pub wait: Duration,
}

impl Default for Timeouts {
    /// Timeouts for chunks of some megabytes.
    fn default() -> Self {
        Self { chunk: CHUNK_TIMEOUT, wait: PEER_WAIT }
    }
}

impl Timeouts {
    /// The timeout for a chunk of a given length: the transfer of a large chunk takes longer, and
    /// would never complete within the time that suffices for a small one.
    #[must_use]
    pub fn for_chunk(&self, length: size::Bytes) -> Duration {
        let transfer_ms = length.as_u64().saturating_mul(1000) / MIN_LINK_RATE;
        self.chunk.max(Duration::from_millis(transfer_ms))
    }
}

/// The result of a request for a chunk.
pub(super) struct Fetched {
    /// The index of the chunk.
    pub(super) chunk: usize,
    /// The source that was requested.
    pub(super) source: Source,
    /// The address of the peer that was requested; none for the origin.
    pub(super) address: Option<SocketAddr>,
    /// The bytes and their digest.
    pub(super) result: Result<(Digest, Bytes)>,
    /// How long the request took; none if the peer was asked to wait for the chunk.
    pub(super) took: Option<Duration>,
    /// What the request indicates about this instance's link.
    pub(super) observation: Observation,
}

/// A request for a chunk to a source.
struct Request {
    // Identifies the version.
    version: Digest,
    chunk: usize,
    // Whether peers have to have proven the chunk as one of the version.
    is_listed: bool,
    // None for a chunk that the manifest does not have.
    digest: Option<Digest>,
    range: Range<u64>,
    // The peer's address; none for the origin, and for a peer that has left the swarm.
    address: Option<SocketAddr>,
    // Whether the peer does not hold the chunk yet and is asked to wait for it.
    awaited: bool,
}

/// Fetches one chunk and hashes it.
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
        version: manifest.version(),
        chunk,
        is_listed: manifest.is_listed(),
        digest: manifest.chunk(chunk),
        range: manifest.range(chunk),
        address: peer.map(|peer| peer.address),
        awaited,
    };
    let address = request.address;
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
        Fetched { chunk, source, address, result, took, observation }
    }
}

/// Whether a peer has proven another chunk in the place of the requested one.
pub(super) fn is_other_chunk(error: &anyhow::Error) -> bool {
    let status = error.downcast_ref::<Error>().and_then(Error::status);
    status == Some(StatusCode::CONFLICT)
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
        // No request was sent.
        Some(Error::Invalid(..)) | None => Observation::Inconclusive,
        Some(_) => Observation::NoResponse,
    }
}

/// Fetches a chunk from the origin.
async fn from_origin(context: &Context, request: Request) -> Result<Bytes> {
    let Request { version, range, .. } = request;
    context.pacer.acquire(length(&range)).await;
    Ok(context.origin.read(version, range).await?)
}

/// Fetches a chunk from a peer, which waits for the chunk first if it is `awaited`.
async fn from_peer(context: &Context, request: Request) -> Result<Bytes> {
    let Request { range, address, awaited, .. } = &request;
    let (range, awaited) = (range.clone(), *awaited);
    if !awaited {
        context.pacer.acquire(length(&range)).await;
    }
    let address = address.context("the peer has left the swarm")?;
    let wait = if awaited { context.timeouts.wait } else { Duration::ZERO };
    let call = Call::get(address, path_at_peer(&request, wait)?);
    let call = call
        .limit(length(&range).as_usize())
        .timeout(wait + context.timeouts.for_chunk(length(&range)));
    let bytes = context.client.fetch(call).await?;
    if awaited {
        // Paced only now, since the time of the transfer was not known in advance.
        context.pacer.acquire(length(&range)).await;
    }
    Ok(bytes)
}

/// The path of a chunk at a peer, which waits so long for a chunk that it does not hold yet.
fn path_at_peer(request: &Request, wait: Duration) -> Result<Path> {
    let Request { version, chunk, is_listed, digest, .. } = request;
    let digest = digest.context("the manifest has no such chunk")?;
    let path = match is_listed {
        true => {
            let version = Path::from("/v1/versions").segment(version);
            version.segment("chunks").segment(chunk).pair("digest", digest)
        }
        false => Path::from("/v1/chunks").segment(digest),
    };
    Ok(if wait.is_zero() { path } else { path.pair("wait_ms", wait.as_millis()) })
}

/// The length of a chunk.
fn length(range: &Range<u64>) -> size::Bytes {
    size::Bytes::new(range.end - range.start)
}
