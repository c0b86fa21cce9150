//! The agent beside a model engine on a platform that decides which versions run.
//!
//! - [`report`] polls the engine often, which costs the engine nothing, sends load reports to
//!   gateways, and receives their hints at new plans.
//! - [`plan`] holds the service's plan as gateways serve it, and the version desired by it;
//!   `reads` limits how many copies of a plan are read at once.
//! - [`fetch`] installs the desired version in the engine: `listings` finds the digests of its
//!   chunks, `review` looks for what speaks against them, `collect` fetches the chunks from peers (`swarm`) and the origin (`source`), and
//!   `load` has the engine switch over to them in its rollout wave. `chunks` stages and verifies
//!   them, `order` sends the engine an order, and `trust` records whether the weights that the
//!   engine has loaded are known to be whole.

mod chunks;
mod collect;
pub mod fetch;
mod listings;
mod load;
mod order;
pub mod plan;
mod reads;
pub mod report;
mod review;
mod source;
mod swarm;
mod trust;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use anyhow::{Context as _, Result};
use cinderspoke_core::gateway::link::{Link, SLOW_CHUNK};
use cinderspoke_core::transfer::Policy;
use cinderspoke_ports::gateway::{Engine, Origin};
use cinderspoke_schema::settings;
use cinderspoke_types::rate::ByteRate;
use cinderspoke_types::size::Bytes;
use metrics_exporter_prometheus::PrometheusHandle;
use tokio_util::sync::CancellationToken;

use self::collect::Collector;
use self::fetch::Fetcher;
use self::listings::Listings;
use self::plan::Plans;
use self::report::Reporter;
use self::source::NoOrigin;
use self::swarm::peer;
use crate::agent::cache::Cache;
use crate::agent::fetch::Timeouts;
use crate::agent::finding::Findings;
use crate::agent::peers::{self, Uploader};
use crate::agent::transfer;
use crate::gateway::serve;
use crate::util::clock::Clock;
use crate::util::http::Client;
use crate::util::listen;
use crate::util::pacer::Pacer;
use crate::util::settings::internal_address;
use crate::util::stop;

/// The number of versions whose chunks are cached: the one that runs, the one being fetched,
/// and one that was abandoned for it.
const CACHED_VERSIONS: u64 = 3;

/// Memory for one version's chunks. A larger version is cached nevertheless, on its own.
const VERSION_MEMORY_BYTES: u64 = 8 << 20;

/// The most chunks uploaded at once: more would delay the engine's own answers, which use the
/// same link.
const UPLOADS: usize = 2;

/// How long a peer's request waits for another upload to finish.
const UPLOAD_QUEUE_TIMEOUT: Duration = Duration::from_millis(400);

/// The share of the link that uploads of chunks may use: the engine's events use the same link
/// and must not queue behind chunks.
const UPLOAD_SHARE: f64 = 0.88;

/// The most chunks downloaded at once.
const DOWNLOADS: usize = 6;

/// The most chunks downloaded from the origin at once: it accepts few connections.
const ORIGIN_DOWNLOADS: usize = 1;

/// How long no chunk is requested from a source after it failed. Short, since fetching a whole
/// version takes only a few seconds.
const SOURCE_BACKOFF: Duration = Duration::from_millis(250);

/// Timeouts for peers: a chunk may wait behind others for [`UPLOAD_QUEUE_TIMEOUT`], and its
/// transfer takes a small part of that.
const TIMEOUTS: Timeouts =
    Timeouts { chunk: Duration::from_millis(1000), wait: Duration::from_millis(700) };

/// How long a transfer waits for its neighbours' holdings before it starts to fetch.
const INITIAL_HOLDINGS_WAIT: Duration = Duration::from_millis(40);

/// Connects to the origin at an address.
pub type OpenOrigin = Arc<dyn Fn(SocketAddr) -> Arc<dyn Origin> + Send + Sync>;

/// The dependencies of an [`Agent`].
pub struct Parts {
    /// The engine on this instance.
    pub engine: Arc<dyn Engine>,
    /// Connects to origins.
    pub open_origin: OpenOrigin,
    /// The client for calls to other processes of the system.
    pub client: Client,
    /// The process's metrics recorder, if metrics are served.
    pub metrics: Option<PrometheusHandle>,
}

/// A running agent; dropping it stops its tasks.
pub struct Agent {
    plans: Arc<Plans>,
    reporter: Arc<Reporter>,
    // Limits the rate of uploads.
    upload_pacer: Arc<Pacer>,
    stop: CancellationToken,
}

