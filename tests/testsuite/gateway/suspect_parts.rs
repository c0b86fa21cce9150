//! Which parts of prompts are quarantined.

use cinderspoke_core::gateway::call::{Call, Size};
use cinderspoke_core::gateway::fingerprint::{Fingerprint, Identity};
use cinderspoke_core::gateway::suspect::{Admission, Changes, Crash, Part, Subject, Table};
use cinderspoke_core::rendezvous::Key;

use super::ms;

/// The parts that the prompts of sound requests have, by place and popularity.
pub(super) const FIRST: u64 = 100;
pub(super) const SECOND: u64 = 200;
pub(super) const THIRD: u64 = 300;

/// The keys of fatal parts.
pub(super) const FATAL: u64 = 900;

pub(super) fn part(key: u64) -> Subject {
    Subject::Part(Part::new(key))
}

fn crash(endpoint: &str, sent: u64, disconnected: u64) -> Crash {
    let id = Key::of(endpoint).with(Key::of_number(disconnected)).as_u64();
    Crash { id, endpoint: endpoint.into(), sent: ms(sent), disconnected: ms(disconnected) }
}

/// Records a crash under some parts; returns what changes.
fn record(table: &mut Table, parts: &[u64], endpoint: &str, sent: u64, at: u64) -> Changes {
    let parts: Vec<_> = parts.iter().map(|key| part(*key)).collect();
    table.record_crash(&parts, &crash(endpoint, sent, at), ms(at))
}

/// A table with three ends under some parts, one after another; the last at 2000.
fn three_ends(parts: &[u64]) -> Table {
    let mut table = Table::default();
    record(&mut table, parts, "e1", 800, 1000);
    record(&mut table, parts, "e2", 1300, 1500);
    record(&mut table, parts, "e3", 1800, 2000);
    table
}

fn admit(table: &mut Table, parts: &[u64], at: u64) -> Admission {
    let parts: Vec<_> = parts.iter().map(|key| part(*key)).collect();
    table.admit(&parts, Key::of("g"), at, ms(at))
}

#[test]
fn the_last_part_of_a_prompt_is_no_subject() {
    let request = Fingerprint::of(&Identity {
        method: "POST",
        host: "h",
        path: "/",
        caller: "team",
        body: b"",
    });
    let mut call = Call {
        id: "id".into(),
        host: "h".into(),
        path: "/".into(),
        key: None,
        deadline: None,
        model: None,
        size: Size::default(),
        prefix: vec![(1, 40), (2, 400), (3, 250)],
        last_event: None,
    };
    assert_eq!(Subject::of(request, &call), [Subject::Request(request), part(1), part(2)]);
    call.prefix.clear();
    assert_eq!(Subject::of(request, &call), [Subject::Request(request)]);
    call.prefix = (0..5000).map(|key| (key, 1)).collect();
    assert!(Subject::of(request, &call).len() < 100, "what is tracked is bounded");
}

#[test]
fn a_part_is_quarantined_after_a_chain_of_three_ends() {
    let mut table = three_ends(&[FATAL]);
    assert!(matches!(admit(&mut table, &[FIRST, FATAL], 2001), Admission::Quarantined(..)));
    assert_eq!(admit(&mut table, &[FIRST, SECOND], 2001), Admission::Pass);
}

// A rack or a loss of power ends many endpoints at once, with requests that share parts.
#[test]
fn ends_at_the_same_moment_quarantine_no_part() {
    let mut table = Table::default();
    for number in 0..12 {
        record(&mut table, &[FIRST], &format!("e{number}"), 100 * number, 2000 + 5 * number);
    }
    // Another loss later is a second link.
    for number in 0..12 {
        record(&mut table, &[FIRST], &format!("f{number}"), 3000, 4000 + 5 * number);
    }
    assert_eq!(admit(&mut table, &[FIRST], 4100), Admission::Pass);
}

#[test]
fn a_whole_answer_clears_all_parts_of_its_request() {
    let mut table = three_ends(&[FIRST, FATAL]);
    let changes = table.record_answer(&[part(FIRST), part(SECOND)], ms(2100));
    assert!(changes.updated);
    assert_eq!(admit(&mut table, &[FIRST, SECOND], 2101), Admission::Pass);
    assert!(matches!(admit(&mut table, &[FIRST, FATAL], 2101), Admission::Quarantined(..)));
}

// An innocent part is at some of the endpoints that a fatal one ends.
#[test]
fn an_end_that_a_quarantined_part_explains_counts_for_no_other() {
    let mut table = Table::default();
    for number in 0..5 {
        let at = 1000 + 500 * number;
        let parts: &[u64] = if number < 4 { &[FATAL, THIRD] } else { &[FATAL] };
        record(&mut table, parts, &format!("e{number}"), at - 200, at);
    }
    assert!(matches!(admit(&mut table, &[FATAL], 3001), Admission::Quarantined(..)));
    assert_eq!(admit(&mut table, &[THIRD], 3001), Admission::Pass);
}

#[test]
fn two_fatal_parts_are_both_quarantined() {
    let mut table = three_ends(&[FATAL]);
    record(&mut table, &[FATAL + 1], "f1", 900, 1100);
    record(&mut table, &[FATAL + 1], "f2", 1400, 1600);
    record(&mut table, &[FATAL + 1], "f3", 1900, 2100);
    for fatal in [FATAL, FATAL + 1] {
        assert!(matches!(admit(&mut table, &[fatal], 2101), Admission::Quarantined(..)));
    }
}

