//! Detects whether an outage of the platform affects all gateways or only this one.
//!
//! Entries that expire while the platform is down belong to endpoints that still run, so they are
//! retained for a while. If the platform kept answering other gateways, its list is right: an
//! endpoint whose entry is missing has ended or drains, and must get no more requests.
//!
//! Gateways exchange when the platform answered them. An answer to another gateway between the
//! begin and the end of the own [`Outage`] shows that the outage is local.

use std::collections::BTreeSet;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// How far an answer has to be from the begin and the end of an outage to count as within it:
/// what one process got from the platform takes a while to reach another.
const MARGIN: Duration = Duration::from_millis(500);

/// How long after the platform's return a gateway may still take it for unreachable: its longest
/// pause, 1.2 s, the timeout of a call, 1.5 s, and the network delay.
const MAX_DETECTION_DELAY: Duration = Duration::from_secs(3);

/// The shortest time between remembered answers: less than [`MARGIN`], so that no answer within
/// an outage is dropped.
const MIN_SPACING: Duration = Duration::from_millis(200);

/// How many answers are remembered. All gateways together get about four a second. The answers of
/// 5 s show the end of any outage, also to a gateway that receives them only after it.
const MAX_ANSWERS: usize = 24;

/// How long ago something was, in whole milliseconds. It takes two bytes in a message where a
/// duration takes six, and each message has two dozen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Ago(u32);

impl From<Duration> for Ago {
    fn from(age: Duration) -> Self {
        Self(u32::try_from(age.as_millis()).unwrap_or(u32::MAX))
    }
}

impl From<Ago> for Duration {
    fn from(ago: Ago) -> Self {
        Self::from_millis(ago.0.into())
    }
}

/// The last outage of the platform as this gateway saw it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
// Invariant: `ended` is none while the platform does not answer.
pub struct Outage {
    began: Option<Duration>,
    ended: Option<Duration>,
    // When the last failed call should have been answered.
    last_failure: Option<Duration>,
    // The value of `last_failure` when the outage ended.
    last_unanswered: Option<Duration>,
    // The newest known answers of the platform to any gateway.
    answers: BTreeSet<Duration>,
    // Whether the platform answered another gateway within the outage.
    local: bool,
}

impl Outage {
    /// Records that the platform has not answered this gateway since a time. If the last outage
    /// ended after that time, the failure belongs to it: the call was only given up later.
    pub fn record_loss(&mut self, since: Duration) {
        let is_over = self.ended.is_some_and(|ended| ended < since);
        if self.began.is_none() || is_over {
            (self.began, self.ended, self.local) = (Some(since), None, false);
        } else if self.ended.is_none() {
            self.began = self.began.min(Some(since));
        }
    }

    /// Records that a call was not answered by the time it was due.
    pub fn record_failure(&mut self, due: Duration) {
        self.last_failure = self.last_failure.max(Some(due));
    }

    /// Records that the platform answers this gateway again.
    pub fn record_return(&mut self, now: Duration) {
        if self.began.is_some() && self.ended.is_none() {
            self.ended = Some(now);
            self.last_unanswered = self.last_failure.map(|failure| failure.min(now));
        }
    }

    /// Returns when the platform was last known not to answer before the outage ended.
    #[must_use]
    pub fn last_unanswered(&self) -> Option<Duration> {
        self.last_unanswered
    }

    /// Records that the platform answered this gateway.
    ///
    /// The answer is not reported to other gateways if it follows a recent outage that was not
    /// local: a gateway that is answered a little before the others would make their outage
    /// look local to them.
    pub fn record_answer(&mut self, now: Duration) {
        let recent = self.ended.is_none_or(|ended| now < ended + MAX_DETECTION_DELAY);
        if self.began.is_none() || self.local || !recent {
            self.remember(now);
        }
    }

    /// Remembers the time of an answer, unless one close to it is remembered.
    fn remember(&mut self, at: Duration) {
        let near = at.saturating_sub(MIN_SPACING)..=at + MIN_SPACING;
        if self.answers.range(near).next().is_some() {
            return;
        }
        self.answers.insert(at);
        if self.answers.len() > MAX_ANSWERS {
            self.answers.pop_first();
        }
    }

    /// Returns when the last outage ended, or none if there was none or it still lasts.
    #[must_use]
    pub fn ended(&self) -> Option<Duration> {
        self.ended
    }

    /// Merges how long ago the platform answered other gateways. Returns whether this shows for
    /// the first time that the outage is local.
    ///
    /// The last answer alone is not enough: a gateway that is cut off from all others receives
    /// it only after the outage, when the last answer is also from after the outage.
    pub fn merge_answers(&mut self, answers: &[Ago], now: Duration) -> bool {
        let answers: Vec<_> =
            answers.iter().filter_map(|ago| now.checked_sub(Duration::from(*ago))).collect();
        answers.iter().for_each(|at| self.remember(*at));
        let is_new = !self.local && answers.iter().any(|at| self.contains(*at));
        self.local |= is_new;
        is_new
    }

    /// Returns whether a time is within the outage and not close to its begin or end.
    fn contains(&self, at: Duration) -> bool {
        let after = self.began.is_some_and(|began| at > began + MARGIN);
        let before = self.ended.is_none_or(|ended| at + MARGIN < ended);
        after && before
    }

    /// Returns how long ago the platform answered any gateway, the last answer first.
    #[must_use]
    pub fn answers(&self, now: Duration) -> Vec<Ago> {
        self.answers.iter().rev().map(|at| now.saturating_sub(*at).into()).collect()
    }

    /// Returns whether the platform answered other gateways within the outage, so that only this
    /// gateway was cut off.
    #[must_use]
    pub fn is_local(&self) -> bool {
        self.local
    }
}
