//! Polls the engine, sends load reports to gateways, and answers their datagrams.

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

/// How often the engine is polled and reports are sent.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// How long a hint from a gateway of another region is held: gateways of the own region hint soon
/// after, and reading the plan there spares the link that all traffic between regions shares.
const OTHER_REGION_DELAY: Duration = Duration::from_millis(80);

/// The engine's latest report; none while the engine does not answer.
pub type Latest = Option<EngineReport>;

/// Polls the engine and sends load reports to gateways.
pub struct Reporter {
    own: SocketAddr,
    address: SocketAddr,
    plans: Arc<Plans>,
    engine: Arc<dyn Engine>,
    socket: UdpSocket,
    clock: Clock,
    // A random number that identifies this run of the agent.
    process: u64,
    latest: watch::Sender<Latest>,
    // False while the engine is to receive no new requests.
    accepts_requests: AtomicBool,
    // Counts the engine's answers; selects the gateways that a report is scheduled for.
    tick: AtomicUsize,
    last_echo: Mutex<LastEcho>,
    // The gateways that receive reports.
    subscribers: Mutex<Subscribers>,
    // The requests that gateways have outstanding at the engine.
    tally: Mutex<Tally>,
    // Reservations of gateways that queried the engine.
    reservations: Mutex<reservation::Table>,
    // The state of the instance's link, as transfers of chunks observe it.
    link: Arc<Mutex<Link>>,
    reads: Limiter,
}

/// The newest echo from a gateway.
#[derive(Debug, Default)]
struct LastEcho {
    // The time on this agent's clock when the echoed report was sent; none before the first echo.
    report_sent_at: Option<Duration>,
    // The gateway that sent the echo.
    from: Option<SocketAddr>,
    // Counts the requests for an echo; rotates them among gateways.
    rotation: usize,
}

