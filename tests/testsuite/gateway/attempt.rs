//! What may be sent again, over all short histories of sends.

use cinderspoke_core::gateway::attempt::{Fate, History, Next, Promise};

const FATES: [Fate; 6] =
    [Fate::NotSent, Fate::Refused, Fate::Lost, Fate::Stale, Fate::BrokenOff, Fate::Failed];

/// Whether a request may have run that had this fate.
fn ran(fate: &Fate) -> bool {
    matches!(fate, Fate::Lost | Fate::Stale | Fate::BrokenOff | Fate::Failed)
}

/// All histories of at most `length` sends, each with the fates that led to it.
fn histories(length: usize) -> Vec<(Vec<Fate>, History)> {
    let mut all = vec![(Vec::new(), History::default())];
    let mut last = all.clone();
    for _ in 0..length {
        let mut longer = Vec::new();
        for (fates, history) in last {
            for fate in FATES {
                let (mut fates, mut history) = (fates.clone(), history);
                fates.push(fate);
                history.record(fate);
                longer.push((fates, history));
            }
        }
        all.extend(longer.clone());
        last = longer;
    }
    all
}

#[test]
fn no_history_promises_that_a_request_has_not_run_when_it_may_have() {
    for (fates, history) in histories(5) {
        let may_have_run = fates.iter().any(ran);
        let promise = if may_have_run { Promise::Nothing } else { Promise::NotRun };
        assert_eq!(history.promise(), promise, "{fates:?}");
    }
}

#[test]
fn what_may_run_once_is_never_sent_again_after_it_may_have_run() {
    for (fates, history) in histories(5) {
        let may_have_run = fates.iter().any(ran);
        for most in 1..4 {
            let next = history.next(false, most, true);
            assert!(!may_have_run || next != Next::Retry, "{fates:?} of {most}");
        }
    }
}

#[test]
fn no_request_runs_on_more_endpoints_than_its_route_allows() {
    for (fates, history) in histories(5) {
        let runs = fates.iter().filter(|fate| ran(fate)).count();
        for most in 1..4 {
            let next = history.next(true, most, true);
            assert!(runs < most as usize || next != Next::Retry, "{fates:?} of {most}");
        }
        assert_ne!(history.next(true, 9, false), Next::Retry, "without time or budget");
    }
}

#[test]
fn refused_sends_end_as_well() {
    let mut history = History::default();
    let mut sends = 0;
    while history.next(true, 2, true) == Next::Retry {
        history.record(Fate::Refused);
        sends += 1;
        assert!(sends < 10, "a request that everyone refuses is never answered");
    }
    assert_eq!(history.promise(), Promise::NotRun);
}
