//! Choosing an endpoint for a request, or refusing it while nothing has run.

use std::time::Duration;

use super::load::Forecast;
use crate::swarm::Distance;

/// What a farther endpoint has to be faster by: its way and the price of the bytes.
const REGION_PENALTY: Duration = Duration::from_millis(8);

/// The same for another region.
const FAR_PENALTY: Duration = Duration::from_millis(16);

/// Fraction of the remaining time within which the first token must be expected. The rest
/// absorbs estimation errors: a request that is answered late takes the place of one that would
/// have been in time.
const TOLERANCE: f64 = 0.9;

/// Upper bound on the estimated number of requests that other gateways have sent to one
/// endpoint. Exceeds the capacity of any endpoint and keeps the duration arithmetic from
/// overflowing.
const MOST_RIVALS: f64 = 100.0;

/// Number of candidates sampled per request (power of d choices), so that gateways with the same
/// information do not all choose the same endpoint.
const DRAWN: usize = 3;

/// Fraction of the limit within which an endpoint in the gateway's own availability zone is
/// chosen without considering others. Traffic between regions is billed, and it shares its link
/// with transfers of weights and configurations.
const NEAR: f64 = 0.5;

/// How long callers wait for a first token at least before they leave.
const PATIENCE: Duration = Duration::from_millis(1800);

/// Lower bound of the limit as a fraction of the aim, for requests that are already late or
/// nearly so. Kept small so that under overload they do not displace requests that can still be
/// in time.
const SPARE: f64 = 0.35;

/// Range of retry delays when no endpoint is available.
const NONE_THERE: (Duration, Duration) = (Duration::from_millis(300), Duration::from_millis(450));

/// Range of retry delays when no endpoint has suitable weights. Loading them takes seconds.
const WEIGHTLESS: (Duration, Duration) = (Duration::from_millis(1200), Duration::from_millis(2000));

/// Interval over which retries are spread after an endpoint's rest, so that they do not overload
/// it again.
const RESTED: Duration = Duration::from_millis(300);

/// Range of retry delays when every endpoint would begin too late. Callers wait for at most a
/// third of their remaining time.
const COME_BACK: (Duration, Duration) = (Duration::from_millis(400), Duration::from_millis(2000));

/// An endpoint that could take a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// The caller's number for it.
    pub number: usize,
    /// How near it is.
    pub distance: Distance,
    /// When it would begin to answer, as far as is known.
    pub forecast: Forecast,
    /// How old that knowledge is.
    pub age: Duration,
    /// By how much each request that came since then would have this one wait longer.
    pub service_time: Duration,
    /// Whether a request is to find out if it is well again.
    pub is_probe: bool,
    /// What is to be had from its agent.
    pub agent: Agent,
}

impl Candidate {
    /// The choice of this candidate.
    pub(super) fn chosen(&self) -> Choice {
        Choice::Send { number: self.number, ttft: self.ttft() }
    }

    /// The time until it would begin to answer.
    #[must_use]
    pub fn ttft(&self) -> Duration {
        self.forecast.ttft()
    }
}

/// What is to be had from an endpoint's agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Agent {
    /// There is none that could be asked.
    None,
    /// It can be asked what its endpoint holds.
    Queryable,
    /// It has to be asked first: it does not report here, and nothing else tells whether its
    /// endpoint has room.
    NotReporting,
    /// It has just answered: what is known of its endpoint is of this moment.
    Answered,
}

/// What is asked for.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Requirements {
    /// The time within which an answer has to begin for its full worth, counted
    /// from the caller's first attempt.
    pub ttft_target: Duration,
    /// What is left of that time.
    pub target_left: Duration,
    /// The time that is left until the caller needs no answer any more.
    pub time_left: Duration,
    /// Whether it has been sent before: such a request is not refused for being late.
    pub sent_before: bool,
    /// Whether there are endpoints that only lack the weights to answer with.
    pub weights_missing: bool,
    /// After how long the first of the endpoints that rest takes requests again, if any do.
    pub backoff_left: Option<Duration>,
    /// How many requests a second other gateways get for the same endpoints.
    pub competing_rate: f64,
    /// A number that spreads requests among endpoints that are alike.
    pub seed: u64,
}

