//! The limits that endpoints in need name in their answers: how many requests per second they
//! accept from all gateways together.
//!
//! A [`Statement`] is what the last answer of a [`Run`] said. Gateways gossip statements as
//! [`Update`]s, and the one whose answer came last holds for all of them, until an answer names
//! no limit. [`Limit::bound`] is the budget that they divide ([`quota`](super::quota)), and a
//! [`Budget`] what one of them may send.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use displaydoc::Display;
use serde::{Deserialize, Serialize};

use super::notice::Run;
use super::outage::Ago;
use super::quota::{Bound, Bucket, Fleet, Share, Start};

/// The time in which the requests to an endpoint are counted.
pub const WINDOW: Duration = Duration::from_secs(4);

/// What may reach an endpoint within [`WINDOW`], as a factor on its limit.
const OVERAGE: f64 = 1.5;

/// Requests that may reach an endpoint within [`WINDOW`] beyond that.
const SLACK: f64 = 5.0;

/// The rate at which requests are sent to an endpoint with a smaller limit, in requests per second.
/// Only an answer can end a limit, so an endpoint always gets a request now and then.
const MIN_PER_S: f64 = 0.25;

/// How much later than its answer a statement may appear to be on its way between gateways. A
/// statement of another gateway replaces a different one only if it is later by more than that.
const GOSSIP_DELAY: Duration = Duration::from_millis(100);

/// How long the statement of a run that is in no list is remembered, and that of an ended limit.
/// Statements that are older are not accepted from other gateways.
const RETENTION: Duration = Duration::from_secs(120);

/// The relative change of a limit that other gateways are informed of at once.
const NOTABLE_CHANGE: f64 = 0.1;

/// The fraction of the limit before below which a limit begins anew, since what was sent by the one
/// before would exceed it.
const RESTART_FRACTION: f64 = 0.5;

/// The most characters of a limit that cannot be read in the log.
const MAX_LOGGED: usize = 64;

/// The most updates in one message, at about 17 bytes each: they have to fit into one packet
/// together with the rest of the message.
const MAX_UPDATES: usize = 24;

/// How many of the updates in a message are the newest ones. The others take turns, so that all
/// statements reach all gateways also while many endpoints are in need.
const NEWEST_UPDATES: usize = 12;

/// Requests that an endpoint accepts per 1,000,000 s from all gateways together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Limit(u64);

/// The unit of [`Limit`], in requests per second.
const UNIT: f64 = 1e-6;

/// The error when a text is not a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[displaydoc("a limit is a decimal number of requests per second")]
pub struct Error;

impl std::error::Error for Error {}

impl FromStr for Limit {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        // Only digits and a point: the standard library also reads signs, exponents and infinity.
        let is_decimal = |byte: u8| byte.is_ascii_digit() || byte == b'.';
        if !text.bytes().all(is_decimal) {
            return Err(Error);
        }
        let per_s: f64 = text.parse().map_err(|_| Error)?;
        // A limit beyond all numbers is as good as the highest one.
        Ok(Self((per_s / UNIT).round() as u64))
    }
}

impl fmt::Display for Limit {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.per_s(), formatter)
    }
}

impl Limit {
    /// The limit in requests per second.
    #[must_use]
    pub fn per_s(self) -> f64 {
        self.0 as f64 * UNIT
    }

    /// The budget that all gateways divide.
    #[must_use]
    pub fn bound(self) -> Bound {
        let per_s = self.per_s().max(MIN_PER_S);
        let most = OVERAGE * self.per_s() * WINDOW.as_secs_f64() + SLACK;
        Bound { per_s, most, window: WINDOW }
    }

    /// Whether the difference to another limit matters enough to inform others at once.
    fn differs_notably(self, other: Self) -> bool {
        (self.per_s() - other.per_s()).abs() > NOTABLE_CHANGE * self.per_s().max(other.per_s())
    }
}

/// What the head of an answer says of its endpoint's limit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Named {
    /// It has no limit.
    None,
    /// It has this limit.
    Limit(Limit),
    /// What it says cannot be read, so that the last limit holds.
    Invalid(String),
}

