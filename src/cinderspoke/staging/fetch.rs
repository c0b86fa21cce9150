//! Fetches the desired version and has the engine load it.

use std::convert::Infallible;
use std::pin::pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use anyhow::{Context as _, Result, bail};
use bytes::Bytes;
use cinderspoke_core::gateway::changeover::{Changeover, should_close_early, wave};
use cinderspoke_core::manifest::Manifest;
use cinderspoke_core::proof::Unmatched;
use cinderspoke_ports::gateway::Engine;
use cinderspoke_types::digest::Digest;
use metrics::counter;
use tokio::time::{Instant, sleep, sleep_until, timeout};
use tokio_util::sync::CancellationToken;

use super::collect::Collector;
use super::load::Load;
use super::plan::{DesiredVersion, Plans};
use super::report::Reporter;
use super::review::Staged;
use super::trust::{Trust, Weights};
use crate::util::metrics::WEIGHTS_SUSPECTED;

/// Delay before another attempt after a failure.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// The share of a version's chunks that has to be cached for the version to be finished although
/// a newer one is desired.
const MIN_SHARE_TO_FINISH: f64 = 0.25;

/// How long the missing chunks of a version being finished may take: somewhat more than their
/// share of the time in which a whole version spreads.
const COLLECT_REST_TIMEOUT: Duration = Duration::from_millis(2000);

/// How long finishing a version may take in all: the rest of its spread, and the changeover.
const FINISH_TIMEOUT: Duration = Duration::from_millis(3800);

/// How often the number of cached chunks is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// How long an engine that was closed early stays closed while its weights are not complete.
const CLOSED_EARLY_TIMEOUT: Duration = Duration::from_millis(1500);

/// What the engine has to do once a version is fetched.
enum Step {
    /// Nothing.
    Done,
    /// Load the version, which it runs, anew if its weights turn out to be bad.
    Repair(Manifest, Vec<Bytes>),
    /// Load the version.
    Load(Manifest, Vec<Bytes>, Changeover),
}

/// Fetches each desired version and has the engine load it.
pub struct Fetcher {
    reporter: Arc<Reporter>,
    plans: Arc<Plans>,
    engine: Arc<dyn Engine>,
    collector: Collector,
    trust: Trust,
    // Identifies the version being fetched or fetched last.
    current: Mutex<Option<Digest>>,
}

impl Fetcher {
    /// Creates a fetcher for a collector's engine.
    #[must_use]
    pub(super) fn new(reporter: Arc<Reporter>, collector: Collector) -> Self {
        let (plans, engine) = (Arc::clone(&collector.plans), Arc::clone(&collector.engine));
        let (trust, current) = (Trust::default(), Mutex::default());
        Self { reporter, plans, engine, collector, trust, current }
    }

    fn current(&self) -> MutexGuard<'_, Option<Digest>> {
        self.current.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Installs each desired version, for as long as the process runs.
    pub async fn run(self) {
        let mut plans = self.plans.subscribe();
        loop {
            let Some(desired) = self.plans.desired() else {
                if plans.changed().await.is_err() {
                    return;
                }
                continue;
            };
            let abandon = CancellationToken::new();
            let mut install = pin!(self.install(&desired, &abandon));
            let result = tokio::select! {
                biased;
                () = self.superseded(&desired) => {
                    abandon.cancel();
                    let result = install.await;
                    tracing::info!(version = %desired.version, "version abandoned for a newer one");
                    result
                }
                result = &mut install => result,
            };
            if let Err(error) = result
                && !abandon.is_cancelled()
            {
                let error = format!("{error:#}");
                tracing::warn!(version = %desired.version, error, "failed to install a version");
                sleep(RETRY_DELAY).await;
            }
            self.reopen().await;
        }
    }

    /// Opens the engine to requests, unless the weights that it runs may have bad chunks.
    async fn reopen(&self) {
        if self.trust.weights() == Weights::Whole {
            self.reporter.set_accepts_requests(true).await;
        }
    }

