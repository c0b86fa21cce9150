//! What processes of the system tell each other.
//!
//! Gateways say in datagrams what they know, at once when there is news and
//! from time to time to one of the others, so that a lost datagram is made
//! good. Whoever knows less fetches it over HTTP. Agents report what their
//! engines are busy with, and are hinted at plans that they do not know.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use anyhow::{Context, Result};
use axum::Router;
use axum::extract::{Query, State};
use axum::routing::get;
use bytes::Bytes;
use cinderspoke_core::gateway::fact::Revision;
use cinderspoke_core::gateway::gossip;
use cinderspoke_core::gateway::name::Service;
use cinderspoke_schema::settings;
use http::StatusCode;
use metrics::gauge;
use serde::Deserialize;
use tokio::net::UdpSocket;
use tokio::time::{interval, sleep};
use tokio_util::sync::CancellationToken;

use super::agents::Agents;
use super::draw;
use super::knowledge::Knowledge;
use super::message::{Datagram, Facts, Known, buffer, pack, receive, send};
use super::outstanding;
use super::plan::Planner;
use crate::util::http::{Call, Client, Progress};
use crate::util::metrics::CONFIGURATION_BEHIND;
use crate::util::settings::inner_address;
use crate::util::stop;

/// How long the store's own word is waited for before another gateway is asked
/// for what it knows more.
const OWN_WORD: Duration = Duration::from_millis(60);

/// How much longer where only the list of endpoints is newer: the store's news of
/// endpoints gather a while.
const OWN_LIST: Duration = Duration::from_millis(500);

/// How long after a round of telling news to all the next one may begin.
const PUSH_PAUSE: Duration = Duration::from_millis(100);

/// How long another gateway may take to begin to tell what it knows, and pause in it: a
/// configuration with thousands of routes takes seconds over a link that weights share.
const FETCH_PAUSE: Duration = Duration::from_millis(1200);

/// How long it may take on the whole: another one may have a link that is clear.
const FETCH_TIMEOUT: Duration = Duration::from_secs(3);

/// How many gateways a digest names at most.
const NAMED_GATEWAYS: usize = 24;

