//! Choosing an endpoint, or refusing.

use std::collections::BTreeSet;
use std::time::Duration;

use cinderspoke_core::gateway::load::Forecast;
use cinderspoke_core::gateway::pick::{Agent, Candidate, Choice, Requirements, pick};
use cinderspoke_core::swarm::Distance;

use super::ms;

fn candidate(number: usize, first: Duration, distance: Distance) -> Candidate {
    let (age, turn, agent) = (ms(50), ms(80), Agent::None);
    let forecast = Forecast { wait: first, ..Forecast::default() };
    Candidate { number, distance, forecast, age, service_time: turn, is_probe: false, agent }
}

/// A request that comes so long after its caller's first attempt.
fn wish(waited: Duration) -> Requirements {
    let (aim, deadline) = (ms(400), ms(6000));
    let target = aim.saturating_sub(waited);
    let deadline = deadline - waited;
    Requirements {
        ttft_target: aim,
        target_left: target,
        time_left: deadline,
        sent_before: false,
        weights_missing: false,
        backoff_left: None,
        competing_rate: 0.0,
        seed: 7,
    }
}

fn is_sent(wish: &Requirements, first: Duration) -> bool {
    let only = [candidate(0, first, Distance::Zone)];
    matches!(pick(wish, &only), Choice::Send { .. })
}

#[test]
fn the_endpoint_that_begins_first_is_chosen_and_near_ones_win_ties() {
    let candidates = [
        candidate(0, ms(300), Distance::Zone),
        candidate(1, ms(100), Distance::Far),
        candidate(2, ms(100), Distance::Zone),
    ];
    assert_eq!(pick(&wish(ms(0)), &candidates), Choice::Send { number: 2, ttft: ms(100) });
}

#[test]
fn who_would_be_late_is_refused() {
    assert!(is_sent(&wish(ms(0)), ms(250)));
    assert!(!is_sent(&wish(ms(0)), ms(900)));
    assert!(matches!(pick(&wish(ms(0)), &[]), Choice::Refuse { best: None, .. }));
}

// Load pattern: for long, more demand than endpoints can serve. Were those who come
// back late served before others, all would be late in the end.
#[test]
fn who_is_late_already_takes_no_place_from_those_in_time() {
    assert!(!is_sent(&wish(ms(1500)), ms(250)));
    assert!(is_sent(&wish(ms(1500)), ms(120)), "there is room for fresh and late requests");
}

// Load pattern: for seconds, no endpoint has the version that is wanted. Who is told
// to come back sooner is refused again.
#[test]
fn who_finds_no_weights_comes_back_when_they_may_be_there() {
    let come_back = |weights_missing, spread| {
        let wish = Requirements { weights_missing, seed: spread, ..wish(ms(0)) };
        match pick(&wish, &[]) {
            Choice::Refuse { retry_after: come_back, best: None } => come_back,
            choice => panic!("{choice:?}"),
        }
    };
    for spread in 0..2000 {
        assert!(come_back(true, spread) >= ms(1000));
        assert!(come_back(true, spread) <= ms(2000), "a third of what callers wait");
        assert!(come_back(false, spread) < ms(500));
    }
}

// A request that begins when its caller has left takes an engine's time from others in vain.
#[test]
fn who_cannot_begin_before_its_caller_leaves_is_refused() {
    let is_sent = |own: u64| {
        let forecast = Forecast { wait: ms(100), prefill: ms(own), usual_prefill: ms(50) };
        let only = [Candidate { forecast, ..candidate(0, ms(0), Distance::Zone) }];
        matches!(pick(&wish(ms(0)), &only), Choice::Send { .. })
    };
    assert!(is_sent(5900));
    assert!(!is_sent(5901), "its caller waits for 6 s");
}

// A caller that is refused for its size once is refused each time that it comes back.
#[test]
fn who_comes_back_with_a_long_prompt_finds_an_endpoint_that_is_free() {
    let forecast = Forecast { wait: ms(20), prefill: ms(800), usual_prefill: ms(50) };
    let free = [Candidate { forecast, ..candidate(0, ms(0), Distance::Zone) }];
    assert!(matches!(pick(&wish(ms(1500)), &free), Choice::Send { .. }));
}

