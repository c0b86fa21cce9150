//! The suspects of one kind, and which of them are quarantined.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::end::{End, EndUpdate, Explained, Moment, chain};
use super::evidence::{Evidence, Policy};

/// For how long a change of a suspect that is not quarantined is sent to other gateways.
const UPDATE_PERIOD: Duration = Duration::from_secs(5);

/// The most bytes of the updates on suspects of one kind in a message.
const MAX_UPDATE_BYTES: usize = 4 << 10;

/// How long the same quarantined suspects come first in messages that cannot hold all of them.
const ROTATION_INTERVAL: Duration = Duration::from_millis(100);

/// About how many bytes an update takes without its ends, and each end.
const UPDATE_BYTES: usize = 30;
const END_BYTES: usize = 40;

/// A suspect, as one gateway sends it to another; times are ages.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update<K> {
    pub(super) key: K,
    ends: Vec<EndUpdate>,
    answered: Option<Duration>,
}

impl<K> Update<K> {
    fn new(key: K, evidence: &Evidence, now: Duration) -> Self {
        let ends = evidence.ends().iter().map(|end| EndUpdate::new(end, now)).collect();
        Self { key, ends, answered: evidence.answered().map(|at| at.age(now)) }
    }

    /// About how many bytes it takes in a message.
    fn size(&self) -> usize {
        UPDATE_BYTES + self.ends.len() * END_BYTES
    }
}

/// The suspects of one kind, by key.
// Invariant: at most as many as the policy allows. `quarantined` follows from `suspects` alone.
#[derive(Debug)]
pub(super) struct Group<K> {
    policy: &'static Policy,
    suspects: BTreeMap<K, Evidence>,
    // Each with its rivals: suspects that would be quarantined without it.
    quarantined: BTreeMap<K, Vec<K>>,
}

/// Which suspects are quarantined from now on, and which no longer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Difference<K> {
    pub(super) quarantined: Vec<K>,
    pub(super) released: Vec<K>,
}

