//! A gateway's shared state: updates are applied under a lock, and requests read a
//! [`View`] that is rebuilt after each update.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use cinderspoke_core::gateway::catalog::{Catalog, Declared};
use cinderspoke_core::gateway::demand::Tag;
use cinderspoke_core::gateway::directory::Directory;
use cinderspoke_core::gateway::fact::{Fact, Revision};
use cinderspoke_core::gateway::gossip::{FIRST_CONTACT, liveness_timeout, rival_timeout};
use cinderspoke_core::gateway::load::Report;
use cinderspoke_core::gateway::name::{Region, Service, Zone};
use cinderspoke_core::gateway::notice::Run;
use cinderspoke_core::gateway::region;
use cinderspoke_core::rendezvous::Key;
use cinderspoke_core::swarm::Distance;
use cinderspoke_ports::work::{Stage, measured, offload};
use cinderspoke_schema::settings;

use super::demands::Demands;
use super::inner::Inner;
use super::message::{Summary, Supplement};
use super::options::Options;
use super::outstanding;
use super::query::Queries;
use super::returns::Returns;
use super::suspects::Suspects;
use super::target::Target;
use super::view::{Member, View};
use crate::util::clock::Clock;
use crate::util::settings::internal_address;
use crate::util::signal::{Receiver, Signal};

/// The minimum time between two counts of the gateways. Among many there is always one whose
/// liveness timeout is about to end, and each count iterates over all of them.
const COUNT_INTERVAL: Duration = Duration::from_secs(1);

/// The shared state of a gateway.
pub struct State {
    inner: Mutex<Inner>,
    // Rebuilt from `inner` at each change.
    view: ArcSwap<View>,
    // Until when the view's number of gateways is valid, in milliseconds of the clock.
    counted_until: AtomicU64,
    changes: Signal,
    resyncs: Signal,
    retention_changed: Signal,
    // Raised when the store is known to have come back from an older copy.
    restores: Signal,
    outstanding_changes: Arc<outstanding::Changes>,
    queries: Queries,
    returns: Returns,
    suspects: Suspects,
    demands: Demands,
    options: ArcSwap<Options>,
    zone: Zone,
    // The key by which this gateway is ranked among all gateways.
    key: Key,
    clock: Clock,
}

