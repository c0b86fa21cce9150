//! What a gateway keeps of each endpoint: connections, load, health, and what the endpoint
//! announced of itself.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cinderspoke_core::gateway::directory::{Entry, Start};
use cinderspoke_core::gateway::health::{Health, Observation};
use cinderspoke_core::gateway::limit::{self, Statement};
use cinderspoke_core::gateway::load::Load;
use cinderspoke_core::gateway::name::Endpoint;
use cinderspoke_core::gateway::notice::{self, Run};
use cinderspoke_core::gateway::quota;

use super::pool::Pool;

/// How long an endpoint that refused a request gets no more, unless no other endpoint is
/// available.
const REFUSAL_PAUSE: Duration = Duration::from_millis(120);

/// The part of an endpoint's state that changes with each request.
#[derive(Debug, Default)]
pub struct Tracking {
    /// The outstanding requests and the latest report of its agent.
    pub load: Load,
    /// The address of its agent, once that has reported.
    pub agent: Option<SocketAddr>,
    /// Whether it is healthy, ejected, or due for a probe.
    pub health: Health,
    /// Until when it gets no requests after it refused one, by the gateway's clock.
    pub paused_until: Duration,
    /// The recent sends, counted against the limit of a cold endpoint and when a limit begins.
    pub sends: quota::Sends,
    /// What may be sent by the limit that the endpoint named.
    pub limit: limit::Budget,
}

/// An endpoint with its connections; views share it.
#[derive(Debug)]
pub struct Target {
    /// Its name.
    pub name: Endpoint,
    /// Connections to it.
    pub pool: Pool,
    /// The run of the endpoint, which changes with each restart.
    pub run: Run,
    // When it started, where that is known.
    start: Option<Start>,
    // What the endpoint announced: whether it is draining, and until when it asked for back-off,
    // in milliseconds of the gateway's clock. Not behind the lock of `tracking`: the lock of the
    // gateway's state is taken while that one is held.
    draining: AtomicBool,
    backoff_until_ms: AtomicU64,
    // Until when it counts as cold, by the gateway's clock, and the remaining warm-up that its
    // entry last listed, both in milliseconds.
    cold_until_ms: AtomicU64,
    listed_cold_ms: AtomicU64,
    // Whether it named a limit, as `tracking` holds it, and whether its last statement of one could
    // not be read.
    limited: AtomicBool,
    limit_invalid: AtomicBool,
    // Whether its agent was asked to report to this gateway.
    reports_here: AtomicBool,
    tracking: Mutex<Tracking>,
}

impl Target {
    /// Creates a target from its entry in the directory and from what the endpoint announced
    /// before its entry was removed and added again.
    #[must_use]
    pub fn new(
        name: Endpoint,
        entry: &Entry,
        notices: &notice::Table,
        limits: &limit::Table,
    ) -> Self {
        let (pool, start, run) = (Pool::new(entry.address), entry.start, Run::of(&name, entry));
        let draining = AtomicBool::new(notices.is_draining(run));
        let backoff_until_ms = AtomicU64::new(whole_millis(notices.backoff_until(run)));
        let limit = limit::Budget::restore(limits.get(run));
        let limited = AtomicBool::new(limit.is_limited());
        Self {
            name,
            pool,
            run,
            start,
            draining,
            backoff_until_ms,
            cold_until_ms: AtomicU64::default(),
            listed_cold_ms: AtomicU64::default(),
            limited,
            limit_invalid: AtomicBool::default(),
            reports_here: AtomicBool::new(true),
            tracking: Mutex::new(Tracking { limit, ..Tracking::default() }),
        }
    }

    /// Returns whether an entry of this name describes the same run of the endpoint. Connections
    /// and state are not carried over to another run.
    #[must_use]
    pub fn matches(&self, entry: &Entry) -> bool {
        self.pool.address() == entry.address && self.start == entry.start
    }

    /// Locks the state that changes with each request.
    pub fn tracking(&self) -> MutexGuard<'_, Tracking> {
        self.tracking.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether this gateway has outstanding requests at the endpoint.
    pub fn has_outstanding(&self) -> bool {
        self.tracking().load.own_requests() > 0
    }

