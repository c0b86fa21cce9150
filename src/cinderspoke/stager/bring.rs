//! Bringing the wanted version into the engine.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context as _, Result, bail};
use async_trait::async_trait;
use bytes::Bytes;
use cinderspoke_core::gateway::name::Model;
use cinderspoke_core::gateway::rollout::Version;
use cinderspoke_core::manifest::Manifest;
use cinderspoke_core::rendezvous::{Key, weight};
use cinderspoke_ports::gateway::{Engine, EngineReport, Ordered, Origin, Switch};
use cinderspoke_ports::{Error, Origin as Source};
use cinderspoke_schema::control::Peer;
use cinderspoke_schema::settings;
use cinderspoke_types::digest::Digest;
use cinderspoke_types::size;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use super::plan::{Plans, Wanted};
use super::report::Reporter;
use super::{OpenOrigin, Parts};
use crate::agent::transfer::{self, Members, collect};
use crate::gateway::relay::Plan;

/// What origin bytes count against time: little, since every second without
/// weights is a second without answers.
const ORIGIN_WEIGHT: f64 = 0.1;

/// How long to wait after something failed.
const RETRY: Duration = Duration::from_millis(200);

/// How often the engine is asked whether anything still waits in it.
const NOTICE: Duration = Duration::from_millis(15);

/// So many times in a row nothing may wait: what was on its way has come then,
/// also after a lost datagram.
const QUIET_REPORTS: u32 = 8;

/// How long requests may keep coming before the order is given all the same.
const LONGEST_DRAIN: Duration = Duration::from_millis(1500);

/// In how many waves engines go over to a new version.
const WAVES: u64 = 2;

/// The part of the time for a new version after which the last wave begins.
const LAST_WAVE: f64 = 0.6;

/// How long an engine may take to finish what runs and load.
const LOADING: Duration = Duration::from_secs(20);

/// Stands where transfers have no origin of their own.
pub struct NoOrigin;

#[async_trait]
impl Source for NoOrigin {
    async fn read(&self, _manifest: Digest, _range: Range<u64>) -> Result<Bytes, Error> {
        Err(Error::Missing)
    }
}

/// One version at the origins.
struct VersionSource {
    origin: Arc<dyn Origin>,
    model: Model,
    version: Version,
    chunk_bytes: u64,
}

#[async_trait]
impl Source for VersionSource {
    async fn read(&self, _manifest: Digest, range: Range<u64>) -> Result<Bytes, Error> {
        let chunk = range.start.checked_div(self.chunk_bytes).unwrap_or_default();
        let chunk = usize::try_from(chunk).unwrap_or(usize::MAX);
        self.origin.chunk(&self.model, self.version, chunk).await
    }
}

/// Brings wanted versions into the engine.
pub struct Bringer {
    own: Peer,
    port: u16,
    version_time: Duration,
    reporter: Arc<Reporter>,
    plans: Arc<Plans>,
    engine: Arc<dyn Engine>,
    open_origin: OpenOrigin,
    transfers: transfer::Context,
    manifests: BTreeMap<(Model, Version), Manifest>,
}

impl Bringer {
    /// Brings versions into the engine beside an agent.
    #[must_use]
    pub fn new(
        settings: &settings::Node,
        own: SocketAddr,
        reporter: Arc<Reporter>,
        plans: Arc<Plans>,
        transfers: transfer::Context,
        parts: Parts,
    ) -> Self {
        Self {
            own: peer(own.ip(), own.port(), &settings.zone, &settings.region),
            port: own.port(),
            version_time: Duration::from_millis(settings.bounds.version_ms),
            reporter,
            plans,
            engine: parts.engine,
            open_origin: parts.open_origin,
            transfers,
            manifests: BTreeMap::new(),
        }
    }

    /// Brings whatever version is wanted, for as long as the program runs.
    pub async fn run(mut self) {
        let mut plans = self.plans.subscribe();
        loop {
            let Some(wanted) = self.plans.wanted() else {
                if plans.changed().await.is_err() {
                    return;
                }
                continue;
            };
            let superseded =
                superseded(self.plans.subscribe(), Arc::clone(&self.plans), wanted.clone());
            tokio::select! {
                biased;
                () = superseded => {
                    tracing::info!(version = %wanted.version, "a newer version is wanted");
                }
                result = self.bring(&wanted) => if let Err(error) = result {
                    let error = format!("{error:#}");
                    tracing::warn!(version = %wanted.version, error, "bringing a version");
                    sleep(RETRY).await;
                }
            }
            self.reporter.set_open(true).await;
        }
    }

