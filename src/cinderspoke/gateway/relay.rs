//! What processes of the system tell each other.
//!
//! Gateways say in datagrams what they know, at once when there is news and
//! from time to time to one of the others, so that a lost datagram is made
//! good. Whoever knows less fetches it over HTTP. Agents report what their
//! engines are busy with, and learn from gateways which weights are wanted.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use anyhow::{Context, Result};
use axum::Router;
use axum::extract::{Query, State};
use axum::routing::get;
use bytes::Bytes;
use cinderspoke_core::gateway::catalog::{Declared, Origin};
use cinderspoke_core::gateway::directory::{self, Directory};
use cinderspoke_core::gateway::fact::{Fact, Revision};
use cinderspoke_core::gateway::load::Report;
use cinderspoke_core::gateway::name::Service;
use cinderspoke_core::gateway::rollout::Rollout;
use cinderspoke_core::rendezvous::Key;
use cinderspoke_schema::settings;
use http::StatusCode;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use tokio::time::{Instant, interval, sleep};
use tokio_util::sync::CancellationToken;

use super::knowledge::Knowledge;
use crate::util::http::{Call, Client};
use crate::util::settings::inner_address;
use crate::util::stop;

/// How often a gateway tells another one what it knows, news or not.
const GOSSIP: Duration = Duration::from_millis(500);

/// How long what a peer knows more is left to come from the store by itself.
const OWN_WORD: Duration = Duration::from_millis(60);

/// The least time between two hints to an agent.
const HINT_PAUSE: Duration = Duration::from_millis(150);

/// How long a peer may take to tell what it knows.
const FETCH_TIMEOUT: Duration = Duration::from_millis(1200);

/// The largest datagram: what fits into a link's packet several times over.
const MAX_DATAGRAM: usize = 16 << 10;

/// How many gateways a digest names at most.
const NAMED_GATEWAYS: usize = 24;

/// What a process knows, in a few words.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Known {
    /// The version of the configuration in force.
    pub configuration: u64,
    /// The versions that models are to have.
    pub rollout: Rollout,
    /// The revision of the list of endpoints.
    pub directory: Revision,
    /// Tells lists of endpoints apart.
    pub directory_hash: u64,
}

/// What goes between processes without an answer.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Datagram {
    /// A gateway says what it knows.
    Digest {
        /// Where it can be asked for more.
        from: SocketAddr,
        /// What it knows.
        known: Known,
        /// Other gateways that it knows of.
        gateways: Vec<SocketAddr>,
    },
    /// An agent says what its engine is busy with.
    Report {
        /// The agent.
        from: SocketAddr,
        /// Where the engine answers.
        engine: SocketAddr,
        /// The engine's service.
        service: Service,
        /// What it is busy with.
        report: Report,
        /// The plan that the agent knows.
        plan: u64,
        /// The agent's own time, which tells how long the report was on its way.
        told: Duration,
        /// Whether the agent asks for an echo.
        echo: bool,
    },
    /// A gateway answers a report, so that the agent knows that it is reached.
    Echo {
        /// Who answers.
        from: SocketAddr,
        /// The time that the report told.
        told: Duration,
    },
    /// A gateway says that there is a plan that an agent may not know.
    Hint {
        /// Where it can be read.
        from: SocketAddr,
        /// Tells plans apart.
        plan: u64,
    },
}

/// All that a gateway can tell another.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Facts {
    /// The configuration, if it is newer than the asker's.
    pub configuration: Option<Fact<Declared>>,
    /// The versions that models are to have.
    pub rollout: Fact<Rollout>,
    /// The endpoints.
    pub directory: Fact<Directory>,
    /// Other gateways.
    pub gateways: Vec<SocketAddr>,
}

/// An engine of a service, as agents see it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Peer {
    /// Where the engine answers; its agent is on the same instance.
    pub engine: SocketAddr,
    /// Its availability zone.
    pub zone: String,
    /// The region of its availability zone.
    pub region: String,
}

