//! Keeping in the store which requests are held back.
//!
//! Gateways tell each other, but what they know ends with the last of them, and one that
//! is cut off from all others hears of nothing while the store may still answer it. Those who
//! read for their region look when they begin to; the others have it from them.

use std::collections::BTreeMap;
use std::pin::pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cinderspoke_core::gateway::fingerprint::Fingerprint;
use cinderspoke_ports::Error;
use cinderspoke_ports::gateway::Holds;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, sleep_until};

use super::follow::reads_or_is_alone;
use super::state::State;

/// How long after a failure the store is asked again.
const BACKOFF: Duration = Duration::from_millis(700);

/// The least time between two looks into the store: each costs, and endpoints may end in
/// numbers for another reason.
const LOOK_PAUSE: Duration = Duration::from_secs(2);

/// The most requests that the store keeps: those that nobody sends any more are released
/// by nobody, and the oldest of them make way.
const MOST_KEPT: usize = 64;

/// What the store is to be told or asked.
#[derive(Debug, Default)]
pub struct Pending {
    due: Mutex<Orders>,
    added: Notify,
}

#[derive(Debug, Default)]
struct Orders {
    // Whether each request is held back.
    holds: BTreeMap<Fingerprint, bool>,
    look: bool,
}

impl Pending {
    fn lock(&self) -> MutexGuard<'_, Orders> {
        self.due.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Has the store told whether a request is held back.
    pub fn set(&self, request: Fingerprint, held: bool) {
        self.lock().holds.insert(request, held);
        self.added.notify_one();
    }

    /// Has the store asked what is held back, soon.
    pub fn request_read(&self) {
        self.lock().look = true;
        self.added.notify_one();
    }

    fn take(&self) -> Orders {
        std::mem::take(&mut *self.lock())
    }
}

/// Learns from the store what is held back, and tells it, whatever fails.
pub async fn synchronize(state: Arc<State>, store: Arc<dyn Holds>) {
    let due = state.suspects().pending();
    let mut look_at = None;
    let mut looked = Instant::now();
    let mut first = pin!(reads_or_is_alone(&state));
    let mut is_first = true;
    loop {
        let next_look = look_at.unwrap_or_else(Instant::now);
        tokio::select! {
            () = due.added.notified() => {}
            () = &mut first, if is_first => (look_at, is_first) = (Some(Instant::now()), false),
            () = sleep_until(next_look), if look_at.is_some() => {
                look_at = look(&state, &*store).await;
                looked = Instant::now();
            }
        }
        let Orders { holds, look } = due.take();
        if look {
            look_at = look_at.or(Some(looked + LOOK_PAUSE));
        }
        for (request, held) in holds {
            if let Err(error) = tell(&*store, request, held).await {
                tracing::info!(%request, held, %error, "the store was not told what is held back");
                sleep(BACKOFF).await;
                due.lock().holds.entry(request).or_insert(held);
                due.added.notify_one();
            }
        }
    }
}

/// Looks into the store; gives when to look again, if it did not answer.
async fn look(state: &State, store: &dyn Holds) -> Option<Instant> {
    let error = learn(state, store).await.err()?;
    tracing::info!(%error, "the store did not say what is held back");
    Some(Instant::now() + BACKOFF)
}

async fn tell(store: &dyn Holds, request: Fingerprint, held: bool) -> Result<(), Error> {
    if held { store.hold(request).await } else { store.release(request).await }
}

/// Learns what is held back, and has the store keep no more than the newest of it.
async fn learn(state: &State, store: &dyn Holds) -> Result<(), Error> {
    let held = store.held().await?;
    let (old, kept) = held.split_at(held.len().saturating_sub(MOST_KEPT));
    state.apply_stored_quarantine(kept);
    for request in old {
        store.release(*request).await?;
    }
    Ok(())
}
