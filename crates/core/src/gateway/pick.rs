//! Chooses the endpoint for a request, or refuses the request before anything is executed.
//!
//! [`pick`] compares the forecasts of the [`Candidate`]s with the [`Requirements`] of the request.
//! Requests that could not be answered in time are refused with a retry delay.

use std::time::Duration;

use super::load::Forecast;
use super::shedding::{Protected, Rank};
use crate::swarm::Distance;

/// By how much an endpoint in another availability zone of the region must be faster to be chosen:
/// the network latency and the price of the traffic.
const REGION_PENALTY: Duration = Duration::from_millis(8);

/// The same for an endpoint in another region.
const FAR_PENALTY: Duration = Duration::from_millis(16);

/// Fraction of the remaining time within which the first token must be expected. The rest
/// absorbs estimation errors: a request that is answered late uses capacity with which another one
/// would have been answered in time.
pub(super) const TOLERANCE: f64 = 0.9;

/// Upper bound on the estimated number of requests that other gateways have sent to one
/// endpoint. Exceeds the capacity of any endpoint and keeps the duration arithmetic from
/// overflowing.
const MAX_COMPETING: f64 = 100.0;

/// Number of candidates sampled per request (power of d choices), so that gateways with the same
/// information do not all choose the same endpoint.
const SAMPLE_SIZE: usize = 3;

/// Fraction of the limit within which an endpoint in the gateway's own availability zone is
/// chosen without considering others. Traffic between regions is billed, and it shares its link
/// with transfers of weights and configurations.
const OWN_ZONE_FRACTION: f64 = 0.5;

/// Lower bound on the time to a first token after which callers disconnect.
const MIN_CALLER_TIMEOUT: Duration = Duration::from_millis(1800);

/// Lower bound on the limit as a fraction of the target, for requests that are already late or
/// nearly so. Kept small so that under overload they do not displace requests that can still be
/// in time.
const LATE_FRACTION: f64 = 0.35;

/// Range of retry delays when no endpoint is available.
const NO_ENDPOINT_DELAY: (Duration, Duration) =
    (Duration::from_millis(300), Duration::from_millis(450));

/// Range of retry delays when no endpoint has suitable weights. Loading them takes seconds.
const NO_WEIGHTS_DELAY: (Duration, Duration) =
    (Duration::from_millis(1200), Duration::from_millis(2000));

/// Interval over which retries are spread after an endpoint's back-off, so that they do not
/// overload it again.
const BACKOFF_SPREAD: Duration = Duration::from_millis(300);

/// Range of retry delays when every endpoint would begin to respond too late. Callers wait for at
/// most a third of their remaining time. Where returns are recognized, a schedule chooses within it.
pub(super) const OVERLOAD_DELAY: (Duration, Duration) =
    (Duration::from_millis(400), Duration::from_millis(2000));

/// An endpoint that may be sent the request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Number of the endpoint, assigned by the caller of this module.
    pub number: usize,
    /// Distance from the gateway.
    pub distance: Distance,
    /// Forecast of its time to first token.
    pub forecast: Forecast,
    /// Age of the report that the forecast is based on.
    pub age: Duration,
    /// By how much each request that has arrived there since the report delays this one.
    pub service_time: Duration,
    /// Whether the request would be the probe of an ejected endpoint.
    pub is_probe: bool,
    /// What its agent can contribute.
    pub agent: Agent,
}

impl Candidate {
    /// The choice to send to this candidate.
    pub(super) fn chosen(&self) -> Choice {
        Choice::Send { number: self.number, ttft: self.ttft() }
    }

    /// The forecast time to first token of the request.
    #[must_use]
    pub fn ttft(&self) -> Duration {
        self.forecast.ttft()
    }
}

/// What the agent of an endpoint can contribute to a choice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Agent {
    /// Nothing: no agent can be queried.
    None,
    /// It can be queried for the present load of its endpoint.
    Queryable,
    /// It must be queried before a request is sent: it does not report to this gateway, so the
    /// load of its endpoint is unknown.
    NotReporting,
    /// It has just answered a query, so the forecast is up to date.
    Answered,
}

/// What a request requires of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Requirements {
    /// Target of the time to first token, counted from the caller's first attempt. An answer
    /// that begins later is worth less.
    pub ttft_target: Duration,
    /// The part of that time that is left.
    pub target_left: Duration,
    /// The time that is left until the caller's deadline.
    pub time_left: Duration,
    /// Whether the request has been sent before. Such a request is not refused for being late.
    pub sent_before: bool,
    /// Whether there are endpoints that only lack suitable weights.
    pub weights_missing: bool,
    /// The time until the first of the endpoints that are in back-off or at their limits accepts
    /// requests again; `None` if there is no such endpoint.
    pub backoff_left: Option<Duration>,
    /// Requests per second that other gateways receive for the same endpoints.
    pub competing_rate: f64,
    /// The rank of the request.
    pub rank: Rank,
    /// The ranks for which it must leave room; `None` if there are none.
    pub protected: Option<Protected>,
    /// Seed of the request's pseudo-random choices, which spread requests over equal endpoints.
    pub seed: u64,
}

