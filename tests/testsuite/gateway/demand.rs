//! The estimate of the arrival rate.

use cinderspoke_core::gateway::demand::Demand;

use super::ms;

#[test]
fn the_estimate_reaches_a_steady_rate_and_decays_after_it_ends() {
    let mut demand = Demand::default();
    assert_eq!(demand.per_second(ms(0)), 0.0);
    (0..500).for_each(|number| demand.record_arrival(ms(20 * number)));
    let rate = demand.per_second(ms(10_000));
    assert!((45.0..55.0).contains(&rate), "{rate} of 50 a second");
    assert!(demand.per_second(ms(20_000)) < 1.0);
}

#[test]
fn the_estimate_follows_a_burst_within_two_seconds() {
    let mut demand = Demand::default();
    (0..100).for_each(|number| demand.record_arrival(ms(100 * number)));
    (0..150).for_each(|number| demand.record_arrival(ms(10_000 + 10 * number)));
    let rate = demand.per_second(ms(11_500));
    assert!((50.0..100.0).contains(&rate), "{rate}, 10 before and 100 now");
}