/// What becomes of a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Choice {
    /// It is sent to this endpoint.
    Send {
        /// The endpoint's number.
        number: usize,
        /// The time until it is expected to begin to answer.
        ttft: Duration,
    },
    /// It is refused; the caller is to come back after this time.
    Refuse {
        /// When there should be room.
        retry_after: Duration,
        /// What the best endpoint would have needed; none when there is none.
        best: Option<BestCandidate>,
    },
}

/// Why the best endpoint for a request is not good enough.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BestCandidate {
    /// When it would begin to answer.
    pub forecast: Forecast,
    /// The longest wait for others with which the request would have been sent there.
    pub max_wait: Duration,
}

/// Chooses an endpoint for a request.
#[must_use]
pub fn pick(wish: &Requirements, candidates: &[Candidate]) -> Choice {
    let limit = limit(wish);
    let candidates = with_rivals(wish, limit, candidates);
    if candidates.is_empty() {
        return Choice::Refuse { retry_after: spread_out(none_there(wish), wish.seed), best: None };
    }
    let sampled = sampled(wish, limit, limit, &candidates);
    // A refusal needs more proof than a choice.
    match sampled.or_else(|| cheapest(wish, limit, &candidates)) {
        Some(found) => found.chosen(),
        None => refusal(wish, limit, &candidates),
    }
}

/// An endpoint with so much room that its report suffices, among those that are sampled for a
/// request: it would begin within a part of the latest time.
pub(super) fn easy(wish: &Requirements, part: f64, candidates: &[Candidate]) -> Option<Candidate> {
    let limit = limit(wish);
    sampled(wish, limit, limit.mul_f64(part), &with_rivals(wish, limit, candidates))
}

/// The best of some near candidates where one has room, else of some of all that would begin
/// by `latest`.
fn sampled(
    wish: &Requirements,
    limit: Duration,
    latest: Duration,
    candidates: &[Candidate],
) -> Option<Candidate> {
    let near = cheapest(wish, limit.mul_f64(NEAR), &draw_near(wish, candidates));
    near.or_else(|| cheapest(wish, latest, &draw(wish.seed, candidates, DRAWN)))
}

/// Some of the candidates in the gateway's own availability zone.
fn draw_near(wish: &Requirements, candidates: &[Candidate]) -> Vec<Candidate> {
    let near = candidates.iter().filter(|candidate| candidate.distance == Distance::Zone);
    draw(wish.seed, &near.copied().collect::<Vec<_>>(), DRAWN)
}

/// The candidate that costs a request least, of those that are good enough.
pub(super) fn cheapest<'a>(
    wish: &Requirements,
    limit: Duration,
    candidates: impl IntoIterator<Item = &'a Candidate>,
) -> Option<Candidate> {
    let good = candidates.into_iter().filter(|candidate| is_good(wish, limit, candidate));
    good.copied().min_by_key(|candidate| (cost(wish, candidate), candidate.number))
}

/// Whether a candidate would begin soon enough.
///
/// Requests of all sizes are held to the wait that others cause: with a limit on the time to
/// their own first token, large ones would be refused first, and each time they come back. The
/// time that a request takes by itself counts only against its caller's deadline.
fn is_good(wish: &Requirements, limit: Duration, candidate: &Candidate) -> bool {
    candidate.forecast.usual_ttft() <= limit && candidate.ttft() <= wish.time_left
}

/// What an endpoint costs a request: its time, its way, and some spread.
fn cost(wish: &Requirements, candidate: &Candidate) -> Duration {
    candidate.ttft() + detour(wish, candidate)
}

