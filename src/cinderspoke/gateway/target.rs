//! Endpoints as a gateway deals with them.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cinderspoke_core::gateway::directory::{Entry, Start};
use cinderspoke_core::gateway::health::{Health, Sign};
use cinderspoke_core::gateway::load::Load;
use cinderspoke_core::gateway::name::Endpoint;

use super::pool::Pool;

/// How long an endpoint that refused a request is left alone, as long as others can be asked.
const REST: Duration = Duration::from_millis(120);

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
    pub rests_until: Duration,
    /// Whether it has said in an answer that it is about to leave.
    pub leaves: bool,
}

/// An endpoint with its connections, kept from one view to the next.
#[derive(Debug)]
pub struct Target {
    /// Its name.
    pub name: Endpoint,
    /// Connections to it.
    pub pool: Pool,
    // When it started, where that is known.
    start: Option<Start>,
    tracking: Mutex<Tracking>,
}

impl Target {
    /// An endpoint of which nothing is known but its entry.
    #[must_use]
    pub fn new(name: Endpoint, entry: &Entry) -> Self {
        let (pool, start) = (Pool::new(entry.address), entry.start);
        Self { name, pool, start, tracking: Mutex::default() }
    }

    /// Whether an entry of its name is of this run of the endpoint: another one has none
    /// of its connections, and what was known of it does not hold.
    #[must_use]
    pub fn is_of(&self, entry: &Entry) -> bool {
        self.pool.address() == entry.address && self.start == entry.start
    }

    /// What changes with each request.
    pub fn tracking(&self) -> MutexGuard<'_, Tracking> {
        self.tracking.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether it has requests of this gateway.
    pub fn is_busy(&self) -> bool {
        self.tracking().load.own() > 0
    }

    /// Leaves the endpoint alone for a while, since it refused a request.
    pub fn rest(&self, now: Duration) {
        self.tracking().rests_until = now + REST;
    }

    /// Takes in that an answer says that it is about to leave; true when that is news.
    pub fn says_that_it_leaves(&self) -> bool {
        !std::mem::replace(&mut self.tracking().leaves, true)
    }

    /// Takes in how a request ended.
    pub fn sign(&self, sign: Sign, now: Duration) {
        if self.tracking().health.record(sign, now) {
            tracing::info!(endpoint = %self.name, ?sign, "endpoint left out for a while");
            self.pool.clear();
        }
    }
}
