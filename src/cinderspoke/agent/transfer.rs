//! Carrying out a transfer: drawing chunks as [`cinderspoke_core::transfer`] decides.

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
use super::fetch::{Fetched, Timeouts, fetch};
use super::holdings::{Followers, PeerHoldings};
use crate::ports::{Error, Origin, WeightStore};
use crate::util::clock::Clock;
use crate::util::http::Client;
use crate::util::metrics::{CORRUPT, WEIGHTS_FETCHED};
use crate::util::pacer::Pacer;

/// How often a transfer that waits looks again.
const TICK: Duration = Duration::from_millis(100);

/// How often one looks whose draws from the origin have turns.
const TURN_TICK: Duration = Duration::from_millis(20);

/// How long to stay away from a weight store that did not answer, at first.
const FIRST_BACKOFF: Duration = Duration::from_millis(100);

/// How long to stay away from a weight store that did not answer, at most.
const LAST_BACKOFF: Duration = Duration::from_secs(5);

/// How long a transfer waits for others at least before it steps in.
const PATIENCE: Duration = Duration::from_secs(2);

/// The part of the patience that is left when only time counts.
const LEAST_PATIENCE: f64 = 0.2;

/// What a link is taken to carry when its rate is not set, in bytes a second.
const ASSUMED_RATE: u64 = 64 << 20;

/// What transfers need, shared by all of an agent's.
pub struct Context {
    /// Where chunks are kept.
    pub cache: Arc<Cache>,
    /// Where chunks come from at first.
    pub origin: Arc<dyn Origin>,
    /// How peers are reached.
    pub client: Client,
    /// What keeps transfers below the link's rate.
    pub pacer: Arc<Pacer>,
    /// How chunks are chosen.
    pub policy: Policy,
    /// What the link carries, where that is known.
    pub link_rate: Option<ByteRate>,
    /// The most chunks fetched at once.
    pub max_downloads: usize,
    /// The most chunks fetched from the origin at once.
    pub max_origin_downloads: usize,
    /// The time that the origin's link takes for a chunk; zero where draws need no turns.
    pub origin_spacing: Duration,
    /// How long a source that failed is left alone.
    pub penalty: Duration,
    /// How long peers may take.
    pub timeouts: Timeouts,
    /// How long a chunk may take before the link is taken to carry less than it should.
    pub slow_chunk: Option<Duration>,
    /// What chunks tell of the link.
    pub link: Arc<Mutex<Link>>,
    /// How long neighbours have to say what they hold before anything is fetched.
    pub initial_holdings_wait: Duration,
    /// The agent's clock.
    pub clock: Clock,
}

/// The members of a swarm, and the weight of origin bytes.
#[derive(Debug, Clone, PartialEq)]
pub struct Members {
    /// The instance that draws.
    pub own: Peer,
    /// All replicas of the weights.
    pub peers: Vec<Peer>,
    /// What bytes from the origin count against time.
    pub origin_weight: f64,
}

impl Members {
    fn swarm(&self, manifest: Digest) -> Swarm {
        Swarm::new(manifest, self.own.clone(), self.peers.clone())
    }
}

/// Draws some weights whole and verifies them.
///
/// Tries until it has them; only a whole that does not fit its manifest ends it.
///
/// # Errors
///
/// When every chunk is right but the whole is not.
pub async fn run(
    context: Arc<Context>,
    store: Arc<dyn WeightStore>,
    manifest: Digest,
    members: watch::Receiver<Members>,
) -> Result<Transfer<Verified>> {
    let manifest = read_manifest(store.as_ref(), manifest).await;
    collect(context, manifest, members).await
}

/// Draws the weights of a manifest whole and verifies them, as [`run`] does.
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
    let swarm = members.borrow_and_update().swarm(manifest.digest());
    let held = context.cache.add_version(&manifest);
    let now = context.clock.now();
    let limits = limits(&context, &manifest, members.borrow().origin_weight);
    let mut transfer = Transfer::new(manifest, swarm, context.policy, limits, now);
    (0..held.len())
        .filter(|chunk| held.contains(*chunk))
        .for_each(|chunk| transfer.record_held(chunk));
    draw(&context, &mut transfer, members).await;
    let manifest = transfer.manifest().digest();
    let chunks =
        context.cache.all_chunks(manifest).context("chunks were dropped before loading")?;
    let whole = digest_of(algorithm, &chunks).await;
    Ok(transfer.verify(whole)?)
}

