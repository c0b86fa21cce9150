//! State that all of a gateway's requests share: the gateway's state, counts of requests and
//! connections, retry budgets, and estimates for services and routes.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::Duration;

use cinderspoke_core::gateway::budget::Budget;
use cinderspoke_core::gateway::caller_timeout::Estimator;
use cinderspoke_core::gateway::catalog::{Limits, Route};
use cinderspoke_core::gateway::demand::Urgency;
use cinderspoke_core::gateway::name::Service;
use cinderspoke_core::gateway::quota::URGENT_RESERVE;
use cinderspoke_core::gateway::shedding::{Arrivals, Protected, Rank};
use cinderspoke_ports::gateway::Dialect;
use tokio_util::sync::CancellationToken;

use super::memory::Memory;
use super::record::Record;
use super::state::State;
use crate::util::clock::{Clock, Deadline};

/// What is left between the deadline of the last request and the end of a stop: its response is
/// written meanwhile.
const RESPONSE_MARGIN: Duration = Duration::from_millis(100);

/// State that all of a gateway's requests share.
pub struct Context {
    /// The gateway's state.
    pub state: Arc<State>,
    /// The names that requests and answers have on the wire.
    pub dialect: Arc<dyn Dialect>,
    /// The process's clock.
    pub clock: Clock,
    /// The memory for answers that are buffered.
    pub memory: Arc<Memory>,
    draining: AtomicBool,
    closing: CancellationToken,
    ending: CancellationToken,
    // When a stop ends, once it has begun.
    stop_end: OnceLock<Deadline>,
    in_progress: AtomicUsize,
    // Connections on which a response may still be being written.
    open_connections: AtomicUsize,
    next_attempt: AtomicU64,
    budgets: Mutex<HashMap<Service, Budget>>,
    // When each service's requests of each priority arrived last.
    urgencies: Mutex<HashMap<Service, Urgency>>,
    // Each service's recent requests, by rank.
    arrivals: Mutex<HashMap<Service, Arrivals>>,
    // Estimates the usual timeout of the callers of each route.
    caller_timeouts: Mutex<HashMap<String, Estimator>>,
}

/// A retry budget that allows no further send.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Exhausted {
    /// Requests of the service here within the window.
    pub requests: usize,
    /// The further sends that are saved up, less than one.
    pub tokens: f64,
    /// The number of gateways that were ever known, this one included.
    pub gateways: usize,
}

/// A further send of a request that was withdrawn from the retry budget of its service; dropping
/// it puts the send back, unless it was spent.
pub struct Withdrawal {
    context: Arc<Context>,
    service: Service,
    is_spent: bool,
}

impl Withdrawal {
    /// Records that the request leaves this process.
    pub fn spend(&mut self) {
        self.context.budget(&self.service, Budget::spend);
        self.is_spent = true;
    }

    /// Reverses [`Self::spend`]: no byte of the request has left this process.
    pub fn unspend(&mut self) {
        self.context.budget(&self.service, Budget::unspend);
        self.is_spent = false;
    }
}

impl Drop for Withdrawal {
    fn drop(&mut self) {
        if !self.is_spent {
            self.context.budget(&self.service, Budget::put_back);
        }
    }
}

/// Counts a request as in progress until it is dropped.
pub struct InProgress(Arc<Context>);

