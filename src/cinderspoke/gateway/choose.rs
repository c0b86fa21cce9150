//! Choosing the endpoint for a request's next send.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cinderspoke_core::gateway::attempt::{History, Outcome};
use cinderspoke_core::gateway::catalog::Engine;
use cinderspoke_core::gateway::cold::Bound;
use cinderspoke_core::gateway::health;
use cinderspoke_core::gateway::load::{self, Forecast, Load, forecast};
use cinderspoke_core::gateway::name::Endpoint;
use cinderspoke_core::gateway::pick::{Agent, BestCandidate, Candidate, Choice, Requirements};
use cinderspoke_core::gateway::reservation::{self, Step};
use cinderspoke_core::gateway::residency::Residency;
use cinderspoke_core::gateway::rollout::Version;
use cinderspoke_core::rendezvous::Key;
use http::Response;

use super::context::Context;
use super::parse::Parsed;
use super::query::release;
use super::record::Record;
use super::target::{Target, Tracking};
use super::view::{Member, View};

/// How long a plain service is expected to take before it answers, for each request that it has.
const PLAIN_TURN: Duration = Duration::from_millis(4);

/// An endpoint that was chosen for a send.
#[derive(Clone)]
pub struct Selected {
    /// The endpoint.
    pub target: Arc<Target>,
    /// The version of weights that it is to answer with.
    pub version: Option<Version>,
    /// How much longer that version may begin requests there; none for no end.
    pub version_left: Option<Duration>,
    /// When it should begin to answer.
    pub expected_ttfb: Duration,
    /// The number under which its agent keeps a place there, if it was asked.
    pub reservation: Option<u64>,
}

/// The sends of a request so far.
#[derive(Default)]
pub struct Attempts {
    /// What became of them.
    pub history: History,
    /// The endpoints that were tried.
    pub tried: Vec<Endpoint>,
    /// How many sends never left this process.
    pub unsent: u32,
    // Those of them to which a connection was silent; a new one may work.
    stale: Vec<Endpoint>,
    // An endpoint's own failure, to be passed on when nothing better comes.
    failure: Option<Response<Bytes>>,
}

impl Attempts {
    /// Takes in what became of the last send.
    pub fn record(&mut self, fate: Outcome) {
        self.history.record(fate);
        let last = self.tried.last();
        self.stale.retain(|name| Some(name) != last);
        if fate == Outcome::Stale {
            self.stale.extend(last.cloned());
        }
        if fate == Outcome::NotSent {
            self.unsent += 1;
        }
    }

    /// Takes in an endpoint's failure, which the caller gets if nothing better comes.
    pub fn failed(&mut self, failure: Option<Response<Bytes>>) {
        if failure.is_some() {
            self.failure = failure;
        }
    }

    /// The newest failure that an endpoint answered with.
    pub fn take_failure(&mut self) -> Option<Response<Bytes>> {
        self.failure.take()
    }

    /// Chooses an endpoint, or says when the caller is to come back. Under load, the agents
    /// of some endpoints are asked first what these hold.
    pub async fn choose(
        &self,
        context: &Context,
        parsed: &Parsed,
        record: &mut Record,
    ) -> Result<Selected, Duration> {
        let view = context.state.view();
        let members = view.members(&parsed.service);
        let mut search = reservation::Selection::default();
        let mut places: Vec<Place> = Vec::new();
        let mut reach = Reach::Subset;
        loop {
            let (prospects, wish) = self.look(context, parsed, &view, reach);
            let candidates: Vec<_> = prospects.iter().map(|prospect| prospect.candidate).collect();
            let choice = match search.next(&wish, &candidates) {
                Step::Done(choice) => choice,
                Step::Query(numbers) => {
                    let targets = numbers.iter().map(|number| Arc::clone(&members[*number].target));
                    let targets: Vec<_> = targets.collect();
                    let prompt = parsed.call.size.prompt;
                    let number =
                        context.state.queries().reserve(&targets, prompt, context.clock).await;
                    places.extend(targets.into_iter().map(|target| Place { target, number }));
                    continue;
                }
            };
            record.set_queried(search.queried());
            return match choice {
                Choice::Send { number, ttft: first } => {
                    let target = Arc::clone(&members[number].target);
                    target.tracking().sends.add(context.clock.now());
                    let reservation = settle(places, Some(&target), context);
                    let prospect = prospects.iter().find(|one| one.candidate.number == number);
                    let version = prospect.and_then(|prospect| prospect.version);
                    let version_left = prospect.and_then(|prospect| prospect.version_left);
                    let selected = Selected {
                        target,
                        version,
                        version_left,
                        expected_ttfb: first,
                        reservation,
                    };
                    record.selected(&selected, candidates.len());
                    Ok(selected)
                }
                Choice::Refuse { .. } if reach == Reach::Subset && self.is_more(members) => {
                    // No endpoint that reports here has room; others may.
                    reach = Reach::All;
                    search = reservation::Selection::default();
                    continue;
                }
                Choice::Refuse { retry_after: come_back, best } => {
                    settle(places, None, context);
                    let excluded = self.survey(context, parsed, &view, reach).excluded(members);
                    record.no_endpoint(Unavailable {
                        members: members.len(),
                        excluded,
                        candidates: candidates.len(),
                        best,
                    });
                    Err(come_back)
                }
            };
        }
    }

