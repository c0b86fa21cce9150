//! Membership: which instances of an availability zone are there.
//!
//! An agent's own heartbeat counts first. The platform's list of live and
//! leaving instances lags, so it can only make an instance leave, never bring
//! one back.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cinderspoke_schema::control::{Heartbeat, Member, State};
use cinderspoke_types::counter::Incarnation;
use cinderspoke_types::id::Instance;

/// After how many missed heartbeats an instance gets no new work.
pub const SUSPECT_AFTER: u32 = 3;

/// After how many missed heartbeats an instance is taken for dead.
pub const DEAD_AFTER: u32 = 10;

/// How fresh an instance's heartbeats are.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Health {
    /// Its heartbeats come.
    Alive,
    /// Some are missing: it gets no new work while others can do it.
    Suspect,
    /// So many are missing that its replicas are to be replaced.
    Dead,
}

/// What became of a heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It is the newest one of its instance.
    Accepted,
    /// It is older than what is known: late, repeated, or of a former process.
    Stale,
}

#[derive(Debug)]
struct Record {
    member: Member,
    sequence: u64,
    heard: Duration,
}

/// The instances of an availability zone.
#[derive(Debug)]
pub struct Table {
    interval: Duration,
    records: BTreeMap<Instance, Record>,
    leaving: BTreeSet<Instance>,
}

impl Table {
    /// An empty table for agents that send a heartbeat each `interval`.
    #[must_use]
    pub fn new(interval: Duration) -> Self {
        Self { interval, records: BTreeMap::new(), leaving: BTreeSet::new() }
    }

    /// Takes in a heartbeat.
    pub fn apply_heartbeat(&mut self, heartbeat: Heartbeat, now: Duration) -> Verdict {
        let Heartbeat { member, sequence, .. } = heartbeat;
        let order = |record: &Record| (record.member.incarnation, record.sequence);
        let known = self.records.get(&member.instance).map(order);
        if known.is_some_and(|known| known >= (member.incarnation, sequence)) {
            return Verdict::Stale;
        }
        if known.is_some_and(|(incarnation, _)| incarnation != member.incarnation) {
            // A new process on the instance: the list spoke of the former one.
            self.leaving.remove(&member.instance);
        }
        self.records.insert(member.instance.clone(), Record { member, sequence, heard: now });
        Verdict::Accepted
    }

    /// Takes over members that another instance knew and this one has not heard.
    pub fn seed(&mut self, members: &[Member], now: Duration) {
        for member in members {
            let record = || Record { member: member.clone(), sequence: 0, heard: now };
            self.records.entry(member.instance.clone()).or_insert_with(record);
        }
    }

    /// Takes in the platform's list of leaving instances.
    pub fn set_leaving(&mut self, instances: impl IntoIterator<Item = Instance>) {
        self.leaving = instances.into_iter().collect();
    }

    /// The incarnation that an instance last reported.
    #[must_use]
    pub fn incarnation(&self, instance: &Instance) -> Option<Incarnation> {
        self.records.get(instance).map(|record| record.member.incarnation)
    }

    /// Forgets instances that are dead, unless so many fell silent at once
    /// that this process itself is more likely cut off.
    pub fn remove_dead(&mut self, now: Duration) {
        if self.is_isolated(now) {
            return;
        }
        let deadline = self.interval * DEAD_AFTER;
        self.records.retain(|_, record| now < record.heard + deadline);
    }

    /// Whether more than half of the instances are silent: then nobody is
    /// taken for dead on this process's word alone.
    #[must_use]
    pub fn is_isolated(&self, now: Duration) -> bool {
        let silent = |record: &&Record| self.health(record, now) != Health::Alive;
        let silent = self.records.values().filter(silent).count();
        self.records.len() > 2 && 2 * silent > self.records.len()
    }

    /// The members with their health, ordered by instance; leaving ones are marked.
    pub fn members(&self, now: Duration) -> impl Iterator<Item = (Member, Health)> {
        let isolated = self.is_isolated(now);
        self.records.values().map(move |record| {
            let mut member = record.member.clone();
            if self.leaving.contains(&member.instance) {
                member.state = State::Leaving;
            }
            let health = if isolated { Health::Alive } else { self.health(record, now) };
            (member, health)
        })
    }

    fn health(&self, record: &Record, now: Duration) -> Health {
        let silence = now.saturating_sub(record.heard);
        if silence >= self.interval * DEAD_AFTER {
            Health::Dead
        } else if silence >= self.interval * SUSPECT_AFTER {
            Health::Suspect
        } else {
            Health::Alive
        }
    }
}
