//! Decides which members of a service may get a request, whatever their load.
//!
//! [`Selector`] holds the inputs of one choice and returns the [`Eligible`] members as candidates
//! for the core. It also counts those that are [`Excluded`], and uses up what a chosen member may
//! be sent by its budgets.

use std::time::Duration;

use cinderspoke_core::gateway::catalog::Engine;
use cinderspoke_core::gateway::cold::{self, Bound};
use cinderspoke_core::gateway::health;
use cinderspoke_core::gateway::load::{self, Forecast, Load, forecast};
use cinderspoke_core::gateway::name::Endpoint;
use cinderspoke_core::gateway::pick::{Agent, Candidate};
use cinderspoke_core::gateway::quota::Fleet;
use cinderspoke_core::gateway::residency::Residency;
use cinderspoke_core::gateway::rollout::Version;
use cinderspoke_core::rendezvous::Key;

use super::context::Context;
use super::parse::Parsed;
use super::target::Tracking;
use super::view::{Member, View};

/// Expected service time of each outstanding request at an endpoint that is no model engine.
const PLAIN_SERVICE_TIME: Duration = Duration::from_millis(4);

/// Whether endpoints are eligible that are ejected, paused after a refusal, stalled or
/// unreachable.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Impaired {
    /// They are not eligible.
    Skip,
    /// They are eligible like all others.
    Include,
}

/// Which endpoints are considered for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Scope {
    /// Those whose agents report to this gateway.
    Subset,
    /// All; the agents of those that do not report to this gateway are queried first.
    All,
}

/// A member that may get the request.
pub(super) struct Eligible {
    /// As the core compares it.
    pub(super) candidate: Candidate,
    /// The version of weights that it would answer with.
    pub(super) version: Option<Version>,
    /// How much longer requests may begin on that version; none if it is not superseded.
    pub(super) version_left: Option<Duration>,
}

/// The version of weights that an endpoint would answer a request with.
enum Weights {
    /// Any: the request names no model, or the service is no model engine.
    Any,
    /// Only this version.
    Only(Version),
    /// The endpoint has no weights of the model, or accepts no requests for it.
    Missing,
}

/// How many endpoints may not get a request, by reason; one may count under several.
#[derive(Debug, Clone, Copy)]
pub struct Excluded {
    /// They are outside the allowed regions.
    pub outside_allowed_regions: usize,
    /// Their availability zones are evacuated.
    pub in_evacuated_zones: usize,
    /// They are cold and have received this gateway's share of their limit.
    pub cold: usize,
    /// They have received this gateway's share of the limit that they named.
    pub limited: usize,
}

/// The inputs of one choice.
pub(super) struct Selector<'a> {
    context: &'a Context,
    parsed: &'a Parsed,
    tried: &'a [Endpoint],
    view: &'a View,
    engine: Option<&'a Engine>,
    residency: Residency,
    // The limit of sends to cold endpoints; none if there is no limit.
    cold: Option<Bound>,
    // The part of a request's worth that is left in budgets for more urgent requests.
    reserve: f64,
    scope: Scope,
    now: Duration,
}

/// Returns where a request may be served: within the limits of the configuration under which it
/// was parsed and of the newest one.
fn residency(parsed: &Parsed, view: &View) -> Residency {
    let catalog = view.catalog.as_ref();
    let route = catalog.and_then(|catalog| catalog.route(&parsed.call.host, &parsed.call.path));
    let newer = catalog.zip(route);
    let newer = newer.map(|(catalog, route)| catalog.residency(route, parsed.call.key.as_deref()));
    parsed.residency.clone().and(newer.unwrap_or_default())
}

impl<'a> Selector<'a> {
    /// Collects the inputs of one choice; `tried` are the endpoints that were tried before.
    pub(super) fn new(
        context: &'a Context,
        parsed: &'a Parsed,
        view: &'a View,
        tried: &'a [Endpoint],
        scope: Scope,
    ) -> Self {
        Self {
            context,
            parsed,
            tried,
            view,
            engine: view.engine(&parsed.service),
            residency: residency(parsed, view),
            cold: context.state.cold_bound(view, &parsed.service),
            reserve: context.urgent_reserve(&parsed.service, parsed.priority),
            scope,
            now: context.clock.now(),
        }
    }

    /// The same inputs, with other endpoints that were tried before.
    pub(super) fn with_tried<'b>(&'b self, tried: &'b [Endpoint]) -> Selector<'b> {
        Selector { tried, residency: self.residency.clone(), ..*self }
    }

