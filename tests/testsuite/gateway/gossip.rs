//! For how long a gateway counts that is silent.

use cinderspoke_core::gateway::gossip::{PERIOD, fanout, liveness_timeout};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use yare::parameterized;

use super::ms;

#[parameterized(
    none = { 0, 5_000 },
    one = { 1, 5_000 },
    two = { 2, 5_000 },
    few = { 6, 12_000 },
    many = { 29, 58_000 },
)]
fn the_more_gateways_the_longer_a_silent_one_counts(others: usize, for_ms: u64) {
    assert_eq!(liveness_timeout(others), ms(for_ms));
}

#[test]
fn no_number_of_gateways_is_too_large() {
    assert!(liveness_timeout(usize::MAX) >= liveness_timeout(1_000_000));
}

#[parameterized(few = { 6 }, many = { 29 }, hundreds = { 400 })]
fn hardly_any_gateway_that_lives_is_left_out(others: usize) {
    // One gateway; each of the others tells it in one of so many of its rounds.
    let mut random = ChaCha8Rng::seed_from_u64(2);
    let rounds = (liveness_timeout(others).as_millis() / PERIOD.as_millis()) as usize;
    let silent =
        |random: &mut ChaCha8Rng| !(0..rounds).any(|_| random.random_range(0..others) == 0);
    let (asked, mut left_out) = (2_000, 0);
    for _ in 0..asked {
        left_out += usize::from(silent(&mut random));
    }
    assert!(left_out * 20 < asked, "{left_out} of {asked} are left out");
}

#[parameterized(none = { 0 }, one = { 1 }, few = { 8 })]
fn where_there_are_few_all_are_told_of_news(others: usize) {
    assert_eq!(fanout(others), others);
}

// Load pattern: news several times a second on hundreds of instances.
#[parameterized(tens = { 38 }, hundreds = { 148 }, thousands = { 2_000 })]
fn news_reaches_all_at_little_cost(others: usize) {
    let mut random = ChaCha8Rng::seed_from_u64(7);
    let (mut missed, rounds) = (0, 100);
    for _ in 0..rounds {
        let (mut knows, mut fresh) = (vec![false; others + 1], vec![0]);
        knows[0] = true;
        while let Some(teller) = fresh.pop() {
            for other in rand::seq::index::sample(&mut random, others, fanout(others)) {
                let told = if other < teller { other } else { other + 1 };
                if !std::mem::replace(&mut knows[told], true) {
                    fresh.push(told);
                }
            }
        }
        missed += knows.iter().filter(|knows| !**knows).count();
    }
    assert!(missed * 1000 < rounds * others, "{missed} in {rounds} rounds");
    assert!(fanout(others) < 16);
}
