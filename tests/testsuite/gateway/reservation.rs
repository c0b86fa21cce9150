//! Places at endpoints that are asked for before a send.
//!
//! Forty gateways were told three times a second what forty-five engines hold. At 1.4 of what
//! these can do, each free place was taken by several gateways at once: engines were busy all
//! the time, and 0.53 of what was asked came in time where 0.73 could have.
//!
//! ```text
//! servers served 96 in 100 of their time
//! ```

use std::net::SocketAddr;
use std::time::Duration;

use cinderspoke_core::gateway::load::Forecast;
use cinderspoke_core::gateway::pick::{Agent, Candidate, Choice, Requirements};
use cinderspoke_core::gateway::reservation::{Pending, Selection, Step, Table};
use cinderspoke_core::gateway::tally::Outstanding;
use cinderspoke_core::swarm::Distance;

use super::ms;

/// How long an agent keeps a place at the most.
const KEPT: Duration = ms(60);

fn gateway(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1000 + number))
}

/// How many places are kept for others than a gateway.
fn others(reservations: &Table, number: u16, now: Duration) -> u32 {
    reservations.others(gateway(number), now).requests
}

#[test]
fn whoever_asks_next_is_told_of_the_place_before() {
    let mut reservations = Table::default();
    reservations.reserve(gateway(0), ms(5), 900, ms(100));
    let told = reservations.others(gateway(1), ms(101));
    assert_eq!(told, Outstanding { requests: 1, waiting: 1, unread: 900 });
    assert!(reservations.others(gateway(0), ms(101)).is_empty(), "its own is not others'");
}

#[test]
fn a_place_ends_as_soon_as_its_gateway_has_decided() {
    let mut reservations = Table::default();
    reservations.reserve(gateway(0), ms(5), 900, ms(100));
    reservations.reserve(gateway(0), ms(7), 900, ms(102));
    reservations.reserve(gateway(1), ms(1), 900, ms(103));
    reservations.release_before(gateway(0), ms(7));
    assert_eq!(others(&reservations, 2, ms(104)), 2, "the later question is open, the other's too");
}

// A gateway may end, be cut off, or its word be lost.
#[test]
fn a_place_lapses_without_a_word() {
    let mut reservations = Table::default();
    reservations.reserve(gateway(0), ms(5), 900, ms(100));
    assert_eq!(others(&reservations, 1, ms(100) + KEPT - ms(1)), 1);
    assert_eq!(others(&reservations, 1, ms(100) + KEPT), 0);
}

#[test]
fn a_flood_of_questions_keeps_a_bounded_number_of_places() {
    let mut reservations = Table::default();
    (0..2000).for_each(|asked| reservations.reserve(gateway(0), ms(asked), 900, ms(100)));
    assert_eq!(others(&reservations, 1, ms(101)), 256);
}

#[test]
fn what_is_undecided_holds_back_the_word_on_what_came_later() {
    let mut open = Pending::default();
    open.record_query(1, ms(10));
    open.record_query(2, ms(20));
    open.resolve(2);
    assert_eq!(open.resolved_before(ms(30)), ms(10));
    open.resolve(1);
    assert_eq!(open.resolved_before(ms(30)), ms(30));
}

#[test]
fn a_question_whose_request_is_gone_holds_nothing_back_for_long() {
    let mut open = Pending::default();
    open.record_query(1, ms(10));
    assert_eq!(open.resolved_before(ms(10) + KEPT), ms(10) + KEPT);
}

/// What gateways and an agent do to the places at an endpoint.
#[derive(Debug, Clone, Copy)]
enum Act {
    Ask(u16),
    /// The gateway decides on what it asked for first.
    Decide(u16),
    /// It tells the agent how far it has decided.
    Tell(u16),
    Pass(Duration),
}

const ACTS: [Act; 8] = [
    Act::Ask(0),
    Act::Ask(1),
    Act::Decide(0),
    Act::Decide(1),
    Act::Tell(0),
    Act::Tell(1),
    Act::Pass(ms(25)),
    Act::Pass(ms(40)),
];

/// How many acts follow each other.
const DEPTH: u32 = 6;

