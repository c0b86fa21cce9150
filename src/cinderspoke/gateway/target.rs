//! Endpoints as a gateway deals with them.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cinderspoke_core::gateway::cold;
use cinderspoke_core::gateway::directory::{Entry, Start};
use cinderspoke_core::gateway::health::{Health, Observation};
use cinderspoke_core::gateway::load::Load;
use cinderspoke_core::gateway::name::Endpoint;
use cinderspoke_core::gateway::notice::{self, Run};

use super::pool::Pool;

/// How long an endpoint that refused a request is left alone, as long as others can be asked.
const REFUSAL_PAUSE: Duration = Duration::from_millis(120);

/// What changes with each request.
#[derive(Debug, Default)]
pub struct Tracking {
    /// What it is busy with.
    pub load: Load,
    /// Its agent, once that has reported.
    pub agent: Option<SocketAddr>,
    /// Whether it answers as it should.
    pub health: Health,
    /// Until when it is left alone after it refused a request.
    pub paused_until: Duration,
    /// What it was sent lately.
    pub sends: cold::Sends,
}

/// An endpoint with its connections, kept from one view to the next.
#[derive(Debug)]
pub struct Target {
    /// Its name.
    pub name: Endpoint,
    /// Connections to it.
    pub pool: Pool,
    /// Which of its runs this is.
    pub run: Run,
    // When it started, where that is known.
    start: Option<Start>,
    // What it said of itself: whether it leaves, and until when it wants no requests, in
    // milliseconds of the gateway's clock. Not under `tracking`'s lock, under which what
    // the gateway knows is asked for: that lock comes second.
    draining: AtomicBool,
    backoff_until_ms: AtomicU64,
    // Until when it is taken for cold, and what its entry last said of that, in milliseconds.
    cold_until_ms: AtomicU64,
    listed_cold_ms: AtomicU64,
    // Whether its agent was asked to report here.
    reports_here: AtomicBool,
    tracking: Mutex<Tracking>,
}

impl Target {
    /// An endpoint of which nothing is known but its entry, and what it said of itself
    /// before the entry went and came back.
    #[must_use]
    pub fn new(name: Endpoint, entry: &Entry, notices: &notice::Table) -> Self {
        let (pool, start, run) = (Pool::new(entry.address), entry.start, Run::of(&name, entry));
        let draining = AtomicBool::new(notices.is_draining(run));
        let backoff_until_ms = AtomicU64::new(whole_millis(notices.backoff_until(run)));
        Self {
            name,
            pool,
            run,
            start,
            draining,
            backoff_until_ms,
            cold_until_ms: AtomicU64::default(),
            listed_cold_ms: AtomicU64::default(),
            reports_here: AtomicBool::new(true),
            tracking: Mutex::default(),
        }
    }

    /// Whether an entry of its name is of this run of the endpoint: another one has none
    /// of its connections, and what was known of it does not hold.
    #[must_use]
    pub fn matches(&self, entry: &Entry) -> bool {
        self.pool.address() == entry.address && self.start == entry.start
    }

    /// What changes with each request.
    pub fn tracking(&self) -> MutexGuard<'_, Tracking> {
        self.tracking.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether it has requests of this gateway.
    pub fn has_outstanding(&self) -> bool {
        self.tracking().load.own_requests() > 0
    }

    /// Leaves the endpoint alone for a while, since it refused a request.
    pub fn record_refusal(&self, now: Duration) {
        self.tracking().paused_until = now + REFUSAL_PAUSE;
    }

    /// Whether this run may be the one that started then; without a time it may.
    #[must_use]
    pub fn matches_start(&self, start: Option<Start>) -> bool {
        start.is_none() || self.start.is_none() || self.start == start
    }

    /// Whether it is about to leave, as it said itself.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Takes in that it is about to leave.
    pub fn set_draining(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Takes in that it wants no requests until a time.
    pub fn extend_backoff(&self, until: Duration) {
        self.backoff_until_ms.fetch_max(whole_millis(until), Ordering::Relaxed);
    }

    /// Sets whether its agent was asked to report here.
    pub fn set_reports_here(&self, reports: bool) {
        self.reports_here.store(reports, Ordering::Relaxed);
    }

    /// Whether its agent was asked to report here: silence tells of its instance then.
    #[must_use]
    pub fn reports_here(&self) -> bool {
        self.reports_here.load(Ordering::Relaxed)
    }

    /// Sets how much longer its entry says that it is cold; an entry that says the same again
    /// is the same word.
    pub fn set_listed_cold(&self, cold: Duration, now: Duration) {
        let cold_ms = whole_millis(cold);
        if self.listed_cold_ms.swap(cold_ms, Ordering::Relaxed) != cold_ms {
            self.extend_cold(now + cold);
        }
    }

    /// Counts it as cold until a time, or longer where it was known to be.
    pub fn extend_cold(&self, until: Duration) {
        self.cold_until_ms.fetch_max(whole_millis(until), Ordering::Relaxed);
    }

    /// Whether it is taken for cold.
    #[must_use]
    pub fn is_cold(&self, now: Duration) -> bool {
        Duration::from_millis(self.cold_until_ms.load(Ordering::Relaxed)) > now
    }

    /// For how much longer it wants no requests; none if it takes them.
    #[must_use]
    pub fn backoff_left(&self, now: Duration) -> Option<Duration> {
        let until = Duration::from_millis(self.backoff_until_ms.load(Ordering::Relaxed));
        until.checked_sub(now).filter(|left| !left.is_zero())
    }

    /// Whether it takes requests at all, by what it said itself.
    #[must_use]
    pub fn accepts_requests(&self, now: Duration) -> bool {
        !self.is_draining() && self.backoff_left(now).is_none()
    }

    /// Takes in how a request ended.
    pub fn observe(&self, sign: Observation, now: Duration) {
        if self.tracking().health.record(sign, now) {
            tracing::info!(endpoint = %self.name, ?sign, "endpoint left out for a while");
            self.pool.close_idle();
        }
    }
}

/// A time in milliseconds, rounded up.
fn whole_millis(time: Duration) -> u64 {
    u64::try_from(time.as_nanos().div_ceil(1_000_000)).unwrap_or(u64::MAX)
}
