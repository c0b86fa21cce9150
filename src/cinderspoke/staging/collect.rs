//! Collects the chunks of versions from peers, the origin and the engine itself.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context as _, Result};
use bytes::Bytes;
use cinderspoke_core::gateway::catalog::Origin as Declared;
use cinderspoke_core::gateway::listing::Tree;
use cinderspoke_core::gateway::name::Model;
use cinderspoke_core::gateway::rollout::Version;
use cinderspoke_core::manifest::Manifest;
use cinderspoke_core::rendezvous::Key;
use cinderspoke_ports::gateway::{Engine, Origin};
use cinderspoke_schema::control::Peer;
use cinderspoke_types::digest::Digest;
use tokio::sync::watch;
use tokio::time::sleep;

use super::OpenOrigin;
use super::listings::Listings;
use super::plan::{DesiredVersion, Plans};
use super::source::VersionSource;
use super::swarm::peer;
use crate::agent::transfer::{self, Members, collect};
use crate::gateway::message::Plan;

/// The cost of bytes from the origin relative to time. Low, since an engine without weights
/// answers no requests.
const ORIGIN_WEIGHT: f64 = 0.5;

/// How long collecting a version may take before its listing is read again, as it may be corrupt:
/// several times as long as its chunks take over a link of its declared rate.
const LISTING_RECHECK_INTERVAL: Duration = Duration::from_secs(10);

/// The maximum time between two chunks from the origin, in seconds, however slow the declared
/// rate of its link.
const MAX_SPACING_S: f64 = 1.0;

/// Collects versions of weights for one engine.
pub(super) struct Collector {
    /// This agent, as a member of swarms.
    pub(super) own: Peer,
    /// The port on which the agents of all instances listen.
    pub(super) port: u16,
    /// The newest plan: the desired version, the origins and the peers.
    pub(super) plans: Arc<Plans>,
    /// The engine, which may have chunks staged already.
    pub(super) engine: Arc<dyn Engine>,
    /// Connects to origins.
    pub(super) open_origin: OpenOrigin,
    /// The context that all transfers share; each transfer sets its own origin.
    pub(super) transfers: transfer::Context,
    /// The listings of versions that peers may still request.
    pub(super) listings: Arc<Listings>,
}

impl Collector {
    /// Finds the manifest of a version from its listing at the origin, retrying until it is known.
    pub(super) async fn manifest(&self, desired: &DesiredVersion) -> Manifest {
        let version = Key::of(&desired.to_string());
        let tree = || Tree::new(version, &self.own, &self.members(&self.plans.newest()).peers);
        self.listings.find(desired, tree, || Ok(self.open(self.origin()?))).await
    }

    /// Waits until the origin lists other chunks for a version than before.
    ///
    /// A listing may have been corrupted in transit, and then no chunk would ever match it.
    pub(super) async fn listing_changed(&self, desired: &DesiredVersion) {
        loop {
            sleep(LISTING_RECHECK_INTERVAL).await;
            let origin = self.origin().map(|origin| self.open(origin));
            match self.listings.refetch(desired, origin).await {
                Ok(true) => return,
                Ok(false) => {}
                Err(error) => {
                    let error = format!("{error:#}");
                    tracing::debug!(
                        version = %desired.version,
                        error,
                        "failed to fetch a listing again"
                    );
                }
            }
        }
    }

    /// Evicts versions that no engine switches to any more.
    pub(super) fn evict_before(&self, desired: &DesiredVersion) {
        // A slower peer may still be collecting the preceding version.
        let is_needed = |model: &Model, version: Version| {
            *model == desired.model && version.0 + 1 >= desired.version.0
        };
        for manifest in self.listings.retain(is_needed) {
            self.transfers.cache.remove_version(manifest.digest());
        }
    }

    /// The origin that the newest plan declares.
    fn origin(&self) -> Result<Declared> {
        self.plans.newest().origins.first().copied().context("no origin is known")
    }

    /// Connects to a declared origin.
    fn open(&self, origin: Declared) -> Arc<dyn Origin> {
        (self.open_origin)(origin.address)
    }

