//! The liveness timeout of gateways and the fanout of updates.

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
fn liveness_timeout_grows_with_the_number_of_gateways(others: usize, for_ms: u64) {
    assert_eq!(liveness_timeout(others), ms(for_ms));
}

#[test]
fn liveness_timeout_does_not_overflow() {
    assert!(liveness_timeout(usize::MAX) >= liveness_timeout(1_000_000));
}

#[parameterized(few = { 6 }, many = { 29 }, hundreds = { 400 })]
fn few_live_gateways_exceed_the_liveness_timeout(others: usize) {
    // Each of the other gateways sends to this one in one of `others` of its periods.
    let mut random = ChaCha8Rng::seed_from_u64(2);
    let rounds = (liveness_timeout(others).as_millis() / PERIOD.as_millis()) as usize;
    let silent =
        |random: &mut ChaCha8Rng| !(0..rounds).any(|_| random.random_range(0..others) == 0);
    let (trials, mut timed_out) = (2_000, 0);
    for _ in 0..trials {
        timed_out += usize::from(silent(&mut random));
    }
    assert!(timed_out * 20 < trials, "{timed_out} of {trials} timed out");
}

#[parameterized(none = { 0 }, one = { 1 }, few = { 8 })]
fn few_gateways_send_updates_to_all_others(others: usize) {
    assert_eq!(fanout(others), others);
}

// Load pattern: updates several times a second on hundreds of instances.
#[parameterized(tens = { 38 }, hundreds = { 148 }, thousands = { 2_000 })]
fn updates_reach_all_gateways_with_a_small_fanout(others: usize) {
    let mut random = ChaCha8Rng::seed_from_u64(7);
    let (mut missed, rounds) = (0, 100);
    for _ in 0..rounds {
        let (mut knows, mut senders) = (vec![false; others + 1], vec![0]);
        knows[0] = true;
        while let Some(sender) = senders.pop() {
            for other in rand::seq::index::sample(&mut random, others, fanout(others)) {
                let receiver = if other < sender { other } else { other + 1 };
                if !std::mem::replace(&mut knows[receiver], true) {
                    senders.push(receiver);
                }
            }
        }
        missed += knows.iter().filter(|knows| !**knows).count();
    }
    assert!(missed * 1000 < rounds * others, "{missed} in {rounds} rounds");
    assert!(fanout(others) < 16);
}
