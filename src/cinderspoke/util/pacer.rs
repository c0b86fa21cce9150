//! Pacing: keeping transfers below a rate.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cinderspoke_types::rate::ByteRate;
use cinderspoke_types::size::Bytes;
use tokio::time::Instant;

/// How far ahead of the rate transfers may run.
const BURST: Duration = Duration::from_millis(20);

/// Spaces transfers out so that together they stay below a rate.
#[derive(Debug)]
pub struct Pacer {
    track: Mutex<Track>,
    carried: AtomicU64,
}

#[derive(Debug)]
struct Track {
    rate: Option<ByteRate>,
    // The time at which all that was granted has been carried.
    free_at: Instant,
}

impl Pacer {
    /// A pacer for a rate; without one nothing is ever held back.
    #[must_use]
    pub fn new(rate: Option<ByteRate>) -> Self {
        let track = Track { rate, free_at: Instant::now() };
        Self { track: Mutex::new(track), carried: AtomicU64::new(0) }
    }

    /// Goes on at another rate; what was granted already stays so.
    pub fn set_rate(&self, rate: Option<ByteRate>) {
        self.lock().rate = rate;
    }

    fn lock(&self) -> MutexGuard<'_, Track> {
        self.track.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until some bytes may be carried.
    pub async fn acquire(&self, bytes: Bytes) {
        self.carried.fetch_add(bytes.as_u64(), Ordering::Relaxed);
        if let Some(start) = self.reserve(bytes) {
            tokio::time::sleep_until(start).await;
        }
    }

    /// How much was carried in all.
    #[must_use]
    pub fn total(&self) -> Bytes {
        Bytes::new(self.carried.load(Ordering::Relaxed))
    }

    /// The time at which some bytes may be carried; none for at once.
    fn reserve(&self, bytes: Bytes) -> Option<Instant> {
        let mut track = self.lock();
        let time = track.rate?.time_for(bytes);
        let start = track.free_at.max(Instant::now());
        track.free_at = start + time;
        // The wait ends when the bytes would have been carried, less the burst.
        Some(track.free_at.checked_sub(BURST).unwrap_or(start))
    }
}
