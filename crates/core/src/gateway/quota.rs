//! Budgets of requests to one endpoint that all gateways spend together.
//!
//! What an endpoint says that binds all gateways is a budget of the fleet, such as the limit that
//! it names in its answers ([`limit`](super::limit)). Gateways divide such a [`Bound`] without
//! communication. For each endpoint they rank themselves by a hash ([`Fleet`]); the first in rank
//! are the *sharers*, and each sharer spends its [`Share`] from a [`Bucket`] (token bucket).
//!
//! A small budget is not divided among all gateways: with a hundredth of a request per second each,
//! hardly any of them would ever send one, or all of them at the same moment.

use std::collections::VecDeque;
use std::time::Duration;

use crate::rendezvous::{Key, weight};

/// Fraction of what is allowed in a window that is shared out. The rest absorbs gateways that do
/// not know of each other yet.
const SHARED_FRACTION: f64 = 0.85;

/// How much the times of two requests may differ by on their way to an endpoint.
const TRANSIT_JITTER: Duration = Duration::from_millis(250);

/// For how long a sharer may save up requests that it does not send.
const MAX_SAVING: Duration = Duration::from_secs(1);

/// How long after a budget begins nothing is sent. What was sent before, without a budget, counts
/// as well when the budget has to hold for the first time, some three seconds later.
const PAUSE: Duration = Duration::from_secs(3);

/// A share is no restriction, and begins full, if it exceeds this many times what the gateway sent
/// before within a window, by [`AMPLE_LEAST`] requests at least.
const AMPLE_FACTOR: f64 = 2.0;

/// See [`AMPLE_FACTOR`], in requests within a window.
const AMPLE_LEAST: f64 = 4.0;

/// How long sends are remembered: as long as the longest window in which any are counted.
const SENDS_KEPT: Duration = Duration::from_secs(4);

/// Part of a request's worth that less urgent requests leave in a bucket.
pub const URGENT_RESERVE: f64 = 0.25;

/// How many requests all gateways together may send to one endpoint.
// Invariant: `most` exceeds `per_s` over the window by more than one request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bound {
    /// Requests per second that they send in the long run.
    pub per_s: f64,
    /// The most requests that may reach the endpoint within any time of this length.
    pub most: f64,
    /// The length of that time.
    pub window: Duration,
}

/// The part of a bound that one gateway may spend.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Share {
    /// The gateway's position among the sharers; zero for the first.
    pub position: usize,
    /// Number of sharers.
    pub sharers: usize,
    /// Requests per second.
    pub per_s: f64,
    /// The most requests that may be saved up.
    pub burst: f64,
    /// The most requests within a window of the bound.
    pub per_window: f64,
}

/// The gateways that divide a budget, as one of them knows them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Fleet {
    /// The position of this gateway in the order of all for the endpoint; zero for the first.
    pub rank: usize,
    /// The number of gateways, this one included.
    pub gateways: usize,
}

impl Fleet {
    /// The gateways `own` and `others`, in the order for an endpoint.
    #[must_use]
    pub fn new(endpoint: Key, own: Key, others: &[Key]) -> Self {
        let order = |gateway: Key| (weight(endpoint, gateway), gateway);
        let rank = others.iter().filter(|other| order(**other) > order(own)).count();
        Self { rank, gateways: others.len() + 1 }
    }
}

impl Bound {
    /// The number of sharers among `gateways` gateways, and the requests that each may save up.
    ///
    /// A sharer sends at most `burst + per_s * window / sharers` requests within a window, rounded
    /// down. The sum over all sharers never exceeds the part of the bound that is shared out.
    #[must_use]
    pub fn split(&self, gateways: usize) -> (usize, f64) {
        let shared = self.most * SHARED_FRACTION;
        let window = self.window + TRANSIT_JITTER;
        let steady = self.per_s * window.as_secs_f64();
        let saved = (shared - steady).max(1.0);
        let all = gateways.max(1);
        if all as f64 <= saved {
            let burst = saved.min(self.per_s * MAX_SAVING.as_secs_f64()) / all as f64;
            (all, burst.max(1.0))
        } else if all as f64 > steady {
            // Each sends at most one request within a window.
            (all.min(shared as usize).max(1), 1.0)
        } else {
            (saved as usize, 1.0)
        }
    }

    /// The share of a gateway; none if it is no sharer. With each `turn`, the next gateways in
    /// rank are the sharers.
    #[must_use]
    pub fn share(&self, fleet: Fleet, turn: u64) -> Option<Share> {
        let Fleet { rank, gateways } = fleet;
        let (sharers, burst) = self.split(gateways);
        let passed = (turn % gateways as u64) as usize * sharers % gateways;
        let position = (rank + gateways - passed) % gateways;
        let per_s = self.per_s / sharers as f64;
        let per_window = burst + per_s * self.window.as_secs_f64();
        (position < sharers).then_some(Share { position, sharers, per_s, burst, per_window })
    }

