//! Asking the engine what it does, and telling gateways.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cinderspoke_core::gateway::link::Link;
use cinderspoke_core::gateway::load::Report;
use cinderspoke_core::gateway::reservation;
use cinderspoke_core::gateway::rotation::queries_last_responder;
use cinderspoke_core::gateway::subset::Subscribers;
use cinderspoke_core::gateway::tally::{Outstanding, Tally};
use cinderspoke_core::gateway::timeline::Ages;
use cinderspoke_ports::gateway::{Engine, EngineReport};
use cinderspoke_schema::settings;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::time::{MissedTickBehavior, interval, sleep};

use super::plan::Plans;
use super::reads::Limiter;
use crate::gateway::message::{Datagram, buffer, pack, receive, send};
use crate::util::clock::Clock;

/// How often the engine is asked and gateways are told.
const PERIOD: Duration = Duration::from_millis(100);

/// How long a gateway of another region that hints at a plan is not asked for it: those of
/// the own region hint soon after, and spare the link that all traffic between regions shares.
const NEARBY: Duration = Duration::from_millis(80);

/// What the engine said last; none while it does not answer.
pub type Latest = Option<EngineReport>;

/// Asks the engine what it does, and tells gateways.
pub struct Reporter {
    own: SocketAddr,
    address: SocketAddr,
    plans: Arc<Plans>,
    engine: Arc<dyn Engine>,
    socket: UdpSocket,
    clock: Clock,
    // Fetched at the start; tells this process from those before it.
    process: u64,
    latest: watch::Sender<Latest>,
    // Cleared while the engine is to take no new requests.
    open: AtomicBool,
    // Counts the times that the engine answered: who is told then goes by turns.
    tick: AtomicUsize,
    heard: Mutex<Heard>,
    // Who is told.
    subscribers: Mutex<Subscribers>,
    // What gateways have outstanding at the engine.
    tally: Mutex<Tally>,
    // Places at the engine that are kept for gateways that asked.
    reservations: Mutex<reservation::Table>,
    // What chunks tell of the link.
    link: Arc<Mutex<Link>>,
    reads: Limiter,
}

/// The newest word from a gateway.
#[derive(Debug, Default)]
struct Heard {
    // Our own time that it repeats; none before the first word.
    told: Option<Duration>,
    // Who gave it.
    from: Option<SocketAddr>,
    // Turns between those who are asked for the next one.
    turn: usize,
}

impl Reporter {
    /// A reporter of the engine beside an agent.
    #[must_use]
    pub fn new(
        own: SocketAddr,
        beside: &settings::Beside,
        plans: Arc<Plans>,
        engine: Arc<dyn Engine>,
        link: Arc<Mutex<Link>>,
        socket: UdpSocket,
    ) -> Self {
        let address = beside.address;
        let (latest, open) = (watch::Sender::new(None), AtomicBool::new(true));
        let tick = AtomicUsize::new(0);
        let clock = Clock::start();
        let (heard, tally, reservations) = (Mutex::default(), Mutex::default(), Mutex::default());
        let process = rand::random();
        let reads = Limiter::default();
        Self {
            own,
            address,
            plans,
            engine,
            socket,
            clock,
            process,
            latest,
            open,
            tick,
            heard,
            subscribers: Mutex::default(),
            tally,
            reservations,
            link,
            reads,
        }
    }

