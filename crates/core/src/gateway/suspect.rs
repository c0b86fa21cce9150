//! Requests under which endpoints end, and their quarantine.
//!
//! An endpoint that ends loses all requests that it was working on, so each of them becomes a
//! suspect. An answer clears a suspect. A suspect that is not answered while endpoints end one
//! after another is quarantined: it is refused, except for a probe from time to time.
//!
//! [`Table`] holds the suspects. Gateways exchange them as [`Update`]s, in which times are ages,
//! since any gateway may receive the next attempt of a request.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::fingerprint::Fingerprint;
use super::name::Endpoint;
use crate::rendezvous::Key;

/// How many endpoints have to end under a request before it is quarantined. One or two may be
/// coincidence: the request was at the endpoint together with the one that caused the end.
const QUARANTINE_ENDS: usize = 3;

/// Two ends of an endpoint that are less apart, in milliseconds, are the same one, seen by two
/// gateways. An endpoint takes longer to restart, and the times at which gateways notice one end
/// differ by less.
const SAME_END_MS: i64 = 300;

/// By how many milliseconds a send may seem to precede the end of the endpoint before it: the
/// difference in network delay of two messages.
const DELAY_MS: i64 = 20;

/// How long a request is quarantined at first; the time doubles with each probe. A probe of a
/// request that ends endpoints ends one, and with it up to 17 requests of others, the most that
/// was seen.
const FIRST_QUARANTINE: Duration = Duration::from_secs(60);

/// How often the time is doubled at most, which makes it about an hour.
const MAX_DOUBLINGS: usize = 6;

/// How long the ends under a request are remembered.
const END_RETENTION: Duration = Duration::from_secs(600);

/// How long the answer of a suspect is remembered: longer than any gateway sends the ends before
/// the answer without having received the answer.
const ANSWER_RETENTION: Duration = Duration::from_secs(30);

/// For how long a change of a suspect that is not quarantined is sent to other gateways.
const UPDATE_PERIOD: Duration = Duration::from_secs(5);

/// How many suspects fit into one message: some kilobytes.
const MAX_UPDATES: usize = 24;

/// The most suspects: as many requests as a few endpoints have in progress together.
const MAX_SUSPECTS: usize = 512;

/// The most ends that are kept of each suspect.
const MAX_ENDS: usize = 8;

/// A time by the process's clock, in milliseconds. It is negative before the process started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Moment(i64);

impl Moment {
    fn at(now: Duration) -> Self {
        Self(i64::try_from(now.as_millis()).unwrap_or(i64::MAX))
    }

    /// Returns the time that is `age` before now.
    fn ago(age: Duration, now: Duration) -> Self {
        Self(Self::at(now).0.saturating_sub(Self::at(age).0))
    }

    /// Returns how long ago it was.
    fn age(self, now: Duration) -> Duration {
        let age = Self::at(now).0.saturating_sub(self.0);
        Duration::from_millis(u64::try_from(age).unwrap_or_default())
    }
}

/// The event that counts as an end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
enum Cause {
    /// An endpoint ended, identified by its key.
    Endpoint(u64),
    /// The request was sent as a probe, which counts as an end until it is answered.
    Probe,
}

/// An end of an endpoint that had the request.
#[derive(Debug, Clone, Copy)]
struct End {
    // A random number from the gateway that saw it.
    id: u64,
    cause: Cause,
    sent: Moment,
    disconnected: Moment,
    // Whether this gateway saw it itself.
    own: bool,
}

impl End {
    /// Returns whether this is the same end, as seen by another gateway.
    fn is_same(&self, other: &Self) -> bool {
        let apart = (self.disconnected.0 - other.disconnected.0).abs();
        self.id == other.id || (self.cause == other.cause && apart < SAME_END_MS)
    }

