//! Quarantines requests and parts of prompts during which endpoints ended, shared among all gateways.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cinderspoke_core::gateway::fingerprint::Fingerprint;
use cinderspoke_core::gateway::name::Request;
use cinderspoke_core::gateway::suspect::{Admission, Changes, Crash, Part, Subject, Table, Update};
use cinderspoke_core::rendezvous::Key;
use metrics::gauge;

use super::context::Context;
use super::parse::Parsed;
use super::quarantine::Pending;
use super::state::State;
use crate::util::metrics::QUARANTINED;

/// The requests and parts of prompts during which endpoints ended, as known to a gateway.
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

    /// Whether endpoints ended under any of these subjects since it was answered.
    #[must_use]
    pub fn is_suspected(&self, subjects: &[Subject]) -> bool {
        let is_suspected =
            |table: &mut Table| subjects.iter().any(|subject| table.is_suspected(*subject));
        self.any() && self.with_table(is_suspected)
    }

    /// What forbids to send a request now, and for how much longer.
    fn forbids(&self, subjects: &[Subject], now: Duration) -> Option<(Subject, Duration)> {
        self.with_table(|table| table.forbids(subjects, self.key, now))
    }

    /// Decides whether a request may be sent now.
    fn admit(&self, subjects: &[Subject], now: Duration) -> Admission {
        self.with_table(|table| table.admit(subjects, self.key, rand::random(), now))
    }

    /// All updates on requests, for a gateway that requests them.
    #[must_use]
    pub fn all_updates(&self, now: Duration) -> Vec<Update<Fingerprint>> {
        if self.any() { self.with_table(|table| table.all_updates(now)) } else { Vec::new() }
    }

    /// The updates on requests to be sent to other gateways.
    #[must_use]
    pub fn updates(&self, now: Duration) -> Vec<Update<Fingerprint>> {
        if self.any() { self.with_table(|table| table.updates(now)) } else { Vec::new() }
    }

    /// The updates on parts of prompts to be sent to other gateways.
    #[must_use]
    pub fn part_updates(&self, now: Duration) -> Vec<Update<Part>> {
        if self.any() { self.with_table(|table| table.part_updates(now)) } else { Vec::new() }
    }
}

/// A quarantine that forbids to send a request now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Quarantined {
    /// What is quarantined.
    pub subject: Subject,
    /// For how much longer.
    pub left: Duration,
}

impl Context {
    /// The quarantine that forbids to send a request now, if there is one.
    pub fn quarantine(&self, parsed: &Parsed) -> Option<Quarantined> {
        if !self.state.suspects().any() {
            return None;
        }
        let now = self.clock.now();
        let (subject, left) = self.state.suspects().forbids(&parsed.subjects(), now)?;
        Some(Quarantined { subject, left })
    }

    /// Whether a request may be sent at this moment. A probe that may be sent is recorded, and other
    /// gateways are informed.
    pub fn admits(&self, parsed: &Parsed) -> bool {
        !self.state.suspects().any() || self.state.admits(&parsed.subjects())
    }

    /// Records that an endpoint served a request, which shows that neither the request nor a part
    /// of its prompt ends endpoints. A failed answer does not show that, since some endpoints fail
    /// every request.
    pub fn record_served(&self, parsed: &Parsed) {
        if self.state.suspects().any() {
            self.state.record_served(&parsed.subjects(), &parsed.call.id);
        }
    }
}

impl State {
    /// Records that an endpoint ended before it answered a request.
    pub(super) fn record_crash(&self, subjects: &[Subject], crash: &Crash) -> Changes {
        let now = self.clock().now();
        let changes = self.suspects().with_table(|table| table.record_crash(subjects, crash, now));
        if changes.updated && changes.quarantined.is_empty() {
            // Other gateways may know more of it and be unreachable, so the store is read.
            self.suspects().pending.request_read();
        }
        self.apply_changes(&changes, "crash");
        changes
    }

    /// Records that a request was served.
    fn record_served(&self, subjects: &[Subject], id: &Request) {
        let now = self.clock().now();
        let changes = self.suspects().with_table(|table| table.record_answer(subjects, now));
        for subject in &changes.released {
            self.suspects().pending.set(*subject, false);
            tracing::info!(%subject, %id, "a quarantined suspect was served");
        }
        self.apply_changes(&changes, "answer");
    }

    /// Whether a request may be sent at this moment.
    fn admits(&self, subjects: &[Subject]) -> bool {
        match self.suspects().admit(subjects, self.clock().now()) {
            Admission::Pass => true,
            Admission::Probe(subject) => {
                tracing::info!(%subject, "a quarantined request is sent as a probe");
                self.publish();
                true
            }
            Admission::Quarantined(..) => false,
        }
    }

    /// Applies the quarantines that were read from the store.
    pub fn apply_stored_quarantine(&self, subjects: &[Subject]) {
        let now = self.clock().now();
        let is_new = |subject: &&Subject| {
            self.suspects().with_table(|table| table.restore_quarantine(**subject, now))
        };
        let found: Vec<_> = subjects.iter().filter(is_new).collect();
        for subject in &found {
            tracing::info!(%subject, from = "store", "quarantined");
        }
        if !found.is_empty() {
            self.count_quarantined();
            self.publish();
        }
    }

    /// Schedules writes of what a store lacks that has come back from an older copy and has stored
    /// these subjects.
    pub fn restore_stored_quarantine(&self, stored: &[Subject]) {
        let unstored = self.suspects().with_table(|table| table.unstored(stored));
        if !unstored.is_empty() {
            let subjects = unstored.len();
            tracing::info!(subjects, "quarantined requests are written to the store again");
        }
        for (subject, quarantined) in unstored {
            self.suspects().pending.set(subject, quarantined);
        }
    }

    /// Merges the updates on suspects of another gateway.
    pub fn merge_suspects(&self, requests: &[Update<Fingerprint>], parts: &[Update<Part>]) {
        if requests.is_empty() && parts.is_empty() {
            return;
        }
        let now = self.clock().now();
        let changes = self.suspects().with_table(|table| table.merge(requests, parts, now));
        self.apply_changes(&changes, "gateway");
    }

    /// Logs, stores and publishes changes of suspects.
    fn apply_changes(&self, changes: &Changes, from: &'static str) {
        for subject in &changes.quarantined {
            let witnessed = changes.witnessed.contains(subject);
            tracing::info!(%subject, from, witnessed, "quarantined");
        }
        for subject in &changes.released {
            tracing::info!(%subject, from, "no longer quarantined");
            self.suspects().pending.withdraw(*subject);
        }
        for subject in &changes.witnessed {
            self.suspects().pending.set(*subject, true);
        }
        if !changes.quarantined.is_empty() || !changes.released.is_empty() {
            self.count_quarantined();
        }
        if changes.updated {
            self.publish();
        }
    }

    fn count_quarantined(&self) {
        let (requests, parts) = self.suspects().with_table(|table| table.count_quarantined());
        gauge!(QUARANTINED, "of" => "request").set(requests as f64);
        gauge!(QUARANTINED, "of" => "part").set(parts as f64);
    }
}

/// The kind of a subject, as metrics name it.
pub(super) const fn kind(subject: Subject) -> &'static str {
    match subject {
        Subject::Request(_) => "request",
        Subject::Part(_) => "part",
    }
}
