//! Estimates how long a caller has already waited before an attempt.
//!
//! A caller that retries states the time that is left of its timeout. Most attempts are first
//! ones, and most of these state the same timeout. If they do not, it is unknown how long a
//! caller has waited.

use std::time::Duration;

/// Fraction of the usual timeout below which an attempt counts as a retry. Timeouts are stated
/// in whole milliseconds and differ slightly from one attempt to the next.
const RETRY_BELOW: f64 = 0.985;

/// Lead in votes that the usual timeout needs before it is used.
const MIN_VOTES: u32 = 4;

/// Upper bound on the votes, so that a different timeout replaces the usual one after as many
/// attempts.
const MAX_VOTES: u32 = 64;

/// Estimates the timeout that most attempts of a route state, by a majority vote in one pass
/// (Boyer and Moore).
#[derive(Debug, Clone, Copy, Default)]
// Invariant: `votes` is at most `MAX_VOTES`, and zero before the first attempt.
pub struct Estimator {
    usual: Duration,
    votes: u32,
}

impl Estimator {
    /// Records the timeout that a caller states for an attempt. Returns how long the caller has
    /// waited before this attempt; zero if that is unknown.
    pub fn observe(&mut self, timeout: Duration) -> Duration {
        self.vote(timeout);
        let waited = self.usual.saturating_sub(timeout);
        let is_retry = timeout < self.usual.mul_f64(RETRY_BELOW);
        if self.votes >= MIN_VOTES && is_retry { waited } else { Duration::ZERO }
    }

    fn vote(&mut self, timeout: Duration) {
        let least = self.usual.mul_f64(RETRY_BELOW);
        let most = self.usual.mul_f64(2.0 - RETRY_BELOW);
        if (least..=most).contains(&timeout) {
            self.votes = (self.votes + 1).min(MAX_VOTES);
        } else if self.votes == 0 {
            (self.usual, self.votes) = (timeout, 1);
        } else {
            self.votes -= 1;
        }
    }
}
