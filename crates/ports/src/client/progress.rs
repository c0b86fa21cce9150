//! How much of an answer has arrived.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use tokio::time::{Instant, sleep};

/// Counts the bytes of an answer that have arrived, so that one in transit can be told from none.
/// Clones share the count.
#[derive(Debug, Clone, Default)]
pub struct Progress(Arc<Arrived>);

#[derive(Debug, Default)]
struct Arrived {
    bytes: AtomicU64,
    first_at: OnceLock<Instant>,
}

impl Progress {
    /// Returns how many bytes have arrived.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        self.0.bytes.load(Ordering::Relaxed)
    }

    /// Returns the time since the first bytes arrived; zero if none have.
    #[must_use]
    pub fn elapsed(&self) -> Duration {
        self.0.first_at.get().map_or(Duration::ZERO, Instant::elapsed)
    }

    /// Records that more bytes have arrived.
    pub fn advance(&self, bytes: usize) {
        self.0.first_at.get_or_init(Instant::now);
        self.0.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Waits until no bytes have arrived for at least `idle_timeout`, at most twice that.
    pub async fn wait_stalled(&self, idle_timeout: Duration) {
        let mut before = None;
        while before != Some(self.bytes()) {
            before = Some(self.bytes());
            sleep(idle_timeout).await;
        }
    }
}
