//! Executes transfers: fetches chunks as [`cinderspoke_core::transfer`] decides.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use anyhow::{Context as _, Result};
use bytes::Bytes;
use cinderspoke_core::gateway::link::Link;
use cinderspoke_core::manifest::{Algorithm, Hasher, Manifest};
use cinderspoke_core::swarm::Swarm;
use cinderspoke_core::transfer::{
    Arrival, Fetching, Limits, Policy, Source, Step, Transfer, Verified,
};
use cinderspoke_schema::control::Peer;
use cinderspoke_types::digest::Digest;
use cinderspoke_types::rate::ByteRate;
use metrics::counter;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::{interval, sleep};

use super::cache::Cache;
use super::fetch::{Fetched, Timeouts, fetch, is_other_chunk};
use super::finding::{Finding, Findings};
use super::holdings::{Followers, PeerHoldings};
use crate::ports::{Error, Origin, WeightStore};
use crate::util::clock::Clock;
use crate::util::http::Client;
use crate::util::metrics::{CORRUPT, WEIGHTS_FETCHED};
use crate::util::pacer::Pacer;

/// How often a waiting transfer checks for its next step.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// How often a waiting transfer checks for its next step if fetches from the origin are spaced.
const SPACED_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The first back-off after a weight store did not answer.
const MIN_BACKOFF: Duration = Duration::from_millis(100);

/// The longest back-off after a weight store did not answer.
const MAX_BACKOFF: Duration = Duration::from_secs(5);

/// The part of the fallback timeout that does not depend on the size of the weights.
const BASE_FALLBACK_TIMEOUT: Duration = Duration::from_secs(2);

/// The share of the fallback timeout that remains when bytes from the origin cost nothing.
const MIN_FALLBACK_SHARE: f64 = 0.2;

/// The assumed rate of a link whose rate is not set, in bytes per second.
const DEFAULT_LINK_RATE: u64 = 64 << 20;

/// The dependencies and limits of transfers, shared by all transfers of an agent.
pub struct Context {
    /// The cache that chunks are inserted into.
    pub cache: Arc<Cache>,
    /// The source of chunks that no peer holds yet.
    pub origin: Arc<dyn Origin>,
    /// The client for calls to peers.
    pub client: Client,
    /// Keeps transfers below the link's rate.
    pub pacer: Arc<Pacer>,
    /// The policy by which chunks are chosen.
    pub policy: Policy,
    /// The rate of the instance's link, if known.
    pub link_rate: Option<ByteRate>,
    /// The most chunks fetched at once.
    pub max_downloads: usize,
    /// The most chunks fetched from the origin at once.
    pub max_origin_downloads: usize,
    /// The time that the origin's link takes for a chunk; zero if fetches need not be spaced.
    pub origin_spacing: Duration,
    /// How long no chunk is requested from a source after it failed.
    pub source_backoff: Duration,
    /// Timeouts of requests to peers.
    pub timeouts: Timeouts,
    /// The time of a chunk above which the link is considered slower than it should be.
    pub slow_chunk: Option<Duration>,
    /// The state of the instance's link, as requests for chunks observe it.
    pub link: Arc<Mutex<Link>>,
    /// How long a transfer waits for its neighbours' holdings before it starts to fetch.
    pub initial_holdings_wait: Duration,
    /// The agent's clock.
    pub clock: Clock,
    /// When the chunks were first collected, if that was by an earlier listing: the schedule for
    /// the origin goes on.
    pub began: Option<Duration>,
    /// Receives what speaks against the listing of the chunks.
    pub findings: Findings,
}

/// The members of a swarm, and the cost of bytes from the origin.
#[derive(Debug, Clone, PartialEq)]
pub struct Members {
    /// The instance that fetches.
    pub own: Peer,
    /// All replicas of the weights.
    pub peers: Vec<Peer>,
    /// The cost of bytes from the origin relative to time.
    pub origin_weight: f64,
}

