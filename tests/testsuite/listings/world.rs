//! Agents of one service beside engines in memory, and what the engines take and serve.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cinderspoke::gateway::message::{Peer, Plan};
use cinderspoke::staging::{Agent, Parts};
use cinderspoke_core::gateway::catalog::Origin as Declared;
use cinderspoke_core::gateway::listing::Layout;
use cinderspoke_core::gateway::rollout::{Rollout, Version};
use cinderspoke_ports::client::Client;
use cinderspoke_test_support::address::{self, shared_port};
use futures::future::join_all;
use tokio::time::{Instant, sleep};

use super::origin::SpoilingOrigin;
use crate::changeovers::engine::{CHUNK_BYTES, CHUNKS, Held, LAYERS, ModelEngine, Trouble};
use crate::staging::{model, settings};

/// How often engines are looked at.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The number of agents, and of availability zones.
const AGENTS: usize = 6;
const ZONES: [&str; 3] = ["a", "b", "c"];

/// Agents, each beside an engine.
pub(super) struct World {
    pub(super) origin: SpoilingOrigin,
    addresses: Vec<SocketAddr>,
    seed: SocketAddr,
    engines: Vec<ModelEngine>,
    agents: Vec<Agent>,
    // What the configuration declares of the weights.
    pub(super) layout: Option<Layout>,
}

/// What came of a rollout.
#[derive(Debug, Default)]
pub(super) struct Outcome {
    /// What engines took that was not whole.
    pub(super) wrong: Vec<Held>,
    /// Weights that were not whole, or lacked layers, while their engine was open.
    pub(super) served: Option<Held>,
    /// How long after the version was named all engines ran it whole and were open; none if they
    /// did not in time.
    pub(super) took: Option<Duration>,
    /// The number of looks that found an engine closed.
    pub(super) closed: usize,
}

impl World {
    /// Starts agents beside engines that run version 1.
    pub(super) async fn start() -> Self {
        let engines = (0..AGENTS).map(|_| ModelEngine::new(Trouble::default())).collect();
        Self::with_engines(engines).await
    }

    /// Starts agents beside engines.
    pub(super) async fn with_engines(engines: Vec<ModelEngine>) -> Self {
        let addresses = engines.iter().map(|_| address::free().unwrap()).collect();
        let seed = SocketAddr::new(address::free().unwrap().ip(), shared_port());
        let (origin, agents) = (SpoilingOrigin::default(), Vec::new());
        let layout = Layout::new(CHUNKS as u32, CHUNK_BYTES as u32);
        let mut world = Self { origin, addresses, seed, engines, agents, layout };
        world.start_agents().await;
        world
    }

    /// Engines that say that they run a version, with chunks of these versions.
    pub(super) fn engines_with_chunks_of(
        runs: Version,
        of: impl Fn(usize) -> Version + Copy,
    ) -> Vec<ModelEngine> {
        let engine = |_| ModelEngine::with_chunks_of(Trouble::default(), runs, of);
        (0..AGENTS).map(engine).collect()
    }

    /// Ends all agents and starts others in their place.
    pub(super) async fn restart(&mut self) {
        self.agents.clear();
        self.start_agents().await;
    }

    async fn start_agents(&mut self) {
        let starting = self.engines.iter().zip(&self.addresses).enumerate();
        let starting = starting.map(|(number, (engine, address))| {
            let origin = self.origin.clone();
            let parts = Parts {
                engine: Arc::new(engine.clone()),
                open_origin: Arc::new(move |_| Arc::new(origin.clone())),
                client: Client::new(),
                metrics: None,
            };
            let settings = settings(*address, ZONES[number % ZONES.len()], self.seed);
            async move {
                loop {
                    // The address is in use until the tasks of the agent before have ended.
                    match Agent::bind(&settings, parts_of(&parts)).await {
                        Ok(agent) => return agent,
                        Err(_) => sleep(POLL_INTERVAL).await,
                    }
                }
            }
        });
        self.agents = join_all(starting).await;
    }

    /// Names a version, as plans of a service do.
    pub(super) fn name(&self, version: Version) {
        let mut rollout = Rollout::default();
        rollout.advance(model(), version);
        let peer = |(number, engine): (usize, &SocketAddr)| Peer {
            engine: *engine,
            zone: ZONES[number % ZONES.len()].into(),
            region: "r".into(),
        };
        let plan = Plan {
            rollout,
            models: vec!["m".into()],
            origins: vec![Declared { address: self.addresses[0], rate: 1e9 }],
            peers: self.addresses.iter().enumerate().map(peer).collect(),
            layout: self.layout,
            ..Plan::default()
        };
        self.agents.iter().for_each(|agent| agent.plans().merge(plan.clone()));
    }

    /// Names a version and looks at the engines until all run it whole, or for `limit`.
    pub(super) async fn roll_out(&self, version: Version, limit: Duration) -> Outcome {
        let (named, mut outcome) = (Instant::now(), Outcome::default());
        self.name(version);
        while named.elapsed() < limit && outcome.took.is_none() {
            outcome.took = self.look(&mut outcome, version).then(|| named.elapsed());
            sleep(POLL_INTERVAL).await;
        }
        outcome.wrong = self.taken_wrong();
        outcome
    }

    /// What engines took that was not whole.
    fn taken_wrong(&self) -> Vec<Held> {
        let taken = self.engines.iter().flat_map(ModelEngine::taken);
        taken.filter(|taken| !taken.wrong.is_empty()).collect()
    }

    /// How many orders engines have taken.
    pub(super) fn loads(&self) -> usize {
        self.engines.iter().map(|engine| engine.taken().len()).sum()
    }

    /// Looks at all engines; returns whether all run the version whole and are open.
    pub(super) fn look(&self, outcome: &mut Outcome, version: Version) -> bool {
        let mut all_run = true;
        for (engine, agent) in self.engines.iter().zip(&self.agents) {
            let is_open = agent.accepts_requests();
            outcome.closed += usize::from(!is_open);
            let running = engine.running().filter(|_| is_open);
            let Some(running) = running else {
                all_run = false;
                continue;
            };
            let is_whole = running.wrong.is_empty() && running.layers == (0..LAYERS);
            all_run &= is_whole && running.version == version;
            if !is_whole {
                outcome.served.get_or_insert(running);
            }
        }
        all_run
    }
}

/// Copies the dependencies of an agent.
fn parts_of(parts: &Parts) -> Parts {
    Parts {
        engine: Arc::clone(&parts.engine),
        open_origin: Arc::clone(&parts.open_origin),
        client: parts.client.clone(),
        metrics: None,
    }
}