impl Drop for InProgress {
    fn drop(&mut self) {
        self.0.in_progress.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Counts a connection as open, so that a stop waits for it, until it is dropped.
pub struct OpenConnection(Arc<Context>);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.open_connections.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Context {
    /// Creates the context of a gateway that has just started.
    #[must_use]
    pub fn new(state: Arc<State>, dialect: Arc<dyn Dialect>, clock: Clock) -> Self {
        let memory = Memory::new(state.options().memory);
        Self {
            state,
            dialect,
            clock,
            memory,
            draining: AtomicBool::new(false),
            closing: CancellationToken::new(),
            ending: CancellationToken::new(),
            stop_end: OnceLock::new(),
            in_progress: AtomicUsize::new(0),
            open_connections: AtomicUsize::new(0),
            next_attempt: AtomicU64::new(1),
            budgets: Mutex::default(),
            urgencies: Mutex::default(),
            arrivals: Mutex::default(),
            caller_timeouts: Mutex::default(),
        }
    }

    /// Returns whether the gateway is ready: it is not draining, and knows a configuration,
    /// endpoints, the evacuated availability zones and what other gateways know.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let view = self.state.view();
        let has_state =
            view.catalog.is_some() && view.evacuations_known && !view.members.is_empty();
        !self.is_draining() && has_state && self.state.is_informed()
    }

    /// Makes the gateway report that it is not ready for new connections, before a stop that ends
    /// after `grace`.
    pub fn start_draining(&self, grace: Duration) {
        self.stop_end.get_or_init(|| self.clock.after(grace));
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Closes each connection as soon as it has no request in progress.
    pub fn close_connections(&self) {
        self.closing.cancel();
    }

    /// Closes all connections, also those with a request in progress.
    pub fn end_connections(&self) {
        self.ending.cancel();
    }

    /// Waits until [`Self::end_connections`] is called.
    pub async fn wait_ending(&self) {
        self.ending.cancelled().await;
    }

    /// Returns whether the gateway reports that it is not ready for new connections.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Waits until [`Self::close_connections`] is called.
    pub async fn wait_closing(&self) {
        self.closing.cancelled().await;
    }

    /// Returns whether connections are being closed.
    #[must_use]
    pub fn is_closing(&self) -> bool {
        self.closing.is_cancelled()
    }

    /// Returns whether a request with this deadline can no longer be sent: connections are being
    /// closed, and the stop might end before the request does.
    #[must_use]
    pub fn is_too_late(&self, deadline: &Deadline) -> bool {
        let is_cut = |end: &Deadline| deadline.left() + RESPONSE_MARGIN > end.left();
        self.is_closing() && self.stop_end.get().is_none_or(is_cut)
    }

    /// Returns the number of requests in progress.
    #[must_use]
    pub fn in_progress(&self) -> usize {
        self.in_progress.load(Ordering::Relaxed)
    }

    /// Returns the number of connections that a stop has to wait for: a response may be complete
    /// but not written yet, and would be lost if the process ended.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.open_connections.load(Ordering::Relaxed)
    }

    /// Returns the limits of callers' requests and connections.
    #[must_use]
    pub fn limits(&self) -> Limits {
        let view = self.state.view();
        view.catalog.as_ref().map_or_else(Limits::default, |catalog| catalog.declared().limits)
    }

    /// Returns a number for an attempt that is unique in this process.
    pub fn next_attempt_number(&self) -> u64 {
        self.next_attempt.fetch_add(1, Ordering::Relaxed)
    }

    /// Counts a request as in progress until the result is dropped.
    pub fn start_request(self: &Arc<Self>) -> InProgress {
        self.in_progress.fetch_add(1, Ordering::Relaxed);
        InProgress(Arc::clone(self))
    }

    /// Counts a connection as open until the result is dropped.
    pub fn track_connection(self: &Arc<Self>) -> OpenConnection {
        self.open_connections.fetch_add(1, Ordering::Relaxed);
        OpenConnection(Arc::clone(self))
    }

    /// Runs a function on a service's retry budget, under the lock.
    fn budget<T>(&self, service: &Service, act: impl FnOnce(&mut Budget) -> T) -> T {
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        act(budgets.entry(service.clone()).or_default())
    }

    /// Records a request for a service, which adds to its retry budget.
    pub fn deposit_retry(&self, service: &Service) {
        let (now, options) = (self.clock.now(), self.state.options().budget);
        let gateways = self.state.view().known_gateways;
        self.budget(service, |budget| budget.record_request(now, &options, gateways));
    }

    /// Records a request of a priority for a service in its demand.
    pub fn record_demand(&self, service: &Service, priority: u8) {
        let now = self.clock.now();
        let mut urgencies = self.urgencies.lock().unwrap_or_else(PoisonError::into_inner);
        urgencies.entry(service.clone()).or_default().record_arrival(priority, now);
        drop(urgencies);
        self.state.record_arrival(service);
    }

    /// Runs a function on the recent requests of a service, under the lock.
    fn arrivals<T>(&self, service: &Service, act: impl FnOnce(&mut Arrivals) -> T) -> T {
        let mut arrivals = self.arrivals.lock().unwrap_or_else(PoisonError::into_inner);
        act(arrivals.entry(service.clone()).or_default())
    }

    /// Records a request of a rank for a service, with its target of the time to first token.
    pub fn record_rank(&self, service: &Service, rank: Rank, ttft_target: Duration) {
        let now = self.clock.now();
        self.arrivals(service, |arrivals| arrivals.record(rank, ttft_target, now));
    }

    /// Records that a request of a rank was admitted.
    pub fn record_admitted(&self, service: &Service, rank: Rank) {
        let now = self.clock.now();
        self.arrivals(service, |arrivals| arrivals.record_admitted(rank, now));
    }

    /// Records that a request of a rank was refused because of load or its rank.
    pub fn record_refused(&self, service: &Service, rank: Rank) {
        let now = self.clock.now();
        self.arrivals(service, |arrivals| arrivals.record_refused(rank, now));
    }

    /// Returns the ranks for which a request of a service must leave room; none if requests are
    /// not shed by rank.
    pub fn protected(&self, service: &Service, rank: Rank) -> Option<Protected> {
        if !self.state.options().sheds_by_rank {
            return None;
        }
        let now = self.clock.now();
        self.arrivals(service, |arrivals| arrivals.protected(rank, now))
    }

    /// Returns the part of a request's worth that a request of a priority leaves in the budgets of
    /// endpoints, for more urgent requests of the same service.
    pub fn urgent_reserve(&self, service: &Service, priority: u8) -> f64 {
        let now = self.clock.now();
        let urgencies = self.urgencies.lock().unwrap_or_else(PoisonError::into_inner);
        let urgency = urgencies.get(service);
        let is_exceeded = urgency.is_some_and(|urgency| urgency.is_exceeded(priority, now));
        if is_exceeded { URGENT_RESERVE } else { 0.0 }
    }

    /// Returns the estimated rate of requests that other gateways receive for a service, per
    /// second, where `gateways` is the number of live ones.
    pub fn competing_rate(&self, service: &Service, gateways: usize) -> f64 {
        self.state.competing_rate(service, gateways)
    }

    /// Withdraws a further send of a request from the retry budget of its service. None, which is
    /// recorded, if the budget allows no further send.
    pub fn withdraw_retry(
        self: &Arc<Self>,
        service: &Service,
        record: &mut Record,
    ) -> Option<Withdrawal> {
        let (now, options) = (self.clock.now(), self.state.options().budget);
        let gateways = self.state.view().known_gateways;
        let exhausted = self.budget(service, |budget| {
            let allowed = budget.withdraw(now, &options, gateways);
            let (requests, tokens) = (budget.requests(), budget.tokens());
            (!allowed).then_some(Exhausted { requests, tokens, gateways })
        });
        if let Some(exhausted) = exhausted {
            record.retry_refused(service, exhausted);
            return None;
        }
        Some(Withdrawal { context: Arc::clone(self), service: service.clone(), is_spent: false })
    }

    /// Returns how long a caller with this timeout has waited before this attempt of the caller.
    pub fn waited_before(&self, route: &Route, deadline: Duration) -> Duration {
        let mut estimators = self.caller_timeouts.lock().unwrap_or_else(PoisonError::into_inner);
        estimators.entry(route.name.clone()).or_default().observe(deadline)
    }
}