/// A question, and how far its gateway and the agent are.
struct Question {
    gateway: u16,
    number: u64,
    asked: Duration,
    decided: bool,
    told: bool,
}

/// Two gateways, an agent, and what each should know.
#[derive(Default)]
struct Model {
    reservations: Table,
    open: [Pending; 2],
    questions: Vec<Question>,
    now: Duration,
}

impl Model {
    fn act(&mut self, act: Act) {
        match act {
            Act::Ask(gateway_number) => {
                let (number, asked) = (self.questions.len() as u64, self.now);
                self.open[usize::from(gateway_number)].record_query(number, asked);
                self.reservations.reserve(gateway(gateway_number), asked, 1, asked);
                let (decided, told) = (false, false);
                let question = Question { gateway: gateway_number, number, asked, decided, told };
                self.questions.push(question);
                self.now += ms(1);
            }
            Act::Decide(gateway) => {
                let mut own = self.questions.iter_mut().filter(|one| one.gateway == gateway);
                if let Some(question) = own.find(|one| !one.decided) {
                    question.decided = true;
                    self.open[usize::from(gateway)].resolve(question.number);
                }
            }
            Act::Tell(gateway_number) => {
                let before = self.open[usize::from(gateway_number)].resolved_before(self.now);
                self.reservations.release_before(gateway(gateway_number), before);
                let own = self.questions.iter_mut().filter(|one| one.gateway == gateway_number);
                own.filter(|one| one.asked < before).for_each(|one| one.told = true);
            }
            Act::Pass(time) => self.now += time,
        }
    }

    /// Whoever asks is told of each place of another one that is not decided on, and of none
    /// that the agent knows to be.
    fn is_sound(&self) -> bool {
        (0..2).all(|asker| {
            let kept = |one: &&Question| one.gateway != asker && one.asked + KEPT > self.now;
            let kept = || self.questions.iter().filter(kept);
            let least = kept().filter(|one| !one.decided).count() as u32;
            let most = kept().filter(|one| !one.told).count() as u32;
            (least..=most).contains(&others(&self.reservations, asker, self.now))
        })
    }
}

// All orders of some acts, so that none is left to chance.
#[test]
fn each_place_counts_from_the_question_to_the_decision() {
    for order in 0..ACTS.len().pow(DEPTH) {
        let mut model = Model { now: ms(100), ..Model::default() };
        let mut rest = order;
        let mut acts = Vec::new();
        for _ in 0..DEPTH {
            acts.push(ACTS[rest % ACTS.len()]);
            rest /= ACTS.len();
            model.act(acts[acts.len() - 1]);
            assert!(model.is_sound(), "{acts:?}");
        }
    }
}

/// An endpoint that would begin after a time.
fn candidate(number: usize, first: Duration, agent: Agent) -> Candidate {
    let (distance, turn) = (Distance::Zone, ms(80));
    let forecast = Forecast { wait: first, ..Forecast::default() };
    Candidate {
        number,
        distance,
        forecast,
        age: ms(20),
        service_time: turn,
        is_probe: false,
        agent,
    }
}

fn wish() -> Requirements {
    Requirements {
        ttft_target: ms(400),
        target_left: ms(400),
        time_left: ms(6000),
        sent_before: false,
        weights_missing: false,
        backoff_left: None,
        competing_rate: 0.0,
        seed: 7,
    }
}

/// So many endpoints, all alike.
fn all(count: usize, first: Duration, agent: Agent) -> Vec<Candidate> {
    (0..count).map(|number| candidate(number, first, agent)).collect()
}

fn is_refused(step: &Step) -> bool {
    matches!(step, Step::Done(Choice::Refuse { .. }))
}

#[test]
fn while_endpoints_have_room_nobody_is_asked() {
    let step = Selection::default().next(&wish(), &all(20, ms(150), Agent::Queryable));
    assert!(matches!(step, Step::Done(Choice::Send { .. })), "{step:?}");
}