impl Members {
    fn swarm(&self, version: Digest) -> Swarm {
        Swarm::new(version, self.own.clone(), self.peers.clone())
    }
}

/// Fetches all chunks of some weights and verifies the weights.
///
/// Retries until all chunks are fetched.
///
/// # Errors
///
/// When each chunk matches its digest but the weights as a whole do not, or when chunks are
/// evicted before the verification.
pub async fn run(
    context: Arc<Context>,
    store: Arc<dyn WeightStore>,
    manifest: Digest,
    members: watch::Receiver<Members>,
) -> Result<Transfer<Verified>> {
    let manifest = read_manifest(store.as_ref(), manifest).await;
    collect(context, manifest, members).await
}

/// Fetches and verifies the weights of a manifest, as [`run`] does.
///
/// # Errors
///
/// As [`run`].
pub async fn collect(
    context: Arc<Context>,
    manifest: Manifest,
    mut members: watch::Receiver<Members>,
) -> Result<Transfer<Verified>> {
    let algorithm = manifest.algorithm();
    let swarm = members.borrow_and_update().swarm(manifest.version());
    let held = context.cache.add_version(&manifest);
    let now = context.began.unwrap_or_else(|| context.clock.now());
    let limits = limits(&context, &manifest, members.borrow().origin_weight);
    let mut transfer = Transfer::new(manifest, swarm, context.policy, limits, now);
    (0..held.len())
        .filter(|chunk| held.contains(*chunk))
        .for_each(|chunk| transfer.record_held(chunk));
    fetch_all(&context, &mut transfer, members).await;
    let version = transfer.manifest().version();
    let chunks = context.cache.all_chunks(version).context("chunks were evicted before loading")?;
    let whole = digest_of(algorithm, &chunks).await;
    Ok(transfer.verify(whole)?)
}

/// The limits of a transfer's concurrency and waits.
fn limits(context: &Context, manifest: &Manifest, origin_weight: f64) -> Limits {
    Limits {
        downloads: context.max_downloads,
        origin_downloads: context.max_origin_downloads,
        spacing: context.origin_spacing,
        source_backoff: context.source_backoff,
        slow_chunk: context.slow_chunk,
        fallback_timeout: fallback_timeout(context, manifest, origin_weight),
    }
}

/// How long a transfer waits for the agents assigned to a chunk before it fetches the chunk from
/// the origin in their place: the time of a copy over this link plus [`BASE_FALLBACK_TIMEOUT`],
/// and a smaller share of that the lower the cost of bytes from the origin is.
fn fallback_timeout(context: &Context, manifest: &Manifest, origin_weight: f64) -> Duration {
    let rate = context.link_rate.map_or(DEFAULT_LINK_RATE, |rate| rate.as_bytes().as_u64());
    let copy = Duration::from_secs_f64(manifest.size().as_u64() as f64 / rate as f64);
    let weight = origin_weight.clamp(0.0, 1.0);
    (BASE_FALLBACK_TIMEOUT + copy).mul_f64(MIN_FALLBACK_SHARE + (1.0 - MIN_FALLBACK_SHARE) * weight)
}

