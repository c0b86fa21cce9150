//! The program on each entry instance.
//!
//! - [`control`] owns the control state and publishes a [`view`] of it.
//! - [`rpc`] answers agents and other entry instances.
//! - [`callers`] answers callers, over the view alone; [`at_most_once`] claims keys.
//! - [`admin`] answers operators; [`apply`] carries out their changes.

pub mod admin;
pub mod apply;
pub mod at_most_once;
pub mod callers;
pub mod control;

pub mod rpc;
pub mod status;
pub mod view;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Result;
use axum::Router;
use cinderspoke_core::coordinator;
use cinderspoke_schema::settings;
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::net::TcpListener;
use tokio::runtime;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::ports::{LiveList, ObjectStore};
use crate::util;
use crate::util::http::Client;

/// How long an entry instance that shuts down still accepts new requests, so that the load balancer
/// in front of it can take it out of rotation first.
const LAME_DUCK_PERIOD: Duration = Duration::from_secs(2);

/// The dependencies of an entry instance.
pub struct Parts {
    /// The platform's object API.
    pub store: Arc<dyn ObjectStore>,
    /// The platform's list of instances.
    pub live_list: Arc<dyn LiveList>,
    /// The HTTP client for calls to other processes.
    pub client: Client,
    /// The metrics recorder; `None` if metrics are not collected.
    pub metrics: Option<PrometheusHandle>,
    /// The runtime of the control tasks.
    pub control: runtime::Handle,
}

/// The routers of an entry instance, one for each listener.
#[derive(Debug, Clone)]
pub struct Routers {
    /// For callers.
    pub callers: Router,
    /// For agents and other entry instances.
    pub control: Router,
    /// For operators.
    pub admin: Router,
}

/// A running entry instance. Dropping it ends its control tasks.
pub struct Entry {
    handle: control::Handle,
    routers: Routers,
    // Cancelled first: `/readyz` then reports that the process is stopping.
    draining: CancellationToken,
    // Cancelled second: the listeners then accept no new connections.
    closing: CancellationToken,
    // Cancelled last: ends the control tasks.
    stop: CancellationToken,
    servers: Vec<JoinHandle<()>>,
}

impl Entry {
    /// Starts the control tasks of an entry instance, without listening yet.
    ///
    /// # Errors
    ///
    /// If an RPC method is registered twice.
    pub fn open(settings: &settings::Entry, parts: Parts) -> Result<Self> {
        let stop = CancellationToken::new();
        let (draining, closing) = (CancellationToken::new(), CancellationToken::new());
        let handle = {
            let _control = parts.control.enter();
            control::spawn(control_parts(settings, &parts, &stop))
        };
        let routers = Routers {
            callers: callers::app(callers::Parts {
                control: handle.clone(),
                client: parts.client,
                store: Arc::clone(&parts.store),
                instance: settings.instance.clone(),
                body_limit: settings.body_limit,
            }),
            control: rpc::app(handle.clone())?,
            admin: admin::app(admin::Context {
                control: handle.clone(),
                store: parts.store,
                draining: draining.clone(),
                metrics: parts.metrics,
            }),
        };
        Ok(Self { handle, routers, draining, closing, stop, servers: Vec::new() })
    }

    /// Listens on the addresses in the settings.
    ///
    /// # Errors
    ///
    /// If an address cannot be bound.
    pub async fn bind(&mut self, settings: &settings::Entry) -> Result<()> {
        let Routers { callers, control, admin } = self.routers.clone();
        for (address, app) in
            [(settings.callers, callers), (settings.control, control), (settings.admin, admin)]
        {
            let (listener, _) = listen(address).await?;
            self.servers.push(serve(listener, app, self.closing.clone()));
        }
        let settings::Entry { callers, control, admin, .. } = settings;
        tracing::info!(%callers, %control, %admin, "entry instance started");
        Ok(())
    }

    /// Returns the routers, for tests that call them without a network.
    #[must_use]
    pub fn routers(&self) -> &Routers {
        &self.routers
    }

    /// Returns the handle of the control task.
    #[must_use]
    pub fn handle(&self) -> &control::Handle {
        &self.handle
    }

    /// Shuts down gracefully: waits until all requests in progress have ended.
    pub async fn stop(mut self) {
        tracing::info!("stopping");
        self.draining.cancel();
        tokio::time::sleep(LAME_DUCK_PERIOD).await;
        self.closing.cancel();
        for server in self.servers.drain(..) {
            // An error means that the server panicked, so it has ended too.
            let _ = server.await;
        }
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        // The control tasks end last, since requests in progress still need a current view.
        self.stop.cancel();
    }
}

fn control_parts(
    settings: &settings::Entry,
    parts: &Parts,
    stop: &CancellationToken,
) -> control::Parts {
    control::Parts {
        store: Arc::clone(&parts.store),
        live_list: Arc::clone(&parts.live_list),
        client: parts.client.clone(),
        peers: settings.peers.clone(),
        location: view::Location { zone: settings.zone.clone(), region: settings.region.clone() },
        settings: coordinator::Settings {
            instance: settings.instance.clone(),
            zone: settings.zone.clone(),
            heartbeat: Duration::from_millis(settings.heartbeat_ms),
            lease: Duration::from_millis(settings.lease_ms),
        },
        stop: stop.clone(),
    }
}

/// Listens on an address and returns the bound address, whose port differs if the given one is 0.
///
/// # Errors
///
/// If the address cannot be bound.
pub async fn listen(address: SocketAddr) -> Result<(TcpListener, SocketAddr)> {
    let listener = util::listen::tcp(address).await?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

/// Serves connections until `closing` is cancelled, then waits for all requests in progress.
pub fn serve(listener: TcpListener, app: Router, closing: CancellationToken) -> JoinHandle<()> {
    use axum::serve::ListenerExt;
    let listener = listener.tap_io(|stream| {
        // Otherwise Nagle's algorithm delays the small chunks of streamed answers.
        let _ = stream.set_nodelay(true);
    });
    tokio::spawn(async move {
        let serving = axum::serve(listener, app).with_graceful_shutdown(closing.cancelled_owned());
        if let Err(error) = serving.await {
            tracing::error!(%error, "listener failed");
        }
    })
}
