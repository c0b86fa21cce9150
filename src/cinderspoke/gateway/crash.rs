//! Distinguishes an endpoint that crashed while it ran a request from a broken connection.

use std::sync::Arc;
use std::time::Duration;

use cinderspoke_core::gateway::fingerprint::{Fingerprint, Identity};
use cinderspoke_core::gateway::name::Request;
use cinderspoke_core::gateway::suspect::{Crash, Subject};
use cinderspoke_ports::framing::Framing;
use tokio::time::{Instant, timeout};

use super::context::Context;
use super::parse::Parsed;
use super::target::Target;

impl Parsed {
    /// Returns the fingerprint, which is the same for all attempts of the request.
    #[must_use]
    pub fn fingerprint(&self) -> Fingerprint {
        *self.fingerprint.get_or_init(|| self.to_fingerprint())
    }

    /// Returns what a crash of an endpoint that runs the request may be attributed to: the request,
    /// and the parts of its prompt that others may share.
    #[must_use]
    pub fn subjects(&self) -> Vec<Subject> {
        Subject::of(self.fingerprint(), &self.call)
    }

    fn to_fingerprint(&self) -> Fingerprint {
        let key = self.call.key.as_deref().unwrap_or_default();
        Fingerprint::of(&Identity {
            method: self.head.method.as_str(),
            host: &self.call.host,
            path: self.head.uri.path_and_query().map_or("/", |path| path.as_str()),
            // A team's key may change before the next attempt.
            caller: self.team.as_ref().map_or(key, |team| team.as_str()),
            body: &self.body,
        })
    }
}

/// Number of connection attempts to an endpoint that does not respond, 0.4 s each: packets may
/// be lost, and a crashed endpoint takes seconds to restart.
const CONNECT_ATTEMPTS: u32 = 3;

/// How long a request that is no suspect waits for the result: an endpoint that can be reached
/// refuses or accepts a connection within a round trip.
const MAX_WAIT: Duration = Duration::from_millis(100);

/// An attempt whose connection broke off before the answer was complete.
struct BrokenAttempt {
    context: Arc<Context>,
    target: Arc<Target>,
    request: Request,
    fingerprint: Fingerprint,
    subjects: Vec<Subject>,
    // How the end of the answer would have been marked, if its head was received.
    framing: Option<Framing>,
    // When the request was sent and the connection broke off, by the gateway's clock.
    sent: Duration,
    disconnected: Duration,
    // The time of `disconnected`, for the pool.
    ended: Instant,
}

/// Finds out whether an endpoint crashed when the connection of a request broke off.
///
/// Runs in a task of its own. The request waits for the result before it is retried, so that it
/// crashes no more endpoints than necessary: for a short time, or until there is one if the request
/// or a part of its prompt is a suspect already.
pub async fn investigate(
    context: &Arc<Context>,
    parsed: &Parsed,
    target: &Arc<Target>,
    sent: Duration,
    framing: Option<Framing>,
) {
    let broken = BrokenAttempt {
        context: Arc::clone(context),
        target: Arc::clone(target),
        request: parsed.call.id.clone(),
        fingerprint: parsed.fingerprint(),
        subjects: parsed.subjects(),
        framing,
        sent,
        disconnected: context.clock.now(),
        ended: Instant::now(),
    };
    let is_suspected = context.state.suspects().is_suspected(&broken.subjects);
    let investigation = tokio::spawn(async move {
        if broken.has_crashed().await {
            broken.record_crash();
        }
    });
    let left = parsed.deadline.left();
    let wait = if is_suspected { left } else { MAX_WAIT.min(left) };
    if let Ok(Err(error)) = timeout(wait, investigation).await {
        tracing::error!(%error, "investigating a crash of an endpoint failed");
    }
}

impl BrokenAttempt {
    /// Returns whether the endpoint refuses connections now.
    async fn has_crashed(&self) -> bool {
        for _ in 0..CONNECT_ATTEMPTS {
            if let Some(refused) = self.target.pool.refuses_connections(self.ended).await {
                return refused;
            }
        }
        false
    }

    /// Records that the endpoint crashed.
    fn record_crash(&self) {
        let crash = Crash {
            id: rand::random(),
            endpoint: self.target.name.clone(),
            sent: self.sent,
            disconnected: self.disconnected,
        };
        let changes = self.context.state.record_crash(&self.subjects, &crash);
        let parts = self.subjects.iter().filter_map(|subject| subject.part());
        let parts: Vec<_> = parts.map(|part| part.to_string()).collect();
        tracing::info!(
            id = %self.request,
            endpoint = %self.target.name,
            fingerprint = %self.fingerprint,
            framing = self.framing.map(Framing::as_str),
            after_ms = self.disconnected.saturating_sub(self.sent).as_millis() as u64,
            parts = parts.join(","),
            held = !changes.quarantined.is_empty(),
            "endpoint crashed while it ran a request"
        );
    }
}
