//! How long callers of a route usually wait, and so how long one has waited before.
//!
//! A caller that comes back says that it waits for what is left of its time. Most
//! attempts are first ones, which mostly say the same; where they do not, nothing is
//! known of how long anyone has waited.

use std::time::Duration;

/// The part of the usual time below which a caller has waited before: deadlines are
/// told in whole milliseconds and differ a little from one to the next.
const WAITED: f64 = 0.985;

/// How many more attempts have to have said the usual time than another one for it to
/// be believed.
const BELIEVED: u32 = 4;

/// The most that attempts count for the usual time, so that another one is taken over
/// after as many attempts.
const MOST: u32 = 64;

/// The time that most attempts say, by a majority vote in one pass.
#[derive(Debug, Clone, Copy, Default)]
// Invariant: `votes` is at most `MOST`, and zero before the first attempt.
pub struct Estimator {
    time: Duration,
    votes: u32,
}

impl Estimator {
    /// Takes in how long a caller says that it waits; gives how long it has waited
    /// before this attempt, as far as is known.
    pub fn observe(&mut self, says: Duration) -> Duration {
        self.vote(says);
        let before = self.time.saturating_sub(says);
        let less = says < self.time.mul_f64(WAITED);
        if self.votes >= BELIEVED && less { before } else { Duration::ZERO }
    }

    fn vote(&mut self, says: Duration) {
        let least = self.time.mul_f64(WAITED);
        let most = self.time.mul_f64(2.0 - WAITED);
        if (least..=most).contains(&says) {
            self.votes = (self.votes + 1).min(MOST);
        } else if self.votes == 0 {
            (self.time, self.votes) = (says, 1);
        } else {
            self.votes -= 1;
        }
    }
}
