//! How long news of the platform are waited for, and how old they may be.
//!
//! A connection can go silent without an end, and then looks like a platform without
//! news. Three things show it: no answer when the wait is over; another gateway that
//! knows more; another watch of this gateway that went silent.

use std::time::Duration;

/// How often all gateways together ask the platform anew for each kind of fact.
///
/// Where the connections of all go silent at once, the first who asks anew learns of
/// what came meanwhile and tells the others. Each call is paid for, so they share
/// them: with three kinds of facts it is four calls a second, whatever their number.
const CALL_INTERVAL: Duration = Duration::from_millis(750);

/// How often all gateways that have news from others together look for them by themselves.
///
/// It is for the case that all who read are deaf at once. Each look at a moment at which
/// there is news brings all of it over the link that the others were to spare.
const POLL_INTERVAL: Duration = Duration::from_secs(3);

/// The least wait: a single gateway asks for each kind of fact twice a second at most.
const MIN_WAIT: Duration = Duration::from_millis(500);

/// The longest wait that the platform grants.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// How much later than its wait a call may answer before the next one is made: a slow
/// platform takes about 0.3 s, and the sum of wait and margin is what silence costs.
pub const MARGIN: Duration = Duration::from_secs(1);

/// How many calls that are late may still answer besides the newest one.
///
/// A platform that takes longer than the margin would never be heard if each call was
/// given up with it: with two late ones, one that takes up to 4 s is.
pub const LATE_CALLS: usize = 2;

/// How long a watch that is in doubt may still bring its news by itself.
pub const RESYNC_GRACE: Duration = Duration::from_millis(400);

/// How many failures in a row mean that the platform was away.
pub const OUTAGE_FAILURES: u32 = 2;

/// How old news may be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Freshness {
    /// They came as soon as they were.
    New,
    /// They may have come at any time since so long ago.
    Within(Duration),
}

/// One gateway's watch of one kind of fact.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Watch {
    // When the platform last answered.
    answered: Duration,
    // When the platform last gave an answer that left nothing out.
    complete: Duration,
    // How many calls in a row have failed, and since when nothing was answered that
    // should have been.
    failures: u32,
    unanswered_since: Duration,
    // Whether anything went amiss since the last whole answer.
    degraded: bool,
    // Whether nothing was waited for since the last answer, though nothing went amiss.
    paused: bool,
}

impl Watch {
    /// A watch that has heard nothing so far.
    #[must_use]
    pub fn new(now: Duration) -> Self {
        Self {
            answered: now,
            complete: now,
            failures: 0,
            unanswered_since: now,
            degraded: false,
            paused: false,
        }
    }

    /// How many calls in a row have failed.
    #[must_use]
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// How long ago the platform last answered.
    #[must_use]
    pub fn since_last_answer(&self, now: Duration) -> Duration {
        now.saturating_sub(self.answered)
    }

    /// How long the next call waits for news, as [`wait`] says. Where something went
    /// amiss it is short, so that what is sound soon shows it.
    #[must_use]
    pub fn wait(&self, gateways: usize, draw: f64) -> Duration {
        if self.degraded { MIN_WAIT } else { wait(gateways, draw) }
    }

    /// How long a gateway that has news from others lets pass until the next call, as
    /// [`pause`] says, or a short time where something went amiss.
    #[must_use]
    pub fn poll_interval(&self, gateways: usize, draw: f64) -> Duration {
        if self.degraded { MIN_WAIT } else { poll_interval(gateways, draw) }
    }

    /// Takes in that a call has failed, which should have been answered at a time.
    pub fn record_failure(&mut self, due: Duration) {
        if self.failures == 0 {
            self.unanswered_since = due;
        }
        self.failures += 1;
        self.degraded = true;
    }

    /// Since when the platform has not answered what it should have, while calls fail.
    #[must_use]
    pub fn unanswered_since(&self) -> Duration {
        self.unanswered_since
    }

    /// Notes that the next call does not follow the one before it without a pause: what it
    /// brings may be as old as that.
    pub fn record_pause(&mut self) {
        self.paused = true;
    }

    /// Notes that others told, at a time, all that there was until then.
    pub fn record_peer_sync(&mut self, at: Duration) {
        self.complete = self.complete.max(at);
    }

    /// Takes in that the call was given up for a new one.
    pub fn abandon(&mut self) {
        self.degraded = true;
    }

    /// How old the news in an answer may be that comes now.
    ///
    /// They may be as old as the last whole answer also where the platform has refused
    /// calls since: it turns some gateways away and goes on for others and operators.
    #[must_use]
    pub fn freshness(&self, now: Duration) -> Freshness {
        let since = now.saturating_sub(self.complete);
        if self.degraded || self.paused { Freshness::Within(since) } else { Freshness::New }
    }

    /// Takes in an answer that leaves nothing out.
    pub fn record_complete(&mut self, now: Duration) {
        *self = Self::new(now);
    }

    /// Takes in an answer by which the platform has forgotten what came since the last
    /// one; that is in what is read next.
    pub fn record_gap(&mut self, now: Duration) {
        (self.answered, self.failures, self.degraded) = (now, 0, true);
    }
}

/// How long a gateway that has news from others lets pass until it looks by itself, where so
/// many do; `draw` is drawn evenly between 0 and 1.
#[must_use]
pub fn poll_interval(gateways: usize, draw: f64) -> Duration {
    let gateways = u32::try_from(gateways).unwrap_or(u32::MAX);
    (POLL_INTERVAL.saturating_mul(gateways) * 2).mul_f64(draw.clamp(0.0, 1.0)).max(MIN_WAIT)
}

/// How long a watch waits for news, where so many gateways share the asking; `draw` is
/// drawn evenly between 0 and 1.
///
/// Any wait up to twice the mean is as likely: gateways that all heard the same news at
/// the same moment must not all ask anew at the same moment.
#[must_use]
pub fn wait(gateways: usize, draw: f64) -> Duration {
    let gateways = u32::try_from(gateways).unwrap_or(u32::MAX);
    let mean = CALL_INTERVAL.saturating_mul(gateways).min(MAX_WAIT / 2);
    (mean * 2).mul_f64(draw.clamp(0.0, 1.0)).max(MIN_WAIT)
}
