//! Agents that bring versions into model engines, against engines, an origin and
//! a gateway that are small fakes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
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
use cinderspoke_ports::gateway::{Engine, EngineReport, Listing, OrderOutcome, Origin, Switch};
use cinderspoke_schema::settings::Node;
use cinderspoke_test_support::address::{self, shared_port};
use serde_json::json;
use tokio::net::{TcpListener, UdpSocket};
use tokio::time::{sleep, timeout};

/// More than any of these tests needs on a busy machine.
const LONG: Duration = Duration::from_secs(60);

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

/// An origin that gives so many listings, the first ones of them spoilt.
struct Few {
    listings: AtomicUsize,
    spoilt: AtomicUsize,
}

impl Few {
    fn new(listings: usize, spoilt: usize) -> Arc<Self> {
        Arc::new(Self { listings: listings.into(), spoilt: spoilt.into() })
    }
}

/// Takes one of what is left; false when nothing is.
fn take(left: &AtomicUsize) -> bool {
    left.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |left| left.checked_sub(1)).is_ok()
}

#[async_trait]
impl Origin for Few {
    async fn listing(&self, _: &Model, version: Version) -> Result<Listing, Error> {
        if !take(&self.listings) {
            return Err(Error::Unavailable("the connection was reset".into()));
        }
        let mut listing = listing(version);
        if take(&self.spoilt) {
            listing.digests[1][0] ^= 1;
        }
        Ok(listing)
    }

    async fn chunk(&self, _: &Model, version: Version, number: usize) -> Result<Bytes, Error> {
        Ok(chunk(version, number))
    }
}

/// An engine that holds no layers at first and takes over at once what is staged.
#[derive(Default)]
pub(crate) struct Empty {
    staged: Mutex<BTreeMap<usize, Bytes>>,
    runs: Mutex<Option<Version>>,
}

#[async_trait]
impl Engine for Empty {
    async fn report(&self) -> Result<EngineReport, Error> {
        let models = self.runs.lock().unwrap().map(|version| (model(), version));
        Ok(EngineReport { models: models.into_iter().collect(), ..EngineReport::default() })
    }

    async fn start_load(
        &self,
        _: &Model,
        version: Version,
        _: Switch,
        _: u64,
    ) -> Result<OrderOutcome, Error> {
        let staged = self.staged.lock().unwrap();
        let whole = (0..CHUNKS).all(|number| staged.get(&number) == Some(&chunk(version, number)));
        assert!(whole, "an engine takes over what is not whole");
        *self.runs.lock().unwrap() = Some(version);
        Ok(OrderOutcome::Accepted)
    }

    async fn stage(&self, _: &Model, number: usize, bytes: Bytes) -> Result<(), Error> {
        self.staged.lock().unwrap().insert(number, bytes);
        Ok(())
    }

    async fn staged(&self, _: &Model, number: usize) -> Result<Option<Bytes>, Error> {
        Ok(self.staged.lock().unwrap().get(&number).cloned())
    }
}

/// What a gateway of the agents' region says of a plan.
pub(crate) fn hint(from: SocketAddr, plan: u64) -> Datagram {
    Datagram::Hint { from, region: "r".into(), plan_hash: plan }
}

/// A gateway that hints every agent at the same plan.
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