    /// Whether there are endpoints whose agents do not report here.
    fn is_more(&self, members: &[Member]) -> bool {
        let mut untried = members.iter().filter(|member| !self.tried.contains(&member.target.name));
        untried.any(|member| !member.target.reports_here())
    }

    /// The endpoints that may get the request, and what it asks of them.
    fn look(
        &self,
        context: &Context,
        parsed: &Parsed,
        view: &View,
        reach: Reach,
    ) -> (Vec<Prospect>, Requirements) {
        let survey = self.survey(context, parsed, view, reach);
        let members = view.members(&parsed.service);
        let mut options = survey.options(members, Avoided::LeftOut);
        if options.is_empty() {
            // Better one that failed lately than none.
            options = survey.options(members, Avoided::Included);
        }
        if options.is_empty() && !self.stale.is_empty() {
            let tried = self.tried.iter().filter(|name| !self.stale.contains(*name));
            let tried = &tried.cloned().collect::<Vec<_>>();
            let survey = Survey { tried, residency: survey.residency.clone(), ..survey };
            options = survey.options(members, Avoided::Included);
        }
        let wish = Requirements {
            weights_missing: survey.engine.is_some()
                && members.iter().any(|one| survey.is_allowed(one)),
            backoff_left: survey.backoff_left(members),
            competing_rate: context.competing_rate(&parsed.service, view.gateways),
            ..self.wish(context, parsed)
        };
        (options, wish)
    }

    /// What one choice looks at now.
    fn survey<'a>(
        &'a self,
        context: &'a Context,
        parsed: &'a Parsed,
        view: &'a View,
        reach: Reach,
    ) -> Survey<'a> {
        Survey {
            context,
            parsed,
            tried: &self.tried,
            view,
            engine: view.engine(&parsed.service),
            residency: residency(parsed, view),
            cold: context.state.cold_bound(view, &parsed.service),
            reach,
            now: context.clock.now(),
        }
    }

    /// What the request asks of an endpoint now.
    fn wish(&self, context: &Context, parsed: &Parsed) -> Requirements {
        let waited = parsed.waited + context.clock.now().saturating_sub(parsed.arrived);
        Requirements {
            ttft_target: parsed.route.target,
            target_left: parsed.route.target.saturating_sub(waited),
            time_left: parsed.deadline.left(),
            sent_before: self.history.sends() > 0,
            weights_missing: false,
            backoff_left: None,
            competing_rate: 0.0,
            seed: Key::of(parsed.call.id.as_str()).as_u64(),
        }
    }
}

/// A place that was asked for, under a number.
struct Place {
    target: Arc<Target>,
    number: u64,
}

/// Gives all places back but the one at the endpoint that was chosen; gives its number.
fn settle(places: Vec<Place>, chosen: Option<&Arc<Target>>, context: &Context) -> Option<u64> {
    let mut kept = None;
    for Place { target, number } in places {
        if chosen.is_some_and(|chosen| Arc::ptr_eq(chosen, &target)) {
            kept = Some(number);
        } else {
            release(&target, number, &context.state);
        }
    }
    kept
}