impl Agent {
    /// Starts the agent and listens on the addresses in its settings.
    ///
    /// # Errors
    ///
    /// When the settings name no engine, or binding an address fails.
    pub async fn bind(settings: &settings::Node, parts: Parts) -> Result<Self> {
        let beside =
            settings.beside.as_ref().context("the settings contain no engine (`beside`)")?;
        let own = internal_address(settings);
        let listener = listen::tcp(own).await?;
        let socket = listen::udp(own).await?;
        let stop = CancellationToken::new();
        let cache = Arc::new(Cache::new(Bytes::new(CACHED_VERSIONS * VERSION_MEMORY_BYTES)));
        let service = beside.service.as_str().into();
        let plans = Arc::new(Plans::new(settings, service, parts.client.clone()));
        let (shared_cache, shared_plans) = (Arc::clone(&cache), Arc::clone(&plans));
        let listings = Arc::new(Listings::new(shared_cache, shared_plans, parts.client.clone()));
        let upload_pacer = Arc::new(Pacer::new(upload_rate(settings)));
        let (shared_cache, pacer) = (Arc::clone(&cache), Arc::clone(&upload_pacer));
        let uploader = Uploader::new(shared_cache, pacer, UPLOADS, UPLOAD_QUEUE_TIMEOUT);
        let app = peers::app(Arc::new(uploader))
            .merge(listings.app())
            .merge(serve::metrics_router(parts.metrics));
        tokio::spawn(serve::router(listener, app, stop.clone()));
        let (shared_plans, engine) = (Arc::clone(&plans), Arc::clone(&parts.engine));
        let link = Arc::default();
        let reporter =
            Arc::new(Reporter::new(own, beside, shared_plans, engine, Arc::clone(&link), socket));
        let collector = Collector {
            own: peer(own.ip(), own.port(), &settings.zone, &settings.region),
            port: own.port(),
            plans: Arc::clone(&plans),
            engine: parts.engine,
            open_origin: parts.open_origin,
            transfers: transfers(cache, link, parts.client),
            listings,
        };
        let fetcher = Fetcher::new(Arc::clone(&reporter), collector);
        tokio::spawn(stop::until(stop.clone(), Arc::clone(&reporter).run()));
        tokio::spawn(stop::until(stop.clone(), Arc::clone(&reporter).listen()));
        tokio::spawn(stop::until(stop.clone(), fetcher.run()));
        tracing::info!(instance = %*settings.instance, engine = %beside.address, "agent started");
        Ok(Self { plans, reporter, upload_pacer, stop })
    }

    /// The plan that the agent follows.
    #[must_use]
    pub fn plans(&self) -> &Plans {
        &self.plans
    }

    /// Whether the engine is to receive new requests.
    #[must_use]
    pub fn accepts_requests(&self) -> bool {
        self.reporter.accepts_requests()
    }

    /// Applies changed settings, as far as they may change while the agent runs.
    pub fn reload(&self, settings: &settings::Node) {
        self.plans.reload(settings);
        self.upload_pacer.set_rate(upload_rate(settings));
    }

    /// Stops the agent at once, without draining: peers fetch chunks from other agents.
    pub fn stop(self) {
        tracing::info!("stopped");
    }
}

/// The context that all transfers share.
fn transfers(cache: Arc<Cache>, link: Arc<Mutex<Link>>, client: Client) -> transfer::Context {
    transfer::Context {
        cache,
        origin: Arc::new(NoOrigin),
        client,
        // Downloads are not paced: the uploading peers limit their rate, and the two directions
        // of a link are independent.
        pacer: Arc::new(Pacer::new(None)),
        policy: Policy::default(),
        link_rate: None,
        max_downloads: DOWNLOADS,
        max_origin_downloads: ORIGIN_DOWNLOADS,
        origin_spacing: Duration::ZERO,
        source_backoff: SOURCE_BACKOFF,
        timeouts: TIMEOUTS,
        slow_chunk: Some(SLOW_CHUNK),
        link,
        initial_holdings_wait: INITIAL_HOLDINGS_WAIT,
        clock: Clock::start(),
        began: None,
        findings: Findings::default(),
    }
}

/// The rate limit for uploads of chunks.
fn upload_rate(settings: &settings::Node) -> Option<ByteRate> {
    ByteRate::new(Bytes::new((link_rate(settings) * UPLOAD_SHARE) as u64))
}

/// The capacity of the instance's link, in bytes per second.
fn link_rate(settings: &settings::Node) -> f64 {
    const BYTES_IN_MEGABIT: f64 = 125_000.0;
    settings.limits.link_mbps * BYTES_IN_MEGABIT
}

impl Drop for Agent {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}
