//! Whether the platform was away for all, or only this gateway was cut from it.
//!
//! Entries that lapse while the platform is away belong to endpoints that live, and
//! are kept for a while. Where it went on answering others, its word counts at once:
//! an endpoint whose entry goes then has left, and may get nothing more.

use std::time::Duration;

/// How far apart two moments have to be to be told apart: what one process had from
/// the platform takes a while to be known to another.
const MARGIN: Duration = Duration::from_millis(500);

/// How long after the platform's return a gateway may still take it for lost: its
/// longest pause, 1.2 s, the time limit of a call, 1.5 s, and the way here.
const NOTICE: Duration = Duration::from_secs(3);

/// What is known of this gateway's last outage of the platform.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
// Invariant: `returned` is none while the platform does not answer.
pub struct Outage {
    lost: Option<Duration>,
    returned: Option<Duration>,
    // The newest answer of the platform to anyone that is known of.
    answered: Option<Duration>,
    // Whether it answered another gateway in the midst of the outage.
    own: bool,
}

impl Outage {
    /// Takes in that the platform does not answer this gateway any more.
    pub fn lose(&mut self, now: Duration) {
        if self.lost.is_none() || self.returned.is_some() {
            (self.lost, self.returned, self.own) = (Some(now), None, false);
        }
    }

    /// Takes in that the platform answers this gateway again.
    pub fn end(&mut self, now: Duration) {
        if self.lost.is_some() && self.returned.is_none() {
            self.returned = Some(now);
        }
    }

    /// Takes in that the platform answered this gateway. Who lost it as well and is
    /// answered sooner than others does not tell them: it was not away for them only.
    pub fn answered(&mut self, now: Duration) {
        let recent = self.returned.is_none_or(|returned| now < returned + NOTICE);
        if self.lost.is_none() || self.own || !recent {
            self.answered = self.answered.max(Some(now));
        }
    }

    /// When the platform answered this gateway again after the last outage; none while
    /// it does not, or where there was none.
    #[must_use]
    pub fn returned(&self) -> Option<Duration> {
        self.returned
    }

    /// Takes in that the platform answered some gateway so long ago; whether this
    /// tells for the first time that only this gateway was cut off.
    pub fn told(&mut self, age: Duration, now: Duration) -> bool {
        let Some(at) = now.checked_sub(age) else { return false };
        self.answered = self.answered.max(Some(at));
        let after = self.lost.is_some_and(|lost| at > lost + MARGIN);
        let before = self.returned.is_none_or(|returned| at + MARGIN < returned);
        let news = after && before && !self.own;
        self.own |= news;
        news
    }

    /// How long ago the platform last answered anyone that is known of.
    #[must_use]
    pub fn last_answer(&self, now: Duration) -> Option<Duration> {
        self.answered.map(|at| now.saturating_sub(at))
    }

    /// Whether only this gateway was cut off.
    #[must_use]
    pub fn is_own(&self) -> bool {
        self.own
    }
}
