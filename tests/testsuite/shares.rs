//! What gateways own of the slack of the common retry budget, on a paused clock.

use std::net::SocketAddr;
use std::time::Duration;

use cinderspoke::gateway::options::Options;
use cinderspoke::gateway::state::State;
use cinderspoke::util::clock::Clock;
use cinderspoke_core::gateway::budget::Budget;
use cinderspoke_core::gateway::gossip::PERIOD;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::advance;

use crate::follow::settings;

/// The slack, in retries: less than four for each of the larger fleets.
const SLACK: f64 = 100.0;

/// Requests that each gateway has received before: they earn more than can be saved up.
const REQUESTS: usize = 100;

/// How long after them nothing is saved up for them any more.
const LATER: Duration = Duration::from_secs(11);

/// Ticks of gossip: those from the first of `PARTED` on are a partition into halves, longer than
/// any time-out.
const TICKS: usize = 900;
const PARTED: std::ops::Range<usize> = 100..700;

fn address(number: usize) -> SocketAddr {
    format!("10.1.{}.{}:1", number / 200, number % 200 + 1).parse().unwrap()
}

/// The retries that a gateway without recent requests would send now, if it used all of them.
fn saved_up(state: &State) -> usize {
    let (now, known) = (state.clock().now(), state.view().known_gateways);
    let mut options = state.options().budget;
    options.slack = SLACK;
    let mut budget = Budget::default();
    (0..REQUESTS).for_each(|_| budget.record_request(now.saturating_sub(LATER), &options, known));
    std::iter::from_fn(|| budget.withdraw(now, &options, known).then(|| budget.spend())).count()
}

async fn check_idle_gateways(count: usize, least: usize) {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let (settings, clock) = (settings(), Clock::start());
    advance(LATER).await;
    let new = || State::new(&settings, Options::new(&settings), clock);
    let gateways: Vec<_> = (0..count).map(|_| new()).collect();
    for (own, state) in gateways.iter().enumerate() {
        // The gateways that the store lists at the start.
        let others = (0..count).filter(|other| *other != own);
        others.for_each(|other| _ = state.observe_gateway(address(other), false));
    }
    for tick in 0..TICKS {
        for from in 0..count {
            let other = (from + random.random_range(1..count)) % count;
            let is_cut = PARTED.contains(&tick) && (from < count / 2) != (other < count / 2);
            if !is_cut {
                gateways[other].observe_gateway(address(from), true);
            }
        }
        let retries: usize = gateways.iter().map(saved_up).sum();
        assert!(retries as f64 <= SLACK, "{retries} by {count} in tick {tick}");
        assert!(retries >= least, "{retries} by {count} in tick {tick}");
        advance(PERIOD).await;
    }
}

// Guards against shares that grow while others are not heard of: both sides of a partition used the
// whole slack.
#[tokio::test(start_paused = true)]
async fn idle_gateways_together_stay_within_the_slack() {
    for (count, least) in [(2, 2 * 4), (7, 7 * 4), (30, 30 * 3), (120, 0)] {
        check_idle_gateways(count, least).await;
    }
}
