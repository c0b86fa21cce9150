//! State on the era of the store: how often it has come back from an older copy of itself.

use std::future::pending;

use cinderspoke_core::gateway::fact::{Era, Revision};
use metrics::counter;

use super::message::Summary;
use super::state::State;
use crate::util::metrics::RESTORES;
use crate::util::signal::Receiver;

impl State {
    /// The latest era of the store that is known here.
    #[must_use]
    pub fn era(&self) -> Era {
        self.lock().era.unwrap_or_default()
    }

    /// Records an era that the store has named in an answer on a kind of data, or another gateway
    /// in its revisions. Where it is later than the one known, the store has come back from an
    /// older copy: all kinds of data are read again.
    pub fn observe_era(&self, era: Era, from: &str) {
        let before = {
            let mut inner = self.lock();
            if inner.era.is_some_and(|known| era <= known) {
                return;
            }
            inner.era.replace(era)
        };
        if let Some(before) = before {
            tracing::warn!(%before, %era, from, "the store came back from an older copy");
            counter!(RESTORES).increment(1);
            self.restore_signal().raise();
        }
    }

    /// Records the era of the revisions that another gateway knows.
    pub fn observe_summary_era(&self, summary: &Summary) {
        let Summary { configuration_revision, rollout_revision, directory, evacuated, .. } =
            summary;
        let evacuated = evacuated.as_ref().map(|evacuated| evacuated.revision);
        let revisions = [*configuration_revision, *rollout_revision, *directory];
        let eras = revisions.into_iter().chain(evacuated).map(Revision::era);
        if let Some(era) = eras.max().filter(|era| era.is_named()) {
            self.observe_era(era, "gateway");
        }
    }

    /// Returns a receiver that is notified when the store is known to have come back from an older
    /// copy.
    #[must_use]
    pub fn restores(&self) -> Receiver {
        self.restore_signal().subscribe()
    }

    /// Waits until a later era is known than that of a revision; forever without one.
    pub(super) async fn later_era(&self, after: Option<Revision>) {
        let Some(after) = after else { return pending().await };
        let mut restores = self.restores();
        while self.era() <= after.era() {
            restores.changed().await;
        }
    }
}
