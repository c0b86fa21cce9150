//! The engines whose agents report to a gateway.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use cinderspoke_core::gateway::subset::{
    CROSS_REGION_PAIRS, MIN_OTHER_REGION_ENGINES, OWN_REGION_ENGINES, Subscribers,
    other_region_count, own_region_count, top_ranked,
};
use cinderspoke_core::rendezvous::Key;
use yare::parameterized;

use super::ms;

fn address(kind: u8, number: usize) -> SocketAddr {
    let [.., high, low] = number.to_be_bytes();
    SocketAddr::from(([10, kind, high, low], 7700))
}

fn engines(count: usize) -> Vec<SocketAddr> {
    (0..count).map(|number| address(1, number)).collect()
}

/// Number of gateways of a region that each of its engines' agents reports to.
fn gateways_per_engine(engines_count: usize, gateways: usize) -> BTreeMap<SocketAddr, usize> {
    let mut counts: BTreeMap<_, _> =
        engines(engines_count).into_iter().map(|one| (one, 0)).collect();
    for gateway in 0..gateways {
        let own = Key::of_address(address(0, gateway));
        for engine in
            top_ranked(own, engines(engines_count), own_region_count(engines_count, gateways))
        {
            *counts.entry(engine).or_default() += 1;
        }
    }
    counts
}

// Guards against report traffic that grows with the product of gateways and engines: with 110
// gateways and 88 engines in a region it was 29,000 datagrams a second.
#[parameterized(fleet = { 88, 110 }, twice = { 176, 220 }, tenfold = { 880, 1100 })]
fn what_a_gateway_receives_does_not_grow_with_the_fleet(engines: usize, gateways: usize) {
    assert_eq!(own_region_count(engines, gateways), OWN_REGION_ENGINES);
    let counts = gateways_per_engine(engines, gateways);
    let (least, most) = (counts.values().min().unwrap(), counts.values().max().unwrap());
    let mean = OWN_REGION_ENGINES * gateways / engines;
    assert!(*least > mean / 3 && *most < 2 * mean, "{least} to {most}, {mean} on average");
}

// Guards against a subset that omits engines in a fleet small enough for all of them.
#[parameterized(first = { 4, 3 }, grown = { 15, 14 }, large = { 24, 30 })]
fn in_a_small_fleet_every_gateway_has_reports_of_every_engine(engines: usize, gateways: usize) {
    assert!(own_region_count(engines, gateways) >= engines);
    assert!(other_region_count(gateways) >= engines.min(15));
}

// Guards against engines that report to no gateway if there are few gateways.
#[parameterized(one = { 200, 1 }, two = { 200, 2 }, five = { 400, 5 })]
fn with_few_gateways_each_engine_reports_to_some(engines: usize, gateways: usize) {
    assert!(gateways_per_engine(engines, gateways).values().all(|count| *count > 0));
}

// Guards against reports that saturate the link between two regions.
#[parameterized(grown = { 14 }, large = { 30 }, fleet = { 110 }, twice = { 220 })]
fn reports_to_another_region_are_bounded(gateways: usize) {
    assert!(
        gateways * other_region_count(gateways)
            <= CROSS_REGION_PAIRS.max(gateways * MIN_OTHER_REGION_ENGINES)
    );
}

// Guards against a gateway whose subset changes completely when an engine is added or removed.
#[test]
fn a_removed_engine_changes_one_entry_of_a_subset() {
    let own = Key::of_address(address(0, 1));
    let before = top_ranked(own, engines(88), OWN_REGION_ENGINES);
    let gone = before[7];
    let left: Vec<_> = engines(88).into_iter().filter(|engine| *engine != gone).collect();
    let after = top_ranked(own, left, OWN_REGION_ENGINES);
    assert_eq!(after.iter().filter(|engine| !before.contains(engine)).count(), 1);
}

// Guards against reports to gateways that have ended, and against subscriptions that end during a
// network partition.
#[test]
fn a_subscription_ends_long_after_its_last_renewal() {
    let mut subscribers = Subscribers::default();
    subscribers.renew(address(0, 1), ms(0));
    assert_eq!(subscribers.active(ms(20_000)), [address(0, 1)]);
    assert!(subscribers.active(ms(30_000)).is_empty());
}