    /// Brings a version into the engine; ends when it has to be looked at anew.
    async fn bring(&mut self, wanted: &Wanted) -> Result<()> {
        let manifest = self.manifest(wanted).await?;
        let mut reports = self.reporter.subscribe();
        let runs = runs(reports.borrow().as_ref(), wanted);
        self.take_staged(wanted, &manifest).await;
        if runs && self.transfers.shelf.whole(manifest.digest()).is_some() {
            // Nothing is to be done until the engine forgets it.
            loop {
                reports.changed().await?;
                if reports.borrow().as_ref().is_some_and(|report| !runs_it(report, wanted)) {
                    return Ok(());
                }
            }
        }
        self.collect(wanted, &manifest).await?;
        tracing::info!(
            version = %wanted.version,
            after_ms = wanted.since.elapsed().as_millis() as u64,
            "weights collected"
        );
        if runs {
            return Ok(());
        }
        self.wait_for_turn(wanted).await;
        self.load(wanted, &manifest).await
    }

    /// The chunks of a version, as an origin lists them.
    async fn manifest(&mut self, wanted: &Wanted) -> Result<Manifest> {
        let key = (wanted.model.clone(), wanted.version);
        if let Some(manifest) = self.manifests.get(&key) {
            return Ok(manifest.clone());
        }
        let (origin, _) = self.origin()?;
        let listing = origin.listing(&wanted.model, wanted.version).await?;
        let digests = listing.digests.into_iter().map(Digest::new).collect();
        let manifest = Manifest::listed(size::Bytes::new(listing.chunk_bytes), digests);
        self.manifests.retain(|(model, _), _| *model == wanted.model);
        self.manifests.insert(key, manifest.clone());
        Ok(manifest)
    }

    /// The origin, and the bytes a second that its link carries.
    fn origin(&self) -> Result<(Arc<dyn Origin>, f64)> {
        let plan = self.plans.newest();
        let origin = plan.origins.first().context("no origin is known")?;
        Ok(((self.open_origin)(origin.address), origin.rate))
    }

    /// Takes in what is staged already: it outlives the agent and the engine.
    async fn take_staged(&self, wanted: &Wanted, manifest: &Manifest) {
        let shelf = &self.transfers.shelf;
        let held = shelf.open(manifest);
        if held.is_full() {
            return;
        }
        for chunk in (0..manifest.chunks()).filter(|chunk| !held.contains(*chunk)) {
            let Ok(Some(bytes)) = self.engine.staged(&wanted.model, chunk).await else { return };
            let digest = manifest.algorithm().chunk(&bytes);
            if manifest.chunk(chunk) == Some(digest) {
                shelf.put(digest, bytes);
            } else if chunk == 0 {
                // Most likely another version lies there.
                return;
            }
        }
    }

    /// Collects all chunks from peers and the origin.
    async fn collect(&self, wanted: &Wanted, manifest: &Manifest) -> Result<()> {
        let (origin, rate) = self.origin()?;
        let chunk_bytes = manifest.as_raw().chunk_size.as_u64();
        let spacing = if rate > 0.0 { chunk_bytes as f64 / rate } else { 0.0 };
        let (model, version) = (wanted.model.clone(), wanted.version);
        let source = VersionSource { origin, model, version, chunk_bytes };
        let transfers = &self.transfers;
        let context = transfer::Context {
            shelf: Arc::clone(&transfers.shelf),
            origin: Arc::new(source),
            client: transfers.client.clone(),
            pacer: Arc::clone(&transfers.pacer),
            origin_spacing: Duration::from_secs_f64(spacing.min(1.0)),
            ..*transfers
        };
        let mut plans = self.plans.subscribe();
        let (members, receiver) = watch::channel(self.members(&plans.borrow_and_update()));
        let follow = async {
            while plans.changed().await.is_ok() {
                let new = self.members(&plans.borrow_and_update());
                members.send_if_modified(|known| {
                    let changed = *known != new;
                    *known = new;
                    changed
                });
            }
            std::future::pending::<()>().await;
        };
        tokio::select! {
            biased;
            () = follow => bail!("no plan is told any more"),
            collected = collect(Arc::new(context), manifest.clone(), receiver) => {
                collected.map(|_| ())
            }
        }
    }

    fn members(&self, plan: &Plan) -> Members {
        let peers = plan.peers.iter();
        let peers =
            peers.map(|other| peer(other.engine.ip(), self.port, &other.zone, &other.region));
        Members { own: self.own.clone(), peers: peers.collect(), origin_weight: ORIGIN_WEIGHT }
    }

    /// Waits until this engine's wave goes over to the new version.
    ///
    /// An engine that runs nothing has nothing to wait for.
    async fn wait_for_turn(&self, wanted: &Wanted) {
        let plan = self.plans.newest();
        let subject = Key::of(&format!("{} {}", wanted.model, wanted.version));
        let rank = |instance: &str| weight(subject, Key::of(instance));
        let own = rank(self.own.instance.as_str());
        // Waves are dealt out in each zone, so that none is without engines.
        let zone = self.own.zone.as_str();
        let members = plan.peers.iter().filter(|peer| peer.zone == zone);
        let before =
            members.filter(|peer| rank(&peer.engine.ip().to_string()) > own).count() as u64;
        let wave = before % WAVES;
        let mut reports = self.reporter.subscribe();
        let idle = async {
            loop {
                let idle = reports.borrow_and_update().as_ref().is_some_and(|report| {
                    report.models.is_empty() || report.load.running + report.load.queued == 0
                });
                if idle || reports.changed().await.is_err() {
                    return;
                }
            }
        };
        let delay = self.version_time.mul_f64(LAST_WAVE * wave as f64 / (WAVES - 1) as f64);
        tokio::select! {
            () = sleep_until(wanted.since + delay) => {}
            () = idle => {}
        }
    }

