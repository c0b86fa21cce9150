//! Places at endpoints: asked for by gateways before they send, kept by agents for a moment.
//!
//! Reports are some hundred milliseconds old. While more is asked than can be served, all
//! gateways that were told of the same room send there, and what they send comes late. So
//! under load a gateway asks the agents of some endpoints what these hold now. An agent that
//! is asked counts a place as taken for the gateway, until it says what it has decided:
//! whoever asks next knows of it.
//!
//! - [`Table`] is what an agent keeps: a place is handed out, and then used, given back or
//!   lapsed.
//! - [`Selection`] is one request's way to a place: sent by reports, asked for, refused.
//! - [`Pending`] is what a gateway has asked of an endpoint and not decided on.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::pick::{
    Agent, Candidate, Choice, Requirements, cheapest, cost_of_usual, draw, easy, limit, pick,
    refusal,
};
use super::tally::Outstanding;

/// How long a place is kept for a gateway that says no more: the way there and back over a
/// slow link, and what the gateway needs to decide and to tell.
const KEPT: Duration = Duration::from_millis(60);

/// The most places that are kept at one endpoint: far more than any has room for.
const MOST_KEPT: usize = 256;

/// How many endpoints are asked at a time, and out of how many drawn ones: the best of a few,
/// so that gateways that know the same ask different ones.
const ASKED: usize = 3;
const DRAWN: usize = 6;

/// How often endpoints are asked for one request: a refusal needs more proof than a choice,
/// and each time takes a part of what is left of the aim.
const ROUNDS: usize = 2;

/// The part of the latest time to a first token up to which an endpoint is believed by its
/// report: others who are told of the same room take it from nobody there.
const EASY: f64 = 0.5;

/// How long an answer is taken to hold: two times of asking, and what comes late.
pub(super) const ANSWER: Duration = Duration::from_millis(50);

/// A place at an endpoint that is kept for a gateway.
#[derive(Debug, Clone, Copy)]
struct Place {
    gateway: SocketAddr,
    // When it was asked for, by the gateway's own time.
    asked: Duration,
    // The prompt tokens of the request that it is for.
    prompt: u32,
    // When it lapses, by our own time.
    until: Duration,
}

/// The places at an endpoint that its agent keeps.
// Invariant: at most `MOST_KEPT` places.
#[derive(Debug, Default)]
pub struct Table {
    places: Vec<Place>,
}

impl Table {
    /// Keeps a place for a request of a gateway, asked for at the gateway's own time.
    pub fn reserve(&mut self, gateway: SocketAddr, asked: Duration, prompt: u32, now: Duration) {
        self.places.retain(|place| place.until > now);
        if self.places.len() < MOST_KEPT {
            self.places.push(Place { gateway, asked, prompt, until: now + KEPT });
        }
    }

    /// Takes in that a gateway has decided on all that it asked for before a time of its own:
    /// what it uses is among its outstanding requests from now on.
    pub fn release_before(&mut self, gateway: SocketAddr, before: Duration) {
        self.places.retain(|place| place.gateway != gateway || place.asked >= before);
    }

    /// What is kept for other gateways than one, as if it had been sent.
    #[must_use]
    pub fn others(&self, gateway: SocketAddr, now: Duration) -> Outstanding {
        let kept = self.places.iter().filter(|place| place.gateway != gateway && place.until > now);
        kept.fold(Outstanding::default(), |sum, place| {
            sum.plus(Outstanding { requests: 1, waiting: 1, unread: place.prompt })
        })
    }
}

/// What a gateway has asked of an endpoint's agent and not decided on yet: when, by number.
#[derive(Debug, Default)]
pub struct Pending(BTreeMap<u64, Duration>);

impl Pending {
    /// Takes in that a place was asked for.
    pub fn record_query(&mut self, number: u64, now: Duration) {
        self.0.insert(number, now);
    }

    /// Takes in that the gateway has used the place, or does without it.
    pub fn resolve(&mut self, number: u64) {
        self.0.remove(&number);
    }

    /// Everything that was asked for before this time has been decided on, or has lapsed.
    pub fn resolved_before(&mut self, now: Duration) -> Duration {
        self.0.retain(|_, asked| *asked + KEPT > now);
        self.0.values().copied().min().unwrap_or(now)
    }
}

/// What is to be done next for a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Step {
    /// The agents of these endpoints are asked.
    Query(Vec<usize>),
    /// It is sent to an endpoint, or refused.
    Done(Choice),
}

/// One request's search for a place.
#[derive(Debug, Clone, Default)]
// Invariant: `rounds` is at most `ROUNDS`, and `asked` names no endpoint twice.
pub struct Selection {
    rounds: usize,
    asked: Vec<usize>,
}

impl Selection {
    /// How many endpoints were asked.
    #[must_use]
    pub fn queried(&self) -> usize {
        self.asked.len()
    }

    /// What is next, by what is known of the endpoints now; those that have answered are
    /// known by their answers.
    pub fn next(&mut self, wish: &Requirements, candidates: &[Candidate]) -> Step {
        let heard = heard(candidates);
        let no_agent = candidates.iter().all(|candidate| candidate.agent == Agent::None);
        if no_agent || (wish.sent_before && !heard.is_empty()) {
            return Step::Done(pick(wish, &heard));
        }
        let limit = limit(wish);
        if let Some(found) = self.found(wish, limit, candidates) {
            return Step::Done(found);
        }
        let next = self.next_asked(wish, candidates);
        if self.rounds == ROUNDS || next.is_empty() {
            return Step::Done(self.give_up(wish, candidates));
        }
        self.rounds += 1;
        self.asked.extend(&next);
        Step::Query(next)
    }

    /// The endpoint that has room, at first by reports and then by answers.
    fn found(
        &self,
        wish: &Requirements,
        limit: Duration,
        candidates: &[Candidate],
    ) -> Option<Choice> {
        let found = if self.rounds == 0 {
            easy(wish, EASY, &heard(candidates))
        } else {
            cheapest(wish, limit, self.answered(candidates))
        };
        found.map(|found| found.chosen())
    }

    /// Those of the endpoints asked that have answered.
    fn answered<'a>(&'a self, candidates: &'a [Candidate]) -> impl Iterator<Item = &'a Candidate> {
        let asked = candidates.iter().filter(|candidate| self.asked.contains(&candidate.number));
        asked.filter(|candidate| candidate.agent == Agent::Answered)
    }

    /// The endpoints to be asked next: the best of some that were drawn.
    fn next_asked(&self, wish: &Requirements, candidates: &[Candidate]) -> Vec<usize> {
        let left = candidates.iter().filter(|candidate| {
            candidate.agent != Agent::None && !self.asked.contains(&candidate.number)
        });
        let left: Vec<Candidate> = left.copied().collect();
        let mut drawn = draw(wish.seed, &left, DRAWN);
        drawn.sort_by_key(|candidate| (cost_of_usual(wish, candidate), candidate.number));
        drawn.truncate(ASKED);
        drawn.iter().map(|candidate| candidate.number).collect()
    }

    /// What is done when no endpoint that was asked has room. Where none has answered,
    /// nothing tells that there is none.
    fn give_up(&self, wish: &Requirements, candidates: &[Candidate]) -> Choice {
        if self.answered(candidates).next().is_some() {
            refusal(wish, limit(wish), self.answered(candidates))
        } else {
            pick(wish, &heard(candidates))
        }
    }
}

/// The candidates of which something is known without asking.
fn heard(candidates: &[Candidate]) -> Vec<Candidate> {
    candidates.iter().filter(|candidate| candidate.agent != Agent::NotReporting).copied().collect()
}
