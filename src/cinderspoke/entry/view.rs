//! An immutable snapshot of the control state, for the threads that serve requests.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use cinderspoke_core::configuration::{DEFAULT_ORIGIN_WEIGHT, min_live_replicas};
use cinderspoke_core::coordinator::{Active, Coordinator};
use cinderspoke_core::member::Health;
use cinderspoke_core::rendezvous::Key;
use cinderspoke_core::route::{Candidate, Distance};
use cinderspoke_core::swarm;
use cinderspoke_schema::control::{
    Heartbeat, HeartbeatReply, Member, Members, Order, Peer, Phase, Plan, Roster, State, Swarm,
};
use cinderspoke_schema::operator;
use cinderspoke_types::counter::{Fence, Generation};
use cinderspoke_types::digest::Digest;
use cinderspoke_types::id::{Instance, Region, Service, Zone};

/// The availability zone and region of an entry instance.
#[derive(Debug, Clone)]
pub struct Location {
    /// Its availability zone.
    pub zone: Zone,
    /// Its region.
    pub region: Region,
}

/// Counters of the requests in progress that this entry instance has sent to each instance.
#[derive(Debug, Default)]
pub struct InFlight {
    counters: HashMap<Instance, Arc<AtomicU32>>,
}

impl InFlight {
    /// Returns the counter of an instance; every call returns the same counter.
    fn counter(&mut self, instance: &Instance) -> Arc<AtomicU32> {
        Arc::clone(self.counters.entry(instance.clone()).or_default())
    }

    /// Removes the counters of instances that are no longer members and have no requests in
    /// progress.
    fn retain(&mut self, members: &[(Member, Health)]) {
        let known: BTreeSet<_> = members.iter().map(|(member, _)| &member.instance).collect();
        self.counters.retain(|instance, counter| {
            known.contains(instance) || counter.load(Ordering::Relaxed) > 0
        });
    }
}

/// A replica that can serve a service's requests.
#[derive(Debug)]
pub struct Target {
    /// Its instance.
    pub instance: Instance,
    /// The address of its agent.
    pub address: SocketAddr,
    /// The manifest of its weights; `None` for a plain service.
    pub manifest: Option<Digest>,
    /// Whether these are the weights in the configuration.
    pub current: bool,
    /// The number of requests in progress that this entry instance has sent to it.
    pub in_flight: Arc<AtomicU32>,
    key: Key,
    distance: Distance,
    health: Health,
    reported_requests: u32,
}

impl Target {
    /// Returns the current properties of the replica for [`cinderspoke_core::route::pick`].
    #[must_use]
    pub fn to_candidate(&self) -> Candidate {
        Candidate {
            instance: self.instance.clone(),
            key: self.key,
            address: self.address,
            distance: self.distance,
            in_flight: self.in_flight.load(Ordering::Relaxed),
            reported: self.reported_requests,
        }
    }
}

/// A service with the replicas that can serve its requests.
#[derive(Debug)]
pub struct Route {
    /// The service as declared in the configuration.
    pub service: operator::Service,
    /// The preferred replicas, among which requests are distributed.
    pub targets: Vec<Target>,
}

/// A snapshot of the control state.
#[derive(Debug, Default)]
pub struct View {
    /// The configuration in force.
    pub active: Option<Arc<Active>>,
    /// The latest plan of each availability zone.
    pub plans: BTreeMap<Zone, Plan>,
    /// The latest list of members of each availability zone.
    pub members_by_zone: Vec<Members>,
    /// All members with their health.
    pub members: Vec<(Member, Health)>,
    /// Whether this instance is the planner, which writes the plans.
    pub is_planner: bool,
    /// The services by name.
    pub routes: BTreeMap<Service, Route>,
    // With a key that changes when the peers of the swarm change.
    swarms: BTreeMap<Digest, (Key, Swarm)>,
    orders: BTreeMap<Instance, Vec<Order>>,
}

