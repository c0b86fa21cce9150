//! Bringing the wanted version into the engine.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::ops::Range;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use anyhow::{Context as _, Result, bail};
use async_trait::async_trait;
use bytes::Bytes;
use cinderspoke_core::gateway::changeover::{Changeover, wave};
use cinderspoke_core::gateway::name::Model;
use cinderspoke_core::gateway::rollout::Version;
use cinderspoke_core::manifest::Manifest;
use cinderspoke_core::rendezvous::Key;
use cinderspoke_ports::gateway::{Engine, EngineReport, Origin};
use cinderspoke_ports::{Error, Origin as Source};
use cinderspoke_schema::control::Peer;
use cinderspoke_schema::settings;
use cinderspoke_types::digest::Digest;
use cinderspoke_types::size;
use tokio::sync::watch;
use tokio::time::sleep;

use super::load::Load;
use super::plan::{Plans, Wanted};
use super::report::Reporter;
use super::{OpenOrigin, Parts};
use crate::agent::transfer::{self, Members, collect};
use crate::gateway::message::Plan;

/// What origin bytes count against time: little, since every second without
/// weights is a second without answers.
const ORIGIN_WEIGHT: f64 = 0.5;

/// How long to wait after something failed.
const RETRY: Duration = Duration::from_millis(200);

/// The part of a version that has to be there for it to be finished although a
/// newer one is wanted.
const WORTH_FINISHING: f64 = 0.65;

/// How long such a version may take to be finished: what is left of its spread,
/// and the changeover.
const FINISH: Duration = Duration::from_millis(3800);

/// The part of a version's chunks at which the first wave closes: the rest
/// takes about as long as requests take to end.
const CLOSING: f64 = 0.75;

/// How often it is looked how much has come.
const LOOK: Duration = Duration::from_millis(25);

