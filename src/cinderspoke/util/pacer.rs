//! Pacing of transfers to a maximum rate.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cinderspoke_types::rate::ByteRate;
use cinderspoke_types::size::Bytes;
use tokio::time::Instant;

/// Burst size: how far ahead of the rate transfers may run, as the time that the burst takes at the
/// rate.
const BURST: Duration = Duration::from_millis(20);

/// Delays transfers so that together they stay below a rate.
#[derive(Debug)]
pub struct Pacer {
    state: Mutex<State>,
    total: AtomicU64,
}

#[derive(Debug)]
struct State {
    rate: Option<ByteRate>,
    // When the transfers that were granted so far end at the rate.
    free_at: Instant,
}

impl Pacer {
    /// Creates a pacer for a rate; without a rate it delays nothing.
    #[must_use]
    pub fn new(rate: Option<ByteRate>) -> Self {
        let state = State { rate, free_at: Instant::now() };
        Self { state: Mutex::new(state), total: AtomicU64::new(0) }
    }

    /// Changes the rate. Transfers that were granted already are not affected.
    pub fn set_rate(&self, rate: Option<ByteRate>) {
        self.lock().rate = rate;
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until a number of bytes may be transferred.
    pub async fn acquire(&self, bytes: Bytes) {
        self.total.fetch_add(bytes.as_u64(), Ordering::Relaxed);
        if let Some(start) = self.reserve(bytes) {
            tokio::time::sleep_until(start).await;
        }
    }

    /// Returns the total number of bytes for which [`Self::acquire`] was called.
    #[must_use]
    pub fn total(&self) -> Bytes {
        Bytes::new(self.total.load(Ordering::Relaxed))
    }

    /// Reserves a number of bytes and returns when they may be transferred; `None` without a rate.
    fn reserve(&self, bytes: Bytes) -> Option<Instant> {
        let mut state = self.lock();
        let time = state.rate?.time_for(bytes);
        let start = state.free_at.max(Instant::now());
        state.free_at = start + time;
        // The wait ends when the transfer would end at the rate, less the burst.
        Some(state.free_at.checked_sub(BURST).unwrap_or(start))
    }
}
