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
use cinderspoke_core::gateway::directory::{Directory, Entry};
use cinderspoke_core::gateway::fact::{Fact, Revision};
use cinderspoke_core::gateway::name::Service;
use cinderspoke_schema::settings;
use http::StatusCode;
use serde::Deserialize;
use tokio::net::UdpSocket;
use tokio::time::{interval, sleep};
use tokio_util::sync::CancellationToken;

use super::agents::Agents;
use super::knowledge::Knowledge;
use super::message::{Datagram, Facts, Known, Peer, Plan, buffer, pack, receive, send};
use crate::util::http::{Call, Client};
use crate::util::settings::{inner_address, seed_addresses};
use crate::util::stop;

/// How often a gateway tells another one what it knows, news or not.
const GOSSIP: Duration = Duration::from_millis(500);

/// How long what a peer knows more is left to come from the store by itself.
const OWN_WORD: Duration = Duration::from_millis(60);

/// The same for the list of endpoints, of which the store's news gather a while.
const OWN_LIST: Duration = Duration::from_millis(500);

/// The least time between two rounds of telling news to all.
const PUSH_PAUSE: Duration = Duration::from_millis(100);

/// How long a peer may take to tell what it knows.
const FETCH_TIMEOUT: Duration = Duration::from_millis(1200);

/// How many gateways a digest names at most.
const NAMED_GATEWAYS: usize = 24;

/// Tells other processes what this gateway knows, and learns from them.
pub struct Relay {
    own: SocketAddr,
    seeds: Vec<SocketAddr>,
    regions: HashMap<String, String>,
    knowledge: Arc<Knowledge>,
    client: Client,
    socket: UdpSocket,
    agents: Agents,
    fetching: AtomicBool,
    // The hash of each service's plan, and the number of the view that it is of.
    plan_hashes: Mutex<HashMap<Service, (u64, u64)>>,
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
        let seeds = seed_addresses(settings).into_iter().filter(|seed| *seed != own).collect();
        let regions = settings.regions.clone();
        let agents = Agents::default();
        let fetching = AtomicBool::new(false);
        let plan_hashes = Mutex::default();
        Self { own, seeds, regions, knowledge, client, socket, agents, fetching, plan_hashes }
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

    /// Takes in what other processes say.
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

    /// Learns from what another gateway knows, and tells it what it does not.
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
            tokio::spawn(Arc::clone(self).catch_up(from, known));
        }
        if behind {
            send(&self.socket, from, &self.digest()).await;
        }
    }

    /// Asks a gateway for what it knows more, unless that comes by itself.
    async fn catch_up(self: Arc<Self>, from: SocketAddr, known: Known) {
        sleep(OWN_WORD).await;
        if known.configuration <= self.knowledge.known().configuration {
            sleep(OWN_LIST).await;
        }
        if knows_more(&known, &self.knowledge.known())
            && let Err(error) = self.fetch(from).await
        {
            tracing::debug!(%from, error = format!("{error:#}"), "asking a gateway");
        }
        self.fetching.store(false, Ordering::Relaxed);
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

    /// Hints an agent at its service's plan if it does not know it.
    async fn on_agent(&self, from: SocketAddr, service: Service, plan: u64) {
        let wanted = self.plan_hash(&service);
        if self.agents.reported(from, service, plan, wanted) {
            self.hint(from, wanted).await;
        }
    }

    /// Tells an agent that there is a plan that it does not know.
    async fn hint(&self, agent: SocketAddr, plan: u64) {
        send(&self.socket, agent, &pack(&Datagram::Hint { from: self.own, plan })).await;
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
            sleep(PUSH_PAUSE).await;
        }
    }

    /// Hints every agent that does not know its service's plan.
    async fn hint_all(&self) {
        for (agent, plan) in self.agents.behind(|service| self.plan_hash(service)) {
            self.hint(agent, plan).await;
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

    /// The gateways that are known besides this one.
    fn others(&self) -> Vec<SocketAddr> {
        let mut others = self.knowledge.gateways();
        others.retain(|other| *other != self.own);
        others
    }

    /// What this gateway knows, as a datagram.
    fn digest(&self) -> Vec<u8> {
        let mut gateways = self.others();
        gateways.truncate(NAMED_GATEWAYS);
        pack(&Datagram::Digest { from: self.own, known: self.knowledge.known(), gateways })
    }

    /// The hash of a service's plan, made anew only when something is known anew:
    /// it is asked for with each report.
    fn plan_hash(&self, service: &Service) -> u64 {
        let number = self.knowledge.view().number;
        let mut hashes = self.plan_hashes.lock().unwrap_or_else(PoisonError::into_inner);
        match hashes.get(service) {
            Some((of, hash)) if *of == number => *hash,
            _ => {
                let hash = self.plan_of(service).hash();
                hashes.insert(service.clone(), (number, hash));
                hash
            }
        }
    }

    /// What agents of a service have to know.
    fn plan_of(&self, service: &Service) -> Plan {
        let view = self.knowledge.view();
        let directory = self.knowledge.directory();
        let catalog = view.catalog.as_ref();
        let engine = catalog.and_then(|catalog| catalog.backend(service)?.engine.as_ref());
        let models = engine.map(|engine| engine.models.iter().map(ToString::to_string).collect());
        let origins = catalog.map(|catalog| catalog.origins().collect());
        let mut gateways = self.others();
        gateways.push(self.own);
        gateways.sort();
        Plan {
            revision: directory.revision,
            rollout: view.rollout.clone(),
            models: models.unwrap_or_default(),
            origins: origins.unwrap_or_default(),
            peers: self.peers(&directory.value, service),
            gateways,
        }
    }

    /// The engines of a service, in the order of their addresses.
    fn peers(&self, directory: &Directory, service: &Service) -> Vec<Peer> {
        let entries = directory.entries.values().filter(|entry| entry.service == *service);
        let peer = |entry: &Entry| Peer {
            engine: entry.address,
            zone: entry.zone.to_string(),
            region: self.regions.get(entry.zone.as_str()).cloned().unwrap_or_default(),
        };
        let mut peers: Vec<_> = entries.map(peer).collect();
        peers.sort_by_key(|peer| peer.engine);
        peers
    }
}

/// Whether one knows something that the other does not.
fn knows_more(one: &Known, other: &Known) -> bool {
    one.configuration > other.configuration
        || (one.directory > other.directory && one.directory_hash != other.directory_hash)
}

/// What the asker of facts knows.
#[derive(Debug, Deserialize)]
struct Asked {
    configuration: u64,
}

/// Tells another gateway all that it may not know.
async fn facts(State(relay): State<Arc<Relay>>, Query(asked): Query<Asked>) -> Bytes {
    let knowledge = &relay.knowledge;
    let facts = Facts {
        configuration: knowledge.configuration_after(asked.configuration),
        rollout: knowledge.rollout(),
        directory: knowledge.directory(),
        gateways: relay.others(),
    };
    pack(&facts).into()
}

/// The service whose plan is asked for.
#[derive(Debug, Deserialize)]
struct Wanted {
    service: String,
}

/// Tells an agent its service's plan, once a configuration is known.
async fn plan(
    State(relay): State<Arc<Relay>>,
    Query(wanted): Query<Wanted>,
) -> Result<Bytes, StatusCode> {
    if relay.knowledge.view().catalog.is_none() {
        return Err(StatusCode::SERVICE_UNAVAILABLE);
    }
    Ok(pack(&relay.plan_of(&wanted.service.into())).into())
}
