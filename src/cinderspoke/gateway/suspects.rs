//! Quarantines requests during which endpoints ended, shared among all gateways.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cinderspoke_core::gateway::fingerprint::Fingerprint;
use cinderspoke_core::gateway::suspect::{Admission, Change, Crash, Merged, Table, Update};
use cinderspoke_core::rendezvous::Key;

use super::context::Context;
use super::parse::Parsed;
use super::quarantine::Pending;
use super::state::State;

/// The requests during which endpoints ended, as known to a gateway.
#[derive(Debug)]
pub struct Suspects {
    table: Mutex<Table>,
    // Whether there are any suspects; without one, the table is not locked for each request.
    any: AtomicBool,
    // The key by which this gateway is ranked among all gateways.
    key: Key,
    pending: Arc<Pending>,
}

impl Suspects {
    /// Creates an empty table for the gateway with a name.
    #[must_use]
    pub fn new(gateway: &str) -> Self {
        Self {
            table: Mutex::default(),
            any: AtomicBool::new(false),
            key: Key::of(gateway),
            pending: Arc::default(),
        }
    }

    /// The changes of quarantines that are to be written to the store.
    #[must_use]
    pub fn pending(&self) -> Arc<Pending> {
        Arc::clone(&self.pending)
    }

    /// Runs a function with the table locked.
    fn with_table<T>(&self, act: impl FnOnce(&mut Table) -> T) -> T {
        let mut table: MutexGuard<'_, Table> =
            self.table.lock().unwrap_or_else(PoisonError::into_inner);
        let acted = act(&mut table);
        self.any.store(!table.is_empty(), Ordering::Relaxed);
        acted
    }

    /// Whether there are any suspects.
    #[must_use]
    pub fn any(&self) -> bool {
        self.any.load(Ordering::Relaxed)
    }

    /// Whether endpoints ended before they answered a request with this fingerprint.
    #[must_use]
    pub fn is_suspected(&self, fingerprint: Fingerprint) -> bool {
        self.any() && self.with_table(|table| table.is_suspected(fingerprint))
    }

    /// Records that an endpoint ended before it answered a request.
    pub fn record_crash(&self, fingerprint: Fingerprint, crash: &Crash, now: Duration) -> Change {
        self.with_table(|table| table.record_crash(fingerprint, crash, now))
    }

    /// Records that a request was answered.
    pub fn record_answer(&self, fingerprint: Fingerprint, now: Duration) -> Change {
        self.with_table(|table| table.record_answer(fingerprint, now))
    }

    /// Decides whether a request may be sent.
    pub fn admit(&self, fingerprint: Fingerprint, now: Duration) -> Admission {
        self.with_table(|table| table.admit(fingerprint, self.key, rand::random(), now))
    }

    /// Merges the updates of another gateway.
    pub fn merge(&self, updates: &[Update], now: Duration) -> Merged {
        self.with_table(|table| table.merge(updates, now))
    }

    /// All updates, for a gateway that requests them.
    #[must_use]
    pub fn all_updates(&self, now: Duration) -> Vec<Update> {
        if self.any() { self.with_table(|table| table.all_updates(now)) } else { Vec::new() }
    }

    /// The updates to be sent to other gateways.
    #[must_use]
    pub fn updates(&self, now: Duration) -> Vec<Update> {
        if self.any() { self.with_table(|table| table.updates(now)) } else { Vec::new() }
    }
}

impl Context {
    /// How long a request is still quarantined, if it may not be sent now.
    pub fn quarantine_left(&self, parsed: &Parsed) -> Option<Duration> {
        if !self.state.suspects().any() {
            return None;
        }
        self.state.admit(parsed.fingerprint())
    }

    /// Records that an endpoint served a request, which shows that the request does not end
    /// endpoints. A failed answer does not show that, since some endpoints fail every request.
    pub fn record_served(&self, parsed: &Parsed) {
        if self.state.suspects().any() {
            self.state.record_served(parsed.fingerprint());
        }
    }
}

impl State {
    /// Records that an endpoint ended before it answered a request.
    pub(super) fn record_crash(&self, fingerprint: Fingerprint, crash: &Crash) -> Change {
        let change = self.suspects().record_crash(fingerprint, crash, self.clock().now());
        match change {
            Change::Quarantined => self.suspects().pending.set(fingerprint, true),
            // Other gateways may know more of it and be unreachable, so the store is read.
            Change::Updated => self.suspects().pending.request_read(),
            Change::Released | Change::None => {}
        }
        if change != Change::None {
            self.publish();
        }
        change
    }

    /// Records that a request was served.
    fn record_served(&self, fingerprint: Fingerprint) {
        let change = self.suspects().record_answer(fingerprint, self.clock().now());
        if change == Change::Released {
            self.suspects().pending.set(fingerprint, false);
        }
        if change != Change::None {
            tracing::info!(%fingerprint, "a suspect request was served");
            self.publish();
        }
    }

    /// How long a request is still quarantined, if it may not be sent now.
    fn admit(&self, fingerprint: Fingerprint) -> Option<Duration> {
        match self.suspects().admit(fingerprint, self.clock().now()) {
            Admission::Pass => None,
            Admission::Probe => {
                tracing::info!(%fingerprint, "a quarantined request is sent as a probe");
                self.publish();
                None
            }
            Admission::Quarantined(left) => Some(left),
        }
    }

    /// Applies the quarantined requests that were read from the store.
    pub fn apply_stored_quarantine(&self, requests: &[Fingerprint]) {
        let now = self.clock().now();
        let is_new = |request: &&Fingerprint| {
            self.suspects().with_table(|table| table.restore_quarantine(**request, now))
        };
        let found: Vec<_> = requests.iter().filter(is_new).collect();
        for fingerprint in &found {
            tracing::info!(%fingerprint, "a request is quarantined according to the store");
        }
        if !found.is_empty() {
            self.publish();
        }
    }

    /// Merges the updates on suspect requests of another gateway.
    pub fn merge_suspects(&self, updates: &[Update]) {
        let merged = self.suspects().merge(updates, self.clock().now());
        for fingerprint in &merged.quarantined {
            tracing::info!(%fingerprint, "a request is quarantined according to other gateways");
        }
        for fingerprint in &merged.witnessed {
            self.suspects().pending.set(*fingerprint, true);
        }
        if merged.changed {
            self.publish();
        }
    }
}
