//! A network in memory: requests reach routers without sockets.
//!
//! It stands in for nothing but links: rates, delays, cuts, stalls, slowness
//! and corruption. On a paused clock everything on it runs as fast as the
//! machine allows, and the same way each time.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU16, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use axum::Router;
use axum::body::Body;
use bytes::Bytes;
use cinderspoke::util::http::{Error, Transport};
use cinderspoke_types::id::{Region, Zone};
use cinderspoke_types::rate::ByteRate;
use cinderspoke_types::size;
use futures::stream;
use http::{Request, Response};
use http_body_util::BodyExt;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until};
use tokio_util::sync::CancellationToken;
use tokio_util::task::AbortOnDropHandle;
use tower::ServiceExt;

/// The bytes that a link carries for one exchange before it turns to the next.
const PIECE: u64 = 8 << 10;

/// The bytes that go in one packet.
const PACKET: u64 = 1500;

/// How long it takes to find out that nobody answers.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// How long an exchange hangs when its answer cannot come through.
const HANG: Duration = Duration::from_secs(15);

/// Where a machine stands.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Side {
    /// With the callers, who reach every zone.
    Callers,
    /// With the platform, the weight store and the origin.
    Platform,
    /// In an availability zone.
    Zone(Region, Zone),
}

/// One-way delays.
#[derive(Debug, Clone, Copy)]
pub struct Delays {
    /// Within an availability zone.
    pub zone: Duration,
    /// Between availability zones of a region.
    pub zones: Duration,
    /// Between regions.
    pub regions: Duration,
    /// To callers and to the platform.
    pub outside: Duration,
}

impl Default for Delays {
    /// The delays of Adjei Bross.
    fn default() -> Self {
        Self {
            zone: Duration::from_micros(200),
            zones: Duration::from_micros(1500),
            regions: Duration::from_millis(3),
            outside: Duration::from_millis(1),
        }
    }
}

/// A machine's link: what goes in and what goes out share it.
#[derive(Debug)]
struct Link {
    rate: Option<ByteRate>,
    free_at: Mutex<Instant>,
    carried: AtomicU64,
    // How many exchanges of more than a packet are going on.
    flows: AtomicU32,
    // How many times slower than its rate it is; 0 is a stall.
    slowness: watch::Sender<u32>,
}

impl Link {
    fn new(rate: Option<ByteRate>) -> Self {
        let (slowness, _) = watch::channel(1);
        let (free_at, carried) = (Mutex::new(Instant::now()), AtomicU64::new(0));
        Self { rate, free_at, carried, flows: AtomicU32::new(0), slowness }
    }

    /// Carries bytes in pieces, so that what goes on at the same time shares the link.
    async fn carry(&self, bytes: u64) {
        self.carried.fetch_add(bytes, Ordering::Relaxed);
        // Fails only when the network is gone.
        let _ = self.slowness.subscribe().wait_for(|slowness| *slowness > 0).await;
        if bytes <= PACKET {
            return self.carry_packet(bytes).await;
        }
        let _flow = Flow::new(&self.flows);
        let mut left = bytes;
        while left > 0 && self.rate.is_some() {
            let piece = left.min(PIECE);
            self.carry_piece(piece).await;
            left -= piece;
        }
    }

    /// Carries a packet: it waits for one packet of each flow that is going on,
    /// as on a link that shares its rate fairly.
    async fn carry_packet(&self, bytes: u64) {
        let Some(rate) = self.rate else { return };
        let others = u64::from(self.flows.load(Ordering::Relaxed));
        sleep(rate.time_for(size::Bytes::new(bytes + others * PACKET))).await;
    }

    async fn carry_piece(&self, bytes: u64) {
        let mut slowness = self.slowness.subscribe();
        // Fails only when the network is gone.
        let factor = slowness.wait_for(|slowness| *slowness > 0).await.map_or(1, |factor| *factor);
        let Some(rate) = self.rate else { return };
        let time = rate.time_for(size::Bytes::new(bytes)) * factor;
        let end = {
            let mut free_at = self.free_at.lock().unwrap_or_else(PoisonError::into_inner);
            *free_at = (*free_at).max(Instant::now()) + time;
            *free_at
        };
        sleep_until(end).await;
    }
}

/// Counts an exchange as going on, until it is dropped.
struct Flow<'a>(&'a AtomicU32);

impl<'a> Flow<'a> {
    fn new(flows: &'a AtomicU32) -> Self {
        flows.fetch_add(1, Ordering::Relaxed);
        Self(flows)
    }
}

impl Drop for Flow<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

#[derive(Debug)]
struct Machine {
    side: Side,
    link: Arc<Link>,
    // So many bodies of weights from here arrive corrupt.
    corrupt: u32,
    // Whether nothing goes in or out: what waits goes on when it thaws.
    frozen: watch::Sender<bool>,
}