/// The decision about a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Choice {
    /// Send it to this endpoint.
    Send {
        /// The endpoint's number.
        number: usize,
        /// The forecast time to first token.
        ttft: Duration,
    },
    /// Refuse it.
    Refuse {
        /// The delay after which the caller should retry.
        retry_after: Duration,
        /// The best candidate, although not good enough; `None` if there is no candidate.
        best: Option<BestCandidate>,
        /// The fraction of the endpoints that have room for higher ranks, if the request was
        /// refused for its rank.
        shed: Option<f64>,
    },
}

/// Why the best endpoint for a request is not good enough.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BestCandidate {
    /// The forecast of its time to first token.
    pub forecast: Forecast,
    /// The longest wait caused by other requests with which the request would have been sent
    /// there.
    pub max_wait: Duration,
}

/// Chooses an endpoint for a request, or refuses it.
#[must_use]
pub fn pick(requirements: &Requirements, candidates: &[Candidate]) -> Choice {
    if let Some(refused) = shed(requirements, candidates) {
        return refused;
    }
    let limit = limit(requirements);
    let candidates = with_competing_requests(requirements, limit, candidates);
    if candidates.is_empty() {
        return Choice::Refuse {
            retry_after: within(unavailable_delay(requirements), requirements.seed),
            best: None,
            shed: None,
        };
    }
    let sampled = sampled(requirements, limit, limit, &candidates);
    // A refusal requires more evidence than a choice, so it considers all candidates.
    match sampled.or_else(|| cheapest(requirements, limit, &candidates)) {
        Some(found) => found.chosen(),
        None => refusal(requirements, limit, &candidates),
    }
}

/// The best of the sampled candidates whose reports suffice: it would begin to respond within a
/// fraction of the limit.
pub(super) fn best_by_report(
    requirements: &Requirements,
    fraction: f64,
    candidates: &[Candidate],
) -> Option<Candidate> {
    let limit = limit(requirements);
    sampled(
        requirements,
        limit,
        limit.mul_f64(fraction),
        &with_competing_requests(requirements, limit, candidates),
    )
}

/// The best of a sample in the gateway's own availability zone if one there has capacity, or else
/// the best of a sample of all candidates that would begin to respond by `latest`.
fn sampled(
    requirements: &Requirements,
    limit: Duration,
    latest: Duration,
    candidates: &[Candidate],
) -> Option<Candidate> {
    let own_zone = sample_own_zone(requirements, candidates);
    let best = cheapest(requirements, limit.mul_f64(OWN_ZONE_FRACTION), &own_zone);
    best.or_else(|| {
        cheapest(requirements, latest, &sample(requirements.seed, candidates, SAMPLE_SIZE))
    })
}

/// A sample of the candidates in the gateway's own availability zone.
fn sample_own_zone(requirements: &Requirements, candidates: &[Candidate]) -> Vec<Candidate> {
    let own_zone = candidates.iter().filter(|candidate| candidate.distance == Distance::Zone);
    sample(requirements.seed, &own_zone.copied().collect::<Vec<_>>(), SAMPLE_SIZE)
}

/// The good candidate with the lowest cost.
pub(super) fn cheapest<'a>(
    requirements: &Requirements,
    limit: Duration,
    candidates: impl IntoIterator<Item = &'a Candidate>,
) -> Option<Candidate> {
    let good = candidates.into_iter().filter(|candidate| is_good(requirements, limit, candidate));
    good.copied().min_by_key(|candidate| (cost(requirements, candidate), candidate.number))
}

/// Whether a candidate would begin to respond soon enough.
///
/// The limit applies to the wait that other requests cause, whatever the size of this one. If it
/// applied to the request's own time to first token, large requests would be refused first, and
/// again at each retry. The request's own prefill time counts only against its caller's deadline.
fn is_good(requirements: &Requirements, limit: Duration, candidate: &Candidate) -> bool {
    let has_room = || requirements.protected.is_none_or(|above| above.has_room(candidate));
    candidate.forecast.usual_ttft() <= limit
        && candidate.ttft() <= requirements.time_left
        && has_room()
}

/// The refusal of a request for its rank, if it is shed.
pub(super) fn shed(requirements: &Requirements, candidates: &[Candidate]) -> Option<Choice> {
    let protected = requirements.protected.filter(|_| !requirements.sent_before)?;
    let room = protected.room(candidates);
    if !protected.sheds(room, requirements.seed) {
        return None;
    }
    Some(Choice::Refuse {
        retry_after: within(OVERLOAD_DELAY, requirements.seed),
        best: best_candidate(limit(requirements), candidates),
        shed: Some(room),
    })
}

/// The cost of a candidate: its time to first token, its distance, and some jitter.
fn cost(requirements: &Requirements, candidate: &Candidate) -> Duration {
    candidate.ttft() + overhead(requirements, candidate)
}

