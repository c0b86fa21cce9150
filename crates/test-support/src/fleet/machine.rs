//! Machines of a fleet: entry instances and endpoints' instances.

use std::sync::Arc;

use anyhow::Result;
use cinderspoke::agent::{self, Agent};
use cinderspoke::endpoint::http::Endpoint;
use cinderspoke::entry::{self, Entry};
use cinderspoke::ports::http::{Platform as PlatformClient, Weights as WeightsClient};
use cinderspoke_core::transfer::Policy;
use cinderspoke_schema::control::Phase;
use cinderspoke_schema::settings;
use cinderspoke_types::digest::Digest;
use cinderspoke_types::size::Bytes;

use crate::engine::Engine;
use crate::node::{Ground, Machine, Node};
use crate::service::Service;

/// An entry instance, running or killed.
pub struct EntryMachine {
    /// Its settings; addresses stay the same after a restart.
    pub settings: settings::Entry,
    /// Its name and place on the network.
    pub machine: Machine,
    pub(super) ground: Ground,
    pub(super) running: Option<(Entry, Node)>,
}

impl EntryMachine {
    /// Starts it.
    ///
    /// # Errors
    ///
    /// When it cannot listen.
    pub async fn start(&mut self) -> Result<()> {
        let node = self.ground.node(&self.machine)?;
        let (settings, control, listens) = (self.settings.clone(), node.handle(), node.listens());
        let client = self.ground.client(&self.machine);
        let platform = Arc::new(PlatformClient::new(client.clone(), settings.platform));
        let entry = node.run(async move {
            let store = platform.clone();
            let parts = entry::Parts { store, live_list: platform, client, metrics: None, control };
            let mut entry = Entry::open(&settings, parts)?;
            if listens {
                entry.bind(&settings).await?;
            }
            Ok(entry)
        });
        let entry = entry.await?;
        let entry::Routers { callers, control, admin } = entry.routers().clone();
        node.mount(self.settings.callers, callers);
        node.mount(self.settings.control, control);
        node.mount(self.settings.admin, admin);
        self.running = Some((entry, node));
        Ok(())
    }

    /// Kills it.
    pub async fn kill(&mut self) {
        if let Some((_, node)) = self.running.take() {
            node.kill().await;
        }
    }

    /// Whether the running entry instance knows of weights that are verified, or further.
    #[must_use]
    pub fn knows_verified(&self, manifest: Digest) -> bool {
        let Some((entry, _)) = &self.running else { return false };
        let view = entry.handle().view();
        let replicas = view.members.iter().flat_map(|(member, _)| &member.replicas);
        replicas.into_iter().any(|replica| {
            let same = replica.weights.as_ref().is_some_and(|weights| weights.manifest == manifest);
            same && matches!(replica.phase, Phase::Verified | Phase::Loading | Phase::Live)
        })
    }

    /// Stops it in order.
    pub async fn stop(&mut self) {
        if let Some((entry, node)) = self.running.take() {
            // Fails only when the node is gone, which is what is wanted.
            let _ = node.handle().spawn(entry.stop()).await;
        }
    }
}

/// What stands beside an agent.
pub enum Beside {
    /// A model engine.
    Engine(Engine),
    /// A plain service.
    Service(Service),
}

/// An endpoint's instance: its agent, running or killed, and its endpoint.
pub struct AgentMachine {
    /// The agent's settings; addresses stay the same after a restart.
    pub settings: settings::Agent,
    /// The endpoint.
    pub beside: Beside,
    /// Its name and place on the network.
    pub machine: Machine,
    /// How the agent chooses chunks.
    pub policy: Policy,
    pub(super) ground: Ground,
    pub(super) running: Option<(Agent, Node)>,
}

impl AgentMachine {
    /// Starts the agent.
    ///
    /// # Errors
    ///
    /// When it cannot listen.
    pub async fn start(&mut self) -> Result<()> {
        let node = self.ground.node(&self.machine)?;
        let (settings, control, listens) = (self.settings.clone(), node.handle(), node.listens());
        let (client, policy) = (self.ground.client(&self.machine), self.policy);
        let agent = node.run(async move {
            let weights =
                WeightsClient::new(client.clone(), settings.weight_store, settings.origin);
            let weights = Arc::new(weights);
            let endpoint = Arc::new(Endpoint::new(client.clone(), settings.endpoint.address));
            let endpoint = match settings.endpoint.kind {
                settings::EndpointKind::Model => agent::Endpoint::Model(endpoint),
                settings::EndpointKind::Plain => agent::Endpoint::Plain(endpoint),
            };
            let (weight_store, origin) = (weights.clone(), weights);
            let metrics = None;
            let parts =
                agent::Parts { endpoint, weight_store, origin, policy, client, metrics, control };
            let mut agent = Agent::open(&settings, parts);
            if listens {
                agent.bind(&settings).await?;
            }
            Ok(agent)
        });
        let agent = agent.await?;
        let agent::Routers { main, admin } = agent.routers().clone();
        node.mount(self.settings.listen, main);
        node.mount(self.settings.admin, admin);
        self.running = Some((agent, node));
        Ok(())
    }

    /// Kills the agent.
    pub async fn kill(&mut self) {
        if let Some((_, node)) = self.running.take() {
            node.kill().await;
        }
    }

    /// Stops the agent in order.
    pub async fn stop(&mut self) {
        if let Some((agent, node)) = self.running.take() {
            // Fails only when the node is gone, which is what is wanted.
            let _ = node.handle().spawn(agent.stop()).await;
        }
    }

    /// The bytes of weights that the running agent has drawn and given.
    #[must_use]
    pub fn carried(&self) -> Bytes {
        self.running.as_ref().map(|(agent, _)| agent.carried()).unwrap_or_default()
    }

    /// How many chunks of a version the running agent holds, and how many there are.
    #[must_use]
    pub fn progress(&self, manifest: Digest) -> Option<(usize, usize)> {
        self.running.as_ref().and_then(|(agent, _)| agent.progress(manifest))
    }

    /// Whether the agent runs.
    #[must_use]
    pub fn is_running(&self) -> bool {
        self.running.is_some()
    }

    /// The engine, where one stands beside the agent.
    #[must_use]
    pub fn engine(&self) -> Option<&Engine> {
        match &self.beside {
            Beside::Engine(engine) => Some(engine),
            Beside::Service(_) => None,
        }
    }

    /// The engine, to be killed or started.
    pub fn engine_mut(&mut self) -> Option<&mut Engine> {
        match &mut self.beside {
            Beside::Engine(engine) => Some(engine),
            Beside::Service(_) => None,
        }
    }

    /// The plain service, where one stands beside the agent.
    #[must_use]
    pub fn service(&self) -> Option<&Service> {
        match &self.beside {
            Beside::Engine(_) => None,
            Beside::Service(service) => Some(service),
        }
    }
}
