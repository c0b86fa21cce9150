//! What endpoints are busy with, and when they are out of reach.

use cinderspoke_core::gateway::call::Size;
use cinderspoke_core::gateway::catalog::Engine;
use cinderspoke_core::gateway::load::{Estimate, Load, Report, forecast};
use cinderspoke_core::gateway::rollout::Version;
use cinderspoke_core::gateway::tally::Outstanding;

use super::ms;

fn engine() -> Engine {
    Engine {
        slots: 16,
        capacity: 300_000,
        step_ms: 9.0,
        per_request_ms: 0.02,
        per_context_ms: 0.03,
        read_per_s: 20_000.0,
        per_pairs_ms: 1.2,
        chunk: 2048,
        stride: 5,
        usual_prompt: 1000,
        usual_answer: 90,
        models: vec!["m".into()],
        layers: 16,
        chunks: 96,
        chunk_bytes: 24_576,
        load: ms(300),
    }
}

const SIZE: Size = Size { prompt: 1000, max_answer: 100, answer_hint: None };

fn report(running: u32, queued: u32) -> Report {
    let version = Some(Version(1));
    Report { running, queued, slowdown: 1.0, version, accepts_requests: true, ..Report::default() }
}

#[test]
fn a_first_token_waits_for_the_prompts_ahead_and_for_a_slot() {
    let first = |running, queued| {
        let mut load = Load::default();
        load.apply_report(report(running, queued), ms(0), ms(1000));
        forecast(&engine(), &load.estimate(Some(&engine()), 7, ms(1000)), SIZE).ttft()
    };
    assert!(first(0, 0) < first(4, 0));
    assert!(first(4, 2) > first(4, 0) + ms(90), "two prompts of 50 ms are ahead");
    assert!(first(16, 4) > first(11, 4) + ms(100), "no slot is free");
}

// Load pattern: engines that are slower than declared. An allowance for long prompts that leaves
// out how slow they are, or what long prompts cost beyond their tokens, refuses these first.
#[test]
fn what_a_prompt_takes_by_itself_is_told_apart_from_what_others_cause() {
    let forecast = |prompt, pace| {
        let estimate = Estimate { requests: 8.0, waiting: 2.0, unread: 2000.0, slowdown: pace };
        forecast(&engine(), &estimate, Size { prompt, ..SIZE })
    };
    let (usual, large) = (forecast(1000, 1.0), forecast(4000, 1.0));
    assert_eq!((large.wait, large.usual_prefill), (usual.wait, usual.usual_prefill));
    assert_eq!(usual.ttft(), usual.usual_ttft());
    // 3,000 tokens more at 20 a millisecond, and 8 million pairs less half a million at 1.2 ms.
    assert_eq!(large.prefill - usual.prefill, ms(150) + ms(9));
    let slow = forecast(4000, 3.0);
    assert_eq!((slow.prefill, slow.usual_prefill), (large.prefill * 3, large.usual_prefill * 3));
}

#[test]
fn what_was_sent_since_the_report_counts() {
    let mut load = Load::default();
    load.apply_report(report(2, 0), ms(0), ms(1000));
    let before = load.estimate(Some(&engine()), 7, ms(1001));
    load.record_sent(1, 3000, ms(100), ms(1001));
    let after = load.estimate(Some(&engine()), 7, ms(1002));
    assert_eq!(after.requests, before.requests + 1.0);
    assert_eq!(after.unread, before.unread + 3000.0);
    load.record_first_token(1);
    assert_eq!(load.estimate(Some(&engine()), 7, ms(1003)).unread, before.unread);
}

// Load pattern: an engine that is asked slightly more than it can do. Its own report
// leaves out what has come since its last pass.
#[test]
fn what_other_gateways_have_outstanding_counts_besides_what_was_sent_from_here() {
    let others = Outstanding { requests: 15, waiting: 3, unread: 2500 };
    let mut load = Load::default();
    load.apply_report(Report { others, ..report(12, 0) }, ms(0), ms(1000));
    load.record_sent(1, 1000, ms(100), ms(990));
    let now = load.estimate(Some(&engine()), 7, ms(990));
    assert_eq!((now.requests, now.waiting, now.unread), (16.0, 4.0, 3500.0));
    assert_eq!(load.report_age(ms(1090)), Some(ms(100)), "what came since is not known here");
}

