//! Chooses the endpoint for the next attempt of a request.
//!
//! [`Attempts`] collects the attempts of one request. Its `choose` determines which members of the
//! service are eligible now, has the core compare them, queries agents for reservations if the
//! core asks for that, and returns a [`Selected`] endpoint. [`eligible`](super::eligible) decides
//! which members may get a request.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cinderspoke_core::gateway::attempt::{Guarantee, History, Next, Outcome};
use cinderspoke_core::gateway::name::Endpoint;
use cinderspoke_core::gateway::pick::{BestCandidate, Choice, Requirements};
use cinderspoke_core::gateway::reservation::{self, Step};
use cinderspoke_core::gateway::rollout::Version;
use cinderspoke_core::gateway::shedding::Protected;
use cinderspoke_core::rendezvous::Key;
use http::Response;

use super::context::Context;
use super::eligible::{Eligible, Excluded, Impaired, Scope, Selector};
use super::parse::Parsed;
use super::query::release;
use super::record::Record;
use super::target::Target;
use super::view::{Member, View};

/// An endpoint selected for an attempt.
#[derive(Clone)]
pub struct Selected {
    /// The endpoint.
    pub target: Arc<Target>,
    /// The version of weights that the endpoint is to answer with.
    pub version: Option<Version>,
    /// How much longer requests may begin on that version; none if it is not superseded.
    pub version_left: Option<Duration>,
    /// The expected time until the endpoint begins to answer.
    pub expected_ttft: Duration,
    /// The number of the reservation at its agent, if the agent was queried.
    pub reservation: Option<u64>,
    /// Its position among the attempts of the request.
    pub position: Position,
}

/// The position of an attempt among those of its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Position {
    /// No other attempt may have run, and none may follow it if no answer arrives.
    Only,
    /// Another attempt may follow it if no answer arrives.
    Followed,
    /// Another attempt may have run, and none may follow this one if no answer arrives.
    Last,
}

/// The attempts of a request so far.
#[derive(Default)]
pub struct Attempts {
    /// Their outcomes.
    pub history: History,
    /// The endpoints that were tried, in order.
    pub tried: Vec<Endpoint>,
    /// How many attempts were never sent.
    pub unsent: u32,
    // Endpoints to which a reused connection got no answer; a new connection may work.
    stale: Vec<Endpoint>,
    // The last failure response of an endpoint, forwarded if no attempt succeeds.
    failure: Option<Response<Bytes>>,
}

impl Attempts {
    /// Records the outcome of the last attempt.
    pub fn record(&mut self, outcome: Outcome) {
        self.history.record(outcome);
        let last = self.tried.last();
        self.stale.retain(|name| Some(name) != last);
        if outcome == Outcome::Stale {
            self.stale.extend(last.cloned());
        }
        if outcome == Outcome::NotSent {
            self.unsent += 1;
        }
    }

    /// Keeps an endpoint's failure response, which the caller gets if no attempt succeeds.
    pub fn failed(&mut self, failure: Option<Response<Bytes>>) {
        if failure.is_some() {
            self.failure = failure;
        }
    }

    /// Takes the last failure response of an endpoint.
    pub fn take_failure(&mut self) -> Option<Response<Bytes>> {
        self.failure.take()
    }

    /// Selects an endpoint. Under load, the agents of some endpoints are queried first.
    ///
    /// # Errors
    ///
    /// The retry delay for the caller, if no endpoint can take the request.
    pub async fn choose(
        &self,
        context: &Context,
        parsed: &Parsed,
        record: &mut Record,
    ) -> Result<Selected, Duration> {
        let view = context.state.view();
        let members = view.members(&parsed.service);
        let mut search = reservation::Selection::default();
        let mut reservations: Vec<Reservation> = Vec::new();
        let mut scope = Scope::Subset;
        loop {
            let (eligible, requirements) = self.eligible(context, parsed, &view, scope);
            let candidates: Vec<_> = eligible.iter().map(|member| member.candidate).collect();
            let choice = match search.next(&requirements, &candidates) {
                Step::Done(choice) => choice,
                Step::Query(numbers) => {
                    let targets = numbers.iter().map(|number| Arc::clone(&members[*number].target));
                    let targets: Vec<_> = targets.collect();
                    let prompt = parsed.call.size.prompt;
                    let number =
                        context.state.queries().reserve(&targets, prompt, context.clock).await;
                    let reserved = targets.into_iter().map(|target| Reservation { target, number });
                    reservations.extend(reserved);
                    continue;
                }
            };
            record.set_queried(search.queried());
            let selector = self.selector(context, parsed, &view, scope);
            let limited = selector.count_limited(members);
            return match choice {
                Choice::Send { number, .. } if !selector.claim(&members[number]) => {
                    // Another request has just used up what the endpoint may be sent.
                    continue;
                }
                Choice::Send { number, ttft } => {
                    let target = Arc::clone(&members[number].target);
                    record.add_limited(limited);
                    let reservation = release_others(reservations, Some(&target), context);
                    context.record_admitted(&parsed.service, requirements.rank);
                    let member = eligible.iter().find(|member| member.candidate.number == number);
                    let version = member.and_then(|member| member.version);
                    let version_left = member.and_then(|member| member.version_left);
                    let selected = Selected {
                        target,
                        version,
                        version_left,
                        expected_ttft: ttft,
                        reservation,
                        position: self.position(parsed, members, number),
                    };
                    record.selected(&selected, candidates.len());
                    Ok(selected)
                }
                Choice::Refuse { shed: None, .. }
                    if scope == Scope::Subset && self.has_unreported(members) =>
                {
                    // No endpoint that reports to this gateway has capacity; others may have.
                    scope = Scope::All;
                    search = reservation::Selection::default();
                    continue;
                }
                Choice::Refuse { retry_after, best, shed } => {
                    release_others(reservations, None, context);
                    if best.is_some() {
                        context.record_refused(&parsed.service, requirements.rank);
                    }
                    let excluded = selector.excluded(members);
                    record.add_limited(limited);
                    record.no_endpoint(Unavailable {
                        members: members.len(),
                        excluded,
                        candidates: candidates.len(),
                        best,
                        shed,
                        protected: requirements.protected,
                    });
                    Err(retry_after)
                }
            };
        }
    }