async fn read_manifest(store: &dyn WeightStore, digest: Digest) -> Manifest {
    let mut backoff = MIN_BACKOFF;
    loop {
        let wait = match store.manifest(digest).await {
            Ok(manifest) => return manifest,
            Err(Error::RateLimited(wait)) => wait,
            Err(error) => {
                tracing::warn!(%error, manifest = %digest.to_short(), "failed to read a manifest");
                backoff
            }
        };
        sleep(wait).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
}

/// Hashes the weights as a whole; yields to other tasks between chunks.
async fn digest_of(algorithm: Algorithm, chunks: &[Bytes]) -> Digest {
    let mut hasher = Hasher::new(algorithm);
    for chunk in chunks {
        hasher.add(chunk);
        tokio::task::yield_now().await;
    }
    hasher.finish()
}

/// Fetches chunks until all are cached.
async fn fetch_all(
    context: &Arc<Context>,
    transfer: &mut Transfer<Fetching>,
    mut members: watch::Receiver<Members>,
) {
    let mut fetches = JoinSet::new();
    let is_spaced = !context.origin_spacing.is_zero();
    let mut ticks = interval(if is_spaced { SPACED_POLL_INTERVAL } else { POLL_INTERVAL });
    let (sender, mut holdings) = mpsc::channel(64);
    let mut followers = Followers::new(context.client.clone(), sender, context.findings.clone());
    followers.follow(transfer);
    wait_holdings(context, transfer, &mut holdings).await;
    loop {
        loop {
            match transfer.step(context.clock.now()) {
                Step::Fetch { chunk, source } => {
                    fetches.spawn(fetch(Arc::clone(context), transfer, chunk, source, false));
                }
                Step::Await { chunk, peer } => {
                    let source = Source::Peer(peer);
                    fetches.spawn(fetch(Arc::clone(context), transfer, chunk, source, true));
                }
                Step::Wait => break,
                Step::Complete => return,
            }
        }
        tokio::select! {
            biased;
            Some(Ok(fetched)) = fetches.join_next() => apply_fetched(context, transfer, fetched),
            Some(held) = holdings.recv() => apply_holdings(transfer, &held),
            Ok(()) = members.changed() => {
                let swarm = members.borrow_and_update().swarm(transfer.manifest().version());
                transfer.set_swarm(swarm);
                followers.follow(transfer);
            }
            _ = ticks.tick() => {}
        }
    }
}

/// Applies a peer's holdings.
fn apply_holdings(transfer: &mut Transfer<Fetching>, held: &PeerHoldings) {
    transfer.record_peer(&held.peer, &held.chunks, held.served_bytes);
}

/// Waits for the neighbours' holdings, so that no chunk is fetched from a distant source that a
/// near one holds.
async fn wait_holdings(
    context: &Context,
    transfer: &mut Transfer<Fetching>,
    holdings: &mut mpsc::Receiver<PeerHoldings>,
) {
    let neighbours = transfer.neighbours().len();
    let received = async {
        for _ in 0..neighbours {
            let Some(held) = holdings.recv().await else { return };
            apply_holdings(transfer, &held);
        }
    };
    // After a timeout, the missing holdings are applied when they arrive.
    let _ = tokio::time::timeout(context.initial_holdings_wait, received).await;
}

/// Applies the result of a request for a chunk.
fn apply_fetched(context: &Context, transfer: &mut Transfer<Fetching>, fetched: Fetched) {
    let Fetched { chunk, source, address, result, took, observation } = fetched;
    let now = context.clock.now();
    if let Some(took) = took {
        transfer.record_download_time(took);
    }
    context.link.lock().unwrap_or_else(PoisonError::into_inner).observe(observation, now);
    let label = match &source {
        Source::Origin => "origin",
        Source::Peer(_) => "peer",
    };
    let (digest, bytes) = match result {
        Ok(chunk) => chunk,
        Err(error) => {
            tracing::debug!(
                chunk,
                ?source,
                error = format!("{error:#}"),
                "failed to fetch a chunk"
            );
            if let Some(peer) = address.filter(|_| is_other_chunk(&error)) {
                context.findings.report(Finding::OtherListing { peer });
            }
            return transfer.record_failure(chunk, now);
        }
    };
    counter!(WEIGHTS_FETCHED, "source" => label).increment(bytes.len() as u64);
    tracing::debug!(chunk, ?source, "chunk arrived");
    match transfer.record_chunk(chunk, digest, now) {
        Arrival::Accepted => {
            context.cache.insert_chunk(transfer.manifest(), chunk, digest, bytes);
        }
        Arrival::Unwanted => {}
        Arrival::Corrupt => {
            counter!(CORRUPT, "source" => label).increment(1);
            tracing::warn!(chunk, ?source, "received a corrupt chunk");
            if source == Source::Origin {
                context.findings.report(Finding::Unmatched { chunk, digest, bytes });
            }
        }
    }
}
