//! Agents that install versions in model engines, with fake engines, a fake origin and a fake
//! gateway.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Wake, Waker};
use std::time::Duration;

use async_trait::async_trait;
use axum::Router;
use axum::routing::get;
use bytes::Bytes;
use cinderspoke::gateway::message::{Datagram, Peer, Plan, buffer, pack, receive, send};
use cinderspoke::staging::plan::Plans;
use cinderspoke::staging::report::Reporter;
use cinderspoke::staging::{Agent, Parts};
use cinderspoke_core::gateway::catalog::Origin as Declared;
use cinderspoke_core::gateway::name::Model;
use cinderspoke_core::gateway::rollout::{Rollout, Version};
use cinderspoke_core::gateway::timeline::{Age, Timeline};
use cinderspoke_core::manifest::Algorithm;
use cinderspoke_ports::Error;
use cinderspoke_ports::client::Client;
use cinderspoke_ports::gateway::{
    Engine, EngineReport, Layers, Listing, OrderOutcome, Origin, Switch,
};
use cinderspoke_schema::settings::Node;
use cinderspoke_test_support::address::{self, shared_port};
use cinderspoke_types::size;
use serde_json::json;
use tokio::net::{TcpListener, UdpSocket};
use tokio::time::{sleep, timeout};

/// A timeout that suffices for all these tests, also on a busy machine.
const TIMEOUT: Duration = Duration::from_secs(60);

const CHUNKS: usize = 8;

pub(crate) fn model() -> Model {
    Model::from("m")
}

fn chunk(version: Version, number: usize) -> Bytes {
    Bytes::from(format!("chunk {number} of version {version}"))
}

fn listing(version: Version) -> Listing {
    let digests = (0..CHUNKS).map(|number| Algorithm::Sha256.chunk(&chunk(version, number)));
    Listing { chunk_bytes: 64, digests: digests.map(|digest| *digest.as_bytes()).collect() }
}

/// An origin that serves a limited number of listings, the first ones corrupt.
struct LimitedOrigin {
    // How many listings it still serves.
    listings: AtomicUsize,
    // How many of the next listings are corrupt.
    corrupt: AtomicUsize,
}

impl LimitedOrigin {
    fn new(listings: usize, corrupt: usize) -> Arc<Self> {
        Arc::new(Self { listings: listings.into(), corrupt: corrupt.into() })
    }
}

/// Decrements a counter; false if it is zero.
fn decrement(count: &AtomicUsize) -> bool {
    count.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |count| count.checked_sub(1)).is_ok()
}

#[async_trait]
impl Origin for LimitedOrigin {
    async fn listing(&self, _: &Model, version: Version) -> Result<Listing, Error> {
        if !decrement(&self.listings) {
            return Err(Error::Unavailable("the connection was reset".into()));
        }
        let mut listing = listing(version);
        if decrement(&self.corrupt) {
            listing.digests[1][0] ^= 1;
        }
        Ok(listing)
    }

    async fn chunk(&self, _: &Model, version: Version, number: usize) -> Result<Bytes, Error> {
        Ok(chunk(version, number))
    }
}

/// An engine that has no model loaded at first and loads staged chunks at once.
#[derive(Default)]
pub(crate) struct FakeEngine {
    staged: Mutex<BTreeMap<usize, Bytes>>,
    runs: Mutex<Option<Version>>,
    // How many orders it has taken.
    orders: AtomicU64,
}

#[async_trait]
impl Engine for FakeEngine {
    async fn report(&self) -> Result<EngineReport, Error> {
        let models = self.runs.lock().unwrap().map(|version| (model(), version));
        let orders = self.orders.load(Ordering::Relaxed);
        Ok(EngineReport { models: models.into_iter().collect(), orders, ..EngineReport::default() })
    }

