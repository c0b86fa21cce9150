//! The control state of an entry instance.
//!
//! A [`Coordinator`] handles each [`Event`] and returns [`Action`]s. Instances
//! that are behind pull newer state from the platform and from other entry
//! instances. Generations and fences only grow here, whatever the order and
//! the sender of the updates. Two leases have one holder each: the lease of the
//! availability zone, whose holder publishes the list of the zone's members,
//! and the planner's lease, for which only holders of a zone's lease compete.

mod event;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use cinderspoke_schema::control::{
    Heartbeat, Lease, Member, Members, Part, Placement, Plan, RelayQuery, RelayState, Root,
};
use cinderspoke_types::counter::{Fence, Generation, Revision, Term};
use cinderspoke_types::id::{Instance, Zone};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::configuration::Configuration;
use crate::drain;
use crate::lease::{self, Candidate};
use crate::member::{Health, Table, Verdict};
use crate::object::{self, Expect, Object};
use crate::placement::{Placements, place};

pub use self::event::{Action, Event, Write};

/// The active configuration, with the files that it was parsed from.
#[derive(Debug, Clone, PartialEq)]
pub struct Active {
    /// The root that was accepted.
    pub root: Root,
    /// The configuration files.
    pub parts: Vec<Part>,
    /// The parsed and checked configuration.
    pub configuration: Configuration,
}

/// Settings of a coordinator.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The entry instance.
    pub instance: Instance,
    /// Its availability zone.
    pub zone: Zone,
    /// The interval at which agents send heartbeats.
    pub heartbeat: Duration,
    /// How long a lease stays valid without a renewal.
    pub lease: Duration,
}

/// The control state of an entry instance.
#[derive(Debug)]
pub struct Coordinator {
    settings: Settings,
    active: Option<Arc<Active>>,
    // The newest root whose files are being read; newer than the active one.
    pending: Option<Root>,
    table: Table,
    plans: BTreeMap<Zone, Versioned<Plan>>,
    members: BTreeMap<Zone, Versioned<Members>>,
    zone_lease: Candidate,
    planner: Candidate,
    // The term of the zone's lease in which the table was seeded from the previous holder's list
    // of members.
    seeded: Option<Term>,
    // The keys with a write in flight. Invariant: at most one write per key.
    writes_in_flight: BTreeSet<String>,
}

/// The content of an object, with its revision; `None` if a peer sent the object.
#[derive(Debug, Clone)]
struct Versioned<T> {
    revision: Option<Revision>,
    value: T,
}

