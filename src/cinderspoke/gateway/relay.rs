//! Exchanges state with other gateways and with agents.
//!
//! Gateways gossip: they send each other digests of their state as datagrams, immediately after
//! an update and periodically to a random gateway, so that lost datagrams are compensated. A
//! gateway that finds newer data in a digest fetches the [`facts`] over HTTP. Agents report the
//! load of their engines and are sent a hint when their plan is outdated.

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
use super::facts::{self, Awaited, has_newer};
use super::message::{
    Datagram, GatewayInfo, Summary, Supplement, buffer, pack, pack_digest, receive_with_supplement,
    send,
};
use super::outstanding;
use super::plan::Planner;
use super::returns;
use super::state;
use crate::util::http::Client;
use crate::util::metrics::CONFIGURATION_LAG;
use crate::util::settings::internal_address;
use crate::util::stop;

/// The pause between two rounds of sending updates.
const PUSH_INTERVAL: Duration = Duration::from_millis(100);

/// How often this gateway checks whether its role has changed.
const ROLE_POLL: Duration = Duration::from_millis(100);

/// How often digests are sent to the seeds until one of them answers: seeds may start later.
const SEED_INTERVAL: Duration = Duration::from_millis(100);

/// The maximum number of gateways named in a digest; a new random sample each time.
const MAX_NAMED_GATEWAYS: usize = 8;

/// Sends this gateway's state to other processes, and applies theirs.
pub struct Relay {
    own: SocketAddr,
    region: Region,
    pub(super) state: Arc<state::State>,
    pub(super) client: Client,
    socket: Arc<UdpSocket>,
    agents: Agents,
    planner: Planner,
    // Whether a newer configuration is being fetched, and the newer list that is awaited.
    pub(super) awaiting_configuration: AtomicBool,
    pub(super) awaited_list: Mutex<Option<Awaited>>,
}