// Two parts that were always together can't be told apart by ends. A sound request that has only
// one of them soon tells which it is.
#[test]
fn a_request_without_all_rivals_is_soon_a_probe() {
    let mut table = three_ends(&[FIRST, FATAL]);
    let held = [FIRST, FATAL].map(|key| admit(&mut table, &[key], 2001) != Admission::Pass);
    assert_eq!(held.iter().filter(|held| **held).count(), 1, "one of them explains all ends");
    let suspect = if held[0] { FIRST } else { FATAL };
    assert!(matches!(admit(&mut table, &[suspect], 2900), Admission::Quarantined(..)));
    assert!(matches!(admit(&mut table, &[FIRST, FATAL], 4100), Admission::Quarantined(..)));
    let probe = (3000..11_000)
        .step_by(10)
        .find(|at| admit(&mut table, &[suspect], *at) == Admission::Probe(part(suspect)));
    let probe = probe.expect("within 1 s and the gateway's share of 8 s");
    table.record_answer(&[part(suspect)], ms(probe + 300));
    assert_eq!(admit(&mut table, &[suspect], probe + 301), Admission::Pass);
    assert!(matches!(admit(&mut table, &[FIRST, FATAL], probe + 301), Admission::Quarantined(..)));
}

// However long a fatal part goes on, it is probed a few times a day at most.
#[test]
fn a_part_is_probed_three_times_in_a_day() {
    let mut table = three_ends(&[FATAL]);
    let day = 24 * 3600 * 1000;
    let probes = (2000..2000 + day).step_by(500).filter(|at| {
        let is_probe = matches!(admit(&mut table, &[FATAL], *at), Admission::Probe(_));
        if is_probe {
            record(&mut table, &[FATAL], &format!("e{at}"), *at, at + 200);
        }
        is_probe
    });
    let probes: Vec<_> = probes.collect();
    assert!((2..=3).contains(&probes.len()), "{probes:?}");
    assert!((8000..=16_500).contains(&(probes[0] - 2000)), "{probes:?}");
}

// A probe that no endpoint ran, or that was answered by none, says nothing of the part.
#[test]
fn a_probe_under_which_no_endpoint_ends_lengthens_no_quarantine() {
    let mut table = three_ends(&[FATAL]);
    let probe = (2000..20_000)
        .find(|at| matches!(admit(&mut table, &[FATAL], *at), Admission::Probe(_)))
        .unwrap();
    let Admission::Quarantined(_, left) = admit(&mut table, &[FATAL], probe + 1) else {
        panic!("one probe at a time")
    };
    assert!(left <= ms(16_000), "{left:?}");
}

// Two requests with the part were at the endpoint; the one that was sent before the end before it
// was recorded first.
#[test]
fn the_latest_send_at_an_end_counts() {
    let mut table = Table::default();
    for number in 0..3 {
        let at = 1000 + 500 * number;
        record(&mut table, &[FATAL], &format!("e{number}"), 0, at);
        record(&mut table, &[FATAL], &format!("e{number}"), at - 200, at);
    }
    assert!(matches!(admit(&mut table, &[FATAL], 2001), Admission::Quarantined(..)));
}

// The store may still hold a part that was released: its removal may come later, or never.
#[test]
fn a_released_part_is_not_restored_from_the_store() {
    let mut table = three_ends(&[FIRST]);
    table.record_answer(&[part(FIRST)], ms(2100));
    assert!(!table.restore_quarantine(part(FIRST), ms(2200)));
    assert_eq!(admit(&mut table, &[FIRST], 2201), Admission::Pass);
    let mut young = Table::default();
    assert!(young.restore_quarantine(part(FIRST), ms(2200)));
}

// A gateway that hears of no new ends stands alone against the next fatal part.
#[test]
fn many_quarantined_parts_leave_room_for_new_ends_in_messages() {
    let mut table = Table::default();
    for fatal in 0..60 {
        for end in 0..3 {
            let at = 1000 + 500 * end;
            record(&mut table, &[FATAL + fatal], &format!("e{fatal}-{end}"), at - 200, at);
        }
    }
    record(&mut table, &[FIRST], "f", 2900, 3000);
    let mut other = Table::default();
    for round in 0..60 {
        let now = ms(3010 + 100 * round);
        other.merge(&[], &table.part_updates(now), now);
        assert!(round > 0 || other.is_suspected(part(FIRST)), "the new end comes first");
    }
    assert_eq!(other.count_quarantined(), (0, 60), "all are told in turn");
}

#[test]
fn suspect_parts_and_their_updates_are_bounded_and_keep_quarantined_ones() {
    let mut table = three_ends(&[FATAL]);
    for number in 0..3000 {
        let parts: Vec<_> = (0..10).map(|part| 10_000 + number * 10 + part).collect();
        record(&mut table, &parts, "e9", 2100, 2500 + number);
    }
    let updates = table.part_updates(ms(6000));
    let size = postcard::to_stdvec(&updates).unwrap().len();
    assert!(size < 6000, "{size} bytes in a message");
    let mut other = Table::default();
    other.merge(&[], &updates, ms(6000));
    assert!(matches!(admit(&mut other, &[FATAL], 6001), Admission::Quarantined(..)));
}
