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
// Invariant: `returned` is none while the platform does not answer.
pub struct Outage {
    lost: Option<Duration>,
    returned: Option<Duration>,
    // When a call last should have been answered and was not, and the same before the return.
    failed: Option<Duration>,
    away: Option<Duration>,
    // The newest answers of the platform to anyone that are known of.
    answers: BTreeSet<Duration>,
    // Whether it answered another gateway in the midst of the outage.
    own: bool,
}

impl Outage {
    /// Takes in that the platform has not answered this gateway since a time. Where it has
    /// since then, what waited for its answer has only been given up later.
    pub fn lose(&mut self, since: Duration) {
        let is_over = self.returned.is_some_and(|returned| returned < since);
        if self.lost.is_none() || is_over {
            (self.lost, self.returned, self.own) = (Some(since), None, false);
        } else if self.returned.is_none() {
            self.lost = self.lost.min(Some(since));
        }
    }

    /// Takes in that a call should have been answered at a time, and was not.
    pub fn failed(&mut self, due: Duration) {
        self.failed = self.failed.max(Some(due));
    }

    /// Takes in that the platform answers this gateway again.
    pub fn end(&mut self, now: Duration) {
        if self.lost.is_some() && self.returned.is_none() {
            self.returned = Some(now);
            self.away = self.failed.map(|failed| failed.min(now));
        }
    }

    /// When the platform was last known to be away before the return.
    #[must_use]
    pub fn away(&self) -> Option<Duration> {
        self.away
    }

    /// Takes in that the platform answered this gateway. Who lost it as well and is
    /// answered sooner than others does not tell them: it was not away for them only.
    pub fn answered(&mut self, now: Duration) {
        let recent = self.returned.is_none_or(|returned| now < returned + NOTICE);
        if self.lost.is_none() || self.own || !recent {
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
    pub fn returned(&self) -> Option<Duration> {
        self.returned
    }

    /// Takes in how long ago the platform answered some gateway; whether this tells for
    /// the first time that only this gateway was cut off.
    ///
    /// The last answer alone would not do: whoever is cut off from all hears of it only
    /// after the outage, and by then it is of after the outage itself.
    pub fn told(&mut self, answers: &[Ago], now: Duration) -> bool {
        let told: Vec<_> =
            answers.iter().filter_map(|ago| now.checked_sub(Duration::from(*ago))).collect();
        told.iter().for_each(|at| self.remember(*at));
        let news = !self.own && told.iter().any(|at| self.is_in_midst(*at));
        self.own |= news;
        news
    }

    /// Whether a moment is in the midst of the outage.
    fn is_in_midst(&self, at: Duration) -> bool {
        let after = self.lost.is_some_and(|lost| at > lost + MARGIN);
        let before = self.returned.is_none_or(|returned| at + MARGIN < returned);
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
    pub fn is_own(&self) -> bool {
        self.own
    }
}