    /// Adds chunks that are staged already to the cache: staged chunks outlive the processes of
    /// the agent and the engine.
    pub(super) async fn cache_staged(&self, desired: &DesiredVersion, manifest: &Manifest) {
        let cache = &self.transfers.cache;
        let held = cache.add_version(manifest);
        let (version, cached) = (desired.version, held.count());
        tracing::info!(%version, cached, chunks = held.len(), "chunks cached already");
        if held.is_full() {
            return;
        }
        let limit = manifest.as_raw().chunk_size;
        let (mut matching, mut differing) = (0, Vec::new());
        for chunk in (0..manifest.chunks()).filter(|chunk| !held.contains(*chunk)) {
            let staged = self.engine.staged(&desired.model, chunk, limit).await;
            let Ok(Some(bytes)) = staged else { break };
            let digest = manifest.algorithm().chunk(&bytes);
            if manifest.chunk(chunk) == Some(digest) {
                matching += 1;
                cache.insert(digest, bytes);
            } else {
                differing.push(chunk);
                if chunk == 0 {
                    // Most likely the staged chunks are of another version.
                    break;
                }
            }
        }
        tracing::info!(%version, matching, ?differing, "staged chunks compared with the listing");
    }

    /// The number of cached chunks and the total for a version, if the cache tracks it.
    pub(super) fn progress(&self, manifest: Digest) -> Option<(usize, usize)> {
        self.transfers.cache.progress(manifest)
    }

    /// Whether a share of a version's chunks is cached.
    pub(super) fn has_share(&self, manifest: Digest, share: f64) -> bool {
        let progress = self.progress(manifest);
        progress.is_some_and(|(held, total)| held as f64 >= total as f64 * share)
    }

    /// The time the origin's link needs per chunk of a version, from its declared rate; zero if
    /// no rate is known.
    pub(super) fn origin_spacing(&self, manifest: &Manifest) -> Duration {
        let rate = self.origin().map_or(0.0, |declared| declared.rate);
        spacing(manifest.as_raw().chunk_size.as_u64(), rate)
    }

    /// The chunks of a version, if all are cached.
    pub(super) fn all_chunks(&self, manifest: Digest) -> Option<Vec<Bytes>> {
        self.transfers.cache.all_chunks(manifest)
    }

    /// Collects all chunks from peers and the origin.
    pub(super) async fn collect(
        &self,
        desired: &DesiredVersion,
        manifest: &Manifest,
    ) -> Result<()> {
        let context = Arc::new(self.context(desired, manifest)?);
        let mut plans = self.plans.subscribe();
        let (members, receiver) = watch::channel(self.members(&plans.borrow_and_update()));
        tokio::select! {
            biased;
            never = self.follow(plans, members) => match never {},
            collected = collect(context, manifest.clone(), receiver) => collected.map(|_| ()),
        }
    }

    /// Creates the context for the transfer of one version.
    fn context(&self, desired: &DesiredVersion, manifest: &Manifest) -> Result<transfer::Context> {
        let declared = self.origin()?;
        let chunk_bytes = manifest.as_raw().chunk_size.as_u64();
        let (model, version) = (desired.model.clone(), desired.version);
        let origin = self.open(declared);
        let source = VersionSource { origin, model, version, chunk_bytes };
        let transfers = &self.transfers;
        Ok(transfer::Context {
            cache: Arc::clone(&transfers.cache),
            origin: Arc::new(source),
            client: transfers.client.clone(),
            pacer: Arc::clone(&transfers.pacer),
            link: Arc::clone(&transfers.link),
            origin_spacing: spacing(chunk_bytes, declared.rate),
            ..*transfers
        })
    }

    /// Updates the members of the swarm from plans. Never completes.
    async fn follow(
        &self,
        mut plans: watch::Receiver<Plan>,
        members: watch::Sender<Members>,
    ) -> Infallible {
        while plans.changed().await.is_ok() {
            let new = self.members(&plans.borrow_and_update());
            members.send_if_modified(|known| {
                let changed = *known != new;
                *known = new;
                changed
            });
        }
        std::future::pending().await
    }

    /// The swarm's members: this agent and those of all engines of the service.
    fn members(&self, plan: &Plan) -> Members {
        let peers = plan.peers.iter();
        let peers =
            peers.map(|other| peer(other.engine.ip(), self.port, &other.zone, &other.region));
        Members { own: self.own.clone(), peers: peers.collect(), origin_weight: ORIGIN_WEIGHT }
    }
}

/// The time between two chunks from the origin: as long as its link takes for one chunk at `rate`,
/// the declared rate in bytes per second. Zero if no rate is known.
fn spacing(chunk_bytes: u64, rate: f64) -> Duration {
    let seconds = if rate > 0.0 { chunk_bytes as f64 / rate } else { 0.0 };
    Duration::from_secs_f64(seconds.min(MAX_SPACING_S))
}
