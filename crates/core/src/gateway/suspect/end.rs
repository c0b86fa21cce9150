//! Ends of endpoints, and chains of them.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Two ends of an endpoint that are less apart, in milliseconds, are the same one, seen by two
/// gateways. An endpoint takes longer to restart, and the times at which gateways notice one end
/// differ by less.
pub(super) const SAME_END_MS: i64 = 300;

/// By how many milliseconds a send may seem to precede the end of the endpoint before it: the
/// difference in network delay of two messages.
const DELAY_MS: i64 = 20;

/// A time by the process's clock, in milliseconds. It is negative before the process started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Moment(pub(super) i64);

impl Moment {
    pub(super) fn at(now: Duration) -> Self {
        Self(i64::try_from(now.as_millis()).unwrap_or(i64::MAX))
    }

    /// Returns the time that is `age` before now.
    pub(super) fn ago(age: Duration, now: Duration) -> Self {
        Self(Self::at(now).0.saturating_sub(Self::at(age).0))
    }

    /// Returns how long ago it was.
    pub(super) fn age(self, now: Duration) -> Duration {
        let age = Self::at(now).0.saturating_sub(self.0);
        Duration::from_millis(u64::try_from(age).unwrap_or_default())
    }
}

/// The event that counts as an end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum Cause {
    /// An endpoint ended, identified by its key.
    Endpoint(u64),
    /// The request was sent as a probe, which counts as an end until it is answered.
    Probe,
}

/// An end of an endpoint that had a request.
#[derive(Debug, Clone, Copy)]
pub(super) struct End {
    // A random number from the gateway that saw it.
    pub(super) id: u64,
    pub(super) cause: Cause,
    pub(super) sent: Moment,
    pub(super) disconnected: Moment,
    // Whether this gateway saw it itself.
    pub(super) own: bool,
}

impl End {
    /// Returns whether this is the same end, as seen by another gateway or under another request.
    pub(super) fn is_same(&self, other: &Self) -> bool {
        let apart = (self.disconnected.0 - other.disconnected.0).abs();
        self.id == other.id || (self.cause == other.cause && apart < SAME_END_MS)
    }

    /// Returns whether the request was sent to this endpoint after the other end.
    fn follows(&self, other: &Self) -> bool {
        self.sent.0 + DELAY_MS >= other.disconnected.0
            && self.disconnected.0 > other.disconnected.0 + DELAY_MS
    }

    /// Returns for how long the request was at the endpoint, in milliseconds. Other than the times
    /// themselves, it is not changed by the network delay of updates.
    pub(super) fn run_ms(&self) -> i64 {
        self.disconnected.0 - self.sent.0
    }

    /// Takes over that a request was sent later, if the other is the same end under another
    /// request. Returns whether it was.
    pub(super) fn merge_sent(&mut self, other: &Self) -> bool {
        let is_later = other.run_ms() + DELAY_MS < self.run_ms();
        if is_later {
            self.sent = Moment(self.disconnected.0 - other.run_ms());
        }
        is_later
    }

    /// Returns whether an endpoint ended, rather than that a probe was sent.
    pub(super) fn is_crash(&self) -> bool {
        matches!(self.cause, Cause::Endpoint(_))
    }
}

/// Ends that quarantined suspects explain, by the key of their endpoint.
#[derive(Debug, Default)]
pub(super) struct Explained(BTreeMap<u64, Vec<Moment>>);

impl Explained {
    /// Adds the ends of endpoints among some ends.
    pub(super) fn extend(&mut self, ends: &[End]) {
        for end in ends {
            if let Cause::Endpoint(key) = end.cause {
                self.0.entry(key).or_default().push(end.disconnected);
            }
        }
    }

    /// Returns whether an end is one of them, as seen by any gateway.
    pub(super) fn contains(&self, end: &End) -> bool {
        let Cause::Endpoint(key) = end.cause else { return false };
        let is_same = |at: &Moment| (at.0 - end.disconnected.0).abs() < SAME_END_MS;
        self.0.get(&key).is_some_and(|times| times.iter().any(is_same))
    }
}

/// Returns the length of the longest chain of ends in which the request of each was sent after the
/// end before it. Ends at the same moment are one link.
pub(super) fn chain<'a>(ends: impl IntoIterator<Item = &'a End>) -> usize {
    let mut ends: Vec<_> = ends.into_iter().collect();
    ends.sort_by_key(|end| end.disconnected);
    let mut last: Option<&End> = None;
    let mut length = 0;
    for end in ends {
        if last.is_none_or(|last| end.follows(last)) {
            last = Some(end);
            length += 1;
        }
    }
    length
}

/// An end of an endpoint, as one gateway sends it to another; times are ages.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct EndUpdate {
    id: u64,
    cause: Cause,
    sent: Duration,
    disconnected: Duration,
}

impl EndUpdate {
    /// Describes an end to other gateways.
    pub(super) fn new(end: &End, now: Duration) -> Self {
        let (sent, disconnected) = (end.sent.age(now), end.disconnected.age(now));
        Self { id: end.id, cause: end.cause, sent, disconnected }
    }

    /// The end, by this process's clock.
    pub(super) fn end(&self, now: Duration) -> End {
        let Self { id, cause, sent, disconnected } = *self;
        let (sent, disconnected) = (Moment::ago(sent, now), Moment::ago(disconnected, now));
        End { id, cause, sent, disconnected, own: false }
    }
}
