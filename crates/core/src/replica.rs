//! The replicas on one instance: turns the orders of a plan into steps for the agent.
//!
//! New weights are loaded beside those in use. A service switches to them
//! atomically once they are completely loaded. Weights that no service uses
//! any more are drained, then unloaded.
//!
//! [`Replicas`] tracks the stage of each version's weights. The agent carries
//! out each [`Step`] and records its result.

use std::collections::{BTreeMap, BTreeSet};

use cinderspoke_schema::control::{Order, Phase, Priority, Weights};
use cinderspoke_types::counter::Fence;
use cinderspoke_types::digest::Digest;
use cinderspoke_types::id::Service;
use cinderspoke_types::size::Bytes;

/// The maximum number of versions fetched at once; the others are queued.
const MAX_TRANSFERS: usize = 2;

/// What the agent does next.
#[derive(Debug, Clone, PartialEq)]
pub enum Step {
    /// Fetch the chunks of some weights and verify them.
    Fetch(Weights),
    /// Cancel a fetch, and drop the chunks fetched so far or the verified weights.
    Abandon(Digest),
    /// Order the engine to load verified weights.
    Load {
        /// What to load.
        weights: Weights,
        /// The fence that the order carries.
        fence: Fence,
    },
    /// Wait until no request uses the weights any more.
    Drain(Digest),
    /// Order the engine to unload drained weights.
    Unload {
        /// What to unload.
        manifest: Digest,
        /// The fence that the order carries.
        fence: Fence,
    },
}

/// Whether a set of orders was applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// They are at least as new as the known ones.
    Accepted,
    /// They are older than the known ones and were ignored.
    Stale,
}

/// The stage of some weights, from fetch to unload.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Fetching,
    Verified,
    Loading,
    Loaded,
    Draining,
    Drained,
    Unloading,
}

#[derive(Debug)]
struct Held {
    weights: Weights,
    stage: Stage,
}

#[derive(Debug)]
struct Replica {
    // The weights ordered; `None` for a plain service.
    wanted: Option<Weights>,
    // Invariant: the weights named here are in the stage `Loaded`.
    serving: Option<Digest>,
    ordered: bool,
    plain: bool,
    priority: Priority,
    may_drain: bool,
}

/// All replicas of an instance and the weights that they use.
#[derive(Debug)]
pub struct Replicas {
    memory: Bytes,
    fence: Fence,
    replicas: BTreeMap<Service, Replica>,
    held: BTreeMap<Digest, Held>,
}

impl Replicas {
    /// Creates the state of an endpoint without replicas, with `memory` for weights.
    #[must_use]
    pub fn new(memory: Bytes) -> Self {
        Self { memory, fence: Fence::default(), replicas: BTreeMap::new(), held: BTreeMap::new() }
    }

    /// The newest fence known.
    #[must_use]
    pub fn fence(&self) -> Fence {
        self.fence
    }

    /// Records weights that the engine reports as completely loaded when the agent starts.
    pub fn restore_loaded(&mut self, weights: Weights) {
        let manifest = weights.manifest;
        self.held.insert(manifest, Held { weights, stage: Stage::Loaded });
    }

    /// Applies the orders of a plan, unless their fence is older than the newest one known.
    pub fn apply_orders(&mut self, fence: Fence, orders: &[Order]) -> Verdict {
        if fence < self.fence {
            return Verdict::Stale;
        }
        self.fence = fence;
        for replica in self.replicas.values_mut() {
            replica.ordered = false;
        }
        for order in orders {
            let fresh = || Replica {
                wanted: None,
                serving: None,
                ordered: true,
                plain: false,
                priority: order.priority,
                may_drain: false,
            };
            let replica = self.replicas.entry(order.service.clone()).or_insert_with(fresh);
            replica.ordered = true;
            replica.plain = order.weights.is_none();
            replica.priority = order.priority;
            replica.may_drain = order.may_drain;
            replica.wanted.clone_from(&order.weights);
        }
        Verdict::Accepted
    }

    /// Records that the complete weights have been verified.
    pub fn record_verified(&mut self, manifest: Digest) {
        self.advance(manifest, Stage::Fetching, Stage::Verified);
    }

