//! Membership: the instances of an availability zone and their health.
//!
//! Heartbeats from the agents are authoritative. The platform's list of live
//! and leaving instances lags, so that it can only mark an instance as leaving,
//! never add one again.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cinderspoke_schema::control::{Heartbeat, Member, State};
use cinderspoke_types::counter::Incarnation;
use cinderspoke_types::id::Instance;

/// The number of missed heartbeats after which an instance gets no new work.
pub const SUSPECT_AFTER: u32 = 3;

/// The number of missed heartbeats after which an instance counts as dead.
pub const DEAD_AFTER: u32 = 10;

/// The health of an instance, by the age of its last heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Health {
    /// Heartbeats arrive in time.
    Alive,
    /// At least [`SUSPECT_AFTER`] heartbeats are missing. The instance gets no new work while
    /// others can do it.
    Suspect,
    /// At least [`DEAD_AFTER`] heartbeats are missing. The replicas of the instance are replaced.
    Dead,
}

/// Whether a heartbeat was applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It is the newest one from its instance.
    Accepted,
    /// It is not newer than the known one: late, repeated, or from a previous process.
    Stale,
}

#[derive(Debug)]
struct Record {
    member: Member,
    sequence: u64,
    last_heartbeat: Duration,
}

/// The instances of an availability zone.
#[derive(Debug)]
pub struct Table {
    interval: Duration,
    records: BTreeMap<Instance, Record>,
    leaving: BTreeSet<Instance>,
}

impl Table {
    /// Creates an empty table for agents that send a heartbeat every `interval`.
    #[must_use]
    pub fn new(interval: Duration) -> Self {
        Self { interval, records: BTreeMap::new(), leaving: BTreeSet::new() }
    }

    /// Applies a heartbeat, unless a newer one from the same instance is known.
    pub fn apply_heartbeat(&mut self, heartbeat: Heartbeat, now: Duration) -> Verdict {
        let Heartbeat { member, sequence, .. } = heartbeat;
        let order = |record: &Record| (record.member.incarnation, record.sequence);
        let known = self.records.get(&member.instance).map(order);
        if known.is_some_and(|known| known >= (member.incarnation, sequence)) {
            return Verdict::Stale;
        }
        if known.is_some_and(|(incarnation, _)| incarnation != member.incarnation) {
            // The platform's list referred to the previous process on the instance.
            self.leaving.remove(&member.instance);
        }
        self.records
            .insert(member.instance.clone(), Record { member, sequence, last_heartbeat: now });
        Verdict::Accepted
    }

    /// Adds members that another instance knew and that have sent no heartbeat to this one, as if
    /// their heartbeats had just arrived.
    pub fn seed(&mut self, members: &[Member], now: Duration) {
        for member in members {
            let record = || Record { member: member.clone(), sequence: 0, last_heartbeat: now };
            self.records.entry(member.instance.clone()).or_insert_with(record);
        }
    }

    /// Replaces the platform's list of leaving instances.
    pub fn set_leaving(&mut self, instances: impl IntoIterator<Item = Instance>) {
        self.leaving = instances.into_iter().collect();
    }

    /// The incarnation that an instance last reported.
    #[must_use]
    pub fn incarnation(&self, instance: &Instance) -> Option<Incarnation> {
        self.records.get(instance).map(|record| record.member.incarnation)
    }

    /// Removes dead instances, unless so many stopped sending at once that this process itself is
    /// more likely isolated.
    pub fn remove_dead(&mut self, now: Duration) {
        if self.is_isolated(now) {
            return;
        }
        let deadline = self.interval * DEAD_AFTER;
        self.records.retain(|_, record| now < record.last_heartbeat + deadline);
    }

    /// Whether more than half of the instances have stopped sending heartbeats. This process is
    /// then likely isolated, and must not declare instances dead on its own observations alone.
    #[must_use]
    pub fn is_isolated(&self, now: Duration) -> bool {
        let is_overdue = |record: &&Record| self.health(record, now) != Health::Alive;
        let overdue = self.records.values().filter(is_overdue).count();
        self.records.len() > 2 && 2 * overdue > self.records.len()
    }

    /// The members with their health, ordered by instance, with leaving ones in the state
    /// [`State::Leaving`]. While this process is isolated, all of them count as alive.
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
        let age = now.saturating_sub(record.last_heartbeat);
        if age >= self.interval * DEAD_AFTER {
            Health::Dead
        } else if age >= self.interval * SUSPECT_AFTER {
            Health::Suspect
        } else {
            Health::Alive
        }
    }
}
