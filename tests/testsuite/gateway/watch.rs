//! How long news are waited for, and how old they may be.

use cinderspoke_core::gateway::watch::{Failure, Freshness, Watch, wait};

use super::ms;

/// A watch that heard something at 10 s and asked again at once.
fn watching() -> Watch {
    let mut watch = Watch::new(ms(0));
    watch.hear(ms(10_000));
    watch.ask(ms(10_000));
    watch
}

#[test]
fn what_comes_over_an_unbroken_watch_is_new_however_long_it_took() {
    assert_eq!(watching().freshness(ms(19_000)), Freshness::New);
}

#[test]
fn what_comes_after_silence_may_be_as_old_as_the_last_answer() {
    let mut watch = watching();
    watch.fail(Failure::Silence);
    watch.ask(ms(13_000));
    assert_eq!(watch.freshness(ms(13_004)), Freshness::Within(ms(3004)));
    watch.fail(Failure::Silence);
    watch.ask(ms(16_000));
    assert_eq!(watch.freshness(ms(16_004)), Freshness::Within(ms(6004)));
    watch.hear(ms(16_004));
    assert_eq!(watch.freshness(ms(17_000)), Freshness::New);
}

#[test]
fn what_comes_after_a_watch_was_given_up_may_be_as_old_as_the_last_answer() {
    let mut watch = watching();
    watch.give_up();
    assert_eq!(watch.freshness(ms(12_000)), Freshness::Within(ms(2000)));
}

// A reset may end a connection of a platform that goes on accepting versions.
#[test]
fn one_refused_call_does_not_show_that_the_platform_was_away() {
    let mut watch = watching();
    watch.ask(ms(12_000));
    watch.fail(Failure::Refusal);
    assert_eq!(watch.freshness(ms(12_200)), Freshness::Within(ms(2200)));
}

#[test]
fn a_platform_that_refused_twice_accepted_nothing_before_the_second_time() {
    let mut watch = watching();
    watch.fail(Failure::Refusal);
    watch.ask(ms(14_000));
    watch.fail(Failure::Refusal);
    watch.ask(ms(15_000));
    assert_eq!(watch.freshness(ms(15_004)), Freshness::Within(ms(1004)));
}

#[test]
fn what_the_platform_forgot_may_be_as_old_as_the_last_whole_answer() {
    let mut watch = watching();
    watch.miss(ms(12_000));
    assert_eq!(watch.failures(), 0);
    assert_eq!(watch.freshness(ms(12_010)), Freshness::Within(ms(2010)));
}

#[test]
fn a_platform_that_is_slow_is_given_longer_each_time() {
    let mut watch = watching();
    let first = watch.margin();
    watch.fail(Failure::Silence);
    watch.fail(Failure::Silence);
    assert_eq!(watch.margin(), first * 4);
    (0..10).for_each(|_| watch.fail(Failure::Silence));
    assert_eq!(watch.margin(), first * 4);
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