    async fn start_load(
        &self,
        _: &Model,
        version: Version,
        layers: Layers,
        _: Switch,
        _: u64,
    ) -> Result<OrderOutcome, Error> {
        assert_eq!(layers, Layers::All, "an engine loads whole weights anew");
        let staged = self.staged.lock().unwrap();
        let whole = (0..CHUNKS).all(|number| staged.get(&number) == Some(&chunk(version, number)));
        assert!(whole, "an engine loads an incomplete version");
        *self.runs.lock().unwrap() = Some(version);
        self.orders.fetch_add(1, Ordering::Relaxed);
        Ok(OrderOutcome::Begun)
    }

    async fn stage(&self, _: &Model, number: usize, bytes: Bytes) -> Result<(), Error> {
        self.staged.lock().unwrap().insert(number, bytes);
        Ok(())
    }

    async fn staged(
        &self,
        _: &Model,
        number: usize,
        _: size::Bytes,
    ) -> Result<Option<Bytes>, Error> {
        Ok(self.staged.lock().unwrap().get(&number).cloned())
    }
}

/// A hint at a plan from a gateway of the agents' region.
pub(crate) fn hint(from: SocketAddr, plan: u64) -> Datagram {
    Datagram::Hint { from, region: "r".into(), plan_hash: plan }
}

/// Starts a gateway that hints every agent at the same plan.
async fn gateway(own: SocketAddr, plan: Plan) {
    gateway_with_shared_plan(own, Arc::new(Mutex::new(plan))).await;
}

/// Like [`gateway`], with a plan that can be changed while the gateway runs.
async fn gateway_with_shared_plan(own: SocketAddr, plan: Arc<Mutex<Plan>>) {
    let listener = TcpListener::bind(own).await.unwrap();
    let socket = UdpSocket::bind(own).await.unwrap();
    let served_plan = Arc::clone(&plan);
    let app =
        Router::new().route("/v1/plan", get(async move || pack(&*served_plan.lock().unwrap())));
    tokio::spawn(axum::serve(listener, app).into_future());
    tokio::spawn(async move {
        let mut buffer = buffer();
        loop {
            if let Datagram::Report { from, .. } = receive(&socket, &mut buffer).await {
                let hash = plan.lock().unwrap().hash();
                send(&socket, from, &pack(&hint(own, hash))).await;
            }
        }
    });
}

pub(crate) fn settings(engine: SocketAddr, zone: &str, seed: SocketAddr) -> Node {
    serde_json::from_value(json!({
        "instance": format!("a-{}", engine.ip()), "zone": zone, "region": "r",
        "regions": { "a": "r", "b": "r" }, "address": engine.ip(),
        "ports": { "first": shared_port(), "last": shared_port() },
        "store": engine, "seeds": [seed],
        "beside": { "address": engine, "service": "s" },
        "limits": { "link_mbps": 100.0, "descriptors": 4000, "memory_mb": 200 },
        "bounds": {
            "drain_ms": 2000, "grace_s": 8.0, "config_apply_ms": 2000,
            "rollback_slack_ms": 250, "max_skew_ms": 5000, "contact_ms": 3000,
            "retry_budget_ratio": 0.2, "budget_window_s": 10.0, "budget_slack": 100.0,
            "version_ms": 8000, "pass_ms": 120, "loss_slack_ms": 200,
        },
    }))
    .unwrap()
}

/// Starts agents in two availability zones and a gateway whose plan names the second version.
async fn start(agents: usize, origin: &Arc<LimitedOrigin>) -> (Vec<Arc<FakeEngine>>, Vec<Agent>) {
    let zone = |number: usize| if number.is_multiple_of(2) { "a" } else { "b" };
    let addresses: Vec<_> = (0..agents).map(|_| address::free().unwrap()).collect();
    let peer = |(number, engine): (usize, &SocketAddr)| Peer {
        engine: *engine,
        zone: zone(number).into(),
        region: "r".into(),
    };
    let mut rollout = Rollout::default();
    rollout.advance(model(), Version(2));
    let seed = SocketAddr::new(address::free().unwrap().ip(), shared_port());
    let plan = Plan {
        rollout,
        models: vec!["m".into()],
        origins: vec![Declared { address: addresses[0], rate: 1e9 }],
        peers: addresses.iter().enumerate().map(peer).collect(),
        ..Plan::default()
    };
    gateway(seed, plan).await;
    let (mut engines, mut started) = (Vec::new(), Vec::new());
    for (number, address) in addresses.into_iter().enumerate() {
        let engine = Arc::new(FakeEngine::default());
        let origin = Arc::clone(origin);
        let parts = Parts {
            engine: Arc::<FakeEngine>::clone(&engine),
            open_origin: Arc::new(move |_| Arc::<LimitedOrigin>::clone(&origin)),
            client: Client::new(),
            metrics: None,
        };
        let settings = settings(address, zone(number), seed);
        started.push(Agent::bind(&settings, parts).await.unwrap());
        engines.push(engine);
    }
    (engines, started)
}

