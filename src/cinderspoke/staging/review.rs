//! Reviews the listing of a version: compares it with what lies staged at the engine, with other
//! agents' listings and proofs, and with another reading of it, whenever something speaks against it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use cinderspoke_core::gateway::rollout::Version;
use cinderspoke_core::manifest::Manifest;
use cinderspoke_core::proof::{Recheck, Unmatched, Verdict};
use cinderspoke_types::digest::Digest;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

use super::collect::Collector;
use super::plan::DesiredVersion;
use crate::agent::finding::Finding;

/// How many other agents are asked for their proofs of chunks that are staged, if the first ones
/// do not answer.
const PEERS_ASKED: usize = 3;

/// How long a listing is not compared with another agent's after it was.
const COMPARE_INTERVAL: Duration = Duration::from_millis(100);

/// How long agents may have different listings, with nothing that shows which is right, until they
/// read theirs again. Most chunks that would show it come within this time.
const DISPUTE_TIMEOUT: Duration = Duration::from_millis(500);

/// How long the listing of the version before may take that staged chunks are compared with.
const LISTING_BEFORE_TIMEOUT: Duration = Duration::from_secs(1);

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
pub(super) struct Review {
    // The chunks from the origin that were not those listed.
    unmatched: BTreeMap<usize, (Digest, Bytes)>,
    recheck: Recheck,
    // When the listing was last compared with another agent's.
    compared_at: Option<Duration>,
    // Since when another agent has had another listing, and nothing showed which one is right.
    disputed_since: Option<Duration>,
}

impl Review {
    /// Creates the review of a listing whose chunks are collected from `now` on.
    pub(super) fn new(now: Duration) -> Self {
        Self {
            unmatched: BTreeMap::new(),
            recheck: Recheck::new(now),
            compared_at: None,
            disputed_since: None,
        }
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

    /// Records that at `now` another agent has another listing, and that nothing shows which one is
    /// right. If that lasts, the listing is suspected.
    fn record_dispute(&mut self, now: Duration) {
        self.disputed_since.get_or_insert(now);
        if self.is_disputed(now) {
            self.recheck.suspect();
        }
    }

    /// Whether another agent has had another listing for so long that any other one is tried.
    fn is_disputed(&self, now: Duration) -> bool {
        self.disputed_since.is_some_and(|since| now.saturating_sub(since) >= DISPUTE_TIMEOUT)
    }

    fn digests(&self) -> Unmatched {
        self.unmatched.iter().map(|(chunk, (digest, _))| (*chunk, *digest)).collect()
    }
}

impl Collector {
    /// Compares the chunks that are staged already with a listing, and adds those that match to the
    /// cache: staged chunks outlive the processes of the agent and the engine. By themselves they
    /// prove nothing, since the listing may have the digests of another version.
    ///
    /// `all` is whether the engine runs the version, and to go on after the first chunk if that one differs: most likely all of
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
        let (mut matching, mut differing, mut is_whole) = (Vec::new(), Unmatched::new(), true);
        for chunk in 0..manifest.chunks() {
            let staged = self.engine.staged(&desired.model, chunk, limit).await;
            let Ok(Some(bytes)) = staged else {
                is_whole = false;
                break;
            };
            let digest = manifest.algorithm().chunk(&bytes);
            if manifest.chunk(chunk) == Some(digest) {
                matching.push(chunk);
                cache.insert(digest, bytes);
                continue;
            }
            differing.insert(chunk, digest);
            if chunk == 0 && !all {
                break;
            }
        }
        let chunks: Vec<_> = differing.keys().collect();
        let count = matching.len();
        tracing::info!(%version, matching = count, ?chunks, "staged chunks compared with the listing");
        if !all && !matching.is_empty() {
            self.accept_newer(desired, manifest, &matching).await;
        }
        match (differing.is_empty(), is_whole) {
            (true, true) => Staged::Matching,
            (true, false) if count == 0 => Staged::Missing,
            (true, false) => Staged::Incomplete,
            (false, _) => Staged::Differing(differing),
        }
    }

