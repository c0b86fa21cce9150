//! Agents that receive hints at plans from gateways.

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

use crate::staging::{FakeEngine, hint, model, settings};

/// How long a gateway takes to serve the plan.
const READ_TIME: Duration = Duration::from_millis(100);

/// Counts reads of a plan: in progress, the most at once, and in all.
#[derive(Default)]
struct Reads {
    now: AtomicUsize,
    most: AtomicUsize,
    all: AtomicUsize,
}

impl Reads {
    /// Serves one read after [`READ_TIME`].
    async fn serve(&self, plan: Vec<u8>) -> Vec<u8> {
        self.all.fetch_add(1, Ordering::Relaxed);
        let now = self.now.fetch_add(1, Ordering::Relaxed) + 1;
        self.most.fetch_max(now, Ordering::Relaxed);
        sleep(READ_TIME).await;
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

/// Starts gateways that serve the plan, and counts their reads.
async fn gateways(count: usize) -> (Vec<SocketAddr>, Arc<Reads>) {
    let (reads, bytes) = (Arc::new(Reads::default()), pack(&plan()));
    let counted = Arc::clone(&reads);
    let app =
        Router::new().route("/v1/plan", get(async move || counted.serve(bytes.clone()).await));
    let gateways: Vec<_> = (0..count).map(|_| address::free().unwrap()).collect();
    for gateway in &gateways {
        let listener = TcpListener::bind(gateway).await.unwrap();
        let app = app.clone();
        tokio::spawn(async move { axum::serve(listener, app).await.unwrap() });
    }
    (gateways, reads)
}

/// An agent that receives gateways' datagrams.
struct Agent {
    own: SocketAddr,
    plans: Arc<Plans>,
    listening: JoinHandle<()>,
    // The socket from which hints are sent to it.
    hinting: UdpSocket,
}

impl Agent {
    async fn spawn(seed: SocketAddr) -> Self {
        let settings = settings("127.0.0.1:9".parse().unwrap(), "a", seed);
        let plans = Arc::new(Plans::new(&settings, "svc".into(), Client::new()));
        let socket = UdpSocket::bind((seed.ip(), 0)).await.unwrap();
        let (own, beside) = (socket.local_addr().unwrap(), settings.beside.as_ref().unwrap());
        let engine = Arc::new(FakeEngine::default());
        let known = Arc::clone(&plans);
        let reporter = Reporter::new(own, beside, known, engine, Arc::default(), socket);
        let listening = tokio::spawn(Arc::new(reporter).listen());
        let hinting = UdpSocket::bind((seed.ip(), 0)).await.unwrap();
        Self { own, plans, listening, hinting }
    }

    async fn hint(&self, hint: Datagram) {
        send(&self.hinting, self.own, &pack(&hint)).await;
    }

    /// Sends hints repeatedly until the agent knows the plan.
    async fn hint_until_known(&self, hints: &[Datagram]) {
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

/// A hint at the plan from a gateway of another region.
fn far_hint(from: SocketAddr) -> Datagram {
    Datagram::Hint { from, region: "another".into(), plan_hash: plan().hash() }
}

// Guards against requests that reach an engine behind a narrow link only after 3 to 5 s and begin
// on a version that is no longer allowed. While endpoints start and stop, each change of their
// list makes a new plan, and every gateway hints the agent at it. If the agent reads the plan from
// each of them, 40 copies of some 8 kB queue on its link at once (114 kB/s in the case that was
// seen), reads time out after 1.5 s, and requests wait behind them.
#[tokio::test]
async fn an_agent_that_many_gateways_hint_at_a_plan_reads_it_from_few() {
    let (gateways, reads) = gateways(30).await;
    let agent = Agent::spawn(gateways[0]).await;
    let hints: Vec<_> = gateways.iter().map(|from| hint(*from, plan().hash())).collect();
    agent.hint_until_known(&hints).await;
    let most = reads.most.load(Ordering::Relaxed);
    assert!(most <= 2, "{most} copies of a plan were on their way at once");
}

// One link carries all traffic between two regions. Guards against agents of all regions reading
// the plan over it, some 8 kB each, at every change of the list of endpoints: the store's changes
// reach the gateways of its own region first, and their hints cross the link as fast as the
// changes do, so the first hint often comes from another region.
#[tokio::test]
async fn an_agent_reads_a_plan_from_its_own_region_also_if_others_hint_first() {
    let (near, near_reads) = gateways(1).await;
    let (far, far_reads) = gateways(10).await;
    let agent = Agent::spawn(near[0]).await;
    for from in &far {
        agent.hint(far_hint(*from)).await;
    }
    sleep(Duration::from_millis(10)).await;
    agent.hint_until_known(&[hint(near[0], plan().hash())]).await;
    sleep(READ_TIME * 2).await;
    assert_eq!(far_reads.all.load(Ordering::Relaxed), 0, "read from another region");
    assert_eq!(near_reads.all.load(Ordering::Relaxed), 1);
}

#[tokio::test]
async fn an_agent_reads_a_plan_from_another_region_if_its_own_sends_no_hint() {
    let (far, reads) = gateways(2).await;
    let agent = Agent::spawn(far[0]).await;
    let hints: Vec<_> = far.iter().map(|from| far_hint(*from)).collect();
    agent.hint_until_known(&hints).await;
    assert!(reads.all.load(Ordering::Relaxed) >= 1);
}
