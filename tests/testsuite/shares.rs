//! The shares that gateways take of what all of them together may spend, on a
//! paused clock.

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

/// How many repeats gateways would send now at a service without requests, if
/// each spent its whole share.
fn spent(gateways: &[State]) -> usize {
    let spent = gateways.iter().map(|state| {
        let (now, terms) = (state.clock().now(), state.options().budget);
        let known = state.view().gateways;
        let mut budget = Budget::default();
        let repeats = std::iter::from_fn(|| {
            budget.allows_retry(now, &terms, known).then(|| budget.record_retry(now))
        });
        repeats.count()
    });
    spent.sum()
}

async fn quiet_gateways_share(count: usize) {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let (settings, clock) = (settings(), Clock::start());
    let new = || State::new(&settings, Options::new(&settings), clock);
    let gateways: Vec<_> = (0..count).map(|_| new()).collect();
    for (own, state) in gateways.iter().enumerate() {
        // What the store names at the start.
        let others = (0..count).filter(|other| *other != own);
        others.for_each(|other| _ = state.observe_gateway(address(other), false));
    }
    let slack = gateways[0].options().budget.slack;
    for tick in 0..400 {
        for from in 0..count {
            let other = (from + random.random_range(1..count)) % count;
            gateways[other].observe_gateway(address(from), true);
        }
        let spent = spent(&gateways);
        assert!(spent as f64 <= slack, "{spent} of {slack} by {count} in tick {tick}");
        assert!(spent as f64 >= slack / 2.0, "the slack is there to be spent");
        advance(PERIOD).await;
    }
}

#[tokio::test(start_paused = true)]
async fn quiet_gateways_together_keep_to_the_slack() {
    for count in [2, 7, 30, 120] {
        quiet_gateways_share(count).await;
    }
}