    /// Records that fetching weights failed; they are fetched again.
    pub fn record_fetch_failure(&mut self, manifest: Digest) {
        self.held.retain(|digest, held| *digest != manifest || held.stage != Stage::Fetching);
    }

    /// Records that the engine has completely loaded weights.
    pub fn record_loaded(&mut self, manifest: Digest) {
        self.advance(manifest, Stage::Loading, Stage::Loaded);
    }

    /// Records that the engine failed to load weights; the load is ordered again.
    pub fn record_load_failure(&mut self, manifest: Digest) {
        self.advance(manifest, Stage::Loading, Stage::Verified);
    }

    /// Records that no request uses the weights any more.
    pub fn record_drained(&mut self, manifest: Digest) {
        self.advance(manifest, Stage::Draining, Stage::Drained);
    }

    /// Records that the engine failed to unload weights; the unload is ordered again.
    pub fn record_unload_failure(&mut self, manifest: Digest) {
        self.advance(manifest, Stage::Unloading, Stage::Drained);
    }

    /// Records that the engine has unloaded weights.
    pub fn record_unloaded(&mut self, manifest: Digest) {
        self.held.retain(|digest, held| *digest != manifest || held.stage != Stage::Unloading);
    }

    fn advance(&mut self, manifest: Digest, from: Stage, to: Stage) {
        if let Some(held) = self.held.get_mut(&manifest)
            && held.stage == from
        {
            held.stage = to;
        }
    }

    /// Returns the next steps. Each step is returned once.
    pub fn steps(&mut self) -> Vec<Step> {
        self.switch();
        self.free_memory();
        let wanted = self.wanted();
        let mut steps = self.fetch_wanted(&wanted);
        steps.extend(self.drop_unwanted(&wanted));
        steps.extend(self.load_verified(&wanted));
        steps
    }

    /// Switches services to the ordered weights if these are loaded, and removes services that are
    /// no longer ordered.
    fn switch(&mut self) {
        for replica in self.replicas.values_mut() {
            let wanted = replica.wanted.as_ref().map(|weights| weights.manifest);
            if !replica.ordered {
                replica.serving = None;
            } else if let Some(manifest) = wanted
                && let Some(held) = self.held.get_mut(&manifest)
                && matches!(held.stage, Stage::Loaded | Stage::Draining | Stage::Drained)
            {
                held.stage = Stage::Loaded;
                replica.serving = Some(manifest);
            }
        }
        self.replicas.retain(|_, replica| replica.ordered);
    }

    /// Stops serving with the old weights where the plan allows it and the new, verified weights do
    /// not fit into memory beside them.
    fn free_memory(&mut self) {
        let used = self.memory_used();
        for replica in self.replicas.values_mut().filter(|replica| replica.may_drain) {
            let waiting =
                replica.wanted.as_ref().and_then(|weights| self.held.get(&weights.manifest));
            let blocked = waiting.is_some_and(|held| {
                held.stage == Stage::Verified && used + held.weights.size > self.memory
            });
            if blocked {
                replica.serving = None;
            }
        }
    }

    fn wanted(&self) -> BTreeMap<Digest, Weights> {
        let wanted = self.replicas.values().filter_map(|replica| replica.wanted.clone());
        wanted.map(|weights| (weights.manifest, weights)).collect()
    }

    /// Starts transfers: those of the most urgent services first, then the smallest weights, so
    /// that all members of a swarm fetch the same weights at the same time.
    fn fetch_wanted(&mut self, wanted: &BTreeMap<Digest, Weights>) -> Vec<Step> {
        let mut missing: Vec<_> =
            wanted.values().filter(|weights| !self.held.contains_key(&weights.manifest)).collect();
        missing.sort_by_key(|weights| {
            (self.urgency(weights.manifest), weights.size, weights.manifest)
        });
        let fetching = self.held.values().filter(|held| held.stage == Stage::Fetching).count();
        let mut steps = Vec::new();
        for weights in missing.into_iter().take(MAX_TRANSFERS.saturating_sub(fetching)) {
            let held = Held { weights: weights.clone(), stage: Stage::Fetching };
            self.held.insert(weights.manifest, held);
            steps.push(Step::Fetch(weights.clone()));
        }
        steps
    }

