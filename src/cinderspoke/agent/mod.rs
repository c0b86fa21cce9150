//! The agent beside each endpoint.
//!
//! - [`control`] owns the instance's replicas and exchanges heartbeats with the entry instances of
//!   the availability zone; it alone sends orders to the endpoint.
//! - [`transfer`] fetches chunks into the [`cache`], each by [`fetch`]; `holdings` follows which
//!   chunks the peers hold, and [`peers`] serves chunks to them.
//! - [`requests`] forwards requests that [`serving`] admits to the endpoint.

pub mod cache;
pub mod control;
pub mod fetch;
pub mod finding;
mod holdings;
pub mod peers;
pub mod requests;
pub mod serving;
pub mod transfer;

use std::sync::Arc;
use std::time::Duration;

use anyhow::Result;
use axum::Router;
use axum::extract::DefaultBodyLimit;
use axum::extract::State;
use axum::routing::{any, get};
use cinderspoke_core::transfer::{ORIGIN_DOWNLOADS, Policy, SOURCE_BACKOFF};
use cinderspoke_schema::control::{Kind, Peer};
use cinderspoke_schema::settings;
use cinderspoke_types::digest::Digest;
use cinderspoke_types::size::Bytes;
use http::StatusCode;
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::runtime;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use self::finding::Findings;
use crate::endpoint::{Error, ModelEngine, PlainService};
use crate::entry::{listen, serve};
use crate::ports::{Origin, WeightStore};
use crate::util::clock::{Clock, incarnation};
use crate::util::http::Client;
use crate::util::pacer::Pacer;

/// For how many heartbeats a draining agent still accepts requests, so that entry instances can
/// stop sending first.
const LAME_DUCK_HEARTBEATS: u32 = 3;

/// The endpoint beside the agent.
#[derive(Clone)]
pub enum Endpoint {
    /// A model engine.
    Model(Arc<dyn ModelEngine>),
    /// A plain service.
    Plain(Arc<dyn PlainService>),
}

/// The dependencies of an [`Agent`].
pub struct Parts {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// The store of manifests.
    pub weight_store: Arc<dyn WeightStore>,
    /// The source of chunks that no peer holds yet.
    pub origin: Arc<dyn Origin>,
    /// The policy by which transfers choose chunks.
    pub policy: Policy,
    /// The client for calls to other processes.
    pub client: Client,
    /// The process's metrics recorder, if metrics are served.
    pub metrics: Option<PrometheusHandle>,
    /// The runtime of control tasks.
    pub control: runtime::Handle,
}

/// The state that an agent's tasks share.
pub struct Shared {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// The chunks of weights in memory.
    pub cache: Arc<cache::Cache>,
    /// The services whose requests are admitted.
    pub serving: Arc<serving::Table>,
    /// Keeps transfers below the link's rate.
    pub pacer: Arc<Pacer>,
    /// Serves chunks to peers.
    pub uploader: Arc<peers::Uploader>,
}

impl Shared {
    /// The model engine beside the agent.
    ///
    /// # Errors
    ///
    /// When the endpoint is a plain service.
    pub fn engine(&self) -> Result<&dyn ModelEngine, Error> {
        match &self.endpoint {
            Endpoint::Model(engine) => Ok(engine.as_ref()),
            Endpoint::Plain(_) => Err(Error::NotRun("the endpoint is a plain service".into())),
        }
    }
}

/// An agent's routes, by listener.
#[derive(Debug, Clone)]
pub struct Routers {
    /// The routes for entry instances and peers.
    pub main: Router,
    /// The routes for metrics and health checks.
    pub admin: Router,
}

/// A running agent; dropping it stops its control tasks.
pub struct Agent {
    shared: Arc<Shared>,
    routers: Routers,
    heartbeat: Duration,
    draining: CancellationToken,
    closing: CancellationToken,
    stop: CancellationToken,
    servers: Vec<JoinHandle<()>>,
}

impl Agent {
    /// Starts an agent's control tasks. It does not listen until [`Agent::bind`].
    #[must_use]
    pub fn open(settings: &settings::Agent, parts: Parts) -> Self {
        let tokens = || CancellationToken::new();
        let (draining, closing, stop) = (tokens(), tokens(), tokens());
        let shared = Arc::new(shared(settings, parts.endpoint));

        let transfers =
            Arc::new(transfers(settings, &shared, parts.origin, parts.policy, parts.client));
        let heartbeat = Duration::from_millis(settings.heartbeat_ms);
        {
            let _control = parts.control.enter();
            control::spawn(control::Parts {
                identity: identity(settings),
                shared: Arc::clone(&shared),
                transfers,
                weight_store: parts.weight_store,
                entries: settings.entries.clone(),
                heartbeat,
                draining: draining.clone(),
                stop: stop.clone(),
            });
        }
        let routers = Routers {
            main: app(Arc::clone(&shared)),
            admin: admin_app(draining.clone(), parts.metrics),
        };
        Self { shared, routers, heartbeat, draining, closing, stop, servers: Vec::new() }
    }

