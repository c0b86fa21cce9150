//! Load shedding by rank: which requests are refused first while not all can be served in time.
//!
//! A limit on the wait alone serves whoever accepts the longest wait: a request with a target of a
//! second fills engines up to a wait at which none with a target of 400 ms is sent. And callers that
//! return after a refusal take capacity with which first attempts would have been answered in time.
//!
//! So each request has a [`Rank`]. While requests are refused, a request is sent only to endpoints
//! that keep room for the ranks above it, and if few endpoints have such room, it is admitted with
//! a probability only. All gateways receive reports from the same endpoints, so their
//! probabilities move together without any messages between them.

use std::collections::BTreeMap;
use std::time::Duration;

use super::demand::Demand;
use super::pick::{Candidate, TOLERANCE};
use crate::rendezvous::Key;

/// How long requests of a rank are expected to go on after the last one.
const RANK_LASTS: Duration = Duration::from_secs(3);

/// Fraction of a protected limit up to which an endpoint has room even if one more request would
/// exceed the limit: endpoints whose requests are long compared to the target have room while they
/// are nearly idle.
const IDLE_FRACTION: f64 = 0.5;

/// The time that a request reserves for protected ones at its endpoint, as a multiple of their share
/// of demand and of the service time; at most one service time.
const RESERVED_PER_SHARE: f64 = 2.0;

/// Fraction of the endpoints with room below which nothing is admitted under higher ranks that
/// make up all demand while room is lacking. It is proportional to their share: room for few needs
/// few endpoints.
const RESERVED_ROOM: f64 = 0.5;

/// By how much the fraction of endpoints with room must be higher for all requests of a rank to be
/// admitted. Wide enough that reports that are 0.3 s old do not make admission oscillate.
const BAND_WIDTH: f64 = 0.2;

/// Fraction of refused requests from which the whole reserve applies.
const FULL_PRESSURE: f64 = 0.05;

/// A rank is not shed while its share of admitted requests is below this fraction of the share of
/// all requests, so that no kind of request is starved.
const MIN_RELATIVE_SHARE: f64 = 0.3;

/// Requests per second of a rank below which its share says nothing.
const MIN_ARRIVALS_PER_S: f64 = 2.0;

/// The order in which requests of a service are served; the lowest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Rank {
    /// Whether the request can no longer be answered within its target, or its caller returned
    /// earlier than it was asked to.
    pub is_late: bool,
    /// The priority of the team, or of the route if the team has none; 0 is the most urgent.
    pub priority: u8,
    /// The priority of the route, which decides among teams of equal priority.
    pub route: u8,
}

/// The ranks above one of which requests arrived recently.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Protected {
    /// The shortest target of the time to first token among their requests.
    pub ttft_target: Duration,
    /// Their share of the requests that are not late, from 0 to 1.
    pub share: f64,
    /// How much room is lacking, from 0 to 1: 0 while no request is refused, so that nothing is shed
    /// where room suffices.
    pub pressure: f64,
}

impl Protected {
    /// The longest time to first token with which one of their requests is sent.
    #[must_use]
    pub fn limit(&self) -> Duration {
        self.ttft_target.mul_f64(TOLERANCE)
    }

    /// Whether a protected request would still begin in time at an endpoint after another request
    /// was sent there. Less time is reserved if few of the next requests are protected.
    #[must_use]
    pub fn has_room(&self, candidate: &Candidate) -> bool {
        let limit = self.limit();
        let reserved = (RESERVED_PER_SHARE * self.share).min(1.0) * self.pressure;
        let reserved = candidate.service_time.mul_f64(reserved);
        let longest = limit.saturating_sub(reserved).max(limit.mul_f64(IDLE_FRACTION));
        candidate.forecast.usual_ttft() <= longest
    }

    /// The fraction of the endpoints that have room; 1 if there is no endpoint, so that nothing is
    /// shed without evidence.
    #[must_use]
    pub fn room(&self, candidates: &[Candidate]) -> f64 {
        if candidates.is_empty() {
            return 1.0;
        }
        let with_room = candidates.iter().filter(|candidate| self.has_room(candidate)).count();
        with_room as f64 / candidates.len() as f64
    }

    /// The probability with which a request below these ranks is admitted, given the fraction of
    /// the endpoints that have room.
    #[must_use]
    pub fn admitted(&self, room: f64) -> f64 {
        let above_reserve = (room - RESERVED_ROOM * self.share) / BAND_WIDTH;
        (above_reserve.clamp(0.0, 1.0) * self.pressure + 1.0 - self.pressure).clamp(0.0, 1.0)
    }

