//! The retry budget: a limit on sends beyond a request's first.
//!
//! All gateways share one budget per service: within any window, a ratio of the service's
//! requests plus some slack. Each gateway spends the part that its own requests earn and its
//! share of the slack, so that gateways need not ask each other.

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
    /// Time after its start from which a gateway may spend its share of the slack. What
    /// the previous process spent is unknown, so until those retries have left the window the
    /// share could be spent twice.
    pub slack_from: Duration,
}

/// Fraction of the allowed retries that is spent. The rest is a margin, since gateways count
/// the same requests and retries at different moments.
const SPENDABLE_FRACTION: f64 = 0.8;

/// The budget of one service at one gateway.
#[derive(Debug, Default)]
// Invariant: both queues are sorted by time, oldest first.
pub struct Budget {
    requests: VecDeque<Duration>,
    retries: VecDeque<Duration>,
}

impl Budget {
    /// Records a request, which earns `options.ratio` retries.
    pub fn record_request(&mut self, now: Duration, options: &Options) {
        forget(&mut self.requests, now, options.window);
        self.requests.push_back(now);
    }

    /// Whether the budget allows another retry now, where `gateways` share the slack.
    pub fn allows_retry(&mut self, now: Duration, options: &Options, gateways: usize) -> bool {
        forget(&mut self.requests, now, options.window);
        forget(&mut self.retries, now, options.window);
        (self.retries.len() as f64) + 1.0 <= self.allowed(now, options, gateways)
    }

    /// The retries that are allowed within the window, where `gateways` share the slack.
    #[must_use]
    pub fn allowed(&self, now: Duration, options: &Options, gateways: usize) -> f64 {
        let slack = if now < options.slack_from { 0.0 } else { options.slack };
        let slack = slack / gateways.max(1) as f64;
        SPENDABLE_FRACTION * (options.ratio * self.requests.len() as f64 + slack)
    }

    /// The requests and the retries within the window that ended when they were last asked for.
    #[must_use]
    pub fn counts(&self) -> (usize, usize) {
        (self.requests.len(), self.retries.len())
    }

    /// Records a retry.
    pub fn record_retry(&mut self, now: Duration) {
        self.retries.push_back(now);
    }
}

fn forget(times: &mut VecDeque<Duration>, now: Duration, window: Duration) {
    while times.front().is_some_and(|time| *time + window < now) {
        times.pop_front();
    }
}