    /// Returns the position of the next attempt, at the member with a number.
    fn position(&self, parsed: &Parsed, members: &[Member], number: usize) -> Position {
        let mut after = self.history;
        after.record(Outcome::Lost);
        let repeatable = parsed.route.kind.repeatable();
        let is_other = |(other, member): (usize, &Member)| {
            other != number && !self.tried.contains(&member.target.name)
        };
        let has_other = members.iter().enumerate().any(is_other);
        match after.next(repeatable, parsed.route.attempts, has_other) {
            Next::Retry => Position::Followed,
            Next::End(_) if self.history.guarantee() == Guarantee::NotRun => Position::Only,
            Next::End(_) => Position::Last,
        }
    }

    /// Returns whether untried endpoints exist whose agents do not report to this gateway.
    fn has_unreported(&self, members: &[Member]) -> bool {
        let mut untried = members.iter().filter(|member| !self.tried.contains(&member.target.name));
        untried.any(|member| !member.target.reports_here())
    }

    /// Returns the endpoints that may get the request, and its requirements.
    fn eligible(
        &self,
        context: &Context,
        parsed: &Parsed,
        view: &View,
        scope: Scope,
    ) -> (Vec<Eligible>, Requirements) {
        let selector = self.selector(context, parsed, view, scope);
        let members = view.members(&parsed.service);
        let mut eligible = selector.eligible(members, Impaired::Skip);
        if eligible.is_empty() {
            // An endpoint that failed recently is better than none.
            eligible = selector.eligible(members, Impaired::Include);
        }
        if eligible.is_empty() && !self.stale.is_empty() {
            let tried = self.tried.iter().filter(|name| !self.stale.contains(*name));
            let tried = &tried.cloned().collect::<Vec<_>>();
            eligible = selector.with_tried(tried).eligible(members, Impaired::Include);
        }
        let requirements = Requirements {
            weights_missing: selector.may_miss_weights(members),
            backoff_left: selector.backoff_left(members),
            competing_rate: context.competing_rate(&parsed.service, view.gateways),
            ..self.requirements(context, parsed)
        };
        (eligible, requirements)
    }

    /// Collects the inputs of one choice.
    fn selector<'a>(
        &'a self,
        context: &'a Context,
        parsed: &'a Parsed,
        view: &'a View,
        scope: Scope,
    ) -> Selector<'a> {
        Selector::new(context, parsed, view, &self.tried, scope)
    }

    /// Returns the requirements of the request that do not depend on the members.
    fn requirements(&self, context: &Context, parsed: &Parsed) -> Requirements {
        let waited = parsed.waited + context.clock.now().saturating_sub(parsed.arrived);
        let rank = parsed.rank();
        let is_first_send = self.history.sends() == 0;
        let protected = if is_first_send { context.protected(&parsed.service, rank) } else { None };
        Requirements {
            ttft_target: parsed.route.target,
            target_left: parsed.route.target.saturating_sub(waited),
            time_left: parsed.deadline.left(),
            sent_before: self.history.sends() > 0,
            weights_missing: false,
            backoff_left: None,
            competing_rate: 0.0,
            rank,
            protected,
            seed: Key::of(parsed.call.id.as_str()).as_u64(),
        }
    }
}

/// A reservation that was requested from an endpoint's agent, under a number.
struct Reservation {
    target: Arc<Target>,
    number: u64,
}

/// Releases all reservations except the one at the selected endpoint; returns its number.
fn release_others(
    reservations: Vec<Reservation>,
    selected: Option<&Arc<Target>>,
    context: &Context,
) -> Option<u64> {
    let mut kept = None;
    for Reservation { target, number } in reservations {
        if selected.is_some_and(|selected| Arc::ptr_eq(selected, &target)) {
            kept = Some(number);
        } else {
            release(&target, number, &context.state);
        }
    }
    kept
}

/// Why no endpoint was selected.
#[derive(Debug, Clone, Copy)]
pub struct Unavailable {
    /// How many endpoints the service has.
    pub members: usize,
    /// How many of them are excluded.
    pub excluded: Excluded,
    /// How many were eligible in the last round.
    pub candidates: usize,
    /// The best of these and the limit that it exceeds, if there is one.
    pub best: Option<BestCandidate>,
    /// The fraction of the endpoints that have room for higher ranks, if the request was shed.
    pub shed: Option<f64>,
    /// The ranks for which the request had to leave room.
    pub protected: Option<Protected>,
}
