//! Listings of versions' chunks: fetched from other agents and the origin, checked, cached, and
//! served to other agents.
//!
//! A listing is believed only as far as its chunks are proven ([`cinderspoke_core::proof`]). It may
//! be served before: what an agent tells others is which of its chunks are proven.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context as _, Result};
use axum::Router;
use axum::extract::{Query, State};
use axum::routing::get;
use bytes::Bytes;
use cinderspoke_core::bitmap::Bitmap;
use cinderspoke_core::gateway::listing::{Misfits, Source, Tree, check};
use cinderspoke_core::gateway::name::Model;
use cinderspoke_core::gateway::rollout::Version;
use cinderspoke_core::manifest::Manifest;
use cinderspoke_core::proof::{Unmatched, Verdict, differing, weigh};
use cinderspoke_ports::gateway::{Listing, Origin};
use cinderspoke_types::digest::Digest;
use cinderspoke_types::size;
use http::StatusCode;
use metrics::counter;
use serde::Deserialize;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use super::plan::{DesiredVersion, Plans};
use crate::agent::cache::Cache;
use crate::gateway::message::{pack, unpack_field};
use crate::util::http::{Call, Client, Path};
use crate::util::metrics::{LISTINGS_REFUSED, LISTINGS_REPLACED};

/// How long another agent waits for a listing that it does not have yet before it answers.
const PEER_WAIT: Duration = Duration::from_millis(400);

/// The time allowed for a peer's answer beyond [`PEER_WAIT`]: some round trips, and the transfer
/// of the listing over a link saturated by chunks.
const PEER_MARGIN: Duration = Duration::from_millis(300);

/// Timeout for a listing from the origin, over a link saturated by chunks.
const ORIGIN_TIMEOUT: Duration = Duration::from_millis(1500);

/// Delay after a failed attempt.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// The longest delay after attempts whose listings were refused: it doubles with each of them.
const MAX_REFUSED_DELAY: Duration = Duration::from_secs(5);

/// A model's version.
type Key = (Model, Version);

/// A listing as another agent serves it.
struct PeerListing {
    listing: Listing,
    // The chunks that the agent has proven.
    proven: Bitmap,
}

/// The known listings, by version.
pub(super) struct Listings {
    known: watch::Sender<BTreeMap<Key, Listing>>,
    // Has the chunks of each known version and their proofs.
    cache: Arc<Cache>,
    // Declares how weights are divided.
    plans: Arc<Plans>,
    client: Client,
}

impl Listings {
    /// Creates listings with none known yet.
    pub(super) fn new(cache: Arc<Cache>, plans: Arc<Plans>, client: Client) -> Self {
        Self { known: watch::Sender::default(), cache, plans, client }
    }

    /// The routes that other agents request.
    pub(super) fn app(self: &Arc<Self>) -> Router {
        Router::new().route("/v1/listings", get(serve)).with_state(Arc::clone(self))
    }

    /// The manifest of a version, if its listing is known.
    pub(super) fn known(&self, desired: &DesiredVersion) -> Option<Manifest> {
        let key = key(desired);
        self.known.borrow().get(&key).map(|listing| manifest(&key, listing))
    }

    /// Finds the manifest of a version. Requests its listing from the sources that its tree names
    /// until one of them returns it.
    ///
    /// `tree` and `origin` are evaluated at each attempt, as the peers and the origin may change.
    pub(super) async fn find(
        &self,
        desired: &DesiredVersion,
        tree: impl Fn() -> Tree,
        origin: impl Fn() -> Result<Arc<dyn Origin>>,
    ) -> Manifest {
        let (mut attempt, mut refused_delay) = (0, RETRY_DELAY);
        loop {
            if let Some(manifest) = self.known(desired) {
                return manifest;
            }
            let (from, result) = match tree().source(attempt) {
                Source::Origin => ("origin", self.fetch_from_origin(desired, origin()).await),
                Source::Peer(peer) => ("agent", self.fetch_from_peer(desired, peer.address).await),
            };
            let version = desired.version;
            match result {
                Ok(()) => self.log_known(desired, from, attempt),
                Err(error) => {
                    let is_refused = error.is::<Misfits>();
                    let error = format!("{error:#}");
                    tracing::info!(%version, from, attempt, error, "no listing yet");
                    sleep(if is_refused { refused_delay } else { RETRY_DELAY }).await;
                    if is_refused {
                        refused_delay = (refused_delay * 2).min(MAX_REFUSED_DELAY);
                    }
                    attempt += 1;
                }
            }
        }
    }