    /// Whether a request with this seed is shed, given the fraction of the endpoints that have
    /// room.
    #[must_use]
    pub fn sheds(&self, room: f64, seed: u64) -> bool {
        // The seed itself also selects the sampled endpoints.
        let part = Key::of_number(!seed).as_u64() as f64 / u64::MAX as f64;
        part >= self.admitted(room)
    }
}

/// The latest request of a rank.
#[derive(Debug, Clone, Copy)]
struct Latest {
    at: Duration,
    // The shortest target since requests of the rank began to arrive.
    ttft_target: Duration,
}

/// The recent requests of one rank.
#[derive(Debug, Clone, Copy, Default)]
struct Recent {
    latest: Option<Latest>,
    arrived: Demand,
    admitted: Demand,
    refused: Demand,
}

impl Recent {
    /// The shortest target; none if no request arrived recently.
    fn ttft_target(&self, now: Duration) -> Option<Duration> {
        let latest = self.latest?;
        (latest.at + RANK_LASTS > now).then_some(latest.ttft_target)
    }
}

/// The requests of one service that arrived recently, by rank.
#[derive(Debug, Clone, Default)]
pub struct Arrivals(BTreeMap<Rank, Recent>);

impl Arrivals {
    /// Records an arrival with its target of the time to first token.
    pub fn record(&mut self, rank: Rank, ttft_target: Duration, now: Duration) {
        let recent = self.0.entry(rank).or_default();
        let ttft_target =
            recent.ttft_target(now).map_or(ttft_target, |known| known.min(ttft_target));
        recent.latest = Some(Latest { at: now, ttft_target });
        recent.arrived.record_arrival(now);
    }

    /// Records that a request was admitted.
    pub fn record_admitted(&mut self, rank: Rank, now: Duration) {
        self.0.entry(rank).or_default().admitted.record_arrival(now);
    }

    /// Records that a request was refused because of load or its rank.
    pub fn record_refused(&mut self, rank: Rank, now: Duration) {
        self.0.entry(rank).or_default().refused.record_arrival(now);
    }

    /// The ranks that a request must leave room for; `None` if it has none to consider.
    #[must_use]
    pub fn protected(&self, rank: Rank, now: Duration) -> Option<Protected> {
        if self.is_starved(rank, now) {
            return None;
        }
        let above = || {
            let above = self.0.range(..rank).filter(|(above, _)| !above.is_late);
            above.map(|(_, recent)| recent).filter(|recent| recent.ttft_target(now).is_some())
        };
        let ttft_target = above().filter_map(|recent| recent.ttft_target(now)).min()?;
        let arrived = |recent: &Recent| recent.arrived.per_second(now);
        let all: f64 = self.in_time().map(arrived).sum();
        let protected: f64 = above().map(arrived).sum();
        let ratio = |part: f64, whole: f64| (part / whole.max(f64::MIN_POSITIVE)).min(1.0);
        let pressure = (self.refused(rank, now) / FULL_PRESSURE).min(1.0);
        Some(Protected { ttft_target, share: ratio(protected, all), pressure })
    }

    /// The fraction of the requests of a rank and of those above it that were refused. The rank
    /// itself counts too: few requests of higher ranks may arrive at one gateway.
    fn refused(&self, rank: Rank, now: Duration) -> f64 {
        let counted = || {
            let counted = self.0.range(..=rank).filter(|(counted, _)| !counted.is_late);
            counted.map(|(_, recent)| recent)
        };
        let arrived: f64 = counted().map(|recent| recent.arrived.per_second(now)).sum();
        let refused: f64 = counted().map(|recent| recent.refused.per_second(now)).sum();
        refused / arrived.max(f64::MIN_POSITIVE)
    }

    /// The recent requests that are not late.
    fn in_time(&self) -> impl Iterator<Item = &Recent> {
        self.0.iter().filter(|(rank, _)| !rank.is_late).map(|(_, recent)| recent)
    }

    /// Whether requests of a rank were admitted so much more rarely than all requests that they
    /// are not shed. Late ones are: each of them was refused in favor of one that was in time.
    fn is_starved(&self, rank: Rank, now: Duration) -> bool {
        let Some(recent) = self.0.get(&rank).filter(|_| !rank.is_late) else { return false };
        let share = |arrived: f64, admitted: f64| admitted / arrived.max(f64::MIN_POSITIVE);
        let sum = |rate: fn(&Recent) -> &Demand| {
            self.in_time().map(|recent| rate(recent).per_second(now)).sum::<f64>()
        };
        let all = share(sum(|recent| &recent.arrived), sum(|recent| &recent.admitted));
        let arrived = recent.arrived.per_second(now);
        arrived >= MIN_ARRIVALS_PER_S
            && share(arrived, recent.admitted.per_second(now)) < MIN_RELATIVE_SHARE * all
    }
}
