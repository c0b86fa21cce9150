//! Whether the platform was away for all, or only this gateway was cut from it.
//!
//! Entries that lapse while the platform is away belong to endpoints that live, and
//! are kept for a while. Where it went on answering others, its word counts at once:
//! an endpoint whose entry goes then has left, and may get nothing more.

use std::collections::BTreeSet;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// How far apart two moments have to be to be told apart: what one process had from
/// the platform takes a while to be known to another.
const MARGIN: Duration = Duration::from_millis(500);

/// How long after the platform's return a gateway may still take it for lost: its
/// longest pause, 1.2 s, the time limit of a call, 1.5 s, and the way here.
const NOTICE: Duration = Duration::from_secs(3);

/// How far apart answers are at least that are remembered: less than the margin, so that
/// none in the midst of an outage is passed over.
const APART: Duration = Duration::from_millis(200);

/// How many answers are remembered. All gateways together are answered about four times a
/// second; those of 5 s tell of the end of any outage, also to who hears of them after it.
const REMEMBERED: usize = 24;

/// How long ago something was, in whole milliseconds: two bytes in a message where a
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

/// What is known of this gateway's last outage of the platform.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
// Invariant: `ended` is none while the platform does not answer.
pub struct Outage {
    began: Option<Duration>,
    ended: Option<Duration>,
    // When a call last should have been answered and was not, and the same before the return.
    last_failure: Option<Duration>,
    last_unanswered: Option<Duration>,
    // The newest answers of the platform to anyone that are known of.
    answers: BTreeSet<Duration>,
    // Whether it answered another gateway in the midst of the outage.
    local: bool,
}

impl Outage {
    /// Takes in that the platform has not answered this gateway since a time. Where it has
    /// since then, what waited for its answer has only been given up later.
    pub fn record_loss(&mut self, since: Duration) {
        let is_over = self.ended.is_some_and(|ended| ended < since);
        if self.began.is_none() || is_over {
            (self.began, self.ended, self.local) = (Some(since), None, false);
        } else if self.ended.is_none() {
            self.began = self.began.min(Some(since));
        }
    }

    /// Takes in that a call should have been answered at a time, and was not.
    pub fn record_failure(&mut self, due: Duration) {
        self.last_failure = self.last_failure.max(Some(due));
    }

    /// Takes in that the platform answers this gateway again.
    pub fn record_return(&mut self, now: Duration) {
        if self.began.is_some() && self.ended.is_none() {
            self.ended = Some(now);
            self.last_unanswered = self.last_failure.map(|failed| failed.min(now));
        }
    }

    /// When the platform was last known to be away before the return.
    #[must_use]
    pub fn last_unanswered(&self) -> Option<Duration> {
        self.last_unanswered
    }

    /// Takes in that the platform answered this gateway. Who lost it as well and is
    /// answered sooner than others does not tell them: it was not away for them only.
    pub fn record_answer(&mut self, now: Duration) {
        let recent = self.ended.is_none_or(|ended| now < ended + NOTICE);
        if self.began.is_none() || self.local || !recent {
            self.remember(now);
        }
    }

    /// Remembers an answer, unless it adds nothing to the others.
    fn remember(&mut self, at: Duration) {
        let near = at.saturating_sub(APART)..=at + APART;
        if self.answers.range(near).next().is_some() {
            return;
        }
        self.answers.insert(at);
        if self.answers.len() > REMEMBERED {
            self.answers.pop_first();
        }
    }

    /// When the platform answered this gateway again after the last outage; none while
    /// it does not, or where there was none.
    #[must_use]
    pub fn ended(&self) -> Option<Duration> {
        self.ended
    }

    /// Takes in how long ago the platform answered some gateway; whether this tells for
    /// the first time that only this gateway was cut off.
    ///
    /// The last answer alone would not do: whoever is cut off from all hears of it only
    /// after the outage, and by then it is of after the outage itself.
    pub fn merge_answers(&mut self, answers: &[Ago], now: Duration) -> bool {
        let told: Vec<_> =
            answers.iter().filter_map(|ago| now.checked_sub(Duration::from(*ago))).collect();
        told.iter().for_each(|at| self.remember(*at));
        let news = !self.local && told.iter().any(|at| self.is_in_midst(*at));
        self.local |= news;
        news
    }

    /// Whether a moment is in the midst of the outage.
    fn is_in_midst(&self, at: Duration) -> bool {
        let after = self.began.is_some_and(|began| at > began + MARGIN);
        let before = self.ended.is_none_or(|ended| at + MARGIN < ended);
        after && before
    }

    /// How long ago the platform answered anyone, as far as it is known, the last answer
    /// first.
    #[must_use]
    pub fn answers(&self, now: Duration) -> Vec<Ago> {
        self.answers.iter().rev().map(|at| now.saturating_sub(*at).into()).collect()
    }

    /// Whether only this gateway was cut off.
    #[must_use]
    pub fn is_local(&self) -> bool {
        self.local
    }
}