impl Named {
    /// What the values of the headers say that name a limit; several have to agree.
    #[must_use]
    pub fn read<'a>(values: impl IntoIterator<Item = &'a [u8]>) -> Self {
        let values: Vec<_> = values.into_iter().map(String::from_utf8_lossy).collect();
        let limits: Result<Vec<Limit>, Error> =
            values.iter().map(|value| value.trim().parse()).collect();
        match limits.as_deref() {
            Ok([]) => Self::None,
            Ok([first, others @ ..]) if others.iter().all(|other| other == first) => {
                Self::Limit(*first)
            }
            _ => Self::Invalid(values.join(", ").chars().take(MAX_LOGGED).collect()),
        }
    }
}

/// What a run said of its limit in its last answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Statement {
    /// The limit; none if it has ended.
    pub limit: Option<Limit>,
    /// When the answer came, by the gateway's clock.
    pub at: Duration,
}

/// A statement as one gateway reports it to another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The run.
    pub run: Run,
    /// The limit; none if it has ended.
    pub limit: Option<Limit>,
    /// How long ago the answer came.
    pub ago: Ago,
}

/// What a statement changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// Nothing, or only the time of the last answer.
    Confirmed,
    /// The run had no limit and has one now.
    Learnt(Limit),
    /// The limit is another one.
    Changed {
        /// The limit before.
        before: Limit,
        /// The limit now.
        limit: Limit,
    },
    /// The limit has ended.
    Ended(Limit),
}

impl Change {
    fn between(before: Option<Limit>, now: Option<Limit>) -> Self {
        match (before, now) {
            (None, Some(limit)) => Self::Learnt(limit),
            (Some(before), Some(limit)) if before != limit => Self::Changed { before, limit },
            (Some(before), None) => Self::Ended(before),
            _ => Self::Confirmed,
        }
    }

    /// Whether other gateways are informed at once rather than with the next periodic message.
    #[must_use]
    pub fn is_notable(&self) -> bool {
        match self {
            Self::Confirmed => false,
            Self::Learnt(_) | Self::Ended(_) => true,
            Self::Changed { before, limit } => before.differs_notably(*limit),
        }
    }
}

/// The last statements of all runs that named a limit.
#[derive(Debug, Default)]
pub struct Table {
    statements: BTreeMap<Run, Statement>,
    // The run after which the next updates that take turns begin.
    last_turn: Option<Run>,
}

impl Table {
    /// The last statement of a run; none if it never named a limit.
    #[must_use]
    pub fn get(&self, run: Run) -> Option<Statement> {
        self.statements.get(&run).copied()
    }

    /// The number of runs that have a limit.
    #[must_use]
    pub fn in_force(&self) -> usize {
        self.statements.values().filter(|statement| statement.limit.is_some()).count()
    }

    /// Records what an answer said that came at a time. An answer that came before the last
    /// known one changes nothing.
    pub fn record(&mut self, run: Run, limit: Option<Limit>, at: Duration) -> Change {
        let known = self.get(run);
        let before = known.and_then(|known| known.limit);
        if known.is_some_and(|known| known.at > at) || (known.is_none() && limit.is_none()) {
            return Change::Confirmed;
        }
        self.statements.insert(run, Statement { limit, at });
        Change::between(before, limit)
    }

    /// Merges the updates of another gateway. Returns what each accepted one of them changes.
    pub fn merge(&mut self, updates: &[Update], now: Duration) -> Vec<(Run, Change)> {
        let mut changes = Vec::new();
        for Update { run, limit, ago } in updates {
            let ago = Duration::from(*ago);
            if ago > RETENTION {
                continue;
            }
            let at = now.saturating_sub(ago);
            let is_contradicted = self
                .get(*run)
                .is_some_and(|known| known.limit != *limit && known.at + GOSSIP_DELAY > at);
            if is_contradicted {
                continue;
            }
            let before = self.get(*run);
            let change = self.record(*run, *limit, at);
            if self.get(*run) != before {
                changes.push((*run, change));
            }
        }
        changes
    }