/// What agents have to know of their service.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// When it held.
    pub revision: Revision,
    /// The versions that models are to have.
    pub rollout: Rollout,
    /// The models of the service.
    pub models: Vec<String>,
    /// Where weights come from at first.
    pub origins: Vec<Origin>,
    /// The engines of the service.
    pub peers: Vec<Peer>,
    /// The gateways.
    pub gateways: Vec<SocketAddr>,
}

impl Plan {
    /// Tells plans apart, whenever they held.
    #[must_use]
    pub fn hash(&self) -> u64 {
        let Self { rollout, models, origins, peers, gateways, .. } = self;
        Key::of(&format!("{rollout:?}{models:?}{origins:?}{peers:?}{gateways:?}")).as_u64()
    }
}

/// Packs a message.
pub fn pack<T: Serialize>(message: &T) -> Vec<u8> {
    postcard::to_stdvec(message).unwrap_or_else(|error| {
        // Only a map or sequence of unknown length fails, and there is none.
        tracing::error!(%error, "a message could not be packed");
        Vec::new()
    })
}

/// Sends a datagram; a lost one is made good by the next.
pub async fn send(socket: &UdpSocket, to: SocketAddr, bytes: &[u8]) {
    if let Err(error) = socket.send_to(bytes, to).await {
        tracing::debug!(%to, %error, "a datagram was not sent");
    }
}

/// Receives the next datagram that can be read.
pub async fn receive(socket: &UdpSocket, buffer: &mut [u8]) -> Datagram {
    loop {
        let received = match socket.recv_from(buffer).await {
            Ok((length, _)) => postcard::from_bytes(&buffer[..length]),
            Err(error) => {
                tracing::debug!(%error, "receiving a datagram");
                sleep(Duration::from_millis(5)).await;
                continue;
            }
        };
        match received {
            Ok(datagram) => return datagram,
            Err(error) => tracing::debug!(%error, "a datagram cannot be read"),
        }
    }
}

/// A buffer for datagrams.
#[must_use]
pub fn buffer() -> Vec<u8> {
    vec![0; MAX_DATAGRAM]
}

/// An agent that reports here.
#[derive(Debug)]
struct Agent {
    service: Service,
    plan: u64,
    hinted: Option<Instant>,
}

/// Tells other processes what this gateway knows, and learns from them.
pub struct Relay {
    own: SocketAddr,
    seeds: Vec<SocketAddr>,
    regions: HashMap<String, String>,
    knowledge: Arc<Knowledge>,
    client: Client,
    socket: UdpSocket,
    agents: Mutex<HashMap<SocketAddr, Agent>>,
    fetching: AtomicBool,
}

impl Relay {
    /// A relay that receives on a socket.
    #[must_use]
    pub fn new(
        settings: &settings::Node,
        knowledge: Arc<Knowledge>,
        client: Client,
        socket: UdpSocket,
    ) -> Self {
        let own = inner_address(settings);
        let seeds = inner_addresses(settings).into_iter().filter(|seed| *seed != own).collect();
        let regions = settings.regions.clone();
        let agents = Mutex::default();
        let fetching = AtomicBool::new(false);
        Self { own, seeds, regions, knowledge, client, socket, agents, fetching }
    }

    /// What other processes may ask.
    pub fn app(self: &Arc<Self>) -> Router {
        Router::new()
            .route("/v1/facts", get(facts))
            .route("/v1/plan", get(plan))
            .with_state(Arc::clone(self))
    }

    /// Starts telling and learning.
    pub fn spawn(self: &Arc<Self>, token: CancellationToken) {
        let spawn = |task: std::pin::Pin<Box<dyn Future<Output = ()> + Send>>| {
            tokio::spawn(stop::until(token.clone(), task));
        };
        spawn(Box::pin(Arc::clone(self).receive()));
        spawn(Box::pin(Arc::clone(self).push()));
        spawn(Box::pin(Arc::clone(self).gossip()));
    }