/// The cost of a candidate for a request with a prompt of the usual size.
pub(super) fn cost_of_usual(requirements: &Requirements, candidate: &Candidate) -> Duration {
    candidate.forecast.usual_ttft() + overhead(requirements, candidate)
}

/// The cost of a candidate besides its time to first token.
fn overhead(requirements: &Requirements, candidate: &Candidate) -> Duration {
    let penalty = match candidate.distance {
        Distance::Zone => Duration::ZERO,
        Distance::Region => REGION_PENALTY,
        Distance::Far => FAR_PENALTY,
    };
    penalty + jitter(requirements.seed, candidate.number)
}

/// The refusal of a request to which every candidate would begin to respond too late.
pub(super) fn refusal<'a>(
    requirements: &Requirements,
    limit: Duration,
    candidates: impl IntoIterator<Item = &'a Candidate>,
) -> Choice {
    Choice::Refuse {
        retry_after: within(OVERLOAD_DELAY, requirements.seed),
        best: best_candidate(limit, candidates),
        shed: None,
    }
}

/// The candidate with the shortest wait, with the limit that the wait exceeds.
fn best_candidate<'a>(
    limit: Duration,
    candidates: impl IntoIterator<Item = &'a Candidate>,
) -> Option<BestCandidate> {
    let forecasts = candidates.into_iter().map(|candidate| candidate.forecast);
    let forecast = forecasts.min_by_key(Forecast::usual_ttft)?;
    Some(BestCandidate { forecast, max_wait: limit.saturating_sub(forecast.usual_prefill) })
}

/// Range of retry delays for a request without candidates.
fn unavailable_delay(requirements: &Requirements) -> (Duration, Duration) {
    let Some(backoff_left) = requirements.backoff_left else {
        return if requirements.weights_missing { NO_WEIGHTS_DELAY } else { NO_ENDPOINT_DELAY };
    };
    // Endpoints in back-off or at their limits at this gateway may accept requests of another one, which the caller
    // may well choose for its retry. So the delay is no longer than under overload.
    let least = backoff_left.clamp(NO_ENDPOINT_DELAY.0, OVERLOAD_DELAY.1);
    (least, least + BACKOFF_SPREAD)
}

/// Adds to the forecasts the requests that other gateways have presumably sent since the reports:
/// they have received the same reports.
///
/// Otherwise every gateway would send requests to the same free slot under overload, and all of
/// them would be late.
fn with_competing_requests(
    requirements: &Requirements,
    limit: Duration,
    candidates: &[Candidate],
) -> Vec<Candidate> {
    let good = candidates.iter().filter(|it| is_good(requirements, limit, it)).count().max(1);
    let sent = |age: Duration| requirements.competing_rate * age.as_secs_f64() / good as f64;
    let updated = |candidate: &Candidate| {
        let more = candidate.service_time.mul_f64(sent(candidate.age).min(MAX_COMPETING));
        let forecast = Forecast { wait: candidate.forecast.wait + more, ..candidate.forecast };
        Candidate { forecast, ..*candidate }
    };
    candidates.iter().map(updated).collect()
}

/// The upper bound on the time to first token with which a request with a prompt of the usual size
/// is sent.
pub(super) fn limit(requirements: &Requirements) -> Duration {
    let target = requirements.ttft_target;
    let limit = if requirements.sent_before {
        requirements.target_left.max(MIN_CALLER_TIMEOUT)
    } else if let Some(protected) = requirements.protected {
        // Late requests leave room for others by their rank, whatever their own wait.
        let left = if requirements.rank.is_late { target } else { requirements.target_left };
        left.mul_f64(TOLERANCE).max(target.mul_f64(LATE_FRACTION)).min(protected.limit())
    } else {
        requirements.target_left.mul_f64(TOLERANCE).max(target.mul_f64(LATE_FRACTION))
    };
    limit.min(requirements.time_left)
}

/// A pseudo-random sample of `count` candidates: those that rank first for the seed.
pub(super) fn sample(seed: u64, candidates: &[Candidate], count: usize) -> Vec<Candidate> {
    let rank = |candidate: &Candidate| {
        crate::rendezvous::Key::of_number(seed ^ (candidate.number as u64) << 24).as_u64()
    };
    let mut sampled = candidates.to_vec();
    sampled.sort_by_cached_key(rank);
    sampled.truncate(count);
    sampled
}

/// Up to 6 ms, so that gateways with the same information do not all choose the same endpoint.
fn jitter(seed: u64, number: usize) -> Duration {
    let mixed = crate::rendezvous::Key::of_number(seed ^ (number as u64) << 32).as_u64();
    Duration::from_micros(mixed % 6000)
}

/// A time within a range that depends on the seed, so that callers do not retry all at once.
fn within((least, most): (Duration, Duration), seed: u64) -> Duration {
    let part = (seed % 1024) as f64 / 1024.0;
    least + most.saturating_sub(least).mul_f64(part)
}
