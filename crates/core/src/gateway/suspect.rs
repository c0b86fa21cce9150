//! Requests under which endpoints end, and which are held back for it.
//!
//! An endpoint that ends takes with it whatever it was working on, so each request there
//! is a suspect. One that is answered is none any more; one that is not, while endpoints
//! end one after the other, is held back. Gateways tell each other of suspects, with times
//! as ages, since any of them may get the next attempt.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::fingerprint::Fingerprint;
use super::name::Endpoint;
use crate::rendezvous::Key;

/// Under how many ends of endpoints a request has to have been to be held back. One or two
/// are met by chance: by a request that was beside the one that caused them.
const ENDS: usize = 3;

/// Two ends of an endpoint that differ by less are the same one, seen by two gateways:
/// less than an endpoint takes to be back, more than the news of its end differ by.
const SAME_MS: i64 = 300;

/// By how much a send may seem to precede the end of the endpoint before it: what the
/// ways of two pieces of news differ by.
const WAY_MS: i64 = 20;

/// How long a request is held back at first; twice as long after each trial. Each trial of
/// a request that ends endpoints ends one, and with it up to 17 requests of others: the
/// most that was seen.
const FIRST_HOLD: Duration = Duration::from_secs(60);

/// How often the time is doubled at most, which makes it about an hour.
const MOST_DOUBLINGS: usize = 6;

/// How long it is remembered under which ends a request has been.
const MEMORY: Duration = Duration::from_secs(600);

/// How long it is remembered that a suspect was answered: longer than anyone tells of the
/// ends before that without having heard of the answer.
const ANSWERED_MEMORY: Duration = Duration::from_secs(30);

/// For how long others are told of news of a suspect that is not held back.
const TOLD: Duration = Duration::from_secs(5);

/// Of how many suspects others are told at once: some kilobytes.
const MOST_TOLD: usize = 24;

/// The most suspects: what some endpoints have in progress together.
const MOST_SUSPECTS: usize = 512;

/// The most ends that are kept of a suspect.
const MOST_ENDS: usize = 8;

/// A moment by the process's clock, in milliseconds; before its start it is negative.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Moment(i64);

impl Moment {
    fn at(now: Duration) -> Self {
        Self(i64::try_from(now.as_millis()).unwrap_or(i64::MAX))
    }

    /// So long before now.
    fn ago(age: Duration, now: Duration) -> Self {
        Self(Self::at(now).0.saturating_sub(Self::at(age).0))
    }

    /// How long ago it was.
    fn age(self, now: Duration) -> Duration {
        let age = Self::at(now).0.saturating_sub(self.0);
        Duration::from_millis(u64::try_from(age).unwrap_or_default())
    }
}

/// Why an end counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
enum Cause {
    /// An endpoint ended, named by its key.
    Endpoint(u64),
    /// The request was sent once more, to find out; counts as an end until it is answered.
    Probe,
}

/// An end of an endpoint that had the request.
#[derive(Debug, Clone, Copy)]
struct End {
    // Whoever saw it drew this.
    id: u64,
    cause: Cause,
    sent: Moment,
    broke: Moment,
    // Whether this gateway saw it.
    own: bool,
}

impl End {
    /// Whether this is another gateway's word of the same end.
    fn is(&self, other: &Self) -> bool {
        let apart = (self.broke.0 - other.broke.0).abs();
        self.id == other.id || (self.cause == other.cause && apart < SAME_MS)
    }

    /// Whether the request was sent there after the other end.
    fn follows(&self, other: &Self) -> bool {
        self.sent.0 + WAY_MS >= other.broke.0 && self.broke.0 > other.broke.0 + WAY_MS
    }
}

/// What is known of a request.
// Invariant: no end in `ends` came before `answered`.
#[derive(Debug, Clone, Default)]
struct Suspect {
    ends: Vec<End>,
    // When it was last answered.
    answered: Option<Moment>,
}

impl Suspect {
    /// Whether endpoints ended under it one after the other. When all end at the same
    /// moment, a request that many callers send was at several of them.
    fn is_held(&self) -> bool {
        let one_after_another =
            || self.ends.iter().any(|end| self.ends.iter().any(|other| end.follows(other)));
        self.ends.len() >= ENDS && one_after_another()
    }

    fn last_end(&self) -> Option<Moment> {
        self.ends.iter().map(|end| end.broke).max()
    }

    /// For how long it is held back after the last end.
    fn hold(&self) -> Duration {
        let trials = self.ends.iter().filter(|end| end.cause == Cause::Probe).count();
        FIRST_HOLD.saturating_mul(1 << trials.min(MOST_DOUBLINGS))
    }

    /// When something was last learned of it.
    fn last_news(&self) -> Option<Moment> {
        self.last_end().max(self.answered)
    }

