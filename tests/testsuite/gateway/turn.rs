//! The turns in which agents tell gateways.

use cinderspoke_core::gateway::turn::in_turn;
use yare::parameterized;

#[parameterized(
    few = { 7, 1 },
    more = { 20, 2 },
    many = { 40, 3 },
    hundreds = { 500, 3 },
)]
fn gateways_take_turns_in_being_told(gateways: usize, turns: usize) {
    let told: Vec<usize> = (5..5 + turns).flat_map(|tick| in_turn(gateways, tick)).collect();
    let mut all = told.clone();
    all.sort_unstable();
    assert!(all.into_iter().eq(0..gateways), "each is told once in {turns} turns");
    assert!(in_turn(gateways, 0).count() <= gateways.div_ceil(turns));
}
