//! Bringing the wanted version into the engine.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use anyhow::{Context as _, Result, bail};
use cinderspoke_core::gateway::changeover::{Changeover, should_close_early, wave};
use cinderspoke_core::manifest::Manifest;
use cinderspoke_ports::gateway::Engine;
use cinderspoke_types::digest::Digest;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use super::collect::Collector;
use super::load::Load;
use super::plan::{DesiredVersion, Plans};
use super::report::Reporter;

/// How long to wait after something failed.
const RETRY: Duration = Duration::from_millis(200);

/// The part of a version that has to be there for it to be finished although a
/// newer one is wanted.
const WORTH_FINISHING: f64 = 0.25;

/// How long the rest of the chunks of a version that is finished may take to come:
/// somewhat more than its part of a whole spread.
const COLLECT_REST: Duration = Duration::from_millis(2000);

/// How long a version may take to be finished: what is left of its spread, and
/// the changeover.
const FINISH: Duration = Duration::from_millis(3800);

/// How often it is looked how much has come.
const LOOK: Duration = Duration::from_millis(25);

/// How long an engine stays closed for weights that do not come.
const CLOSED_IN_VAIN: Duration = Duration::from_millis(1500);

/// Brings wanted versions into the engine.
pub struct Fetcher {
    reporter: Arc<Reporter>,
    plans: Arc<Plans>,
    engine: Arc<dyn Engine>,
    collector: Collector,
    // What is being brought, or was last.
    current: Mutex<Option<Digest>>,
}

impl Fetcher {
    /// Brings what a collector collects into its engine.
    #[must_use]
    pub(super) fn new(reporter: Arc<Reporter>, collector: Collector) -> Self {
        let (plans, engine) = (Arc::clone(&collector.plans), Arc::clone(&collector.engine));
        Self { reporter, plans, engine, collector, current: Mutex::default() }
    }

    fn current(&self) -> MutexGuard<'_, Option<Digest>> {
        self.current.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Brings whatever version is wanted, for as long as the program runs.
    pub async fn run(self) {
        let mut plans = self.plans.subscribe();
        loop {
            let Some(desired) = self.plans.desired() else {
                if plans.changed().await.is_err() {
                    return;
                }
                continue;
            };
            let superseded = self.superseded(&desired);
            tokio::select! {
                biased;
                () = superseded => {
                    tracing::info!(version = %desired.version, "a newer version is wanted");
                }
                result = self.bring(&desired) => if let Err(error) = result {
                    let error = format!("{error:#}");
                    tracing::warn!(version = %desired.version, error, "bringing a version");
                    sleep(RETRY).await;
                }
            }
            self.reporter.set_accepts_requests(true).await;
        }
    }