/// The same for a request with a usual prompt.
pub(super) fn cost_of_usual(wish: &Requirements, candidate: &Candidate) -> Duration {
    candidate.forecast.usual_ttft() + detour(wish, candidate)
}

/// What an endpoint costs a request besides its time.
fn detour(wish: &Requirements, candidate: &Candidate) -> Duration {
    let penalty = match candidate.distance {
        Distance::Zone => Duration::ZERO,
        Distance::Region => REGION_PENALTY,
        Distance::Far => FAR_PENALTY,
    };
    penalty + jitter(wish.seed, candidate.number)
}

/// The refusal of a request that the best of the candidates would begin too late.
pub(super) fn refusal<'a>(
    wish: &Requirements,
    limit: Duration,
    candidates: impl IntoIterator<Item = &'a Candidate>,
) -> Choice {
    let forecasts = candidates.into_iter().map(|candidate| candidate.forecast);
    let best = forecasts.min_by_key(Forecast::usual_ttft);
    let best = best.map(|forecast| BestCandidate {
        forecast,
        max_wait: limit.saturating_sub(forecast.usual_prefill),
    });
    Choice::Refuse { retry_after: spread_out(COME_BACK, wish.seed), best }
}

/// When a caller is to come back for whose request there is no endpoint.
fn none_there(wish: &Requirements) -> (Duration, Duration) {
    let Some(rest) = wish.backoff_left else {
        return if wish.weights_missing { WEIGHTLESS } else { NONE_THERE };
    };
    // Those that rest for this gateway may take requests of another one, at which the
    // caller may well come back: it waits no longer than where all are busy.
    let least = rest.clamp(NONE_THERE.0, COME_BACK.1);
    (least, least + RESTED)
}

/// The candidates as they are by now: other gateways have been told of the same room,
/// and have sent there what came to them since.
///
/// Without this, every gateway would send requests to the same free place under overload, and
/// all of them would be late.
fn with_rivals(wish: &Requirements, limit: Duration, candidates: &[Candidate]) -> Vec<Candidate> {
    let rooms = candidates.iter().filter(|it| is_good(wish, limit, it)).count().max(1);
    let sent = |age: Duration| wish.competing_rate * age.as_secs_f64() / rooms as f64;
    let by_now = |candidate: &Candidate| {
        let more = candidate.service_time.mul_f64(sent(candidate.age).min(MOST_RIVALS));
        let forecast = Forecast { wait: candidate.forecast.wait + more, ..candidate.forecast };
        Candidate { forecast, ..*candidate }
    };
    candidates.iter().map(by_now).collect()
}

/// The latest time to a first token with which a request is sent whose prompt is usual.
pub(super) fn limit(wish: &Requirements) -> Duration {
    let limit = if wish.sent_before {
        wish.target_left.max(PATIENCE)
    } else {
        wish.target_left.mul_f64(TOLERANCE).max(wish.ttft_target.mul_f64(SPARE))
    };
    limit.min(wish.time_left)
}

/// So many of the candidates, drawn for this request: the first of its own ranking.
pub(super) fn draw(spread: u64, candidates: &[Candidate], count: usize) -> Vec<Candidate> {
    let rank = |candidate: &Candidate| {
        crate::rendezvous::Key::of_number(spread ^ (candidate.number as u64) << 24).as_u64()
    };
    let mut drawn = candidates.to_vec();
    drawn.sort_by_cached_key(rank);
    drawn.truncate(count);
    drawn
}

/// Up to 6 ms, so that gateways that know the same do not all choose the same endpoint.
fn jitter(spread: u64, number: usize) -> Duration {
    let mixed = crate::rendezvous::Key::of_number(spread ^ (number as u64) << 32).as_u64();
    Duration::from_micros(mixed % 6000)
}

/// A time within a range that differs from caller to caller.
fn spread_out((least, most): (Duration, Duration), spread: u64) -> Duration {
    let part = (spread % 1024) as f64 / 1024.0;
    least + most.saturating_sub(least).mul_f64(part)
}
