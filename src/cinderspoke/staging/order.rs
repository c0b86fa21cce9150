//! Orders an engine to load the chunks that are staged there.

use std::time::Duration;

use anyhow::{Context as _, Result, bail};
use cinderspoke_core::gateway::verification::Verification;
use cinderspoke_ports::Error;
use cinderspoke_ports::gateway::{EngineReport, Layers, OrderOutcome, Switch};
use tokio::time::{Instant, sleep, timeout};
use tokio_util::sync::CancellationToken;

use super::chunks::Chunks;
use super::load::{Load, millis};
use super::plan::DesiredVersion;
use super::trust::Weights;

/// Timeout for loading a version.
const LOAD_TIMEOUT: Duration = Duration::from_secs(20);

/// How long after an attempt whose outcome is unknown the order is sent again.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// What is known of an order that can no longer be taken.
struct Settled {
    outcome: OrderOutcome,
    // When that became known; if the order was taken, it was taken before.
    known_at: Duration,
}

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
        let verified = chunks.verify(self.abandon).await?;
        tracing::info!(%version, took_ms = millis(began), ?verified, "staged chunks verified");
        self.ensure_desired()?;
        let known = self.trust.weights();
        if known == Weights::Whole {
            self.trust.set(Weights::Unverified);
        }
        let (orders, check_age) = (before.orders, chunks.verification().age(self.clock.now()));
        tracing::info!(%version, ?layers, orders, ?check_age, "order sent");
        let settled = self.settle(chunks, &before, layers).await;
        // Holds unless the engine has taken the order.
        self.trust.set(known);
        let Settled { outcome, known_at } = settled?;
        let check_age = chunks.verification().age(known_at);
        let is_proven = chunks.verification().proves_whole(known_at);
        tracing::info!(%version, orders, ?check_age, is_proven, ?outcome, "order answered");
        let change = match outcome {
            OrderOutcome::Begun => {
                let is_proven = is_proven && !self.trust.expects_late_upload(known_at);
                let weights = weights_after(layers, is_proven, chunks.verification());
                self.trust.record_taken(version, weights);
                Change::Loaded
            }
            OrderOutcome::Held => {
                if !self.trust.has_ordered(version) {
                    // By an order of another agent, from chunks that may have been others.
                    self.trust.set(Weights::Bad);
                }
                Change::None
            }
            OrderOutcome::Rejected => bail!("the engine rejected the order: its state has changed"),
        };
        Ok(Taken { before, change })
    }

    /// Sends an order and finds out its outcome. Keeps the chunks whole meanwhile, and returns only
    /// once the order can no longer be taken: nothing else may be staged before.
    async fn settle(
        &self,
        chunks: &mut Chunks<'_>,
        before: &EngineReport,
        layers: Layers,
    ) -> Result<Settled> {
        chunks.verification().begin_order();
        let done = CancellationToken::new();
        let settled = async {
            let settled = self.send_until_settled(before, layers).await;
            done.cancel();
            settled
        };
        let (settled, ()) = tokio::join!(settled, chunks.keep_whole(&done));
        chunks.verification().end_order();
        settled
    }

    /// Sends an order, and again while its outcome is unknown: each one names the same count of
    /// orders, so the engine takes only one of them.
    async fn send_until_settled(&self, before: &EngineReport, layers: Layers) -> Result<Settled> {
        let DesiredVersion { model, version, .. } = self.desired;
        let mut attempt = 0;
        loop {
            let send =
                self.engine.start_load(model, *version, layers, Switch::Abort, before.orders);
            let outcome = send.await;
            let known_at = self.clock.now();
            match outcome {
                // A later rejection may be due to an earlier attempt that was taken.
                Ok(outcome) if attempt == 0 || outcome != OrderOutcome::Rejected => {
                    return Ok(Settled { outcome, known_at });
                }
                Err(error) if attempt == 0 && !matches!(error, Error::Unavailable(_)) => {
                    return Err(error.into());
                }
                outcome => {
                    tracing::info!(%version, attempt, ?outcome, "outcome of an order unknown");
                }
            }
            match self.engine.report().await {
                Ok(report) if has_restarted(before, &report) => {
                    bail!("the engine restarted before it took the order")
                }
                Ok(report) if report.orders > before.orders => {
                    let (outcome, known_at) = (OrderOutcome::Begun, self.clock.now());
                    return Ok(Settled { outcome, known_at });
                }
                Ok(_) => {}
                Err(error) => {
                    tracing::debug!(%version, %error, "no report while an order is pending");
                }
            }
            sleep(RETRY_DELAY).await;
            attempt += 1;
        }
    }

    /// Waits until the engine has carried out an order. Fails if the engine restarts, since it
    /// loses the order then, and if another version is desired and nothing is left to verify.
    pub(super) async fn wait_loaded(&self, taken: &Taken, layers: Layers) -> Result<()> {
        let loaded = timeout(LOAD_TIMEOUT, self.wait_carried_out(taken, layers));
        let is_whole = self.trust.weights() == Weights::Whole;
        tokio::select! {
            biased;
            () = self.abandon.cancelled(), if is_whole => bail!("abandoned while the engine loads"),
            loaded = loaded => {
                loaded.context("timed out waiting for the engine to load the version")?
            }
        }
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
            if has_restarted(&taken.before, &report) {
                self.trust.record_restart();
                bail!("the engine restarted while it loaded the version");
            }
        }
    }
}

/// Whether an engine has restarted since a report. It has lost all orders then.
fn has_restarted(before: &EngineReport, report: &EngineReport) -> bool {
    let had_state = before.orders > 0 || !before.models.is_empty();
    let has_reset = !report.busy && report.models.is_empty() && report.orders == 0;
    (had_state && has_reset) || report.start != before.start || report.orders < before.orders
}

/// What is known of the weights after an order for layers was taken; `is_proven` is whether the
/// chunks are known to have been whole then.
fn weights_after(layers: Layers, is_proven: bool, chunks: &Verification) -> Weights {
    match layers {
        Layers::All if is_proven => Weights::Whole,
        Layers::All if !chunks.is_masked() => Weights::Unverified,
        Layers::All | Layers::Only(_) => Weights::Bad,
    }
}
