//! The shares of the common retry budget that gateways use, on a paused clock.

use std::net::SocketAddr;

use cinderspoke::gateway::options::Options;
use cinderspoke::gateway::state::State;
use cinderspoke::util::clock::Clock;
use cinderspoke_core::gateway::budget::Budget;
use cinderspoke_core::gateway::gossip::PERIOD;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::advance;

use crate::follow::settings;

fn address(number: usize) -> SocketAddr {
    format!("10.1.{}.{}:1", number / 200, number % 200 + 1).parse().unwrap()
}

/// The number of retries that all gateways would send now for a service without requests, if each
/// used its whole share.
fn total_retries(gateways: &[State]) -> usize {
    let retries = gateways.iter().map(|state| {
        let (now, options) = (state.clock().now(), state.options().budget);
        let known = state.view().gateways;
        let mut budget = Budget::default();
        let retries = std::iter::from_fn(|| {
            budget.allows_retry(now, &options, known).then(|| budget.record_retry(now))
        });
        retries.count()
    });
    retries.sum()
}

async fn check_idle_gateways(count: usize) {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let (settings, clock) = (settings(), Clock::start());
    let new = || State::new(&settings, Options::new(&settings), clock);
    let gateways: Vec<_> = (0..count).map(|_| new()).collect();
    for (own, state) in gateways.iter().enumerate() {
        // The gateways that the store lists at the start.
        let others = (0..count).filter(|other| *other != own);
        others.for_each(|other| _ = state.observe_gateway(address(other), false));
    }
    let slack = gateways[0].options().budget.slack;
    for tick in 0..400 {
        for from in 0..count {
            let other = (from + random.random_range(1..count)) % count;
            gateways[other].observe_gateway(address(from), true);
        }
        let retries = total_retries(&gateways);
        assert!(retries as f64 <= slack, "{retries} of {slack} by {count} in tick {tick}");
        assert!(retries as f64 >= slack / 2.0, "the gateways use at least half of the slack");
        advance(PERIOD).await;
    }
}

#[tokio::test(start_paused = true)]
async fn idle_gateways_together_stay_within_the_slack() {
    for count in [2, 7, 30, 120] {
        check_idle_gateways(count).await;
    }
}