    /// Waits until a newer version is wanted so much that this one is given up.
    ///
    /// All finish what is nearly there: no engine may answer with the version
    /// before it for much longer, and the newer one needs as long again. They do
    /// so together, since each holds chunks that the others still lack.
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
        if follows && self.has_part(WORTH_FINISHING) {
            tokio::select! {
                () = self.finish_timeout() => {}
                () = self.prefetch_listing(&newer) => {}
            }
        }
    }

    /// Waits until the time allowed for finishing the current version has elapsed:
    /// `COLLECT_REST` if chunks are still missing by then, `FINISH` otherwise.
    async fn finish_timeout(&self) {
        let began = Instant::now();
        let whole = timeout(COLLECT_REST, self.until_whole()).await.is_ok();
        if whole {
            sleep_until(began + FINISH).await;
        }
    }

    /// Fetches the listing of a version in advance, as the origin may be unavailable by the
    /// time the version is brought. Never completes.
    async fn prefetch_listing(&self, desired: &DesiredVersion) {
        self.collector.manifest(desired).await;
        std::future::pending().await
    }

    /// Whether a part of the chunks of what is being brought is there.
    fn has_part(&self, part: f64) -> bool {
        let manifest = *self.current();
        manifest.is_some_and(|manifest| self.collector.has_part(manifest, part))
    }

    /// Waits until all chunks of what is being brought are there.
    async fn until_whole(&self) {
        while !self.has_part(1.0) {
            sleep(LOOK).await;
        }
    }

    /// Brings a version into the engine; ends when what is wanted has to be looked
    /// at anew.
    async fn bring(&self, desired: &DesiredVersion) -> Result<()> {
        // Until its listing is known, nothing of it is there.
        *self.current() = None;
        let manifest = self.collector.manifest(desired).await;
        *self.current() = Some(manifest.digest());
        let latest = self.reporter.subscribe().borrow().clone();
        let runs = latest.is_some_and(|report| desired.runs_in(&report));
        self.collector.cache_staged(desired, &manifest).await;
        if runs && self.collector.all_chunks(manifest.digest()).is_some() {
            return self.rest(desired).await;
        }
        let changeover = self.changeover(desired);
        tokio::select! {
            biased;
            collected = self.collector.collect(desired, &manifest) => collected?,
            () = self.collector.listing_changed(desired) => bail!("its listing was wrong"),
            () = self.close_early(desired, &manifest), if changeover == Changeover::First => {}
        }
        tracing::info!(
            version = %desired.version,
            after_ms = desired.since.elapsed().as_millis() as u64,
            "weights collected"
        );
        if runs {
            return Ok(());
        }
        let load = Load { engine: self.engine.as_ref(), reporter: &self.reporter, desired };
        let chunks = self.collector.all_chunks(manifest.digest()).context("chunks are gone")?;
        tokio::select! {
            biased;
            loaded = load.run(&manifest, chunks, changeover) => loaded?,
            () = self.collect_next(desired) => {}
        }
        self.collector.evict_before(desired);
        Ok(())
    }

    /// Waits until the engine forgets the version, or another one is wanted.
    async fn rest(&self, desired: &DesiredVersion) -> Result<()> {
        let mut reports = self.reporter.subscribe();
        while self.plans.desired().as_ref() == Some(desired) {
            reports.changed().await?;
            if reports.borrow().as_ref().is_some_and(|report| !desired.runs_in(report)) {
                break;
            }
        }
        Ok(())
    }

    /// When the engine goes over to a version.
    fn changeover(&self, desired: &DesiredVersion) -> Changeover {
        let plan = self.plans.newest();
        let names: Vec<_> = plan.peers.iter().map(|peer| peer.engine.ip().to_string()).collect();
        let engines = plan.peers.iter().zip(&names);
        let engines: Vec<_> =
            engines.map(|(peer, name)| (peer.zone.as_str(), name.as_str())).collect();
        let own = (self.collector.own.zone.as_str(), self.collector.own.instance.as_str());
        Changeover::of_wave(wave(&desired.to_string(), own, &engines))
    }

    /// Closes the engine once the rest of its weights is about to come in.
    async fn close_early(&self, desired: &DesiredVersion, manifest: &Manifest) {
        let spacing = self.collector.origin_spacing(manifest);
        let should_close = |(held, total)| should_close_early(held, total, spacing);
        while !self.collector.progress(manifest.digest()).is_some_and(should_close) {
            sleep(LOOK).await;
        }
        if self.plans.newest().peers.len() > 1 {
            self.reporter.set_accepts_requests(false).await;
            sleep(CLOSED_IN_VAIN).await;
            tracing::warn!(version = %desired.version, "closed for weights that do not come");
            self.reporter.set_accepts_requests(true).await;
        }
        std::future::pending().await
    }

    /// Collects the version after this one, should it be wanted meanwhile.
    async fn collect_next(&self, desired: &DesiredVersion) {
        let mut plans = self.plans.subscribe();
        loop {
            if let Some(next) = self.plans.desired().filter(|next| next != desired) {
                let collected = async {
                    let manifest = self.collector.manifest(&next).await;
                    self.collector.collect(&next, &manifest).await
                };
                match collected.await {
                    Ok(()) => break,
                    Err(error) => {
                        let error = format!("{error:#}");
                        tracing::debug!(version = %next.version, error, "collecting ahead");
                        sleep(RETRY).await;
                    }
                }
            } else if plans.changed().await.is_err() {
                break;
            }
        }
        std::future::pending().await
    }
}