impl View {
    /// Takes a snapshot of the control state.
    #[must_use]
    pub fn new(
        coordinator: &Coordinator,
        location: &Location,
        in_flight: &mut InFlight,
        now: Duration,
    ) -> Self {
        let members = coordinator.members(now);
        in_flight.retain(&members);
        let plans: BTreeMap<_, _> =
            coordinator.plans().map(|plan| (plan.zone.clone(), plan.clone())).collect();
        let active = coordinator.active().cloned();
        let routes = active.as_ref().map(|active| routes(active, &members, location, in_flight));
        Self {
            swarms: swarms(&plans, &members),
            orders: plans.get(&location.zone).map(orders).unwrap_or_default(),
            members_by_zone: coordinator.members_by_zone().cloned().collect(),
            is_planner: coordinator.is_planner(now),
            routes: routes.unwrap_or_default(),
            active,
            plans,
            members,
        }
    }

    /// Returns the generation in force; zero before the first one.
    #[must_use]
    pub fn generation(&self) -> Generation {
        self.active.as_ref().map(|active| active.root.generation).unwrap_or_default()
    }

    /// Whether this view has plans or swarms for agents that differ from those of another view.
    #[must_use]
    pub fn has_updates_since(&self, other: &Self) -> bool {
        let fences =
            |view: &Self| -> Vec<Fence> { view.plans.values().map(|plan| plan.fence).collect() };
        let swarms =
            |view: &Self| -> Vec<Key> { view.swarms.values().map(|(key, _)| *key).collect() };
        fences(self) != fences(other) || swarms(self) != swarms(other)
    }

    /// Whether this view has a plan or a roster that the agent that sent a heartbeat does not have.
    #[must_use]
    pub fn has_updates_for(&self, heartbeat: &Heartbeat) -> bool {
        let member = &heartbeat.member;
        let fence = self.plans.get(&member.zone).map_or(Fence::default(), |plan| plan.fence);
        let orders = self.orders.get(&member.instance).map_or(&[][..], Vec::as_slice);
        fence > member.fence || self.revision(orders) != heartbeat.roster
    }

    /// Returns the reply to an agent's heartbeat. It contains the roster only if the agent has a
    /// different one.
    #[must_use]
    pub fn reply(&self, heartbeat: &Heartbeat) -> HeartbeatReply {
        let member = &heartbeat.member;
        let plan = self.plans.get(&member.zone);
        let orders = self.orders.get(&member.instance).cloned().unwrap_or_default();
        let roster = self.roster(&orders);
        let known = roster.revision == heartbeat.roster;
        HeartbeatReply {
            generation: self.generation(),
            fence: plan.map_or(Fence::default(), |plan| plan.fence),
            orders,
            roster: (!known).then_some(roster),
        }
    }

    fn roster(&self, orders: &[Order]) -> Roster {
        let swarms = self.swarms_of(orders).map(|(_, swarm)| swarm.clone()).collect();
        Roster { revision: self.revision(orders), origin_weight: self.origin_weight(), swarms }
    }

    /// Returns the swarms of an instance with these orders, without duplicates.
    fn swarms_of(&self, orders: &[Order]) -> impl Iterator<Item = &(Key, Swarm)> {
        let manifests: BTreeSet<_> =
            orders.iter().filter_map(|order| Some(order.weights.as_ref()?.manifest)).collect();
        manifests.into_iter().filter_map(|manifest| self.swarms.get(&manifest))
    }

    fn origin_weight(&self) -> f64 {
        let weight = self.active.as_ref().map(|active| active.configuration.origin_weight);
        weight.unwrap_or(DEFAULT_ORIGIN_WEIGHT)
    }

    /// Returns the revision of a roster, which is a hash of its content; never 0.
    fn revision(&self, orders: &[Order]) -> u64 {
        let start = Key::of_number(self.origin_weight().to_bits());
        let key = self.swarms_of(orders).fold(start, |key, (swarm, _)| key.with(*swarm));
        key.as_u64() | 1
    }
}

