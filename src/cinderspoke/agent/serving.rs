//! Admits requests, and counts the requests in progress by the weights they use.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use cinderspoke_core::replica;
use cinderspoke_types::digest::Digest;
use cinderspoke_types::id::Service;
use tokio::sync::Notify;

#[derive(Debug, Default)]
struct State {
    services: BTreeMap<Service, replica::Serving>,
    // The requests in progress by the weights they use; `None` stands for a plain service.
    in_use: BTreeMap<Option<Digest>, u32>,
    closed: bool,
}

/// The services that an agent serves, shared by all its requests.
#[derive(Debug, Default)]
pub struct Table {
    state: Mutex<State>,
    changed: Notify,
}

/// Counts a request as using its weights, until it is dropped.
#[derive(Debug)]
pub struct Guard {
    table: Arc<Table>,
    manifest: Option<Digest>,
}

impl Guard {
    /// The weights with which the request is answered; `None` for a plain service.
    #[must_use]
    pub fn manifest(&self) -> Option<Digest> {
        self.manifest
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        let mut state = self.table.lock();
        if let Some(count) = state.in_use.get_mut(&self.manifest) {
            *count -= 1;
        }
        drop(state);
        self.table.changed.notify_waiters();
    }
}

impl Table {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets what each service's requests are answered with from now on.
    pub fn set(&self, services: BTreeMap<Service, replica::Serving>) {
        self.lock().services = services;
    }

    /// Admits a request, if the service is served here with the requested weights.
    ///
    /// If it returns `None`, the request has not run and will not run.
    pub fn admit(self: &Arc<Self>, service: &Service, requested: Option<Digest>) -> Option<Guard> {
        let mut state = self.lock();
        if state.closed {
            return None;
        }
        let manifest = match state.services.get(service)? {
            replica::Serving::Nothing => return None,
            replica::Serving::Plain => None,
            replica::Serving::Weights(manifest) => Some(*manifest),
        };
        if manifest != requested {
            return None;
        }
        *state.in_use.entry(manifest).or_default() += 1;
        Some(Guard { table: Arc::clone(self), manifest })
    }

    /// Stops admitting requests.
    pub fn close(&self) {
        self.lock().closed = true;
    }

    /// The number of requests in progress.
    #[must_use]
    pub fn in_progress(&self) -> u32 {
        self.lock().in_use.values().sum()
    }

    /// Waits until no request uses the weights of a manifest.
    pub async fn wait_unused(&self, manifest: Digest) {
        self.wait(|state| state.in_use.get(&Some(manifest)).is_none_or(|count| *count == 0)).await;
    }

    /// Waits until no request is in progress.
    pub async fn wait_idle(&self) {
        self.wait(|state| state.in_use.values().all(|count| *count == 0)).await;
    }

    async fn wait(&self, done: impl Fn(&State) -> bool) {
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            // Enabled before the condition is checked, so that no change is missed.
            changed.as_mut().enable();
            if done(&self.lock()) {
                return;
            }
            changed.await;
        }
    }
}
