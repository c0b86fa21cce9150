//! How long a caller has waited before an attempt.

use std::time::Duration;

use cinderspoke_core::gateway::caller_timeout::Estimator;

use super::ms;

/// A route whose callers wait for 6 s.
fn usual() -> Estimator {
    let mut usual = Estimator::default();
    (0..20).for_each(|_| assert_eq!(usual.observe(ms(6000)), Duration::ZERO));
    usual
}

#[test]
fn who_has_less_time_than_usual_has_waited_for_the_rest() {
    let mut usual = usual();
    assert_eq!(usual.observe(ms(5500)), ms(500));
    assert_eq!(usual.observe(ms(5990)), Duration::ZERO, "as good as all of it");
}

// Were the longest time taken for the usual one, one patient caller would make all
// others count as late.
#[test]
fn one_caller_that_waits_much_longer_changes_nothing() {
    let mut usual = usual();
    assert_eq!(usual.observe(ms(60_000)), Duration::ZERO);
    assert_eq!(usual.observe(ms(6000)), Duration::ZERO);
    assert_eq!(usual.observe(ms(5500)), ms(500));
}

#[test]
fn nothing_is_known_where_all_wait_differently() {
    let mut usual = Estimator::default();
    let waited = (0..500).map(|number| usual.observe(ms(1000 + 997 * (number * 37 % 101))));
    assert!(waited.into_iter().all(|waited| waited == Duration::ZERO));
}

#[test]
fn another_usual_time_is_taken_over() {
    let mut usual = usual();
    (0..100).for_each(|_| _ = usual.observe(ms(3000)));
    assert_eq!(usual.observe(ms(3000)), Duration::ZERO);
    assert_eq!(usual.observe(ms(2000)), ms(1000));
}

// Load pattern: most are refused, and come back once.
#[test]
fn who_comes_back_does_not_outvote_first_attempts() {
    let mut usual = usual();
    for number in 0..300 {
        assert_eq!(usual.observe(ms(6000)), Duration::ZERO);
        if number % 4 != 0 {
            let waited = ms(400 + number);
            assert_eq!(usual.observe(ms(6000) - waited), waited);
        }
    }
}