    /// What the engine says, as it changes.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Latest> {
        self.latest.subscribe()
    }

    /// Says whether the engine is to get new requests; gateways learn of it at once.
    pub async fn set_accepts_requests(&self, open: bool) {
        self.open.store(open, Ordering::Relaxed);
        let latest = self.latest.borrow().clone();
        if let Some(report) = latest {
            self.tell(&report, self.gateways()).await;
        }
    }

    /// Whether the engine is to get new requests.
    #[must_use]
    pub fn accepts_requests(&self) -> bool {
        self.open.load(Ordering::Relaxed)
    }

    /// Asks and tells for as long as the program runs.
    pub async fn run(self: Arc<Self>) {
        let mut ticks = interval(PERIOD);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.poll_engine().await;
        }
    }

    /// Asks the engine once and tells the gateways whose turn it is what it said.
    pub async fn poll_engine(&self) {
        match self.engine.report().await {
            Ok(report) => {
                self.tell(&report, self.next_told()).await;
                self.latest.send_replace(Some(report));
            }
            Err(error) => {
                let lost = self.latest.send_replace(None).is_some();
                if lost {
                    tracing::warn!(%error, "engine lost");
                }
            }
        }
    }

    /// Tells gateways what the engine said; one of them is asked to answer.
    async fn tell(&self, report: &EngineReport, gateways: Vec<SocketAddr>) {
        let asked = self.next_asked(&gateways);
        let now = self.clock.now();
        let (load, plan) = (self.load(report, now), self.plans.newest().hash());
        let datagram = |echo, others| {
            pack(&Datagram::Report {
                from: self.own,
                engine: self.address,
                service: self.plans.service().clone(),
                report: Report { others, ..load.clone() },
                plan_hash: plan,
                sent_at: now,
                echo,
                ages: if echo { self.plans.ages() } else { Ages::default() },
                query: None,
            })
        };
        let all = self.tally().total(now);
        for gateway in gateways {
            let others = self.others(all, gateway, now);
            send(&self.socket, gateway, &datagram(Some(gateway) == asked, others)).await;
        }
    }

    /// What the engine said, with what is known of it beside that.
    fn load(&self, report: &EngineReport, now: Duration) -> Report {
        Report {
            accepts_requests: self.accepts_requests(),
            last_contact_age: self.deaf(now),
            is_congested: self.is_congested(now),
            process: self.process,
            ..report.load.clone()
        }
    }

    /// What other gateways than one have outstanding at the engine, or have a place for.
    fn others(&self, all: Outstanding, gateway: SocketAddr, now: Duration) -> Outstanding {
        let kept = self.reservations().others(gateway, now);
        self.tally().others(all, gateway, now).plus(kept)
    }

    /// Tells a gateway that asks for a place what the engine holds, and keeps it one.
    async fn answer(&self, gateway: SocketAddr, number: u64, asked: Duration, prompt: u32) {
        let Some(report) = self.latest.borrow().clone() else { return };
        let now = self.clock.now();
        let all = self.tally().total(now);
        let others = self.others(all, gateway, now);
        self.reservations().reserve(gateway, asked, prompt, now);
        let answer = Datagram::Report {
            from: self.own,
            engine: self.address,
            service: self.plans.service().clone(),
            report: Report { others, ..self.load(&report, now) },
            plan_hash: 0,
            sent_at: now,
            echo: false,
            ages: Ages::default(),
            query: Some(number),
        };
        send(&self.socket, gateway, &pack(&answer)).await;
    }

    fn heard(&self) -> MutexGuard<'_, Heard> {
        self.heard.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether what goes over the link may be held up for seconds.
    fn is_congested(&self, now: Duration) -> bool {
        self.link.lock().unwrap_or_else(PoisonError::into_inner).is_congested(now)
    }

    fn reservations(&self) -> MutexGuard<'_, reservation::Table> {
        self.reservations.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn tally(&self) -> MutexGuard<'_, Tally> {
        self.tally.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn subscribers(&self) -> MutexGuard<'_, Subscribers> {
        self.subscribers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The gateways that want reports; seeds while there are none, so that one of them learns
    /// that this agent lacks the plan.
    fn gateways(&self) -> Vec<SocketAddr> {
        let subscribers = self.subscribers().active(self.clock.now());
        if subscribers.is_empty() { self.plans.seeds() } else { subscribers }
    }

    /// The gateways whose turn it is to be told.
    fn next_told(&self) -> Vec<SocketAddr> {
        let gateways = self.gateways();
        let tick = self.tick.fetch_add(1, Ordering::Relaxed);
        let mut told = Subscribers::scheduled(&gateways, tick);
        // Who answered last is always told, so that it can answer again.
        let last = self.heard().from.filter(|last| gateways.contains(last));
        told.extend(last.filter(|last| !told.contains(last)));
        told
    }

    /// The gateway that is to answer next: by turns the one that answered last,
    /// which most likely lives, and any other.
    fn next_asked(&self, gateways: &[SocketAddr]) -> Option<SocketAddr> {
        let mut heard = self.heard();
        heard.turn = heard.turn.wrapping_add(1);
        let last = heard.from.filter(|last| gateways.contains(last));
        if last.is_some() && queries_last_responder(heard.turn) {
            return last;
        }
        let number = heard.turn.checked_rem(gateways.len())?;
        gateways.get(number).copied()
    }

    /// The age of the newest word from a gateway; the time since the start, where
    /// none came: a link that was full before is as full after.
    fn deaf(&self, now: Duration) -> Duration {
        now.saturating_sub(self.heard().told.unwrap_or_default())
    }

    /// Takes in that a gateway answered.
    fn on_echo(&self, from: SocketAddr, told: Duration) {
        let mut heard = self.heard();
        heard.told = heard.told.max(Some(told));
        heard.from = Some(from);
    }

    /// Takes in what gateways say.
    pub async fn listen(self: Arc<Self>) {
        let mut buffer = buffer();
        loop {
            match receive(&self.socket, &mut buffer).await {
                Datagram::Echo { from, report_sent_at: told } => self.on_echo(from, told),
                Datagram::Subscribe { from } => self.subscribers().renew(from, self.clock.now()),
                Datagram::Outstanding { from, outstanding, sent_at: sent, decided_before } => {
                    self.tally().apply(from, outstanding, sent, self.clock.now());
                    self.reservations().release_before(from, decided_before);
                }
                Datagram::Query { from, number, sent_at: asked, prompt_tokens: prompt } => {
                    self.answer(from, number, asked, prompt).await;
                }
                Datagram::Hint { from, region, plan_hash: plan }
                    if plan != self.plans.newest().hash() =>
                {
                    let wait = if self.plans.is_local(&region) { Duration::ZERO } else { NEARBY };
                    tokio::spawn(Arc::clone(&self).read_hinted(from, plan, wait));
                }
                _ => {}
            }
        }
    }

    /// Limiter a plan that a gateway hinted at, unless it is known or being read after a wait.
    async fn read_hinted(self: Arc<Self>, from: SocketAddr, plan: u64, wait: Duration) {
        sleep(wait).await;
        if plan == self.plans.newest().hash() {
            return;
        }
        let Some(read) = self.reads.try_acquire() else { return };
        if let Err(error) = self.plans.fetch(from).await {
            tracing::debug!(%from, error = format!("{error:#}"), "reading a plan");
        }
        read.release().await;
    }
}
