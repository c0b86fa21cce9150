//! The listings of versions' chunks: asked of other agents and the origin, kept,
//! and told to agents that ask.

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

/// How long an agent that is asked waits for a listing that it does not have yet.
const WAIT: Duration = Duration::from_millis(400);

/// How much longer than it waits an agent may take to answer: some round trips,
/// and the listing on a link that chunks fill.
const MARGIN: Duration = Duration::from_millis(300);

/// How long the origin may take to give a listing, over a link that chunks fill.
const ORIGIN_TIMEOUT: Duration = Duration::from_millis(1500);

/// How long to wait after an attempt that brought nothing.
const RETRY: Duration = Duration::from_millis(100);

/// A model's version.
type Key = (Model, Version);

/// The listings that are known.
pub(super) struct Listings {
    known: watch::Sender<BTreeMap<Key, Listing>>,
    client: Client,
}

impl Listings {
    /// None is known yet.
    pub(super) fn new(client: Client) -> Self {
        Self { known: watch::Sender::default(), client }
    }

    /// What other agents may ask.
    pub(super) fn app(self: &Arc<Self>) -> Router {
        Router::new().route("/v1/listings", get(tell)).with_state(Arc::clone(self))
    }

    /// The chunks of a version, if its listing is known.
    pub(super) fn known(&self, desired: &DesiredVersion) -> Option<Manifest> {
        self.known.borrow().get(&key(desired)).map(manifest)
    }

    /// The chunks of a version; asks as its tree says until someone tells them.
    ///
    /// `tree` and `origin` give whom to ask as it is known at each attempt.
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
                Source::Origin => ("origin", self.read(desired, origin()).await),
                Source::Peer(peer) => ("agent", self.ask(desired, peer.address).await),
            };
            let version = desired.version;
            match result {
                Ok(()) => tracing::info!(%version, from, attempt, "listing known"),
                Err(error) => {
                    let error = format!("{error:#}");
                    tracing::info!(%version, from, attempt, error, "no listing yet");
                    sleep(RETRY).await;
                    attempt += 1;
                }
            }
        }
    }

    /// Reads a listing from the origin anew; true when it is another one than before.
    ///
    /// # Errors
    ///
    /// When the origin does not give it.
    pub(super) async fn refetch(
        &self,
        desired: &DesiredVersion,
        origin: Result<Arc<dyn Origin>>,
    ) -> Result<bool> {
        let before = self.known(desired);
        self.read(desired, origin).await?;
        Ok(self.known(desired) != before)
    }

    /// Reads a listing from the origin.
    async fn read(&self, desired: &DesiredVersion, origin: Result<Arc<dyn Origin>>) -> Result<()> {
        let origin = origin?;
        let read = timeout(ORIGIN_TIMEOUT, origin.listing(&desired.model, desired.version)).await;
        self.keep(desired, read.context("the origin took too long")??);
        Ok(())
    }

    /// Asks another agent for a listing; it may wait for that itself.
    async fn ask(&self, desired: &DesiredVersion, address: SocketAddr) -> Result<()> {
        let DesiredVersion { model, version, .. } = desired;
        let path =
            format!("/v1/listings?model={model}&version={version}&wait_ms={}", WAIT.as_millis());
        let answer = self.client.fetch(Call::get(address, path).timeout(WAIT + MARGIN)).await?;
        self.keep(desired, postcard::from_bytes(&answer).context("reading a listing")?);
        Ok(())
    }

    /// Keeps a listing, and gives it to the agents that wait for it.
    fn keep(&self, desired: &DesiredVersion, listing: Listing) {
        self.known.send_modify(|known| _ = known.insert(key(desired), listing));
    }

    /// Forgets all versions but those that are kept; gives the others' chunks.
    pub(super) fn retain(&self, kept: impl Fn(&Model, Version) -> bool) -> Vec<Manifest> {
        let mut forgotten = Vec::new();
        self.known.send_modify(|known| {
            known.retain(|(model, version), listing| {
                let kept = kept(model, *version);
                if !kept {
                    forgotten.push(manifest(listing));
                }
                kept
            });
        });
        forgotten
    }
}

/// The version that is wanted, as listings are kept by it.
fn key(desired: &DesiredVersion) -> Key {
    (desired.model.clone(), desired.version)
}

/// A listing as transfers use it.
fn manifest(listing: &Listing) -> Manifest {
    let digests = listing.digests.iter().copied().map(Digest::new).collect();
    Manifest::from_chunk_digests(size::Bytes::new(listing.chunk_bytes), digests)
}

/// Which listing another agent asks for, and how long it waits.
#[derive(Debug, Deserialize)]
struct ListingQuery {
    model: String,
    version: u64,
    wait_ms: u64,
}

/// Tells a listing as soon as it is known; 404 when the wait is over.
async fn tell(
    State(listings): State<Arc<Listings>>,
    Query(asked): Query<ListingQuery>,
) -> Result<Bytes, StatusCode> {
    let key = (Model::from(asked.model.as_str()), Version(asked.version));
    let wait = Duration::from_millis(asked.wait_ms).min(WAIT);
    let mut known = listings.known.subscribe();
    let found = timeout(wait, known.wait_for(|known| known.contains_key(&key))).await;
    let found = found.ok().and_then(Result::ok).ok_or(StatusCode::NOT_FOUND)?;
    found.get(&key).map(|listing| pack(listing).into()).ok_or(StatusCode::NOT_FOUND)
}