    /// Returns whether some members may get the request but for weights that they may lack.
    pub(super) fn may_miss_weights(&self, members: &[Member]) -> bool {
        self.engine.is_some() && members.iter().any(|member| self.is_allowed(member))
    }

    /// Returns the untried members that may get the request.
    pub(super) fn eligible(&self, members: &[Member], impaired: Impaired) -> Vec<Eligible> {
        let members = members.iter().enumerate();
        let untried = members.filter(|(_, member)| !self.tried.contains(&member.target.name));
        untried.filter_map(|(number, member)| self.check(number, member, impaired)).collect()
    }

    /// Returns the shortest remaining back-off among the members that could answer the request
    /// otherwise.
    pub(super) fn backoff_left(&self, members: &[Member]) -> Option<Duration> {
        let allowed = members.iter().filter(|member| self.is_allowed(member));
        let left = |member: &Member| {
            let mut tracking = member.target.tracking();
            let backoff_left = member.target.backoff_left(self.now);
            let left = backoff_left.or_else(|| self.limit_left(member, &mut tracking))?;
            (!matches!(self.weights(member, &tracking.load), Weights::Missing)).then_some(left)
        };
        allowed.filter_map(left).min()
    }

    /// Returns whether a member may get the request regardless of load: its availability zone is
    /// not evacuated, and its region is allowed.
    fn is_allowed(&self, member: &Member) -> bool {
        !member.is_evacuated && self.residency.allows(&member.region)
    }

    /// Counts the members that may not get the request regardless of load.
    pub(super) fn excluded(&self, members: &[Member]) -> Excluded {
        let count = |is_excluded: &dyn Fn(&Member) -> bool| {
            members.iter().filter(|member| is_excluded(member)).count()
        };
        Excluded {
            outside_allowed_regions: count(&|member| !self.residency.allows(&member.region)),
            in_evacuated_zones: count(&|member| member.is_evacuated),
            cold: count(&|member| self.is_at_cold_limit(member, &member.target.tracking())),
            limited: self.count_limited(members),
        }
    }

    /// Counts the members that may not get the request by the limits that they named.
    pub(super) fn count_limited(&self, members: &[Member]) -> usize {
        let limited = members.iter().filter(|member| member.target.is_limited());
        limited.filter(|member| self.is_at_limit(member, &mut member.target.tracking())).count()
    }

    /// Uses up what a member may be sent by its budgets, if the request may still be sent there;
    /// returns whether it may. The check and the use are one step under one lock.
    pub(super) fn claim(&self, member: &Member) -> bool {
        let mut tracking = member.target.tracking();
        if self.is_at_cold_limit(member, &tracking) {
            return false;
        }
        let claimed = !member.target.is_limited() || {
            let fleet = self.fleet(member);
            tracking.limit.take(fleet, self.reserve, self.now)
        };
        if claimed {
            tracking.sends.add(self.now);
        }
        claimed
    }

    /// The gateways that divide the budgets of a member.
    fn fleet(&self, member: &Member) -> Fleet {
        let endpoint = Key::of(member.target.name.as_str());
        Fleet::new(endpoint, self.context.state.key(), &self.view.other_keys)
    }

    /// Returns whether a member has received this gateway's share of the limit that it named.
    fn is_at_limit(&self, member: &Member, tracking: &mut Tracking) -> bool {
        member.target.is_limited()
            && !tracking.limit.allows(self.fleet(member), self.reserve, self.now)
    }

    /// Returns how long it takes until the request may be sent to a member that is at its limit.
    fn limit_left(&self, member: &Member, tracking: &mut Tracking) -> Option<Duration> {
        let is_at_limit = self.is_at_limit(member, tracking);
        is_at_limit.then(|| tracking.limit.wait(self.fleet(member), self.reserve, self.now))?
    }

    /// Returns whether a member is cold and has received this gateway's share of its limit.
    fn is_at_cold_limit(&self, member: &Member, tracking: &Tracking) -> bool {
        let Some(bound) = self.cold.filter(|_| member.target.is_cold(self.now)) else {
            return false;
        };
        let endpoint = Key::of(member.target.name.as_str());
        let share = bound.share(endpoint, self.context.state.key(), &self.view.other_keys);
        tracking.sends.count(cold::WINDOW, self.now) >= share
    }

