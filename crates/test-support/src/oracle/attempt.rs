//! One attempt of a caller, as caller and endpoints have seen it.

use std::time::Duration;

/// What may be done with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// It may run more than once.
    Safe,
    /// It may run once.
    Unsafe,
    /// Events, of which another endpoint may give the rest.
    Resumable,
    /// Events that one endpoint gives.
    Stream,
}

impl Kind {
    /// Whether it may run more than once.
    pub fn repeats(self) -> bool {
        matches!(self, Self::Safe | Self::Resumable)
    }

    /// Whether work on it has to end with its caller.
    pub fn ends_with_caller(self) -> bool {
        self != Self::Unsafe
    }
}

/// How an attempt ended for its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum End {
    /// A whole answer.
    Answered {
        /// Its status.
        status: u16,
        /// Whether an endpoint signed it.
        signed: bool,
        /// What is wrong with it.
        wrong: Option<String>,
    },
    /// The connection ended without a whole answer.
    Cut,
    /// Nothing came, long after the route's time was over.
    Silent,
    /// The caller closed its connection.
    Left,
}

/// An arrival at an endpoint.
#[derive(Debug, Clone)]
pub struct Run {
    /// The endpoint.
    pub endpoint: String,
    /// When it came.
    pub came: Duration,
    /// Whether work was begun on it.
    pub ran: bool,
    /// When the endpoint was done with it or noticed that nobody waits; none while it works.
    pub ended: Option<Duration>,
    /// Whether the endpoint itself broke it off.
    pub broken_off: bool,
    /// Of the model, where the endpoint has one.
    pub version: Option<u64>,
    /// What was not as the caller had sent it.
    pub wrong: Option<String>,
}

/// One attempt of a caller; times are since the start of the soak.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// The request's id.
    pub id: String,
    /// The number of the gateway that took it.
    pub gateway: usize,
    /// What may be done with it.
    pub kind: Kind,
    /// The route's prefix; it has to be in force.
    pub route: String,
    /// The key; it has to be in force.
    pub key: String,
    /// When it was sent.
    pub sent: Duration,
    /// Its arrivals, in their order.
    pub runs: Vec<Run>,
    /// When and how it ended, once it has.
    pub end: Option<(Duration, End)>,
}
