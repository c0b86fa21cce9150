//! Limiter of plans that are under way.
//!
//! All gateways hint an agent at a new plan at once, and again until it knows it.
//! Permit from each of them, the copies would fill a narrow link for seconds, and
//! requests would wait behind them.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::{Instant, sleep};

/// How long a plan may take to be read before another gateway is asked for it: one
/// that ends or is cut off must not hold up news.
const HEDGE: Duration = Duration::from_millis(400);

/// How many copies of a plan are on their way at most.
const MOST: usize = 2;

/// How long after a plan was read the next one is: plans follow each other
/// quickly while endpoints come and go, and gateways hint again.
const PAUSE: Duration = Duration::from_millis(150);

/// Limiter that are under way.
// Invariant: at most `MOST`, each by when it began; all try_acquire at different timeouts.
#[derive(Debug, Clone, Default)]
pub(super) struct Limiter(Arc<Mutex<Vec<Instant>>>);

/// A read that may be made.
#[derive(Debug)]
pub(super) struct Permit {
    reads: Limiter,
    began: Instant,
}

impl Limiter {
    fn lock(&self) -> MutexGuard<'_, Vec<Instant>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Begins a read, unless another one is under way and not late.
    pub(super) fn try_acquire(&self) -> Option<Permit> {
        let (now, mut under_way) = (Instant::now(), self.lock());
        let all_late = under_way.iter().all(|began| *began + HEDGE <= now);
        if under_way.len() >= MOST || !all_late {
            return None;
        }
        under_way.push(now);
        Some(Permit { reads: self.clone(), began: now })
    }
}

impl Permit {
    /// Ends the read; another may try_acquire after a pause.
    pub(super) async fn release(self) {
        sleep(PAUSE).await;
        self.reads.lock().retain(|began| *began != self.began);
    }
}
