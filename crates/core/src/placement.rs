//! Placement: assigns the replicas of services to instances.
//!
//! Existing replicas stay: a replica moves only when its instance is gone or
//! leaving, when its service no longer needs it, or when its zone is no longer
//! allowed. Missing replicas go to the zone with the fewest replicas of the
//! service, then to the instance with the fewest services, then by rendezvous
//! hash.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use cinderspoke_schema::control::{Kind, Member, Placement, Priority, State};
use cinderspoke_schema::operator::{self, Service, Spread};
use cinderspoke_types::id;
use cinderspoke_types::size::Bytes;

use crate::configuration::Configuration;
use crate::rendezvous::{Key, weight};

/// The replicas of each availability zone, ordered by instance and service.
pub type Placements = BTreeMap<id::Zone, Vec<Placement>>;

/// Places the replicas of every service on the members, moving as few as possible.
///
/// If there are too few members, the replicas that do not fit are not placed.
#[must_use]
pub fn place(
    configuration: &Configuration,
    members: &[Member],
    previous: &Placements,
) -> Placements {
    let mut assignment = Assignment::new(configuration, members);
    for service in configuration.services.values() {
        assignment.keep(service, previous);
    }
    for service in configuration.services.values() {
        assignment.fill(service);
    }
    assignment.into_placements()
}

fn priority(priority: operator::Priority) -> Priority {
    match priority {
        operator::Priority::Interactive => Priority::Interactive,
        operator::Priority::Normal => Priority::Normal,
        operator::Priority::Batch => Priority::Batch,
    }
}

/// An instance during placement, with its free memory and the replicas placed on it so far.
struct Slot<'a> {
    member: &'a Member,
    free: Bytes,
    services: BTreeSet<&'a id::Service>,
    weights: BTreeSet<cinderspoke_types::digest::Digest>,
}

/// Assigns replicas to instances, service by service.
struct Assignment<'a> {
    configuration: &'a Configuration,
    slots: BTreeMap<&'a id::Instance, Slot<'a>>,
}

impl<'a> Assignment<'a> {
    fn new(configuration: &'a Configuration, members: &'a [Member]) -> Self {
        let ready = members.iter().filter(|member| member.state == State::Ready);
        let slot = |member: &'a Member| Slot {
            member,
            free: member.memory,
            services: BTreeSet::new(),
            weights: BTreeSet::new(),
        };
        let slots = ready.map(|member| (&member.instance, slot(member))).collect();
        Self { configuration, slots }
    }

    /// Keeps the existing replicas of a service that are still needed and fit.
    fn keep(&mut self, service: &'a Service, previous: &Placements) {
        let existing = previous.values().flatten().filter(|placed| placed.service == service.name);
        let mut by_zone: BTreeMap<&id::Zone, Vec<&id::Instance>> = BTreeMap::new();
        for placed in existing {
            if let Some(slot) = self.slots.get(&placed.instance)
                && self.fits(service, slot)
            {
                by_zone.entry(&slot.member.zone).or_default().push(&slot.member.instance);
            }
        }
        let mut surplus = by_zone.values().map(Vec::len).sum::<usize>();
        surplus = surplus.saturating_sub(service.replicas.get() as usize);
        while surplus > 0 {
            // The zone with the most replicas loses one first, so that the spread stays even.
            let fullest = by_zone.values_mut().max_by_key(|instances| instances.len());
            fullest.and_then(Vec::pop);
            surplus -= 1;
        }
        for instance in by_zone.into_values().flatten() {
            self.put(service, instance);
        }
    }

    /// Places the missing replicas of a service, as far as instances fit.
    fn fill(&mut self, service: &'a Service) {
        let key = Key::of(service.name.as_str());
        let mut missing = service.replicas.get() as usize - self.count(service);
        while missing > 0 {
            let fitting = self.slots.values().filter(|slot| self.fits(service, slot));
            let best = fitting.min_by_key(|slot| {
                let name = Key::of(slot.member.instance.as_str());
                (
                    self.replicas_in_zone(service, slot),
                    slot.services.len(),
                    Reverse(weight(key, name)),
                )
            });
            let Some(instance) = best.map(|slot| &slot.member.instance) else { return };
            self.put(service, instance);
            missing -= 1;
        }
    }

    /// The number of a service's replicas already in a slot's zone; zero if the service does not ask
    /// for an even spread.
    fn replicas_in_zone(&self, service: &Service, slot: &Slot<'_>) -> usize {
        let spread = service.placement.as_ref().map_or(Spread::Even, |placement| placement.spread);
        match spread {
            Spread::Any => 0,
            Spread::Even => {
                let same = |other: &&Slot<'_>| other.member.zone == slot.member.zone;
                let holding = |other: &&Slot<'_>| other.services.contains(&service.name);
                self.slots.values().filter(same).filter(holding).count()
            }
        }
    }

    fn count(&self, service: &Service) -> usize {
        self.slots.values().filter(|slot| slot.services.contains(&service.name)).count()
    }

    fn fits(&self, service: &Service, slot: &Slot<'_>) -> bool {
        let allowed = self.configuration.zones_of(service).contains(&slot.member.zone);
        let right_kind = match service.kind {
            operator::Kind::Model => slot.member.kind == Kind::Model,
            operator::Kind::Plain => {
                slot.member.kind == Kind::Plain
                    && slot.member.service.as_ref() == Some(&service.name)
            }
        };
        allowed
            && right_kind
            && !slot.services.contains(&service.name)
            && self.memory_needed(service, slot) <= slot.free
    }

    /// The additional memory that a service's weights need on an instance; none if the instance
    /// already has the same weights.
    fn memory_needed(&self, service: &Service, slot: &Slot<'_>) -> Bytes {
        match self.configuration.weights(service) {
            Some(weights) if !slot.weights.contains(&weights.manifest) => weights.size,
            _ => Bytes::ZERO,
        }
    }

    fn put(&mut self, service: &'a Service, instance: &id::Instance) {
        let Some(slot) = self.slots.get(instance) else { return };
        let needed = self.memory_needed(service, slot);
        let weights = self.configuration.weights(service);
        if let Some(slot) = self.slots.get_mut(instance) {
            slot.free = slot.free.saturating_sub(needed);
            slot.services.insert(&service.name);
            slot.weights.extend(weights.map(|weights| weights.manifest));
        }
    }

    fn into_placements(self) -> Placements {
        let mut placements = Placements::new();
        for zone in self.configuration.zones.keys() {
            placements.insert(zone.clone(), Vec::new());
        }
        for slot in self.slots.values() {
            let zone = placements.entry(slot.member.zone.clone()).or_default();
            for name in &slot.services {
                let service = &self.configuration.services[*name];
                zone.push(Placement {
                    instance: slot.member.instance.clone(),
                    service: service.name.clone(),
                    priority: priority(service.priority),
                    weights: self.configuration.weights(service),
                    may_drain: false,
                });
            }
        }
        placements
    }
}
