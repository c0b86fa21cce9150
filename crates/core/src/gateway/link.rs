//! Whether an instance's link carries what it should, as chunks of weights show it.

use std::time::Duration;

/// How long a slow chunk tells of a narrow link: harm that lasts shows again sooner,
/// as long as chunks come.
const REMEMBERED: Duration = Duration::from_secs(5);

/// A chunk that takes longer than this, its wait at the peer among it, tells of a
/// link that carries less than it should.
pub const SLOW_CHUNK: Duration = Duration::from_millis(600);

/// What a single chunk request indicates about the link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Observation {
    /// The time until a chunk, an error status or a connection failure, less any wait that the
    /// peer was asked for.
    ResponseTime(Duration),
    /// No complete response was received.
    NoResponse,
    /// The request says nothing about the link.
    Inconclusive,
}

/// What is known of an instance's link.
#[derive(Debug, Default, Clone, Copy)]
pub struct Link {
    slow: Option<Duration>,
}

impl Link {
    /// Updates the state of the link from the outcome of a chunk request.
    pub fn observe(&mut self, observation: Observation, now: Duration) {
        let is_slow = match observation {
            Observation::ResponseTime(time) => time > SLOW_CHUNK,
            Observation::NoResponse => true,
            Observation::Inconclusive => false,
        };
        if is_slow {
            self.slow = Some(now);
        }
    }

    /// Whether what goes over it may be held up for seconds.
    #[must_use]
    pub fn is_congested(&self, now: Duration) -> bool {
        self.slow.is_some_and(|slow| now < slow + REMEMBERED)
    }
}
