//! What requests see of a gateway's knowledge: all that holds at one moment.

use std::collections::BTreeMap;
use std::sync::Arc;

use cinderspoke_core::gateway::catalog::{Catalog, Engine};
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
    /// How near it is.
    pub distance: Distance,
    /// The region of its availability zone; the empty name where that is unknown.
    pub region: Region,
    /// Whether its availability zone is emptied.
    pub is_evacuated: bool,
}

/// All that is known at a moment.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// Tells views apart: each has a higher one than those before.
    pub generation: u64,
    /// The configuration, once one is known.
    pub catalog: Option<Arc<Catalog>>,
    /// The endpoints of each service.
    pub members: Arc<BTreeMap<Service, Vec<Member>>>,
    /// The versions that models are to have.
    pub rollout: Rollout,
    /// How many gateways there are, this one among them.
    pub gateways: usize,
    /// Whether it is known which availability zones are emptied, where any may be.
    pub evacuations_known: bool,
    /// The keys of all other gateways, alive or not, by which shares are ranked.
    pub other_keys: Arc<[Key]>,
}

impl View {
    /// The endpoints of a service.
    #[must_use]
    pub fn members(&self, service: &Service) -> &[Member] {
        self.members.get(service).map(Vec::as_slice).unwrap_or_default()
    }

    /// How a service's endpoints spend their time, if they are model engines.
    #[must_use]
    pub fn engine(&self, service: &Service) -> Option<&Engine> {
        self.catalog.as_ref()?.backend(service)?.engine.as_ref()
    }
}