    /// Waits until a newer version is desired and this one is to be abandoned for it.
    ///
    /// A version of which enough chunks are cached is finished first: no engine may answer with
    /// the version before it for much longer, and the newer version takes as long again. All
    /// agents finish it together, since each holds chunks that others still lack.
    async fn superseded(&self, desired: &DesiredVersion) {
        let mut changes = self.plans.subscribe();
        let newer = loop {
            if let Some(newer) = self.plans.desired().filter(|newer| newer != desired) {
                break newer;
            }
            if changes.changed().await.is_err() {
                return;
            }
        };
        let follows = newer.model == desired.model && newer.version.0 == desired.version.0 + 1;
        if follows && self.has_share(MIN_SHARE_TO_FINISH) {
            tokio::select! {
                () = self.finish_timeout() => {}
                () = self.prefetch_listing(&newer) => {}
            }
        }
    }

    /// Waits until the time allowed for finishing the current version has elapsed:
    /// `COLLECT_REST_TIMEOUT` if chunks are still missing by then, `FINISH_TIMEOUT` otherwise.
    async fn finish_timeout(&self) {
        let began = Instant::now();
        let is_complete = timeout(COLLECT_REST_TIMEOUT, self.wait_complete()).await.is_ok();
        if is_complete {
            sleep_until(began + FINISH_TIMEOUT).await;
        }
    }

    /// Fetches the listing of a version in advance, as the origin may be unavailable by the
    /// time the version is fetched. Never completes.
    async fn prefetch_listing(&self, desired: &DesiredVersion) {
        self.collector.manifest(desired).await;
        std::future::pending().await
    }

    /// Whether a share of the current version's chunks is cached.
    fn has_share(&self, share: f64) -> bool {
        let version = *self.current();
        version.is_some_and(|version| self.collector.has_share(version, share))
    }