impl<K: Copy + Ord> Group<K> {
    pub(super) const fn new(policy: &'static Policy) -> Self {
        Self { policy, suspects: BTreeMap::new(), quarantined: BTreeMap::new() }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Returns what is known against a suspect.
    pub(super) fn get(&self, key: K) -> Option<&Evidence> {
        self.suspects.get(&key)
    }

    /// Returns whether endpoints ended under it since it was answered.
    pub(super) fn is_suspected(&self, key: K) -> bool {
        self.get(key).is_some_and(|evidence| !evidence.ends().is_empty())
    }

    pub(super) fn is_quarantined(&self, key: K) -> bool {
        self.quarantined.contains_key(&key)
    }

    /// Iterates over the quarantined suspects.
    pub(super) fn quarantined(&self) -> impl Iterator<Item = K> {
        self.quarantined.keys().copied()
    }

    pub(super) fn count_quarantined(&self) -> usize {
        self.quarantined.len()
    }

    /// Returns the suspects that would be quarantined if this one were not.
    pub(super) fn rivals(&self, key: K) -> &[K] {
        self.quarantined.get(&key).map_or(&[], Vec::as_slice)
    }

    /// Returns how much longer a suspect is quarantined at a gateway. The time ends at a different
    /// moment on each gateway: `share` is the gateway's, from 0 to 1, of as much again. `shortest`
    /// replaces the time before the first probe on the first gateway, if it is given.
    pub(super) fn time_left(
        &self,
        key: K,
        share: f64,
        shortest: Option<Duration>,
        now: Duration,
    ) -> Option<Duration> {
        let evidence = self.get(key).filter(|_| self.is_quarantined(key))?;
        let last = evidence.last_end()?;
        let quarantine = evidence.quarantine(self.policy);
        let shortest = shortest.filter(|_| evidence.probes() == 0).unwrap_or(quarantine);
        Some((shortest + quarantine.mul_f64(share)).saturating_sub(last.age(now)))
    }

    /// Records an end of an endpoint that had a suspect. Returns whether it was unknown.
    pub(super) fn record_end(&mut self, key: K, end: End) -> bool {
        let is_new = self.suspects.entry(key).or_default().record_end(end);
        self.evict();
        is_new
    }

    /// Records an answer, if it is that of a suspect. Returns whether it clears it of an end.
    pub(super) fn record_answer(&mut self, key: K, at: Moment) -> bool {
        self.suspects.get_mut(&key).is_some_and(|evidence| evidence.record_answer(at))
    }

    /// Merges an update of another gateway. Returns whether it changes anything.
    pub(super) fn merge(&mut self, update: &Update<K>, now: Duration) -> bool {
        let mut changed = false;
        if let Some(age) = update.answered {
            let evidence = self.suspects.entry(update.key).or_default();
            changed |= evidence.merge_answer(Moment::ago(age, now));
            self.evict();
        }
        for end in &update.ends {
            changed |= self.record_end(update.key, end.end(now));
        }
        changed
    }

    /// Returns whether this gateway saw an end under a suspect itself.
    pub(super) fn has_own_end(&self, key: K) -> bool {
        self.get(key).is_some_and(|evidence| evidence.ends().iter().any(|end| end.own))
    }

    /// Returns the updates about quarantined suspects and recent changes, quarantined and then the
    /// latest first.
    pub(super) fn all_updates(&self, now: Duration) -> Vec<Update<K>> {
        let order = |key: &K, evidence: &Evidence| {
            std::cmp::Reverse((self.is_quarantined(*key), evidence.last_change()))
        };
        let is_sent = |key: &K, evidence: &Evidence| {
            let is_recent = |at: Moment| at.age(now) < UPDATE_PERIOD;
            self.is_quarantined(*key) || evidence.last_change().is_some_and(is_recent)
        };
        let mut sent: Vec<_> =
            self.suspects.iter().filter(|(key, evidence)| is_sent(key, evidence)).collect();
        sent.sort_by_key(|(key, evidence)| order(key, evidence));
        sent.into_iter().map(|(key, evidence)| Update::new(*key, evidence, now)).collect()
    }

    /// Returns the same updates, as far as they fit into a message: half of it is for recent changes
    /// of suspects that are not quarantined. Of many that are, each message has others.
    pub(super) fn updates(&self, now: Duration) -> Vec<Update<K>> {
        let is_quarantined = |update: &Update<K>| self.is_quarantined(update.key);
        let (mut quarantined, recent): (Vec<_>, Vec<_>) =
            self.all_updates(now).into_iter().partition(is_quarantined);
        let size = quarantined.iter().map(Update::size).sum::<usize>();
        if size > MAX_UPDATE_BYTES / 2 {
            let turn = now.as_millis() / ROTATION_INTERVAL.as_millis();
            let first = usize::try_from(turn).unwrap_or(0) % quarantined.len();
            quarantined.rotate_left(first);
        }
        let mut updates = Vec::new();
        let mut left = MAX_UPDATE_BYTES / 2;
        let mut rest = recent.into_iter().peekable();
        while let Some(update) = rest.next_if(|update| update.size() <= left) {
            left -= update.size();
            updates.push(update);
        }
        left += MAX_UPDATE_BYTES / 2;
        for update in quarantined.into_iter().chain(rest) {
            if update.size() > left {
                break;
            }
            left -= update.size();
            updates.push(update);
        }
        updates
    }

    /// Removes expired suspects. Returns whether there were any.
    pub(super) fn expire(&mut self, now: Duration) -> bool {
        let before = self.suspects.len();
        self.suspects.retain(|_, evidence| !evidence.is_expired(self.policy, now));
        self.suspects.len() < before
    }

    /// Evicts the suspects with the fewest ends while there are too many, and of these the ones
    /// that changed longest ago.
    fn evict(&mut self) {
        while self.suspects.len() > self.policy.max_suspects {
            let least = self
                .suspects
                .iter()
                .min_by_key(|(_, evidence)| (evidence.ends().len(), evidence.last_change()));
            let Some((key, _)) = least else { return };
            let key = *key;
            self.suspects.remove(&key);
        }
    }

    /// Determines again which suspects are quarantined.
    pub(super) fn settle(&mut self) -> Difference<K> {
        let quarantined = self.quarantine();
        let before: BTreeSet<_> = self.quarantined.keys().copied().collect();
        let after: BTreeSet<_> = quarantined.keys().copied().collect();
        self.quarantined = quarantined;
        Difference {
            quarantined: after.difference(&before).copied().collect(),
            released: before.difference(&after).copied().collect(),
        }
    }

    /// Returns the suspects to quarantine, each with its rivals. Where ends that one explains count
    /// for no other, the one with the longest chain of ends goes first, and of several the one with
    /// the fewest ends: a suspect that many requests share is at more ends than it causes.
    fn quarantine(&self) -> BTreeMap<K, Vec<K>> {
        let suffices =
            |evidence: &Evidence, explained: &Explained| evidence.suffices(self.policy, explained);
        let mut candidates: Vec<_> = self
            .suspects
            .iter()
            .filter(|(_, evidence)| suffices(evidence, &Explained::default()))
            .collect();
        if !self.policy.explains {
            return candidates.into_iter().map(|(key, _)| (*key, Vec::new())).collect();
        }
        let (mut quarantined, mut explained) = (BTreeMap::new(), Explained::default());
        loop {
            candidates.retain(|(key, evidence)| {
                !quarantined.contains_key(*key) && suffices(evidence, &explained)
            });
            let rank = |evidence: &Evidence| {
                let length = chain(evidence.unexplained(&explained));
                (length, std::cmp::Reverse(evidence.ends().len()))
            };
            let best = candidates.iter().rev().max_by_key(|(_, evidence)| rank(evidence)).copied();
            let Some((key, evidence)) = best else { return quarantined };
            explained.extend(evidence.ends());
            let rivals = candidates.iter().filter(|(_, other)| !suffices(other, &explained));
            let rivals = rivals.map(|(rival, _)| **rival).filter(|rival| rival != key).collect();
            quarantined.insert(*key, rivals);
        }
    }
}
