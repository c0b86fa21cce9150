//! The parameters of the simulation: the fleet, its faults, and how requests are sent.

/// A fleet of gateways that send to engines with `slots` slots each.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Fleet {
    pub(crate) gateways: usize,
    pub(crate) engines: usize,
    pub(crate) slots: usize,
}

/// The faults of a fleet.
#[derive(Clone, Copy, Default, Debug)]
pub(crate) struct Faults {
    /// The fraction of datagrams that are lost.
    pub(crate) loss: f64,
    /// Number of gateways whose datagrams reach no agent.
    pub(crate) unheard: usize,
    /// Number of engines without an agent.
    pub(crate) alone: usize,
    /// Every fourth gateway gets four times the requests of the others.
    pub(crate) uneven: bool,
    /// The interval between slow engines and their slowdown; no engine is slow if the interval is
    /// zero.
    pub(crate) slow: (usize, f64),
}

impl Faults {
    /// Ratio of an engine's actual to its declared processing time.
    pub(crate) fn slowdown(&self, engine: usize) -> f64 {
        let (every, slowdown) = self.slow;
        if every > 0 && engine.is_multiple_of(every) { slowdown } else { 1.0 }
    }
}

/// How requests are sent.
#[derive(Clone, Copy, PartialEq, Debug)]
pub(crate) enum Rule {
    /// As the gateway decides: agents are queried under load.
    Gateway,
    /// By reports alone, without queries.
    Reports,
    /// All requests, each to a random engine.
    Random,
    /// All requests, each to the engine with the lowest forecast time to first token.
    AdmitAll,
}
