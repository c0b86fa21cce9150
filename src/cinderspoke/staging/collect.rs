//! Collects the chunks of versions from peers, the origin and the engine itself.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context as _, Result};
use bytes::Bytes;
use cinderspoke_core::gateway::catalog::Origin as Declared;
use cinderspoke_core::gateway::listing::Tree;
use cinderspoke_core::gateway::name::Model;
use cinderspoke_core::gateway::rollout::Version;
use cinderspoke_core::manifest::Manifest;
use cinderspoke_core::proof::{Recheck, Unmatched};
use cinderspoke_core::rendezvous::Key;
use cinderspoke_ports::gateway::{Engine, Origin};
use cinderspoke_schema::control::Peer;
use cinderspoke_types::digest::Digest;
use tokio::sync::{mpsc, watch};
use tokio::time::sleep;

use super::OpenOrigin;
use super::listings::Listings;
use super::plan::{DesiredVersion, Plans};
use super::source::VersionSource;
use super::swarm::peer;
use crate::agent::finding::{Finding, Findings};
use crate::agent::transfer::{self, Members, collect};
use crate::gateway::message::Plan;

/// The cost of bytes from the origin relative to time. Low, since an engine without weights
/// answers no requests.
const ORIGIN_WEIGHT: f64 = 0.5;

/// The maximum time between two chunks from the origin, in seconds, however slow the declared
/// rate of its link.
const MAX_SPACING_S: f64 = 1.0;

/// How many other agents are asked for their proofs of chunks that are staged, if the first ones
/// do not answer.
const PEERS_ASKED: usize = 3;

/// How long a listing is not compared with another agent's after it was.
const COMPARE_INTERVAL: Duration = Duration::from_millis(100);

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
    fn origin(&self) -> Result<Declared> {
        self.plans.newest().origins.first().copied().context("no origin is known")
    }

    /// Connects to a declared origin.
    fn open(&self, origin: Declared) -> Arc<dyn Origin> {
        (self.open_origin)(origin.address)
    }

    /// Compares the chunks that are staged already with a listing, and adds those that match to the
    /// cache: staged chunks outlive the processes of the agent and the engine. They prove nothing,
    /// since the listing may have the digests of another version.
    ///
    /// `all` is whether to go on after the first chunk if that one differs: most likely all of
    /// them are of another version then.
    pub(super) async fn compare_staged(
        &self,
        desired: &DesiredVersion,
        manifest: &Manifest,
        all: bool,
    ) -> Staged {
        let cache = &self.transfers.cache;
        let held = cache.add_version(manifest);
        let (version, cached) = (desired.version, held.count());
        tracing::info!(%version, cached, chunks = held.len(), "chunks cached already");
        if held.is_full() {
            return Staged::Proven;
        }
        let limit = manifest.as_raw().chunk_size;
        let (mut matching, mut differing, mut is_whole) = (0, Unmatched::new(), true);
        for chunk in 0..manifest.chunks() {
            let staged = self.engine.staged(&desired.model, chunk, limit).await;
            let Ok(Some(bytes)) = staged else {
                is_whole = false;
                break;
            };
            let digest = manifest.algorithm().chunk(&bytes);
            if manifest.chunk(chunk) == Some(digest) {
                matching += 1;
                cache.insert(digest, bytes);
                continue;
            }
            differing.insert(chunk, digest);
            if chunk == 0 && !all {
                break;
            }
        }
        let chunks: Vec<_> = differing.keys().collect();
        tracing::info!(%version, matching, ?chunks, "staged chunks compared with the listing");
        match (differing.is_empty(), is_whole) {
            (true, true) => Staged::Matching,
            (true, false) if matching == 0 => Staged::Missing,
            (true, false) => Staged::Incomplete,
            (false, _) => Staged::Differing(differing),
        }
    }

    /// Counts the chunks of a manifest as proven: an engine runs the version and has just these.
    pub(super) fn accept(&self, manifest: &Manifest) {
        self.transfers.cache.accept(manifest);
    }

    /// Reads the listing of a version again, since chunks that should be listed are not: from
    /// other agents, which may have proven theirs, and from the origin. Returns whether the
    /// listing was replaced.
    pub(super) async fn review(&self, desired: &DesiredVersion, unmatched: &Unmatched) -> bool {
        if self.ask_peers(desired, unmatched).await {
            return true;
        }
        if self.is_proven(desired) {
            return false;
        }
        let origin = self.origin().map(|origin| self.open(origin));
        let reviewed = self.listings.review(desired, origin, unmatched, false).await;
        reviewed.unwrap_or_else(|error| {
            log_review(desired, &error);
            false
        })
    }

    /// Takes over the proofs of another agent, the nearest that answers. Returns whether the
    /// listing was replaced by its.
    pub(super) async fn ask_peers(&self, desired: &DesiredVersion, unmatched: &Unmatched) -> bool {
        let own = &self.own;
        let mut peers = self.members(&self.plans.newest()).peers;
        peers.retain(|peer| peer.instance != own.instance);
        peers.sort_by_key(|peer| (peer.zone != own.zone, peer.region != own.region));
        for peer in peers.iter().take(PEERS_ASKED) {
            match self.listings.compare(desired, peer.address, unmatched).await {
                Ok(is_replaced) => return is_replaced,
                Err(error) => log_review(desired, &error),
            }
        }
        false
    }

    /// Whether all chunks of the known listing of a version are proven.
    fn is_proven(&self, desired: &DesiredVersion) -> bool {
        self.listings.known(desired).is_some_and(|manifest| {
            let proofs = self.transfers.cache.proofs(manifest.version());
            (0..manifest.chunks()).all(|chunk| proofs.confirm(&manifest, chunk))
        })
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

    /// Adds chunks that did not match an earlier listing and match this one.
    fn add_unmatched(&self, manifest: &Manifest, review: &mut Review) {
        for (chunk, (digest, bytes)) in std::mem::take(&mut review.unmatched) {
            if manifest.chunk(chunk) == Some(digest) {
                self.transfers.cache.insert_chunk(manifest, chunk, digest, bytes);
            } else {
                review.unmatched.insert(chunk, (digest, bytes));
            }
        }
    }

    /// Reads the listing of a version again whenever something speaks against it, and when its
    /// chunks have not come for long. Returns once it was replaced.
    async fn review_listing(
        &self,
        desired: &DesiredVersion,
        review: &mut Review,
        mut findings: mpsc::Receiver<Finding>,
    ) {
        let clock = self.transfers.clock;
        loop {
            let wait = review.recheck.due_at().saturating_sub(clock.now());
            let is_replaced = tokio::select! {
                biased;
                Some(finding) = findings.recv() => match finding {
                    Finding::Unmatched { chunk, digest, bytes } => {
                        review.unmatched.insert(chunk, (digest, bytes));
                        review.recheck.suspect();
                        false
                    }
                    Finding::OtherListing { peer } if review.compares_at(clock.now()) => {
                        self.compare_with(desired, peer, review).await
                    }
                    Finding::OtherListing { .. } => false,
                },
                () = sleep(wait) => {
                    let origin = self.origin().map(|origin| self.open(origin));
                    let (unmatched, is_stuck) = (review.digests(), review.recheck.is_stuck());
                    let read = self.listings.review(desired, origin, &unmatched, is_stuck).await;
                    review.recheck.record_read(clock.now(), read.is_ok());
                    read.unwrap_or_else(|error| {
                        log_review(desired, &error);
                        false
                    })
                }
            };
            if is_replaced {
                return;
            }
            if self.listings.is_contradicted(desired) {
                review.recheck.suspect();
            }
        }
    }

    /// Compares the listing of a version with that of another agent. Returns whether it was
    /// replaced.
    async fn compare_with(
        &self,
        desired: &DesiredVersion,
        peer: SocketAddr,
        review: &Review,
    ) -> bool {
        let compared = self.listings.compare(desired, peer, &review.digests()).await;
        compared.unwrap_or_else(|error| {
            log_review(desired, &error);
            false
        })
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
    fn members(&self, plan: &Plan) -> Members {
        let peers = plan.peers.iter();
        let peers =
            peers.map(|other| peer(other.engine.ip(), self.port, &other.zone, &other.region));
        Members { own: self.own.clone(), peers: peers.collect(), origin_weight: ORIGIN_WEIGHT }
    }
}

/// How the chunks staged at an engine compare with a listing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Staged {
    /// Not compared: all chunks are proven and cached.
    Proven,
    /// They are those of the listing.
    Matching,
    /// None could be read.
    Missing,
    /// The first ones are those of the listing, and the next one could not be read.
    Incomplete,
    /// These chunks have other digests.
    Differing(Unmatched),
}

