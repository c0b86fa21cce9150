//! Notification of waiting tasks about changes, in the order in which they began to wait.
//!
//! A watch channel of Tokio wakes its receivers in random order, which would make simulations with
//! a paused clock differ from run to run.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use tokio::sync::Notify;

#[derive(Debug, Default)]
struct Shared {
    changes: AtomicU64,
    notify: Notify,
}

/// Notifies receivers of changes.
#[derive(Debug, Clone, Default)]
pub struct Signal {
    shared: Arc<Shared>,
}

/// Waits for changes that it has not seen yet.
#[derive(Debug)]
pub struct Receiver {
    shared: Arc<Shared>,
    seen: u64,
}

impl Signal {
    /// Notifies all receivers of a change.
    pub fn raise(&self) {
        self.shared.changes.fetch_add(1, Ordering::Release);
        self.shared.notify.notify_waiters();
    }

    /// Returns the number of changes so far.
    #[must_use]
    pub fn raised(&self) -> u64 {
        self.shared.changes.load(Ordering::Acquire)
    }

    /// Returns a receiver that has seen all changes so far.
    #[must_use]
    pub fn subscribe(&self) -> Receiver {
        Receiver { shared: Arc::clone(&self.shared), seen: self.raised() }
    }
}

impl Receiver {
    /// Waits until there is a change that this receiver has not seen, and marks all changes as
    /// seen.
    pub async fn changed(&mut self) {
        loop {
            let notified = self.shared.notify.notified();
            tokio::pin!(notified);
            // Registers before the check below, so that no change is missed.
            notified.as_mut().enable();
            let changes = self.shared.changes.load(Ordering::Acquire);
            if changes != self.seen {
                self.seen = changes;
                return;
            }
            notified.await;
        }
    }
}
