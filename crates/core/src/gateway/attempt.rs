//! The outcomes of a request's sends, and whether it may be sent again.
//!
//! Only this module decides whether a caller may be told that its request has not run:
//! [`History`] records the [`Outcome`] of each send and derives the [`Guarantee`] from them.

/// The outcome of a send that brought no success.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// No byte of the request left this process.
    NotSent,
    /// The endpoint answered that it has not run the request and will not.
    Refused,
    /// The request was sent and no answer arrived, so it may have run.
    Lost,
    /// Like [`Outcome::Lost`], over a connection that had been idle and may have been dead:
    /// the endpoint may never have received the request.
    Stale,
    /// Like [`Outcome::Lost`], and the connection broke off: the endpoint may have ended.
    BrokenOff,
    /// Like [`Outcome::Lost`], and an answer arrived whose head cannot be relied on. It says
    /// nothing of the request, whatever becomes of the endpoint.
    Spoilt,
    /// The endpoint ran the request and answered with a failure.
    Failed,
}

/// What a caller may be told about whether its request has run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Guarantee {
    /// The request has not run and never will.
    NotRun,
    /// The request may have run.
    None,
}

/// What to do after a send that brought no success.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Next {
    /// The request may be sent to another endpoint.
    Retry,
    /// The caller gets a final answer, with this guarantee.
    End(Guarantee),
}

/// The sends of one request so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
// Invariant: `runs` never falls, so a request that may have run never counts as not run.
pub struct History {
    sends: u32,
    // Sends that may have run.
    runs: u32,
}

/// Limit of the sends of one request, including refused ones.
const MAX_SENDS: u32 = 4;

impl History {
    /// The number of sends that left this process.
    #[must_use]
    pub fn sends(&self) -> u32 {
        self.sends
    }

    /// Records the outcome of a send.
    pub fn record(&mut self, outcome: Outcome) {
        if outcome != Outcome::NotSent {
            self.sends += 1;
        }
        match outcome {
            Outcome::NotSent | Outcome::Refused => {}
            Outcome::Lost
            | Outcome::Stale
            | Outcome::BrokenOff
            | Outcome::Spoilt
            | Outcome::Failed => self.runs += 1,
        }
    }

    /// What the caller may be told if the request is not sent again.
    #[must_use]
    pub fn guarantee(&self) -> Guarantee {
        if self.runs > 0 { Guarantee::None } else { Guarantee::NotRun }
    }

    /// Decides whether the request may be sent again.
    ///
    /// A request that is not `repeatable` is not sent again once it may have run. Any request
    /// may run on at most `max_runs` endpoints, and on one in any case. `affordable` says
    /// whether time and budget allow another send.
    #[must_use]
    pub fn next(&self, repeatable: bool, max_runs: u32, affordable: bool) -> Next {
        let allowed = repeatable || self.runs == 0;
        let within_limits = self.runs < max_runs.max(1) && self.sends < MAX_SENDS;
        if allowed && affordable && within_limits {
            Next::Retry
        } else {
            Next::End(self.guarantee())
        }
    }
}