/// A router that can be reached.
#[derive(Clone)]
struct Port {
    router: Router,
    machine: Arc<str>,
    alive: CancellationToken,
}

#[derive(Default)]
struct State {
    ports: HashMap<SocketAddr, Port>,
    machines: HashMap<Arc<str>, Machine>,
    cuts: BTreeSet<(Side, Side)>,
    blocked: BTreeSet<(Arc<str>, Arc<str>)>,
}

/// A network in memory.
pub struct Network {
    state: Mutex<State>,
    delays: Delays,
    next: AtomicU16,
}

impl std::fmt::Debug for Network {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("Network")
    }
}

impl Network {
    /// A network with no machines.
    #[must_use]
    pub fn new(delays: Delays) -> Arc<Self> {
        Arc::new(Self { state: Mutex::default(), delays, next: AtomicU16::new(1) })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// An address that no machine has yet.
    pub fn address(&self) -> SocketAddr {
        let [high, low] = self.next.fetch_add(1, Ordering::Relaxed).to_be_bytes();
        SocketAddr::from(([10, 0, high, low], 80))
    }

    /// Adds a machine, unless it is there already.
    pub fn add(&self, machine: &str, side: Side, rate: Option<ByteRate>) {
        let fresh = || Machine {
            side,
            link: Arc::new(Link::new(rate)),
            corrupt: 0,
            frozen: watch::channel(false).0,
        };
        self.lock().machines.entry(machine.into()).or_insert_with(fresh);
    }

    /// Lets a router be reached until the token is cancelled.
    pub fn mount(
        &self,
        machine: &str,
        address: SocketAddr,
        router: Router,
        alive: CancellationToken,
    ) {
        let port = Port { router, machine: machine.into(), alive };
        self.lock().ports.insert(address, port);
    }

    /// How a machine reaches others.
    #[must_use]
    pub fn transport(self: &Arc<Self>, machine: &str) -> Arc<dyn Transport> {
        Arc::new(Wire { network: Arc::clone(self), machine: machine.into() })
    }

    /// Cuts two sides off from each other.
    pub fn cut(&self, left: &Side, right: &Side) {
        self.lock().cuts.insert(ordered(left, right));
    }

    /// Heals a cut.
    pub fn heal(&self, left: &Side, right: &Side) {
        self.lock().cuts.remove(&ordered(left, right));
    }

    /// Cuts one machine off from another, or lets it through again.
    pub fn block(&self, left: &str, right: &str, blocked: bool) {
        let mut state = self.lock();
        for (from, to) in [(left, right), (right, left)] {
            let pair = (Arc::from(from), Arc::from(to));
            if blocked {
                state.blocked.insert(pair)
            } else {
                state.blocked.remove(&pair)
            };
        }
    }

    /// Freezes a machine as a paused process is, or lets it go on.
    ///
    /// Nothing goes in or out meanwhile; what waited goes on late.
    pub fn freeze(&self, machine: &str, frozen: bool) {
        if let Some(machine) = self.lock().machines.get(machine) {
            machine.frozen.send_replace(frozen);
        }
    }

    /// Makes a machine's link so many times slower; 0 stalls it, 1 is normal.
    pub fn slow(&self, machine: &str, slowness: u32) {
        if let Some(machine) = self.lock().machines.get(machine) {
            machine.link.slowness.send_replace(slowness);
        }
    }

    /// Lets so many bodies of weights from a machine arrive corrupt.
    pub fn corrupt(&self, machine: &str, bodies: u32) {
        if let Some(machine) = self.lock().machines.get_mut(machine) {
            machine.corrupt = bodies;
        }
    }

    /// The bytes that a machine's link has carried, both ways.
    #[must_use]
    pub fn carried(&self, machine: &str) -> u64 {
        let state = self.lock();
        state
            .machines
            .get(machine)
            .map_or(0, |machine| machine.link.carried.load(Ordering::Relaxed))
    }

    fn route(&self, from: &Arc<str>, address: SocketAddr) -> Option<Route> {
        let mut state = self.lock();
        let port = state.ports.get(&address).filter(|port| !port.alive.is_cancelled()).cloned()?;
        let source = state.machines.get(from)?;
        let (near, side) = (Arc::clone(&source.link), source.side.clone());
        let mut frozen = vec![source.frozen.subscribe()];
        let target = state.machines.get_mut(&port.machine)?;
        let (far, far_side) = (Arc::clone(&target.link), target.side.clone());
        frozen.push(target.frozen.subscribe());
        let delay =
            if *from == port.machine { Duration::ZERO } else { self.delay(&side, &far_side) };
        let links = if *from == port.machine { Vec::new() } else { vec![near, far] };
        let machines = (Arc::clone(from), Arc::clone(&port.machine));
        Some(Route { port, delay, links, sides: ordered(&side, &far_side), machines, frozen })
    }

    fn delay(&self, left: &Side, right: &Side) -> Duration {
        match (left, right) {
            (Side::Zone(_, left), Side::Zone(_, right)) if left == right => self.delays.zone,
            (Side::Zone(left, _), Side::Zone(right, _)) if left == right => self.delays.zones,
            (Side::Zone(..), Side::Zone(..)) => self.delays.regions,
            _ => self.delays.outside,
        }
    }

    fn is_cut(&self, route: &Route) -> bool {
        let state = self.lock();
        state.cuts.contains(&route.sides) || state.blocked.contains(&route.machines)
    }

    /// Whether this body of weights is to arrive corrupt.
    fn takes_corruption(&self, machine: &Arc<str>) -> bool {
        let mut state = self.lock();
        let Some(machine) = state.machines.get_mut(machine) else { return false };
        let corrupt = machine.corrupt > 0;
        machine.corrupt -= u32::from(corrupt);
        corrupt
    }
}

fn ordered(left: &Side, right: &Side) -> (Side, Side) {
    (left.min(right).clone(), left.max(right).clone())
}

/// The way from one machine to a router.
struct Route {
    port: Port,
    delay: Duration,
    links: Vec<Arc<Link>>,
    sides: (Side, Side),
    machines: (Arc<str>, Arc<str>),
    frozen: Vec<watch::Receiver<bool>>,
}

impl Route {
    /// Waits until neither end is frozen.
    async fn thawed(&mut self) {
        for frozen in &mut self.frozen {
            // Fails only when the network is gone.
            let _ = frozen.wait_for(|frozen| !frozen).await;
        }
    }
}

/// How one machine reaches others.
#[derive(Debug)]
struct Wire {
    network: Arc<Network>,
    machine: Arc<str>,
}

#[async_trait]
impl Transport for Wire {
    async fn send(
        &self,
        address: SocketAddr,
        request: Request<Body>,
    ) -> Result<Response<Body>, Error> {
        let Some(mut route) = self.network.route(&self.machine, address) else {
            sleep(self.network.delays.outside).await;
            return Err(Error::Connect(address, "nobody listens".into()));
        };
        if self.network.is_cut(&route) {
            sleep(CONNECT_TIMEOUT).await;
            return Err(Error::Connect(address, "cut off".into()));
        }
        sleep(route.delay).await;
        route.thawed().await;
        let path = request.uri().path();
        let weights = path.starts_with("/v1/chunks/") || path.starts_with("/v1/weights/");
        let Port { router, machine, alive } = route.port.clone();
        let answer = router.oneshot(request);
        let handler = tokio::spawn(async move { alive.run_until_cancelled(answer).await });
        // A caller that leaves cancels what it asked for.
        let answered = AbortOnDropHandle::new(handler).await;
        let Ok(Some(Ok(response))) = answered else {
            return Err(Error::Broken(address, "killed".into()));
        };
        sleep(route.delay).await;
        route.thawed().await;
        if self.network.is_cut(&route) {
            sleep(HANG).await;
            return Err(Error::Broken(address, "cut off".into()));
        }
        let corrupt =
            weights && response.status().is_success() && self.network.takes_corruption(&machine);
        let network = Arc::clone(&self.network);
        Ok(response.map(|body| carried(Carrying { network, route, body, corrupt })))
    }
}

/// A body on its way.
struct Carrying {
    network: Arc<Network>,
    route: Route,
    body: Body,
    corrupt: bool,
}

fn carried(carrying: Carrying) -> Body {
    Body::from_stream(stream::unfold(Some(carrying), |carrying| async {
        let mut carrying = carrying?;
        match carrying.next().await {
            Some(Ok(data)) => Some((Ok(data), Some(carrying))),
            Some(Err(reason)) => Some((Err(std::io::Error::other(reason)), None)),
            None => None,
        }
    }))
}

impl Carrying {
    async fn next(&mut self) -> Option<Result<Bytes, &'static str>> {
        let alive = self.route.port.alive.clone();
        let frame = match alive.run_until_cancelled(self.body.frame()).await {
            None => return Some(Err("killed")),
            Some(None) => return None,
            Some(Some(Err(_))) => return Some(Err("the body broke off")),
            Some(Some(Ok(frame))) => frame,
        };
        let data = frame.into_data().unwrap_or_default();
        self.route.thawed().await;
        let length = data.len() as u64;
        let links = self.route.links.iter().map(|link| link.carry(length));
        if alive.run_until_cancelled(futures::future::join_all(links)).await.is_none() {
            return Some(Err("killed"));
        }
        if self.network.is_cut(&self.route) {
            sleep(HANG).await;
            return Some(Err("cut off"));
        }
        Some(Ok(if std::mem::take(&mut self.corrupt) { corrupted(&data) } else { data }))
    }
}

/// The same bytes with one bit changed.
fn corrupted(bytes: &Bytes) -> Bytes {
    let mut bytes = bytes.to_vec();
    if let Some(first) = bytes.first_mut() {
        *first ^= 1;
    }
    bytes.into()
}
