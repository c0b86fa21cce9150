//! An immutable snapshot of a gateway's state, as requests read it.

use std::collections::BTreeMap;
use std::sync::Arc;

use cinderspoke_core::gateway::catalog::{Catalog, Engine};
use cinderspoke_core::gateway::demand::Tag;
use cinderspoke_core::gateway::directory::Entry;
use cinderspoke_core::gateway::name::{Region, Service};
use cinderspoke_core::gateway::rollout::Rollout;
use cinderspoke_core::rendezvous::Key;
use cinderspoke_core::swarm::Distance;

use super::target::Target;

/// An endpoint with its entry in the list.
#[derive(Debug, Clone)]
pub struct Member {
    /// The endpoint.
    pub target: Arc<Target>,
    /// Its entry.
    pub entry: Entry,
    /// Its distance from this gateway.
    pub distance: Distance,
    /// The region of its availability zone; the empty name where that is unknown.
    pub region: Region,
    /// Whether its availability zone is evacuated.
    pub is_evacuated: bool,
}

/// A snapshot of the gateway's state.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// Identifies the snapshot: each has a higher generation than those before it.
    pub generation: u64,
    /// The configuration, once one is known.
    pub catalog: Option<Arc<Catalog>>,
    /// The endpoints of each service.
    pub members: Arc<BTreeMap<Service, Vec<Member>>>,
    /// The versions that models are to have.
    pub rollout: Rollout,
    /// The number of gateways that are heard of, this one included.
    pub gateways: usize,
    /// The number of gateways that were ever known, this one included.
    pub known_gateways: usize,
    /// Whether it is known which availability zones are evacuated; always true where the settings
    /// do not allow evacuations.
    pub evacuations_known: bool,
    /// The keys of the other gateways with which this one divides budgets, for ranking shares. They
    /// may have ended a while ago.
    pub other_keys: Arc<[Key]>,
    /// The tags of the other live gateways, whose requests are estimated.
    pub live_others: Arc<[Tag]>,
}

impl View {
    /// The endpoints of a service.
    #[must_use]
    pub fn members(&self, service: &Service) -> &[Member] {
        self.members.get(service).map(Vec::as_slice).unwrap_or_default()
    }

    /// The model engine's parameters of a service, if its endpoints are model engines.
    #[must_use]
    pub fn engine(&self, service: &Service) -> Option<&Engine> {
        self.catalog.as_ref()?.backend(service)?.engine.as_ref()
    }
}