impl State {
    /// Creates the empty state of a gateway.
    #[must_use]
    pub fn new(settings: &settings::Node, options: Options, clock: Clock) -> Self {
        let own = internal_address(settings);
        let region = region::Table::new(own, settings.region.as_str().into());
        Self {
            inner: Mutex::new(Inner { region, ..Inner::default() }),
            view: ArcSwap::default(),
            counted_until: AtomicU64::new(u64::MAX),
            changes: Signal::default(),
            resyncs: Signal::default(),
            retention_changed: Signal::default(),
            restores: Signal::default(),
            outstanding_changes: Arc::default(),
            queries: Queries::default(),
            returns: Returns::default(),
            suspects: Suspects::new(&settings.instance),
            demands: Demands::new(Tag::of_gateway(own)),
            options: ArcSwap::from_pointee(options),
            zone: settings.zone.as_str().into(),
            key: Key::of_address(own),
            clock,
        }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The current snapshot.
    #[must_use]
    pub fn view(&self) -> Arc<View> {
        if self.clock.now().as_millis() as u64 > self.counted_until.load(Ordering::Relaxed) {
            self.recount_gateways();
        }
        self.view.load_full()
    }

    /// Counts the gateways again although nothing else changed, when the liveness timeout of one
    /// has passed.
    fn recount_gateways(&self) {
        let inner = self.lock();
        let (before, gateways) = (self.view.load_full(), self.count_gateways(&inner));
        let now = self.clock.now();
        let (other_keys, live_others) = (inner.rival_keys(now), inner.live_others(now));
        if before.gateways != gateways {
            tracing::info!(gateways, before = before.gateways, "number of gateways changed");
        }
        let is_changed = before.gateways != gateways || before.live_others != live_others;
        if is_changed || before.other_keys != other_keys {
            let view = View { gateways, other_keys, live_others, ..View::clone(&before) };
            self.view.store(Arc::new(view));
        }
    }

    /// Counts the live gateways, this one included, and records how long the count is valid.
    fn count_gateways(&self, inner: &Inner) -> usize {
        let (now, others) = (self.clock.now(), inner.gateways.len());
        let expiries = |timeout: Duration| {
            let expiries = inner.gateways.values().map(move |last_contact| *last_contact + timeout);
            expiries.filter(|expires_at| *expires_at >= now)
        };
        let alive = expiries(liveness_timeout(others));
        let next = alive.chain(expiries(rival_timeout(others))).min().unwrap_or(Duration::MAX);
        let until = next.max(now + COUNT_INTERVAL).as_millis();
        self.counted_until.store(u64::try_from(until).unwrap_or(u64::MAX), Ordering::Relaxed);
        1 + expiries(liveness_timeout(others)).count()
    }

    /// The options currently in use.
    #[must_use]
    pub fn options(&self) -> Arc<Options> {
        self.options.load_full()
    }

    /// Replaces the options, after the settings were reloaded.
    pub fn set_options(&self, options: Options) {
        let mut inner = self.lock();
        self.options.store(Arc::new(options));
        self.rebuild_view(&mut inner);
        drop(inner);
        self.changes.raise();
    }

    /// The key by which this gateway is ranked among all gateways.
    #[must_use]
    pub fn key(&self) -> Key {
        self.key
    }

    /// The gateway's clock.
    #[must_use]
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// The endpoints whose outstanding requests changed since their agents were last informed.
    #[must_use]
    pub fn outstanding_changes(&self) -> Arc<outstanding::Changes> {
        Arc::clone(&self.outstanding_changes)
    }

    /// The queries to agents.
    #[must_use]
    pub fn queries(&self) -> &Queries {
        &self.queries
    }

    /// The requests that were refused in this region and may return.
    #[must_use]
    pub fn returns(&self) -> &Returns {
        &self.returns
    }

    /// All endpoints.
    #[must_use]
    pub fn targets(&self) -> Vec<Arc<Target>> {
        self.lock().targets.values().cloned().collect()
    }

    /// The requests during which endpoints ended.
    #[must_use]
    pub fn suspects(&self) -> &Suspects {
        &self.suspects
    }

    /// The requests that this gateway and others receive.
    pub(super) fn demands(&self) -> &Demands {
        &self.demands
    }

    /// Notifies the tasks that send updates to other processes.
    pub fn publish(&self) {
        self.changes.raise();
    }

    /// Returns a receiver that is notified when there are updates for other processes.
    #[must_use]
    pub fn subscribe(&self) -> Receiver {
        self.changes.subscribe()
    }

    /// Notifies when the next expiry of a retained entry changes.
    pub(super) fn retention_signal(&self) -> &Signal {
        &self.retention_changed
    }

    /// Notifies when the store is known to have come back from an older copy.
    pub(super) fn restore_signal(&self) -> &Signal {
        &self.restores
    }

    /// Requests a resync with the store, since its watches may have missed changes.
    pub fn request_resync(&self) {
        self.resyncs.raise();
    }

    /// Returns a receiver that is notified when a resync with the store is requested.
    #[must_use]
    pub fn resync_requests(&self) -> Receiver {
        self.resyncs.subscribe()
    }

    /// Indexes a configuration; none if it is not newer than the one in force.
    pub async fn index(&self, declared: Declared) -> Option<Catalog> {
        if !self.lock().is_newer(declared.version) {
            return None;
        }
        let size = declared.size();
        let index = move || measured(Stage::Index, || Catalog::from(declared));
        Some(offload(size, index).await)
    }

    /// Applies an indexed configuration. Returns true if it is newer than the one in force.
    pub fn apply_catalog(&self, fact: Fact<Catalog>, from: &str) -> bool {
        let Fact { revision, value: catalog } = fact;
        let mut inner = self.lock();
        let before = inner.version();
        let version = catalog.declared().version;
        if !inner.is_newer(version) {
            return false;
        }
        let services = catalog.declared().backends.iter().map(|backend| backend.service.clone());
        inner.tracker.set_services(services.collect());
        let now = self.clock.now();
        inner.lag.record(version, now);
        let behind_ms = inner.lag.behind(before, now).as_millis() as u64;
        let unknown = catalog.unknown_regions(|region| self.is_region(region));
        if !unknown.is_empty() {
            tracing::warn!(
                version,
                ?unknown,
                "routes or teams name regions that the settings do not"
            );
        }
        inner.set_catalog(Arc::new(catalog), revision);
        self.rebuild_view(&mut inner);
        drop(inner);
        tracing::info!(version, before, from, behind_ms, "configuration in force");
        self.changes.raise();
        true
    }

    /// Records an agent's load report on the endpoint of a service at an address. `is_answer` tells
    /// whether it answers a query or is a periodic one.
    pub fn record_report(
        &self,
        endpoint: (Service, SocketAddr),
        agent: SocketAddr,
        report: Report,
        sent_at: Duration,
        is_answer: bool,
    ) {
        let (target, cold) = {
            let inner = self.lock();
            (inner.by_address.get(&endpoint).cloned(), inner.cold(&endpoint.0))
        };
        if let Some(target) = target {
            if let Some(departure) = report.drain {
                self.record_agent_drain(&target, departure);
            }
            let mut tracking = target.tracking();
            tracking.agent = Some(agent);
            let now = self.clock.now();
            if let Some(cold) = cold.filter(|_| tracking.load.report(now).is_none()) {
                // It may have restarted while no report of it arrived.
                target.extend_cold(now + cold.duration);
            }
            tracking.load.apply_report(report, sent_at, now);
            if is_answer {
                tracking.load.record_answer(now);
            }
        }
    }

    /// Records contact with a gateway (`itself`), or that others named it. A gateway that others
    /// name for the first time counts as live.
    /// Returns true if it was not known before.
    pub fn observe_gateway(&self, gateway: SocketAddr, itself: bool) -> bool {
        let now = self.clock.now();
        let mut inner = self.lock();
        let known = inner.gateways.contains_key(&gateway);
        let timeout = liveness_timeout(inner.gateways.len());
        let last_contact = inner.gateways.entry(gateway).or_insert(now);
        let alive = *last_contact + timeout >= now;
        if itself {
            *last_contact = now;
            inner.has_contact = true;
        }
        if !known {
            inner.discovered_at = now;
        }
        if !known || (itself && !alive) {
            tracing::info!(%gateway, itself, "gateway discovered");
            self.rebuild_view(&mut inner);
        }
        !known
    }

    /// Whether this gateway knows what others know: it has received a message of one of them, or there is
    /// presumably none.
    #[must_use]
    pub fn is_informed(&self) -> bool {
        let is_alone = || self.options().seeds.is_empty() || self.clock.now() >= FIRST_CONTACT;
        self.lock().has_contact || is_alone()
    }

    /// When the newest of the other gateways was discovered; zero before the first.
    #[must_use]
    pub fn discovered_at(&self) -> Duration {
        self.lock().discovered_at
    }

    /// The addresses of the other gateways, live or not.
    #[must_use]
    pub fn gateways(&self) -> Vec<SocketAddr> {
        self.lock().gateways.keys().copied().collect()
    }

    /// A summary of the state, from which another process sees whether it has newer data.
    #[must_use]
    pub fn summary(&self) -> Summary {
        let now = self.clock.now();
        let (suspects, announcement) = (self.suspects.updates(now), self.announcement());
        Summary { suspects, announcement, ..self.lock().summary(now) }
    }

    /// The summary for other processes: they get no list of endpoints of which only a part is known.
    #[must_use]
    pub fn published_summary(&self) -> Summary {
        let whole = self.lock().tracker.whole_revision();
        let summary = self.summary();
        Summary { directory: summary.directory.min(whole), ..summary }
    }

    /// What follows a summary in a digest.
    #[must_use]
    pub fn supplement(&self) -> Supplement {
        let parts = self.suspects.part_updates(self.clock.now());
        let (limits, demands) = (self.limit_updates(), self.demand_updates());
        let inner = self.lock();
        let now = self.clock.now();
        let (gone, zones) = (inner.tracker.gone_updates(now), inner.evacuation.updates(now));
        Supplement { limits, parts, gone, zones, demands }
    }

    /// The list of endpoints.
    #[must_use]
    pub fn directory(&self) -> Fact<Directory> {
        let inner = self.lock();
        Fact::new(inner.tracker.revision(), inner.tracker.directory().clone())
    }

    /// The last revision at which the whole list of endpoints is known; none before there is one.
    #[must_use]
    pub fn directory_revision(&self) -> Option<Revision> {
        let revision = self.lock().tracker.whole_revision();
        (revision > Revision::default()).then_some(revision)
    }

    /// The list of endpoints, if it is newer than a revision and its hash is not the given one. None
    /// while only a part of it is known: other gateways would take it for the whole.
    #[must_use]
    pub fn directory_after(&self, revision: Revision, hash: u64) -> Option<Fact<Directory>> {
        let inner = self.lock();
        let newer = inner.tracker.revision() > revision && inner.directory_hash != hash;
        let is_given = newer && !inner.tracker.is_part();
        is_given
            .then(|| Fact::new(inner.tracker.revision(), inner.tracker.snapshot(self.clock.now())))
    }

    /// Marks runs of endpoints as draining, so that they get no further requests.
    pub(super) fn drain_runs(&self, inner: &mut Inner, runs: &[Run], from: &str) {
        for target in inner.targets.values().filter(|target| runs.contains(&target.run)) {
            target.set_draining();
            tracing::info!(endpoint = %target.name, from, "endpoint is draining");
        }
        self.rebuild_view(inner);
    }

    /// Rebuilds the view that requests read.
    pub(super) fn rebuild_view(&self, inner: &mut Inner) {
        let mut members: BTreeMap<Service, Vec<Member>> = BTreeMap::new();
        for (target, entry) in inner.ready().filter(|(target, _)| !target.is_draining()) {
            let (target, entry) = (Arc::clone(target), entry.clone());
            let distance = self.distance(&entry.zone);
            let region = self.region_of(&entry.zone);
            let is_evacuated = inner.evacuation.is_evacuated(&entry.zone);
            let members = members.entry(entry.service.clone()).or_default();
            members.push(Member { target, entry, distance, region, is_evacuated });
        }
        let gateways = self.count_gateways(inner);
        self.view.store(Arc::new(View {
            generation: self.view.load().generation + 1,
            catalog: inner.configuration.value.clone(),
            members: Arc::new(members),
            rollout: inner.rollout.clone(),
            gateways,
            known_gateways: inner.gateways.len() + 1,
            evacuations_known: !self.options().evacuates || inner.evacuation.is_known(),
            other_keys: inner.rival_keys(self.clock.now()),
            live_others: inner.live_others(self.clock.now()),
        }));
    }

    /// Whether the settings name a region.
    fn is_region(&self, region: &Region) -> bool {
        self.options().regions.values().any(|known| known == region.as_str())
    }

    /// The region of an availability zone; the empty name where the settings name none.
    fn region_of(&self, zone: &Zone) -> Region {
        let options = self.options();
        options.regions.get(zone.as_str()).map(|region| region.as_str().into()).unwrap_or_default()
    }

    /// The distance of an availability zone from this gateway.
    fn distance(&self, zone: &Zone) -> Distance {
        let options = self.options();
        let region = |zone: &Zone| options.regions.get(zone.as_str());
        if *zone == self.zone {
            Distance::Zone
        } else if region(zone).is_some() && region(zone) == region(&self.zone) {
            Distance::Region
        } else {
            Distance::Far
        }
    }
}
