//! Synchronizes the set of quarantined requests and parts of prompts with the platform's store.
//!
//! Gateways send the set to each other, but it is lost when the last of them ends, and a gateway
//! that is partitioned from all others receives nothing while the store may still answer it.
//! Gateways that read for their region read the store when they take that role; the others get
//! the set from them. They read it too when the store has come back from an older copy of itself,
//! and write again what it lacks.

use std::collections::{BTreeMap, BTreeSet};
use std::pin::pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cinderspoke_core::gateway::suspect::Subject;
use cinderspoke_ports::Error;
use cinderspoke_ports::gateway::Quarantine;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, sleep_until};

use super::follow::reads_or_is_alone;
use super::state::State;

/// Delay after a failed call to the store before it is retried.
const BACKOFF: Duration = Duration::from_millis(700);

/// Minimum interval between reads of the store: each read has a cost, and many endpoints may
/// end at once for another reason.
const READ_INTERVAL: Duration = Duration::from_secs(2);

/// Within how long of its return from an older copy the gateways that read the store do so, at random
/// times: the first one writes what the store lacks, and the others find it there.
const RESTORE_SPREAD: Duration = Duration::from_secs(2);

/// Maximum number of quarantined requests and parts in the store. Nothing releases what is no
/// longer sent, so the oldest are removed.
const MAX_STORED: usize = 64;

/// Pending writes to the store, and whether it is to be read.
#[derive(Debug, Default)]
pub struct Pending {
    pending: Mutex<Calls>,
    added: Notify,
}

#[derive(Debug, Default)]
struct Calls {
    // Whether each request or part of prompts is quarantined.
    writes: BTreeMap<Subject, bool>,
    read: bool,
    // What this gateway has written as quarantined, or is to write.
    stored: BTreeSet<Subject>,
}

impl Pending {
    fn lock(&self) -> MutexGuard<'_, Calls> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Schedules a write of whether a request or part of prompts is quarantined.
    pub fn set(&self, subject: Subject, quarantined: bool) {
        let mut calls = self.lock();
        calls.writes.insert(subject, quarantined);
        if quarantined {
            calls.stored.insert(subject);
        } else {
            calls.stored.remove(&subject);
        }
        drop(calls);
        self.added.notify_one();
    }

    /// Schedules a write that a request or part is no longer quarantined, if this gateway wrote
    /// that it is: the write of the gateway that released it may have come first.
    pub fn withdraw(&self, subject: Subject) {
        let is_stored = self.lock().stored.contains(&subject);
        if is_stored {
            self.set(subject, false);
        }
    }

    /// Schedules a read of what is quarantined.
    pub fn request_read(&self) {
        self.lock().read = true;
        self.added.notify_one();
    }

    /// Takes the pending writes, and whether the store is to be read.
    fn take(&self) -> (BTreeMap<Subject, bool>, bool) {
        let mut calls = self.lock();
        (std::mem::take(&mut calls.writes), std::mem::take(&mut calls.read))
    }
}

/// Reads what is quarantined from the store and writes pending changes to it; retries after
/// failures and never returns.
pub async fn synchronize(state: Arc<State>, store: Arc<dyn Quarantine>) {
    let pending = state.suspects().pending();
    let mut read_at = None;
    let mut last_read = Instant::now();
    let mut reader = pin!(reads_or_is_alone(&state));
    let mut is_waiting = true;
    let mut restores = state.restores();
    // Whether the store may lack what was written to it.
    let mut is_restored = false;
    loop {
        let next_read = read_at.unwrap_or_else(Instant::now);
        tokio::select! {
            () = pending.added.notified() => {}
            () = &mut reader, if is_waiting => (read_at, is_waiting) = (Some(Instant::now()), false),
            () = restores.changed(), if !is_waiting => {
                (read_at, is_restored) = (Some(Instant::now() + restore_delay()), true);
            }
            () = sleep_until(next_read), if read_at.is_some() => {
                read_at = read_or_retry(&state, &*store, is_restored).await;
                is_restored &= read_at.is_some();
                last_read = Instant::now();
            }
        }
        let (writes, read) = pending.take();
        if read {
            read_at = read_at.or(Some(last_read + READ_INTERVAL));
        }
        for (subject, quarantined) in writes {
            if let Err(error) = write(&*store, subject, quarantined).await {
                tracing::info!(
                    %subject,
                    held = quarantined,
                    %error,
                    "cannot write a quarantined request to the store"
                );
                sleep(BACKOFF).await;
                pending.lock().writes.entry(subject).or_insert(quarantined);
                pending.added.notify_one();
            }
        }
    }
}

/// How long after its return from an older copy this gateway reads the store.
fn restore_delay() -> Duration {
    RESTORE_SPREAD.mul_f64(rand::random())
}

/// Reads the store; returns when to retry if the read failed or its list was not whole.
async fn read_or_retry(
    state: &State,
    store: &dyn Quarantine,
    is_restored: bool,
) -> Option<Instant> {
    match read(state, store, is_restored).await {
        Ok(true) => None,
        Ok(false) => Some(Instant::now() + READ_INTERVAL),
        Err(error) => {
            tracing::info!(%error, "cannot read quarantined requests from the store");
            Some(Instant::now() + BACKOFF)
        }
    }
}

async fn write(store: &dyn Quarantine, subject: Subject, quarantined: bool) -> Result<(), Error> {
    if quarantined { store.quarantine(subject).await } else { store.release(subject).await }
}

/// Reads what is quarantined and removes all but the newest [`MAX_STORED`] from the store. Has
/// written again what a restored store lacks. Returns whether the list was whole: what only a part
/// of it lacks may be there.
async fn read(state: &State, store: &dyn Quarantine, is_restored: bool) -> Result<bool, Error> {
    let listed = store.quarantined().await?;
    let is_whole = listed.is_whole();
    let stored = listed.into_inner();
    if is_restored && is_whole {
        state.restore_stored_quarantine(&stored);
    }
    let (old, kept) = stored.split_at(stored.len().saturating_sub(MAX_STORED));
    state.apply_stored_quarantine(kept);
    for subject in old {
        store.release(*subject).await?;
    }
    Ok(is_whole)
}