#[test]
fn under_load_some_are_asked_and_the_one_that_begins_first_gets_the_request() {
    let mut search = Selection::default();
    let mut candidates = all(20, ms(300), Agent::Queryable);
    let Step::Query(asked) = search.next(&wish(), &candidates) else { panic!("some are asked") };
    assert_eq!(asked.len(), 3);
    for (number, first) in asked.iter().zip([ms(340), ms(200), ms(500)]) {
        candidates[*number] = candidate(*number, first, Agent::Answered);
    }
    let sent = Step::Done(Choice::Send { number: asked[1], ttft: ms(200) });
    assert_eq!(search.next(&wish(), &candidates), sent);
}

#[test]
fn a_request_is_refused_once_two_rounds_of_answers_say_that_there_is_no_room() {
    let mut search = Selection::default();
    let mut candidates = all(20, ms(300), Agent::Queryable);
    let mut asked = Vec::new();
    for _ in 0..2 {
        let Step::Query(numbers) = search.next(&wish(), &candidates) else { panic!("some are") };
        for number in numbers {
            assert!(!asked.contains(&number), "nobody is asked twice");
            candidates[number] = candidate(number, ms(900), Agent::Answered);
            asked.push(number);
        }
    }
    assert!(is_refused(&search.next(&wish(), &candidates)));
}

// Silence of agents is no refusal: their links may be full while their endpoints are not.
#[test]
fn where_no_agent_answers_reports_decide() {
    let mut search = Selection::default();
    let candidates = all(20, ms(300), Agent::Queryable);
    for _ in 0..2 {
        assert!(matches!(search.next(&wish(), &candidates), Step::Query(_)));
    }
    let step = search.next(&wish(), &candidates);
    assert!(matches!(step, Step::Done(Choice::Send { .. })), "{step:?}");
}

#[test]
fn what_was_sent_before_or_has_no_agent_goes_by_reports_at_once() {
    let again = Requirements { sent_before: true, ..wish() };
    let step = Selection::default().next(&again, &all(20, ms(300), Agent::Queryable));
    assert!(matches!(step, Step::Done(Choice::Send { .. })), "{step:?}");
    let step = Selection::default().next(&wish(), &all(20, ms(300), Agent::None));
    assert!(matches!(step, Step::Done(Choice::Send { .. })), "{step:?}");
}

#[test]
fn different_requests_ask_different_endpoints() {
    let candidates = all(45, ms(300), Agent::Queryable);
    let mut asked = std::collections::BTreeSet::new();
    for spread in 0..60 {
        let wish = Requirements { seed: spread, ..wish() };
        let Step::Query(numbers) = Selection::default().next(&wish, &candidates) else { panic!() };
        asked.extend(numbers);
    }
    assert!(asked.len() > 40, "{} of 45", asked.len());
}

// Guards against requests that are sent where nothing is known of an engine: it looks as if it
// had nothing to do.
#[test]
fn an_engine_whose_agent_does_not_report_here_is_asked_before_it_gets_a_request() {
    let mut search = Selection::default();
    let mut candidates = all(4, ms(900), Agent::Queryable);
    candidates.extend((4..20).map(|number| candidate(number, ms(20), Agent::NotReporting)));
    let Step::Query(asked) = search.next(&wish(), &candidates) else { panic!("some are asked") };
    assert!(asked.iter().any(|number| *number >= 4), "{asked:?}");
    for number in &asked {
        candidates[*number] = candidate(*number, ms(900), Agent::Answered);
    }
    let chosen = *asked.last().unwrap();
    candidates[chosen] = candidate(chosen, ms(60), Agent::Answered);
    let sent = Step::Done(Choice::Send { number: chosen, ttft: ms(60) });
    assert_eq!(search.next(&wish(), &candidates), sent);
}

// Guards against an engine of which nothing is known that gets a request since nobody answers.
#[test]
fn where_no_agent_answers_only_engines_of_which_something_is_known_get_a_request() {
    let mut search = Selection::default();
    let unheard = all(9, ms(20), Agent::NotReporting);
    let mut step = search.next(&wish(), &unheard);
    while matches!(step, Step::Query(_)) {
        step = search.next(&wish(), &unheard);
    }
    assert!(is_refused(&step), "{step:?}");
}
