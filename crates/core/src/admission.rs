//! Admission control: which requests an entry instance accepts.
//!
//! A [`Limiter`] applies the request rates of teams and services with token
//! buckets, and the limit of concurrent requests per replica. A refused request
//! has not left the entry instance and has therefore not run. The caller gets
//! the delay after which to retry.

use std::collections::BTreeMap;
use std::time::Duration;

use cinderspoke_types::id::{Service, Team};

use crate::configuration::Configuration;

/// The retry delay when a service has reached its limit of concurrent requests.
pub const RETRY_WHEN_FULL: Duration = Duration::from_secs(1);

/// Whether a request is admitted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// The request is admitted. The caller calls [`Limiter::finish`] when it ends.
    Admit,
    /// The request is refused and has not run.
    Refuse {
        /// The limit that was reached.
        reason: Reason,
        /// The delay after which the caller may retry.
        retry_after: Duration,
    },
}

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub enum Reason {
    /// the team sends more requests a second than its limit
    TeamRate,
    /// the service gets more requests a second than its limit
    ServiceRate,
    /// as many requests of the service are in progress as its replicas may take
    ServiceFull,
}

/// A token bucket, with the rate in tokens per second.
// Invariant: holds at most the tokens of one second, or one token if the rate is lower.
#[derive(Debug, Clone)]
struct Bucket {
    rate: f64,
    tokens: f64,
    filled: Duration,
}

impl Bucket {
    fn new(rate: u32, now: Duration) -> Self {
        let rate = f64::from(rate);
        Self { rate, tokens: rate.max(1.0), filled: now }
    }

    fn fill(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.filled).as_secs_f64();
        self.tokens = (self.tokens + passed * self.rate).min(self.rate.max(1.0));
        self.filled = self.filled.max(now);
    }

    /// The time until a token is available; `None` if one is available now.
    fn wait(&mut self, now: Duration) -> Option<Duration> {
        self.fill(now);
        let missing = 1.0 - self.tokens;
        (missing > 0.0).then(|| Duration::from_secs_f64(missing / self.rate))
    }

    fn take(&mut self) {
        self.tokens -= 1.0;
    }
}

/// The limits of a service, with its requests in progress.
#[derive(Debug)]
struct ServiceLimit {
    in_progress: usize,
    per_replica: usize,
    bucket: Option<Bucket>,
}

/// The limits that an entry instance enforces, with their counters.
#[derive(Debug, Default)]
pub struct Limiter {
    teams: BTreeMap<Team, Bucket>,
    services: BTreeMap<Service, ServiceLimit>,
}

impl Limiter {
    /// Applies the limits of a configuration, keeping the counters.
    pub fn configure(&mut self, configuration: &Configuration, now: Duration) {
        let limited = configuration.teams.values().filter_map(|team| {
            let rate = team.requests_per_second?.get();
            Some((team.name.clone(), self.keep_bucket(self.teams.get(&team.name), rate, now)))
        });
        let teams = limited.collect();
        let service_limits = configuration.services.values().map(|service| {
            let limits = service.limits.clone().unwrap_or_default();
            let old = self.services.get(&service.name);
            let bucket = limits.requests_per_second.map(|rate| {
                self.keep_bucket(old.and_then(|limit| limit.bucket.as_ref()), rate.get(), now)
            });
            let in_progress = old.map_or(0, |limit| limit.in_progress);
            let per_replica = limits.concurrent.get() as usize;
            (service.name.clone(), ServiceLimit { in_progress, per_replica, bucket })
        });
        let services = service_limits.collect();
        (self.teams, self.services) = (teams, services);
    }

    /// Keeps the old bucket if the rate is the same, so that a new configuration refills no tokens.
    fn keep_bucket(&self, old: Option<&Bucket>, rate: u32, now: Duration) -> Bucket {
        let same = |bucket: &&Bucket| bucket.rate.to_bits() == f64::from(rate).to_bits();
        old.filter(same).cloned().unwrap_or_else(|| Bucket::new(rate, now))
    }

    /// Decides whether to admit a request of a team for a service with `replicas` replicas.
    pub fn admit(
        &mut self,
        team: &Team,
        service: &Service,
        replicas: usize,
        now: Duration,
    ) -> Decision {
        let team_bucket = self.teams.get_mut(team);
        let limit = self.services.get_mut(service);
        let full = limit
            .as_ref()
            .is_some_and(|limit| limit.in_progress >= limit.per_replica * replicas.max(1));
        if full {
            return Decision::Refuse { reason: Reason::ServiceFull, retry_after: RETRY_WHEN_FULL };
        }
        let mut service_bucket = None;
        if let Some(limit) = limit {
            service_bucket = limit.bucket.as_mut();
            limit.in_progress += 1;
        }
        let decision = Self::take_both(team_bucket, service_bucket, now);
        if decision != Decision::Admit {
            self.finish(service);
        }
        decision
    }

    /// Takes a token from each bucket, or none from either.
    fn take_both<'a>(
        team: Option<&'a mut Bucket>,
        service: Option<&'a mut Bucket>,
        now: Duration,
    ) -> Decision {
        let mut buckets = [(team, Reason::TeamRate), (service, Reason::ServiceRate)];
        for (bucket, reason) in &mut buckets {
            if let Some(retry_after) = bucket.as_mut().and_then(|bucket| bucket.wait(now)) {
                return Decision::Refuse { reason: *reason, retry_after };
            }
        }
        buckets.into_iter().filter_map(|(bucket, _)| bucket).for_each(Bucket::take);
        Decision::Admit
    }

    /// Records the end of an admitted request.
    pub fn finish(&mut self, service: &Service) {
        if let Some(limit) = self.services.get_mut(service) {
            limit.in_progress = limit.in_progress.saturating_sub(1);
        }
    }
}