/// What is done about endpoints that fail, rest or cannot be reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Avoided {
    /// They get nothing.
    LeftOut,
    /// They are asked like all others.
    Included,
}

/// How far an endpoint for a request is looked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Reach {
    /// Among those whose agents report here.
    Subset,
    /// Among all; those whose agents do not report here are asked first.
    All,
}

/// An endpoint that may get the request.
struct Prospect {
    candidate: Candidate,
    version: Option<Version>,
    version_left: Option<Duration>,
}

/// Which version of weights a request is to be answered with.
enum Weights {
    /// The request is for no model, or the service has none.
    Any,
    /// This version only.
    Only(Version),
    /// The endpoint has none that fits.
    Unfit,
}

/// How many endpoints may not get a request, by what bars them.
#[derive(Debug, Clone, Copy)]
pub struct Excluded {
    /// They are outside the regions where it may be served.
    pub outside_allowed_regions: usize,
    /// Their availability zones are emptied.
    pub in_evacuated_zones: usize,
    /// They are cold, and were sent this gateway's share.
    pub cold: usize,
}

/// Why no endpoint was chosen.
#[derive(Debug, Clone, Copy)]
pub struct Unavailable {
    /// How many endpoints the service has.
    pub members: usize,
    /// How many of them may not get the request.
    pub excluded: Excluded,
    /// How many could have taken it.
    pub candidates: usize,
    /// Why the best of these is not good enough.
    pub best: Option<BestCandidate>,
}

/// What one choice looks at.
struct Survey<'a> {
    context: &'a Context,
    parsed: &'a Parsed,
    tried: &'a [Endpoint],
    view: &'a View,
    engine: Option<&'a Engine>,
    residency: Residency,
    // Of cold endpoints; none without a bound.
    cold: Option<Bound>,
    reach: Reach,
    now: Duration,
}

/// Where a request may be served: a configuration that has come since it was read binds it too.
fn residency(parsed: &Parsed, view: &View) -> Residency {
    let catalog = view.catalog.as_ref();
    let route = catalog.and_then(|catalog| catalog.route(&parsed.call.host, &parsed.call.path));
    let newer = catalog.zip(route);
    let newer = newer.map(|(catalog, route)| catalog.residency(route, parsed.call.key.as_deref()));
    parsed.residency.clone().and(newer.unwrap_or_default())
}

