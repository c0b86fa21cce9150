//! How long gateways wait for changes from the platform, and how old these may be.

use cinderspoke_core::gateway::watch::{Freshness, Watch, wait};

use super::ms;

/// Returns a watch that got a complete answer at 10 s.
fn watching() -> Watch {
    let mut watch = Watch::new(ms(0));
    watch.record_complete(ms(10_000));
    watch
}

#[test]
fn changes_from_a_watch_without_failures_are_new_however_long_it_waited() {
    assert_eq!(watching().freshness(ms(19_000)), Freshness::New);
}

// The platform may refuse some gateways while it serves others and operators, so refused calls
// show no more than unanswered ones.
#[test]
fn changes_after_failed_calls_may_be_as_old_as_the_last_answer() {
    let mut watch = watching();
    for failures in 1..5 {
        watch.record_failure(ms(11_000 + u64::from(failures)));
        assert_eq!(watch.failures(), failures);
        assert_eq!(watch.unanswered_since(), ms(11_001), "the first failure counts");
        assert_eq!(watch.freshness(ms(16_004)), Freshness::Within(ms(6004)));
    }
    watch.record_complete(ms(16_004));
    assert_eq!(watch.freshness(ms(17_000)), Freshness::New);
}

#[test]
fn changes_after_an_abandoned_call_may_be_as_old_as_the_last_answer() {
    let mut watch = watching();
    watch.abandon();
    assert_eq!(watch.freshness(ms(12_000)), Freshness::Within(ms(2000)));
}

#[test]
fn changes_after_a_gap_may_be_as_old_as_the_last_complete_answer() {
    let mut watch = watching();
    watch.record_failure(ms(11_000));
    watch.record_gap(ms(12_000));
    assert_eq!((watch.failures(), watch.since_last_answer(ms(12_010))), (0, ms(10)));
    assert_eq!(watch.freshness(ms(12_010)), Freshness::Within(ms(2010)));
}

// A connection that works again has to prove it soon: until then all changes count as old, and
// one more unanswered call costs its whole wait.
#[test]
fn a_watch_waits_for_the_shortest_time_after_a_failure() {
    let waits_long = |watch: &Watch| watch.wait(40, 0.9) > ms(20_000);
    let failures: [fn(&mut Watch); 3] = [
        |watch| watch.record_failure(ms(11_000)),
        Watch::abandon,
        |watch| watch.record_gap(ms(11_000)),
    ];
    for fail in failures {
        let mut watch = watching();
        assert!(waits_long(&watch));
        fail(&mut watch);
        assert_eq!(watch.wait(40, 0.9), ms(500));
        watch.record_complete(ms(12_000));
        assert!(waits_long(&watch));
    }
}

#[test]
fn the_total_rate_of_calls_does_not_depend_on_the_number_of_gateways() {
    // Calls a second, from the mean of uniformly distributed waits.
    let rate = |gateways: usize| {
        let draws = 1000;
        let waits = (0..draws).map(|draw| wait(gateways, f64::from(draw) / f64::from(draws)));
        gateways as f64 * f64::from(draws) / waits.map(|wait| wait.as_secs_f64()).sum::<f64>()
    };
    for gateways in [2, 6, 18] {
        assert!((1.1..1.4).contains(&rate(gateways)), "{gateways}: {}", rate(gateways));
    }
    assert!(rate(1) < 1.4 && rate(150) < 11.0, "{}, {}", rate(1), rate(150));
}

#[test]
fn no_watch_waits_longer_than_the_platform_grants() {
    for gateways in [0, 1, 6, 40, 150, 1000, usize::MAX] {
        assert!(wait(gateways, 0.0) >= ms(500));
        assert!(wait(gateways, 1.0) <= ms(30_000));
    }
}

// Guards against followers that poll the platform every half second after a poll was abandoned
// because other gateways had sent the change: each fetched a copy over a narrow link.
#[test]
fn a_pause_makes_changes_old_and_the_next_pause_no_shorter() {
    let mut watch = Watch::new(ms(0));
    watch.record_pause();
    assert_eq!(watch.freshness(ms(9000)), Freshness::Within(ms(9000)));
    assert_eq!(watch.poll_interval(14, 1.0), Watch::new(ms(0)).poll_interval(14, 1.0));
    watch.record_complete(ms(9000));
    assert_eq!(watch.freshness(ms(9000)), Freshness::New);
}