/// Waits until all engines run the second version.
async fn all_run(engines: &[Arc<FakeEngine>]) {
    let run = |engine: &Arc<FakeEngine>| *engine.runs.lock().unwrap() == Some(Version(2));
    while !engines.iter().all(run) {
        sleep(Duration::from_millis(20)).await;
    }
}

#[tokio::test]
async fn an_origin_that_serves_few_listings_suffices_for_all_agents() {
    // One for each zone, and some more in case an agent requests one ahead of the planned order.
    let (engines, _agents) = start(16, &LimitedOrigin::new(6, 0)).await;
    timeout(TIMEOUT, all_run(&engines)).await.expect("agents were left without a listing");
}

#[tokio::test]
async fn a_corrupt_listing_is_fetched_again() {
    let (engines, _agents) = start(4, &LimitedOrigin::new(usize::MAX, 2)).await;
    timeout(TIMEOUT, all_run(&engines)).await.expect("agents wait for chunks that do not exist");
}

/// An origin that lacks half of the second version's chunks, and serves listings until it is down.
#[derive(Default)]
struct PartialOrigin {
    is_down: AtomicBool,
}

#[async_trait]
impl Origin for PartialOrigin {
    async fn listing(&self, _: &Model, version: Version) -> Result<Listing, Error> {
        if self.is_down.load(Ordering::Relaxed) {
            return Err(Error::Unavailable("the origin is down".into()));
        }
        Ok(listing(version))
    }

    async fn chunk(&self, _: &Model, version: Version, number: usize) -> Result<Bytes, Error> {
        if version == Version(2) && number >= CHUNKS / 2 {
            return Err(Error::Unavailable("the chunk is missing".into()));
        }
        Ok(chunk(version, number))
    }
}

/// The delay before the third version is set to roll out, and again before the origin goes down.
/// Shorter than the time an agent waits for the missing chunks of the second version.
const STEP_DELAY: Duration = Duration::from_millis(1500);

