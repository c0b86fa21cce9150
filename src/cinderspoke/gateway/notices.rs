//! Applies what endpoints announce in their answers: drains, back-offs, cold starts and limits.

use std::sync::Arc;
use std::time::Duration;

use cinderspoke_core::gateway::notice::{Drain, Run, Update};
use cinderspoke_ports::gateway::AnswerHead;

use super::context::Context;
use super::parse::Parsed;
use super::state::State;
use super::target::Target;

impl Context {
    /// Applies what the head of an answer announces about its endpoint, also when the answer
    /// itself is not used.
    ///
    /// The list of endpoints reports this later, and not at all while the store accepts no
    /// writes. Without this, requests would still be sent to endpoints that drain or back off.
    pub fn observe_answer_head(
        &self,
        parsed: &Parsed,
        target: &Arc<Target>,
        announced: &AnswerHead,
    ) {
        if announced.is_draining && !target.is_draining() {
            let (id, endpoint) = (&parsed.call.id, &target.name);
            tracing::info!(%id, %endpoint, "an endpoint announced that it is draining");
            self.state.record_drain(target.run, "answer");
        }
        if let Some(cold) = announced.cold {
            target.extend_cold(self.clock.now() + cold);
        }
        self.observe_limit(parsed, target, &announced.limit);
        if let Some(backoff) = announced.backoff {
            self.state.record_backoff(target, backoff);
        }
    }
}

impl State {
    /// Records that a run of an endpoint is draining, so that it gets no further requests.
    fn record_drain(&self, run: Run, from: &str) {
        let now = self.clock().now();
        let mut inner = self.lock();
        if inner.notices.record_drain(run, now) {
            self.drain_runs(&mut inner, &[run], from);
            drop(inner);
            self.publish();
        }
    }

    /// Records a drain of an engine that its agent reports. The report may be of another run than
    /// the listed one, and is ignored then.
    pub(super) fn record_agent_drain(&self, target: &Target, departure: Drain) {
        if target.matches_start(departure.start) && !target.is_draining() {
            self.record_drain(target.run, "agent");
        }
    }

    /// Merges the drains that another gateway knows.
    pub fn merge_drains(&self, updates: &[Update]) {
        if updates.is_empty() {
            return;
        }
        let now = self.clock().now();
        let mut inner = self.lock();
        let new_runs = inner.notices.merge(updates, now);
        if !new_runs.is_empty() {
            self.drain_runs(&mut inner, &new_runs, "gateway");
            drop(inner);
            self.publish();
        }
    }

    /// Records that an endpoint asked this gateway to send no requests for a time.
    fn record_backoff(&self, target: &Target, backoff: Duration) {
        let until = self.clock().now().saturating_add(backoff);
        target.extend_backoff(until);
        let mut inner = self.lock();
        inner.notices.record_backoff(target.run, until);
        // Its entry may have been removed and added again since the request was sent, with a new
        // target.
        let known = inner.targets.get(&target.name).filter(|known| known.run == target.run);
        if let Some(known) = known {
            known.extend_backoff(until);
        }
    }
}