impl Relay {
    /// Creates a relay that sends and receives on a socket.
    #[must_use]
    pub fn new(
        settings: &settings::Node,
        state: Arc<state::State>,
        client: Client,
        socket: UdpSocket,
    ) -> Self {
        let own = internal_address(settings);
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

    /// The HTTP routes for other processes.
    pub fn app(self: &Arc<Self>) -> Router {
        Router::new()
            .route("/v1/facts", get(facts::serve))
            .route("/v1/plan", get(plan))
            .with_state(Arc::clone(self))
    }

    /// Starts the tasks of the exchange.
    pub fn spawn(self: &Arc<Self>, token: CancellationToken) {
        let spawn = |task: std::pin::Pin<Box<dyn Future<Output = ()> + Send>>| {
            tokio::spawn(stop::until(token.clone(), task));
        };
        spawn(Box::pin(Arc::clone(self).receive()));
        spawn(Box::pin(Arc::clone(self).push()));
        spawn(Box::pin(Arc::clone(self).gossip()));
        spawn(Box::pin(Arc::clone(self).push_to_region()));
        spawn(Box::pin(Arc::clone(self).push_outstanding()));
        spawn(Box::pin(Arc::clone(self).push_returns()));
        spawn(Box::pin(Arc::clone(self).subscribe()));
    }

    /// Handles the datagrams of other processes.
    async fn receive(self: Arc<Self>) {
        let mut buffer = buffer();
        loop {
            let (datagram, supplement) = receive_with_supplement(&self.socket, &mut buffer).await;
            match datagram {
                Datagram::Digest { from, summary, gateways } => {
                    self.on_digest(from, summary, gateways, supplement).await;
                }
                Datagram::Report {
                    from,
                    engine,
                    service,
                    report,
                    plan_hash: plan,
                    sent_at,
                    echo,
                    ages,
                    query,
                } => {
                    let endpoint = (service.clone(), engine);
                    self.state.record_report(endpoint, from, report, sent_at, query.is_some());
                    if let Some(number) = query {
                        self.state.queries().record_answer(number);
                        continue;
                    }
                    self.state.merge_ages(&ages, "agent");
                    if echo {
                        let echo = Datagram::Echo { from: self.own, report_sent_at: sent_at };
                        send(&self.socket, from, &pack(&echo)).await;
                    }
                    self.on_agent(from, service, plan).await;
                }
                Datagram::Returns { from, updates } => {
                    if from != self.own && self.state.options().recognizes_returns {
                        self.state.returns().merge(&updates, self.state.clock().now());
                    }
                }
                // Sent to agents only.
                Datagram::Hint { .. }
                | Datagram::Echo { .. }
                | Datagram::Outstanding { .. }
                | Datagram::Subscribe { .. }
                | Datagram::Query { .. } => {}
            }
        }
    }

    /// Applies another gateway's digest, fetches newer data from it, and answers with a digest if
    /// the other gateway is behind or new.
    async fn on_digest(
        self: &Arc<Self>,
        from: SocketAddr,
        summary: Summary,
        others: Vec<GatewayInfo>,
        supplement: Supplement,
    ) {
        if from == self.own {
            return;
        }
        self.state.observe_gateway(from, true);
        self.state.observe_summary_era(&summary);
        let is_stranger = self.state.observe_summary(from, &summary);
        self.discover(others).await;
        let own = self.state.summary();
        self.state.merge_versions(&summary.ages, summary.rollout_revision);
        self.state.merge_suspects(&summary.suspects, &supplement.parts);
        self.state.merge_drains(&summary.draining);
        self.state.merge_limits(&supplement.limits);
        self.state.merge_demands(&supplement.demands);
        self.state.merge_gone(&supplement.gone);
        self.state.merge_held_zones(supplement.zones);
        self.state.merge_store_answers(&summary.store_answers);
        if let Some(evacuated) = summary.evacuated.clone() {
            self.state.apply_evacuations(evacuated, "gateway");
        }
        let is_behind = has_newer(&own, &summary);
        if summary.configuration > own.configuration {
            self.fetch_configuration();
        } else if has_newer(&summary, &own) {
            self.fetch_list(from, &summary);
        }
        if is_behind || is_stranger {
            send(&self.socket, from, &self.digest_for(&summary.announcement.region)).await;
        }
    }

    /// Adds gateways that another one named, and sends a digest to new ones that may be of this
    /// region, so that both know of each other.
    pub(super) async fn discover(&self, gateways: Vec<GatewayInfo>) {
        for gateway in gateways.into_iter().filter(|gateway| gateway.address != self.own) {
            if self.state.discover_gateway(gateway) {
                send(&self.socket, gateway.address, &self.digest()).await;
            }
        }
    }

    /// Handles the plan in an agent's report: sends a hint if it is outdated.
    async fn on_agent(&self, from: SocketAddr, service: Service, plan: u64) {
        let current = self.planner.hash(&service);
        if self.agents.record_report(from, service, plan, current) {
            self.hint(from, current).await;
        }
    }

    /// Sends an agent a hint that there is a plan that it does not know.
    async fn hint(&self, agent: SocketAddr, plan: u64) {
        let hint = Datagram::Hint { from: self.own, region: self.region.clone(), plan_hash: plan };
        send(&self.socket, agent, &pack(&hint)).await;
    }

    /// Sends updates to some gateways immediately; they forward them to others.
    async fn push(self: Arc<Self>) {
        let mut changes = self.state.subscribe();
        loop {
            changes.changed().await;
            let digest = self.digest();
            for gateway in self.update_targets() {
                send(&self.socket, gateway, &digest).await;
            }
            self.hint_all().await;
            sleep(PUSH_INTERVAL).await;
        }
    }

    /// Samples the gateways to which an update is sent: some of the own region, and also some of
    /// all regions if this gateway reads from the store or knows of no gateway in its region
    /// that does. Other gateways leave that to the readers, so that the number of copies that
    /// cross the links between regions grows with the number of regions, not of gateways.
    fn update_targets(&self) -> BTreeSet<SocketAddr> {
        let sample = |gateways: Vec<SocketAddr>| {
            let count = gossip::fanout(gateways.len());
            let sampled = rand::seq::index::sample(&mut rand::rng(), gateways.len(), count);
            sampled.into_iter().map(move |number| gateways[number])
        };
        let neighbours = sample(self.state.neighbours());
        if self.state.gossips_across_regions() {
            sample(self.others()).chain(neighbours).collect()
        } else {
            neighbours.collect()
        }
    }

    /// Sends a hint to every agent whose plan is outdated.
    async fn hint_all(&self) {
        for (agent, plan) in self.agents.outdated(|service| self.planner.hash(service)) {
            self.hint(agent, plan).await;
        }
    }

    /// Sends digests to the whole region periodically while this gateway reads the configuration,
    /// and when it becomes or ceases to be a reader, so that another one takes over when this
    /// one ends.
    async fn push_to_region(self: Arc<Self>) {
        let mut role = Role::Follower;
        let mut sent_at = Instant::now();
        loop {
            sleep(ROLE_POLL).await;
            let before = std::mem::replace(&mut role, self.state.role());
            if role != before {
                let behind_ms = self.state.configuration_behind().as_millis() as u64;
                match role {
                    Role::Reader => {
                        tracing::info!(behind_ms, "configuration is read from the store here")
                    }
                    Role::Follower => {
                        tracing::info!(behind_ms, "configuration is received from other gateways")
                    }
                }
            }
            if role == before
                && (role == Role::Follower || sent_at.elapsed() < region::BEACON_INTERVAL)
            {
                continue;
            }
            sent_at = Instant::now();
            let digest = self.digest();
            for neighbour in self.state.neighbours() {
                send(&self.socket, neighbour, &digest).await;
            }
        }
    }

    /// Sends a digest to a random gateway periodically, or to the seeds while no other is known.
    async fn gossip(self: Arc<Self>) {
        loop {
            let others = self.others();
            let targets = match others.len() {
                0 => self.state.options().seeds.clone(),
                count => vec![others[rand::random_range(0..count)]],
            };
            let behind = self.state.configuration_behind();
            gauge!(CONFIGURATION_LAG).set(behind.as_secs_f64());
            self.state.record_demand_metrics();
            let digest = self.digest();
            for target in targets {
                send(&self.socket, target, &digest).await;
            }
            sleep(if others.is_empty() { SEED_INTERVAL } else { gossip::PERIOD }).await;
        }
    }

    /// Sends agents this gateway's outstanding requests at their engines.
    async fn push_outstanding(self: Arc<Self>) {
        outstanding::publish(&self.state, &self.socket, self.own).await;
    }

    /// Sends the gateways of the region which requests may return.
    async fn push_returns(self: Arc<Self>) {
        returns::publish(&self.state, &self.socket, self.own).await;
    }

    /// Subscribes to the reports of the agents of some engines.
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

    /// The known other gateways.
    pub(super) fn others(&self) -> Vec<SocketAddr> {
        let mut others = self.state.gateways();
        others.retain(|other| *other != self.own);
        others
    }

    /// A digest for a gateway of a region. It names gateways of that region, if any are known, so
    /// that a starting gateway soon finds the readers of its region.
    fn digest_for(&self, region: &Region) -> Vec<u8> {
        match self.state.gateways_in(region) {
            gateways if gateways.is_empty() => self.digest(),
            gateways => self.digest_naming(gateways),
        }
    }

    /// A digest of this gateway's state, encoded.
    fn digest(&self) -> Vec<u8> {
        self.digest_naming(self.others())
    }

    fn digest_naming(&self, others: Vec<SocketAddr>) -> Vec<u8> {
        let count = others.len().min(MAX_NAMED_GATEWAYS);
        let sampled = rand::seq::index::sample(&mut rand::rng(), others.len(), count);
        let gateways = self.state.gateway_infos(sampled.into_iter().map(|number| others[number]));
        let summary = self.state.published_summary();
        let digest = Datagram::Digest { from: self.own, summary, gateways };
        pack_digest(&digest, &self.state.supplement())
    }
}

/// The query of a request for a plan.
#[derive(Debug, Deserialize)]
struct PlanQuery {
    service: String,
}

/// Serves an agent its service's plan; unavailable until a configuration is known.
async fn plan(
    State(relay): State<Arc<Relay>>,
    Query(query): Query<PlanQuery>,
) -> Result<Bytes, StatusCode> {
    if relay.state.view().catalog.is_none() {
        return Err(StatusCode::SERVICE_UNAVAILABLE);
    }
    Ok(relay.planner.plan(&query.service.into()).pack().into())
}
