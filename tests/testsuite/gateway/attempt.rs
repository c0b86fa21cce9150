//! Retry decisions, for every short history of sends.

use cinderspoke_core::gateway::attempt::{Guarantee, History, Next, Outcome};

const OUTCOMES: [Outcome; 7] = [
    Outcome::NotSent,
    Outcome::Refused,
    Outcome::Lost,
    Outcome::Stale,
    Outcome::BrokenOff,
    Outcome::Spoilt,
    Outcome::Failed,
];

/// Whether a request may have run in a send with this outcome.
fn may_have_run(outcome: &Outcome) -> bool {
    !matches!(outcome, Outcome::NotSent | Outcome::Refused)
}

/// All histories of at most `length` sends, each with its outcomes.
fn histories(length: usize) -> Vec<(Vec<Outcome>, History)> {
    let mut all = vec![(Vec::new(), History::default())];
    let mut last = all.clone();
    for _ in 0..length {
        let mut longer = Vec::new();
        for (outcomes, history) in last {
            for outcome in OUTCOMES {
                let (mut outcomes, mut history) = (outcomes.clone(), history);
                outcomes.push(outcome);
                history.record(outcome);
                longer.push((outcomes, history));
            }
        }
        all.extend(longer.clone());
        last = longer;
    }
    all
}

#[test]
fn no_history_guarantees_not_run_when_the_request_may_have_run() {
    for (outcomes, history) in histories(5) {
        let has_maybe_run = outcomes.iter().any(may_have_run);
        let guarantee = if has_maybe_run { Guarantee::None } else { Guarantee::NotRun };
        assert_eq!(history.guarantee(), guarantee, "{outcomes:?}");
    }
}

#[test]
fn a_non_repeatable_request_is_not_retried_after_it_may_have_run() {
    for (outcomes, history) in histories(5) {
        let has_maybe_run = outcomes.iter().any(may_have_run);
        for most in 1..4 {
            let next = history.next(false, most, true);
            assert!(!has_maybe_run || next != Next::Retry, "{outcomes:?} of {most}");
        }
    }
}

#[test]
fn no_request_runs_on_more_endpoints_than_its_route_allows() {
    for (outcomes, history) in histories(5) {
        let runs = outcomes.iter().filter(|outcome| may_have_run(outcome)).count();
        for most in 1..4 {
            let next = history.next(true, most, true);
            assert!(runs < most as usize || next != Next::Retry, "{outcomes:?} of {most}");
        }
        assert_ne!(history.next(true, 9, false), Next::Retry, "without time or budget");
    }
}

#[test]
fn refused_sends_are_limited_as_well() {
    let mut history = History::default();
    let mut sends = 0;
    while history.next(true, 2, true) == Next::Retry {
        history.record(Outcome::Refused);
        sends += 1;
        assert!(sends < 10, "a request that every endpoint refuses is never answered");
    }
    assert_eq!(history.guarantee(), Guarantee::NotRun);
}