    /// Counts the chunks of a manifest as proven: an engine runs the version and has just these.
    pub(super) fn accept(&self, manifest: &Manifest) {
        self.transfers.cache.accept(manifest, 0..manifest.chunks());
    }

    /// Counts chunks that lie staged, are listed, and differ from those of the version before as
    /// proven: an agent has staged them, which had proven them for some version, and what lay there
    /// before were chunks of the one before.
    async fn accept_newer(&self, desired: &DesiredVersion, manifest: &Manifest, staged: &[usize]) {
        let before = match desired.version.0.checked_sub(1).filter(|before| *before > 0) {
            None => None,
            Some(before) => {
                let before = DesiredVersion { version: Version(before), ..desired.clone() };
                match timeout(LISTING_BEFORE_TIMEOUT, self.manifest(&before)).await {
                    Ok(listed) => Some(listed),
                    Err(_) => return,
                }
            }
        };
        let is_newer = |chunk: &usize| {
            before.as_ref().is_none_or(|before| before.chunk(*chunk) != manifest.chunk(*chunk))
        };
        let newer: Vec<_> = staged.iter().copied().filter(is_newer).collect();
        tracing::info!(
            version = %desired.version,
            staged = staged.len(),
            newer = newer.len(),
            "staged chunks compared with the version before"
        );
        self.transfers.cache.accept(manifest, newer);
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
                Ok(verdict) => return verdict == Verdict::Replace,
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

    /// Adds chunks that did not match an earlier listing and match this one.
    pub(super) fn add_unmatched(&self, manifest: &Manifest, review: &mut Review) {
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
    pub(super) async fn review_listing(
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
                Some(finding) = findings.recv() => self.handle(desired, review, finding).await,
                () = sleep(wait) => self.read_again(desired, review).await,
            };
            if is_replaced {
                return;
            }
            if self.listings.is_contradicted(desired) {
                review.recheck.suspect();
            }
        }
    }

    /// Handles what a transfer has found. Returns whether the listing was replaced.
    async fn handle(
        &self,
        desired: &DesiredVersion,
        review: &mut Review,
        finding: Finding,
    ) -> bool {
        match finding {
            Finding::Unmatched { chunk, digest, bytes } => {
                review.unmatched.insert(chunk, (digest, bytes));
                review.recheck.suspect();
                false
            }
            Finding::OtherListing { peer } => {
                review.compares_at(self.transfers.clock.now())
                    && self.compare_with(desired, peer, review).await
            }
        }
    }

    /// Reads the listing from the origin again. Returns whether it was replaced.
    async fn read_again(&self, desired: &DesiredVersion, review: &mut Review) -> bool {
        let origin = self.origin().map(|origin| self.open(origin));
        let is_disputed = review.is_disputed(self.transfers.clock.now());
        let is_stuck = review.recheck.is_stuck() || is_disputed;
        let unmatched = review.digests();
        let read = self.listings.review(desired, origin, &unmatched, is_stuck).await;
        review.recheck.record_read(self.transfers.clock.now(), read.is_ok());
        if read.is_ok() {
            review.disputed_since = None;
        }
        read.unwrap_or_else(|error| {
            log_review(desired, &error);
            false
        })
    }

    /// Compares the listing of a version with that of another agent. Returns whether it was
    /// replaced.
    async fn compare_with(
        &self,
        desired: &DesiredVersion,
        peer: SocketAddr,
        review: &mut Review,
    ) -> bool {
        match self.listings.compare(desired, peer, &review.digests()).await {
            Ok(Verdict::Replace) => return true,
            Ok(Verdict::Unsupported) => review.record_dispute(self.transfers.clock.now()),
            Ok(Verdict::Same | Verdict::Contradicted(_)) => {}
            Err(error) => log_review(desired, &error),
        }
        false
    }
}

/// Logs that a listing could not be read again.
fn log_review(desired: &DesiredVersion, error: &anyhow::Error) {
    let error = format!("{error:#}");
    tracing::debug!(version = %desired.version, error, "failed to fetch a listing again");
}