    /// Returns whether the request was sent to this endpoint after the other end.
    fn follows(&self, other: &Self) -> bool {
        self.sent.0 + DELAY_MS >= other.disconnected.0
            && self.disconnected.0 > other.disconnected.0 + DELAY_MS
    }
}

/// What is known about a request.
// Invariant: no end in `ends` precedes `answered`.
#[derive(Debug, Clone, Default)]
struct Suspect {
    ends: Vec<End>,
    // When it was last answered.
    answered: Option<Moment>,
}

impl Suspect {
    /// Returns whether endpoints ended under it one after another. If endpoints end at the same
    /// moment, a request that many callers send may have been at several of them.
    fn is_quarantined(&self) -> bool {
        let one_after_another =
            || self.ends.iter().any(|end| self.ends.iter().any(|other| end.follows(other)));
        self.ends.len() >= QUARANTINE_ENDS && one_after_another()
    }

    fn last_end(&self) -> Option<Moment> {
        self.ends.iter().map(|end| end.disconnected).max()
    }

    /// Returns for how long at least it is quarantined after the last end, see [`Table::admit`].
    fn quarantine(&self) -> Duration {
        let probes = self.ends.iter().filter(|end| end.cause == Cause::Probe).count();
        FIRST_QUARANTINE.saturating_mul(1 << probes.min(MAX_DOUBLINGS))
    }

    /// Returns when an endpoint last ended under it or it was last answered.
    fn last_change(&self) -> Option<Moment> {
        self.last_end().max(self.answered)
    }

    /// Records an end. Returns whether it was unknown.
    fn record_end(&mut self, end: End) -> bool {
        let is_old = self.answered.is_some_and(|answered| end.disconnected <= answered);
        if is_old || self.ends.iter().any(|known| known.is_same(&end)) {
            return false;
        }
        self.ends.push(end);
        if self.ends.len() <= MAX_ENDS {
            return true;
        }
        self.ends.sort_by_key(|end| (end.cause == Cause::Probe, end.disconnected));
        // An end that is dropped at once counts as known, or gateways would forward it for ever.
        self.ends.remove(0).id != end.id
    }

    /// Records an answer. Returns whether it clears the suspect of an end.
    fn record_answer(&mut self, at: Moment) -> bool {
        let before = self.ends.len();
        self.ends.retain(|end| end.disconnected > at);
        self.answered = self.answered.max(Some(at));
        self.ends.len() < before
    }

    /// Merges an answer that another gateway saw. Returns whether it clears the suspect of an end.
    fn merge_answer(&mut self, at: Moment) -> bool {
        // The same answer seems later by the network delay each time it is forwarded.
        let later = self.answered.is_none_or(|known| at.0 > known.0 + SAME_END_MS);
        later && self.record_answer(at)
    }

    /// Returns whether it can be removed.
    fn is_expired(&self, now: Duration) -> bool {
        let ended = self.last_end().map(|end| end.age(now) > END_RETENTION + self.quarantine() * 2);
        let answered = self.answered.map(|at| at.age(now) > ANSWER_RETENTION);
        ended.unwrap_or(true) && answered.unwrap_or(true)
    }
}

/// An end of an endpoint, as one gateway sends it to another; times are ages.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct EndUpdate {
    id: u64,
    cause: Cause,
    sent: Duration,
    disconnected: Duration,
}

/// A suspect, as one gateway sends it to another; times are ages.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    fingerprint: Fingerprint,
    ends: Vec<EndUpdate>,
    answered: Option<Duration>,
}

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

/// What an end or an answer has changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// Nothing.
    None,
    /// Other gateways have to be informed.
    Updated,
    /// Other gateways have to be informed, and the request is quarantined from now on.
    Quarantined,
    /// Other gateways have to be informed, and the request is no longer quarantined.
    Released,
}

