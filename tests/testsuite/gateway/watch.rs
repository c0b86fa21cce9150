//! How long news are waited for, and how old they may be.

use cinderspoke_core::gateway::watch::{Freshness, Watch, wait};

use super::ms;

/// A watch that heard something at 10 s.
fn watching() -> Watch {
    let mut watch = Watch::new(ms(0));
    watch.record_complete(ms(10_000));
    watch
}

#[test]
fn what_comes_over_an_unbroken_watch_is_new_however_long_it_took() {
    assert_eq!(watching().freshness(ms(19_000)), Freshness::New);
}

// The platform turns some gateways away and goes on for others and operators, so that
// refused calls show no more than silent ones.
#[test]
fn what_comes_after_calls_that_failed_may_be_as_old_as_the_last_answer() {
    let mut watch = watching();
    for failures in 1..5 {
        watch.record_failure(ms(11_000 + u64::from(failures)));
        assert_eq!(watch.failures(), failures);
        assert_eq!(watch.unanswered_since(), ms(11_001), "the first one tells");
        assert_eq!(watch.freshness(ms(16_004)), Freshness::Within(ms(6004)));
    }
    watch.record_complete(ms(16_004));
    assert_eq!(watch.freshness(ms(17_000)), Freshness::New);
}

#[test]
fn what_comes_after_a_watch_was_given_up_may_be_as_old_as_the_last_answer() {
    let mut watch = watching();
    watch.abandon();
    assert_eq!(watch.freshness(ms(12_000)), Freshness::Within(ms(2000)));
}

#[test]
fn what_the_platform_forgot_may_be_as_old_as_the_last_whole_answer() {
    let mut watch = watching();
    watch.record_failure(ms(11_000));
    watch.record_gap(ms(12_000));
    assert_eq!((watch.failures(), watch.since_last_answer(ms(12_010))), (0, ms(10)));
    assert_eq!(watch.freshness(ms(12_010)), Freshness::Within(ms(2010)));
}

// What is sound again has to show it soon: until then all news count as old, and one
// more call that is silent costs its whole wait.
#[test]
fn a_watch_that_went_amiss_waits_as_shortly_as_it_may() {
    let calm = |watch: &Watch| watch.wait(40, 0.9) > ms(20_000);
    let amiss: [fn(&mut Watch); 3] = [
        |watch| watch.record_failure(ms(11_000)),
        Watch::abandon,
        |watch| watch.record_gap(ms(11_000)),
    ];
    for amiss in amiss {
        let mut watch = watching();
        assert!(calm(&watch));
        amiss(&mut watch);
        assert_eq!(watch.wait(40, 0.9), ms(500));
        watch.record_complete(ms(12_000));
        assert!(calm(&watch));
    }
}

#[test]
fn all_gateways_together_ask_as_often_however_many_they_are() {
    // Calls a second, by the mean of evenly drawn waits.
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

// Guards against gateways that follow others and look by themselves each half second, once a
// look was given up since others had told the news: each brought a copy over a narrow link.
#[test]
fn a_pause_makes_news_old_and_the_next_pause_no_shorter() {
    let mut watch = Watch::new(ms(0));
    watch.record_pause();
    assert_eq!(watch.freshness(ms(9000)), Freshness::Within(ms(9000)));
    assert_eq!(watch.poll_interval(14, 1.0), Watch::new(ms(0)).poll_interval(14, 1.0));
    watch.record_complete(ms(9000));
    assert_eq!(watch.freshness(ms(9000)), Freshness::New);
}
