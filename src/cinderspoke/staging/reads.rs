//! Limits how many copies of a plan an agent reads at once.
//!
//! All gateways hint an agent at a new plan at the same time, and repeat the hint until the agent
//! has it. If the agent read the plan from each of them, the copies would fill a narrow link for
//! seconds, and requests would wait behind them.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::{Instant, sleep};

/// How long a read may take before the plan is requested from a second gateway as well: a gateway
/// that stops or becomes unreachable must not delay new plans.
const HEDGE: Duration = Duration::from_millis(400);

/// The most copies of a plan that are read at once.
const MAX_READS: usize = 2;

/// The pause between two reads: plans follow each other quickly while endpoints start and stop,
/// and gateways repeat their hints.
const PAUSE: Duration = Duration::from_millis(150);

/// Limits concurrent reads of plans.
// When each read in progress began. Invariant: at most `MAX_READS`, all at different times.
#[derive(Debug, Clone, Default)]
pub(super) struct Limiter(Arc<Mutex<Vec<Instant>>>);

/// Permission for one read.
#[derive(Debug)]
pub(super) struct Permit {
    reads: Limiter,
    began: Instant,
}

impl Limiter {
    fn lock(&self) -> MutexGuard<'_, Vec<Instant>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Permits a read if none is in progress, or if all in progress are late and fewer than
    /// `MAX_READS`.
    pub(super) fn try_acquire(&self) -> Option<Permit> {
        let (now, mut in_progress) = (Instant::now(), self.lock());
        let all_late = in_progress.iter().all(|began| *began + HEDGE <= now);
        if in_progress.len() >= MAX_READS || !all_late {
            return None;
        }
        in_progress.push(now);
        Some(Permit { reads: self.clone(), began: now })
    }
}

impl Permit {
    /// Returns the permit after a pause; then another read may begin.
    pub(super) async fn release(self) {
        sleep(PAUSE).await;
        self.reads.lock().retain(|began| *began != self.began);
    }
}
