//! Reservations at endpoints: gateways query agents for capacity before they send, and agents
//! reserve it for a short time.
//!
//! Reports are some hundred milliseconds old. If demand exceeds capacity, all gateways that have
//! received the same report send to the same endpoint, and their requests are answered late. So
//! under load a gateway queries the agents of some endpoints for their present load. An agent
//! counts each query as a reservation until the gateway says that it has decided, so that the
//! next query takes it into account.
//!
//! - [`Table`] holds an agent's reservations. A reservation is used, released, or expires.
//! - [`Selection`] selects the endpoint for one request: by reports, by answers to queries, or
//!   none.
//! - [`Pending`] holds a gateway's queries at one endpoint that it has not decided on.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::pick::{
    Agent, Candidate, Choice, Requirements, best_by_report, cheapest, cost_of_usual, limit, pick,
    refusal, sample, shed,
};
use super::tally::Outstanding;

/// How long a reservation lasts without a decision of its gateway: a round trip over a slow link
/// and the time that the gateway needs to decide and to send its decision.
const RESERVATION_TIMEOUT: Duration = Duration::from_millis(60);

/// Upper bound on the reservations at one endpoint, far above the capacity of any endpoint.
const MAX_RESERVATIONS: usize = 256;

/// Number of endpoints that are queried at a time: the best of the sampled ones, so that gateways
/// with the same information query different endpoints.
const QUERIED: usize = 3;
/// Number of endpoints that are sampled for a round of queries.
const SAMPLED: usize = 6;

/// Number of rounds of queries for one request. A refusal requires more evidence than a choice,
/// and each round uses up a part of the time that is left to the target.
const MAX_ROUNDS: usize = 2;

/// Fraction of the limit up to which an endpoint is chosen by its report alone: it has so much
/// capacity that other gateways with the same report do not fill it up.
const REPORT_SUFFICES: f64 = 0.5;

/// How long an answer to a query is valid: the timeouts of two queries, and late answers.
pub(super) const ANSWER_VALIDITY: Duration = Duration::from_millis(50);

/// A reservation at an endpoint for one gateway.
#[derive(Debug, Clone, Copy)]
struct Reservation {
    gateway: SocketAddr,
    // When the gateway sent the query, by the gateway's clock.
    queried: Duration,
    // The prompt tokens of the request that it is for.
    prompt: u32,
    // When it expires, by the agent's clock.
    until: Duration,
}

/// The reservations at an endpoint, kept by its agent.
// Invariant: at most `MAX_RESERVATIONS` reservations.
#[derive(Debug, Default)]
pub struct Table {
    reservations: Vec<Reservation>,
}

impl Table {
    /// Adds a reservation for a query that a gateway sent at `queried` by its own clock. Does
    /// nothing if the table is full.
    pub fn reserve(&mut self, gateway: SocketAddr, queried: Duration, prompt: u32, now: Duration) {
        self.reservations.retain(|reservation| reservation.until > now);
        if self.reservations.len() < MAX_RESERVATIONS {
            let until = now + RESERVATION_TIMEOUT;
            self.reservations.push(Reservation { gateway, queried, prompt, until });
        }
    }

    /// Releases the reservations of a gateway for queries that it sent before a time by its own
    /// clock. Those that it has used are among its outstanding requests from now on.
    pub fn release_before(&mut self, gateway: SocketAddr, before: Duration) {
        self.reservations.retain(|it| it.gateway != gateway || it.queried >= before);
    }

    /// The reservations of all gateways but one, counted as outstanding requests.
    #[must_use]
    pub fn others(&self, gateway: SocketAddr, now: Duration) -> Outstanding {
        let others = self.reservations.iter().filter(|it| it.gateway != gateway && it.until > now);
        others.fold(Outstanding::default(), |sum, reservation| {
            sum.plus(Outstanding { requests: 1, waiting: 1, unread: reservation.prompt })
        })
    }
}

/// The queries of a gateway at one endpoint that it has not decided on: the time of each, by
/// number.
#[derive(Debug, Default)]
pub struct Pending(BTreeMap<u64, Duration>);

impl Pending {
    /// Records that a query was sent.
    pub fn record_query(&mut self, number: u64, now: Duration) {
        self.0.insert(number, now);
    }

