//! State on the limits that endpoints name in their answers, which bind all gateways together.

use std::sync::Arc;

use cinderspoke_core::gateway::limit::{Change, Limit, Named, Update};
use cinderspoke_core::gateway::name::Endpoint;
use metrics::gauge;

use super::context::Context;
use super::inner::Inner;
use super::parse::Parsed;
use super::state::State;
use super::target::Target;
use crate::util::metrics::LIMITS;

impl Context {
    /// Applies what the head of an answer says of its endpoint's limit.
    pub(super) fn observe_limit(&self, parsed: &Parsed, target: &Arc<Target>, named: &Named) {
        let limit = match named {
            Named::None => None,
            Named::Limit(limit) => Some(*limit),
            Named::Invalid(text) => {
                if target.record_limit_invalid(true) {
                    let (id, endpoint) = (&parsed.call.id, &target.name);
                    tracing::warn!(%id, %endpoint, text, "an endpoint's limit cannot be read");
                }
                return;
            }
        };
        target.record_limit_invalid(false);
        if limit.is_some() || target.is_limited() {
            self.state.record_limit(target, limit);
        }
    }
}

impl State {
    /// Records the limit that an answer named which has just come; none ends the limit.
    fn record_limit(&self, target: &Target, limit: Option<Limit>) {
        let now = self.clock().now();
        let mut inner = self.lock();
        let change = inner.limits.record(target.run, limit, now);
        if change == Change::Confirmed {
            return;
        }
        // Its entry may have been removed and added again since the request was sent, with a new
        // target.
        let known = inner.target_of_run(&target.name, target);
        known.iter().for_each(|known| known.set_limited(limit.is_some()));
        target.set_limited(limit.is_some());
        inner.count_limits();
        drop(inner);
        log(&target.name, change, "answer");
        if change.is_notable() {
            self.publish();
        }
    }

    /// Merges the limits that another gateway knows.
    pub fn merge_limits(&self, updates: &[Update]) {
        if updates.is_empty() {
            return;
        }
        let now = self.clock().now();
        let mut inner = self.lock();
        let changes = inner.limits.merge(updates, now);
        if changes.is_empty() {
            return;
        }
        let mut changed = Vec::new();
        for (run, change) in changes {
            let limited = !matches!(change, Change::Ended(_));
            let target = inner.targets.values().find(|target| target.run == run);
            if let Some(target) = target {
                target.set_limited(limited);
                changed.push((target.name.clone(), change));
            }
        }
        inner.count_limits();
        drop(inner);
        let is_notable = changed.iter().any(|(_, change)| change.is_notable());
        changed.iter().for_each(|(endpoint, change)| log(endpoint, *change, "gateway"));
        if is_notable {
            self.publish();
        }
    }

    /// Some of the known limits, for another gateway.
    #[must_use]
    pub fn limit_updates(&self) -> Vec<Update> {
        let now = self.clock().now();
        self.lock().limits.updates(now)
    }
}

impl Inner {
    /// The target that is listed now for the run of another target of this name.
    fn target_of_run(&self, name: &Endpoint, target: &Target) -> Option<Arc<Target>> {
        self.targets.get(name).filter(|known| known.run == target.run).cloned()
    }

    /// Sets the metric of limits in force.
    fn count_limits(&self) {
        gauge!(LIMITS).set(self.limits.in_force() as f64);
    }
}

/// Logs a change of an endpoint's limit.
fn log(endpoint: &Endpoint, change: Change, from: &str) {
    match change {
        Change::Confirmed => {}
        Change::Learnt(limit) => {
            tracing::info!(%endpoint, per_s = limit.per_s(), from, "an endpoint named its limit");
        }
        Change::Changed { before, limit } => tracing::info!(
            %endpoint,
            per_s = limit.per_s(),
            before = before.per_s(),
            from,
            "an endpoint changed its limit"
        ),
        Change::Ended(before) => tracing::info!(
            %endpoint,
            before = before.per_s(),
            from,
            "an endpoint's limit ended"
        ),
    }
}