/// What the updates of another gateway have changed.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Merged {
    /// Whether other gateways have to be informed.
    pub changed: bool,
    /// The requests that are quarantined from now on.
    pub quarantined: Vec<Fingerprint>,
    /// Those of them that had an end which this gateway saw itself. This gateway stores their
    /// quarantine, since the gateway that saw the last end may not know the other ends.
    pub witnessed: Vec<Fingerprint>,
}

/// Whether a request may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It may be sent.
    Pass,
    /// It may be sent to find out whether it still ends endpoints; other attempts of the request
    /// wait in the meantime.
    Probe,
    /// It may not be sent for this long.
    Quarantined(Duration),
}

/// All known suspects.
// Invariant: at most `MAX_SUSPECTS`.
#[derive(Debug, Default)]
pub struct Table {
    suspects: BTreeMap<Fingerprint, Suspect>,
}

impl Table {
    /// Returns whether there are no suspects.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Returns whether endpoints ended before they answered a request.
    #[must_use]
    pub fn is_suspected(&self, fingerprint: Fingerprint) -> bool {
        self.suspects.get(&fingerprint).is_some_and(|suspect| !suspect.ends.is_empty())
    }

    /// Records that an endpoint ended before it answered a request.
    pub fn record_crash(
        &mut self,
        fingerprint: Fingerprint,
        crash: &Crash,
        now: Duration,
    ) -> Change {
        let end = End {
            id: crash.id,
            cause: Cause::Endpoint(Key::of(crash.endpoint.as_str()).as_u64()),
            sent: Moment::at(crash.sent),
            disconnected: Moment::at(crash.disconnected),
            own: true,
        };
        self.expire(now);
        self.record_end(fingerprint, end)
    }

    /// Records that a request was answered, if it is a suspect.
    pub fn record_answer(&mut self, fingerprint: Fingerprint, now: Duration) -> Change {
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else { return Change::None };
        let was_quarantined = suspect.is_quarantined();
        match suspect.record_answer(Moment::at(now)) {
            true if was_quarantined => Change::Released,
            true => Change::Updated,
            false => Change::None,
        }
    }

    /// Restores the quarantine of a request that was stored by gateways which may have ended since.
    /// Returns whether the quarantine was unknown.
    pub fn restore_quarantine(&mut self, fingerprint: Fingerprint, now: Duration) -> bool {
        let ends = (0..QUARANTINE_ENDS as i64).map(|number| {
            let key =
                Key::of_number(fingerprint.as_u64()).with(Key::of_number(number as u64)).as_u64();
            // As if the ends had happened one after another, the last one now.
            let disconnected =
                Moment(Moment::at(now).0 - (QUARANTINE_ENDS as i64 - 1 - number) * 2 * SAME_END_MS);
            let sent = Moment(disconnected.0 - SAME_END_MS);
            End { id: key, cause: Cause::Endpoint(key), sent, disconnected, own: false }
        });
        if self.suspects.get(&fingerprint).is_some_and(Suspect::is_quarantined) {
            return false;
        }
        ends.fold(false, |any, end| any | (self.record_end(fingerprint, end) != Change::None))
    }

    /// Returns whether the gateway with a key may send a request. `id` is a new random number in
    /// each call.
    ///
    /// The quarantine ends at a different time on each gateway, so that one gateway sends a probe
    /// and the others learn of it before theirs ends.
    pub fn admit(
        &mut self,
        fingerprint: Fingerprint,
        gateway: Key,
        id: u64,
        now: Duration,
    ) -> Admission {
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else { return Admission::Pass };
        let Some(last) = suspect.last_end().filter(|_| suspect.is_quarantined()) else {
            return Admission::Pass;
        };
        let rank = Key::of_number(fingerprint.as_u64()).with(gateway).as_u64();
        let share = rank as f64 / u64::MAX as f64;
        let quarantine = suspect.quarantine().mul_f64(1.0 + share);
        let passed = last.age(now);
        if passed < quarantine {
            return Admission::Quarantined(quarantine - passed);
        }
        let (sent, disconnected) = (Moment::at(now), Moment::at(now));
        suspect.record_end(End { id, cause: Cause::Probe, sent, disconnected, own: true });
        Admission::Probe
    }

