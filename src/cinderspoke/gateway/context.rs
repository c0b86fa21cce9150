//! What answering requests needs, shared by all of a gateway's requests.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use cinderspoke_core::gateway::budget::Budget;
use cinderspoke_core::gateway::caller_timeout::Estimator;
use cinderspoke_core::gateway::catalog::{Limits, Route};
use cinderspoke_core::gateway::demand::Demand;
use cinderspoke_core::gateway::name::Service;
use cinderspoke_ports::gateway::Dialect;
use tokio_util::sync::CancellationToken;

use super::state::State;
use crate::util::clock::Clock;

/// What answering requests needs.
pub struct Context {
    /// What is known.
    pub state: Arc<State>,
    /// How requests are spelled.
    pub dialect: Arc<dyn Dialect>,
    /// The process's clock.
    pub clock: Clock,
    draining: AtomicBool,
    closing: CancellationToken,
    in_progress: AtomicUsize,
    // Connections on which an answer may still be on its way.
    open: AtomicUsize,
    numbers: AtomicU64,
    budgets: Mutex<HashMap<Service, Budget>>,
    demands: Mutex<HashMap<Service, Demand>>,
    // How long callers of each route usually wait.
    usual: Mutex<HashMap<String, Estimator>>,
}

/// Counts a request as in progress until it is dropped.
pub struct InProgress(Arc<Context>);

impl Drop for InProgress {
    fn drop(&mut self) {
        self.0.in_progress.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Counts a connection as one to wait for until it is dropped.
pub struct OpenConnection(Arc<Context>);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Context {
    /// A context for a gateway that has just started.
    #[must_use]
    pub fn new(state: Arc<State>, dialect: Arc<dyn Dialect>, clock: Clock) -> Self {
        Self {
            state,
            dialect,
            clock,
            draining: AtomicBool::new(false),
            closing: CancellationToken::new(),
            in_progress: AtomicUsize::new(0),
            open: AtomicUsize::new(0),
            numbers: AtomicU64::new(1),
            budgets: Mutex::default(),
            demands: Mutex::default(),
            usual: Mutex::default(),
        }
    }

    /// Whether the gateway takes new connections.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let view = self.state.view();
        let knows = view.catalog.is_some() && view.evacuations_known && !view.members.is_empty();
        !self.is_draining() && knows
    }

    /// Says that the gateway takes no new connections.
    pub fn start_draining(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Closes connections as soon as no request is on them.
    pub fn close_connections(&self) {
        self.closing.cancel();
    }

    /// Whether the gateway has said that it takes no new connections.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Waits until connections are to be closed.
    pub async fn wait_closing(&self) {
        self.closing.cancelled().await;
    }

    /// Whether connections are being closed.
    #[must_use]
    pub fn is_closing(&self) -> bool {
        self.closing.is_cancelled()
    }

    /// How many requests are in progress.
    #[must_use]
    pub fn in_progress(&self) -> usize {
        self.in_progress.load(Ordering::Relaxed)
    }

    /// How many connections a stop has to wait for: an answer that was formed is
    /// not written yet, and is lost if the process ends.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// What callers may send.
    #[must_use]
    pub fn limits(&self) -> Limits {
        let view = self.state.view();
        view.catalog.as_ref().map_or_else(Limits::default, |catalog| catalog.declared().limits)
    }

    /// A number for a send, different from all others of this process.
    pub fn next_attempt_number(&self) -> u64 {
        self.numbers.fetch_add(1, Ordering::Relaxed)
    }

    /// Counts a request as in progress.
    pub fn start_request(self: &Arc<Self>) -> InProgress {
        self.in_progress.fetch_add(1, Ordering::Relaxed);
        InProgress(Arc::clone(self))
    }

    /// Counts a connection as one to wait for.
    pub fn track_connection(self: &Arc<Self>) -> OpenConnection {
        self.open.fetch_add(1, Ordering::Relaxed);
        OpenConnection(Arc::clone(self))
    }

    /// Acts on a service's budget; nothing else does meanwhile.
    fn budget<T>(&self, service: &Service, act: impl FnOnce(&mut Budget) -> T) -> T {
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        act(budgets.entry(service.clone()).or_default())
    }

    /// Takes in that a request for a service came, which earns sends beyond the first.
    pub fn deposit_retry(&self, service: &Service) {
        let (now, terms) = (self.clock.now(), self.state.options().budget);
        self.budget(service, |budget| budget.record_request(now, &terms));
    }

    /// Takes in that a request for a service came.
    pub fn record_demand(&self, service: &Service) {
        let now = self.clock.now();
        let mut demands = self.demands.lock().unwrap_or_else(PoisonError::into_inner);
        demands.entry(service.clone()).or_default().record_arrival(now);
    }

    /// How many requests a second other gateways are taken to get for a service:
    /// each as many as this one.
    pub fn competing_rate(&self, service: &Service, gateways: usize) -> f64 {
        let now = self.clock.now();
        let demands = self.demands.lock().unwrap_or_else(PoisonError::into_inner);
        let own = demands.get(service).map_or(0.0, |demand| demand.per_second(now));
        own * gateways.saturating_sub(1) as f64
    }

    /// Whether another send of a request is within the budget; counts it if it is.
    pub fn withdraw_retry(&self, service: &Service) -> bool {
        let (now, terms) = (self.clock.now(), self.state.options().budget);
        let gateways = self.state.view().gateways;
        self.budget(service, |budget| {
            let affords = budget.allows_retry(now, &terms, gateways);
            if affords {
                budget.record_retry(now);
            }
            affords
        })
    }

    /// How long a caller with this deadline has waited before this attempt.
    pub fn waited_before(&self, route: &Route, deadline: Duration) -> Duration {
        let mut usual = self.usual.lock().unwrap_or_else(PoisonError::into_inner);
        usual.entry(route.name.clone()).or_default().observe(deadline)
    }
}
