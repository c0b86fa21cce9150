//! Admission: which requests an entry instance takes in.
//!
//! A request that is refused here has not left the entry instance: it has not
//! run. The caller learns at once when to come back.

use std::collections::BTreeMap;
use std::time::Duration;

use cinderspoke_types::id::{Service, Team};

use crate::configuration::Configuration;

/// How long a caller stays away when all places are taken.
pub const RETRY_WHEN_FULL: Duration = Duration::from_secs(1);

/// What becomes of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// It is taken in; [`Limiter::finish`] is due when it ends.
    Admit,
    /// It is refused and has not run.
    Refuse {
        /// Why.
        reason: Reason,
        /// When to come back.
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

/// A bucket of tokens that fills up at a steady rate.
// Invariant: holds at most one second's tokens.
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

    /// How long until a token is there; `None` when one is.
    fn wait(&mut self, now: Duration) -> Option<Duration> {
        self.fill(now);
        let missing = 1.0 - self.tokens;
        (missing > 0.0).then(|| Duration::from_secs_f64(missing / self.rate))
    }

    fn take(&mut self) {
        self.tokens -= 1.0;
    }
}

#[derive(Debug)]
struct Lane {
    in_progress: usize,
    per_replica: usize,
    bucket: Option<Bucket>,
}

/// The limits of an entry instance, with what they count.
#[derive(Debug, Default)]
pub struct Limiter {
    teams: BTreeMap<Team, Bucket>,
    services: BTreeMap<Service, Lane>,
}

impl Limiter {
    /// Takes in a configuration's limits, keeping what is counted.
    pub fn configure(&mut self, configuration: &Configuration, now: Duration) {
        let limited = configuration.teams.values().filter_map(|team| {
            let rate = team.requests_per_second?.get();
            Some((team.name.clone(), self.keep_bucket(self.teams.get(&team.name), rate, now)))
        });
        let teams = limited.collect();
        let lanes = configuration.services.values().map(|service| {
            let limits = service.limits.clone().unwrap_or_default();
            let old = self.services.get(&service.name);
            let bucket = limits.requests_per_second.map(|rate| {
                self.keep_bucket(old.and_then(|lane| lane.bucket.as_ref()), rate.get(), now)
            });
            let in_progress = old.map_or(0, |lane| lane.in_progress);
            let per_replica = limits.concurrent.get() as usize;
            (service.name.clone(), Lane { in_progress, per_replica, bucket })
        });
        let services = lanes.collect();
        (self.teams, self.services) = (teams, services);
    }

    /// The old bucket where the rate is the same, so that a new configuration refills nothing.
    fn keep_bucket(&self, old: Option<&Bucket>, rate: u32, now: Duration) -> Bucket {
        let same = |bucket: &&Bucket| bucket.rate.to_bits() == f64::from(rate).to_bits();
        old.filter(same).cloned().unwrap_or_else(|| Bucket::new(rate, now))
    }

    /// Decides on a request of a team for a service with so many replicas.
    pub fn admit(
        &mut self,
        team: &Team,
        service: &Service,
        replicas: usize,
        now: Duration,
    ) -> Decision {
        let team_bucket = self.teams.get_mut(team);
        let lane = self.services.get_mut(service);
        let full = lane
            .as_ref()
            .is_some_and(|lane| lane.in_progress >= lane.per_replica * replicas.max(1));
        if full {
            return Decision::Refuse { reason: Reason::ServiceFull, retry_after: RETRY_WHEN_FULL };
        }
        let mut service_bucket = None;
        if let Some(lane) = lane {
            service_bucket = lane.bucket.as_mut();
            lane.in_progress += 1;
        }
        let refused = Self::take_both(team_bucket, service_bucket, now);
        if refused != Decision::Admit {
            self.finish(service);
        }
        refused
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

    /// Takes in that an admitted request has ended.
    pub fn finish(&mut self, service: &Service) {
        if let Some(lane) = self.services.get_mut(service) {
            lane.in_progress = lane.in_progress.saturating_sub(1);
        }
    }
}
