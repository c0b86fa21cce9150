//! What all gateways together have outstanding at one endpoint.
//!
//! An engine's own report leaves out what has come since its last pass. Each gateway
//! knows exactly what it has sent and what of it has begun, so gateways tell the
//! endpoint's agent, which adds that up and tells each of them what the others have.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// How often a gateway tells of what it has outstanding, changed or not.
pub const REPEAT_INTERVAL: Duration = Duration::from_millis(400);

/// How long what a gateway told counts: two repeats may be lost on the way.
const KEPT: Duration = Duration::from_millis(1300);

/// Requests at one endpoint that have not ended.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outstanding {
    /// All of them.
    pub requests: u32,
    /// Those that wait for their first token.
    pub waiting: u32,
    /// The prompt tokens of those that wait.
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

    /// Both together.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            requests: self.requests.saturating_add(other.requests),
            waiting: self.waiting.saturating_add(other.waiting),
            unread: self.unread.saturating_add(other.unread),
        }
    }
}

/// What one gateway told last.
#[derive(Debug, Clone, Copy)]
struct Told {
    outstanding: Outstanding,
    // The gateway's own time, by which a datagram that was overtaken is known.
    sent: Duration,
    // Our own time.
    at: Duration,
}

/// What each gateway has outstanding at an endpoint, as its agent knows it.
#[derive(Debug, Default)]
pub struct Tally {
    told: HashMap<SocketAddr, Told>,
}

impl Tally {
    /// Takes in what a gateway told at its own time `sent`; what it told later and
    /// came sooner stays, while it counts.
    pub fn apply(
        &mut self,
        gateway: SocketAddr,
        outstanding: Outstanding,
        sent: Duration,
        now: Duration,
    ) {
        self.forget(now);
        let overtaken = self.told.get(&gateway).is_some_and(|told| told.sent > sent);
        if !overtaken {
            self.told.insert(gateway, Told { outstanding, sent, at: now });
        }
    }

    /// What all gateways have outstanding.
    #[must_use]
    pub fn total(&self, now: Duration) -> Outstanding {
        let told = self.told.values().filter(|told| counts(told, now));
        told.map(|told| told.outstanding).fold(Outstanding::default(), Outstanding::plus)
    }

    /// What of all that is outstanding is not a gateway's own. All of it is given,
    /// since it is the same for every gateway that is told.
    #[must_use]
    pub fn others(&self, all: Outstanding, gateway: SocketAddr, now: Duration) -> Outstanding {
        let own = self.told.get(&gateway).filter(|told| counts(told, now));
        own.map_or(all, |own| all.without(own.outstanding))
    }

    /// Forgets gateways that have fallen silent.
    fn forget(&mut self, now: Duration) {
        self.told.retain(|_, told| counts(told, now));
    }
}

/// Whether what a gateway told still counts.
fn counts(told: &Told, now: Duration) -> bool {
    told.at + KEPT > now
}