/// How much a transfer draws at once, and how long it waits.
fn limits(context: &Context, manifest: &Manifest, origin_weight: f64) -> Limits {
    Limits {
        downloads: context.max_downloads,
        origin_downloads: context.max_origin_downloads,
        spacing: context.origin_spacing,
        source_backoff: context.penalty,
        slow_chunk: context.slow_chunk,
        fallback_timeout: patience(context, manifest, origin_weight),
    }
}

/// How long to wait for others before drawing from the origin in their place:
/// the time of a copy over this link and some more, and less of it where bytes
/// from the origin count for less.
fn patience(context: &Context, manifest: &Manifest, origin_weight: f64) -> Duration {
    let rate = context.link_rate.map_or(ASSUMED_RATE, |rate| rate.as_bytes().as_u64());
    let copy = Duration::from_secs_f64(manifest.size().as_u64() as f64 / rate as f64);
    (PATIENCE + copy)
        .mul_f64(LEAST_PATIENCE + (1.0 - LEAST_PATIENCE) * origin_weight.clamp(0.0, 1.0))
}

async fn read_manifest(store: &dyn WeightStore, digest: Digest) -> Manifest {
    let mut backoff = FIRST_BACKOFF;
    loop {
        let wait = match store.manifest(digest).await {
            Ok(manifest) => return manifest,
            Err(Error::RateLimited(wait)) => wait,
            Err(error) => {
                tracing::warn!(%error, manifest = %digest.to_short(), "reading a manifest");
                backoff
            }
        };
        sleep(wait).await;
        backoff = (backoff * 2).min(LAST_BACKOFF);
    }
}

/// Hashes the whole, and lets other tasks run between chunks.
async fn digest_of(algorithm: Algorithm, chunks: &[Bytes]) -> Digest {
    let mut hasher = Hasher::new(algorithm);
    for chunk in chunks {
        hasher.add(chunk);
        tokio::task::yield_now().await;
    }
    hasher.finish()
}

/// Draws chunks until all are there.
async fn draw(
    context: &Arc<Context>,
    transfer: &mut Transfer<Fetching>,
    mut members: watch::Receiver<Members>,
) {
    let mut fetches = JoinSet::new();
    let turns = !context.origin_spacing.is_zero();
    let mut ticks = interval(if turns { TURN_TICK } else { TICK });
    let (sender, mut holdings) = mpsc::channel(64);
    let mut followers = Followers::new(context.client.clone(), sender);
    followers.follow(transfer);
    introduce(context, transfer, &mut holdings).await;
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
            Some(Ok(fetched)) = fetches.join_next() => take(context, transfer, fetched),
            Some(held) = holdings.recv() => hear(transfer, &held),
            Ok(()) = members.changed() => {
                let swarm = members.borrow_and_update().swarm(transfer.manifest().digest());
                transfer.set_swarm(swarm);
                followers.follow(transfer);
            }
            _ = ticks.tick() => {}
        }
    }
}

/// Takes in what a peer holds.
fn hear(transfer: &mut Transfer<Fetching>, held: &PeerHoldings) {
    transfer.record_peer(&held.peer, &held.chunks, held.given);
}

/// Lets neighbours say what they hold, so that nothing is fetched from afar that is near.
async fn introduce(
    context: &Context,
    transfer: &mut Transfer<Fetching>,
    holdings: &mut mpsc::Receiver<PeerHoldings>,
) {
    let neighbours = transfer.neighbours().len();
    let heard = async {
        for _ in 0..neighbours {
            let Some(held) = holdings.recv().await else { return };
            hear(transfer, &held);
        }
    };
    // Those that say nothing in time are heard later.
    let _ = tokio::time::timeout(context.initial_holdings_wait, heard).await;
}

/// Takes in a chunk that came, or that it did not.
fn take(context: &Context, transfer: &mut Transfer<Fetching>, fetched: Fetched) {
    let Fetched { chunk, source, result, took, observation } = fetched;
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
            tracing::debug!(chunk, ?source, error = format!("{error:#}"), "drawing a chunk");
            return transfer.record_failure(chunk, now);
        }
    };
    counter!(WEIGHTS_FETCHED, "source" => label).increment(bytes.len() as u64);
    tracing::debug!(chunk, ?source, "chunk arrived");
    match transfer.record_chunk(chunk, digest, now) {
        Arrival::Accepted => context.cache.insert(digest, bytes),
        Arrival::Unwanted => {}
        Arrival::Corrupt => {
            counter!(CORRUPT, "source" => label).increment(1);
            tracing::warn!(chunk, ?source, "a chunk arrived corrupt");
        }
    }
}
