//! Having an engine load a version that is collected whole.

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

/// How often the engine is asked whether anything still runs in it.
const LOOK: Duration = Duration::from_millis(25);

/// So many times in a row nothing may run: what was on its way has come then,
/// also after a lost datagram.
const QUIET_LOOKS: u32 = 5;

/// How much longer what waits for its first token keeps the engine from being
/// broken off: it would begin on the old version after the order.
const FIRST_TOKENS: Duration = Duration::from_millis(600);

/// How long an engine may take to load.
const LOADING: Duration = Duration::from_secs(20);

/// One changeover of an engine.
pub(super) struct Load<'a> {
    pub(super) engine: &'a dyn Engine,
    pub(super) reporter: &'a Reporter,
    pub(super) desired: &'a DesiredVersion,
}

impl Load<'_> {
    /// Stages chunks and has the engine load them in its turn.
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
        self.check_staged(manifest).await?;
        let report = self.report().await?;
        let began = Instant::now();
        match self.engine.start_load(model, *version, Switch::Abort, report.orders).await? {
            OrderOutcome::Accepted => {}
            OrderOutcome::Rejected => bail!("the order does not fit the engine's state"),
        }
        let loaded = timeout(LOADING, self.loaded(report.start)).await;
        self.reporter.set_accepts_requests(true).await;
        loaded.context("the engine did not load in time")??;
        tracing::info!(
            %version,
            broken_off = report.load.running + report.load.queued,
            took_ms = began.elapsed().as_millis() as u64,
            after_ms = since.elapsed().as_millis() as u64,
            "engine runs a version"
        );
        Ok(())
    }

    /// Whether the engine has nothing that could be broken off.
    async fn is_idle(&self) -> Result<bool> {
        let report = self.report().await?;
        Ok(report.models.is_empty())
    }

    /// What the engine says, unless it is under an order of someone else.
    async fn report(&self) -> Result<EngineReport> {
        let report = self.engine.report().await?;
        if report.busy {
            bail!("the engine is under another order");
        }
        Ok(report)
    }

    /// Waits until nothing runs in a closed engine, or until it is to be broken off.
    async fn drain(&self, until: Instant) -> Result<()> {
        let mut quiet = 0;
        loop {
            sleep(LOOK).await;
            let load = self.report().await?.load;
            let now = Instant::now();
            quiet = if load.running + load.queued == 0 { quiet + 1 } else { 0 };
            let begun = load.queued == 0 && now >= until;
            if quiet >= QUIET_LOOKS || begun || now >= until + FIRST_TOKENS {
                return Ok(());
            }
        }
    }

    /// Reads back what was staged: it may have turned bad since.
    async fn check_staged(&self, manifest: &Manifest) -> Result<()> {
        for chunk in 0..manifest.chunks() {
            let bytes = self.engine.staged(&self.desired.model, chunk).await?;
            let digest = bytes.map(|bytes| manifest.algorithm().chunk(&bytes));
            if digest != manifest.chunk(chunk) {
                bail!("chunk {chunk} turned bad where it was staged");
            }
        }
        Ok(())
    }

    /// Waits until the engine runs the version, unless it starts anew, which forgets the
    /// order; `start` is when it had started.
    async fn loaded(&self, start: Option<Start>) -> Result<()> {
        let mut reports = self.reporter.subscribe();
        loop {
            reports.changed().await?;
            let report = reports.borrow_and_update().clone();
            let Some(report) = report else { bail!("the engine was lost while it loaded") };
            if self.desired.runs_in(&report) && !report.busy {
                return Ok(());
            }
            let forgot = !report.busy && report.models.is_empty() && report.orders == 0;
            if forgot || report.start != start {
                bail!("the engine has started anew");
            }
        }
    }
}
