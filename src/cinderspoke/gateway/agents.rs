//! The agents that report to this gateway, and the plan that each of them knows.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cinderspoke_core::gateway::name::Service;
use tokio::time::Instant;

/// The minimum time between two hints to an agent.
const HINT_INTERVAL: Duration = Duration::from_millis(150);

/// How long after its last report an agent is forgotten: hundreds of report intervals, so that
/// an agent behind a broken link is still known when the link recovers.
const EXPIRY: Duration = Duration::from_secs(120);

/// An agent that reports to this gateway.
#[derive(Debug)]
struct Agent {
    service: Service,
    plan: u64,
    reported: Instant,
    hinted: Option<Instant>,
}

/// All agents that report to this gateway.
#[derive(Debug, Default)]
pub struct Agents(Mutex<HashMap<SocketAddr, Agent>>);

impl Agents {
    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Agent>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the hash of the plan that an agent knows. Returns true if the agent is to be sent a
    /// hint now, since its service's plan has another hash.
    pub fn record_report(
        &self,
        from: SocketAddr,
        service: Service,
        plan: u64,
        current: u64,
    ) -> bool {
        let now = Instant::now();
        let mut agents = self.lock();
        let agent =
            agents.entry(from).or_insert(Agent { service, plan, reported: now, hinted: None });
        (agent.plan, agent.reported) = (plan, now);
        let may_hint = agent.hinted.is_none_or(|hinted| hinted + HINT_INTERVAL <= now);
        let hint = current != plan && may_hint;
        if hint {
            agent.hinted = Some(now);
        }
        hint
    }

    /// Returns the agents with an outdated plan and the hash of the current one, and records that
    /// they are sent a hint. Agents that no longer report are forgotten.
    pub fn outdated(&self, plan_of: impl Fn(&Service) -> u64) -> Vec<(SocketAddr, u64)> {
        let now = Instant::now();
        let mut hints = Vec::new();
        let mut agents = self.lock();
        agents.retain(|_, agent| agent.reported + EXPIRY > now);
        for (address, agent) in agents.iter_mut() {
            let plan = plan_of(&agent.service);
            if plan != agent.plan {
                agent.hinted = Some(now);
                hints.push((*address, plan));
            }
        }
        hints
    }
}