    /// Takes in an end; true when it is news.
    fn end(&mut self, end: End) -> bool {
        let is_old = self.answered.is_some_and(|answered| end.broke <= answered);
        if is_old || self.ends.iter().any(|known| known.is(&end)) {
            return false;
        }
        self.ends.push(end);
        if self.ends.len() <= MOST_ENDS {
            return true;
        }
        self.ends.sort_by_key(|end| (end.cause == Cause::Probe, end.broke));
        // What is forgotten at once is no news, or gateways would tell it on for ever.
        self.ends.remove(0).id != end.id
    }

    /// Takes in that it was answered; true when that clears it of an end.
    fn answer(&mut self, at: Moment) -> bool {
        let before = self.ends.len();
        self.ends.retain(|end| end.broke > at);
        self.answered = self.answered.max(Some(at));
        self.ends.len() < before
    }

    /// Takes in that another gateway saw it answered; true when that clears it of an end.
    fn told_answer(&mut self, at: Moment) -> bool {
        // Update on and on, the same answer would seem later by the way each time.
        let later = self.answered.is_none_or(|known| at.0 > known.0 + SAME_MS);
        later && self.answer(at)
    }

    /// Whether it is of no use to know of it any more.
    fn is_over(&self, now: Duration) -> bool {
        let ended = self.last_end().map(|end| end.age(now) > MEMORY + self.hold() * 2);
        let answered = self.answered.map(|at| at.age(now) > ANSWERED_MEMORY);
        ended.unwrap_or(true) && answered.unwrap_or(true)
    }
}

/// An end of an endpoint, as one gateway tells another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct EndUpdate {
    id: u64,
    cause: Cause,
    sent: Duration,
    broke: Duration,
}

/// A suspect, as one gateway tells another; times are ages.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    fingerprint: Fingerprint,
    ends: Vec<EndUpdate>,
    answered: Option<Duration>,
}

/// A send whose endpoint ended before it answered.
#[derive(Debug, Clone)]
pub struct Crash {
    /// Drawn by whoever saw it; tells it apart from all others.
    pub id: u64,
    /// The endpoint.
    pub endpoint: Endpoint,
    /// When the request was sent.
    pub sent: Duration,
    /// When the connection broke off.
    pub disconnected: Duration,
}

/// What a piece of news has changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// Nothing.
    None,
    /// Others have to be told.
    Updated,
    /// Others have to be told, and the request is held back from now on.
    Quarantined,
    /// Others have to be told, and the request is held back no more.
    Released,
}

/// What was learned from another gateway.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Merged {
    /// Whether others have to be told.
    pub changed: bool,
    /// The requests that are held back from now on.
    pub quarantined: Vec<Fingerprint>,
    /// Those of them at whose ends this gateway was: it has them kept, since whoever saw
    /// the last end may not know of the others.
    pub witnessed: Vec<Fingerprint>,
}

/// Whether a request may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It may.
    Pass,
    /// It may, to find out whether it still ends endpoints; others wait meanwhile.
    Probe,
    /// It may not for so long.
    Quarantined(Duration),
}

/// All suspects that are known.
// Invariant: at most `MOST_SUSPECTS`.
#[derive(Debug, Default)]
pub struct Table {
    suspects: BTreeMap<Fingerprint, Suspect>,
}

impl Table {
    /// Whether no request is suspected.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Whether endpoints ended before they answered a request.
    #[must_use]
    pub fn is_suspected(&self, fingerprint: Fingerprint) -> bool {
        self.suspects.get(&fingerprint).is_some_and(|suspect| !suspect.ends.is_empty())
    }

