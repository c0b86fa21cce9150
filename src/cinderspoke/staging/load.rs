//! Has an engine load a version whose chunks are all cached.

use std::time::Duration;

use anyhow::{Result, bail};
use bytes::Bytes;
use cinderspoke_core::gateway::changeover::Changeover;
use cinderspoke_core::manifest::Manifest;
use cinderspoke_ports::gateway::{Engine, EngineReport, Layers};
use tokio::time::{Instant, sleep, sleep_until};
use tokio_util::sync::CancellationToken;

use super::chunks::Chunks;
use super::plan::DesiredVersion;
use super::report::Reporter;
use super::trust::{Trust, Weights};
use crate::util::clock::Clock;

/// How often a closed engine is polled for requests that still run.
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// How many polls in a row have to find the engine idle. By then requests that were in transit
/// have arrived, even if a gateway missed a datagram.
const IDLE_POLLS: u32 = 5;

/// How long requests that wait for their first token may delay the abort: they would begin on the
/// old version after the order.
const FIRST_TOKEN_GRACE: Duration = Duration::from_millis(600);

/// The milliseconds since an instant.
pub(super) fn millis(since: Instant) -> u64 {
    since.elapsed().as_millis() as u64
}

/// One changeover of an engine.
pub(super) struct Load<'a> {
    pub(super) engine: &'a dyn Engine,
    pub(super) reporter: &'a Reporter,
    pub(super) desired: &'a DesiredVersion,
    pub(super) trust: &'a Trust,
    pub(super) clock: Clock,
    /// Cancelled once another version is desired. What is under way at the engine is not dropped
    /// then, since the engine may carry it out later; no further step is begun.
    pub(super) abandon: &'a CancellationToken,
}

impl Load<'_> {
    /// Stages chunks, drains the engine at the time of its changeover, and has it load them.
    /// Opens the engine once it is known to run whole weights.
    pub(super) async fn run(
        &self,
        manifest: &Manifest,
        chunks: Vec<Bytes>,
        changeover: Changeover,
    ) -> Result<()> {
        let version = self.desired.version;
        let collected = Instant::now();
        let mut chunks = self.chunks(manifest, chunks);
        chunks.stage(self.abandon).await?;
        let idle = self.is_idle().await?;
        if !idle {
            sleep_until(collected + changeover.close_after()).await;
            self.ensure_desired()?;
            self.reporter.set_accepts_requests(false).await;
            self.drain(collected + changeover.abort_after()).await?;
        }
        tracing::info!(%version, took_ms = millis(collected), "chunks staged and engine drained");
        self.load(&mut chunks).await
    }

    /// The chunks of the version at the engine.
    fn chunks<'a>(&'a self, manifest: &'a Manifest, bytes: Vec<Bytes>) -> Chunks<'a> {
        let model = &self.desired.model;
        Chunks::new(self.engine, model, manifest, bytes, self.trust, self.clock)
    }

    /// Verifies the weights that the engine has loaded and has it load them anew if they are bad.
    /// Opens the engine once it is known to run whole weights.
    pub(super) async fn repair(&self, manifest: &Manifest, chunks: Vec<Bytes>) -> Result<()> {
        let mut chunks = self.chunks(manifest, chunks);
        if self.trust.weights() == Weights::Unverified {
            self.confirm(&mut chunks).await?;
        }
        if self.trust.weights() == Weights::Bad {
            // All of them may be those of another version.
            chunks.stage(self.abandon).await?;
            return self.load(&mut chunks).await;
        }
        self.reporter.set_accepts_requests(true).await;
        Ok(())
    }

    /// Has the engine load the staged chunks, again if what it took was not whole, and opens it.
    async fn load(&self, chunks: &mut Chunks<'_>) -> Result<()> {
        let DesiredVersion { version, since, .. } = self.desired;
        let began = Instant::now();
        let broken_off = loop {
            self.ensure_desired()?;
            if self.trust.weights() == Weights::Bad {
                self.unload(chunks).await?;
            }
            let taken = self.order(chunks, Layers::All).await?;
            self.wait_loaded(&taken, Layers::All).await?;
            if self.trust.weights() == Weights::Unverified {
                self.confirm(chunks).await?;
            }
            if self.trust.weights() == Weights::Whole {
                break taken.before.load.running + taken.before.load.queued;
            }
        };
        self.reporter.set_accepts_requests(true).await;
        tracing::info!(
            %version,
            broken_off,
            took_ms = millis(began),
            after_ms = since.elapsed().as_millis() as u64,
            "engine runs a version"
        );
        Ok(())
    }

    /// Verifies the chunks of weights that the engine has loaded: a chunk that was bad when the
    /// engine took it still is.
    async fn confirm(&self, chunks: &mut Chunks<'_>) -> Result<()> {
        let (version, began) = (self.desired.version, Instant::now());
        let bad = chunks.find_bad().await?;
        tracing::info!(%version, took_ms = millis(began), ?bad, "loaded weights verified");
        self.trust.set(if bad.is_empty() { Weights::Whole } else { Weights::Bad });
        Ok(())
    }

    /// Has the engine drop all layers of the version that it has loaded. It keeps those that an
    /// order is for, so it loads one layer, then another one in its place, and the next order for
    /// all layers loads the rest.
    async fn unload(&self, chunks: &mut Chunks<'_>) -> Result<()> {
        if !self.desired.runs_in(&self.report().await?) {
            return Ok(());
        }
        tracing::warn!(version = %self.desired.version, "loads the weights anew");
        for layer in [Layers::Only(0), Layers::Only(1)] {
            let taken = self.order(chunks, layer).await?;
            self.wait_loaded(&taken, layer).await?;
        }
        Ok(())
    }

    /// Fails if another version is desired.
    pub(super) fn ensure_desired(&self) -> Result<()> {
        if self.abandon.is_cancelled() {
            bail!("abandoned before the order");
        }
        Ok(())
    }

    /// Whether the engine has no model loaded, so that no request can be aborted.
    async fn is_idle(&self) -> Result<bool> {
        let report = self.report().await?;
        Ok(report.models.is_empty())
    }

    /// The engine's report; an error if the engine is executing another order.
    pub(super) async fn report(&self) -> Result<EngineReport> {
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
            self.ensure_desired()?;
            let load = self.report().await?.load;
            let now = Instant::now();
            idle_polls = if load.running + load.queued == 0 { idle_polls + 1 } else { 0 };
            let all_begun = load.queued == 0 && now >= until;
            if idle_polls >= IDLE_POLLS || all_begun || now >= until + FIRST_TOKEN_GRACE {
                return Ok(());
            }
        }
    }
}
