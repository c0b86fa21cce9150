//! The program beside a model engine of a platform that names the versions.
//!
//! - [`report`] asks the engine what it does, often and free of charge, tells
//!   gateways of it, and learns from them what is wanted.
//! - [`plan`] is what gateways tell of the service, and the version wanted by it;
//!   `reads` bounds how many copies of it are read at once.
//! - [`fetch`] brings that version into the engine: `listings` find out of which
//!   chunks it consists, `collect` draws them from peers (`swarm`) and the origin
//!   (`source`), and `load` stages them whole and checked, and has the engine go
//!   over to them in its turn.

mod collect;
pub mod fetch;
mod listings;
mod load;
pub mod plan;
mod reads;
pub mod report;
mod source;
mod swarm;

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
use crate::agent::peers::{self, Uploader};
use crate::agent::transfer;
use crate::gateway::serve;
use crate::util::clock::Clock;
use crate::util::http::Client;
use crate::util::listen;
use crate::util::pacer::Pacer;
use crate::util::settings::internal_address;
use crate::util::stop;

/// The versions whose chunks are kept in memory: the one that runs, the one
/// that comes, and one that was given up for it.
const KEPT_VERSIONS: u64 = 3;

/// Memory for a version's chunks; larger ones are kept all the same, alone.
const VERSION_MEMORY: u64 = 8 << 20;

/// How many chunks are given at once: more would hold up the engine's own
/// answers, which go over the same link.
const UPLOADS: usize = 2;

/// How long a peer may wait until other chunks have been given.
const QUEUE: Duration = Duration::from_millis(400);

/// The part of the link that chunks may take on their way out: the engine's
/// events go over it too, and must not queue behind them.
const UPLOAD_PART: f64 = 0.88;

/// How many chunks are fetched at once.
const DOWNLOADS: usize = 6;

/// How many chunks are fetched from the origin at once: it takes few connections.
const ORIGIN_DRAWS: usize = 1;

/// How long a source that failed is left alone: a whole version takes a few seconds.
const PENALTY: Duration = Duration::from_millis(250);

/// How long peers may take: a chunk waits behind others for as long as the
/// queue allows, and then takes a small part of that.
const TIMEOUTS: Timeouts =
    Timeouts { chunk: Duration::from_millis(1000), wait: Duration::from_millis(700) };

/// How long neighbours have to say what they hold.
const INTRODUCTION: Duration = Duration::from_millis(40);

/// How an origin is reached, by its address.
pub type OpenOrigin = Arc<dyn Fn(SocketAddr) -> Arc<dyn Origin> + Send + Sync>;

/// What the program is made of besides its settings.
pub struct Parts {
    /// The engine on this instance.
    pub engine: Arc<dyn Engine>,
    /// How origins are reached.
    pub open_origin: OpenOrigin,
    /// How other processes of the system are reached.
    pub client: Client,
    /// Where the process's metrics are collected, if they are.
    pub metrics: Option<PrometheusHandle>,
}

/// The running program; dropping it ends its tasks.
pub struct Agent {
    plans: Arc<Plans>,
    // What chunks go out by.
    out: Arc<Pacer>,
    stop: CancellationToken,
}

impl Agent {
    /// Starts the program and listens on the addresses of its settings.
    ///
    /// # Errors
    ///
    /// When no engine is beside it by its settings, or an address cannot be listened to.
    pub async fn bind(settings: &settings::Node, parts: Parts) -> Result<Self> {
        let beside =
            settings.beside.as_ref().context("the settings contain no engine (`beside`)")?;
        let own = internal_address(settings);
        let listener = listen::tcp(own).await?;
        let socket = listen::udp(own).await?;
        let stop = CancellationToken::new();
        let cache = Arc::new(Cache::new(Bytes::new(KEPT_VERSIONS * VERSION_MEMORY)));
        let listings = Arc::new(Listings::new(parts.client.clone()));
        let out = Arc::new(Pacer::new(upload_rate(settings)));
        let uploader = Uploader::new(Arc::clone(&cache), Arc::clone(&out), UPLOADS, QUEUE);
        let app = peers::app(Arc::new(uploader))
            .merge(listings.app())
            .merge(serve::metrics_router(parts.metrics));
        tokio::spawn(serve::router(listener, app, stop.clone()));
        let service = beside.service.as_str().into();
        let plans = Arc::new(Plans::new(settings, service, parts.client.clone()));
        let (known, engine) = (Arc::clone(&plans), Arc::clone(&parts.engine));
        let link = Arc::default();
        let reporter =
            Arc::new(Reporter::new(own, beside, known, engine, Arc::clone(&link), socket));
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
        tokio::spawn(stop::until(stop.clone(), reporter.listen()));
        tokio::spawn(stop::until(stop.clone(), fetcher.run()));
        tracing::info!(instance = %*settings.instance, engine = %beside.address, "agent started");
        Ok(Self { plans, out, stop })
    }

    /// Goes by other settings, in what may change while it runs.
    pub fn reload(&self, settings: &settings::Node) {
        self.plans.reload(settings);
        self.out.set_rate(upload_rate(settings));
    }

    /// Stops: nothing waits on an agent, since peers find chunks elsewhere.
    pub fn stop(self) {
        tracing::info!("stopped");
    }
}

/// What all transfers share.
fn transfers(cache: Arc<Cache>, link: Arc<Mutex<Link>>, client: Client) -> transfer::Context {
    transfer::Context {
        cache,
        origin: Arc::new(NoOrigin),
        client,
        // The givers hold back, and both ways of a link are apart.
        pacer: Arc::new(Pacer::new(None)),
        policy: Policy::default(),
        link_rate: None,
        max_downloads: DOWNLOADS,
        max_origin_downloads: ORIGIN_DRAWS,
        origin_spacing: Duration::ZERO,
        penalty: PENALTY,
        timeouts: TIMEOUTS,
        slow_chunk: Some(SLOW_CHUNK),
        link,
        initial_holdings_wait: INTRODUCTION,
        clock: Clock::start(),
    }
}

/// What chunks may take of the link on their way out.
fn upload_rate(settings: &settings::Node) -> Option<ByteRate> {
    ByteRate::new(Bytes::new((link_rate(settings) * UPLOAD_PART) as u64))
}

/// What the instance's link carries, in bytes a second.
fn link_rate(settings: &settings::Node) -> f64 {
    const BYTES_IN_MEGABIT: f64 = 125_000.0;
    settings.limits.link_mbps * BYTES_IN_MEGABIT
}

impl Drop for Agent {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}