    /// Listens on the addresses in the settings.
    ///
    /// # Errors
    ///
    /// When binding an address fails.
    pub async fn bind(&mut self, settings: &settings::Agent) -> Result<()> {
        let Routers { main, admin } = self.routers.clone();
        for (address, app) in [(settings.listen, main), (settings.admin, admin)] {
            let (listener, _) = listen(address).await?;
            self.servers.push(serve(listener, app, self.closing.clone()));
        }
        tracing::info!(address = %settings.listen, instance = %settings.instance, "agent started");
        Ok(())
    }

    /// The agent's routes, by listener.
    #[must_use]
    pub fn routers(&self) -> &Routers {
        &self.routers
    }

    /// The number of a version's chunks in the cache and its total number of chunks; `None` if the
    /// cache does not track the version.
    #[must_use]
    pub fn progress(&self, manifest: Digest) -> Option<(usize, usize)> {
        self.shared.cache.progress(manifest)
    }

    /// The bytes of weights fetched and served to peers in all.
    #[must_use]
    pub fn carried(&self) -> Bytes {
        self.shared.pacer.total()
    }

    /// Stops gracefully: drains first, so that no request in progress is aborted.
    pub async fn stop(mut self) {
        tracing::info!("stopping");
        self.draining.cancel();
        tokio::time::sleep(self.heartbeat * LAME_DUCK_HEARTBEATS).await;
        self.shared.serving.close();
        self.shared.serving.wait_idle().await;
        self.closing.cancel();
        for server in self.servers.drain(..) {
            // Fails only if the server panicked, and then it has stopped as well.
            let _ = server.await;
        }
    }
}

impl Drop for Agent {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

/// Creates the state that traffic and control tasks share.
fn shared(settings: &settings::Agent, endpoint: Endpoint) -> Shared {
    let cache = Arc::new(cache::Cache::new(settings.chunk_memory));
    let pacer = Arc::new(Pacer::new(settings.link_rate));
    let uploads = settings.uploads.get() as usize;
    let (shared_cache, shared_pacer) = (Arc::clone(&cache), Arc::clone(&pacer));
    let uploader = peers::Uploader::new(shared_cache, shared_pacer, uploads, Duration::ZERO);
    let uploader = Arc::new(uploader);
    Shared { endpoint, cache, serving: Arc::default(), pacer, uploader }
}

/// Creates the context that all transfers share.
fn transfers(
    settings: &settings::Agent,
    shared: &Shared,
    origin: Arc<dyn Origin>,
    policy: Policy,
    client: Client,
) -> transfer::Context {
    transfer::Context {
        cache: Arc::clone(&shared.cache),
        origin,
        client,
        pacer: Arc::clone(&shared.pacer),
        policy,
        link_rate: settings.link_rate,
        max_downloads: settings.downloads.get() as usize,
        max_origin_downloads: ORIGIN_DOWNLOADS,
        origin_spacing: Duration::ZERO,
        source_backoff: SOURCE_BACKOFF,
        timeouts: fetch::Timeouts::default(),
        slow_chunk: None,
        link: Arc::default(),
        initial_holdings_wait: Duration::ZERO,
        clock: Clock::start(),
        began: None,
        findings: Findings::default(),
    }
}

fn identity(settings: &settings::Agent) -> control::Identity {
    let endpoint = &settings.endpoint;
    control::Identity {
        peer: Peer {
            instance: settings.instance.clone(),
            zone: settings.zone.clone(),
            region: settings.region.clone(),
            address: settings.listen,
        },
        incarnation: incarnation(),
        kind: match endpoint.kind {
            settings::EndpointKind::Model => Kind::Model,
            settings::EndpointKind::Plain => Kind::Plain,
        },
        service: endpoint.service.clone(),
        memory: endpoint.memory,
    }
}

fn app(shared: Arc<Shared>) -> Router {
    let peers = peers::app(Arc::clone(&shared.uploader));
    Router::new()
        .route("/v1/requests/{service}/", any(requests::handle))
        .route("/v1/requests/{service}/{*path}", any(requests::handle))
        // The entry instance that forwards a request has limited its size.
        .layer(DefaultBodyLimit::disable())
        .with_state(shared)
        .merge(peers)
}

fn admin_app(draining: CancellationToken, metrics: Option<PrometheusHandle>) -> Router {
    let ready = |State(draining): State<CancellationToken>| async move {
        match draining.is_cancelled() {
            true => (StatusCode::SERVICE_UNAVAILABLE, "stopping"),
            false => (StatusCode::OK, "ready"),
        }
    };
    let scrape = || async move { metrics.map(|metrics| metrics.render()).unwrap_or_default() };
    Router::new()
        .route("/metrics", get(scrape))
        .route("/healthz", get(|| async { "ok" }))
        .route("/readyz", get(ready))
        .with_state(draining)
}
