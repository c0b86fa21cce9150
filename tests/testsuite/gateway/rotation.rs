//! The turns in which agents tell gateways.

use cinderspoke_core::gateway::rotation::{queries_last_responder, scheduled};
use yare::parameterized;

#[parameterized(
    few = { 7, 1 },
    more = { 20, 2 },
    many = { 40, 3 },
    hundreds = { 500, 3 },
)]
fn gateways_take_turns_in_being_told(gateways: usize, turns: usize) {
    let told: Vec<usize> = (5..5 + turns).flat_map(|tick| scheduled(gateways, tick)).collect();
    let mut all = told.clone();
    all.sort_unstable();
    assert!(all.into_iter().eq(0..gateways), "each is told once in {turns} turns");
    assert!(scheduled(gateways, 0).count() <= gateways.div_ceil(turns));
}

#[test]
fn no_turn_is_left_out_of_the_questions() {
    for turns in 1..=3 {
        let questions = (0..30).filter(|question| !queries_last_responder(*question));
        let mut asked: Vec<_> = questions.map(|question| question % turns).collect();
        asked.sort_unstable();
        asked.dedup();
        assert_eq!(asked.len(), turns);
    }
    // An instance counts as deaf after 450 ms without an answer.
    let gap = |from: usize| (from..from + 3).any(queries_last_responder);
    assert!((0..30).all(gap), "whoever answered last is asked every 300 ms");
}
