//! The data behind the lock of a gateway's shared state.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cinderspoke_core::gateway::catalog::Catalog;
use cinderspoke_core::gateway::demand::Tag;
use cinderspoke_core::gateway::directory::{self, Directory, Entry, Tracker};
use cinderspoke_core::gateway::evacuation;
use cinderspoke_core::gateway::fact::{Era, Fact, Revision};
use cinderspoke_core::gateway::gossip::{liveness_timeout, rival_timeout};
use cinderspoke_core::gateway::lag::Lag;
use cinderspoke_core::gateway::limit;
use cinderspoke_core::gateway::name::{Endpoint, Service};
use cinderspoke_core::gateway::notice::{self, Run};
use cinderspoke_core::gateway::outage::Outage;
use cinderspoke_core::gateway::region;
use cinderspoke_core::gateway::rollout::Rollout;
use cinderspoke_core::gateway::timeline::Timeline;
use cinderspoke_core::rendezvous::Key;

use super::message::Summary;
use super::target::Target;

/// How many replaced configurations are kept. A gateway with an older one is sent the whole
/// configuration instead of a difference.
const MAX_REPLACED: usize = 8;

/// The data as received, with the revisions by which newer data is recognised.
// Invariants: `targets` holds the endpoints of the tracker's list at the
// addresses that it names, `by_address` the same targets, and `directory_hash`
// is that of the list.
#[derive(Default)]
pub struct Inner {
    /// The configuration; none before the first.
    pub configuration: Fact<Option<Arc<Catalog>>>,
    /// The configurations in force before it, oldest first: the bases of differences.
    pub replaced: VecDeque<Arc<Catalog>>,
    /// The announcements of other gateways.
    pub region: region::Table,
    /// How long newer configurations than the one in force have been announced.
    pub lag: Lag,
    /// The versions that models are to have.
    pub rollout: Rollout,
    /// The last revision of the store at which they are known to be the newest.
    pub rollout_revision: Revision,
    /// When another gateway last raised that revision.
    pub rollout_gossiped_at: Duration,
    /// For how long the versions have been named.
    pub timeline: Timeline,
    /// The versions last read from the store or confirmed against it; none before the first.
    pub stored_rollout: Option<Rollout>,
    /// The list of endpoints.
    pub tracker: Tracker,
    /// The evacuated availability zones.
    pub evacuation: evacuation::Table,
    /// The latest era of the store that is known; none before an answer of it or another gateway.
    pub era: Option<Era>,
    /// When the store last did not answer, and whether it answered other gateways meanwhile.
    pub outage: Outage,
    /// The hash of the list of endpoints, cached since every digest contains it.
    pub directory_hash: u64,
    /// The drains and back-offs that endpoints announced.
    pub notices: notice::Table,
    /// The limits that endpoints named.
    pub limits: limit::Table,
    /// Endpoints by name.
    pub targets: HashMap<Endpoint, Arc<Target>>,
    /// Endpoints by service and address. The address alone is not unique: anyone may write an
    /// entry with the address of an endpoint of another service.
    pub by_address: HashMap<(Service, SocketAddr), Arc<Target>>,
    /// When the newest of the other gateways was discovered.
    pub discovered_at: Duration,
    /// The other gateways, with the time of the last contact with each, or else the time when it
    /// was first named.
    pub gateways: BTreeMap<SocketAddr, Duration>,
    /// Whether a message of another gateway has arrived.
    pub has_contact: bool,
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

    /// Sets the configuration in force, with a revision of the store at which it is the newest.
    pub fn set_catalog(&mut self, catalog: Arc<Catalog>, revision: Revision) {
        let revision = revision.max(self.configuration.revision);
        let now = Fact::new(revision, Some(catalog));
        let before = std::mem::replace(&mut self.configuration, now);
        self.replaced.extend(before.value);
        self.replaced.drain(..self.replaced.len().saturating_sub(MAX_REPLACED));
    }

    /// Creates and removes targets so that there is one for each endpoint of the list.
    pub fn sync_targets(&mut self, now: Duration) {
        self.directory_hash = hash(self.tracker.directory());
        let Self { tracker, targets, by_address, notices, limits, .. } = self;
        let entries = &tracker.directory().entries;
        targets.retain(|name, target| {
            let kept = entries.get(name).is_some_and(|entry| target.matches(entry));
            if !kept {
                target.pool.close_idle();
            }
            kept
        });
        for (name, entry) in entries {
            let new = || Arc::new(Target::new(name.clone(), entry, notices, limits));
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
        limits.expire(|run| listed.contains(&run), now);
    }

    /// The keys of the other gateways that count where gateways divide a budget by rank.
    #[must_use]
    pub fn rival_keys(&self, now: Duration) -> Arc<[Key]> {
        let timeout = rival_timeout(self.gateways.len());
        let rivals =
            self.gateways.iter().filter(|(_, last_contact)| **last_contact + timeout >= now);
        rivals.map(|(gateway, _)| Key::of_address(*gateway)).collect()
    }

    /// The tags of the other live gateways.
    #[must_use]
    pub fn live_others(&self, now: Duration) -> Arc<[Tag]> {
        let timeout = liveness_timeout(self.gateways.len());
        let live = self.gateways.iter().filter(|(_, last_contact)| **last_contact + timeout >= now);
        live.map(|(gateway, _)| Tag::of_gateway(*gateway)).collect()
    }

    /// The endpoints that are ready according to the list.
    pub fn ready(&self) -> impl Iterator<Item = (&Arc<Target>, &Entry)> {
        let entries = self.tracker.directory().entries.iter();
        let ready = entries.filter(|(_, entry)| entry.is_ready());
        ready.filter_map(|(name, entry)| Some((self.targets.get(name)?, entry)))
    }

    /// A summary of the data, from which another process sees whether it has newer data.
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

/// Hashes a list of endpoints by the identity of each endpoint and whether it accepts requests.
/// The models that endpoints hold are excluded: every endpoint changes them with every version,
/// all at about the same time, and the reports of agents take precedence for them.
fn hash(directory: &Directory) -> u64 {
    let text: String = directory
        .entries
        .iter()
        .map(|(name, entry)| {
            let Entry { service, address, zone, slots, state, start, cold, .. } = entry;
            let is_cold = !cold.is_zero();
            // Gateways compare these hashes, so the text is part of their protocol.
            let state = match state {
                directory::State::Ready => "Ready",
                directory::State::Draining => "Leaving",
            };
            format!("{name} {service} {address} {zone} {slots} {state} {start:?} {is_cold};")
        })
        .collect();
    Key::of(&text).as_u64()
}
