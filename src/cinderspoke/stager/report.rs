//! Asking the engine what it does, and telling gateways.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use cinderspoke_ports::gateway::{Engine, EngineReport};
use cinderspoke_schema::settings;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::time::{MissedTickBehavior, interval};

use super::plan::Plans;
use crate::gateway::relay::{self, Datagram, buffer, pack, receive};

/// How often the engine is asked and gateways are told.
const PERIOD: Duration = Duration::from_millis(100);

/// What the engine said last; none while it does not answer.
pub type Latest = Option<EngineReport>;

/// Asks the engine what it does, and tells gateways.
pub struct Reporter {
    own: SocketAddr,
    address: SocketAddr,
    plans: Arc<Plans>,
    engine: Arc<dyn Engine>,
    socket: UdpSocket,
    latest: watch::Sender<Latest>,
    // Cleared while the engine is to take no new requests.
    open: AtomicBool,
}

impl Reporter {
    /// A reporter of the engine beside an agent.
    #[must_use]
    pub fn new(
        own: SocketAddr,
        beside: &settings::Beside,
        plans: Arc<Plans>,
        engine: Arc<dyn Engine>,
        socket: UdpSocket,
    ) -> Self {
        let address = beside.address;
        let (latest, open) = (watch::Sender::new(None), AtomicBool::new(true));
        Self { own, address, plans, engine, socket, latest, open }
    }

    /// What the engine says, as it changes.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Latest> {
        self.latest.subscribe()
    }

    /// Says whether the engine is to get new requests; gateways learn of it at once.
    pub async fn set_open(&self, open: bool) {
        self.open.store(open, Ordering::Relaxed);
        let latest = self.latest.borrow().clone();
        if let Some(report) = latest {
            self.tell(&report).await;
        }
    }

    /// Whether the engine is to get new requests.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.open.load(Ordering::Relaxed)
    }

    /// Asks and tells for as long as the program runs.
    pub async fn report(self: Arc<Self>) {
        let mut ticks = interval(PERIOD);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.ask().await;
        }
    }

    /// Asks the engine once and tells gateways what it said.
    pub async fn ask(&self) {
        match self.engine.report().await {
            Ok(report) => {
                self.tell(&report).await;
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

    async fn tell(&self, report: &EngineReport) {
        let mut load = report.load.clone();
        load.open = self.is_open();
        let datagram = pack(&Datagram::Report {
            from: self.own,
            engine: self.address,
            service: self.plans.service().clone(),
            report: load,
            plan: self.plans.newest().hash(),
        });
        for gateway in self.plans.gateways() {
            relay::send(&self.socket, gateway, &datagram).await;
        }
    }

    /// Reads the plans of which gateways tell.
    pub async fn listen(self: Arc<Self>) {
        let mut buffer = buffer();
        loop {
            if let Datagram::Hint { from, plan } = receive(&self.socket, &mut buffer).await
                && plan != self.plans.newest().hash()
                && let Err(error) = self.plans.fetch(from).await
            {
                tracing::debug!(%from, error = format!("{error:#}"), "reading a plan");
            }
        }
    }
}