// Guards against fetching a listing only after the previous version has been abandoned.
#[tokio::test]
async fn a_listing_is_fetched_while_the_previous_version_is_incomplete() {
    let origin = Arc::new(PartialOrigin::default());
    let address = address::free().unwrap();
    let seed = SocketAddr::new(address::free().unwrap().ip(), shared_port());
    let mut rollout = Rollout::default();
    rollout.advance(model(), Version(2));
    let plan = Arc::new(Mutex::new(Plan {
        rollout,
        models: vec!["m".into()],
        origins: vec![Declared { address, rate: 1e9 }],
        peers: vec![Peer { engine: address, zone: "a".into(), region: "r".into() }],
        ..Plan::default()
    }));
    gateway_with_shared_plan(seed, Arc::clone(&plan)).await;
    let engine = Arc::new(FakeEngine::default());
    let shared_origin = Arc::clone(&origin);
    let parts = Parts {
        engine: Arc::<FakeEngine>::clone(&engine),
        open_origin: Arc::new(move |_| Arc::<PartialOrigin>::clone(&shared_origin)),
        client: Client::new(),
        metrics: None,
    };
    let _agent = Agent::bind(&settings(address, "a", seed), parts).await.unwrap();
    sleep(STEP_DELAY).await;
    plan.lock().unwrap().rollout.advance(model(), Version(3));
    sleep(STEP_DELAY).await;
    origin.is_down.store(true, Ordering::Relaxed);
    let third_version_runs = async {
        while *engine.runs.lock().unwrap() != Some(Version(3)) {
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(Duration::from_secs(20), third_version_runs)
        .await
        .expect("the third version was not listed before the origin went down");
}

#[tokio::test(start_paused = true)]
async fn an_agent_without_contact_since_its_start_reports_the_time_since_then() {
    // The instance's link may have been congested since before the agent started.
    let gateway = UdpSocket::bind((address::free().unwrap().ip(), shared_port())).await.unwrap();
    let seed = gateway.local_addr().unwrap();
    let settings = settings("127.0.0.1:9".parse().unwrap(), "a", seed);
    let plans = Arc::new(Plans::new(&settings, "svc".into(), Client::new()));
    let socket = UdpSocket::bind((seed.ip(), 0)).await.unwrap();
    let (own, beside) = (socket.local_addr().unwrap(), settings.beside.as_ref().unwrap());
    let reporter =
        Reporter::new(own, beside, plans, Arc::new(FakeEngine::default()), Arc::default(), socket);
    tokio::time::advance(Duration::from_secs(2)).await;
    reporter.poll_engine().await;
    let Datagram::Report { report, .. } = receive(&gateway, &mut buffer()).await else {
        panic!("no report was received");
    };
    assert!(report.last_contact_age >= Duration::from_secs(2), "{:?}", report.last_contact_age);
}

// Another gateway's query must see the reservation; a gateway that has decided holds none.
#[tokio::test]
async fn a_queried_agent_keeps_a_reservation_until_the_gateway_has_decided() {
    let gateways = [(); 2].map(|()| address::free().unwrap().ip());
    let mut sockets = Vec::new();
    for gateway in gateways {
        sockets.push(UdpSocket::bind((gateway, shared_port())).await.unwrap());
    }
    let settings = settings("127.0.0.1:9".parse().unwrap(), "a", sockets[0].local_addr().unwrap());
    let plans = Arc::new(Plans::new(&settings, "svc".into(), Client::new()));
    let socket = UdpSocket::bind((gateways[0], 0)).await.unwrap();
    let (own, beside) = (socket.local_addr().unwrap(), settings.beside.as_ref().unwrap());
    let engine = Arc::new(FakeEngine::default());
    let reporter = Arc::new(Reporter::new(own, beside, plans, engine, Arc::default(), socket));
    reporter.poll_engine().await;
    let listening = tokio::spawn(Arc::clone(&reporter).listen());
    let query = async |gateway: &UdpSocket, number: u64| {
        let (from, sent_at) = (gateway.local_addr().unwrap(), Duration::from_millis(number));
        let query = Datagram::Query { from, number, sent_at, prompt_tokens: 700 };
        gateway.send_to(&pack(&query), own).await.unwrap();
        loop {
            let datagram = timeout(TIMEOUT, receive(gateway, &mut buffer())).await.unwrap();
            if let Datagram::Report { report, query: answered, .. } = datagram
                && answered == Some(number)
            {
                return report.others;
            }
        }
    };
    assert!(query(&sockets[0], 1).await.is_empty());
    let other = query(&sockets[1], 2).await;
    assert_eq!((other.requests, other.unread), (1, 700), "the first one's reservation");
    let (from, sent_at) = (sockets[1].local_addr().unwrap(), Duration::from_millis(9));
    let outstanding = Default::default();
    let decided = Datagram::Outstanding { from, outstanding, sent_at, decided_before: sent_at };
    sockets[1].send_to(&pack(&decided), own).await.unwrap();
    // Datagrams may overtake each other, and reservations expire soon.
    let released = async { while !query(&sockets[0], 3).await.is_empty() {} };
    timeout(TIMEOUT, released).await.expect("the second one's reservation is released");
    listening.abort();
}

#[tokio::test]
async fn a_report_that_requests_an_echo_contains_the_ages_of_versions() {
    let gateway = address::free().unwrap();
    let mut rollout = Rollout::default();
    rollout.advance(model(), Version(2));
    let mut timeline = Timeline::default();
    timeline.record(&rollout, Age::Seen(Duration::from_secs(60)), Duration::ZERO);
    let ages = timeline.ages(Duration::ZERO);
    let plan = Plan { rollout, ages, models: vec!["m".into()], ..Plan::default() };
    let app = Router::new().route("/v1/plan", get(async move || pack(&plan)));
    let listener = TcpListener::bind(gateway).await.unwrap();
    tokio::spawn(async move { axum::serve(listener, app).await.unwrap() });
    let socket_of_gateway = UdpSocket::bind((gateway.ip(), shared_port())).await.unwrap();
    let settings =
        settings("127.0.0.1:9".parse().unwrap(), "a", socket_of_gateway.local_addr().unwrap());
    let plans = Arc::new(Plans::new(&settings, "svc".into(), Client::new()));
    plans.fetch(gateway).await.unwrap();
    let socket = UdpSocket::bind((gateway.ip(), 0)).await.unwrap();
    let (own, beside) = (socket.local_addr().unwrap(), settings.beside.as_ref().unwrap());
    let reporter =
        Reporter::new(own, beside, plans, Arc::new(FakeEngine::default()), Arc::default(), socket);
    reporter.poll_engine().await;
    let Datagram::Report { ages, echo: true, .. } =
        receive(&socket_of_gateway, &mut buffer()).await
    else {
        panic!("no report requests an echo");
    };
    let mut received = Timeline::default();
    received.merge(&ages, Duration::ZERO);
    let remaining = |overlap| {
        received.remaining(&model(), Version(1), Duration::from_secs(overlap), Duration::ZERO)
    };
    assert_eq!(remaining(60), Some(Duration::ZERO));
    assert!(remaining(120) > Some(Duration::ZERO), "the version is known to have been seen");
}

/// Records which version is desired at the moment at which a task that waits for plans is woken.
struct Woken {
    plans: Arc<Plans>,
    desired: Mutex<Option<Version>>,
}

impl Wake for Woken {
    fn wake(self: Arc<Self>) {
        let desired = self.plans.desired().map(|desired| desired.version);
        *self.desired.lock().unwrap() = desired;
    }
}

// Guards against an agent that is woken by a plan, does not find its version yet, and waits for the
// next plan: the version was set only after the tasks that wait for plans had been woken.
#[test]
fn a_task_that_is_woken_by_a_plan_finds_its_version() {
    let settings = settings("127.0.0.1:9".parse().unwrap(), "a", "127.0.0.1:9".parse().unwrap());
    let plans = Arc::new(Plans::new(&settings, "svc".into(), Client::new()));
    let woken = Arc::new(Woken { plans: Arc::clone(&plans), desired: Mutex::default() });
    let mut receiver = plans.subscribe();
    let mut changed = pin!(receiver.changed());
    let waker = Waker::from(Arc::clone(&woken));
    assert!(changed.as_mut().poll(&mut Context::from_waker(&waker)).is_pending());
    let mut rollout = Rollout::default();
    rollout.advance(model(), Version(2));
    plans.merge(Plan { rollout, models: vec!["m".into()], ..Plan::default() });
    assert_eq!(*woken.desired.lock().unwrap(), Some(Version(2)));
}

#[tokio::test]
async fn an_agent_uses_the_seeds_of_reloaded_settings() {
    let [engine, unused, gateway] = [(); 3].map(|()| address::free().unwrap());
    let socket_of_gateway = UdpSocket::bind((gateway.ip(), shared_port())).await.unwrap();
    let before = settings(engine, "a", unused);
    let parts = Parts {
        engine: Arc::new(FakeEngine::default()),
        open_origin: Arc::new(|_| LimitedOrigin::new(0, 0)),
        client: Client::new(),
        metrics: None,
    };
    let agent = Agent::bind(&before, parts).await.unwrap();
    let mut after = before.clone();
    after.seeds = vec![gateway];
    agent.reload(&after);
    let datagram = timeout(TIMEOUT, receive(&socket_of_gateway, &mut buffer())).await.unwrap();
    assert!(matches!(datagram, Datagram::Report { .. }), "{datagram:?}");
}
