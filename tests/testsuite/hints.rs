//! Agents whom gateways hint at plans.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use axum::Router;
use axum::routing::get;
use cinderspoke::gateway::message::{Datagram, Plan, pack, send};
use cinderspoke::staging::plan::Plans;
use cinderspoke::staging::report::Reporter;
use cinderspoke::util::http::Client;
use cinderspoke_core::gateway::rollout::{Rollout, Version};
use cinderspoke_test_support::address;
use tokio::net::{TcpListener, UdpSocket};
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::staging::{Empty, hint, model, settings};

/// How long it takes to read a plan.
const TAKES: Duration = Duration::from_millis(100);

/// How often a plan is being read, was at most at once, and was in all.
#[derive(Default)]
struct Reads {
    now: AtomicUsize,
    most: AtomicUsize,
    all: AtomicUsize,
}

impl Reads {
    /// One read, which takes a while.
    async fn one(&self, plan: Vec<u8>) -> Vec<u8> {
        self.all.fetch_add(1, Ordering::Relaxed);
        let now = self.now.fetch_add(1, Ordering::Relaxed) + 1;
        self.most.fetch_max(now, Ordering::Relaxed);
        sleep(TAKES).await;
        self.now.fetch_sub(1, Ordering::Relaxed);
        plan
    }
}

/// A plan that agents do not know.
fn plan() -> Plan {
    let mut rollout = Rollout::default();
    rollout.advance(model(), Version(2));
    Plan { rollout, models: vec!["m".into()], ..Plan::default() }
}

/// Gateways that tell the plan, so many, and their reads.
async fn gateways(count: usize) -> (Vec<SocketAddr>, Arc<Reads>) {
    let (reads, bytes) = (Arc::new(Reads::default()), pack(&plan()));
    let counted = Arc::clone(&reads);
    let app = Router::new().route("/v1/plan", get(async move || counted.one(bytes.clone()).await));
    let gateways: Vec<_> = (0..count).map(|_| address::free().unwrap()).collect();
    for gateway in &gateways {
        let listener = TcpListener::bind(gateway).await.unwrap();
        let app = app.clone();
        tokio::spawn(async move { axum::serve(listener, app).await.unwrap() });
    }
    (gateways, reads)
}

/// An agent that listens to gateways.
struct Agent {
    own: SocketAddr,
    plans: Arc<Plans>,
    listening: JoinHandle<()>,
    // Where it is hinted at plans from.
    hinting: UdpSocket,
}

impl Agent {
    async fn spawn(seed: SocketAddr) -> Self {
        let settings = settings("127.0.0.1:9".parse().unwrap(), "a", seed);
        let plans = Arc::new(Plans::new(&settings, "svc".into(), Client::new()));
        let socket = UdpSocket::bind((seed.ip(), 0)).await.unwrap();
        let (own, beside) = (socket.local_addr().unwrap(), settings.beside.as_ref().unwrap());
        let engine = Arc::new(Empty::default());
        let known = Arc::clone(&plans);
        let reporter = Reporter::new(own, beside, known, engine, Arc::default(), socket);
        let listening = tokio::spawn(Arc::new(reporter).listen());
        let hinting = UdpSocket::bind((seed.ip(), 0)).await.unwrap();
        Self { own, plans, listening, hinting }
    }

    async fn hint(&self, hint: Datagram) {
        send(&self.hinting, self.own, &pack(&hint)).await;
    }

    /// Waits until it knows the plan, while some gateways hint it.
    async fn learn(&self, hints: &[Datagram]) {
        while self.plans.newest().hash() != plan().hash() {
            for hint in hints {
                self.hint(hint.clone()).await;
            }
            sleep(Duration::from_millis(20)).await;
        }
    }
}

impl Drop for Agent {
    fn drop(&mut self) {
        self.listening.abort();
    }
}

/// What a gateway of another region says of the plan.
fn far_hint(from: SocketAddr) -> Datagram {
    Datagram::Hint { from, region: "another".into(), plan_hash: plan().hash() }
}

// Symptom: requests reached an engine behind a narrow link 3 to 5 s after they
// were sent, and began on a version whose time was over. Sequence: a link is
// squeezed while endpoints come and go; each change of their list makes a new
// plan, and each gateway hints the agent at it. Cause: the agent read the plan of
// every gateway that hinted at it, so 40 copies of some 8 kB waited on its link
// at once, with requests behind them. What settled it: dozens of lines
// `reading a plan` in the same 50 ms, each a time-out of 1.5 s, while the link
// carried 114 kB/s.
#[tokio::test]
async fn an_agent_that_many_gateways_hint_at_a_plan_reads_it_from_few() {
    let (gateways, reads) = gateways(30).await;
    let agent = Agent::spawn(gateways[0]).await;
    let hints: Vec<_> = gateways.iter().map(|from| hint(*from, plan().hash())).collect();
    agent.learn(&hints).await;
    let most = reads.most.load(Ordering::Relaxed);
    assert!(most <= 2, "{most} copies of a plan were on their way at once");
}

// Between two regions there is one link for all traffic. Each change of the list of
// endpoints had agents of all regions read the plan, some 8 kB each, from whichever gateway
// hinted first: the store's news reach gateways of its region first, and hints cross the link
// as fast as news.
#[tokio::test]
async fn an_agent_reads_a_plan_from_its_own_region_also_if_others_hint_first() {
    let (near, near_reads) = gateways(1).await;
    let (far, far_reads) = gateways(10).await;
    let agent = Agent::spawn(near[0]).await;
    for from in &far {
        agent.hint(far_hint(*from)).await;
    }
    sleep(Duration::from_millis(10)).await;
    agent.learn(&[hint(near[0], plan().hash())]).await;
    sleep(TAKES * 2).await;
    assert_eq!(far_reads.all.load(Ordering::Relaxed), 0, "read from another region");
    assert_eq!(near_reads.all.load(Ordering::Relaxed), 1);
}

#[tokio::test]
async fn an_agent_reads_a_plan_from_another_region_where_its_own_says_nothing() {
    let (far, reads) = gateways(2).await;
    let agent = Agent::spawn(far[0]).await;
    let hints: Vec<_> = far.iter().map(|from| far_hint(*from)).collect();
    agent.learn(&hints).await;
    assert!(reads.all.load(Ordering::Relaxed) >= 1);
}
