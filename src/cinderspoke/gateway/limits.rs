//! State on the limits that endpoints name in their answers, which bind all gateways together.

use std::sync::Arc;
use std::time::Duration;

use cinderspoke_core::gateway::gossip;
use cinderspoke_core::gateway::limit::{Change, Limit, Named, Statement, Update};
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
    fn record_limit(&self, target: &Arc<Target>, limit: Option<Limit>) {
        let now = self.clock().now();
        let mut inner = self.lock();
        let change = inner.limits.record(target.run, limit, now);
        // Its entry may have been removed and added again since the request was sent, with a new
        // target.
        let listed = inner.targets.get(&target.name).filter(|listed| listed.run == target.run);
        let listed = listed.filter(|listed| !Arc::ptr_eq(listed, target)).cloned();
        let is_settled = inner.is_settled(now);
        inner.count_limits();
        drop(inner);
        for target in listed.iter().chain([target]) {
            target.apply_limit(Statement { limit, at: now }, is_settled, now);
        }
        self.report_limits(&[(target.name.clone(), change)], "answer");
    }

    /// Merges the limits that another gateway knows.
    pub fn merge_limits(&self, updates: &[Update]) {
        if updates.is_empty() {
            return;
        }
        let now = self.clock().now();
        let mut inner = self.lock();
        let changes = inner.limits.merge(updates, now);
        let listed = changes.into_iter().filter_map(|(run, change)| {
            let target = inner.targets.values().find(|target| target.run == run)?;
            Some((Arc::clone(target), inner.limits.get(run)?, change))
        });
        let listed: Vec<_> = listed.collect();
        let is_settled = inner.is_settled(now);
        inner.count_limits();
        // The lock of a target is never taken while that of the state is held.
        drop(inner);
        let apply = |(target, statement, change): (Arc<Target>, Statement, Change)| {
            target.apply_limit(statement, is_settled, now);
            (target.name.clone(), change)
        };
        self.report_limits(&listed.into_iter().map(apply).collect::<Vec<_>>(), "gateway");
    }

    /// Logs changes of limits, and informs other gateways at once of those that matter.
    fn report_limits(&self, changes: &[(Endpoint, Change)], from: &str) {
        changes.iter().for_each(|(endpoint, change)| log(endpoint, *change, from));
        if changes.iter().any(|(_, change)| change.is_notable()) {
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
    /// Whether the gateways have known each other for a while, this one included.
    fn is_settled(&self, now: Duration) -> bool {
        now >= self.discovered_at + gossip::SETTLING
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
