//! The retry budget: a limit on sends beyond a request's first.
//!
//! The budget of a service holds for all gateways together: within any window they may repeat a
//! ratio of the service's requests, and some more, the slack. Gateways cannot agree on who spends
//! what: one that is silent may have ended, or may be partitioned and go on sending, and a process
//! does not know what the one before it has spent. So a gateway repeats only what is earned or its
//! own:
//!
//! - Each request earns a part of a retry ([`EARNED`]) at the gateway that received it, to be spent
//!   there once. A process begins with nothing.
//! - What is not spent is saved up to a limit: a further part for each request within the last
//!   window ([`SAVED`]), and what every gateway owns of the slack ([`OWNED`]).
//!
//! Whatever gateways start, end or hear of each other, and wherever callers go, the retries within a
//! window are at most what was saved up when it began, so `SAVED` of the requests within the window
//! before and `OWNED` for each gateway, plus `EARNED` of those within it. The operators' ratio
//! counts the busier of the two windows, so that both parts together stay below it.

use std::collections::VecDeque;
use std::time::Duration;

/// The budget that operators configure.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Options {
    /// Retries allowed per request.
    pub ratio: f64,
    /// The length of the window.
    pub window: Duration,
    /// Retries per window that all gateways together may make on top of the ratio.
    pub slack: f64,
}

/// The part of the ratio that each request earns.
const EARNED: f64 = 0.75;

/// The part of the ratio that may be saved up for each request within the last window. Together
/// with [`EARNED`] it leaves a margin, since a request and its retries do not arrive at the same
/// moment.
const SAVED: f64 = 0.2;

/// Retries of the slack that a gateway may save up whatever it knows of others. The slack has to
/// be at least as large for each gateway.
const OWNED: f64 = 4.0;

/// The part of the slack that the gateways known to each other may save up together. It only
/// matters where the slack is less than [`OWNED`] for each.
const SLACK_FRACTION: f64 = 0.9;

/// The budget of one service at one gateway.
#[derive(Debug, Default)]
// Invariants: `requests` is sorted by time, oldest first. `tokens` and `pending` together never
// exceed the limit, as of the last change.
pub struct Budget {
    // The requests within the last window.
    requests: VecDeque<Duration>,
    // Retries that may be sent now.
    tokens: f64,
    // Retries that were withdrawn and are neither spent nor returned.
    pending: u32,
}

impl Budget {
    /// Records a request, which earns a part of a retry. `gateways` is the number of gateways that
    /// were ever known here, this one included, whether or not they are still heard of.
    pub fn record_request(&mut self, now: Duration, options: &Options, gateways: usize) {
        self.requests.push_back(now);
        self.tokens += EARNED * options.ratio;
        self.limit(now, options, gateways);
    }

    /// Withdraws a retry, if one is saved up; returns whether it is. Each is to be followed by
    /// [`Self::spend`] or [`Self::put_back`].
    #[must_use]
    pub fn withdraw(&mut self, now: Duration, options: &Options, gateways: usize) -> bool {
        self.limit(now, options, gateways);
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
            self.pending += 1;
        }
        allowed
    }

    /// Records that a withdrawn retry was sent.
    pub fn spend(&mut self) {
        self.pending = self.pending.saturating_sub(1);
    }

    /// Reverses [`Self::spend`]: the retry was not sent after all.
    pub fn unspend(&mut self) {
        self.pending += 1;
    }

    /// Returns a withdrawn retry that was not sent.
    pub fn put_back(&mut self) {
        self.pending = self.pending.saturating_sub(1);
        self.tokens += 1.0;
    }

    /// The retries that may be sent now; below 1 if none may.
    #[must_use]
    pub fn tokens(&self) -> f64 {
        self.tokens
    }

    /// The number of requests within the window that ended at the last change.
    #[must_use]
    pub fn requests(&self) -> usize {
        self.requests.len()
    }

    /// Forgets what exceeds the limit.
    fn limit(&mut self, now: Duration, options: &Options, gateways: usize) {
        while self.requests.front().is_some_and(|time| *time + options.window < now) {
            self.requests.pop_front();
        }
        let own = OWNED.min(SLACK_FRACTION * options.slack / gateways.max(1) as f64);
        let limit = own + SAVED * options.ratio * self.requests.len() as f64;
        self.tokens = self.tokens.min((limit - f64::from(self.pending)).max(0.0));
    }
}