    /// Returns the updates for a gossip message: quarantined suspects first, and recent changes.
    #[must_use]
    pub fn updates(&self, now: Duration) -> Vec<Update> {
        let mut updates = self.all_updates(now);
        updates.truncate(MAX_UPDATES);
        updates
    }

    /// Returns the same updates without a limit, for a gateway that requests them.
    #[must_use]
    pub fn all_updates(&self, now: Duration) -> Vec<Update> {
        let is_sent = |suspect: &Suspect| {
            suspect.is_quarantined()
                || suspect.last_change().is_some_and(|at| at.age(now) < UPDATE_PERIOD)
        };
        let mut sent: Vec<_> =
            self.suspects.iter().filter(|(_, suspect)| is_sent(suspect)).collect();
        sent.sort_by_key(|(_, suspect)| {
            std::cmp::Reverse((suspect.is_quarantined(), suspect.ends.len(), suspect.last_change()))
        });
        sent.into_iter().map(|(fingerprint, suspect)| update(*fingerprint, suspect, now)).collect()
    }

    /// Merges the updates of another gateway.
    pub fn merge(&mut self, updates: &[Update], now: Duration) -> Merged {
        self.expire(now);
        let mut merged = Merged::default();
        for update in updates {
            if let Some(age) = update.answered {
                let suspect = self.suspects.entry(update.fingerprint).or_default();
                merged.changed |= suspect.merge_answer(Moment::ago(age, now));
            }
            for end in &update.ends {
                let EndUpdate { id, cause, sent, disconnected } = *end;
                let (sent, disconnected) = (Moment::ago(sent, now), Moment::ago(disconnected, now));
                let change = self.record_end(
                    update.fingerprint,
                    End { id, cause, sent, disconnected, own: false },
                );
                merged.changed |= change != Change::None;
                if change == Change::Quarantined {
                    merged.quarantined.push(update.fingerprint);
                    let suspect = self.suspects.get(&update.fingerprint);
                    if suspect.is_some_and(|suspect| suspect.ends.iter().any(|end| end.own)) {
                        merged.witnessed.push(update.fingerprint);
                    }
                }
            }
        }
        merged
    }

    /// Records an end of an endpoint that had a request.
    fn record_end(&mut self, fingerprint: Fingerprint, end: End) -> Change {
        let suspect = self.suspects.entry(fingerprint).or_default();
        let before = suspect.is_quarantined();
        if !suspect.record_end(end) {
            return Change::None;
        }
        let is_new = suspect.is_quarantined() && !before;
        self.evict();
        if is_new { Change::Quarantined } else { Change::Updated }
    }

    /// Removes expired suspects.
    fn expire(&mut self, now: Duration) {
        self.suspects.retain(|_, suspect| !suspect.is_expired(now));
    }

    /// Evicts the suspects with the fewest ends while there are too many, and of these the ones
    /// that changed longest ago.
    fn evict(&mut self) {
        while self.suspects.len() > MAX_SUSPECTS {
            let least = self
                .suspects
                .iter()
                .min_by_key(|(_, suspect)| (suspect.ends.len(), suspect.last_change()));
            let Some((fingerprint, _)) = least else { return };
            let fingerprint = *fingerprint;
            self.suspects.remove(&fingerprint);
        }
    }
}

/// Returns the update about a suspect for other gateways.
fn update(fingerprint: Fingerprint, suspect: &Suspect, now: Duration) -> Update {
    let ends = suspect.ends.iter().map(|end| EndUpdate {
        id: end.id,
        cause: end.cause,
        sent: end.sent.age(now),
        disconnected: end.disconnected.age(now),
    });
    let answered = suspect.answered.map(|at| at.age(now));
    Update { fingerprint, ends: ends.collect(), answered }
}
