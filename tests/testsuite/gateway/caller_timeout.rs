//! Estimates of how long a caller has waited before an attempt.

use std::time::Duration;

use cinderspoke_core::gateway::caller_timeout::Estimator;

use super::ms;

/// The estimator of a route whose callers time out after 6 s.
fn estimator() -> Estimator {
    let mut estimator = Estimator::default();
    (0..20).for_each(|_| assert_eq!(estimator.observe(ms(6000)), Duration::ZERO));
    estimator
}

#[test]
fn a_shorter_timeout_than_usual_means_that_the_caller_has_waited() {
    let mut estimator = estimator();
    assert_eq!(estimator.observe(ms(5500)), ms(500));
    assert_eq!(estimator.observe(ms(5990)), Duration::ZERO, "within the tolerance");
}

// If the longest timeout counted as the usual one, one caller with a long timeout would make all
// others count as late.
#[test]
fn one_caller_with_a_much_longer_timeout_changes_nothing() {
    let mut estimator = estimator();
    assert_eq!(estimator.observe(ms(60_000)), Duration::ZERO);
    assert_eq!(estimator.observe(ms(6000)), Duration::ZERO);
    assert_eq!(estimator.observe(ms(5500)), ms(500));
}

#[test]
fn the_wait_is_unknown_if_all_timeouts_differ() {
    let mut estimator = Estimator::default();
    let waited = (0..500).map(|number| estimator.observe(ms(1000 + 997 * (number * 37 % 101))));
    assert!(waited.into_iter().all(|waited| waited == Duration::ZERO));
}

#[test]
fn a_new_usual_timeout_is_adopted() {
    let mut estimator = estimator();
    (0..100).for_each(|_| _ = estimator.observe(ms(3000)));
    assert_eq!(estimator.observe(ms(3000)), Duration::ZERO);
    assert_eq!(estimator.observe(ms(2000)), ms(1000));
}

// Load pattern: most requests are refused, and retried once.
#[test]
fn retries_do_not_outvote_first_attempts() {
    let mut estimator = estimator();
    for number in 0..300 {
        assert_eq!(estimator.observe(ms(6000)), Duration::ZERO);
        if number % 4 != 0 {
            let waited = ms(400 + number);
            assert_eq!(estimator.observe(ms(6000) - waited), waited);
        }
    }
}
