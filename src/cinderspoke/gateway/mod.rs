//! The program on an entry instance of a platform that keeps configuration,
//! versions and the list of endpoints.
//!
//! - [`state`] keeps the facts of its [`inner`] and shows them to requests
//!   in a [`view`]; what it asks of decisions is in [`options`].
//! - [`follow`] learns facts from the platform, each kind from a [`source`]; [`relay`] tells
//!   other gateways and [`agents`] of them in a [`message`], and asks a gateway for [`facts`]
//!   that this one lacks: of configurations, [`region`] says whom, and [`draw`] counts what
//!   they cost. The agents of a [`subset`] of engines report here; what agents have to know is a [`plan`]; of what is [`outstanding`] at their
//!   engines they are told as it changes.
//! - [`serve`] takes callers' requests, whose [`head`] has to come in time, and
//!   [`forward`] brings them to endpoints: [`parse`] reads the request
//!   and [`choose`] name an endpoint, under load after a [`query`] to the agents;
//!   [`send`] sends over the connections of a [`pool`], each a [`socket`], [`answer`]
//!   reads what comes back, and what no endpoint answers ends in a [`refusal`].
//! - [`crash`] finds out whether an endpoint ended under a request, [`suspects`] are
//!   those under which some did; [`quarantine`] keeps in the store which are quarantined for it.
//! - [`stream`] is an answer in events; [`passthrough`] passes it on and has another
//!   endpoint go on with it.
//! - [`versions`] says which versions were named, [`zones`] which availability zones receive nothing, and which endpoints are cold.
//! - [`context`] is what all requests share, [`target`] what is kept of each
//!   endpoint, [`record`] what is logged of each request.

pub mod agents;
pub mod answer;
pub mod choose;
pub mod context;
pub mod crash;
pub mod draw;
pub mod facts;
pub mod follow;
pub mod forward;
pub mod head;
pub mod inner;
pub mod message;
pub mod notices;
pub mod options;
pub mod outstanding;
pub mod parse;
pub mod passthrough;
pub mod plan;
pub mod pool;
pub mod quarantine;
pub mod query;
pub mod record;
pub mod refusal;
pub mod region;
pub mod relay;
pub mod send;
pub mod serve;
pub mod socket;
pub mod source;
pub mod state;
pub mod stream;
pub mod subset;
pub mod suspects;
pub mod target;
pub mod versions;
pub mod view;
pub mod zones;

use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context as _, Result};
use cinderspoke_ports::gateway::{Dialect, Holds, Registry};
use cinderspoke_schema::settings;
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::time::{Instant, sleep, sleep_until};
use tokio_util::sync::CancellationToken;

use self::context::Context;
use self::options::Options;
use self::relay::Relay;
use self::state::State;
use crate::util::clock::Clock;
use crate::util::http::Client;
use crate::util::listen;
use crate::util::settings::inner_address;
use crate::util::stop::until;

/// How long after it says that it is not ready a gateway still gets new
/// connections: the balancer asks each second and believes the second answer.
const UNNOTICED: Duration = Duration::from_millis(2600);

/// How long a gateway that stops waits for late connections after it closed those at rest.
const QUIET: Duration = Duration::from_millis(400);

/// What is left of the time to stop when the process ends by itself.
const MARGIN: Duration = Duration::from_millis(300);

/// How often a gateway that stops looks whether anything is left to wait for.
const LOOK: Duration = Duration::from_millis(50);

/// What a gateway is made of besides its settings.
pub struct Parts {
    /// The platform's store.
    pub registry: Arc<dyn Registry>,
    /// What the store keeps of requests that are held back.
    pub holds: Arc<dyn Holds>,
    /// How requests are spelled.
    pub dialect: Arc<dyn Dialect>,
    /// How other processes of the system are reached.
    pub client: Client,
    /// Where the process's metrics are collected, if they are.
    pub metrics: Option<PrometheusHandle>,
}

/// A running gateway; dropping it ends its tasks.
pub struct Gateway {
    context: Arc<Context>,
    stop: CancellationToken,
}

impl Gateway {
    /// Starts a gateway and listens on the addresses of its settings.
    ///
    /// # Errors
    ///
    /// When it is no gateway by its settings, or cannot listen to an address.
    pub async fn bind(settings: &settings::Node, parts: Parts) -> Result<Self> {
        let listen = settings.listen.as_ref().context("the settings have no listen addresses")?;
        let clock = Clock::start();
        let options = Options::new(settings);
        let state = Arc::new(State::new(settings, options, clock));
        let stop = CancellationToken::new();
        let context = Arc::new(Context::new(Arc::clone(&state), parts.dialect, clock));
        let callers = listen::tcp(listen.callers).await?;
        let ready = listen::tcp(listen.ready).await?;
        let control = listen::tcp(listen.control).await?;
        let inner = listen::tcp(inner_address(settings)).await?;
        let socket = listen::udp(inner_address(settings)).await?;
        tokio::spawn(serve::callers(callers, Arc::clone(&context), stop.clone()));
        for listener in [ready, control] {
            let app = serve::admin(Arc::clone(&context), parts.metrics.clone());
            tokio::spawn(serve::router(listener, app, stop.clone()));
        }
        let relay = Relay::new(settings, Arc::clone(&state), parts.client, socket);
        let relay = Arc::new(relay);
        let app = relay.app().merge(serve::metrics_router(parts.metrics));
        tokio::spawn(serve::router(inner, app, stop.clone()));
        relay.spawn(stop.clone());
        follow::spawn(&state, &parts.registry, settings, stop.clone());
        let quarantine = quarantine::synchronize(Arc::clone(&state), parts.holds);
        tokio::spawn(until(stop.clone(), quarantine));
        tracing::info!(instance = %*settings.instance, callers = %listen.callers, "gateway started");
        Ok(Self { context, stop })
    }

    /// Goes by other settings, in what may change while it runs.
    pub fn reload(&self, settings: &settings::Node) {
        self.context.state.set_options(Options::new(settings));
    }

    /// Stops in order: no request in progress is cut off, and no answer on its way.
    pub async fn stop(self) {
        let (began, grace) = (Instant::now(), self.context.state.options().grace);
        let end = began + grace.saturating_sub(MARGIN);
        tracing::info!(in_progress = self.context.in_progress(), "stopping");
        self.context.start_draining();
        self.context.state.resign();
        sleep(UNNOTICED.min(grace / 2)).await;
        self.context.close_connections();
        let quiet = async {
            sleep(QUIET).await;
            while self.context.in_progress() > 0 || self.context.open_connections() > 0 {
                sleep(LOOK).await;
            }
        };
        tokio::select! {
            () = quiet => {}
            () = sleep_until(end) => {}
        }
        let (in_progress, open) = (self.context.in_progress(), self.context.open_connections());
        let took_ms = began.elapsed().as_millis() as u64;
        tracing::info!(in_progress, open, took_ms, "stopped");
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}