    /// Records that the gateway has used or released the reservation of a query.
    pub fn resolve(&mut self, number: u64) {
        self.0.remove(&number);
    }

    /// The time before which all queries are decided on or their reservations have expired.
    pub fn resolved_before(&mut self, now: Duration) -> Duration {
        self.0.retain(|_, queried| *queried + RESERVATION_TIMEOUT > now);
        self.0.values().copied().min().unwrap_or(now)
    }
}

/// The next step of a selection.
#[derive(Debug, Clone, PartialEq)]
pub enum Step {
    /// Query the agents of these endpoints.
    Query(Vec<usize>),
    /// Send the request to an endpoint, or refuse it.
    Done(Choice),
}

/// The selection of an endpoint for one request.
#[derive(Debug, Clone, Default)]
// Invariant: `rounds` is at most `MAX_ROUNDS`, and `queried` names no endpoint twice.
pub struct Selection {
    rounds: usize,
    queried: Vec<usize>,
}

impl Selection {
    /// Number of endpoints that were queried.
    #[must_use]
    pub fn queried(&self) -> usize {
        self.queried.len()
    }

    /// The next step, given the present state of the candidates. The forecasts of endpoints
    /// whose agents have answered are based on the answers.
    pub fn next(&mut self, requirements: &Requirements, candidates: &[Candidate]) -> Step {
        let known = with_known_load(candidates);
        let no_agent = candidates.iter().all(|candidate| candidate.agent == Agent::None);
        if no_agent || (requirements.sent_before && !known.is_empty()) {
            return Step::Done(pick(requirements, &known));
        }
        if self.rounds == 0
            && let Some(refused) = shed(requirements, &known)
        {
            return Step::Done(refused);
        }
        let limit = limit(requirements);
        if let Some(found) = self.find(requirements, limit, candidates) {
            return Step::Done(found);
        }
        let next = self.next_queried(requirements, candidates);
        if self.rounds == MAX_ROUNDS || next.is_empty() {
            return Step::Done(self.conclude(requirements, candidates));
        }
        self.rounds += 1;
        self.queried.extend(&next);
        Step::Query(next)
    }

    /// The endpoint that has capacity, by reports in the first round and by answers afterwards.
    fn find(
        &self,
        requirements: &Requirements,
        limit: Duration,
        candidates: &[Candidate],
    ) -> Option<Choice> {
        let found = if self.rounds == 0 {
            best_by_report(requirements, REPORT_SUFFICES, &with_known_load(candidates))
        } else {
            cheapest(requirements, limit, self.answered(candidates))
        };
        found.map(|found| found.chosen())
    }

    /// The queried endpoints whose agents have answered.
    fn answered<'a>(&'a self, candidates: &'a [Candidate]) -> impl Iterator<Item = &'a Candidate> {
        let queried =
            candidates.iter().filter(|candidate| self.queried.contains(&candidate.number));
        queried.filter(|candidate| candidate.agent == Agent::Answered)
    }

    /// The endpoints to be queried next: the best of a sample.
    fn next_queried(&self, requirements: &Requirements, candidates: &[Candidate]) -> Vec<usize> {
        let left = candidates.iter().filter(|candidate| {
            candidate.agent != Agent::None && !self.queried.contains(&candidate.number)
        });
        let left: Vec<Candidate> = left.copied().collect();
        let mut sampled = sample(requirements.seed, &left, SAMPLED);
        sampled.sort_by_key(|candidate| (cost_of_usual(requirements, candidate), candidate.number));
        sampled.truncate(QUERIED);
        sampled.iter().map(|candidate| candidate.number).collect()
    }

    /// The choice if no queried endpoint has capacity. If no agent has answered, there is no
    /// evidence of that, and reports decide.
    fn conclude(&self, requirements: &Requirements, candidates: &[Candidate]) -> Choice {
        if self.answered(candidates).next().is_some() {
            refusal(requirements, limit(requirements), self.answered(candidates))
        } else {
            pick(requirements, &with_known_load(candidates))
        }
    }
}

/// The candidates whose load is known without a query.
fn with_known_load(candidates: &[Candidate]) -> Vec<Candidate> {
    candidates.iter().filter(|candidate| candidate.agent != Agent::NotReporting).copied().collect()
}