    /// How long all sharers need to send one request each.
    #[must_use]
    pub fn round(&self, gateways: usize) -> Duration {
        let (sharers, _) = self.split(gateways);
        Duration::try_from_secs_f64(sharers as f64 / self.per_s).unwrap_or(Duration::MAX)
    }
}

/// The recent requests from this gateway to one endpoint, by the time at which they were sent.
// Invariant: sorted by time, oldest first; none is older than `SENDS_KEPT` at the last addition.
#[derive(Debug, Default)]
pub struct Sends(VecDeque<Duration>);

impl Sends {
    /// Records a request sent now.
    pub fn add(&mut self, now: Duration) {
        while self.0.front().is_some_and(|sent| *sent + SENDS_KEPT <= now) {
            self.0.pop_front();
        }
        self.0.push_back(now);
    }

    /// The number of requests sent within the window that ends now.
    #[must_use]
    pub fn count(&self, window: Duration, now: Duration) -> usize {
        self.0.iter().filter(|sent| **sent + window > now).count()
    }
}

/// How a budget begins at a gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Start {
    /// When it began, by the gateway's clock.
    pub at: Duration,
    /// How many requests the gateway sent within the window before.
    pub sent: usize,
    /// Whether gateways have known each other for a while, so that their ranks agree.
    pub is_settled: bool,
}

/// What a gateway has saved up of its share.
// Invariant: `tokens` is at most the burst of `share` plus `URGENT_RESERVE`.
#[derive(Debug, Clone, Copy, Default)]
pub struct Bucket {
    tokens: f64,
    filled_at: Duration,
    share: Option<Share>,
    // How the budget began, until the first share after that is known.
    start: Option<Start>,
}

impl Bucket {
    /// The bucket of a budget that begins at all gateways.
    #[must_use]
    pub fn begin(start: Start) -> Self {
        Self { start: Some(start), ..Self::default() }
    }

    /// What is saved up of a share at the start of the budget, negative during a pause. The first
    /// requests of all sharers are spread evenly by their positions, or, if the positions may not
    /// agree, none is sent for a whole round.
    fn first_tokens(share: &Share, start: Start, now: Duration) -> f64 {
        if share.per_window >= AMPLE_FACTOR * start.sent as f64 + AMPLE_LEAST {
            return share.burst;
        }
        let position = if start.is_settled { share.position } else { share.sharers - 1 };
        let until_first = (position + 1) as f64 / share.sharers as f64;
        let elapsed = now.saturating_sub(start.at).as_secs_f64() - PAUSE.as_secs_f64();
        1.0 - until_first + share.per_s * elapsed
    }

    /// Fills the bucket up to now, given the present share. A gateway that becomes a sharer
    /// later begins with nothing: what its predecessor has just sent still counts.
    fn fill(&mut self, share: Option<Share>, now: Duration) {
        let elapsed = now.saturating_sub(self.filled_at).as_secs_f64();
        self.tokens = match (share, self.share, self.start.take()) {
            (Some(share), _, Some(start)) => Self::first_tokens(&share, start, now),
            (Some(_), Some(before), None) => self.tokens + before.per_s * elapsed,
            _ => 0.0,
        };
        let burst = share.map_or(0.0, |share| share.burst);
        self.tokens = self.tokens.min(burst + URGENT_RESERVE);
        (self.share, self.filled_at) = (share, now);
    }

    /// Returns whether a request that leaves `reserve` of a request's worth may be sent now.
    pub fn allows(&mut self, share: Option<Share>, reserve: f64, now: Duration) -> bool {
        self.fill(share, now);
        self.tokens >= 1.0 + reserve
    }

    /// Uses up a request's worth if a request that leaves `reserve` may be sent now; returns
    /// whether it may. The check and the use are one step, so that no other request gets between.
    #[must_use]
    pub fn take(&mut self, share: Option<Share>, reserve: f64, now: Duration) -> bool {
        let allowed = self.allows(share, reserve, now);
        if let Some(share) = share.filter(|_| allowed) {
            self.tokens = self.tokens.min(share.burst) - 1.0;
        }
        allowed
    }

    /// How long it takes until a request that leaves `reserve` may be sent; none if this gateway
    /// has no share.
    pub fn wait(&mut self, share: Option<Share>, reserve: f64, now: Duration) -> Option<Duration> {
        self.fill(share, now);
        let missing = (1.0 + reserve - self.tokens).max(0.0);
        Some(Duration::try_from_secs_f64(missing / share?.per_s).unwrap_or(Duration::MAX))
    }
}
