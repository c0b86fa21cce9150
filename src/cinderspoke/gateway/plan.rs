//! Plans: what the agents of a service need to know, made from the gateway's state.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

use cinderspoke_core::gateway::directory::{Directory, Entry};
use cinderspoke_core::gateway::listing::Layout;
use cinderspoke_core::gateway::name::Service;

use super::message::{Peer, Plan};
use super::state::State;

/// A plan's hash, and the generation of the view from which the plan was made.
#[derive(Debug, Clone, Copy)]
struct Hashed {
    view: u64,
    hash: u64,
}

/// Makes plans and caches their hashes.
pub struct Planner {
    state: Arc<State>,
    hashes: Mutex<HashMap<Service, Hashed>>,
}

impl Planner {
    /// Creates a planner on a gateway's state.
    #[must_use]
    pub fn new(state: Arc<State>) -> Self {
        Self { state, hashes: Mutex::default() }
    }

    /// The hash of a service's plan. It is computed again only after the view changed, since each
    /// report of an agent needs it.
    #[must_use]
    pub fn hash(&self, service: &Service) -> u64 {
        let view = self.state.view().generation;
        let mut hashes = self.hashes.lock().unwrap_or_else(PoisonError::into_inner);
        match hashes.get(service) {
            Some(cached) if cached.view == view => cached.hash,
            _ => {
                let hash = self.plan(service).hash();
                hashes.insert(service.clone(), Hashed { view, hash });
                hash
            }
        }
    }

    /// The plan of a service.
    #[must_use]
    pub fn plan(&self, service: &Service) -> Plan {
        let view = self.state.view();
        let directory = self.state.directory();
        let engine = view.engine(service);
        let models = engine.map(|engine| engine.models.iter().map(ToString::to_string).collect());
        let origins = view.catalog.as_ref().map(|catalog| catalog.origins().collect());
        Plan {
            revision: directory.revision,
            rollout: view.rollout.clone(),
            ages: self.state.ages(),
            models: models.unwrap_or_default(),
            origins: origins.unwrap_or_default(),
            peers: self.peers(&directory.value, service),
            layout: engine.and_then(|engine| Layout::new(engine.chunks, engine.chunk_bytes)),
        }
    }

    /// The engines of a service, in the order of their addresses.
    fn peers(&self, directory: &Directory, service: &Service) -> Vec<Peer> {
        let options = self.state.options();
        let entries = directory.entries.values().filter(|entry| entry.service == *service);
        let peer = |entry: &Entry| Peer {
            engine: entry.address,
            zone: entry.zone.to_string(),
            region: options.regions.get(entry.zone.as_str()).cloned().unwrap_or_default(),
        };
        let mut peers: Vec<_> = entries.map(peer).collect();
        peers.sort_by_key(|peer| peer.engine);
        peers
    }
}