/// What speaks against a listing while its chunks are collected.
struct Review {
    // The chunks from the origin that were not those listed.
    unmatched: BTreeMap<usize, (Digest, Bytes)>,
    recheck: Recheck,
    // When the listing was last compared with another agent's.
    compared_at: Option<Duration>,
}

impl Review {
    fn new(now: Duration) -> Self {
        Self { unmatched: BTreeMap::new(), recheck: Recheck::new(now), compared_at: None }
    }

    /// Whether the listing is compared with another agent's at `now`, and records it. What is not
    /// compared is found again while it lasts.
    fn compares_at(&mut self, now: Duration) -> bool {
        let is_due = self.compared_at.is_none_or(|at| now.saturating_sub(at) >= COMPARE_INTERVAL);
        if is_due {
            self.compared_at = Some(now);
        }
        is_due
    }

    fn digests(&self) -> Unmatched {
        self.unmatched.iter().map(|(chunk, (digest, _))| (*chunk, *digest)).collect()
    }
}

/// Logs that a listing could not be read again.
fn log_review(desired: &DesiredVersion, error: &anyhow::Error) {
    let error = format!("{error:#}");
    tracing::debug!(version = %desired.version, error, "failed to fetch a listing again");
}

/// The time between two chunks from the origin: as long as its link takes for one chunk at `rate`,
/// the declared rate in bytes per second. Zero if no rate is known.
fn spacing(chunk_bytes: u64, rate: f64) -> Duration {
    let seconds = if rate > 0.0 { chunk_bytes as f64 / rate } else { 0.0 };
    Duration::from_secs_f64(seconds.min(MAX_SPACING_S))
}
