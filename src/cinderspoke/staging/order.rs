//! Orders an engine to load the chunks that are staged there.

use std::time::Duration;

use anyhow::{Context as _, Result, bail};
use cinderspoke_ports::gateway::{EngineReport, Layers, OrderOutcome, Switch};
use tokio::time::{Instant, timeout};

use super::chunks::{Chunks, Verified};
use super::load::{Load, millis};
use super::trust::Weights;

/// Timeout for loading a version.
const LOAD_TIMEOUT: Duration = Duration::from_secs(20);

/// What an order changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Change {
    /// The engine has loaded layers from what was staged.
    Loaded,
    /// The engine held the layers already.
    None,
}

/// An order that the engine has taken.
pub(super) struct Taken {
    /// The engine's report from before the order.
    pub(super) before: EngineReport,
    change: Change,
}

impl Load<'_> {
    /// Verifies the staged chunks and has the engine load layers from them. Returns once the
    /// engine has taken the order, and records whether what it took was whole.
    pub(super) async fn order(&self, chunks: &mut Chunks<'_>, layers: Layers) -> Result<Taken> {
        let version = self.desired.version;
        let before = self.report().await?;
        self.reporter.set_accepts_requests(false).await;
        let began = Instant::now();
        let verified = chunks.verify().await?;
        tracing::info!(%version, took_ms = millis(began), ?verified, "staged chunks verified");
        let known = self.trust.weights();
        if known == Weights::Whole {
            self.trust.set(Weights::Unverified);
        }
        let (orders, check_age) = (before.orders, chunks.age());
        tracing::info!(%version, ?layers, orders, ?check_age, "order sent");
        let model = &self.desired.model;
        let outcome = self.engine.start_load(model, version, layers, Switch::Abort, orders).await;
        let (is_proven, check_age) = (chunks.are_proven(), chunks.age());
        tracing::info!(%version, orders, ?check_age, is_proven, ?outcome, "order answered");
        let change = match outcome? {
            OrderOutcome::Begun => {
                let is_whole = is_proven && verified == Verified::InTime;
                self.trust.set(weights_after(layers, is_whole));
                Change::Loaded
            }
            OrderOutcome::Held => {
                self.trust.set(known);
                Change::None
            }
            OrderOutcome::Rejected => {
                self.trust.set(known);
                bail!("the engine rejected the order: its state has changed");
            }
        };
        Ok(Taken { before, change })
    }

    /// Waits until the engine has carried out an order. Fails if the engine restarts, since it
    /// loses the order then.
    pub(super) async fn wait_loaded(&self, taken: &Taken, layers: Layers) -> Result<()> {
        let loaded = timeout(LOAD_TIMEOUT, self.wait_carried_out(taken, layers)).await;
        loaded.context("timed out waiting for the engine to load the version")?
    }

    async fn wait_carried_out(&self, taken: &Taken, layers: Layers) -> Result<()> {
        let mut reports = self.reporter.subscribe();
        loop {
            reports.changed().await?;
            let report = reports.borrow_and_update().clone();
            let Some(report) = report else {
                bail!("the engine stopped answering while it loaded the version")
            };
            let has_begun = taken.change == Change::None || report.orders > taken.before.orders;
            let is_done = has_begun && !report.busy;
            if is_done && (layers != Layers::All || self.desired.runs_in(&report)) {
                return Ok(());
            }
            let has_reset = !report.busy && report.models.is_empty() && report.orders == 0;
            if has_reset || report.start != taken.before.start {
                self.trust.set(Weights::Whole);
                bail!("the engine restarted while it loaded the version");
            }
        }
    }
}

/// What is known of the weights after an order for layers; `is_whole` is whether the chunks that
/// the engine took are known to have been whole.
fn weights_after(layers: Layers, is_whole: bool) -> Weights {
    match layers {
        Layers::All if is_whole => Weights::Whole,
        Layers::All => Weights::Unverified,
        Layers::Only(_) => Weights::Bad,
    }
}
