//! What is known against one suspect.

use std::time::Duration;

use super::end::{Cause, End, Explained, Moment, SAME_END_MS, chain};

/// How many endpoints have to end under a suspect before it is quarantined. One or two may be
/// coincidence: it was at the endpoint together with the one that caused the end.
pub(super) const QUARANTINE_ENDS: usize = 3;

/// How long the ends under a suspect are remembered.
const END_RETENTION: Duration = Duration::from_secs(600);

/// How long the answer of a suspect is remembered: longer than any gateway sends the ends before
/// the answer without having received the answer.
const ANSWER_RETENTION: Duration = Duration::from_secs(30);

/// The most ends that are kept of each suspect.
const MAX_ENDS: usize = 12;

/// How the suspects of one kind are judged.
#[derive(Debug)]
pub(super) struct Policy {
    /// How long the chain of ends has to be.
    pub(super) chain: usize,
    /// Whether an end that a quarantined suspect explains counts for no other.
    pub(super) explains: bool,
    /// How long a suspect is quarantined before the first probe.
    pub(super) first_quarantine: Duration,
    /// By what the time is multiplied with each probe.
    pub(super) growth: u32,
    /// How often it is multiplied at most.
    pub(super) max_growths: u32,
    /// How long a suspect whose ends suffice for a quarantine is remembered after the last one.
    pub(super) retention: Duration,
    /// The most suspects.
    pub(super) max_suspects: usize,
}

/// Requests: the time grows to about an hour. A probe of a request that ends endpoints ends one, and
/// with it up to 17 requests of others, the most that was seen. There are as many suspects as a
/// few endpoints have in progress together.
pub(super) const REQUESTS: Policy = Policy {
    chain: 2,
    explains: false,
    first_quarantine: Duration::from_secs(60),
    growth: 2,
    max_growths: 6,
    retention: END_RETENTION,
    max_suspects: 512,
};

/// Parts: many sound requests may share one that is quarantined by mistake, so the first probe comes
/// soon; the time grows so that there are three in a day.
pub(super) const PARTS: Policy = Policy {
    chain: 3,
    explains: true,
    first_quarantine: Duration::from_secs(8),
    growth: 30,
    max_growths: 3,
    retention: Duration::from_secs(24 * 3600),
    max_suspects: 2048,
};

/// What is known against a suspect.
// Invariant: no end in `ends` precedes `answered`.
#[derive(Debug, Clone, Default)]
pub(super) struct Evidence {
    ends: Vec<End>,
    // When it was last answered.
    answered: Option<Moment>,
}

impl Evidence {
    /// The ends under it since it was last answered.
    pub(super) fn ends(&self) -> &[End] {
        &self.ends
    }

    /// When it was last answered.
    pub(super) fn answered(&self) -> Option<Moment> {
        self.answered
    }

    /// The ends that are not explained by another suspect.
    pub(super) fn unexplained<'a>(
        &'a self,
        explained: &'a Explained,
    ) -> impl Iterator<Item = &'a End> {
        self.ends.iter().filter(|end| !explained.contains(end))
    }

    /// Returns whether enough endpoints ended under it one after another, without ends that another
    /// suspect explains. If endpoints end at the same moment, many requests may have been at them.
    pub(super) fn suffices(&self, policy: &Policy, explained: &Explained) -> bool {
        self.unexplained(explained).count() >= QUARANTINE_ENDS
            && chain(self.unexplained(explained)) >= policy.chain
    }

    /// Returns when the last end was.
    pub(super) fn last_end(&self) -> Option<Moment> {
        self.ends.iter().map(|end| end.disconnected).max()
    }

    /// Returns how many probes were sent since it was last answered under which an endpoint ended.
    /// One that no endpoint ran tells nothing.
    pub(super) fn probes(&self) -> usize {
        let has_ended = |probe: &&End| {
            let follows = |end: &&End| end.is_crash() && end.disconnected >= probe.disconnected;
            probe.cause == Cause::Probe && self.ends.iter().any(|end| follows(&end))
        };
        self.ends.iter().filter(has_ended).count()
    }

    /// Returns for how long at least it is quarantined after the last end.
    pub(super) fn quarantine(&self, policy: &Policy) -> Duration {
        let growths = u32::try_from(self.probes()).unwrap_or(u32::MAX).min(policy.max_growths);
        policy.first_quarantine.saturating_mul(policy.growth.saturating_pow(growths))
    }

    /// Returns when an endpoint last ended under it or it was last answered.
    pub(super) fn last_change(&self) -> Option<Moment> {
        self.last_end().max(self.answered)
    }

    /// Records an end. Returns whether it was unknown.
    pub(super) fn record_end(&mut self, end: End) -> bool {
        let is_old = self.answered.is_some_and(|answered| end.disconnected <= answered);
        if is_old {
            return false;
        }
        if let Some(known) = self.ends.iter_mut().find(|known| known.is_same(&end)) {
            return known.merge_sent(&end);
        }
        self.ends.push(end);
        if self.ends.len() <= MAX_ENDS {
            return true;
        }
        self.ends.sort_by_key(|end| (end.cause == Cause::Probe, end.disconnected));
        // An end that is dropped at once counts as known, or gateways would forward it for ever.
        self.ends.remove(0).id != end.id
    }

    /// Records an answer. Returns whether it clears the suspect of an end.
    pub(super) fn record_answer(&mut self, at: Moment) -> bool {
        let before = self.ends.len();
        self.ends.retain(|end| end.disconnected > at);
        self.answered = self.answered.max(Some(at));
        self.ends.len() < before
    }

    /// Merges an answer that another gateway saw. Returns whether it clears the suspect of an end.
    pub(super) fn merge_answer(&mut self, at: Moment) -> bool {
        // The same answer seems later by the network delay each time it is forwarded.
        let later = self.answered.is_none_or(|known| at.0 > known.0 + SAME_END_MS);
        later && self.record_answer(at)
    }

    /// Returns whether it can be removed.
    pub(super) fn is_expired(&self, policy: &Policy, now: Duration) -> bool {
        let retention = if self.suffices(policy, &Explained::default()) {
            policy.retention
        } else {
            END_RETENTION
        };
        let ended = self
            .last_end()
            .map(|end| end.age(now) > retention.saturating_add(self.quarantine(policy) * 2));
        let answered = self.answered.map(|at| at.age(now) > ANSWER_RETENTION);
        ended.unwrap_or(true) && answered.unwrap_or(true)
    }
}
