//! Leases: who may do what only one may do.
//!
//! A lease is an object that its holder keeps rewriting. Nobody compares wall
//! clocks: an observer takes a lease over once it has seen it unchanged for
//! the lease's length on its own clock. Each change of hands grows the term,
//! and what the holder writes carries the term, so that a holder that was
//! paused and acts late is told apart from its successor.

use std::time::Duration;

use cinderspoke_schema::control::Lease;
use cinderspoke_types::counter::{Revision, Term};
use cinderspoke_types::id::Instance;

/// A holder renews after this part of the lease's length.
const RENEWALS_PER_LEASE: u32 = 3;

/// What a candidate does next.
#[derive(Debug, Clone, PartialEq)]
pub enum Step {
    /// Nothing; look again later.
    Wait,
    /// Write the lease, if the object is still at the expected revision.
    Write {
        /// What to write.
        lease: Lease,
        /// The revision to expect; `None` when there must be no object.
        expect: Option<Revision>,
    },
}

/// One instance's view of a lease.
#[derive(Debug)]
pub struct Candidate {
    instance: Instance,
    length: Duration,
    seen: Option<Seen>,
    // Invariant: set only while the newest write that this instance knows of is its own.
    held: Option<Held>,
}

/// The newest state of the object, and when this instance first saw it.
#[derive(Debug)]
struct Seen {
    revision: Revision,
    lease: Lease,
    at: Duration,
}

#[derive(Debug)]
struct Held {
    term: Term,
    renewed: Duration,
}

impl Candidate {
    /// A candidate that has seen nothing yet.
    #[must_use]
    pub fn new(instance: Instance, length: Duration) -> Self {
        Self { instance, length, seen: None, held: None }
    }

    /// Takes in the object as it was read.
    pub fn observe(&mut self, revision: Revision, lease: Lease, now: Duration) {
        if self.seen.as_ref().is_some_and(|seen| seen.revision >= revision) {
            return;
        }
        let mine = lease.holder == self.instance;
        if !mine || self.held.as_ref().is_some_and(|held| held.term != lease.term) {
            self.held = None;
        }
        self.seen = Some(Seen { revision, lease, at: now });
    }

    /// Takes in a write of this instance's own that took effect.
    ///
    /// `sent` is when the write was sent: the lease counts from then.
    pub fn record_write(&mut self, revision: Revision, lease: Lease, sent: Duration) {
        let term = lease.term;
        self.observe(revision, lease, sent);
        if self.seen.as_ref().is_some_and(|seen| seen.revision == revision) {
            self.held = Some(Held { term, renewed: sent });
        }
    }

    /// The term under which this instance holds the lease; `None` when it does not.
    #[must_use]
    pub fn term(&self, now: Duration) -> Option<Term> {
        let held = self.held.as_ref()?;
        (now < held.renewed + self.length).then_some(held.term)
    }

    /// What to do next.
    #[must_use]
    pub fn step(&self, now: Duration) -> Step {
        let Some(seen) = &self.seen else {
            return self.write(Term::default().next(), 0, None);
        };
        if self.term(now) == Some(seen.lease.term) {
            return self.renew(seen, now);
        }
        if now < seen.at + self.length {
            return Step::Wait;
        }
        self.write(seen.lease.term.next(), 0, Some(seen.revision))
    }

    fn renew(&self, seen: &Seen, now: Duration) -> Step {
        let renewed = self.held.as_ref().map_or(Duration::ZERO, |held| held.renewed);
        if now < renewed + self.length / RENEWALS_PER_LEASE {
            return Step::Wait;
        }
        self.write(seen.lease.term, seen.lease.renewal + 1, Some(seen.revision))
    }

    fn write(&self, term: Term, renewal: u64, expect: Option<Revision>) -> Step {
        let lease = Lease { term, holder: self.instance.clone(), renewal };
        Step::Write { lease, expect }
    }
}
