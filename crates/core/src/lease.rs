//! Leases, which elect one holder for a task.
//!
//! A lease is an object that its holder rewrites periodically. No wall clocks
//! are compared: a [`Candidate`] takes over a lease once it has seen the object
//! unchanged for the lease's length on its own clock. Each new holder increments
//! the term, and what a holder writes carries the term, so that the writes of a
//! holder that was paused and resumes late are distinguished from those of its
//! successor.

use std::time::Duration;

use cinderspoke_schema::control::Lease;
use cinderspoke_types::counter::{Revision, Term};
use cinderspoke_types::id::Instance;

/// How many times a holder renews its lease within the lease's length.
const RENEWALS_PER_LEASE: u32 = 3;

/// What a candidate does next.
#[derive(Debug, Clone, PartialEq)]
pub enum Step {
    /// Nothing; call again later.
    Wait,
    /// Write the lease, if the object is still at the expected revision.
    Write {
        /// The content to write.
        lease: Lease,
        /// The revision to expect; `None` if the object must not exist.
        expect: Option<Revision>,
    },
}

/// An instance that competes for a lease, with its view of it.
#[derive(Debug)]
pub struct Candidate {
    instance: Instance,
    length: Duration,
    seen: Option<Seen>,
    // Invariant: set only while the newest write known to this instance is its own.
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
    /// Creates a candidate that has not observed the lease yet.
    #[must_use]
    pub fn new(instance: Instance, length: Duration) -> Self {
        Self { instance, length, seen: None, held: None }
    }

    /// Observes the object as it was read, unless a newer revision is known.
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

    /// Records a write of this instance that took effect.
    ///
    /// `sent` is when the write was sent; the lease is valid from then.
    pub fn record_write(&mut self, revision: Revision, lease: Lease, sent: Duration) {
        let term = lease.term;
        self.observe(revision, lease, sent);
        if self.seen.as_ref().is_some_and(|seen| seen.revision == revision) {
            self.held = Some(Held { term, renewed: sent });
        }
    }

    /// The term in which this instance holds the lease; `None` if it does not hold it.
    #[must_use]
    pub fn term(&self, now: Duration) -> Option<Term> {
        let held = self.held.as_ref()?;
        (now < held.renewed + self.length).then_some(held.term)
    }

    /// Whether to write the lease now, to acquire or renew it.
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