impl Reporter {
    /// Creates a reporter for the engine beside an agent.
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
        Self {
            own,
            address,
            plans,
            engine,
            socket,
            clock: Clock::start(),
            process: rand::random(),
            latest: watch::Sender::new(None),
            accepts_requests: AtomicBool::new(true),
            tick: AtomicUsize::new(0),
            last_echo: Mutex::default(),
            subscribers: Mutex::default(),
            tally: Mutex::default(),
            reservations: Mutex::default(),
            link,
            reads: Limiter::default(),
        }
    }

    /// Subscribes to the engine's reports.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Latest> {
        self.latest.subscribe()
    }

    /// Sets whether the engine is to receive new requests, and reports it to gateways at once.
    pub async fn set_accepts_requests(&self, accepts_requests: bool) {
        self.accepts_requests.store(accepts_requests, Ordering::Relaxed);
        let latest = self.latest.borrow().clone();
        if let Some(report) = latest {
            self.send_reports(&report, self.gateways()).await;
        }
    }

    /// Whether the engine is to receive new requests.
    #[must_use]
    pub fn accepts_requests(&self) -> bool {
        self.accepts_requests.load(Ordering::Relaxed)
    }

    /// Polls the engine and sends reports for as long as the process runs.
    pub async fn run(self: Arc<Self>) {
        let mut ticks = interval(REPORT_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.poll_engine().await;
        }
    }

    /// Polls the engine once and sends its report to the gateways scheduled for it.
    pub async fn poll_engine(&self) {
        match self.engine.report().await {
            Ok(report) => {
                self.send_reports(&report, self.next_recipients()).await;
                self.latest.send_replace(Some(report));
            }
            Err(error) => {
                let had_answered = self.latest.send_replace(None).is_some();
                if had_answered {
                    tracing::warn!(%error, "engine lost");
                }
            }
        }
    }

    /// Sends a report of the engine to gateways, and requests an echo from one of them.
    async fn send_reports(&self, report: &EngineReport, gateways: Vec<SocketAddr>) {
        let echoing = self.next_echoing(&gateways);
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
            send(&self.socket, gateway, &datagram(Some(gateway) == echoing, others)).await;
        }
    }

    /// The engine's load, with the state that this agent adds to it.
    fn load(&self, report: &EngineReport, now: Duration) -> Report {
        Report {
            accepts_requests: self.accepts_requests(),
            last_contact_age: self.last_contact_age(now),
            is_congested: self.is_congested(now),
            process: self.process,
            ..report.load.clone()
        }
    }

    /// The outstanding requests and reservations of all gateways but one.
    fn others(&self, all: Outstanding, gateway: SocketAddr, now: Duration) -> Outstanding {
        let reserved = self.reservations().others(gateway, now);
        self.tally().others(all, gateway, now).plus(reserved)
    }

    /// Answers a gateway's query with the engine's load, and makes a reservation for its request.
    async fn answer_query(
        &self,
        gateway: SocketAddr,
        number: u64,
        sent_at: Duration,
        prompt_tokens: u32,
    ) {
        let Some(report) = self.latest.borrow().clone() else { return };
        let now = self.clock.now();
        let all = self.tally().total(now);
        let others = self.others(all, gateway, now);
        self.reservations().reserve(gateway, sent_at, prompt_tokens, now);
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

    fn last_echo(&self) -> MutexGuard<'_, LastEcho> {
        self.last_echo.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether traffic over the instance's link may be delayed by seconds.
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

    /// The gateways that subscribe to reports; the seeds while there are none, so that one of
    /// them sees that this agent lacks the plan.
    fn gateways(&self) -> Vec<SocketAddr> {
        let subscribers = self.subscribers().active(self.clock.now());
        if subscribers.is_empty() { self.plans.seeds() } else { subscribers }
    }

    /// The gateways that the next report is scheduled for.
    fn next_recipients(&self) -> Vec<SocketAddr> {
        let gateways = self.gateways();
        let tick = self.tick.fetch_add(1, Ordering::Relaxed);
        let mut recipients = Subscribers::scheduled(&gateways, tick);
        // The gateway of the last echo receives every report, so that it can echo again.
        let last = self.last_echo().from.filter(|last| gateways.contains(last));
        recipients.extend(last.filter(|last| !recipients.contains(last)));
        recipients
    }

    /// The gateway from which the next echo is requested: alternately the one that sent the last
    /// echo, which most likely still runs, and any other.
    fn next_echoing(&self, gateways: &[SocketAddr]) -> Option<SocketAddr> {
        let mut last_echo = self.last_echo();
        last_echo.rotation = last_echo.rotation.wrapping_add(1);
        let last = last_echo.from.filter(|last| gateways.contains(last));
        if last.is_some() && queries_last_responder(last_echo.rotation) {
            return last;
        }
        let number = last_echo.rotation.checked_rem(gateways.len())?;
        gateways.get(number).copied()
    }

    /// The age of the newest report that a gateway has echoed. Before the first echo, the time
    /// since the start: a link that was congested before the agent started still is.
    fn last_contact_age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.last_echo().report_sent_at.unwrap_or_default())
    }

    /// Records the echo of a report.
    fn record_echo(&self, from: SocketAddr, report_sent_at: Duration) {
        let mut last_echo = self.last_echo();
        last_echo.report_sent_at = last_echo.report_sent_at.max(Some(report_sent_at));
        last_echo.from = Some(from);
    }

    /// Receives and handles gateways' datagrams for as long as the process runs.
    pub async fn listen(self: Arc<Self>) {
        let mut buffer = buffer();
        loop {
            match receive(&self.socket, &mut buffer).await {
                Datagram::Echo { from, report_sent_at } => self.record_echo(from, report_sent_at),
                Datagram::Subscribe { from } => self.subscribers().renew(from, self.clock.now()),
                Datagram::Outstanding { from, outstanding, sent_at, decided_before } => {
                    self.tally().apply(from, outstanding, sent_at, self.clock.now());
                    self.reservations().release_before(from, decided_before);
                }
                Datagram::Query { from, number, sent_at, prompt_tokens } => {
                    self.answer_query(from, number, sent_at, prompt_tokens).await;
                }
                Datagram::Hint { from, region, plan_hash } if !self.plans.is_known(plan_hash) => {
                    let is_local = self.plans.is_local(&region);
                    let delay = if is_local { Duration::ZERO } else { OTHER_REGION_DELAY };
                    tokio::spawn(Arc::clone(&self).read_hinted(from, plan_hash, delay));
                }
                _ => {}
            }
        }
    }

    /// Reads a plan that a gateway hinted at, unless it is known after a delay or the limit of
    /// concurrent reads is reached.
    async fn read_hinted(self: Arc<Self>, from: SocketAddr, plan_hash: u64, delay: Duration) {
        sleep(delay).await;
        if self.plans.is_known(plan_hash) {
            return;
        }
        let Some(permit) = self.reads.try_acquire() else { return };
        if let Err(error) = self.plans.fetch(from).await {
            tracing::debug!(%from, error = format!("{error:#}"), "failed to read a plan");
        }
        permit.release().await;
    }
}