    /// Waits until all chunks of the current version are cached.
    async fn wait_complete(&self) {
        while !self.has_share(1.0) {
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Fetches a version and has the engine load it. Returns when the desired version has to be
    /// determined again.
    ///
    /// Once `abandon` is cancelled it returns soon, but never while a call that the engine may
    /// still carry out is under way.
    async fn install(&self, desired: &DesiredVersion, abandon: &CancellationToken) -> Result<()> {
        let step = tokio::select! {
            biased;
            () = abandon.cancelled() => bail!("abandoned while chunks were collected"),
            step = self.prepare(desired) => step?,
        };
        let load = Load {
            engine: self.engine.as_ref(),
            reporter: &self.reporter,
            desired,
            trust: &self.trust,
            clock: self.collector.transfers.clock,
            abandon,
        };
        let (manifest, chunks, changeover) = match step {
            Step::Done => return Ok(()),
            Step::Repair(manifest, chunks) => return load.repair(&manifest, chunks).await,
            Step::Load(manifest, chunks, changeover) => (manifest, chunks, changeover),
        };
        tokio::select! {
            biased;
            loaded = load.run(&manifest, chunks, changeover) => loaded?,
            () = self.collect_next(desired) => {}
        }
        self.collector.evict_before(desired);
        Ok(())
    }

    /// Fetches a version, and determines what the engine has to do. Sends the engine nothing that
    /// changes its state.
    async fn prepare(&self, desired: &DesiredVersion) -> Result<Step> {
        // No chunk counts as cached before the listing is known.
        *self.current() = None;
        let manifest = self.collector.manifest(desired).await;
        *self.current() = Some(manifest.version());
        let runs = self.runs(desired).await;
        match self.collector.compare_staged(desired, &manifest, runs).await {
            Staged::Matching if runs => self.accept(&manifest).await,
            Staged::Differing(chunks) if runs => {
                if self.suspect(desired, &chunks).await {
                    bail!("the version's listing was replaced");
                }
            }
            Staged::Matching | Staged::Incomplete => {
                // Other agents may have proven the chunks that are cached now.
                if self.collector.ask_peers(desired, &Unmatched::new()).await {
                    bail!("the version's listing was replaced");
                }
            }
            Staged::Proven | Staged::Missing | Staged::Differing(_) => {}
        }
        if runs && let Some(chunks) = self.collector.all_chunks(manifest.version()) {
            if self.trust.weights() != Weights::Whole {
                return Ok(Step::Repair(manifest, chunks));
            }
            self.wait_outdated(desired).await?;
            return Ok(Step::Done);
        }
        let changeover = self.changeover(desired);
        let manifest = tokio::select! {
            biased;
            collected = self.collector.collect(desired) => collected?,
            never = self.close_early(desired, &manifest), if changeover == Changeover::First => {
                match never {}
            }
        };
        tracing::info!(
            version = %desired.version,
            after_ms = desired.since.elapsed().as_millis() as u64,
            "weights collected"
        );
        let is_whole = self.trust.weights() == Weights::Whole;
        if runs && is_whole {
            return Ok(Step::Done);
        }
        let chunks = self
            .collector
            .all_chunks(manifest.version())
            .context("chunks were evicted before loading")?;
        if runs {
            return Ok(Step::Repair(manifest, chunks));
        }
        Ok(Step::Load(manifest, chunks, changeover))
    }

    /// Whether the engine runs a version, by its latest report.
    async fn runs(&self, desired: &DesiredVersion) -> bool {
        let latest = self.reporter.subscribe().borrow().clone();
        let report = match latest {
            Some(report) => Some(report),
            // It has not been polled yet, or does not answer.
            None => self.engine.report().await.ok(),
        };
        report.is_some_and(|report| desired.runs_in(&report))
    }

    /// Takes the version that the engine runs as whole: what lies staged is what is listed.
    async fn accept(&self, manifest: &Manifest) {
        self.collector.accept(manifest);
        if self.trust.weights() == Weights::Unverified {
            self.trust.set(Weights::Whole);
            self.reopen().await;
        }
    }

    /// Handles staged chunks that are not those of the version that the engine runs: reads the
    /// listing again, and closes the engine if it stays. Returns whether it was replaced.
    ///
    /// Nothing shows whether the chunks turned bad since the engine has loaded them.
    async fn suspect(&self, desired: &DesiredVersion, chunks: &Unmatched) -> bool {
        if self.collector.review(desired, chunks).await {
            return true;
        }
        counter!(WEIGHTS_SUSPECTED).increment(1);
        let (version, chunks) = (desired.version, chunks.len());
        tracing::warn!(%version, chunks, "engine closed: its chunks are not those listed");
        if self.trust.weights() == Weights::Whole {
            self.trust.set(Weights::Unverified);
        }
        self.reporter.set_accepts_requests(false).await;
        false
    }

    /// Waits until the engine no longer runs the version, or another one is desired.
    async fn wait_outdated(&self, desired: &DesiredVersion) -> Result<()> {
        let mut reports = self.reporter.subscribe();
        while self.plans.desired().as_ref() == Some(desired) {
            reports.changed().await?;
            if reports.borrow().as_ref().is_some_and(|report| !desired.runs_in(report)) {
                break;
            }
        }
        Ok(())
    }

    /// Determines when the engine switches to a version, by its rollout wave.
    fn changeover(&self, desired: &DesiredVersion) -> Changeover {
        let plan = self.plans.newest();
        let names: Vec<_> = plan.peers.iter().map(|peer| peer.engine.ip().to_string()).collect();
        let engines = plan.peers.iter().zip(&names);
        let engines: Vec<_> =
            engines.map(|(peer, name)| (peer.zone.as_str(), name.as_str())).collect();
        let own = (self.collector.own.zone.as_str(), self.collector.own.instance.as_str());
        Changeover::of_wave(wave(&desired.to_string(), own, &engines))
    }

    /// Closes the engine to new requests once its weights are nearly complete. Never completes.
    async fn close_early(&self, desired: &DesiredVersion, manifest: &Manifest) -> Infallible {
        let spacing = self.collector.origin_spacing(manifest);
        let should_close = |(held, total)| should_close_early(held, total, spacing);
        while !self.collector.progress(manifest.version()).is_some_and(should_close) {
            sleep(POLL_INTERVAL).await;
        }
        if self.plans.newest().peers.len() > 1 {
            self.reporter.set_accepts_requests(false).await;
            sleep(CLOSED_EARLY_TIMEOUT).await;
            tracing::warn!(
                version = %desired.version,
                "engine reopened: its weights are not complete yet"
            );
            self.reopen().await;
        }
        std::future::pending().await
    }

    /// Collects the chunks of a newer version if one becomes desired while this one is loaded.
    /// Never completes.
    async fn collect_next(&self, desired: &DesiredVersion) {
        let mut plans = self.plans.subscribe();
        loop {
            if let Some(next) = self.plans.desired().filter(|next| next != desired) {
                match self.collector.collect(&next).await {
                    Ok(_) => break,
                    Err(error) => {
                        let error = format!("{error:#}");
                        tracing::debug!(
                            version = %next.version,
                            error,
                            "failed to collect the next version in advance"
                        );
                        sleep(RETRY_DELAY).await;
                    }
                }
            } else if plans.changed().await.is_err() {
                break;
            }
        }
        std::future::pending().await
    }
}
