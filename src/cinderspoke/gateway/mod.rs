//! The gateway: forwards callers' requests to endpoints, on an entry instance whose platform
//! stores the configuration, the versions and the list of endpoints.
//!
//! Shared state and its exchange:
//!
//! - [`state`] holds the shared state, with the data behind its lock in [`inner`]. Requests read
//!   it as an immutable [`view`]; the settings in use are its [`options`].
//! - [`follow`] reads the platform's store, one [`source`] per kind of data.
//! - [`relay`] exchanges [`message`]s with other gateways and with [`agents`]. [`facts`] fetches
//!   what another gateway has newer, [`region`] decides from whom to fetch a configuration, and
//!   [`fetch_log`] logs and counts the bytes fetched.
//! - [`subset`] selects the engines whose agents report to this gateway, a [`plan`] is what
//!   agents need to know of their service, and [`outstanding`] sends agents the changes of the
//!   outstanding requests at their engines.
//! - [`versions`] records which model versions are named and since when, [`zones`] which
//!   availability zones are evacuated and which endpoints are cold, [`notices`] what endpoints
//!   announce in their answers, and [`limits`] what they accept from all gateways together.
//!   [`demands`] holds the rates of requests at this gateway and at others.
//!
//! Requests:
//!
//! - [`serve`] accepts requests and reads each [`head`] within a time limit, and [`forward`]
//!   sends them to endpoints: [`parse`] reads the request, [`choose`] selects one of the
//!   [`eligible`] endpoints, under load after a [`query`] to the agents, [`send`] sends over the
//!   connections of a [`pool`], each a [`socket`], and [`answer`] reads the response, of which
//!   [`completeness`] says whether it is whole. A request that no endpoint answers gets a
//!   [`refusal`].
//! - [`stream`] reads an answer that consists of events; [`passthrough`] passes it on and lets
//!   another endpoint resume it.
//! - [`crash`] detects that an endpoint ended during a request, [`suspects`] tracks the requests
//!   during which endpoints ended, and [`quarantine`] keeps in the store which of them are
//!   quarantined.
//! - [`memory`] bounds what answers that are buffered take together.
//! - [`cut`] reports connections that are closed with a request in them.
//! - [`context`] is shared by all requests, a [`target`] holds what is tracked of each endpoint,
//!   and a [`record`] what is logged of each request.

pub mod agents;
pub mod answer;
pub mod choose;
pub mod completeness;
pub mod context;
pub mod crash;
pub mod cut;
pub mod demands;
pub mod eligible;
pub mod endpoints;
pub mod era;
pub mod facts;
pub mod fetch_log;
pub mod follow;
pub mod forward;
pub mod head;
pub mod inner;
pub mod limits;
pub mod memory;
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
pub mod returns;
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
use cinderspoke_ports::gateway::{Dialect, Quarantine, Registry};
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
use crate::util::settings::internal_address;
use crate::util::stop::until;

/// How long a gateway still gets new connections after it reports that it is not ready: the
/// load balancer checks every second and acts on the second failed check.
const DEREGISTRATION: Duration = Duration::from_millis(2600);

/// How long a stopping gateway waits for late connections after it closed the idle ones.
const LATE_CONNECTIONS: Duration = Duration::from_millis(400);

/// How long before the end of its grace period a stopping process exits by itself.
const EXIT_MARGIN: Duration = Duration::from_millis(300);

/// How often a stopping gateway checks for requests and connections that are still open.
const STOP_POLL: Duration = Duration::from_millis(50);

/// What a gateway needs besides its settings.
pub struct Parts {
    /// The platform's store.
    pub registry: Arc<dyn Registry>,
    /// The quarantined requests in the store.
    pub quarantine: Arc<dyn Quarantine>,
    /// The headers and body format of requests.
    pub dialect: Arc<dyn Dialect>,
    /// The HTTP client for other processes of the system.
    pub client: Client,
    /// The process's metrics recorder, if metrics are collected.
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
    /// When the settings are not those of a gateway, or an address cannot be bound.
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
        let inner = listen::tcp(internal_address(settings)).await?;
        let socket = listen::udp(internal_address(settings)).await?;
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
        let quarantine = quarantine::synchronize(Arc::clone(&state), parts.quarantine);
        tokio::spawn(until(stop.clone(), quarantine));
        tracing::info!(instance = %*settings.instance, callers = %listen.callers, "gateway started");
        Ok(Self { context, stop })
    }

    /// Applies new settings, as far as they may change while the gateway runs.
    pub fn reload(&self, settings: &settings::Node) {
        let options = Options::new(settings);
        self.context.memory.set_limit(options.memory);
        self.context.state.set_options(options);
    }

    /// Stops gracefully, without cutting off requests in progress or answers being sent, within the
    /// grace period of the settings.
    pub async fn stop(self) {
        let (began, grace) = (Instant::now(), self.context.state.options().grace);
        let grace_left = grace.saturating_sub(EXIT_MARGIN);
        let end = began + grace_left;
        tracing::info!(in_progress = self.context.in_progress(), "stopping");
        self.context.start_draining(grace_left);
        self.context.state.resign();
        sleep(DEREGISTRATION.min(grace / 2)).await;
        self.context.close_connections();
        let quiet = async {
            sleep(LATE_CONNECTIONS).await;
            while self.context.in_progress() > 0 || self.context.open_connections() > 0 {
                sleep(STOP_POLL).await;
            }
        };
        tokio::select! {
            () = quiet => {}
            () = sleep_until(end) => {}
        }
        let (in_progress, open) = (self.context.in_progress(), self.context.open_connections());
        if open > 0 {
            self.context.end_connections();
            sleep(STOP_POLL).await;
        }
        let took_ms = began.elapsed().as_millis() as u64;
        tracing::info!(in_progress, open, took_ms, "stopped");
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}