    /// Returns a member as a candidate, if it is eligible; `number` is its index among all members.
    fn check(&self, number: usize, member: &Member, impaired: Impaired) -> Option<Eligible> {
        if !self.is_allowed(member) || !member.target.accepts_requests(self.now) {
            return None;
        }
        let mut tracking = member.target.tracking();
        if self.is_at_cold_limit(member, &tracking) || self.is_at_limit(member, &mut tracking) {
            return None;
        }
        let state = tracking.health.state(self.now);
        // Without reports, an endpoint whose agent reports to other gateways would look idle or
        // stalled.
        let has_report = tracking.load.report(self.now).is_some();
        let reports_elsewhere =
            self.engine.is_some() && !has_report && !member.target.reports_here();
        let is_unreachable = !reports_elsewhere && tracking.load.is_unreachable(self.now);
        let is_failing = is_unreachable || tracking.load.is_stalled(self.now);
        let is_impaired =
            state == health::State::Ejected || tracking.paused_until > self.now || is_failing;
        if is_impaired && impaired == Impaired::Skip {
            return None;
        }
        let version = match self.weights(member, &tracking.load) {
            Weights::Any => None,
            Weights::Only(version) => Some(version),
            Weights::Missing => return None,
        };
        let forecast = self.forecast(&tracking.load);
        // A missing first report says as little as a later gap: an instance that was unreachable
        // before this gateway started has never reported to it.
        let report = tracking.load.report(self.now);
        let (has_report, is_congested) =
            (report.is_some(), report.is_none_or(|report| report.is_congested));
        let version_left = version.and_then(|version| self.version_left(version, is_congested));
        if reports_elsewhere && impaired == Impaired::Skip && self.scope == Scope::Subset {
            return None;
        }
        let is_healthy = has_report && !is_failing && state == health::State::Healthy;
        // A request delayed on the way may begin long after the gateway has given it up, so a
        // version that expires soon is used only at endpoints known to be healthy.
        if version_left.is_some_and(|left| !is_healthy || left < forecast.ttft()) {
            return None;
        }
        let is_probe = state == health::State::ProbeDue;
        let age = tracking.load.report_age(self.now).unwrap_or_default();
        let service_time = self.engine.map_or(Duration::ZERO, load::service_time);
        let distance = member.distance;
        let agent = match self.agent(&tracking, has_report) {
            _ if reports_elsewhere && self.scope == Scope::All && impaired == Impaired::Skip => {
                Agent::NotReporting
            }
            agent => agent,
        };
        let candidate =
            Candidate { number, distance, forecast, age, service_time, is_probe, agent };
        Some(Eligible { candidate, version, version_left })
    }

    /// Returns the version that a member would answer with: as its agent reports, or else as the
    /// directory lists.
    fn weights(&self, member: &Member, load: &Load) -> Weights {
        let Some(model) = self.parsed.call.model.as_ref().filter(|_| self.engine.is_some()) else {
            return Weights::Any;
        };
        let version = match load.report(self.now) {
            Some(report) => report.version.filter(|_| report.accepts_requests),
            None => {
                let listed = member.entry.models.iter().find(|(name, _)| name == model);
                listed.map(|(_, version)| *version)
            }
        };
        version.map_or(Weights::Missing, Weights::Only)
    }

    /// Forecasts when an endpoint would begin to answer.
    fn forecast(&self, load: &Load) -> Forecast {
        let estimate = load.estimate(self.engine, self.view.gateways, self.now);
        match self.engine {
            Some(engine) => forecast(engine, &estimate, self.parsed.call.size),
            None => {
                let wait = PLAIN_SERVICE_TIME.saturating_mul(load.own_requests() as u32);
                Forecast { wait, ..Forecast::default() }
            }
        }
    }

    /// Returns whether an endpoint's agent can be queried, or has answered recently.
    fn agent(&self, tracking: &Tracking, has_report: bool) -> Agent {
        if self.engine.is_none() || !has_report || tracking.agent.is_none() {
            Agent::None
        } else if tracking.load.has_recent_answer(self.now) {
            Agent::Answered
        } else {
            Agent::Queryable
        }
    }

    /// Returns how much longer requests may begin on a version; none while it is the newest.
    fn version_left(&self, version: Version, is_congested: bool) -> Option<Duration> {
        let model = self.parsed.call.model.as_ref()?;
        self.context.state.version_time_left(model, version, is_congested)
    }
}
