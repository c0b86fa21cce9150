//! Whether the weights that an engine has loaded are known to be whole.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cinderspoke_core::gateway::rollout::Version;

/// For how long an engine may still apply an upload that got no answer: longer than an engine
/// stands still without losing its connections.
const LATE_UPLOAD_TIME: Duration = Duration::from_secs(30);

/// What is known of the weights that an engine has loaded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(super) enum Weights {
    /// They were whole when the engine took them.
    #[default]
    Whole,
    /// They may have bad chunks: the order was taken too long after their verification, or an
    /// upload without an answer may have replaced a chunk since.
    Unverified,
    /// They have bad chunks or lack layers, and have to be loaded anew.
    Bad,
}

/// What is known of the weights of one engine, from one changeover to the next. The engine is
/// opened to requests only while they are whole.
#[derive(Debug, Default)]
pub(super) struct Trust {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    weights: Weights,
    // The version that the engine loaded by this agent's last order, if it has not restarted since.
    loaded: Option<Version>,
    // When the last upload ended without an answer, by the agent's clock.
    lost_upload_at: Option<Duration>,
}

impl Trust {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns what is known of the weights.
    pub(super) fn weights(&self) -> Weights {
        self.lock().weights
    }

    /// Records what is known of the weights.
    pub(super) fn set(&self, weights: Weights) {
        self.lock().weights = weights;
    }

    /// Records that the engine has taken an order for layers of a version, and what is known of the
    /// weights now.
    pub(super) fn record_taken(&self, version: Version, weights: Weights) {
        let mut state = self.lock();
        (state.weights, state.loaded) = (weights, Some(version));
    }

    /// Records that the engine has restarted, so that it holds no weights.
    pub(super) fn record_restart(&self) {
        let mut state = self.lock();
        (state.weights, state.loaded) = (Weights::Whole, None);
    }

    /// Whether the engine has loaded the version by an order of this agent. Of other weights it is
    /// not known from which chunks they were loaded.
    pub(super) fn has_ordered(&self, version: Version) -> bool {
        self.lock().loaded == Some(version)
    }

    /// Records that an upload ended without an answer at `now`: the engine may apply it later,
    /// over a chunk that has been staged and verified since.
    pub(super) fn record_lost_upload(&self, now: Duration) {
        self.lock().lost_upload_at = Some(now);
    }

    /// Whether an upload without an answer may still be applied.
    pub(super) fn expects_late_upload(&self, now: Duration) -> bool {
        let lost_at = self.lock().lost_upload_at;
        lost_at.is_some_and(|at| now.saturating_sub(at) < LATE_UPLOAD_TIME)
    }
}