    /// Returns updates for other gateways: the newest ones, and some of the others in turn.
    #[must_use]
    pub fn updates(&mut self, now: Duration) -> Vec<Update> {
        let mut runs: Vec<(Duration, Run)> =
            self.statements.iter().map(|(run, statement)| (statement.at, *run)).collect();
        if runs.len() > MAX_UPDATES {
            runs.sort_unstable_by(|one, other| other.cmp(one));
            let mut others = runs.split_off(NEWEST_UPDATES);
            others.sort_unstable_by_key(|(_, run)| (Some(*run) <= self.last_turn, *run));
            others.truncate(MAX_UPDATES - NEWEST_UPDATES);
            self.last_turn = others.last().map(|(_, run)| *run);
            runs.extend(others);
        }
        let update = |(at, run): (Duration, Run)| {
            let limit = self.get(run).and_then(|statement| statement.limit);
            Update { run, limit, ago: now.saturating_sub(at).into() }
        };
        runs.into_iter().map(update).collect()
    }

    /// Removes the statements of ended limits and of runs that are not listed, after a while.
    pub fn expire(&mut self, is_listed: impl Fn(Run) -> bool, now: Duration) {
        self.statements.retain(|run, statement| {
            let is_needed = statement.limit.is_some() && is_listed(*run);
            is_needed || statement.at + RETENTION > now
        });
    }
}

/// What one gateway may send to one run, by the run's limit.
#[derive(Debug, Default)]
pub struct Budget {
    statement: Option<Statement>,
    bucket: Bucket,
}

impl Budget {
    /// The budget of a run whose statement was known before. It begins empty, since it is not known
    /// what was sent since.
    #[must_use]
    pub fn restore(statement: Option<Statement>) -> Self {
        Self { statement, bucket: Bucket::default() }
    }

    /// Applies a statement, unless a later one is known. A new limit, and one that is far lower
    /// than before, begins as `start` says. Any other change keeps what is saved up.
    pub fn apply(&mut self, statement: Statement, start: Start) {
        if self.statement.is_some_and(|known| known.at > statement.at) {
            return;
        }
        let before = self.statement.and_then(|known| known.limit);
        let begins = match (before, statement.limit) {
            (None, Some(_)) => true,
            (Some(before), Some(limit)) => limit.per_s() < RESTART_FRACTION * before.per_s(),
            _ => false,
        };
        if begins {
            self.bucket = Bucket::begin(start);
        }
        self.statement = Some(statement);
    }

    /// Returns whether the run has a limit.
    #[must_use]
    pub fn is_limited(&self) -> bool {
        self.statement.is_some_and(|statement| statement.limit.is_some())
    }

    /// Returns whether a request that leaves `reserve` of a request's worth may be sent now.
    pub fn allows(&mut self, fleet: Fleet, reserve: f64, now: Duration) -> bool {
        let Some(bound) = self.bound() else { return true };
        self.bucket.allows(self.share(&bound, fleet, now), reserve, now)
    }

    /// Uses up a request's worth if such a request may be sent now; returns whether it may.
    #[must_use]
    pub fn take(&mut self, fleet: Fleet, reserve: f64, now: Duration) -> bool {
        let Some(bound) = self.bound() else { return true };
        self.bucket.take(self.share(&bound, fleet, now), reserve, now)
    }

    /// How long it takes until such a request may be sent: at least a round of all sharers if this
    /// gateway is none. None without a limit.
    pub fn wait(&mut self, fleet: Fleet, reserve: f64, now: Duration) -> Option<Duration> {
        let bound = self.bound()?;
        let share = self.share(&bound, fleet, now);
        Some(self.bucket.wait(share, reserve, now).unwrap_or(bound.round(fleet.gateways)))
    }

    fn bound(&self) -> Option<Bound> {
        self.statement?.limit.map(Limit::bound)
    }

    /// The share of this gateway. While no answer comes, the next gateways in rank become the
    /// sharers, once the present ones had the time to send two requests each.
    fn share(&self, bound: &Bound, fleet: Fleet, now: Duration) -> Option<Share> {
        let period = bound.round(fleet.gateways).saturating_mul(2).max(bound.window);
        let silent = self.statement.map_or(Duration::ZERO, |last| now.saturating_sub(last.at));
        let turn = silent.as_nanos() / period.as_nanos();
        bound.share(fleet, u64::try_from(turn).unwrap_or(u64::MAX))
    }
}