    async fn receive(self: Arc<Self>) {
        let mut buffer = buffer();
        loop {
            match receive(&self.socket, &mut buffer).await {
                Datagram::Digest { from, known, gateways } => {
                    self.on_digest(from, known, gateways).await;
                }
                Datagram::Report { from, engine, service, report, plan, told, echo } => {
                    if echo {
                        let echo = Datagram::Echo { from: self.own, told };
                        send(&self.socket, from, &pack(&echo)).await;
                    }
                    self.knowledge.reported(engine, report, told);
                    self.on_agent(from, service, plan).await;
                }
                // Only agents are told of plans, and only their reports are answered.
                Datagram::Hint { .. } | Datagram::Echo { .. } => {}
            }
        }
    }

    async fn on_digest(self: &Arc<Self>, from: SocketAddr, known: Known, others: Vec<SocketAddr>) {
        if from == self.own {
            return;
        }
        self.knowledge.met(from, true);
        for other in others.into_iter().filter(|other| *other != self.own) {
            self.knowledge.met(other, false);
        }
        let own = self.knowledge.known();
        let named = Fact::new(Revision::default(), known.rollout.clone());
        self.knowledge.named(named, "gateway");
        let behind = knows_more(&own, &known);
        if knows_more(&known, &own) && !self.fetching.swap(true, Ordering::Relaxed) {
            let relay = Arc::clone(self);
            tokio::spawn(async move {
                sleep(OWN_WORD).await;
                if knows_more(&known, &relay.knowledge.known())
                    && let Err(error) = relay.fetch(from).await
                {
                    tracing::debug!(%from, error = format!("{error:#}"), "asking a gateway");
                }
                relay.fetching.store(false, Ordering::Relaxed);
            });
        }
        if behind {
            send(&self.socket, from, &self.digest()).await;
        }
    }

    /// Asks a gateway for what it knows more.
    async fn fetch(&self, from: SocketAddr) -> Result<()> {
        let known = self.knowledge.known();
        let path = format!("/v1/facts?configuration={}", known.configuration);
        let answer = self.client.fetch(Call::get(from, path).timeout(FETCH_TIMEOUT)).await?;
        let facts: Facts = postcard::from_bytes(&answer).context("reading facts")?;
        if let Some(configuration) = facts.configuration {
            self.knowledge.configured(configuration, "gateway");
        }
        self.knowledge.named(facts.rollout, "gateway");
        if facts.directory.revision > known.directory {
            self.knowledge.listed(facts.directory, "gateway");
        }
        for gateway in facts.gateways.into_iter().filter(|gateway| *gateway != self.own) {
            self.knowledge.met(gateway, false);
        }
        Ok(())
    }

    async fn on_agent(&self, from: SocketAddr, service: Service, plan: u64) {
        let now = Instant::now();
        let wanted = self.plan_of(&service).hash();
        let hint = {
            let mut agents = self.agents.lock().unwrap_or_else(PoisonError::into_inner);
            let agent = agents.entry(from).or_insert(Agent { service, plan, hinted: None });
            agent.plan = plan;
            let rested = agent.hinted.is_none_or(|hinted| hinted + HINT_PAUSE <= now);
            let hint = wanted != plan && rested;
            if hint {
                agent.hinted = Some(now);
            }
            hint
        };
        if hint {
            let datagram = Datagram::Hint { from: self.own, plan: wanted };
            send(&self.socket, from, &pack(&datagram)).await;
        }
    }

    /// Tells of news at once.
    async fn push(self: Arc<Self>) {
        let mut changes = self.knowledge.subscribe();
        loop {
            changes.changed().await;
            let digest = self.digest();
            for gateway in self.others() {
                send(&self.socket, gateway, &digest).await;
            }
            self.hint_all().await;
        }
    }

