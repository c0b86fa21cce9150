//! What processes of the system tell each other.
//!
//! Gateways say in datagrams what they know, at once when there is news and
//! from time to time to one of the others, so that a lost datagram is made
//! good. Whoever knows less fetches the [`facts`] over HTTP. Agents report what their
//! engines are busy with, and are hinted at plans that they do not know.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use axum::Router;
use axum::extract::{Query, State};
use axum::routing::get;
use bytes::Bytes;
use cinderspoke_core::gateway::gossip;
use cinderspoke_core::gateway::name::{Region, Service};
use cinderspoke_core::gateway::region::{self, Role};
use cinderspoke_core::gateway::subset;
use cinderspoke_schema::settings;
use http::StatusCode;
use metrics::gauge;
use serde::Deserialize;
use tokio::net::UdpSocket;
use tokio::time::{Instant, interval, sleep};
use tokio_util::sync::CancellationToken;

use super::agents::Agents;
use super::facts::{self, Awaited, knows_more};
use super::message::{Datagram, GatewayInfo, Summary, buffer, pack, receive, send};
use super::outstanding;
use super::plan::Planner;
use super::state;
use crate::util::http::Client;
use crate::util::metrics::CONFIGURATION_BEHIND;
use crate::util::settings::inner_address;
use crate::util::stop;

/// How long after a round of telling news to all the next one may begin.
const PUSH_PAUSE: Duration = Duration::from_millis(100);

/// How often it is looked whether this gateway still is to read the configuration.
const LOOK_AT_ROLE: Duration = Duration::from_millis(100);

/// How often seeds are told of this gateway until one of them answers: they may start later.
const GREETING: Duration = Duration::from_millis(100);

/// How many gateways a digest names at most, sampled anew each time.
const NAMED_GATEWAYS: usize = 8;

/// Tells other processes what this gateway knows, and learns from them.
pub struct Relay {
    own: SocketAddr,
    region: Region,
    pub(super) state: Arc<state::State>,
    pub(super) client: Client,
    socket: Arc<UdpSocket>,
    agents: Agents,
    planner: Planner,
    // Whether a newer configuration, or a newer list, is waited for or fetched.
    pub(super) awaiting_configuration: AtomicBool,
    pub(super) awaited_list: Mutex<Option<Awaited>>,
}

impl Relay {
    /// A relay that receives on a socket.
    #[must_use]
    pub fn new(
        settings: &settings::Node,
        state: Arc<state::State>,
        client: Client,
        socket: UdpSocket,
    ) -> Self {
        let own = inner_address(settings);
        let planner = Planner::new(Arc::clone(&state));
        let (agents, socket) = (Agents::default(), Arc::new(socket));
        state.queries().attach(own, Arc::clone(&socket));
        Self {
            own,
            region: settings.region.as_str().into(),
            state,
            client,
            socket,
            agents,
            planner,
            awaiting_configuration: AtomicBool::default(),
            awaited_list: Mutex::default(),
        }
    }

    /// What other processes may ask.
    pub fn app(self: &Arc<Self>) -> Router {
        Router::new()
            .route("/v1/facts", get(facts::tell))
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
        spawn(Box::pin(Arc::clone(self).tell_region()));
        spawn(Box::pin(Arc::clone(self).tell_outstanding()));
        spawn(Box::pin(Arc::clone(self).subscribe()));
    }

    /// Takes in what other processes say.
    async fn receive(self: Arc<Self>) {
        let mut buffer = buffer();
        loop {
            match receive(&self.socket, &mut buffer).await {
                Datagram::Digest { from, summary: known, gateways } => {
                    self.on_digest(from, known, gateways).await;
                }
                Datagram::Report {
                    from,
                    engine,
                    service,
                    report,
                    plan_hash: plan,
                    sent_at: told,
                    echo,
                    ages,
                    query: answers,
                } => {
                    let endpoint = (service.clone(), engine);
                    self.state.record_report(endpoint, from, report, told, answers.is_some());
                    if let Some(number) = answers {
                        self.state.queries().record_answer(number);
                        continue;
                    }
                    self.state.merge_ages(&ages, "agent");
                    if echo {
                        let echo = Datagram::Echo { from: self.own, report_sent_at: told };
                        send(&self.socket, from, &pack(&echo)).await;
                    }
                    self.on_agent(from, service, plan).await;
                }
                // Meant for agents only.
                Datagram::Hint { .. }
                | Datagram::Echo { .. }
                | Datagram::Outstanding { .. }
                | Datagram::Subscribe { .. }
                | Datagram::Query { .. } => {}
            }
        }
    }

    /// Learns from what another gateway knows, and tells it what it does not.
    async fn on_digest(
        self: &Arc<Self>,
        from: SocketAddr,
        known: Summary,
        others: Vec<GatewayInfo>,
    ) {
        if from == self.own {
            return;
        }
        self.state.observe_gateway(from, true);
        let is_stranger = self.state.observe_summary(from, &known);
        self.meet(others).await;
        let own = self.state.summary();
        self.state.merge_versions(&known.ages, known.rollout_revision);
        self.state.merge_suspects(&known.suspects);
        self.state.merge_drains(&known.draining);
        self.state.merge_store_answers(&known.store_answers);
        if let Some(emptied) = known.evacuated.clone() {
            self.state.apply_evacuations(emptied, "gateway");
        }
        let is_behind = knows_more(&own, &known);
        if known.configuration > own.configuration {
            self.fetch_configuration();
        } else if knows_more(&known, &own) {
            self.fetch_list(from, &known);
        }
        if is_behind || is_stranger {
            send(&self.socket, from, &self.digest_for(&known.announcement.region)).await;
        }
    }

