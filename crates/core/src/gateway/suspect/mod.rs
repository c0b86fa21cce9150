//! Requests and parts of prompts under which endpoints end, and their quarantine.
//!
//! An endpoint that ends loses all requests that it was working on, so each of them becomes a
//! suspect, and so does each part that its prompt may share with others. An answer clears them. A
//! suspect that is not answered while endpoints end one after another is quarantined: requests
//! with it are refused, except for a probe from time to time.
//!
//! - An [`Subject`] is what a suspect is known by, and a [`Crash`] is an end of an endpoint.
//! - [`Table`] holds the suspects. Gateways exchange them as [`Update`]s, in which times are ages,
//!   since any gateway may receive the next request.

mod end;
mod evidence;
mod group;
mod subject;

use std::collections::BTreeSet;
use std::time::Duration;

use self::end::{Cause, End, Moment, SAME_END_MS};
use self::evidence::{PARTS, QUARANTINE_ENDS, REQUESTS};
pub use self::group::Update;
use self::group::{Difference, Group};
pub use self::subject::{Part, Subject};
use super::fingerprint::Fingerprint;
use super::name::Endpoint;
use crate::rendezvous::Key;

/// How long a part is quarantined at first against a request that lacks one of its rivals: a part
/// that would be quarantined without it. Such a request tells which of them ends endpoints.
const RIVAL_QUARANTINE: Duration = Duration::from_secs(1);

/// The most released subjects that are remembered: several times as many as the store keeps.
const MAX_RELEASED: usize = 1024;

/// A send whose endpoint ended before it answered.
#[derive(Debug, Clone)]
pub struct Crash {
    /// A random number from the gateway that saw it, which identifies the crash.
    pub id: u64,
    /// The endpoint.
    pub endpoint: Endpoint,
    /// When the request was sent.
    pub sent: Duration,
    /// When the connection was lost.
    pub disconnected: Duration,
}

impl Crash {
    fn end(&self) -> End {
        End {
            id: self.id,
            cause: Cause::Endpoint(Key::of(self.endpoint.as_str()).as_u64()),
            sent: Moment::at(self.sent),
            disconnected: Moment::at(self.disconnected),
            own: true,
        }
    }
}

/// What an end, an answer or another gateway's updates have changed.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Changes {
    /// Whether other gateways have to be informed.
    pub updated: bool,
    /// What is quarantined from now on.
    pub quarantined: Vec<Subject>,
    /// What of it had an end which this gateway saw itself. This gateway stores the quarantine, since
    /// the gateway that saw the last end may not know the other ends.
    pub witnessed: Vec<Subject>,
    /// What is no longer quarantined.
    pub released: Vec<Subject>,
}

/// Whether a request may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It may be sent.
    Pass,
    /// It may be sent to find out whether it still ends endpoints; other requests of the same
    /// subject wait in the meantime.
    Probe(Subject),
    /// It may not be sent for this long because of this subject.
    Quarantined(Subject, Duration),
}

/// All known suspects.
#[derive(Debug)]
pub struct Table {
    requests: Group<Fingerprint>,
    parts: Group<Part>,
    // What was released and not quarantined again since.
    // Invariant: at most `MAX_RELEASED`.
    released: BTreeSet<Subject>,
}

impl Default for Table {
    fn default() -> Self {
        Self {
            requests: Group::new(&REQUESTS),
            parts: Group::new(&PARTS),
            released: BTreeSet::new(),
        }
    }
}