    /// Records that the endpoint refused a request: it gets no more for [`REFUSAL_PAUSE`].
    pub fn record_refusal(&self, now: Duration) {
        self.tracking().paused_until = now + REFUSAL_PAUSE;
    }

    /// Returns whether this run may have started at that time; true if either time is unknown.
    #[must_use]
    pub fn matches_start(&self, start: Option<Start>) -> bool {
        start.is_none() || self.start.is_none() || self.start == start
    }

    /// Returns whether the endpoint announced that it is draining.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Records that the endpoint is draining.
    pub fn set_draining(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Extends the back-off that the endpoint asked for until a time of the gateway's clock.
    pub fn extend_backoff(&self, until: Duration) {
        self.backoff_until_ms.fetch_max(whole_millis(until), Ordering::Relaxed);
    }

    /// Applies what an answer said of the endpoint's limit. `is_settled` is whether gateways
    /// have known each other for a while.
    pub fn apply_limit(&self, statement: Statement, is_settled: bool, now: Duration) {
        let mut tracking = self.tracking();
        let sent = tracking.sends.count(limit::WINDOW, now);
        tracking.limit.apply(statement, quota::Start { at: now, sent, is_settled });
        self.limited.store(tracking.limit.is_limited(), Ordering::Relaxed);
    }

    /// Returns whether the endpoint has a limit.
    #[must_use]
    pub fn is_limited(&self) -> bool {
        self.limited.load(Ordering::Relaxed)
    }

    /// Records whether the endpoint's statement of its limit can be read; returns whether it is the
    /// first after one that could be read.
    pub fn record_limit_invalid(&self, invalid: bool) -> bool {
        !self.limit_invalid.swap(invalid, Ordering::Relaxed) && invalid
    }

    /// Sets whether its agent was asked to report to this gateway.
    pub fn set_reports_here(&self, reports: bool) {
        self.reports_here.store(reports, Ordering::Relaxed);
    }

    /// Returns whether its agent was asked to report to this gateway; missing reports then
    /// indicate a failure of its instance.
    #[must_use]
    pub fn reports_here(&self) -> bool {
        self.reports_here.load(Ordering::Relaxed)
    }

    /// Applies the remaining warm-up that its entry lists; does nothing if the entry lists the
    /// same as before, since that is no new statement.
    pub fn set_listed_cold(&self, cold: Duration, now: Duration) {
        let cold_ms = whole_millis(cold);
        if self.listed_cold_ms.swap(cold_ms, Ordering::Relaxed) != cold_ms {
            self.extend_cold(now + cold);
        }
    }

    /// Counts the endpoint as cold at least until a time of the gateway's clock.
    pub fn extend_cold(&self, until: Duration) {
        self.cold_until_ms.fetch_max(whole_millis(until), Ordering::Relaxed);
    }

    /// Returns whether the endpoint counts as cold.
    #[must_use]
    pub fn is_cold(&self, now: Duration) -> bool {
        Duration::from_millis(self.cold_until_ms.load(Ordering::Relaxed)) > now
    }

    /// Returns the rest of the back-off that the endpoint asked for; none if it is over.
    #[must_use]
    pub fn backoff_left(&self, now: Duration) -> Option<Duration> {
        let until = Duration::from_millis(self.backoff_until_ms.load(Ordering::Relaxed));
        until.checked_sub(now).filter(|left| !left.is_zero())
    }

    /// Returns whether the endpoint accepts requests, by its own announcements: it is neither
    /// draining nor in back-off.
    #[must_use]
    pub fn accepts_requests(&self, now: Duration) -> bool {
        !self.is_draining() && self.backoff_left(now).is_none()
    }

    /// Records how a request ended; closes idle connections if that ejects the endpoint.
    pub fn observe(&self, sign: Observation, now: Duration) {
        if self.tracking().health.record(sign, now) {
            tracing::info!(endpoint = %self.name, ?sign, "endpoint ejected");
            self.pool.close_idle();
        }
    }
}

/// Converts a duration to milliseconds, rounded up.
fn whole_millis(time: Duration) -> u64 {
    u64::try_from(time.as_nanos().div_ceil(1_000_000)).unwrap_or(u64::MAX)
}