    fn log_known(&self, desired: &DesiredVersion, from: &str, attempt: usize) {
        let known = self.known(desired);
        let chunks = known.as_ref().map_or(0, Manifest::chunks);
        let manifest = known.map(|manifest| manifest.digest().to_short()).unwrap_or_default();
        tracing::info!(version = %desired.version, from, attempt, chunks, manifest, "listing known");
    }

    /// Fetches a listing from the origin again, and returns whether it replaces the known one.
    ///
    /// # Errors
    ///
    /// When the origin does not return a listing that can be right.
    pub(super) async fn review(
        &self,
        desired: &DesiredVersion,
        origin: Result<Arc<dyn Origin>>,
        unmatched: &Unmatched,
        is_stuck: bool,
    ) -> Result<bool> {
        let listing = self.read_origin(desired, origin).await?;
        Ok(self.replace(desired, listing, unmatched, is_stuck, "origin") == Verdict::Replace)
    }

    /// Fetches another agent's listing and proofs, and returns whether it replaces the known one,
    /// or why not.
    ///
    /// # Errors
    ///
    /// When the agent does not return a listing that can be right.
    pub(super) async fn compare(
        &self,
        desired: &DesiredVersion,
        peer: SocketAddr,
        unmatched: &Unmatched,
    ) -> Result<Verdict> {
        let PeerListing { listing, proven } = self.read_peer(desired, peer, Duration::ZERO).await?;
        self.prove(desired, &listing, &proven);
        Ok(self.replace(desired, listing, unmatched, false, "agent"))
    }

    /// Whether chunks are proven that the known listing does not have.
    pub(super) fn is_contradicted(&self, desired: &DesiredVersion) -> bool {
        self.known(desired)
            .is_some_and(|known| !self.cache.proofs(known.version()).contradict(&known).is_empty())
    }

    /// Replaces the known listing by another one, if there is reason to; returns what was decided.
    fn replace(
        &self,
        desired: &DesiredVersion,
        listing: Listing,
        unmatched: &Unmatched,
        is_stuck: bool,
        from: &'static str,
    ) -> Verdict {
        let other = manifest(&key(desired), &listing);
        let Some(known) = self.known(desired) else {
            self.insert(desired, listing);
            return Verdict::Replace;
        };
        let proofs = self.cache.proofs(known.version());
        let (version, differing) = (desired.version, differing(&known, &other));
        let verdict = weigh(&known, &other, &proofs, unmatched, is_stuck);
        let why = match &verdict {
            Verdict::Same => {
                tracing::info!(%version, from, "listing confirmed");
                return verdict;
            }
            Verdict::Replace => {
                counter!(LISTINGS_REPLACED, "by" => from).increment(1);
                let unmatched = unmatched.len();
                tracing::warn!(%version, from, ?differing, unmatched, is_stuck, "listing replaced");
                self.insert(desired, listing);
                return verdict;
            }
            Verdict::Contradicted(chunks) => {
                tracing::warn!(%version, from, ?differing, ?chunks, "listing refused: contradicted");
                "contradicted"
            }
            Verdict::Unsupported => {
                tracing::info!(%version, from, ?differing, "listing refused: unsupported");
                "unsupported"
            }
        };
        counter!(LISTINGS_REFUSED, "why" => why).increment(1);
        verdict
    }

    /// Fetches a listing from the origin.
    async fn fetch_from_origin(
        &self,
        desired: &DesiredVersion,
        origin: Result<Arc<dyn Origin>>,
    ) -> Result<()> {
        let listing = self.read_origin(desired, origin).await?;
        self.insert(desired, listing);
        Ok(())
    }

    /// Fetches a listing from another agent, which may be waiting for it itself.
    async fn fetch_from_peer(&self, desired: &DesiredVersion, address: SocketAddr) -> Result<()> {
        let PeerListing { listing, proven } = self.read_peer(desired, address, PEER_WAIT).await?;
        self.insert(desired, listing.clone());
        self.prove(desired, &listing, &proven);
        Ok(())
    }

    async fn read_origin(
        &self,
        desired: &DesiredVersion,
        origin: Result<Arc<dyn Origin>>,
    ) -> Result<Listing> {
        let origin = origin?;
        let read = timeout(ORIGIN_TIMEOUT, origin.listing(&desired.model, desired.version)).await;
        self.checked(desired, read.context("timed out waiting for the origin's listing")??)
    }

