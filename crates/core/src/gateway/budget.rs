//! The budget of sends beyond a request's first.
//!
//! All gateways share one budget per service: a ratio of its requests, and some
//! slack, within any window. Each gateway spends from its own requests and its
//! share of the slack, so that none has to ask another.

use std::collections::VecDeque;
use std::time::Duration;

/// What the operators allow.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Options {
    /// Sends beyond the first, for each request.
    pub ratio: f64,
    /// The length of the window.
    pub window: Duration,
    /// Sends beyond the first that all gateways together may add.
    pub slack: f64,
    /// From when on, after its start, a gateway may spend of the slack. What the
    /// process before it spent is not known: for as long as that counts, its share
    /// would be spent twice.
    pub slack_from: Duration,
}

/// The part of what is allowed that is spent; the rest is for what is counted
/// elsewhere at another moment.
const PART: f64 = 0.8;

/// One service's budget at one gateway.
#[derive(Debug, Default)]
// Invariant: both queues are in the order of time.
pub struct Budget {
    requests: VecDeque<Duration>,
    retries: VecDeque<Duration>,
}

impl Budget {
    /// Takes in a request.
    pub fn record_request(&mut self, now: Duration, options: &Options) {
        forget(&mut self.requests, now, options.window);
        self.requests.push_back(now);
    }

    /// Whether another send may be made, among so many gateways.
    pub fn allows_retry(&mut self, now: Duration, options: &Options, gateways: usize) -> bool {
        forget(&mut self.requests, now, options.window);
        forget(&mut self.retries, now, options.window);
        let slack = if now < options.slack_from { 0.0 } else { options.slack };
        let slack = slack / gateways.max(1) as f64;
        let allowed = PART * (options.ratio * self.requests.len() as f64 + slack);
        (self.retries.len() as f64) + 1.0 <= allowed
    }

    /// Takes in a send beyond the first.
    pub fn record_retry(&mut self, now: Duration) {
        self.retries.push_back(now);
    }
}

fn forget(times: &mut VecDeque<Duration>, now: Duration, window: Duration) {
    while times.front().is_some_and(|time| *time + window < now) {
        times.pop_front();
    }
}
