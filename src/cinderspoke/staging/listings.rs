//! Listings of versions' chunks: fetched from other agents and the origin, cached, and served to
//! other agents.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context as _, Result};
use axum::Router;
use axum::extract::{Query, State};
use axum::routing::get;
use bytes::Bytes;
use cinderspoke_core::gateway::listing::{Source, Tree};
use cinderspoke_core::gateway::name::Model;
use cinderspoke_core::gateway::rollout::Version;
use cinderspoke_core::manifest::Manifest;
use cinderspoke_ports::gateway::{Listing, Origin};
use cinderspoke_types::digest::Digest;
use cinderspoke_types::size;
use http::StatusCode;
use serde::Deserialize;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use super::plan::DesiredVersion;
use crate::gateway::message::pack;
use crate::util::http::{Call, Client};

/// How long another agent waits for a listing that it does not have yet before it answers.
const PEER_WAIT: Duration = Duration::from_millis(400);

/// The time allowed for a peer's answer beyond [`PEER_WAIT`]: some round trips, and the transfer
/// of the listing over a link saturated by chunks.
const PEER_MARGIN: Duration = Duration::from_millis(300);

/// Timeout for a listing from the origin, over a link saturated by chunks.
const ORIGIN_TIMEOUT: Duration = Duration::from_millis(1500);

/// Delay after a failed attempt.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// A model's version.
type Key = (Model, Version);

/// The known listings, by version.
pub(super) struct Listings {
    known: watch::Sender<BTreeMap<Key, Listing>>,
    client: Client,
}

impl Listings {
    /// Creates listings with none known yet.
    pub(super) fn new(client: Client) -> Self {
        Self { known: watch::Sender::default(), client }
    }

    /// The routes that other agents request.
    pub(super) fn app(self: &Arc<Self>) -> Router {
        Router::new().route("/v1/listings", get(serve)).with_state(Arc::clone(self))
    }

    /// The manifest of a version, if its listing is known.
    pub(super) fn known(&self, desired: &DesiredVersion) -> Option<Manifest> {
        self.known.borrow().get(&key(desired)).map(manifest)
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
        let mut attempt = 0;
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
                Ok(()) => {
                    let known = self.known(desired);
                    let chunks = known.as_ref().map_or(0, Manifest::chunks);
                    let manifest =
                        known.map(|manifest| manifest.digest().to_short()).unwrap_or_default();
                    tracing::info!(%version, from, attempt, chunks, manifest, "listing known");
                }
                Err(error) => {
                    let error = format!("{error:#}");
                    tracing::info!(%version, from, attempt, error, "no listing yet");
                    sleep(RETRY_DELAY).await;
                    attempt += 1;
                }
            }
        }
    }

    /// Fetches a listing from the origin again, and returns whether it has changed.
    ///
    /// # Errors
    ///
    /// When the origin does not return it.
    pub(super) async fn refetch(
        &self,
        desired: &DesiredVersion,
        origin: Result<Arc<dyn Origin>>,
    ) -> Result<bool> {
        let before = self.known(desired);
        self.fetch_from_origin(desired, origin).await?;
        let after = self.known(desired);
        let differing = differing(before.as_ref(), after.as_ref());
        tracing::info!(version = %desired.version, differing, "listing fetched again");
        Ok(after != before)
    }

    /// Fetches a listing from the origin.
    async fn fetch_from_origin(
        &self,
        desired: &DesiredVersion,
        origin: Result<Arc<dyn Origin>>,
    ) -> Result<()> {
        let origin = origin?;
        let read = timeout(ORIGIN_TIMEOUT, origin.listing(&desired.model, desired.version)).await;
        self.insert(desired, read.context("timed out waiting for the origin's listing")??);
        Ok(())
    }

    /// Fetches a listing from another agent, which may be waiting for it itself.
    async fn fetch_from_peer(&self, desired: &DesiredVersion, address: SocketAddr) -> Result<()> {
        let DesiredVersion { model, version, .. } = desired;
        let wait_ms = PEER_WAIT.as_millis();
        let path = format!("/v1/listings?model={model}&version={version}&wait_ms={wait_ms}");
        let call = Call::get(address, path).timeout(PEER_WAIT + PEER_MARGIN);
        let answer = self.client.fetch(call).await?;
        self.insert(
            desired,
            postcard::from_bytes(&answer).context("the listing cannot be decoded")?,
        );
        Ok(())
    }

    /// Adds a listing, and serves it to the agents that wait for it.
    fn insert(&self, desired: &DesiredVersion, listing: Listing) {
        self.known.send_modify(|known| _ = known.insert(key(desired), listing));
    }

    /// Removes the listings for which `keep` is false, and returns their manifests.
    pub(super) fn retain(&self, keep: impl Fn(&Model, Version) -> bool) -> Vec<Manifest> {
        let mut removed = Vec::new();
        self.known.send_modify(|known| {
            known.retain(|(model, version), listing| {
                let keep = keep(model, *version);
                if !keep {
                    removed.push(manifest(listing));
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

/// The number of chunks whose digests differ between two manifests.
fn differing(one: Option<&Manifest>, other: Option<&Manifest>) -> usize {
    let chunks = |manifest: Option<&Manifest>| manifest.map_or(0, Manifest::chunks);
    let chunk = |manifest: Option<&Manifest>, number| manifest?.chunk(number);
    let numbers = 0..chunks(one).max(chunks(other));
    numbers.filter(|number| chunk(one, *number) != chunk(other, *number)).count()
}

/// Converts a listing to the manifest that transfers use.
fn manifest(listing: &Listing) -> Manifest {
    let digests = listing.digests.iter().copied().map(Digest::new).collect();
    Manifest::from_chunk_digests(size::Bytes::new(listing.chunk_bytes), digests)
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
    found.get(&key).map(|listing| pack(listing).into()).ok_or(StatusCode::NOT_FOUND)
}