    async fn hint_all(&self) {
        let now = Instant::now();
        let hints: Vec<_> = {
            let mut agents = self.agents.lock().unwrap_or_else(PoisonError::into_inner);
            let mut hints = Vec::new();
            for (address, agent) in agents.iter_mut() {
                let plan = self.plan_of(&agent.service).hash();
                if plan != agent.plan {
                    agent.hinted = Some(now);
                    hints.push((*address, plan));
                }
            }
            hints
        };
        for (address, plan) in hints {
            send(&self.socket, address, &pack(&Datagram::Hint { from: self.own, plan })).await;
        }
    }

    /// Tells one gateway after the other, in a random order.
    async fn gossip(self: Arc<Self>) {
        let mut ticks = interval(GOSSIP);
        loop {
            ticks.tick().await;
            let others = self.others();
            let targets = match others.len() {
                0 => self.seeds.clone(),
                count => vec![others[rand::random_range(0..count)]],
            };
            let digest = self.digest();
            for target in targets {
                send(&self.socket, target, &digest).await;
            }
        }
    }

    fn others(&self) -> Vec<SocketAddr> {
        let mut others = self.knowledge.gateways();
        others.retain(|other| *other != self.own);
        others
    }

    fn digest(&self) -> Vec<u8> {
        let mut gateways = self.others();
        gateways.truncate(NAMED_GATEWAYS);
        pack(&Datagram::Digest { from: self.own, known: self.knowledge.known(), gateways })
    }

    /// What agents of a service have to know.
    fn plan_of(&self, service: &Service) -> Plan {
        let view = self.knowledge.view();
        let directory = self.knowledge.directory();
        let peers = directory.value.entries.values().filter(|entry| entry.service == *service);
        let peer = |entry: &directory::Entry| Peer {
            engine: entry.address,
            zone: entry.zone.to_string(),
            region: self.regions.get(entry.zone.as_str()).cloned().unwrap_or_default(),
        };
        let mut peers: Vec<_> = peers.map(peer).collect();
        peers.sort_by_key(|peer| peer.engine);
        let engine = view.catalog.as_ref().and_then(|catalog| {
            catalog.backend(service).and_then(|backend| backend.engine.clone())
        });
        let mut gateways = self.others();
        gateways.push(self.own);
        gateways.sort();
        Plan {
            revision: directory.revision,
            rollout: view.rollout.clone(),
            models: engine
                .map(|engine| engine.models.iter().map(ToString::to_string).collect())
                .unwrap_or_default(),
            origins: view
                .catalog
                .as_ref()
                .map_or(Vec::new(), |catalog| catalog.origins().collect()),
            peers,
            gateways,
        }
    }
}

/// Whether one knows something that the other does not.
fn knows_more(one: &Known, other: &Known) -> bool {
    one.configuration > other.configuration
        || (one.directory > other.directory && one.directory_hash != other.directory_hash)
}

/// Where the processes on the seeds' instances are reached by others of the system.
#[must_use]
pub fn inner_addresses(settings: &settings::Node) -> Vec<SocketAddr> {
    let port = settings.ports.first.get();
    settings.seeds.iter().map(|seed| SocketAddr::new(seed.ip(), port)).collect()
}

#[derive(Debug, Deserialize)]
struct Asked {
    configuration: u64,
}

async fn facts(State(relay): State<Arc<Relay>>, Query(asked): Query<Asked>) -> Bytes {
    let knowledge = &relay.knowledge;
    let (_, revision, _) = knowledge.revisions();
    let facts = Facts {
        configuration: knowledge.configuration_after(asked.configuration),
        rollout: Fact::new(revision, knowledge.view().rollout.clone()),
        directory: knowledge.directory(),
        gateways: relay.others(),
    };
    pack(&facts).into()
}

#[derive(Debug, Deserialize)]
struct Wanted {
    service: String,
}

async fn plan(
    State(relay): State<Arc<Relay>>,
    Query(wanted): Query<Wanted>,
) -> Result<Bytes, StatusCode> {
    if relay.knowledge.view().catalog.is_none() {
        return Err(StatusCode::SERVICE_UNAVAILABLE);
    }
    Ok(pack(&relay.plan_of(&wanted.service.into())).into())
}