fn orders(plan: &Plan) -> BTreeMap<Instance, Vec<Order>> {
    let mut orders: BTreeMap<_, Vec<Order>> = BTreeMap::new();
    for placed in &plan.placements {
        let order = Order {
            service: placed.service.clone(),
            priority: placed.priority,
            weights: placed.weights.clone(),
            may_drain: placed.may_drain,
        };
        orders.entry(placed.instance.clone()).or_default().push(order);
    }
    orders
}

/// Returns the swarm of each manifest: the instances for which a replica with these weights is
/// planned.
fn swarms(
    plans: &BTreeMap<Zone, Plan>,
    members: &[(Member, Health)],
) -> BTreeMap<Digest, (Key, Swarm)> {
    let by_instance: BTreeMap<_, _> =
        members.iter().map(|(member, _)| (&member.instance, member)).collect();
    let mut peers: BTreeMap<Digest, BTreeMap<&Instance, Peer>> = BTreeMap::new();
    for placed in plans.values().flat_map(|plan| &plan.placements) {
        if let Some(weights) = &placed.weights
            && let Some(member) = by_instance.get(&placed.instance)
        {
            let swarm = peers.entry(weights.manifest).or_default();
            swarm.insert(&member.instance, swarm::peer(member));
        }
    }
    let swarm = |(manifest, peers): (Digest, BTreeMap<_, Peer>)| {
        let swarm = Swarm { manifest, peers: peers.into_values().collect() };
        (manifest, (swarm_key(&swarm), swarm))
    };
    peers.into_iter().map(swarm).collect()
}

fn swarm_key(swarm: &Swarm) -> Key {
    let peers =
        swarm.peers.iter().map(|peer| Key::of(&format!("{} {}", peer.instance, peer.address)));
    peers.fold(Key::of(&swarm.manifest.to_string()), Key::with)
}

fn routes(
    active: &Active,
    members: &[(Member, Health)],
    location: &Location,
    in_flight: &mut InFlight,
) -> BTreeMap<Service, Route> {
    let mut routes: BTreeMap<Service, Route> = BTreeMap::new();
    for service in active.configuration.services.values() {
        let route = Route { service: service.clone(), targets: Vec::new() };
        routes.insert(service.name.clone(), route);
    }
    for (member, health) in members {
        for replica in member.replicas.iter().filter(|replica| replica.phase == Phase::Live) {
            let Some(route) = routes.get_mut(&replica.service) else { continue };
            if member.state == State::Leaving || *health == Health::Dead {
                continue;
            }
            let manifest = replica.weights.as_ref().map(|weights| weights.manifest);
            let wanted = active.configuration.weights(&route.service);
            route.targets.push(Target {
                instance: member.instance.clone(),
                address: member.address,
                manifest,
                current: manifest == wanted.map(|weights| weights.manifest),
                in_flight: in_flight.counter(&member.instance),
                key: Key::of(member.instance.as_str()),
                distance: distance(member, location),
                health: *health,
                reported_requests: member
                    .load
                    .as_ref()
                    .map_or(0, |load| load.running + load.queued),
            });
        }
    }
    routes.values_mut().for_each(retain_preferred);
    routes
}

/// Retains the replicas that are alive, if there are any, and removes those with former weights
/// once the minimum number of replicas have the current weights.
///
/// Without the minimum, the first replica with the current weights would receive the requests of
/// all the others.
fn retain_preferred(route: &mut Route) {
    let enough = min_live_replicas(&route.service) as usize;
    let targets = &mut route.targets;
    if targets.iter().any(|target| target.health == Health::Alive) {
        targets.retain(|target| target.health == Health::Alive);
    }
    if targets.iter().filter(|target| target.current).count() >= enough {
        targets.retain(|target| target.current);
    }
}

fn distance(member: &Member, location: &Location) -> Distance {
    if member.zone == location.zone {
        Distance::Zone
    } else if member.region == location.region {
        Distance::Region
    } else {
        Distance::Far
    }
}
