//! The agents that report to this gateway, and which of them to hint at a plan.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cinderspoke_core::gateway::name::Service;
use tokio::time::Instant;

/// The least time between two hints to an agent.
const HINT_PAUSE: Duration = Duration::from_millis(150);

/// After how long without a report an agent is taken to be gone: as long as hundreds of
/// reports take, so that one behind a link that is down is there when it comes back.
const GONE: Duration = Duration::from_secs(120);

/// An agent that reports here.
#[derive(Debug)]
struct Agent {
    service: Service,
    plan: u64,
    reported: Instant,
    hinted: Option<Instant>,
}

/// All agents that have reported here.
#[derive(Debug, Default)]
pub struct Agents(Mutex<HashMap<SocketAddr, Agent>>);

impl Agents {
    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Agent>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes in which plan an agent knows; whether to hint it at the wanted one now.
    pub fn record_report(
        &self,
        from: SocketAddr,
        service: Service,
        plan: u64,
        wanted: u64,
    ) -> bool {
        let now = Instant::now();
        let mut agents = self.lock();
        let agent =
            agents.entry(from).or_insert(Agent { service, plan, reported: now, hinted: None });
        (agent.plan, agent.reported) = (plan, now);
        let rested = agent.hinted.is_none_or(|hinted| hinted + HINT_PAUSE <= now);
        let hint = wanted != plan && rested;
        if hint {
            agent.hinted = Some(now);
        }
        hint
    }

    /// The agents that do not know their service's plan, and that plan; they
    /// count as hinted. Those that are gone are forgotten.
    pub fn outdated(&self, plan_of: impl Fn(&Service) -> u64) -> Vec<(SocketAddr, u64)> {
        let now = Instant::now();
        let mut hints = Vec::new();
        let mut agents = self.lock();
        agents.retain(|_, agent| agent.reported + GONE > now);
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