#[test]
fn each_request_beyond_the_slots_waits_for_as_long_as_a_full_engine_takes_for_one() {
    let first = |requests: u32, waiting| {
        let others = Outstanding { requests, waiting, unread: waiting * 1000 };
        let mut load = Load::default();
        load.apply_report(Report { others, ..report(0, 0) }, ms(0), ms(1000));
        forecast(&engine(), &load.estimate(Some(&engine()), 7, ms(990)), SIZE).ttft()
    };
    // 1,000 tokens read in 50 ms, and 90 written in steps of 9.8 ms among 16.
    let (one, two) = (first(18, 4), first(19, 5));
    assert!(two - one > ms(95) && two - one < ms(120), "{:?}", two - one);
}

#[test]
fn an_endpoint_whose_agent_falls_silent_is_out_of_reach() {
    let mut load = Load::default();
    assert!(!load.is_unreachable(ms(5000)), "nothing was ever reported");
    load.apply_report(report(0, 0), ms(0), ms(1000));
    assert!(!load.is_unreachable(ms(1100)));
    assert!(load.is_unreachable(ms(3000)));
}

#[test]
fn an_endpoint_whose_reports_come_late_is_out_of_reach() {
    let mut load = Load::default();
    load.apply_report(report(0, 0), ms(100), ms(1000));
    load.apply_report(report(0, 0), ms(200), ms(1500));
    assert!(load.is_unreachable(ms(1501)), "400 ms later than the first");
    load.apply_report(report(0, 0), ms(600), ms(1502));
    assert!(!load.is_unreachable(ms(1503)));
}

#[test]
fn an_endpoint_that_hears_no_gateway_is_out_of_reach() {
    let mut load = Load::default();
    load.apply_report(Report { last_contact_age: ms(900), ..report(0, 0) }, ms(0), ms(1000));
    assert!(load.is_unreachable(ms(1001)));
}

#[test]
fn an_endpoint_with_a_request_that_does_not_begin_is_stuck() {
    let mut load = Load::default();
    load.record_sent(1, 1000, ms(100), ms(1000));
    assert!(!load.is_stalled(ms(1200)));
    assert!(load.is_stalled(ms(1600)));
    load.record_first_token(1);
    assert!(!load.is_stalled(ms(1700)));
}

// A large request at an engine that is slower than it says takes longer than expected by more
// than a small one does; it is no sign that the engine stands still.
#[test]
fn an_endpoint_is_not_stuck_by_a_request_that_was_expected_to_take_long() {
    let mut load = Load::default();
    load.record_sent(1, 8000, ms(1000), ms(1000));
    assert!(!load.is_stalled(ms(2900)), "twice what was expected");
    assert!(load.is_stalled(ms(3100)));
}

#[test]
fn an_agent_that_starts_again_is_in_reach_however_young_it_ended() {
    // The new process's clock begins at zero: its reports look late by all that
    // the process before it had lived, and by the time between the two.
    for lived in [300, 5000, 60_000] {
        let mut load = Load::default();
        let from = |process| Report { process, ..report(1, 0) };
        load.apply_report(from(1), ms(0), ms(1000));
        load.apply_report(from(1), ms(lived), ms(1000 + lived));
        assert!(!load.is_unreachable(ms(1000 + lived)));
        let again = 1500 + lived;
        for told in [0, 100, 200] {
            load.apply_report(from(2), ms(told), ms(again + told));
        }
        assert!(!load.is_unreachable(ms(again + 200)), "after {lived} ms of life");
        load.apply_report(from(2), ms(300), ms(again + 300 + 200));
        assert!(load.is_unreachable(ms(again + 500)), "a late report still tells of a full link");
    }
}
