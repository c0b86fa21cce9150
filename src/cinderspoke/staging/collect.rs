//! Collecting the chunks of versions from peers, the origin and the engine itself.

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

/// What origin bytes count against time: little, since every second without
/// weights is a second without answers.
const ORIGIN_WEIGHT: f64 = 0.5;

/// How long a version may take to be collected before its listing is doubted:
/// several times as long as its chunks take over a link that carries what it should.
const DOUBT: Duration = Duration::from_secs(10);

/// The longest that chunks are held apart for the origin, in seconds, however
/// slow its link is said to be.
const MOST_SPACING_S: f64 = 1.0;

/// Collects versions of weights for one engine.
pub(super) struct Collector {
    /// This agent, as swarms name it.
    pub(super) own: Peer,
    /// The port of agents on every instance.
    pub(super) port: u16,
    /// What is wanted, and of whom it can be had.
    pub(super) plans: Arc<Plans>,
    /// The engine, in which chunks may be staged already.
    pub(super) engine: Arc<dyn Engine>,
    /// How origins are reached.
    pub(super) open_origin: OpenOrigin,
    /// What all transfers share; the origin is put in for each.
    pub(super) transfers: transfer::Context,
    /// The listings of versions that may still be asked for.
    pub(super) listings: Arc<Listings>,
}

impl Collector {
    /// The chunks of a version, as the origin lists them; asks until they are known.
    pub(super) async fn manifest(&self, desired: &DesiredVersion) -> Manifest {
        let version = Key::of(&desired.to_string());
        let tree = || Tree::new(version, &self.own, &self.members(&self.plans.newest()).peers);
        self.listings.find(desired, tree, || Ok(self.open(self.origin()?))).await
    }

    /// Waits until the origin lists other chunks for a version than before.
    ///
    /// A listing may have come spoilt, and no chunk would ever fit it.
    pub(super) async fn listing_changed(&self, desired: &DesiredVersion) {
        loop {
            sleep(DOUBT).await;
            let origin = self.origin().map(|origin| self.open(origin));
            match self.listings.refetch(desired, origin).await {
                Ok(true) => return,
                Ok(false) => {}
                Err(error) => {
                    let error = format!("{error:#}");
                    tracing::debug!(version = %desired.version, error, "reading a listing again");
                }
            }
        }
    }

    /// Forgets versions that no engine goes over to any more.
    pub(super) fn evict_before(&self, desired: &DesiredVersion) {
        // The one before may still be what a slower peer collects.
        let kept = |model: &Model, version: Version| {
            *model == desired.model && version.0 + 1 >= desired.version.0
        };
        for manifest in self.listings.retain(kept) {
            self.transfers.cache.remove_version(manifest.digest());
        }
    }

    /// The origin, as plans declare it.
    fn origin(&self) -> Result<Declared> {
        self.plans.newest().origins.first().copied().context("no origin is known")
    }

    /// The origin, ready to be read from.
    fn open(&self, origin: Declared) -> Arc<dyn Origin> {
        (self.open_origin)(origin.address)
    }

    /// Takes in what is staged already: it outlives the agent and the engine.
    pub(super) async fn cache_staged(&self, desired: &DesiredVersion, manifest: &Manifest) {
        let cache = &self.transfers.cache;
        let held = cache.add_version(manifest);
        if held.is_full() {
            return;
        }
        for chunk in (0..manifest.chunks()).filter(|chunk| !held.contains(*chunk)) {
            let Ok(Some(bytes)) = self.engine.staged(&desired.model, chunk).await else { return };
            let digest = manifest.algorithm().chunk(&bytes);
            if manifest.chunk(chunk) == Some(digest) {
                cache.insert(digest, bytes);
            } else if chunk == 0 {
                // Most likely another version lies there.
                return;
            }
        }
    }

    /// The number of chunks held and the total for a version, if the cache tracks it.
    pub(super) fn progress(&self, manifest: Digest) -> Option<(usize, usize)> {
        self.transfers.cache.progress(manifest)
    }

    /// Whether a part of a version's chunks is there.
    pub(super) fn has_part(&self, manifest: Digest, part: f64) -> bool {
        let progress = self.progress(manifest);
        progress.is_some_and(|(held, total)| held as f64 >= total as f64 * part)
    }

    /// The time the origin's link needs per chunk of a version, from its declared rate; zero if
    /// no rate is known.
    pub(super) fn origin_spacing(&self, manifest: &Manifest) -> Duration {
        let rate = self.origin().map_or(0.0, |declared| declared.rate);
        spacing(manifest.as_raw().chunk_size.as_u64(), rate)
    }

    /// The chunks of a version, if all are there.
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

    /// What the transfer of one version needs.
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

    /// Keeps the members of the swarm as plans name them; never ends.
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

    /// This agent and those of all engines of the service.
    fn members(&self, plan: &Plan) -> Members {
        let peers = plan.peers.iter();
        let peers =
            peers.map(|other| peer(other.engine.ip(), self.port, &other.zone, &other.region));
        Members { own: self.own.clone(), peers: peers.collect(), origin_weight: ORIGIN_WEIGHT }
    }
}

/// How long chunks are held apart for the origin: as long as its link takes for
/// one, by the bytes a second that it is said to carry; zero if that is not known.
fn spacing(chunk_bytes: u64, rate: f64) -> Duration {
    let seconds = if rate > 0.0 { chunk_bytes as f64 / rate } else { 0.0 };
    Duration::from_secs_f64(seconds.min(MOST_SPACING_S))
}
