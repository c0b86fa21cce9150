//! The facts behind a gateway's view.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cinderspoke_core::gateway::catalog::Catalog;
use cinderspoke_core::gateway::directory::{Directory, Entry, Keeper};
use cinderspoke_core::gateway::fact::Fact;
use cinderspoke_core::gateway::name::{Endpoint, Service};
use cinderspoke_core::gateway::outage::Outage;
use cinderspoke_core::gateway::rollout::Rollout;
use cinderspoke_core::gateway::timeline::Timeline;
use cinderspoke_core::rendezvous::Key;

use super::message::Known;
use super::target::Target;

/// Facts as they came in, with what is needed to tell which are newer.
// Invariants: `targets` holds the endpoints of the keeper's list at the
// addresses that it names, `by_address` the same targets, and `directory_hash`
// is that of the list.
#[derive(Default)]
pub struct Belief {
    /// The configuration; none before the first.
    pub configuration: Fact<Option<Arc<Catalog>>>,
    /// The versions that models are to have.
    pub rollout: Rollout,
    /// For how long they have been named.
    pub timeline: Timeline,
    /// The versions that the store itself told of last; none before it first did.
    pub stored: Option<Rollout>,
    /// The list of endpoints.
    pub keeper: Keeper,
    /// When the platform last did not answer, and whether it answered others.
    pub outage: Outage,
    /// Tells lists of endpoints apart; kept, since it is asked for with each digest.
    pub directory_hash: u64,
    /// Endpoints by name.
    pub targets: HashMap<Endpoint, Arc<Target>>,
    /// Endpoints by service and address: anyone may write an entry with an address that
    /// an endpoint of another service has.
    pub by_address: HashMap<(Service, SocketAddr), Arc<Target>>,
    /// Other gateways and when each was last heard of by itself, or else first named.
    pub gateways: BTreeMap<SocketAddr, Duration>,
}

impl Belief {
    /// The version of the configuration in force; zero for none.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.configuration.value.as_ref().map_or(0, |catalog| catalog.declared().version)
    }

    /// Keeps a target for each endpoint of the list.
    pub fn follow_directory(&mut self) {
        self.directory_hash = hash(self.keeper.directory());
        let Self { keeper, targets, by_address, .. } = self;
        let entries = &keeper.directory().entries;
        targets.retain(|name, target| {
            let kept = entries.get(name).is_some_and(|entry| target.is_of(entry));
            if !kept {
                target.pool.clear();
            }
            kept
        });
        for (name, entry) in entries {
            let new = || Arc::new(Target::new(name.clone(), entry));
            targets.entry(name.clone()).or_insert_with(new);
        }
        let addressed = entries.iter().filter_map(|(name, entry)| {
            let target = targets.get(name)?;
            Some(((entry.service.clone(), entry.address), Arc::clone(target)))
        });
        *by_address = addressed.collect();
    }

    /// What is known now, in a few words that tell whether another process knows more.
    #[must_use]
    pub fn known(&self, now: Duration) -> Known {
        Known {
            configuration: self.version(),
            ages: self.timeline.ages(now),
            directory: self.keeper.revision(),
            directory_hash: self.directory_hash,
            answers: self.outage.answers(now),
            ..Known::default()
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
            let Entry { service, address, zone, slots, state, start, .. } = entry;
            format!("{name} {service} {address} {zone} {slots} {state:?} {start:?};")
        })
        .collect();
    Key::of(&text).as_u64()
}