#[test]
fn who_comes_back_has_only_what_is_left_of_the_aim() {
    assert!(is_sent(&wish(ms(100)), ms(190)));
    assert!(!is_sent(&wish(ms(100)), ms(350)));
}

#[test]
fn who_was_sent_before_is_not_refused_for_being_late() {
    let sent = Requirements { sent_before: true, ..wish(ms(1500)) };
    assert!(is_sent(&sent, ms(900)));
    assert!(!is_sent(&sent, ms(5000)), "its caller would have left");
}

// Load pattern: many gateways that know the same choose at the same moment.
#[test]
fn requests_at_the_same_moment_go_to_many_endpoints() {
    let candidates: Vec<_> =
        (0..40).map(|number| candidate(number, ms(100 + number as u64), Distance::Zone)).collect();
    let mut chosen = BTreeSet::new();
    for spread in 0..100 {
        let Choice::Send { number, .. } =
            pick(&Requirements { seed: spread, ..wish(ms(0)) }, &candidates)
        else {
            panic!("refused");
        };
        chosen.insert(number);
    }
    assert!(chosen.len() >= 15, "{chosen:?}");
}

// Load pattern: twice of what can be served. Every gateway is told of the same place
// that became free.
#[test]
fn a_place_that_others_will_have_taken_by_now_is_none() {
    let told = |age| Candidate { age, ..candidate(0, ms(200), Distance::Zone) };
    let among = |rivals, age| {
        let wish = Requirements { competing_rate: rivals, ..wish(ms(0)) };
        matches!(pick(&wish, &[told(age)]), Choice::Send { .. })
    };
    assert!(among(200.0, ms(0)), "it has just been told");
    assert!(!among(200.0, ms(50)), "ten requests came since");
    assert!(among(2.0, ms(50)), "hardly any came since");
}

#[test]
fn rivals_share_out_among_all_places() {
    let wish = Requirements { competing_rate: 60.0, ..wish(ms(0)) };
    let candidates = |count| {
        (0..count).map(|number| candidate(number, ms(200), Distance::Zone)).collect::<Vec<_>>()
    };
    assert!(matches!(pick(&wish, &candidates(1)), Choice::Refuse { .. }));
    assert!(matches!(pick(&wish, &candidates(12)), Choice::Send { .. }));
}

#[test]
fn nobody_is_refused_while_any_endpoint_is_in_time() {
    let mut candidates: Vec<_> =
        (0..40).map(|number| candidate(number, ms(2000), Distance::Zone)).collect();
    candidates[17].forecast.wait = ms(50);
    for spread in 0..100 {
        let choice = pick(&Requirements { seed: spread, ..wish(ms(0)) }, &candidates);
        assert_eq!(choice, Choice::Send { number: 17, ttft: ms(50) });
    }
}

// Callers wait for at most a third of what they have, and another gateway may have room.
#[yare::parameterized(
    soon = { ms(5), ms(300), ms(600) },
    in_a_while = { ms(1500), ms(1500), ms(1800) },
    long_after = { Duration::from_secs(60), ms(2000), ms(2300) },
)]
fn who_finds_only_endpoints_that_rest_comes_back_when_the_first_has_rested(
    left: Duration,
    least: Duration,
    most: Duration,
) {
    let mut times = BTreeSet::new();
    for spread in 0..64 {
        let wish = Requirements {
            backoff_left: Some(left),
            weights_missing: true,
            seed: spread * 16,
            ..wish(ms(0))
        };
        let Choice::Refuse { retry_after: come_back, best: None } = pick(&wish, &[]) else {
            panic!("there is none to send to")
        };
        assert!(come_back >= least && come_back <= most, "{come_back:?}");
        times.insert(come_back);
    }
    assert!(times.len() > 32, "they would all come at once");
}
