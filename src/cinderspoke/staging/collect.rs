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

use super::OpenOrigin;
use super::listings::Listings;
use super::plan::{DesiredVersion, Plans};
use super::review::Review;
use super::source::VersionSource;
use super::swarm::peer;
use crate::agent::finding::Findings;
use crate::agent::transfer::{self, Members, collect};
use crate::gateway::message::Plan;

/// The cost of bytes from the origin relative to time. Low, since an engine without weights
/// answers no requests.
const ORIGIN_WEIGHT: f64 = 0.5;

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

    /// Evicts versions that no engine switches to any more.
    pub(super) fn evict_before(&self, desired: &DesiredVersion) {
        // A slower peer may still be collecting the preceding version.
        let is_needed = |model: &Model, version: Version| {
            *model == desired.model && version.0 + 1 >= desired.version.0
        };
        for manifest in self.listings.retain(is_needed) {
            self.transfers.cache.remove_version(manifest.version());
        }
    }

    /// The origin that the newest plan declares.
    pub(super) fn origin(&self) -> Result<Declared> {
        self.plans.newest().origins.first().copied().context("no origin is known")
    }

    /// Connects to a declared origin.
    pub(super) fn open(&self, origin: Declared) -> Arc<dyn Origin> {
        (self.open_origin)(origin.address)
    }

    /// The number of cached chunks and the total for a version, if the cache tracks it.
    pub(super) fn progress(&self, version: Digest) -> Option<(usize, usize)> {
        self.transfers.cache.progress(version)
    }

    /// Whether a share of a version's chunks is cached.
    pub(super) fn has_share(&self, version: Digest, share: f64) -> bool {
        let progress = self.progress(version);
        progress.is_some_and(|(held, total)| held as f64 >= total as f64 * share)
    }

    /// The time the origin's link needs per chunk of a version, from its declared rate; zero if
    /// no rate is known.
    pub(super) fn origin_spacing(&self, manifest: &Manifest) -> Duration {
        let rate = self.origin().map_or(0.0, |declared| declared.rate);
        spacing(manifest.as_raw().chunk_size.as_u64(), rate)
    }

    /// The chunks of a version, if all are cached.
    pub(super) fn all_chunks(&self, version: Digest) -> Option<Vec<Bytes>> {
        self.transfers.cache.all_chunks(version)
    }

    /// Collects all chunks of a version from peers and the origin. Returns the manifest by which
    /// they are proven: its listing may be replaced meanwhile.
    pub(super) async fn collect(&self, desired: &DesiredVersion) -> Result<Manifest> {
        let began = self.transfers.clock.now();
        let mut review = Review::new(began);
        loop {
            let manifest = self.manifest(desired).await;
            self.add_unmatched(&manifest, &mut review);
            let (findings, receiver) = Findings::channel();
            let context = Arc::new(self.context(desired, &manifest, began, findings)?);
            let mut plans = self.plans.subscribe();
            let (members, followed) = watch::channel(self.members(&plans.borrow_and_update()));
            tokio::select! {
                biased;
                never = self.follow(plans, members) => match never {},
                collected = collect(context, manifest.clone(), followed) => {
                    collected?;
                    return Ok(manifest);
                }
                () = self.review_listing(desired, &mut review, receiver) => {}
            }
        }
    }

    /// Creates the context for the transfer of one version, whose collection `began` then.
    fn context(
        &self,
        desired: &DesiredVersion,
        manifest: &Manifest,
        began: Duration,
        findings: Findings,
    ) -> Result<transfer::Context> {
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
            began: Some(began),
            findings,
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
    pub(super) fn members(&self, plan: &Plan) -> Members {
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
