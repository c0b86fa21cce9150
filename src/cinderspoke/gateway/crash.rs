//! Telling endpoints that ended under a request from connections that broke off.

use std::sync::Arc;
use std::time::Duration;

use cinderspoke_core::gateway::fingerprint::{Fingerprint, Identity};
use cinderspoke_core::gateway::name::Request;
use cinderspoke_core::gateway::suspect::{Change, Crash};

use super::context::Context;
use super::parse::Parsed;
use super::target::Target;

impl Parsed {
    /// What is the same in all attempts at this request.
    #[must_use]
    pub fn fingerprint(&self) -> Fingerprint {
        *self.fingerprint.get_or_init(|| self.to_fingerprint())
    }

    fn to_fingerprint(&self) -> Fingerprint {
        let key = self.call.key.as_deref().unwrap_or_default();
        Fingerprint::of(&Identity {
            method: self.head.method.as_str(),
            host: &self.call.host,
            path: self.head.uri.path_and_query().map_or("/", |path| path.as_str()),
            // A team may have another key by the next attempt.
            caller: self.team.as_ref().map_or(key, |team| team.as_str()),
            body: &self.body,
        })
    }
}

/// How often an endpoint is tried that does not answer at all, 0.4 s each: packets are lost
/// on the way, and one that has ended takes seconds to be back.
const TRIES: u32 = 3;

/// A send whose connection broke off before the answer was whole.
struct Broken {
    context: Arc<Context>,
    target: Arc<Target>,
    request: Request,
    fingerprint: Fingerprint,
    // When it was sent and broke off, by the gateway's clock.
    sent: Duration,
    broke: Duration,
}

/// Finds out whether an endpoint has ended under a request whose connection broke off.
///
/// Apart from the request, which may go on at another endpoint meanwhile; only one that
/// is suspected already waits, so that it ends no endpoint more than it has to.
pub async fn investigate(
    context: &Arc<Context>,
    parsed: &Parsed,
    target: &Arc<Target>,
    sent: Duration,
) {
    let broken = Broken {
        context: Arc::clone(context),
        target: Arc::clone(target),
        request: parsed.call.id.clone(),
        fingerprint: parsed.fingerprint(),
        sent,
        broke: context.clock.now(),
    };
    let is_suspected = context.state.suspects().is_suspected(broken.fingerprint);
    let looking = tokio::spawn(async move {
        if broken.has_ended().await {
            broken.ended();
        }
    });
    if is_suspected && let Err(error) = looking.await {
        tracing::error!(%error, "looking for the end of an endpoint");
    }
}

impl Broken {
    /// Whether the endpoint refuses connections now.
    async fn has_ended(&self) -> bool {
        for _ in 0..TRIES {
            if let Some(refused) = self.target.pool.refuses_connections().await {
                return refused;
            }
        }
        false
    }

    /// Takes in that the endpoint has ended.
    fn ended(&self) {
        let crash = Crash {
            id: rand::random(),
            endpoint: self.target.name.clone(),
            sent: self.sent,
            disconnected: self.broke,
        };
        let news = self.context.state.record_crash(self.fingerprint, &crash);
        tracing::info!(
            id = %self.request,
            endpoint = %self.target.name,
            fingerprint = %self.fingerprint,
            after_ms = self.broke.saturating_sub(self.sent).as_millis() as u64,
            held = news == Change::Quarantined,
            "an endpoint ended under a request"
        );
    }
}