/// Tells other processes what this gateway knows, and learns from them.
pub struct Relay {
    own: SocketAddr,
    knowledge: Arc<Knowledge>,
    client: Client,
    socket: UdpSocket,
    agents: Agents,
    planner: Planner,
    // Whether a newer configuration, or a newer list, is waited for or fetched.
    awaiting_configuration: Arc<AtomicBool>,
    awaiting_list: Arc<AtomicBool>,
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
        let planner = Planner::new(settings, Arc::clone(&knowledge));
        let agents = Agents::default();
        Self {
            own,
            knowledge,
            client,
            socket,
            agents,
            planner,
            awaiting_configuration: Arc::default(),
            awaiting_list: Arc::default(),
        }
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
        spawn(Box::pin(Arc::clone(self).tell_outstanding()));
    }

    /// Takes in what other processes say.
    async fn receive(self: Arc<Self>) {
        let mut buffer = buffer();
        loop {
            match receive(&self.socket, &mut buffer).await {
                Datagram::Digest { from, known, gateways } => {
                    self.on_digest(from, known, gateways).await;
                }
                Datagram::Report { from, engine, service, report, plan, told, echo, ages } => {
                    let endpoint = (service.clone(), engine);
                    self.knowledge.reported(endpoint, from, report, told);
                    self.knowledge.told_ages(&ages, "agent");
                    if echo {
                        let echo = Datagram::Echo { from: self.own, told };
                        send(&self.socket, from, &pack(&echo)).await;
                    }
                    self.on_agent(from, service, plan).await;
                }
                // Meant for agents only.
                Datagram::Hint { .. } | Datagram::Echo { .. } | Datagram::Outstanding { .. } => {}
            }
        }
    }

    /// Learns from what another gateway knows, and tells it what it does not.
    async fn on_digest(self: &Arc<Self>, from: SocketAddr, known: Known, others: Vec<SocketAddr>) {
        if from == self.own {
            return;
        }
        self.knowledge.met(from, true);
        self.meet(others);
        self.knowledge.heard_of_configuration(known.configuration, from);
        let own = self.knowledge.known();
        self.knowledge.told_ages(&known.ages, "gateway");
        self.knowledge.told_suspects(&known.suspects);
        self.knowledge.told_leaving(&known.leaving);
        self.knowledge.told_answers(&known.answers);
        let behind = knows_more(&own, &known);
        if known.configuration > own.configuration {
            self.catch_up(&self.awaiting_configuration, OWN_WORD, from, &known);
        } else if knows_more(&known, &own) {
            self.catch_up(&self.awaiting_list, OWN_LIST, from, &known);
        }
        if behind {
            send(&self.socket, from, &self.digest()).await;
        }
    }

    /// Asks a gateway for what it knows more, unless that comes by itself in time
    /// or is waited for already: a configuration never waits behind a list.
    fn catch_up(
        self: &Arc<Self>,
        awaiting: &Arc<AtomicBool>,
        wait: Duration,
        from: SocketAddr,
        known: &Known,
    ) {
        if awaiting.swap(true, Ordering::Relaxed) {
            return;
        }
        let (relay, awaiting, known) = (Arc::clone(self), Arc::clone(awaiting), known.clone());
        tokio::spawn(async move {
            sleep(wait).await;
            if knows_more(&known, &relay.knowledge.known()) {
                // The store's own word should be here by now.
                relay.knowledge.doubt();
                if let Err(error) = relay.fetch(from).await {
                    tracing::debug!(%from, error = format!("{error:#}"), "asking a gateway");
                }
            }
            awaiting.store(false, Ordering::Relaxed);
        });
    }

    /// Asks a gateway for what it knows more.
    async fn fetch(&self, from: SocketAddr) -> Result<()> {
        let known = self.knowledge.known();
        let path = format!(
            "/v1/facts?configuration={}&directory={}&directory_hash={}",
            known.configuration, known.directory.0, known.directory_hash,
        );
        let progress = Progress::default();
        let call = Call::get(from, path).alone().pause(FETCH_PAUSE).timeout(FETCH_TIMEOUT);
        let answer = self.client.fetch(call.progress(&progress)).await?;
        let facts: Facts = postcard::from_bytes(&answer).context("reading facts")?;
        if let Some(configuration) = facts.configuration {
            draw::came("gateway", &from.to_string(), configuration.value.version, &progress);
            self.knowledge.configured(configuration, "gateway");
        }
        if let Some(directory) = facts.directory.filter(|list| list.revision > known.directory) {
            self.knowledge.listed(directory, "gateway");
        }
        self.meet(facts.gateways);
        Ok(())
    }

    /// Takes in gateways that another one names.
    fn meet(&self, gateways: Vec<SocketAddr>) {
        for gateway in gateways.into_iter().filter(|gateway| *gateway != self.own) {
            self.knowledge.met(gateway, false);
        }
    }

    /// Hints an agent at its service's plan if it does not know it.
    async fn on_agent(&self, from: SocketAddr, service: Service, plan: u64) {
        let wanted = self.planner.hash(&service);
        if self.agents.reported(from, service, plan, wanted) {
            self.hint(from, wanted).await;
        }
    }

    /// Tells an agent that there is a plan that it does not know.
    async fn hint(&self, agent: SocketAddr, plan: u64) {
        send(&self.socket, agent, &pack(&Datagram::Hint { from: self.own, plan })).await;
    }

    /// Tells some gateways of news at once; they tell others.
    async fn push(self: Arc<Self>) {
        let mut changes = self.knowledge.subscribe();
        loop {
            changes.changed().await;
            let digest = self.digest();
            for gateway in self.told_of_news() {
                send(&self.socket, gateway, &digest).await;
            }
            self.hint_all().await;
            sleep(PUSH_PAUSE).await;
        }
    }

    /// The gateways that this one tells of news, drawn anew each time.
    fn told_of_news(&self) -> Vec<SocketAddr> {
        let others = self.others();
        let told = gossip::fanout(others.len());
        let drawn = rand::seq::index::sample(&mut rand::rng(), others.len(), told);
        drawn.iter().map(|number| others[number]).collect()
    }

    /// Hints every agent that does not know its service's plan.
    async fn hint_all(&self) {
        for (agent, plan) in self.agents.behind(|service| self.planner.hash(service)) {
            self.hint(agent, plan).await;
        }
    }

    /// Tells one gateway after the other, in a random order.
    async fn gossip(self: Arc<Self>) {
        let mut ticks = interval(gossip::PERIOD);
        loop {
            ticks.tick().await;
            let others = self.others();
            let targets = match others.len() {
                0 => self.knowledge.terms().seeds.clone(),
                count => vec![others[rand::random_range(0..count)]],
            };
            let behind = self.knowledge.configuration_behind();
            gauge!(CONFIGURATION_BEHIND).set(behind.as_secs_f64());
            let digest = self.digest();
            for target in targets {
                send(&self.socket, target, &digest).await;
            }
        }
    }

    /// Tells agents what this gateway has outstanding at their engines.
    async fn tell_outstanding(self: Arc<Self>) {
        outstanding::tell(&self.knowledge, &self.socket, self.own).await;
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
    directory: u64,
    directory_hash: u64,
}

/// Tells another gateway all that it may not know.
async fn facts(State(relay): State<Arc<Relay>>, Query(asked): Query<Asked>) -> Bytes {
    let knowledge = &relay.knowledge;
    let facts = Facts {
        configuration: knowledge.configuration_after(asked.configuration),
        directory: knowledge.directory_after(Revision(asked.directory), asked.directory_hash),
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
    Ok(pack(&relay.planner.plan(&wanted.service.into())).into())
}
