//! Detects congestion of an instance's link by the response times of chunks of weights.

use std::time::Duration;

/// How long a link counts as congested after a slow chunk. Congestion that lasts shows in
/// another chunk within this time, as long as chunks are transferred.
const CONGESTION_HOLD: Duration = Duration::from_secs(5);

/// Response time above which a chunk indicates a congested link. It includes the time that the
/// request waits at the peer.
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

/// The state of an instance's link.
#[derive(Debug, Default, Clone, Copy)]
pub struct Link {
    last_slow: Option<Duration>,
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
            self.last_slow = Some(now);
        }
    }

    /// Whether traffic over the link may be delayed by seconds.
    #[must_use]
    pub fn is_congested(&self, now: Duration) -> bool {
        self.last_slow.is_some_and(|at| now < at + CONGESTION_HOLD)
    }
}