impl Coordinator {
    /// Creates the state of an entry instance that has just started.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        let candidate = || Candidate::new(settings.instance.clone(), settings.lease);
        Self {
            active: None,
            pending: None,
            table: Table::new(settings.heartbeat),
            plans: BTreeMap::new(),
            members: BTreeMap::new(),
            zone_lease: candidate(),
            planner: candidate(),
            seeded: None,
            writes_in_flight: BTreeSet::new(),
            settings,
        }
    }

    /// The active configuration; `None` before the first one is activated.
    #[must_use]
    pub fn active(&self) -> Option<&Arc<Active>> {
        self.active.as_ref()
    }

    /// The active generation; zero before the first one is activated.
    #[must_use]
    pub fn generation(&self) -> Generation {
        self.active.as_ref().map(|active| active.root.generation).unwrap_or_default()
    }

    /// The newest plan of each zone.
    pub fn plans(&self) -> impl Iterator<Item = &Plan> {
        self.plans.values().map(|plan| &plan.value)
    }

    /// The newest list of each zone's members, as published by the holder of the zone's lease.
    pub fn members_by_zone(&self) -> impl Iterator<Item = &Members> {
        self.members.values().map(|members| &members.value)
    }

    /// All members: those of this zone from their heartbeats, those of other zones from the
    /// published lists.
    #[must_use]
    pub fn members(&self, now: Duration) -> Vec<(Member, Health)> {
        let mut members: Vec<_> = self.table.members(now).collect();
        let others = self.members.iter().filter(|(zone, _)| **zone != self.settings.zone);
        for (_, list) in others {
            members.extend(list.value.members.iter().map(|member| (member.clone(), Health::Alive)));
        }
        members
    }

    /// Whether this instance writes the plans now.
    #[must_use]
    pub fn is_planner(&self, now: Duration) -> bool {
        self.planner.term(now).is_some()
    }

    /// The state that this instance sends to another one in reply to a query. The configuration is
    /// included only if it is newer than the query's.
    #[must_use]
    pub fn relay(&self, query: &RelayQuery) -> RelayState {
        let newer = self.active.as_ref().filter(|active| active.root.generation > query.generation);
        RelayState {
            generation: self.generation(),
            root: newer.map(|active| active.root.clone()),
            parts: newer.map(|active| active.parts.clone()).unwrap_or_default(),
            plans: self.plans().cloned().collect(),
            members: self.members_by_zone().cloned().collect(),
        }
    }

    /// Handles an event and returns the actions to carry out.
    pub fn handle(&mut self, event: Event, now: Duration) -> Vec<Action> {
        match event {
            Event::Heartbeat(heartbeat) => self.on_heartbeat(heartbeat, now),
            Event::Objects(objects) => {
                objects.into_iter().flat_map(|object| self.on_object(object, now)).collect()
            }
            Event::Parts(root, parts) => self.on_parts(root, parts, now),
            Event::Relay(state) => self.on_relay(state),
            Event::Leaving(instances) => {
                self.table.set_leaving(instances);
                vec![Action::Publish]
            }
            Event::Written { write, revision, sent } => self.on_written(write, revision, sent, now),
            Event::NotWritten(write) => {
                self.writes_in_flight.remove(&write.key);
                vec![Action::Read(write.key)]
            }
            Event::Tick => self.on_tick(now),
        }
    }

    fn on_heartbeat(&mut self, heartbeat: Heartbeat, now: Duration) -> Vec<Action> {
        match self.table.apply_heartbeat(heartbeat, now) {
            Verdict::Accepted => vec![Action::Publish],
            Verdict::Stale => Vec::new(),
        }
    }

    fn on_object(&mut self, object: Object, now: Duration) -> Vec<Action> {
        let Object { key, revision, value } = object;
        let Some(value) = value else { return Vec::new() };
        if key == object::ROOT {
            return parse::<Root>(&value).map(|root| self.on_root(root)).unwrap_or_default();
        }
        if key == object::PLANNER {
            return parse(&value)
                .map(|lease| self.on_lease(LeaseKind::Planner, revision, lease, now))
                .unwrap_or_default();
        }
        if key == object::zone_lease(&self.settings.zone) {
            return parse(&value)
                .map(|lease| self.on_lease(LeaseKind::Zone, revision, lease, now))
                .unwrap_or_default();
        }
        if let Some(plan) = parse::<Plan>(&value)
            && key == object::plan(&plan.zone)
        {
            return self.on_plan(Some(revision), plan);
        }
        if let Some(members) = parse::<Members>(&value)
            && key == object::members(&members.zone)
        {
            return self.on_members(Some(revision), members);
        }
        Vec::new()
    }

    /// Requests the files of a root if it is newer than the active and the pending one.
    fn on_root(&mut self, root: Root) -> Vec<Action> {
        let known = self.pending.as_ref().map(|root| root.generation).unwrap_or_default();
        if root.generation <= known.max(self.generation()) {
            return Vec::new();
        }
        self.pending = Some(root.clone());
        vec![Action::ReadParts(root)]
    }

    /// Activates a configuration, and writes new plans at once if this instance is the planner.
    fn on_parts(&mut self, root: Root, parts: Vec<Part>, now: Duration) -> Vec<Action> {
        let mut actions = self.activate(root, parts);
        if let Some(term) = self.planner.term(now).filter(|_| !actions.is_empty()) {
            actions.extend(self.plan(term));
        }
        actions
    }

    /// Activates a configuration if it is newer, complete and valid.
    fn activate(&mut self, root: Root, parts: Vec<Part>) -> Vec<Action> {
        if root.generation <= self.generation() || !is_complete(&root, &parts) {
            return Vec::new();
        }
        let Ok(configuration) = Configuration::check(&parts) else { return Vec::new() };
        if self.pending.as_ref().is_some_and(|pending| pending.generation <= root.generation) {
            self.pending = None;
        }
        self.active = Some(Arc::new(Active { root, parts, configuration }));
        vec![Action::Publish]
    }

    fn on_relay(&mut self, state: RelayState) -> Vec<Action> {
        let RelayState { root, parts, plans, members, .. } = state;
        let mut actions = root.map(|root| self.activate(root, parts)).unwrap_or_default();
        actions.extend(plans.into_iter().flat_map(|plan| self.on_plan(None, plan)));
        actions.extend(members.into_iter().flat_map(|members| self.on_members(None, members)));
        actions
    }

    fn on_plan(&mut self, revision: Option<Revision>, plan: Plan) -> Vec<Action> {
        let known = self.plans.get_mut(&plan.zone);
        match known {
            Some(known) if known.value.fence > plan.fence => Vec::new(),
            Some(known) if known.value.fence == plan.fence => {
                known.revision = known.revision.max(revision);
                Vec::new()
            }
            _ => {
                self.plans.insert(plan.zone.clone(), Versioned { revision, value: plan });
                vec![Action::Publish]
            }
        }
    }

    fn on_members(&mut self, revision: Option<Revision>, members: Members) -> Vec<Action> {
        let order = |members: &Members| (members.term, members.revision);
        match self.members.get_mut(&members.zone) {
            Some(known) if order(&known.value) > order(&members) => Vec::new(),
            Some(known) if order(&known.value) == order(&members) => {
                known.revision = known.revision.max(revision);
                Vec::new()
            }
            _ => {
                self.members.insert(members.zone.clone(), Versioned { revision, value: members });
                vec![Action::Publish]
            }
        }
    }

    fn on_lease(
        &mut self,
        kind: LeaseKind,
        revision: Revision,
        lease: Lease,
        now: Duration,
    ) -> Vec<Action> {
        self.lease(kind).observe(revision, lease, now);
        Vec::new()
    }

    fn lease(&mut self, kind: LeaseKind) -> &mut Candidate {
        match kind {
            LeaseKind::Planner => &mut self.planner,
            LeaseKind::Zone => &mut self.zone_lease,
        }
    }

    fn on_written(
        &mut self,
        write: Write,
        revision: Revision,
        sent: Duration,
        now: Duration,
    ) -> Vec<Action> {
        self.writes_in_flight.remove(&write.key);
        for (kind, key) in [
            (LeaseKind::Planner, object::PLANNER.to_owned()),
            (LeaseKind::Zone, object::zone_lease(&self.settings.zone)),
        ] {
            if write.key == key
                && let Some(lease) = parse::<Lease>(&write.value)
            {
                self.lease(kind).record_write(revision, lease, sent);
                return Vec::new();
            }
        }
        self.on_object(Object { key: write.key, revision, value: Some(write.value) }, now)
    }

    fn on_tick(&mut self, now: Duration) -> Vec<Action> {
        self.table.remove_dead(now);
        let mut actions = vec![Action::Publish];
        if let Some(root) = &self.pending {
            actions.push(Action::ReadParts(root.clone()));
        }
        let zone_step = self.zone_lease.step(now);
        actions.extend(self.write_lease(object::zone_lease(&self.settings.zone), zone_step));
        if let Some(term) = self.zone_lease.term(now) {
            actions.extend(self.publish_members(term, now));
            let planner_step = self.planner.step(now);
            actions.extend(self.write_lease(object::PLANNER.into(), planner_step));
        }
        if let Some(term) = self.planner.term(now) {
            actions.extend(self.plan(term));
        }
        actions
    }

    fn write_lease(&mut self, key: String, step: lease::Step) -> Option<Action> {
        let lease::Step::Write { lease, expect } = step else { return None };
        self.write(key, &lease, expect)
    }

    /// Publishes the list of the zone's members if it differs from the last one.
    fn publish_members(&mut self, term: Term, now: Duration) -> Option<Action> {
        self.seed_table(term, now);
        let current: Vec<Member> = self.table.members(now).map(|(member, _)| member).collect();
        let known = self.members.get(&self.settings.zone);
        let same = known.is_some_and(|known| {
            known.value.members == current && known.value.generation == self.generation()
        });
        if same {
            return None;
        }
        let revision = known.map_or(0, |known| known.value.revision) + 1;
        let expect = known.and_then(|known| known.revision);
        let zone = self.settings.zone.clone();
        let key = object::members(&zone);
        let list =
            Members { zone, term, revision, generation: self.generation(), members: current };
        self.write(key, &list, expect)
    }

    /// Seeds the table from the list of the previous lease holder, so that members that have not
    /// yet sent a heartbeat to this instance do not count as dead.
    fn seed_table(&mut self, term: Term, now: Duration) {
        if self.seeded == Some(term) {
            return;
        }
        self.seeded = Some(term);
        if let Some(known) = self.members.get(&self.settings.zone) {
            self.table.seed(&known.value.members, now);
        }
    }

    /// Computes the plan of every zone, and writes the plans that have changed.
    fn plan(&mut self, term: Term) -> Vec<Action> {
        let Some(active) = self.active.clone() else { return Vec::new() };
        let members: Vec<Member> =
            self.members.values().flat_map(|list| list.value.members.iter().cloned()).collect();
        let previous = self.placements();
        let mut placements = place(&active.configuration, &members, &previous);
        drain::grant(&active.configuration, &members, &previous, &mut placements);
        let changed = placements.into_iter().filter_map(|(zone, placements)| {
            self.next_plan(term, active.root.generation, zone, placements)
        });
        let changed: Vec<_> = changed.collect();
        changed
            .into_iter()
            .filter_map(|(plan, expect)| self.write(object::plan(&plan.zone), &plan, expect))
            .collect()
    }

    fn placements(&self) -> Placements {
        let placements =
            |(zone, plan): (&Zone, &Versioned<Plan>)| (zone.clone(), plan.value.placements.clone());
        self.plans.iter().map(placements).collect()
    }

    /// The next plan of a zone with the revision to expect; `None` if nothing has changed.
    fn next_plan(
        &self,
        term: Term,
        generation: Generation,
        zone: Zone,
        placements: Vec<Placement>,
    ) -> Option<(Plan, Option<Revision>)> {
        let known = self.plans.get(&zone);
        let same = known.is_some_and(|known| {
            known.value.placements == placements && known.value.generation == generation
        });
        if same {
            return None;
        }
        let fence = known.map_or(Fence::default(), |known| known.value.fence).next();
        let expect = known.and_then(|known| known.revision);
        Some((Plan { zone, fence, term, generation, placements }, expect))
    }

    /// Returns a write, unless one to the same key is in flight.
    fn write<T: Serialize>(
        &mut self,
        key: String,
        value: &T,
        expect: Option<Revision>,
    ) -> Option<Action> {
        if !self.writes_in_flight.insert(key.clone()) {
            return None;
        }
        let value = serde_json::to_string(value).unwrap_or_default();
        let expect = expect.map_or(Expect::Absent, Expect::Revision);
        Some(Action::Write(Write { key, value, expect }))
    }
}

/// The two leases that a coordinator competes for.
#[derive(Debug, Clone, Copy)]
enum LeaseKind {
    Planner,
    Zone,
}

/// Whether the files match the names and digests in a root.
fn is_complete(root: &Root, parts: &[Part]) -> bool {
    let matches = |(reference, part): (&cinderspoke_schema::control::PartReference, &Part)| {
        reference.name == part.name
            && reference.digest == crate::configuration::part_digest(&part.text)
    };
    root.parts.len() == parts.len() && root.parts.iter().zip(parts).all(matches)
}

fn parse<T: DeserializeOwned>(value: &str) -> Option<T> {
    serde_json::from_str(value).ok()
}
