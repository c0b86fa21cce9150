//! Whether an instance's link carries what it should, as chunks of weights show it.

use std::time::Duration;

/// How long a slow chunk tells of a narrow link: harm that lasts shows again sooner,
/// as long as chunks come.
const REMEMBERED: Duration = Duration::from_secs(5);

/// A chunk that takes longer than this, its wait at the peer among it, tells of a
/// link that carries less than it should.
pub const SLOW: Duration = Duration::from_millis(600);

/// What is known of an instance's link.
#[derive(Debug, Default, Clone, Copy)]
pub struct Link {
    slow: Option<Duration>,
}

impl Link {
    /// Takes in how long a chunk was on its way.
    pub fn took(&mut self, time: Duration, now: Duration) {
        if time > SLOW {
            self.slow = Some(now);
        }
    }

    /// Takes in that a chunk did not come from a peer that held it.
    pub fn missed(&mut self, now: Duration) {
        self.slow = Some(now);
    }

    /// Whether what goes over it may be held up for seconds.
    #[must_use]
    pub fn is_narrow(&self, now: Duration) -> bool {
        self.slow.is_some_and(|slow| now < slow + REMEMBERED)
    }
}
