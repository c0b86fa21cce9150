//! The retry budget that all gateways share.

use std::time::Duration;

use cinderspoke_core::gateway::budget::{Budget, Options};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::ms;

fn options() -> Options {
    Options { ratio: 0.2, window: ms(10_000), slack: 100.0, slack_from: Duration::ZERO }
}

#[test]
fn gateways_together_stay_within_the_budget() {
    let options = options();
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let mut budgets: Vec<Budget> = (0..7).map(|_| Budget::default()).collect();
    let (mut requests, mut retries) = (Vec::new(), Vec::new());
    for step in 0..60_000_u64 {
        let now = ms(step);
        let budget = &mut budgets[random.random_range(0..7)];
        if random.random_bool(0.1) {
            budget.record_request(now, &options);
            requests.push(now);
        }
        if budget.allows_retry(now, &options, 7) {
            budget.record_retry(now);
            retries.push(now);
        }
    }
    for end in (10_000..60_000).step_by(500) {
        let within = |times: &[Duration]| {
            times.iter().filter(|time| **time > ms(end - 10_000) && **time <= ms(end)).count()
        };
        let allowed = 0.2 * within(&requests) as f64 + 100.0;
        assert!(within(&retries) as f64 <= allowed, "until {end} ms");
        assert!(within(&retries) > 0, "the budget is never spent");
    }
}

#[test]
fn restarted_gateways_do_not_spend_the_slack_a_second_time() {
    // Each gateway has spent its share of the slack and restarts, one after the other, with its
    // clock at zero and without knowing what it spent.
    let options = Options { slack_from: ms(10_000), ..options() };
    let spend_all = |budget: &mut Budget, now| {
        let spent = std::iter::from_fn(|| {
            budget.allows_retry(now, &options, 7).then(|| budget.record_retry(now))
        });
        spent.count()
    };
    let before: usize = (0..7).map(|_| spend_all(&mut Budget::default(), ms(60_000))).sum();
    let after: usize = (0..7).map(|_| spend_all(&mut Budget::default(), ms(500))).sum();
    assert!(before > 50, "the slack is available: {before}");
    assert!((before + after) as f64 <= options.slack, "{before} before and {after} after");
}