    /// Takes in that an endpoint ended before it answered a request.
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
            broke: Moment::at(crash.disconnected),
            own: true,
        };
        self.forget(now);
        self.end(fingerprint, end)
    }

    /// Takes in that a request was answered, if it is a suspect.
    pub fn record_answer(&mut self, fingerprint: Fingerprint, now: Duration) -> Change {
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else { return Change::None };
        let was_held = suspect.is_held();
        match suspect.answer(Moment::at(now)) {
            true if was_held => Change::Released,
            true => Change::Updated,
            false => Change::None,
        }
    }

    /// Takes in that a request was held back by gateways that may have ended since; true
    /// when that was not known.
    pub fn restore_quarantine(&mut self, fingerprint: Fingerprint, now: Duration) -> bool {
        let found = (0..ENDS as i64).map(|number| {
            let key =
                Key::of_number(fingerprint.as_u64()).with(Key::of_number(number as u64)).as_u64();
            // As if they had come one after the other, the last one now.
            let broke = Moment(Moment::at(now).0 - (ENDS as i64 - 1 - number) * 2 * SAME_MS);
            let sent = Moment(broke.0 - SAME_MS);
            End { id: key, cause: Cause::Endpoint(key), sent, broke, own: false }
        });
        if self.suspects.get(&fingerprint).is_some_and(Suspect::is_held) {
            return false;
        }
        found.fold(false, |any, end| any | (self.end(fingerprint, end) != Change::None))
    }

    /// Whether a request may be sent by the gateway of a key. `id` is drawn anew each time.
    ///
    /// Gateways give up holding a request back one after the other, so that one tries it
    /// and the others hear of it first.
    pub fn admit(
        &mut self,
        fingerprint: Fingerprint,
        gateway: Key,
        id: u64,
        now: Duration,
    ) -> Admission {
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else { return Admission::Pass };
        let Some(last) = suspect.last_end().filter(|_| suspect.is_held()) else {
            return Admission::Pass;
        };
        let rank = Key::of_number(fingerprint.as_u64()).with(gateway).as_u64();
        let share = rank as f64 / u64::MAX as f64;
        let hold = suspect.hold().mul_f64(1.0 + share);
        let passed = last.age(now);
        if passed < hold {
            return Admission::Quarantined(hold - passed);
        }
        let (sent, broke) = (Moment::at(now), Moment::at(now));
        suspect.end(End { id, cause: Cause::Probe, sent, broke, own: true });
        Admission::Probe
    }

    /// What other gateways are to be told in a digest: of those that are held back, and of news.
    #[must_use]
    pub fn updates(&self, now: Duration) -> Vec<Update> {
        let mut told = self.all_updates(now);
        told.truncate(MOST_TOLD);
        told
    }

    /// The same, however much it is, for a gateway that asks.
    #[must_use]
    pub fn all_updates(&self, now: Duration) -> Vec<Update> {
        let is_told = |suspect: &Suspect| {
            suspect.is_held() || suspect.last_news().is_some_and(|at| at.age(now) < TOLD)
        };
        let mut told: Vec<_> =
            self.suspects.iter().filter(|(_, suspect)| is_told(suspect)).collect();
        told.sort_by_key(|(_, suspect)| {
            std::cmp::Reverse((suspect.is_held(), suspect.ends.len(), suspect.last_news()))
        });
        told.into_iter().map(|(fingerprint, suspect)| tell(*fingerprint, suspect, now)).collect()
    }

    /// Takes in what another gateway tells.
    pub fn merge(&mut self, told: &[Update], now: Duration) -> Merged {
        self.forget(now);
        let mut merged = Merged::default();
        for told in told {
            if let Some(age) = told.answered {
                let suspect = self.suspects.entry(told.fingerprint).or_default();
                merged.changed |= suspect.told_answer(Moment::ago(age, now));
            }
            for end in &told.ends {
                let EndUpdate { id, cause, sent, broke } = *end;
                let (sent, broke) = (Moment::ago(sent, now), Moment::ago(broke, now));
                let news = self.end(told.fingerprint, End { id, cause, sent, broke, own: false });
                merged.changed |= news != Change::None;
                if news == Change::Quarantined {
                    merged.quarantined.push(told.fingerprint);
                    let suspect = self.suspects.get(&told.fingerprint);
                    if suspect.is_some_and(|suspect| suspect.ends.iter().any(|end| end.own)) {
                        merged.witnessed.push(told.fingerprint);
                    }
                }
            }
        }
        merged
    }

    fn end(&mut self, fingerprint: Fingerprint, end: End) -> Change {
        let suspect = self.suspects.entry(fingerprint).or_default();
        let before = suspect.is_held();
        if !suspect.end(end) {
            return Change::None;
        }
        let held = suspect.is_held() && !before;
        self.keep_bounds();
        if held { Change::Quarantined } else { Change::Updated }
    }

    /// Forgets what is over.
    fn forget(&mut self, now: Duration) {
        self.suspects.retain(|_, suspect| !suspect.is_over(now));
    }

    /// Forgets those of which least is known, and that longest ago.
    fn keep_bounds(&mut self) {
        while self.suspects.len() > MOST_SUSPECTS {
            let least = self
                .suspects
                .iter()
                .min_by_key(|(_, suspect)| (suspect.ends.len(), suspect.last_news()));
            let Some((fingerprint, _)) = least else { return };
            let fingerprint = *fingerprint;
            self.suspects.remove(&fingerprint);
        }
    }
}

/// A suspect for another gateway.
fn tell(fingerprint: Fingerprint, suspect: &Suspect, now: Duration) -> Update {
    let ends = suspect.ends.iter().map(|end| EndUpdate {
        id: end.id,
        cause: end.cause,
        sent: end.sent.age(now),
        broke: end.broke.age(now),
    });
    let answered = suspect.answered.map(|at| at.age(now));
    Update { fingerprint, ends: ends.collect(), answered }
}
