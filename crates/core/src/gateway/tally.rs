//! Sums the outstanding requests of all gateways at one endpoint.
//!
//! The report of an engine omits requests that have arrived since its last pass. Each gateway
//! knows exactly which requests it has sent and which of them have their first token. So gateways
//! send these counts to the endpoint's agent, which adds them up in a [`Tally`] and reports to
//! each gateway what the others have outstanding.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Interval at which a gateway sends its outstanding requests even if they have not changed.
pub const REPEAT_INTERVAL: Duration = Duration::from_millis(400);

/// How long the counts of a gateway are valid: two repetitions may be lost.
const VALIDITY: Duration = Duration::from_millis(1300);

/// Counts of the requests at one endpoint that have not ended.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outstanding {
    /// Number of all of them.
    pub requests: u32,
    /// Number of those that wait for their first token.
    pub waiting: u32,
    /// Prompt tokens of those that wait.
    pub unread: u32,
}

impl Outstanding {
    /// Whether there are none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }

    fn without(self, part: Self) -> Self {
        Self {
            requests: self.requests.saturating_sub(part.requests),
            waiting: self.waiting.saturating_sub(part.waiting),
            unread: self.unread.saturating_sub(part.unread),
        }
    }

    /// The sum of both, saturating.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            requests: self.requests.saturating_add(other.requests),
            waiting: self.waiting.saturating_add(other.waiting),
            unread: self.unread.saturating_add(other.unread),
        }
    }
}

/// The newest counts that one gateway has sent.
#[derive(Debug, Clone, Copy)]
struct Received {
    outstanding: Outstanding,
    // By the gateway's clock; identifies datagrams that arrive out of order.
    sent: Duration,
    // By the agent's clock.
    at: Duration,
}

impl Received {
    fn is_valid(&self, now: Duration) -> bool {
        self.at + VALIDITY > now
    }
}

/// The outstanding requests of each gateway at an endpoint, kept by the endpoint's agent.
#[derive(Debug, Default)]
pub struct Tally {
    received: HashMap<SocketAddr, Received>,
}

impl Tally {
    /// Applies the counts that a gateway sent at `sent` by its own clock. Ignores them if newer
    /// counts of the gateway have arrived and are still valid.
    pub fn apply(
        &mut self,
        gateway: SocketAddr,
        outstanding: Outstanding,
        sent: Duration,
        now: Duration,
    ) {
        self.expire(now);
        let is_outdated = self.received.get(&gateway).is_some_and(|last| last.sent > sent);
        if !is_outdated {
            self.received.insert(gateway, Received { outstanding, sent, at: now });
        }
    }

    /// The outstanding requests of all gateways.
    #[must_use]
    pub fn total(&self, now: Duration) -> Outstanding {
        let valid = self.received.values().filter(|received| received.is_valid(now));
        valid.map(|received| received.outstanding).fold(Outstanding::default(), Outstanding::plus)
    }

    /// The outstanding requests of all gateways but one. The caller passes the
    /// [total](Self::total), so that it is computed once for all gateways.
    #[must_use]
    pub fn others(&self, total: Outstanding, gateway: SocketAddr, now: Duration) -> Outstanding {
        let own = self.received.get(&gateway).filter(|received| received.is_valid(now));
        own.map_or(total, |own| total.without(own.outstanding))
    }

    /// Removes counts that are no longer valid.
    fn expire(&mut self, now: Duration) {
        self.received.retain(|_, received| received.is_valid(now));
    }
}
