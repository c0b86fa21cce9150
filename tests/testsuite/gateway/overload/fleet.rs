//! A fleet, what goes wrong in it, and how requests are sent.

/// A fleet: how many gateways send to how many engines, and how many slots each has.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Fleet {
    pub(crate) gateways: usize,
    pub(crate) engines: usize,
    pub(crate) slots: usize,
}

/// What goes wrong in it.
#[derive(Clone, Copy, Default, Debug)]
pub(crate) struct Faults {
    /// The part of datagrams that are lost.
    pub(crate) loss: f64,
    /// So many gateways are heard by no agent.
    pub(crate) unheard: usize,
    /// So many engines have no agent.
    pub(crate) alone: usize,
    /// Every fourth gateway gets four times the requests of the others.
    pub(crate) uneven: bool,
    /// Every so many engines one is slow, and by how much; none where it is zero.
    pub(crate) slow: (usize, f64),
}

impl Faults {
    /// How much slower than declared an engine is.
    pub(crate) fn pace(&self, engine: usize) -> f64 {
        let (every, pace) = self.slow;
        if every > 0 && engine.is_multiple_of(every) { pace } else { 1.0 }
    }
}

/// How requests are sent.
#[derive(Clone, Copy, PartialEq, Debug)]
pub(crate) enum Rule {
    /// As the gateway decides: agents are asked under load.
    Ours,
    /// By reports alone.
    Reports,
    /// Everybody to any engine.
    Anyone,
    /// Everybody, to the engine that should begin first.
    Everybody,
}