/// How long an engine stays closed for weights that do not come.
const CLOSED_IN_VAIN: Duration = Duration::from_millis(1500);

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
    reporter: Arc<Reporter>,
    plans: Arc<Plans>,
    engine: Arc<dyn Engine>,
    open_origin: OpenOrigin,
    transfers: transfer::Context,
    manifests: Mutex<BTreeMap<(Model, Version), Manifest>>,
    // What is being brought, or was last.
    current: Mutex<Option<Digest>>,
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
            reporter,
            plans,
            engine: parts.engine,
            open_origin: parts.open_origin,
            transfers,
            manifests: Mutex::default(),
            current: Mutex::default(),
        }
    }

    /// Brings whatever version is wanted, for as long as the program runs.
    pub async fn run(self) {
        let mut plans = self.plans.subscribe();
        loop {
            let Some(wanted) = self.plans.wanted() else {
                if plans.changed().await.is_err() {
                    return;
                }
                continue;
            };
            let superseded = self.superseded(&wanted);
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

    /// Waits until a newer version is wanted so much that this one is given up.
    ///
    /// The first wave finishes what is nearly there: no engine may answer with
    /// the version before it for much longer. The second wave goes over to the
    /// newer one right away, unless it is closed already.
    async fn superseded(&self, wanted: &Wanted) {
        let mut changes = self.plans.subscribe();
        let newer = loop {
            if let Some(newer) = self.plans.wanted().filter(|newer| newer != wanted) {
                break newer;
            }
            if changes.changed().await.is_err() {
                return;
            }
        };
        let follows = newer.model == wanted.model && newer.version.0 == wanted.version.0 + 1;
        let manifest = *self.current.lock().unwrap_or_else(PoisonError::into_inner);
        let far = manifest.is_some_and(|manifest| self.has_part(manifest, WORTH_FINISHING));
        let begun = self.changeover(wanted) == Changeover::First || !self.reporter.is_open();
        if follows && far && begun {
            sleep(FINISH).await;
        }
    }

    /// Brings a version into the engine; ends when it has to be looked at anew.
    async fn bring(&self, wanted: &Wanted) -> Result<()> {
        let manifest = self.manifest(wanted).await?;
        *self.current.lock().unwrap_or_else(PoisonError::into_inner) = Some(manifest.digest());
        let runs = runs(self.reporter.subscribe().borrow().as_ref(), wanted);
        self.take_staged(wanted, &manifest).await;
        if runs && self.transfers.shelf.whole(manifest.digest()).is_some() {
            return self.rest(wanted).await;
        }
        let changeover = self.changeover(wanted);
        tokio::select! {
            biased;
            collected = self.collect(wanted, &manifest) => collected?,
            () = self.close_early(wanted, &manifest), if changeover == Changeover::First => {}
        }
        tracing::info!(
            version = %wanted.version,
            after_ms = wanted.since.elapsed().as_millis() as u64,
            "weights collected"
        );
        if runs {
            return Ok(());
        }
        let load = Load { engine: self.engine.as_ref(), reporter: &self.reporter, wanted };
        let chunks = self.transfers.shelf.whole(manifest.digest()).context("chunks are gone")?;
        tokio::select! {
            biased;
            loaded = load.run(&manifest, chunks, changeover) => loaded?,
            () = self.collect_next(wanted) => {}
        }
        self.forget_before(wanted);
        Ok(())
    }

    /// Waits until the engine forgets the version, or another one is wanted.
    async fn rest(&self, wanted: &Wanted) -> Result<()> {
        let mut reports = self.reporter.subscribe();
        while self.plans.wanted().as_ref() == Some(wanted) {
            reports.changed().await?;
            if reports.borrow().as_ref().is_some_and(|report| !runs_it(report, wanted)) {
                break;
            }
        }
        Ok(())
    }

    /// When the engine goes over to a version.
    fn changeover(&self, wanted: &Wanted) -> Changeover {
        let plan = self.plans.newest();
        let names: Vec<_> = plan.peers.iter().map(|peer| peer.engine.ip().to_string()).collect();
        let engines = plan.peers.iter().zip(&names);
        let engines: Vec<_> =
            engines.map(|(peer, name)| (peer.zone.as_str(), name.as_str())).collect();
        let own = (self.own.zone.as_str(), self.own.instance.as_str());
        let version = format!("{} {}", wanted.model, wanted.version);
        Changeover::of_wave(wave(&version, own, &engines))
    }

    /// Closes the engine once most of its weights have come in.
    async fn close_early(&self, wanted: &Wanted, manifest: &Manifest) {
        while !self.has_part(manifest.digest(), CLOSING) {
            sleep(LOOK).await;
        }
        if self.plans.newest().peers.len() > 1 {
            self.reporter.set_open(false).await;
            sleep(CLOSED_IN_VAIN).await;
            tracing::warn!(version = %wanted.version, "closed for weights that do not come");
            self.reporter.set_open(true).await;
        }
        std::future::pending().await
    }

    /// Whether a part of a version's chunks is there.
    fn has_part(&self, manifest: Digest, part: f64) -> bool {
        let progress = self.transfers.shelf.progress(manifest);
        progress.is_some_and(|(held, total)| held as f64 >= total as f64 * part)
    }

    /// Collects the version after this one, should it be wanted meanwhile.
    async fn collect_next(&self, wanted: &Wanted) {
        let mut plans = self.plans.subscribe();
        loop {
            if let Some(next) = self.plans.wanted().filter(|next| next != wanted) {
                let collected = async {
                    let manifest = self.manifest(&next).await?;
                    self.collect(&next, &manifest).await
                };
                match collected.await {
                    Ok(()) => break,
                    Err(error) => {
                        let error = format!("{error:#}");
                        tracing::debug!(version = %next.version, error, "collecting ahead");
                        sleep(RETRY).await;
                    }
                }
            } else if plans.changed().await.is_err() {
                break;
            }
        }
        std::future::pending().await
    }

    /// Forgets versions that no engine goes over to any more.
    fn forget_before(&self, wanted: &Wanted) {
        let mut manifests = self.manifests.lock().unwrap_or_else(PoisonError::into_inner);
        manifests.retain(|(model, version), manifest| {
            // The one before may still be what a slower peer collects.
            let kept = *model == wanted.model && version.0 + 1 >= wanted.version.0;
            if !kept {
                self.transfers.shelf.close(manifest.digest());
            }
            kept
        });
    }

    /// The chunks of a version, as an origin lists them.
    async fn manifest(&self, wanted: &Wanted) -> Result<Manifest> {
        let key = (wanted.model.clone(), wanted.version);
        let known =
            self.manifests.lock().unwrap_or_else(PoisonError::into_inner).get(&key).cloned();
        if let Some(manifest) = known {
            return Ok(manifest);
        }
        let (origin, _) = self.origin()?;
        let listing = origin.listing(&wanted.model, wanted.version).await?;
        let digests = listing.digests.into_iter().map(Digest::new).collect();
        let manifest = Manifest::listed(size::Bytes::new(listing.chunk_bytes), digests);
        let mut manifests = self.manifests.lock().unwrap_or_else(PoisonError::into_inner);
        manifests.insert(key, manifest.clone());
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
}

fn runs(report: Option<&EngineReport>, wanted: &Wanted) -> bool {
    report.is_some_and(|report| runs_it(report, wanted))
}

pub(super) fn runs_it(report: &EngineReport, wanted: &Wanted) -> bool {
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