    /// Adds gateways that another one names, and greets those that are new and may be of
    /// this region, so that each knows of the other.
    pub(super) async fn meet(&self, gateways: Vec<GatewayInfo>) {
        for gateway in gateways.into_iter().filter(|gateway| gateway.address != self.own) {
            if self.state.discover_gateway(gateway) {
                send(&self.socket, gateway.address, &self.digest()).await;
            }
        }
    }

    /// Hints an agent at its service's plan if it does not know it.
    async fn on_agent(&self, from: SocketAddr, service: Service, plan: u64) {
        let wanted = self.planner.hash(&service);
        if self.agents.record_report(from, service, plan, wanted) {
            self.hint(from, wanted).await;
        }
    }

    /// Tells an agent that there is a plan that it does not know.
    async fn hint(&self, agent: SocketAddr, plan: u64) {
        let hint = Datagram::Hint { from: self.own, region: self.region.clone(), plan_hash: plan };
        send(&self.socket, agent, &pack(&hint)).await;
    }

    /// Tells some gateways of news at once; they tell others.
    async fn push(self: Arc<Self>) {
        let mut changes = self.state.subscribe();
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

    /// The gateways that this one tells of news, sampled anew each time: some of its own region,
    /// and some of all where it reads from the platform or hears of no such gateway nearby.
    /// Others leave that to those who read: of news, as many copies cross the links between
    /// regions as there are regions, and not as there are gateways.
    fn told_of_news(&self) -> BTreeSet<SocketAddr> {
        let sample = |gateways: Vec<SocketAddr>| {
            let told = gossip::fanout(gateways.len());
            let sampled = rand::seq::index::sample(&mut rand::rng(), gateways.len(), told);
            sampled.into_iter().map(move |number| gateways[number])
        };
        let neighbours = sample(self.state.neighbours());
        if self.state.gossips_across_regions() {
            sample(self.others()).chain(neighbours).collect()
        } else {
            neighbours.collect()
        }
    }

    /// Hints every agent that does not know its service's plan.
    async fn hint_all(&self) {
        for (agent, plan) in self.agents.outdated(|service| self.planner.hash(service)) {
            self.hint(agent, plan).await;
        }
    }

    /// Tells the whole region what this gateway knows while it reads the configuration, and
    /// when it begins or ceases to, so that another one takes over where it ends.
    async fn tell_region(self: Arc<Self>) {
        let mut role = Role::Follower;
        let mut told = Instant::now();
        loop {
            sleep(LOOK_AT_ROLE).await;
            let before = std::mem::replace(&mut role, self.state.role());
            if role != before {
                let behind_ms = self.state.configuration_behind().as_millis() as u64;
                match role {
                    Role::Reader => tracing::info!(behind_ms, "configuration is read from the store here"),
                    Role::Follower => tracing::info!(behind_ms, "configuration is received from other gateways"),
                }
            }
            if role == before
                && (role == Role::Follower || told.elapsed() < region::BEACON_INTERVAL)
            {
                continue;
            }
            told = Instant::now();
            let digest = self.digest();
            for neighbour in self.state.neighbours() {
                send(&self.socket, neighbour, &digest).await;
            }
        }
    }

    /// Tells one gateway after the other, in a random order.
    async fn gossip(self: Arc<Self>) {
        loop {
            let others = self.others();
            let targets = match others.len() {
                0 => self.state.options().seeds.clone(),
                count => vec![others[rand::random_range(0..count)]],
            };
            let behind = self.state.configuration_behind();
            gauge!(CONFIGURATION_BEHIND).set(behind.as_secs_f64());
            let digest = self.digest();
            for target in targets {
                send(&self.socket, target, &digest).await;
            }
            sleep(if others.is_empty() { GREETING } else { gossip::PERIOD }).await;
        }
    }

    /// Tells agents what this gateway has outstanding at their engines.
    async fn tell_outstanding(self: Arc<Self>) {
        outstanding::publish(&self.state, &self.socket, self.own).await;
    }

    /// Has the agents of some engines report here.
    async fn subscribe(self: Arc<Self>) {
        let subscribe = pack(&Datagram::Subscribe { from: self.own });
        let mut ticks = interval(subset::RENEWAL_INTERVAL);
        loop {
            ticks.tick().await;
            for engine in self.state.subset() {
                let agent = SocketAddr::new(engine.ip(), self.own.port());
                send(&self.socket, agent, &subscribe).await;
            }
        }
    }

    /// The gateways that are known besides this one.
    pub(super) fn others(&self) -> Vec<SocketAddr> {
        let mut others = self.state.gateways();
        others.retain(|other| *other != self.own);
        others
    }

    /// What this gateway knows, for one of a region: those that are named are of the same one,
    /// if any are known, so that one that starts soon knows who reads there.
    fn digest_for(&self, region: &Region) -> Vec<u8> {
        match self.state.gateways_in(region) {
            near if near.is_empty() => self.digest(),
            near => self.digest_naming(near),
        }
    }

    /// What this gateway knows, as a datagram.
    fn digest(&self) -> Vec<u8> {
        self.digest_naming(self.others())
    }

    fn digest_naming(&self, others: Vec<SocketAddr>) -> Vec<u8> {
        let count = others.len().min(NAMED_GATEWAYS);
        let sampled = rand::seq::index::sample(&mut rand::rng(), others.len(), count);
        let gateways = self.state.gateway_infos(sampled.into_iter().map(|number| others[number]));
        pack(&Datagram::Digest { from: self.own, summary: self.state.summary(), gateways })
    }
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
    if relay.state.view().catalog.is_none() {
        return Err(StatusCode::SERVICE_UNAVAILABLE);
    }
    Ok(pack(&relay.planner.plan(&wanted.service.into())).into())
}
