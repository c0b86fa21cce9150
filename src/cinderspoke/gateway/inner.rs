//! The facts behind a gateway's view.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cinderspoke_core::gateway::catalog::Catalog;
use cinderspoke_core::gateway::directory::{Directory, Entry, Tracker};
use cinderspoke_core::gateway::evacuation;
use cinderspoke_core::gateway::fact::{Fact, Revision};
use cinderspoke_core::gateway::lag::Lag;
use cinderspoke_core::gateway::name::{Endpoint, Service};
use cinderspoke_core::gateway::notice::{self, Run};
use cinderspoke_core::gateway::outage::Outage;
use cinderspoke_core::gateway::region;
use cinderspoke_core::gateway::rollout::Rollout;
use cinderspoke_core::gateway::timeline::Timeline;
use cinderspoke_core::rendezvous::Key;

use super::message::Summary;
use super::target::Target;

/// How many configurations that were replaced are kept: whoever is further behind is told
/// the whole.
const REPLACED: usize = 8;

/// Facts as they came in, with what is needed to tell which are newer.
// Invariants: `targets` holds the endpoints of the tracker's list at the
// addresses that it names, `by_address` the same targets, and `directory_hash`
// is that of the list.
#[derive(Default)]
pub struct Inner {
    /// The configuration; none before the first.
    pub configuration: Fact<Option<Arc<Catalog>>>,
    /// Those that were in force before it, the oldest first: what differs is told by them.
    pub replaced: VecDeque<Arc<Catalog>>,
    /// What other gateways say of themselves.
    pub region: region::Table,
    /// How far it is behind what is known to be.
    pub lag: Lag,
    /// The versions that models are to have.
    pub rollout: Rollout,
    /// The last revision of the store at which they are known to be the newest.
    pub rollout_revision: Revision,
    /// When another gateway last told that revision.
    pub rollout_gossiped_at: Duration,
    /// For how long they have been named.
    pub timeline: Timeline,
    /// The versions that the store itself told of last; none before it first did.
    pub stored_rollout: Option<Rollout>,
    /// The list of endpoints.
    pub tracker: Tracker,
    /// The availability zones that are emptied.
    pub evacuation: evacuation::Table,
    /// When the platform last did not answer, and whether it answered others.
    pub outage: Outage,
    /// Tells lists of endpoints apart; kept, since it is asked for with each digest.
    pub directory_hash: u64,
    /// What endpoints said of themselves.
    pub notices: notice::Table,
    /// Endpoints by name.
    pub targets: HashMap<Endpoint, Arc<Target>>,
    /// Endpoints by service and address: anyone may write an entry with an address that
    /// an endpoint of another service has.
    pub by_address: HashMap<(Service, SocketAddr), Arc<Target>>,
    /// When the last of them came to be known.
    pub discovered_at: Duration,
    /// Other gateways and when each was last heard of by itself, or else first named.
    pub gateways: BTreeMap<SocketAddr, Duration>,
}

impl Inner {
    /// The version of the configuration in force; zero for none.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.configuration.value.as_ref().map_or(0, |catalog| catalog.declared().version)
    }

    /// Whether a version of the configuration is newer than the one in force, or the first.
    #[must_use]
    pub fn is_newer(&self, version: u64) -> bool {
        self.configuration.value.is_none() || version > self.version()
    }

    /// Puts a configuration in force, at a revision of the store at which it is the newest.
    pub fn set_catalog(&mut self, catalog: Arc<Catalog>, revision: Revision) {
        let revision = revision.max(self.configuration.revision);
        let now = Fact::new(revision, Some(catalog));
        let before = std::mem::replace(&mut self.configuration, now);
        self.replaced.extend(before.value);
        self.replaced.drain(..self.replaced.len().saturating_sub(REPLACED));
    }

    /// Keeps a target for each endpoint of the list.
    pub fn sync_targets(&mut self, now: Duration) {
        self.directory_hash = hash(self.tracker.directory());
        let Self { tracker, targets, by_address, notices, .. } = self;
        let entries = &tracker.directory().entries;
        targets.retain(|name, target| {
            let kept = entries.get(name).is_some_and(|entry| target.matches(entry));
            if !kept {
                target.pool.close_idle();
            }
            kept
        });
        for (name, entry) in entries {
            let new = || Arc::new(Target::new(name.clone(), entry, notices));
            let target = targets.entry(name.clone()).or_insert_with(new);
            target.set_listed_cold(entry.cold, now);
        }
        let addressed = entries.iter().filter_map(|(name, entry)| {
            let target = targets.get(name)?;
            Some(((entry.service.clone(), entry.address), Arc::clone(target)))
        });
        *by_address = addressed.collect();
        let listed: BTreeSet<Run> = targets.values().map(|target| target.run).collect();
        notices.expire(|run| listed.contains(&run), now);
    }

    /// The endpoints that the list has as ready.
    pub fn ready(&self) -> impl Iterator<Item = (&Arc<Target>, &Entry)> {
        let entries = self.tracker.directory().entries.iter();
        let ready = entries.filter(|(_, entry)| entry.is_ready());
        ready.filter_map(|(name, entry)| Some((self.targets.get(name)?, entry)))
    }

    /// What is known now, in a few words that tell whether another process knows more.
    #[must_use]
    pub fn summary(&self, now: Duration) -> Summary {
        Summary {
            configuration: self.version(),
            configuration_revision: self.configuration.revision,
            ages: self.timeline.ages(now),
            rollout_revision: self.rollout_revision,
            directory: self.tracker.revision(),
            directory_hash: self.directory_hash,
            evacuated: self.evacuation.known().cloned(),
            store_answers: self.outage.answers(now),
            draining: self.notices.updates(self.ready().map(|(target, _)| target.run), now),
            ..Summary::default()
        }
    }
}

/// Tells lists of endpoints apart, by what an endpoint is and whether it takes work. The
/// models that it holds are left out: each endpoint changes them with each version, all
/// at about the same time, and what agents report of them goes before.
fn hash(directory: &Directory) -> u64 {
    let text: String = directory
        .entries
        .iter()
        .map(|(name, entry)| {
            let Entry { service, address, zone, slots, state, start, cold, .. } = entry;
            let is_cold = !cold.is_zero();
            format!("{name} {service} {address} {zone} {slots} {state:?} {start:?} {is_cold};")
        })
        .collect();
    Key::of(&text).as_u64()
}