    async fn read_peer(
        &self,
        desired: &DesiredVersion,
        address: SocketAddr,
        wait: Duration,
    ) -> Result<PeerListing> {
        let DesiredVersion { model, version, .. } = desired;
        let wait_ms = wait.as_millis();
        let path = Path::from("/v1/listings").pair("model", model);
        let path = path.pair("version", version).pair("wait_ms", wait_ms);
        let call = Call::get(address, path).timeout(wait + PEER_MARGIN);
        let answer = self.client.fetch(call).await?;
        let (listing, rest) =
            postcard::take_from_bytes(&answer).context("the listing cannot be decoded")?;
        // An agent of an earlier build names no proofs.
        let (proven, _) = unpack_field::<String>(rest).context("the proofs cannot be decoded")?;
        let proven = proven.parse().context("the proofs cannot be read")?;
        Ok(PeerListing { listing: self.checked(desired, listing)?, proven })
    }

    /// Compares a listing with what the configuration declares.
    fn checked(&self, desired: &DesiredVersion, listing: Listing) -> Result<Listing> {
        let Listing { chunk_bytes, digests } = &listing;
        match check(digests.len(), *chunk_bytes, self.plans.layout()) {
            Ok(()) => Ok(listing),
            Err(misfits) => {
                counter!(LISTINGS_REFUSED, "why" => "misfit").increment(1);
                tracing::warn!(version = %desired.version, %misfits, "listing refused: misfit");
                Err(misfits.into())
            }
        }
    }

    /// Adds a listing, and serves it to the agents that wait for it.
    fn insert(&self, desired: &DesiredVersion, listing: Listing) {
        let key = key(desired);
        self.cache.add_version(&manifest(&key, &listing));
        self.known.send_modify(|known| _ = known.insert(key, listing));
    }

    /// Takes over another agent's proofs of a version's chunks.
    fn prove(&self, desired: &DesiredVersion, listing: &Listing, proven: &Bitmap) {
        let manifest = manifest(&key(desired), listing);
        for chunk in (0..manifest.chunks()).filter(|chunk| proven.contains(*chunk)) {
            if let Some(digest) = manifest.chunk(chunk) {
                self.cache.prove(manifest.version(), chunk, digest);
            }
        }
    }

    /// The answer to another agent that requests a listing.
    fn packed(&self, key: &Key, listing: &Listing) -> Bytes {
        let manifest = manifest(key, listing);
        let proofs = self.cache.proofs(manifest.version());
        let mut proven = Bitmap::new(manifest.chunks());
        let chunks = 0..manifest.chunks();
        chunks.filter(|chunk| proofs.is_read(&manifest, *chunk)).for_each(|it| proven.insert(it));
        let mut packed = pack(listing);
        packed.extend(pack(&proven.to_string()));
        packed.into()
    }

    /// Removes the listings for which `keep` is false, and returns their manifests.
    pub(super) fn retain(&self, keep: impl Fn(&Model, Version) -> bool) -> Vec<Manifest> {
        let mut removed = Vec::new();
        self.known.send_modify(|known| {
            known.retain(|(model, version), listing| {
                let keep = keep(model, *version);
                if !keep {
                    removed.push(manifest(&(model.clone(), *version), listing));
                }
                keep
            });
        });
        removed
    }
}

/// The key of a version's listing.
fn key(desired: &DesiredVersion) -> Key {
    (desired.model.clone(), desired.version)
}

/// Converts a listing to the manifest that transfers use.
fn manifest((model, version): &Key, listing: &Listing) -> Manifest {
    let digests = listing.digests.iter().copied().map(Digest::new).collect();
    let version = Digest::of(format!("version {version} of model {model}").as_bytes());
    Manifest::listed(version, size::Bytes::new(listing.chunk_bytes), digests)
}

/// The query parameters of a request for a listing.
#[derive(Debug, Deserialize)]
struct ListingQuery {
    model: String,
    version: u64,
    wait_ms: u64,
}

/// Serves a listing as soon as it is known; 404 if it is not known within the requested wait.
async fn serve(
    State(listings): State<Arc<Listings>>,
    Query(query): Query<ListingQuery>,
) -> Result<Bytes, StatusCode> {
    let key = (Model::from(query.model.as_str()), Version(query.version));
    let wait = Duration::from_millis(query.wait_ms).min(PEER_WAIT);
    let mut known = listings.known.subscribe();
    let found = timeout(wait, known.wait_for(|known| known.contains_key(&key))).await;
    let found = found.ok().and_then(Result::ok).ok_or(StatusCode::NOT_FOUND)?;
    let listing = found.get(&key).cloned().ok_or(StatusCode::NOT_FOUND)?;
    drop(found);
    Ok(listings.packed(&key, &listing))
}
