//! What may be sent again, over all short histories of sends.

use cinderspoke_core::gateway::attempt::{Guarantee, History, Next, Outcome};

const OUTCOMES: [Outcome; 6] = [
    Outcome::NotSent,
    Outcome::Refused,
    Outcome::Lost,
    Outcome::Stale,
    Outcome::BrokenOff,
    Outcome::Failed,
];

/// Whether a request may have run that had this outcome.
fn ran(outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::Lost | Outcome::Stale | Outcome::BrokenOff | Outcome::Failed)
}

/// All histories of at most `length` sends, each with the outcomes that led to it.
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
fn no_history_promises_that_a_request_has_not_run_when_it_may_have() {
    for (outcomes, history) in histories(5) {
        let may_have_run = outcomes.iter().any(ran);
        let guarantee = if may_have_run { Guarantee::None } else { Guarantee::NotRun };
        assert_eq!(history.guarantee(), guarantee, "{outcomes:?}");
    }
}

#[test]
fn what_may_run_once_is_never_sent_again_after_it_may_have_run() {
    for (outcomes, history) in histories(5) {
        let may_have_run = outcomes.iter().any(ran);
        for most in 1..4 {
            let next = history.next(false, most, true);
            assert!(!may_have_run || next != Next::Retry, "{outcomes:?} of {most}");
        }
    }
}

#[test]
fn no_request_runs_on_more_endpoints_than_its_route_allows() {
    for (outcomes, history) in histories(5) {
        let runs = outcomes.iter().filter(|outcome| ran(outcome)).count();
        for most in 1..4 {
            let next = history.next(true, most, true);
            assert!(runs < most as usize || next != Next::Retry, "{outcomes:?} of {most}");
        }
        assert_ne!(history.next(true, 9, false), Next::Retry, "without time or budget");
    }
}

#[test]
fn refused_sends_end_as_well() {
    let mut history = History::default();
    let mut sends = 0;
    while history.next(true, 2, true) == Next::Retry {
        history.record(Outcome::Refused);
        sends += 1;
        assert!(sends < 10, "a request that everyone refuses is never answered");
    }
    assert_eq!(history.guarantee(), Guarantee::NotRun);
}
