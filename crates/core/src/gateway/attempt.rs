//! What became of a request's sends, and what may follow.
//!
//! This is the one place that decides whether a caller may be told that its
//! request has not run.

/// What became of one send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// No byte of it left this process.
    NotSent,
    /// The endpoint says that it has not run it and will not.
    Refused,
    /// It was sent, and no answer says what became of it.
    Lost,
    /// The same, over a connection that had rested and may have been silent since: the
    /// endpoint may never have got it.
    Stale,
    /// The same, and its connection broke off: the endpoint may have ended.
    BrokenOff,
    /// The endpoint ran it and answered with a failure.
    Failed,
}

/// What a caller may be told.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Guarantee {
    /// It has not run and never will.
    NotRun,
    /// Nothing is promised.
    None,
}

/// What follows a send that brought no success.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Next {
    /// It may be sent to another endpoint.
    Retry,
    /// The caller is told the final answer.
    End(Guarantee),
}

/// The sends of one request so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
// Invariant: `runs` never falls, so what may have run never counts as not run.
pub struct History {
    sends: u32,
    // Sends that may have run.
    runs: u32,
}

/// The most sends of one request, refused ones among them.
const MOST_SENDS: u32 = 4;

impl History {
    /// How many endpoints it went to.
    #[must_use]
    pub fn sends(&self) -> u32 {
        self.sends
    }

    /// Takes in what became of a send.
    pub fn record(&mut self, outcome: Outcome) {
        if outcome != Outcome::NotSent {
            self.sends += 1;
        }
        if matches!(outcome, Outcome::Lost | Outcome::Stale | Outcome::BrokenOff | Outcome::Failed)
        {
            self.runs += 1;
        }
    }

    /// What a caller may be told if nothing more is sent.
    #[must_use]
    pub fn guarantee(&self) -> Guarantee {
        if self.runs > 0 { Guarantee::None } else { Guarantee::NotRun }
    }

    /// What may follow, where a request may run on so many endpoints at most;
    /// `affordable` says whether time and budget allow another send.
    #[must_use]
    pub fn next(&self, repeatable: bool, most: u32, affordable: bool) -> Next {
        let allowed = repeatable || self.runs == 0;
        let few = self.runs < most.max(1) && self.sends < MOST_SENDS;
        if allowed && affordable && few { Next::Retry } else { Next::End(self.guarantee()) }
    }
}
