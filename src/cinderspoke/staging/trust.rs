//! Whether the weights that an engine has loaded are known to be whole.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// What is known of the weights that an engine has loaded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(super) enum Weights {
    /// They were whole when the engine took them.
    #[default]
    Whole,
    /// They may have bad chunks, since the order was taken too long after their verification.
    Unverified,
    /// They have bad chunks or lack layers, and have to be loaded anew.
    Bad,
}

/// What is known of the weights of one engine, from one changeover to the next. The engine is
/// opened to requests only while they are whole.
#[derive(Debug, Default)]
pub(super) struct Trust {
    weights: Mutex<Weights>,
}

impl Trust {
    fn lock(&self) -> MutexGuard<'_, Weights> {
        self.weights.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns what is known of the weights.
    pub(super) fn weights(&self) -> Weights {
        *self.lock()
    }

    /// Records what is known of the weights.
    pub(super) fn set(&self, weights: Weights) {
        *self.lock() = weights;
    }
}