impl Table {
    /// Returns whether there are no suspects.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty() && self.parts.is_empty()
    }

    /// Returns whether endpoints ended under a subject since it was answered.
    #[must_use]
    pub fn is_suspected(&self, subject: Subject) -> bool {
        match subject {
            Subject::Request(request) => self.requests.is_suspected(request),
            Subject::Part(part) => self.parts.is_suspected(part),
        }
    }

    /// Returns how many requests and parts are quarantined.
    #[must_use]
    pub fn count_quarantined(&self) -> (usize, usize) {
        (self.requests.count_quarantined(), self.parts.count_quarantined())
    }

    /// Returns what is to be written to a store that has stored these subjects and may lack later
    /// writes: whether each subject is quarantined.
    #[must_use]
    pub fn unstored(&self, stored: &[Subject]) -> Vec<(Subject, bool)> {
        let requests = self.requests.quarantined().map(Subject::Request);
        let quarantined = requests.chain(self.parts.quarantined().map(Subject::Part));
        let missing = quarantined.filter(|subject| !stored.contains(subject));
        let released = stored.iter().filter(|subject| self.released.contains(*subject));
        missing.map(|subject| (subject, true)).chain(released.map(|it| (*it, false))).collect()
    }

    /// Records that an endpoint ended before it answered a request of these subjects.
    pub fn record_crash(&mut self, subjects: &[Subject], crash: &Crash, now: Duration) -> Changes {
        let is_expired = self.expire(now);
        let updated = self.record_end(subjects, crash.end());
        if updated || is_expired { self.settle(updated) } else { Changes::default() }
    }

    /// Records that a request of these subjects was answered.
    pub fn record_answer(&mut self, subjects: &[Subject], now: Duration) -> Changes {
        let at = Moment::at(now);
        let mut updated = false;
        for subject in subjects {
            updated |= match subject {
                Subject::Request(request) => self.requests.record_answer(*request, at),
                Subject::Part(part) => self.parts.record_answer(*part, at),
            };
        }
        if updated { self.settle(true) } else { Changes::default() }
    }

    /// Restores a quarantine that was stored by gateways which may have ended since. Returns whether
    /// it was unknown. One that has ended since this process started is not restored.
    pub fn restore_quarantine(&mut self, subject: Subject, now: Duration) -> bool {
        if self.is_quarantined(subject) || self.released.contains(&subject) {
            return false;
        }
        let number = match subject {
            Subject::Request(request) => request.as_u64(),
            Subject::Part(part) => part.as_u64(),
        };
        let mut updated = false;
        for link in 0..QUARANTINE_ENDS as i64 {
            let key = Key::of_number(number).with(Key::of_number(link as u64)).as_u64();
            // As if the ends had happened one after another, the last one now.
            let disconnected =
                Moment(Moment::at(now).0 - (QUARANTINE_ENDS as i64 - 1 - link) * 2 * SAME_END_MS);
            let sent = Moment(disconnected.0 - SAME_END_MS);
            let end = End { id: key, cause: Cause::Endpoint(key), sent, disconnected, own: false };
            updated |= self.record_end(&[subject], end);
        }
        self.settle(updated);
        updated
    }

    /// Returns whether the gateway with a key may send a request of these subjects now, and records
    /// a probe. `id` is a new random number in each call.
    ///
    /// The quarantine ends at a different time on each gateway, so that one gateway sends a probe
    /// and the others learn of it before theirs ends. A request is a probe of all of its subjects
    /// that are quarantined.
    pub fn admit(
        &mut self,
        subjects: &[Subject],
        gateway: Key,
        id: u64,
        now: Duration,
    ) -> Admission {
        let quarantined = self.quarantined(subjects, gateway, now);
        let Some((left, longest)) = quarantined.iter().max().copied() else {
            return Admission::Pass;
        };
        if left > Duration::ZERO {
            return Admission::Quarantined(longest, left);
        }
        let (sent, disconnected) = (Moment::at(now), Moment::at(now));
        let probe = End { id, cause: Cause::Probe, sent, disconnected, own: true };
        let probed: Vec<_> = quarantined.into_iter().map(|(_, subject)| subject).collect();
        self.record_end(&probed, probe);
        self.settle(true);
        Admission::Probe(longest)
    }

    /// Returns which of a request's subjects forbids the gateway with a key to send it now, and
    /// for how much longer. Nothing is recorded.
    #[must_use]
    pub fn forbids(
        &self,
        subjects: &[Subject],
        gateway: Key,
        now: Duration,
    ) -> Option<(Subject, Duration)> {
        let (left, longest) = self.quarantined(subjects, gateway, now).into_iter().max()?;
        (left > Duration::ZERO).then_some((longest, left))
    }

    /// Returns the subjects of a request that are quarantined, each with the time that is left.
    fn quarantined(
        &self,
        subjects: &[Subject],
        gateway: Key,
        now: Duration,
    ) -> Vec<(Duration, Subject)> {
        let left = |subject: &Subject| {
            let left = self.time_left(*subject, subjects, gateway, now)?;
            Some((left, *subject))
        };
        subjects.iter().filter_map(left).collect()
    }

    /// Returns how much longer a gateway holds a subject back in a request; none if it is not
    /// quarantined.
    fn time_left(
        &self,
        subject: Subject,
        subjects: &[Subject],
        gateway: Key,
        now: Duration,
    ) -> Option<Duration> {
        let share = |number: u64| {
            let rank = Key::of_number(number).with(gateway).as_u64();
            rank as f64 / u64::MAX as f64
        };
        match subject {
            Subject::Request(request) => {
                self.requests.time_left(request, share(request.as_u64()), None, now)
            }
            Subject::Part(part) => {
                let is_absent = |rival: &Part| !subjects.contains(&Subject::Part(*rival));
                let distinguishes = self.parts.rivals(part).iter().any(is_absent);
                let shortest = distinguishes.then_some(RIVAL_QUARANTINE);
                self.parts.time_left(part, share(part.as_u64()), shortest, now)
            }
        }
    }

    /// Returns the updates on requests for a gossip message: recent changes, and quarantined ones as
    /// far as they fit.
    #[must_use]
    pub fn updates(&self, now: Duration) -> Vec<Update<Fingerprint>> {
        self.requests.updates(now)
    }

    /// Returns the same updates without a limit, for a gateway that requests them.
    #[must_use]
    pub fn all_updates(&self, now: Duration) -> Vec<Update<Fingerprint>> {
        self.requests.all_updates(now)
    }

    /// Returns the same updates on parts of prompts.
    #[must_use]
    pub fn part_updates(&self, now: Duration) -> Vec<Update<Part>> {
        self.parts.updates(now)
    }

    /// Merges the updates of another gateway.
    pub fn merge(
        &mut self,
        requests: &[Update<Fingerprint>],
        parts: &[Update<Part>],
        now: Duration,
    ) -> Changes {
        let is_expired = self.expire(now);
        let mut updated = false;
        for update in requests {
            updated |= self.requests.merge(update, now);
        }
        for update in parts {
            updated |= self.parts.merge(update, now);
        }
        if updated || is_expired { self.settle(updated) } else { Changes::default() }
    }

    fn is_quarantined(&self, subject: Subject) -> bool {
        match subject {
            Subject::Request(request) => self.requests.is_quarantined(request),
            Subject::Part(part) => self.parts.is_quarantined(part),
        }
    }

    /// Records an end under some subjects. Returns whether it was unknown under any.
    fn record_end(&mut self, subjects: &[Subject], end: End) -> bool {
        let mut is_new = false;
        for subject in subjects {
            is_new |= match subject {
                Subject::Request(request) => self.requests.record_end(*request, end),
                Subject::Part(part) => self.parts.record_end(*part, end),
            };
        }
        is_new
    }

    /// Removes expired suspects. Returns whether there were any.
    fn expire(&mut self, now: Duration) -> bool {
        let requests = self.requests.expire(now);
        self.parts.expire(now) || requests
    }

    /// Determines again what is quarantined, and returns what has changed.
    fn settle(&mut self, updated: bool) -> Changes {
        let Difference { quarantined: requests, released: free_requests } = self.requests.settle();
        let Difference { quarantined: parts, released: free_parts } = self.parts.settle();
        let join = |requests: Vec<Fingerprint>, parts: Vec<Part>| -> Vec<Subject> {
            let requests = requests.into_iter().map(Subject::Request);
            requests.chain(parts.into_iter().map(Subject::Part)).collect()
        };
        let quarantined = join(requests, parts);
        let released = join(free_requests, free_parts);
        let is_witnessed = |subject: &Subject| match subject {
            Subject::Request(request) => self.requests.has_own_end(*request),
            Subject::Part(part) => self.parts.has_own_end(*part),
        };
        quarantined.iter().for_each(|subject| _ = self.released.remove(subject));
        self.released.extend(released.iter().copied());
        while self.released.len() > MAX_RELEASED {
            self.released.pop_first();
        }
        let witnessed = quarantined.iter().copied().filter(is_witnessed).collect();
        Changes { updated, quarantined, witnessed, released }
    }
}
