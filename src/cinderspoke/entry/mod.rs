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

/// How long an entry instance that stops still takes new requests, so that
/// the balancer in front of it can turn away first.
const LAME_DUCK: Duration = Duration::from_secs(2);

/// What an entry instance is made of besides its settings.
pub struct Parts {
    /// The platform's object API.
    pub store: Arc<dyn ObjectStore>,
    /// The platform's list of instances.
    pub live_list: Arc<dyn LiveList>,
    /// How other processes are reached.
    pub client: Client,
    /// Where the process's metrics are collected, if they are.
    pub metrics: Option<PrometheusHandle>,
    /// Where control tasks run.
    pub control: runtime::Handle,
}

/// What an entry instance answers, by listener.
#[derive(Debug, Clone)]
pub struct Routers {
    /// For callers.
    pub callers: Router,
    /// For agents and other entry instances.
    pub control: Router,
    /// For operators.
    pub admin: Router,
}

/// A running entry instance; dropping it ends its control tasks.
pub struct Entry {
    handle: control::Handle,
    routers: Routers,
    // Cancelled first: the process reports itself as not ready.
    draining: CancellationToken,
    // Cancelled second: no new connections are taken.
    closing: CancellationToken,
    // Cancelled last: control ends.
    stop: CancellationToken,
    servers: Vec<JoinHandle<()>>,
}

impl Entry {
    /// Starts an entry instance that does not listen yet.
    ///
    /// # Errors
    ///
    /// When its routes contradict each other.
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

    /// Listens on the addresses of the settings.
    ///
    /// # Errors
    ///
    /// When an address cannot be listened to.
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

    /// What it answers, by listener.
    #[must_use]
    pub fn routers(&self) -> &Routers {
        &self.routers
    }

    /// The running control task.
    #[must_use]
    pub fn handle(&self) -> &control::Handle {
        &self.handle
    }

    /// Stops in order: no request in progress is cut off.
    pub async fn stop(mut self) {
        tracing::info!("stopping");
        self.draining.cancel();
        tokio::time::sleep(LAME_DUCK).await;
        self.closing.cancel();
        for server in self.servers.drain(..) {
            // A server that panicked has ended as well.
            let _ = server.await;
        }
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        // Control ends last: requests in progress still count on its view.
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

/// Listens on an address, and gives the one it became where the port was 0.
///
/// # Errors
///
/// When the address cannot be listened to.
pub async fn listen(address: SocketAddr) -> Result<(TcpListener, SocketAddr)> {
    let listener = util::listen::tcp(address).await?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

/// Serves until cancelled, then until every request in progress has ended.
pub fn serve(listener: TcpListener, app: Router, closing: CancellationToken) -> JoinHandle<()> {
    use axum::serve::ListenerExt;
    let listener = listener.tap_io(|stream| {
        // Without it, small pieces of a stream wait for each other.
        let _ = stream.set_nodelay(true);
    });
    tokio::spawn(async move {
        let serving = axum::serve(listener, app).with_graceful_shutdown(closing.cancelled_owned());
        if let Err(error) = serving.await {
            tracing::error!(%error, "a listener failed");
        }
    })
}
