//! What a gateway knows, as requests read it.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use cinderspoke_core::gateway::budget;
use cinderspoke_core::gateway::catalog::{Catalog, Declared};
use cinderspoke_core::gateway::directory::{Change, Directory, Entry, Keeper, State};
use cinderspoke_core::gateway::fact::{Fact, Revision};
use cinderspoke_core::gateway::load::Report;
use cinderspoke_core::gateway::name::{Endpoint, Model, Service, Zone};
use cinderspoke_core::gateway::rollout::{Rollout, Timeline, Version};
use cinderspoke_core::rendezvous::Key;
use cinderspoke_core::swarm::Distance;
use cinderspoke_schema::settings;

use super::message::Known;
use super::target::Target;
use crate::util::clock::Clock;
use crate::util::signal::{Receiver, Signal};

/// The part of the time for a new version within which requests are sent to
/// the old one. What is sent may be held up on a full link for seconds and begin
/// although it was given up; by this time most engines have gone over.
const OVERLAP: f64 = 0.6;

/// How long a gateway that was not heard of counts as one that takes requests.
const GATEWAY_AGE: Duration = Duration::from_secs(5);

/// What the settings ask of a gateway's decisions.
#[derive(Debug, Clone)]
pub struct Terms {
    /// The budget of sends beyond the first.
    pub budget: budget::Terms,
    /// How long after a version was named an older one may begin requests.
    pub overlap: Duration,
    /// How much earlier than this process started a version may have been named
    /// that it finds.
    pub head_start: Duration,
}

impl Terms {
    /// The terms of some settings.
    #[must_use]
    pub fn new(settings: &settings::Node) -> Self {
        let bounds = &settings.bounds;
        let overlap = Duration::from_millis(bounds.version_ms).mul_f64(OVERLAP);
        Self {
            budget: budget::Terms {
                ratio: bounds.retry_budget_ratio,
                window: Duration::from_secs_f64(bounds.budget_window_s),
                slack: bounds.budget_slack,
            },
            overlap,
            head_start: overlap.saturating_sub(Duration::from_millis(bounds.contact_ms) / 2),
        }
    }
}

/// An endpoint with its entry in the list.
#[derive(Debug, Clone)]
pub struct Member {
    /// The endpoint.
    pub target: Arc<Target>,
    /// Its entry.
    pub entry: Entry,
    /// How near it is.
    pub distance: Distance,
}

/// All that is known at a moment.
#[derive(Debug, Default)]
pub struct View {
    /// The configuration, once one is known.
    pub catalog: Option<Arc<Catalog>>,
    /// The endpoints of each service.
    pub members: BTreeMap<Service, Vec<Member>>,
    /// The versions that models are to have.
    pub rollout: Rollout,
    /// How many gateways there are, this one among them.
    pub gateways: usize,
}

#[derive(Default)]
struct Belief {
    configuration: Fact<Option<Arc<Catalog>>>,
    rollout: Fact<Rollout>,
    timeline: Timeline,
    keeper: Keeper,
    targets: HashMap<Endpoint, Arc<Target>>,
    by_address: HashMap<SocketAddr, Arc<Target>>,
    // Other gateways and when they were last heard of.
    gateways: BTreeMap<SocketAddr, Option<Duration>>,
}

/// What a gateway knows.
pub struct Knowledge {
    state: Mutex<Belief>,
    view: ArcSwap<View>,
    changes: Signal,
    terms: Terms,
    zone: Zone,
    regions: HashMap<String, String>,
    clock: Clock,
}

