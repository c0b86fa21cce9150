//! The rotation in which agents report to gateways and query them.

use cinderspoke_core::gateway::rotation::{queries_last_responder, scheduled};
use yare::parameterized;

#[parameterized(
    few = { 7, 1 },
    more = { 20, 2 },
    many = { 40, 3 },
    hundreds = { 500, 3 },
)]
fn agents_report_to_gateways_in_rotation(gateways: usize, ticks: usize) {
    let scheduled_numbers: Vec<usize> =
        (5..5 + ticks).flat_map(|tick| scheduled(gateways, tick)).collect();
    let mut all = scheduled_numbers.clone();
    all.sort_unstable();
    assert!(all.into_iter().eq(0..gateways), "each is scheduled once in {ticks} ticks");
    assert!(scheduled(gateways, 0).count() <= gateways.div_ceil(ticks));
}

#[test]
fn queries_reach_every_gateway_of_the_rotation() {
    for ticks in 1..=3 {
        let queries = (0..30).filter(|query| !queries_last_responder(*query));
        let mut reached: Vec<_> = queries.map(|query| query % ticks).collect();
        reached.sort_unstable();
        reached.dedup();
        assert_eq!(reached.len(), ticks);
    }
    // An instance counts as unreachable after 450 ms without an answer.
    let gap = |from: usize| (from..from + 3).any(queries_last_responder);
    assert!((0..30).all(gap), "the last responder is queried every 300 ms");
}