    /// Stages what was collected and has the engine load it.
    async fn load(&self, wanted: &Wanted, manifest: &Manifest) -> Result<()> {
        let chunks = self.transfers.shelf.whole(manifest.digest()).context("chunks are gone")?;
        for (number, bytes) in chunks.into_iter().enumerate() {
            self.engine.stage(&wanted.model, number, bytes).await?;
        }
        self.check_staged(wanted, manifest).await?;
        let report = self.close_and_drain().await?;
        let began = Instant::now();
        let Wanted { model, version, .. } = wanted;
        match self.engine.start(model, *version, Switch::Finish, report.orders).await? {
            Ordered::Taken => {}
            Ordered::Unfit => bail!("the order does not fit the engine's state"),
        }
        let loaded = timeout(LOADING, self.loaded(wanted)).await;
        self.reporter.set_open(true).await;
        loaded.context("the engine did not load in time")??;
        tracing::info!(
            %version,
            took_ms = began.elapsed().as_millis() as u64,
            after_ms = wanted.since.elapsed().as_millis() as u64,
            "engine runs a version"
        );
        Ok(())
    }

    /// Has gateways send nothing new, and waits until all that was sent has its
    /// first token.
    ///
    /// What the engine has not begun when it takes the order it begins later on
    /// the old version; should the instance stand still, much too late.
    async fn close_and_drain(&self) -> Result<EngineReport> {
        let since = Instant::now();
        self.reporter.set_open(false).await;
        let mut quiet = 0;
        loop {
            sleep(NOTICE).await;
            let report = self.engine.report().await?;
            if report.busy {
                bail!("the engine is under another order");
            }
            quiet = if report.load.queued == 0 { quiet + 1 } else { 0 };
            if quiet >= QUIET_REPORTS || since.elapsed() >= LONGEST_DRAIN {
                return Ok(report);
            }
        }
    }

    /// Reads back what was staged: it may have turned bad since.
    async fn check_staged(&self, wanted: &Wanted, manifest: &Manifest) -> Result<()> {
        for chunk in 0..manifest.chunks() {
            let bytes = self.engine.staged(&wanted.model, chunk).await?;
            let digest = bytes.map(|bytes| manifest.algorithm().chunk(&bytes));
            if digest != manifest.chunk(chunk) {
                bail!("chunk {chunk} turned bad where it was staged");
            }
        }
        Ok(())
    }

    /// Waits until the engine runs the version.
    async fn loaded(&self, wanted: &Wanted) -> Result<()> {
        let mut reports = self.reporter.subscribe();
        loop {
            reports.changed().await?;
            let report = reports.borrow_and_update().clone();
            let Some(report) = report else { bail!("the engine was lost while it loaded") };
            if runs_it(&report, wanted) && !report.busy {
                return Ok(());
            }
            if !report.busy && report.models.is_empty() && report.orders == 0 {
                bail!("the engine has started anew");
            }
        }
    }
}

/// Waits until another version is wanted.
async fn superseded(mut plans: watch::Receiver<Plan>, all: Arc<Plans>, wanted: Wanted) {
    loop {
        if all.wanted().as_ref() != Some(&wanted) {
            return;
        }
        if plans.changed().await.is_err() {
            return;
        }
    }
}

fn runs(report: Option<&EngineReport>, wanted: &Wanted) -> bool {
    report.is_some_and(|report| runs_it(report, wanted))
}

fn runs_it(report: &EngineReport, wanted: &Wanted) -> bool {
    report
        .models
        .iter()
        .any(|(model, version)| *model == wanted.model && *version == wanted.version)
}

/// An agent as a member of a swarm.
fn peer(address: IpAddr, port: u16, zone: &str, region: &str) -> Peer {
    Peer {
        instance: swarm_name(&address.to_string()),
        zone: swarm_name(zone),
        region: swarm_name(region),
        address: SocketAddr::new(address, port),
    }
}

/// A name in the form that swarms use; any other text is replaced by its hash.
fn swarm_name<T: std::str::FromStr<Err = cinderspoke_types::id::Error>>(text: &str) -> T {
    let hashed = || format!("x{:016x}", Key::of(text).as_u64()).parse();
    match text.parse().or_else(|_| hashed()) {
        Ok(name) => name,
        Err(error) => unreachable!("a hash in hex is a name: {error}"),
    }
}