impl Survey<'_> {
    /// The members that may get the request, each with its place among all members.
    fn options(&self, members: &[Member], avoided: Avoided) -> Vec<Prospect> {
        let members = members.iter().enumerate();
        let untried = members.filter(|(_, member)| !self.tried.contains(&member.target.name));
        untried.filter_map(|(number, member)| self.option(number, member, avoided)).collect()
    }

    /// After how long the first of those members takes requests again that could answer
    /// this one but rest.
    fn backoff_left(&self, members: &[Member]) -> Option<Duration> {
        let allowed = members.iter().filter(|member| self.is_allowed(member));
        let left = |member: &Member| {
            let left = member.target.backoff_left(self.now)?;
            let tracking = member.target.tracking();
            (!matches!(self.weights(member, &tracking.load), Weights::Unfit)).then_some(left)
        };
        allowed.filter_map(left).min()
    }

    /// Whether a member may get the request whatever it is busy with: its zone is not emptied,
    /// and the request may be served in its region.
    fn is_allowed(&self, member: &Member) -> bool {
        !member.is_evacuated && self.residency.allows(&member.region)
    }

    /// How many members may not get the request, whatever they are busy with.
    fn excluded(&self, members: &[Member]) -> Excluded {
        let count = |is_barred: &dyn Fn(&Member) -> bool| {
            members.iter().filter(|member| is_barred(member)).count()
        };
        Excluded {
            outside_allowed_regions: count(&|member| !self.residency.allows(&member.region)),
            in_evacuated_zones: count(&|member| member.is_evacuated),
            cold: count(&|member| self.is_spent(member, &member.target.tracking())),
        }
    }

    /// Whether a member is cold and was sent this gateway's share of what it bears.
    fn is_spent(&self, member: &Member, tracking: &Tracking) -> bool {
        let Some(bound) = self.cold.filter(|_| member.target.is_cold(self.now)) else {
            return false;
        };
        let endpoint = Key::of(member.target.name.as_str());
        let share = bound.share(endpoint, self.context.state.key(), &self.view.other_keys);
        tracking.sends.count(self.now) >= share
    }

    /// A member as a prospect, if it is one.
    fn option(&self, number: usize, member: &Member, avoided: Avoided) -> Option<Prospect> {
        if !self.is_allowed(member) || !member.target.accepts_requests(self.now) {
            return None;
        }
        let tracking = member.target.tracking();
        if self.is_spent(member, &tracking) {
            return None;
        }
        let state = tracking.health.state(self.now);
        // One whose agent reports to others looks as if it had nothing to do, or stood still.
        let is_heard = tracking.load.report(self.now).is_some();
        let is_beyond = self.engine.is_some() && !is_heard && !member.target.reports_here();
        let is_away = !is_beyond && tracking.load.is_unreachable(self.now);
        let stands = is_away || tracking.load.is_stalled(self.now);
        let avoid = state == health::State::Ejected || tracking.paused_until > self.now || stands;
        if avoid && avoided == Avoided::LeftOut {
            return None;
        }
        let version = match self.weights(member, &tracking.load) {
            Weights::Any => None,
            Weights::Only(version) => Some(version),
            Weights::Unfit => return None,
        };
        let forecast = self.forecast(&tracking.load);
        // Silence from the start tells as little as silence since: an instance that
        // was out of reach before this gateway started has never reported here.
        let report = tracking.load.report(self.now);
        let (heard, narrow) = (report.is_some(), report.is_none_or(|report| report.is_congested));
        let version_left = version.and_then(|version| self.version_left(version, narrow));
        if is_beyond && avoided == Avoided::LeftOut && self.reach == Reach::Subset {
            return None;
        }
        let well = heard && !stands && state == health::State::Healthy;
        // What is held up on the way may begin long after it was given up.
        if version_left.is_some_and(|left| !well || left < forecast.ttft()) {
            return None;
        }
        let trial = state == health::State::ProbeDue;
        let age = tracking.load.report_age(self.now).unwrap_or_default();
        let turn = self.engine.map_or(Duration::ZERO, load::service_time);
        let distance = member.distance;
        let agent = match self.agent(&tracking, heard) {
            _ if is_beyond && self.reach == Reach::All && avoided == Avoided::LeftOut => {
                Agent::NotReporting
            }
            agent => agent,
        };
        let candidate = Candidate {
            number,
            distance,
            forecast,
            age,
            service_time: turn,
            is_probe: trial,
            agent,
        };
        Some(Prospect { candidate, version, version_left })
    }

    /// The version that a member would answer with: as its agent reports, or
    /// else as it is listed.
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
        version.map_or(Weights::Unfit, Weights::Only)
    }

    /// When an endpoint should begin to answer.
    fn forecast(&self, load: &Load) -> Forecast {
        let estimate = load.estimate(self.engine, self.view.gateways, self.now);
        match self.engine {
            Some(engine) => forecast(engine, &estimate, self.parsed.call.size),
            None => {
                let wait = PLAIN_TURN.saturating_mul(load.own_requests() as u32);
                Forecast { wait, ..Forecast::default() }
            }
        }
    }

    /// What is to be had from an endpoint's agent, which was heard of lately or not.
    fn agent(&self, tracking: &Tracking, heard: bool) -> Agent {
        if self.engine.is_none() || !heard || tracking.agent.is_none() {
            Agent::None
        } else if tracking.load.has_recent_answer(self.now) {
            Agent::Answered
        } else {
            Agent::Queryable
        }
    }

    /// How much longer a version may begin requests; none while it is the newest.
    fn version_left(&self, version: Version, narrow: bool) -> Option<Duration> {
        let model = self.parsed.call.model.as_ref()?;
        self.context.state.version_time_left(model, version, narrow)
    }
}
