//! Has an engine load a version whose chunks are all cached.

use std::time::Duration;

use anyhow::{Context, Result, bail};
use bytes::Bytes;
use cinderspoke_core::gateway::changeover::Changeover;
use cinderspoke_core::gateway::directory::Start;
use cinderspoke_core::manifest::Manifest;
use cinderspoke_ports::gateway::{Engine, EngineReport, OrderOutcome, Switch};
use tokio::time::{Instant, sleep, sleep_until, timeout};

use super::plan::DesiredVersion;
use super::report::Reporter;

/// How often a closed engine is polled for requests that still run.
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// How many polls in a row have to find the engine idle. By then requests that were in transit
/// have arrived, even if a gateway missed a datagram.
const IDLE_POLLS: u32 = 5;

/// How long requests that wait for their first token may delay the abort: they would begin on the
/// old version after the order.
const FIRST_TOKEN_GRACE: Duration = Duration::from_millis(600);

/// Timeout for loading a version.
const LOAD_TIMEOUT: Duration = Duration::from_secs(20);

/// The milliseconds since an instant.
fn millis(since: Instant) -> u64 {
    since.elapsed().as_millis() as u64
}

/// One changeover of an engine.
pub(super) struct Load<'a> {
    pub(super) engine: &'a dyn Engine,
    pub(super) reporter: &'a Reporter,
    pub(super) desired: &'a DesiredVersion,
}

impl Load<'_> {
    /// Stages chunks, drains the engine at the time of its changeover, and has it load them.
    pub(super) async fn run(
        &self,
        manifest: &Manifest,
        chunks: Vec<Bytes>,
        changeover: Changeover,
    ) -> Result<()> {
        let DesiredVersion { model, version, since } = self.desired;
        let collected = Instant::now();
        for (number, bytes) in chunks.into_iter().enumerate() {
            self.engine.stage(model, number, bytes).await?;
        }
        let idle = self.is_idle().await?;
        if !idle {
            sleep_until(collected + changeover.close_after()).await;
            self.reporter.set_accepts_requests(false).await;
            self.drain(collected + changeover.abort_after()).await?;
        }
        tracing::info!(%version, took_ms = millis(collected), "chunks staged and engine drained");
        let verified = Instant::now();
        self.check_staged(manifest).await?;
        tracing::info!(%version, took_ms = millis(verified), "staged chunks verified");
        let report = self.report().await?;
        let began = Instant::now();
        let (orders, oldest_check_ms) = (report.orders, millis(verified));
        tracing::info!(%version, orders, oldest_check_ms, "order sent");
        let outcome = self.engine.start_load(model, *version, Switch::Abort, orders).await;
        let oldest_check_ms = millis(verified);
        tracing::info!(%version, orders, oldest_check_ms, ?outcome, "order answered");
        match outcome? {
            OrderOutcome::Accepted => {}
            OrderOutcome::Rejected => bail!("the engine rejected the order: its state has changed"),
        }
        let loaded = timeout(LOAD_TIMEOUT, self.wait_loaded(report.start)).await;
        self.reporter.set_accepts_requests(true).await;
        loaded.context("timed out waiting for the engine to load the version")??;
        tracing::info!(
            %version,
            broken_off = report.load.running + report.load.queued,
            took_ms = began.elapsed().as_millis() as u64,
            after_ms = since.elapsed().as_millis() as u64,
            "engine runs a version"
        );
        Ok(())
    }

    /// Whether the engine has no model loaded, so that no request can be aborted.
    async fn is_idle(&self) -> Result<bool> {
        let report = self.report().await?;
        Ok(report.models.is_empty())
    }

    /// The engine's report; an error if the engine is executing another order.
    async fn report(&self) -> Result<EngineReport> {
        let report = self.engine.report().await?;
        if report.busy {
            bail!("the engine is executing another order");
        }
        Ok(report)
    }

    /// Waits until a closed engine is idle, or until its requests are to be aborted: at `until`,
    /// or up to [`FIRST_TOKEN_GRACE`] later while requests are queued.
    async fn drain(&self, until: Instant) -> Result<()> {
        let mut idle_polls = 0;
        loop {
            sleep(POLL_INTERVAL).await;
            let load = self.report().await?.load;
            let now = Instant::now();
            idle_polls = if load.running + load.queued == 0 { idle_polls + 1 } else { 0 };
            let all_begun = load.queued == 0 && now >= until;
            if idle_polls >= IDLE_POLLS || all_begun || now >= until + FIRST_TOKEN_GRACE {
                return Ok(());
            }
        }
    }

    /// Verifies the staged chunks, which may have been corrupted since they were staged.
    async fn check_staged(&self, manifest: &Manifest) -> Result<()> {
        for chunk in 0..manifest.chunks() {
            let bytes = self.engine.staged(&self.desired.model, chunk).await?;
            let digest = bytes.map(|bytes| manifest.algorithm().chunk(&bytes));
            if digest != manifest.chunk(chunk) {
                bail!("staged chunk {chunk} is corrupt");
            }
        }
        Ok(())
    }

    /// Waits until the engine runs the version. Fails if the engine restarts, since it loses the
    /// order then; `start` identifies the run that received the order.
    async fn wait_loaded(&self, start: Option<Start>) -> Result<()> {
        let mut reports = self.reporter.subscribe();
        loop {
            reports.changed().await?;
            let report = reports.borrow_and_update().clone();
            let Some(report) = report else {
                bail!("the engine stopped answering while it loaded the version")
            };
            if self.desired.runs_in(&report) && !report.busy {
                return Ok(());
            }
            let has_reset = !report.busy && report.models.is_empty() && report.orders == 0;
            if has_reset || report.start != start {
                bail!("the engine restarted while it loaded the version");
            }
        }
    }
}
