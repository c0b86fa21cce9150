//! For how long a gateway counts that is silent.

use cinderspoke_core::gateway::gossip::{PERIOD, patience};
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
    assert_eq!(patience(others), ms(for_ms));
}

#[test]
fn no_number_of_gateways_is_too_large() {
    assert!(patience(usize::MAX) >= patience(1_000_000));
}

#[parameterized(few = { 6 }, many = { 29 }, hundreds = { 400 })]
fn hardly_any_gateway_that_lives_is_left_out(others: usize) {
    // One gateway; each of the others tells it in one of so many of its rounds.
    let mut random = ChaCha8Rng::seed_from_u64(2);
    let rounds = (patience(others).as_millis() / PERIOD.as_millis()) as usize;
    let silent =
        |random: &mut ChaCha8Rng| !(0..rounds).any(|_| random.random_range(0..others) == 0);
    let (asked, mut left_out) = (2_000, 0);
    for _ in 0..asked {
        left_out += usize::from(silent(&mut random));
    }
    assert!(left_out * 20 < asked, "{left_out} of {asked} are left out");
}