impl Knowledge {
    /// Nothing is known yet.
    #[must_use]
    pub fn new(settings: &settings::Node, terms: Terms, clock: Clock) -> Self {
        Self {
            state: Mutex::default(),
            view: ArcSwap::default(),
            changes: Signal::default(),
            terms,
            zone: settings.zone.as_str().into(),
            regions: settings.regions.clone(),
            clock,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Belief> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What is known now.
    #[must_use]
    pub fn view(&self) -> Arc<View> {
        self.view.load_full()
    }

    /// What the settings ask.
    #[must_use]
    pub fn terms(&self) -> &Terms {
        &self.terms
    }

    /// The gateway's clock.
    #[must_use]
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// A way to wait for news.
    #[must_use]
    pub fn subscribe(&self) -> Receiver {
        self.changes.subscribe()
    }

    /// Takes in a configuration; true when it is newer than the one in force.
    pub fn configured(&self, fact: Fact<Declared>, from: &str) -> bool {
        let mut state = self.lock();
        let before = state.version();
        let version = fact.value.version;
        if version <= before && state.configuration.value.is_some() {
            return false;
        }
        let revision = fact.revision.max(state.configuration.revision);
        state.configuration = Fact::new(revision, Some(Arc::new(fact.value.into())));
        self.show(&mut state);
        drop(state);
        tracing::info!(version, before, from, "configuration in force");
        self.changes.raise();
        true
    }

    /// Takes in named versions; true when any of them is news.
    pub fn named(&self, fact: Fact<Rollout>, from: &str) -> bool {
        let mut state = self.lock();
        state.rollout.revision = state.rollout.revision.max(fact.revision);
        let news = state.rollout.value.merge(&fact.value);
        let now = self.clock.now();
        let Belief { timeline, rollout, .. } = &mut *state;
        timeline.learn(&rollout.value, now, self.terms.head_start);
        if news {
            self.show(&mut state);
            tracing::info!(rollout = ?state.rollout.value, from, "versions named");
            drop(state);
            self.changes.raise();
        }
        news
    }

    /// Takes in the whole list of endpoints.
    pub fn listed(&self, fact: Fact<Directory>, from: &str) -> bool {
        let now = self.clock.now();
        self.keep(from, |keeper| keeper.replace(fact.revision, fact.value, now))
    }

    /// Takes in changes of the list of endpoints.
    pub fn changed(&self, fact: Fact<Vec<Change>>, from: &str) -> bool {
        let now = self.clock.now();
        self.keep(from, |keeper| keeper.apply(fact.revision, fact.value, now))
    }

    /// Takes in that the platform answers again after it had been away.
    pub fn platform_returned(&self) {
        let now = self.clock.now();
        self.lock().keeper.returned(now);
    }

    /// Gives up entries that lapsed while the platform was away and are not back.
    pub fn settle(&self) {
        let now = self.clock.now();
        self.keep("outage", |keeper| keeper.settle(now));
    }

    fn keep(&self, from: &str, change: impl FnOnce(&mut Keeper) -> bool) -> bool {
        let mut state = self.lock();
        let changed = change(&mut state.keeper);
        if changed {
            state.follow_directory();
            self.show(&mut state);
            let (endpoints, revision) = (state.targets.len(), state.keeper.revision().0);
            drop(state);
            tracing::info!(endpoints, revision, from, "endpoints changed");
            self.changes.raise();
        }
        changed
    }

    /// Takes in what an agent says of the endpoint at an address.
    pub fn reported(&self, address: SocketAddr, report: Report, told: Duration) {
        let target = self.lock().by_address.get(&address).cloned();
        if let Some(target) = target {
            target.tracking().load.reported(report, told, self.clock.now());
        }
    }

    /// Takes in that a gateway was heard of, by itself or by others.
    pub fn met(&self, gateway: SocketAddr, itself: bool) {
        let now = self.clock.now();
        let mut state = self.lock();
        let known = state.gateways.contains_key(&gateway);
        let heard = state.gateways.entry(gateway).or_default();
        let alive = heard.is_some_and(|heard| heard + GATEWAY_AGE >= now);
        if itself {
            *heard = Some(now);
        }
        if !known || (itself && !alive) {
            tracing::info!(%gateway, itself, "gateway heard of");
            self.show(&mut state);
        }
    }

    /// Other gateways, alive or not.
    #[must_use]
    pub fn gateways(&self) -> Vec<SocketAddr> {
        self.lock().gateways.keys().copied().collect()
    }

    /// The revision up to which a kind of fact is known.
    #[must_use]
    pub fn revisions(&self) -> (Revision, Revision, Revision) {
        let state = self.lock();
        (state.configuration.revision, state.rollout.revision, state.keeper.revision())
    }

    /// What is known, in a few words that tell whether another process knows more.
    #[must_use]
    pub fn known(&self) -> Known {
        let state = self.lock();
        let directory = state.keeper.directory();
        Known {
            configuration: state.version(),
            rollout: state.rollout.value.clone(),
            directory: state.keeper.revision(),
            directory_hash: hash(directory),
        }
    }

    /// The configuration, if it is newer than a version.
    #[must_use]
    pub fn configuration_after(&self, version: u64) -> Option<Fact<Declared>> {
        let state = self.lock();
        let catalog = state.configuration.value.as_ref()?;
        let newer = catalog.declared().version > version;
        newer.then(|| Fact::new(state.configuration.revision, catalog.declared().clone()))
    }

    /// The list of endpoints.
    #[must_use]
    pub fn directory(&self) -> Fact<Directory> {
        let state = self.lock();
        Fact::new(state.keeper.revision(), state.keeper.directory().clone())
    }

    /// How much longer a model's version may begin requests; none for no end.
    #[must_use]
    pub fn version_left(&self, model: &Model, version: Version) -> Option<Duration> {
        let ends = self.lock().timeline.ends(model, version, self.terms.overlap)?;
        Some(ends.saturating_sub(self.clock.now()))
    }

    /// Makes what is known visible to requests.
    fn show(&self, state: &mut Belief) {
        let now = self.clock.now();
        let mut members: BTreeMap<Service, Vec<Member>> = BTreeMap::new();
        for (name, entry) in &state.keeper.directory().entries {
            let (Some(target), State::Ready) = (state.targets.get(name), entry.state) else {
                continue;
            };
            members.entry(entry.service.clone()).or_default().push(Member {
                target: Arc::clone(target),
                entry: entry.clone(),
                distance: self.distance(&entry.zone),
            });
        }
        let alive =
            |heard: &&Option<Duration>| heard.is_some_and(|heard| heard + GATEWAY_AGE >= now);
        let gateways = 1 + state.gateways.values().filter(alive).count();
        self.view.store(Arc::new(View {
            catalog: state.configuration.value.clone(),
            members,
            rollout: state.rollout.value.clone(),
            gateways,
        }));
    }

    fn distance(&self, zone: &Zone) -> Distance {
        let region = |zone: &Zone| self.regions.get(zone.as_str());
        if *zone == self.zone {
            Distance::Zone
        } else if region(zone).is_some() && region(zone) == region(&self.zone) {
            Distance::Region
        } else {
            Distance::Far
        }
    }
}

impl Belief {
    /// The version of the configuration in force; zero for none.
    fn version(&self) -> u64 {
        self.configuration.value.as_ref().map_or(0, |catalog| catalog.declared().version)
    }

    /// Keeps a target for each endpoint of the list.
    fn follow_directory(&mut self) {
        let Self { keeper, targets, by_address, .. } = self;
        let entries = &keeper.directory().entries;
        targets.retain(|name, target| {
            let kept =
                entries.get(name).is_some_and(|entry| entry.address == target.pool.address());
            if !kept {
                target.pool.clear();
            }
            kept
        });
        for (name, entry) in entries {
            let new = || Arc::new(Target::new(name.clone(), entry));
            targets.entry(name.clone()).or_insert_with(new);
        }
        *by_address =
            targets.values().map(|target| (target.pool.address(), Arc::clone(target))).collect();
    }
}

/// Tells lists of endpoints apart.
fn hash(directory: &Directory) -> u64 {
    let text: String = directory
        .entries
        .iter()
        .map(|(name, entry)| format!("{name} {} {:?};", entry.address, entry.state))
        .collect();
    Key::of(&text).as_u64()
}