    /// The most urgent priority among the services that are ordered to use some weights.
    fn urgency(&self, manifest: Digest) -> Option<Priority> {
        let wants = |replica: &&Replica| {
            replica.wanted.as_ref().is_some_and(|weights| weights.manifest == manifest)
        };
        self.replicas.values().filter(wants).map(|replica| replica.priority).min()
    }

    fn drop_unwanted(&mut self, wanted: &BTreeMap<Digest, Weights>) -> Vec<Step> {
        let serving: BTreeSet<_> =
            self.replicas.values().filter_map(|replica| replica.serving).collect();
        let mut steps = Vec::new();
        for (manifest, held) in &mut self.held {
            if wanted.contains_key(manifest) || serving.contains(manifest) {
                continue;
            }
            match held.stage {
                Stage::Fetching | Stage::Verified => steps.push(Step::Abandon(*manifest)),
                Stage::Loaded => {
                    held.stage = Stage::Draining;
                    steps.push(Step::Drain(*manifest));
                }
                Stage::Drained => {
                    held.stage = Stage::Unloading;
                    steps.push(Step::Unload { manifest: *manifest, fence: self.fence });
                }
                Stage::Loading | Stage::Draining | Stage::Unloading => {}
            }
        }
        self.held.retain(|manifest, _| !steps.contains(&Step::Abandon(*manifest)));
        steps
    }

    fn load_verified(&mut self, wanted: &BTreeMap<Digest, Weights>) -> Vec<Step> {
        let mut steps = Vec::new();
        for (manifest, weights) in wanted {
            let verified =
                self.held.get(manifest).is_some_and(|held| held.stage == Stage::Verified);
            if verified && self.memory_used() + weights.size <= self.memory {
                self.advance(*manifest, Stage::Verified, Stage::Loading);
                steps.push(Step::Load { weights: weights.clone(), fence: self.fence });
            }
        }
        steps
    }

    /// The endpoint's memory that weights occupy.
    fn memory_used(&self) -> Bytes {
        let in_engine = |held: &&Held| !matches!(held.stage, Stage::Fetching | Stage::Verified);
        self.held.values().filter(in_engine).map(|held| held.weights.size).sum()
    }

    /// The weights that serve the requests for a service now.
    #[must_use]
    pub fn serving(&self, service: &Service) -> Serving {
        match self.replicas.get(service) {
            Some(replica) if replica.plain => Serving::Plain,
            Some(replica) => replica.serving.map_or(Serving::Nothing, Serving::Weights),
            None => Serving::Nothing,
        }
    }

    /// Each replica with its phase, and the weights that it serves or is ordered to serve.
    pub fn phases(&self) -> impl Iterator<Item = (&Service, Phase, Option<&Weights>)> {
        self.replicas.iter().flat_map(|(service, replica)| self.phases_of(service, replica))
    }

    fn phases_of<'a>(
        &'a self,
        service: &'a Service,
        replica: &'a Replica,
    ) -> Vec<(&'a Service, Phase, Option<&'a Weights>)> {
        if replica.plain {
            return vec![(service, Phase::Live, None)];
        }
        let mut phases = Vec::new();
        let serving = replica.serving.and_then(|manifest| self.held.get(&manifest));
        if let Some(held) = serving {
            phases.push((service, Phase::Live, Some(&held.weights)));
        }
        let wanted = replica.wanted.as_ref();
        if let Some(weights) = wanted.filter(|weights| Some(weights.manifest) != replica.serving) {
            phases.push((service, self.phase(weights.manifest), Some(weights)));
        }
        phases
    }

    fn phase(&self, manifest: Digest) -> Phase {
        match self.held.get(&manifest).map(|held| held.stage) {
            None => Phase::Waiting,
            Some(Stage::Fetching) => Phase::Fetching,
            Some(Stage::Verified) => Phase::Verified,
            Some(Stage::Loading) => Phase::Loading,
            Some(Stage::Loaded) => Phase::Live,
            Some(Stage::Draining | Stage::Drained | Stage::Unloading) => Phase::Leaving,
        }
    }
}

/// What an instance serves the requests of a service with.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Serving {
    /// Nothing: the instance does not serve them.
    Nothing,
    /// The weights of this manifest.
    Weights(Digest),
    /// No weights, since it is a plain service.
    Plain,
}