/// So many agents in two zones, whose gateway names the second version.
async fn start(agents: usize, origin: &Arc<Few>) -> (Vec<Arc<Empty>>, Vec<Agent>) {
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
        let engine = Arc::new(Empty::default());
        let origin = Arc::clone(origin);
        let parts = Parts {
            engine: Arc::<Empty>::clone(&engine),
            open_origin: Arc::new(move |_| Arc::<Few>::clone(&origin)),
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
async fn all_run(engines: &[Arc<Empty>]) {
    let run = |engine: &Arc<Empty>| *engine.runs.lock().unwrap() == Some(Version(2));
    while !engines.iter().all(run) {
        sleep(Duration::from_millis(20)).await;
    }
}

#[tokio::test]
async fn an_origin_that_gives_few_listings_is_enough_for_all_agents() {
    // One for each zone, and some more in case that an agent asks out of its turn.
    let (engines, _agents) = start(16, &Few::new(6, 0)).await;
    timeout(LONG, all_run(&engines)).await.expect("agents were left without a listing");
}

#[tokio::test]
async fn a_listing_that_came_spoilt_is_read_again() {
    let (engines, _agents) = start(4, &Few::new(usize::MAX, 2)).await;
    timeout(LONG, all_run(&engines)).await.expect("agents wait for chunks that do not exist");
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

/// The delay before the third version is named, and again before the origin goes down. Shorter
/// than the time an agent waits for the missing chunks of the second version.
const STEP_DELAY: Duration = Duration::from_millis(1500);

// Guards against fetching a listing only after the previous version has been given up.
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
    let engine = Arc::new(Empty::default());
    let shared_origin = Arc::clone(&origin);
    let parts = Parts {
        engine: Arc::<Empty>::clone(&engine),
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
async fn an_agent_that_no_gateway_has_answered_since_it_started_says_so() {
    // Its instance may lie behind a full link since before it started.
    let gateway = UdpSocket::bind((address::free().unwrap().ip(), shared_port())).await.unwrap();
    let seed = gateway.local_addr().unwrap();
    let settings = settings("127.0.0.1:9".parse().unwrap(), "a", seed);
    let plans = Arc::new(Plans::new(&settings, "svc".into(), Client::new()));
    let socket = UdpSocket::bind((seed.ip(), 0)).await.unwrap();
    let (own, beside) = (socket.local_addr().unwrap(), settings.beside.as_ref().unwrap());
    let reporter =
        Reporter::new(own, beside, plans, Arc::new(Empty::default()), Arc::default(), socket);
    tokio::time::advance(Duration::from_secs(2)).await;
    reporter.poll_engine().await;
    let Datagram::Report { report, .. } = receive(&gateway, &mut buffer()).await else {
        panic!("no report came");
    };
    assert!(report.last_contact_age >= Duration::from_secs(2), "{:?}", report.last_contact_age);
}

// The next gateway that asks must not take the same place; one that has decided holds none.
#[tokio::test]
async fn an_agent_that_is_asked_keeps_a_place_until_the_gateway_has_decided() {
    let gateways = [(); 2].map(|()| address::free().unwrap().ip());
    let mut ears = Vec::new();
    for gateway in gateways {
        ears.push(UdpSocket::bind((gateway, shared_port())).await.unwrap());
    }
    let settings = settings("127.0.0.1:9".parse().unwrap(), "a", ears[0].local_addr().unwrap());
    let plans = Arc::new(Plans::new(&settings, "svc".into(), Client::new()));
    let socket = UdpSocket::bind((gateways[0], 0)).await.unwrap();
    let (own, beside) = (socket.local_addr().unwrap(), settings.beside.as_ref().unwrap());
    let engine = Arc::new(Empty::default());
    let reporter = Arc::new(Reporter::new(own, beside, plans, engine, Arc::default(), socket));
    reporter.poll_engine().await;
    let listening = tokio::spawn(Arc::clone(&reporter).listen());
    let asks = async |ear: &UdpSocket, number: u64| {
        let (from, asked) = (ear.local_addr().unwrap(), Duration::from_millis(number));
        let ask = Datagram::Query { from, number, sent_at: asked, prompt_tokens: 700 };
        ear.send_to(&pack(&ask), own).await.unwrap();
        loop {
            let told = timeout(LONG, receive(ear, &mut buffer())).await.unwrap();
            if let Datagram::Report { report, query: answers, .. } = told
                && answers == Some(number)
            {
                return report.others;
            }
        }
    };
    assert!(asks(&ears[0], 1).await.is_empty());
    let other = asks(&ears[1], 2).await;
    assert_eq!((other.requests, other.unread), (1, 700), "the first one's place");
    let (from, sent) = (ears[1].local_addr().unwrap(), Duration::from_millis(9));
    let outstanding = Default::default();
    let decided = Datagram::Outstanding { from, outstanding, sent_at: sent, decided_before: sent };
    ears[1].send_to(&pack(&decided), own).await.unwrap();
    // Its datagrams may overtake each other, and places lapse soon.
    let ends = async { while !asks(&ears[0], 3).await.is_empty() {} };
    timeout(LONG, ends).await.expect("the second one's place is given back");
    listening.abort();
}

#[tokio::test]
async fn an_agent_tells_a_gateway_that_it_asks_for_how_long_versions_have_been_named() {
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
    let ear = UdpSocket::bind((gateway.ip(), shared_port())).await.unwrap();
    let settings = settings("127.0.0.1:9".parse().unwrap(), "a", ear.local_addr().unwrap());
    let plans = Arc::new(Plans::new(&settings, "svc".into(), Client::new()));
    plans.fetch(gateway).await.unwrap();
    let socket = UdpSocket::bind((gateway.ip(), 0)).await.unwrap();
    let (own, beside) = (socket.local_addr().unwrap(), settings.beside.as_ref().unwrap());
    let reporter =
        Reporter::new(own, beside, plans, Arc::new(Empty::default()), Arc::default(), socket);
    reporter.poll_engine().await;
    let Datagram::Report { ages, echo: true, .. } = receive(&ear, &mut buffer()).await else {
        panic!("no report came that asks for an echo");
    };
    let mut learned = Timeline::default();
    learned.merge(&ages, Duration::ZERO);
    let left = |overlap| {
        learned.remaining(&model(), Version(1), Duration::from_secs(overlap), Duration::ZERO)
    };
    assert_eq!(left(60), Some(Duration::ZERO));
    assert!(left(120) > Some(Duration::ZERO), "it is known to have been seen");
}

#[tokio::test]
async fn an_agent_goes_by_seeds_that_come_while_it_runs() {
    let [engine, nobody, gateway] = [(); 3].map(|()| address::free().unwrap());
    let ear = UdpSocket::bind((gateway.ip(), shared_port())).await.unwrap();
    let before = settings(engine, "a", nobody);
    let parts = Parts {
        engine: Arc::new(Empty::default()),
        open_origin: Arc::new(|_| Few::new(0, 0)),
        client: Client::new(),
        metrics: None,
    };
    let agent = Agent::bind(&before, parts).await.unwrap();
    let mut after = before.clone();
    after.seeds = vec![gateway];
    agent.reload(&after);
    let heard = timeout(LONG, receive(&ear, &mut buffer())).await.unwrap();
    assert!(matches!(heard, Datagram::Report { .. }), "{heard:?}");
}
