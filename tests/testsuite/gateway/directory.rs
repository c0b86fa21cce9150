//! The list of endpoints, as the platform loses and regains it.

use std::collections::BTreeMap;

use cinderspoke_core::gateway::directory::{
    Change, Directory, Entry, RETENTION, Start, State, Tracker,
};
use cinderspoke_core::gateway::fact::Revision;

use std::time::Duration;

use super::ms;

/// An endpoint of a service as it is listed.
pub(super) fn entry(address: &str, state: State) -> Entry {
    Entry {
        service: "say".into(),
        address: address.parse().unwrap(),
        zone: "a".into(),
        slots: 16,
        state,
        cold: Duration::ZERO,
        models: Vec::new(),
        reports_models: true,
        start: None,
    }
}

fn listed(tracker: &Tracker) -> Vec<String> {
    tracker.directory().entries.keys().map(ToString::to_string).collect()
}

fn put(name: &str, address: &str, state: State) -> Change {
    Change::Put(name.into(), entry(address, state))
}

#[test]
fn entries_that_lapse_during_an_outage_are_kept_until_they_had_time_to_return() {
    let mut tracker = Tracker::default();
    let all = vec![
        put("a", "10.0.0.1:1", State::Ready),
        put("b", "10.0.0.2:1", State::Ready),
        put("c", "10.0.0.3:1", State::Draining),
    ];
    tracker.apply(Revision(1), all, ms(0));
    tracker.record_recovery(ms(1000), ms(1000));
    tracker.replace(Revision(2), Directory::default(), ms(1100));
    assert_eq!(listed(&tracker), ["a", "b"], "whoever was about to leave is gone");
    tracker.apply(Revision(3), vec![put("a", "10.0.0.1:1", State::Ready)], ms(2000));
    assert!(!tracker.expire(ms(1000) + RETENTION - ms(1)));
    assert!(tracker.expire(ms(1000) + RETENTION));
    assert_eq!(listed(&tracker), ["a"], "whoever did not return is gone");
}

#[test]
fn an_entry_that_goes_while_the_platform_answers_is_gone_at_once() {
    let mut tracker = Tracker::default();
    tracker.apply(Revision(1), vec![put("a", "10.0.0.1:1", State::Ready)], ms(0));
    assert!(tracker.apply(Revision(2), vec![Change::Removed("a".into())], ms(10)));
    assert!(listed(&tracker).is_empty());
}

#[test]
fn an_older_list_changes_nothing() {
    let mut tracker = Tracker::default();
    tracker.apply(Revision(5), vec![put("a", "10.0.0.1:1", State::Draining)], ms(0));
    let old = Directory {
        entries: BTreeMap::from([("a".into(), entry("10.0.0.1:1", State::Ready))]),
        ..Directory::default()
    };
    assert!(!tracker.replace(Revision(4), old, ms(10)));
    assert_eq!(tracker.directory().entries.values().next().unwrap().state, State::Draining);
}

#[test]
fn an_address_belongs_to_its_newest_endpoint() {
    let mut tracker = Tracker::default();
    tracker.apply(Revision(1), vec![put("a", "10.0.0.1:1", State::Ready)], ms(0));
    tracker.apply(Revision(2), vec![put("b", "10.0.0.1:1", State::Ready)], ms(0));
    assert_eq!(listed(&tracker), ["b"]);
}

/// One gateway tells another its list.
fn tell(one: &Tracker, other: &mut Tracker, now: u64) {
    other.replace(one.revision(), one.snapshot(ms(now)), ms(now));
}

#[test]
fn an_entry_that_another_gateway_keeps_for_a_while_is_not_kept_for_good() {
    // The other gateway's list is newer than this one's own news of the removal,
    // which comes after it, and giving the entry up makes no newer list.
    let (mut one, mut other) = (Tracker::default(), Tracker::default());
    for tracker in [&mut one, &mut other] {
        tracker.apply(Revision(1), vec![put("a", "10.0.0.1:1", State::Ready)], ms(0));
    }
    one.record_recovery(ms(1000), ms(1000));
    one.apply(Revision(3), vec![Change::Removed("a".into())], ms(1000));
    tell(&one, &mut other, 1100);
    assert_eq!(listed(&other), ["a"], "it may be back");
    other.apply(Revision(2), vec![Change::Removed("a".into())], ms(1200));
    let settled = ms(1100) + RETENTION;
    one.expire(settled);
    other.expire(settled);
    assert!(listed(&one).is_empty());
    assert!(listed(&other).is_empty(), "whoever did not return is gone everywhere");
}

#[test]
fn what_was_given_up_is_not_taken_back_from_who_still_keeps_it() {
    let (mut one, mut other) = (Tracker::default(), Tracker::default());
    for tracker in [&mut one, &mut other] {
        tracker.apply(Revision(1), vec![put("a", "10.0.0.1:1", State::Ready)], ms(0));
    }
    other.apply(Revision(2), vec![Change::Removed("a".into())], ms(900));
    one.record_recovery(ms(1000), ms(1000));
    one.apply(Revision(3), vec![Change::Removed("a".into())], ms(1000));
    tell(&one, &mut other, 1100);
    assert!(listed(&other).is_empty(), "its own word of the removal stands");
}

#[test]
fn who_was_about_to_leave_is_not_ready_again_where_another_gateway_keeps_it() {
    let (mut one, mut other) = (Tracker::default(), Tracker::default());
    for tracker in [&mut one, &mut other] {
        tracker.apply(Revision(1), vec![put("a", "10.0.0.1:1", State::Ready)], ms(0));
    }
    other.apply(Revision(2), vec![put("a", "10.0.0.1:1", State::Draining)], ms(900));
    one.record_recovery(ms(1000), ms(1000));
    one.apply(Revision(3), vec![Change::Removed("a".into())], ms(1000));
    tell(&one, &mut other, 1100);
    assert!(listed(&other).is_empty(), "it has left");
}

#[test]
fn a_gateway_that_knows_nothing_yet_takes_what_another_keeps() {
    let (mut one, mut other) = (Tracker::default(), Tracker::default());
    one.apply(Revision(1), vec![put("a", "10.0.0.1:1", State::Ready)], ms(0));
    one.record_recovery(ms(1000), ms(1000));
    one.apply(Revision(3), vec![Change::Removed("a".into())], ms(1000));
    tell(&one, &mut other, 1100);
    assert_eq!(listed(&other), ["a"], "it may be back");
    assert!(other.expire(ms(1100) + RETENTION));
}

#[test]
fn an_entry_that_came_back_after_an_outage_and_goes_is_gone_at_once() {
    let mut tracker = Tracker::default();
    tracker.apply(Revision(1), vec![put("a", "10.0.0.1:1", State::Ready)], ms(0));
    tracker.record_recovery(ms(1000), ms(1000));
    tracker.apply(Revision(2), vec![Change::Removed("a".into())], ms(1000));
    tracker.apply(Revision(3), vec![put("a", "10.0.0.1:1", State::Ready)], ms(1500));
    assert!(tracker.apply(Revision(4), vec![Change::Removed("a".into())], ms(1600)));
    assert!(listed(&tracker).is_empty(), "it was written anew, so it did not lapse");
}

#[test]
fn whoever_lost_its_address_does_not_take_it_back_from_a_list_that_holds_both() {
    // The entry of an endpoint that died lasts a while beside that of the endpoint
    // that has its address now.
    let mut tracker = Tracker::default();
    tracker.apply(Revision(1), vec![put("z", "10.0.0.1:1", State::Ready)], ms(0));
    tracker.apply(Revision(2), vec![put("a", "10.0.0.1:1", State::Ready)], ms(100));
    let both =
        BTreeMap::from(["a", "z"].map(|name| (name.into(), entry("10.0.0.1:1", State::Ready))));
    let both = Directory { entries: both, ..Directory::default() };
    tracker.replace(Revision(2), both, ms(200));
    assert_eq!(listed(&tracker), ["a"]);
    tracker.apply(Revision(3), vec![Change::Removed("z".into())], ms(300));
    assert_eq!(listed(&tracker), ["a"]);
}

#[test]
fn a_first_list_with_an_address_twice_loses_neither_endpoint() {
    let mut tracker = Tracker::default();
    let both =
        BTreeMap::from(["a", "z"].map(|name| (name.into(), entry("10.0.0.1:1", State::Ready))));
    let both = Directory { entries: both, ..Directory::default() };
    tracker.replace(Revision(2), both, ms(200));
    tracker.apply(Revision(3), vec![Change::Removed("z".into())], ms(300));
    assert_eq!(listed(&tracker), ["a"], "whoever has the address now");
}

#[test]
fn an_older_news_of_a_ready_endpoint_does_not_undo_that_it_leaves() {
    let mut tracker = Tracker::default();
    tracker.apply(Revision(5), vec![put("a", "10.0.0.1:1", State::Draining)], ms(0));
    assert!(!tracker.apply(Revision(4), vec![put("a", "10.0.0.1:1", State::Ready)], ms(10)));
    assert!(!tracker.apply(Revision(4), vec![put("b", "10.0.0.1:1", State::Ready)], ms(10)));
    assert_eq!(listed(&tracker), ["a"], "nor takes its address");
    assert_eq!(tracker.directory().entries.values().next().unwrap().state, State::Draining);
}

#[test]
fn that_another_gateway_keeps_an_entry_as_well_does_not_tell_that_it_is_back() {
    let (mut one, mut other) = (Tracker::default(), Tracker::default());
    for tracker in [&mut one, &mut other] {
        tracker.apply(Revision(1), vec![put("a", "10.0.0.1:1", State::Ready)], ms(0));
        tracker.record_recovery(ms(1000), ms(1000));
        tracker.apply(Revision(2), vec![Change::Removed("a".into())], ms(1000));
    }
    tell(&one, &mut other, 1100);
    other.replace(Revision(2), Directory::default(), ms(1200));
    assert_eq!(listed(&other), ["a"], "it may be back");
}

// Symptom: requests reach an endpoint over two seconds after its entry went. Sequence:
// all gateways are cut from the store for 4 s; an endpoint leaves 0.4 to 1.1 s after they
// hear it again. Cause: its entry was kept like those that lapsed in the cut, until 2.5 s
// after the return, 2.4 s after it went.
#[test]
fn an_entry_that_goes_some_time_after_the_return_is_kept_for_one_renewal() {
    let mut tracker = Tracker::default();
    let all = vec![
        put("a", "10.0.0.1:1", State::Ready),
        put("b", "10.0.0.2:1", State::Ready),
        put("c", "10.0.0.3:1", State::Ready),
    ];
    tracker.apply(Revision(1), all, ms(0));
    tracker.record_recovery(ms(1000), ms(1000));
    tracker.apply(Revision(2), vec![Change::Removed("a".into())], ms(1010));
    tracker.apply(Revision(3), vec![Change::Removed("b".into())], ms(1500));
    assert!(!tracker.expire(ms(2900)));
    assert!(tracker.expire(ms(3050)));
    assert_eq!(listed(&tracker), ["a", "c"], "what lapsed in the outage is kept for longer");
    assert!(tracker.expire(ms(1000) + RETENTION));
    assert_eq!(listed(&tracker), ["c"]);
}

#[test]
fn an_entry_that_lapsed_some_time_after_the_return_and_is_back_stays() {
    let mut tracker = Tracker::default();
    tracker.apply(Revision(1), vec![put("a", "10.0.0.1:1", State::Ready)], ms(0));
    tracker.record_recovery(ms(1000), ms(1000));
    tracker.apply(Revision(2), vec![Change::Removed("a".into())], ms(1500));
    tracker.apply(Revision(3), vec![put("a", "10.0.0.1:1", State::Ready)], ms(2600));
    assert!(!tracker.expire(ms(3100)));
    assert!(!tracker.expire(ms(1000) + RETENTION));
    assert_eq!(listed(&tracker), ["a"]);
}

#[test]
fn a_gateway_that_is_told_of_such_an_entry_keeps_it_no_longer() {
    let (mut one, mut other) = (Tracker::default(), Tracker::default());
    for tracker in [&mut one, &mut other] {
        tracker.apply(Revision(1), vec![put("a", "10.0.0.1:1", State::Ready)], ms(0));
        tracker.record_recovery(ms(1000), ms(1000));
    }
    one.apply(Revision(2), vec![Change::Removed("a".into())], ms(1500));
    other.replace(one.revision(), one.snapshot(ms(1600)), ms(1600));
    assert!(!other.expire(ms(2900)));
    assert!(other.expire(ms(3050)));
    assert_eq!(listed(&other), [""; 0]);
}

/// An entry of a run of an endpoint.
fn put_run(name: &str, address: &str, start: u64) -> Change {
    let entry = Entry { start: Some(Start(start)), ..entry(address, State::Ready) };
    Change::Put(name.into(), entry)
}

// An endpoint ends, another one has its address, ends as well, and the first starts again
// under the name that it had, before the entry of the other has lapsed.
#[test]
fn an_endpoint_that_starts_again_under_its_name_has_its_address_back() {
    let mut tracker = Tracker::default();
    tracker.apply(Revision(1), [put_run("a", "10.0.0.1:1", 100)], ms(0));
    tracker.apply(Revision(2), [put_run("b", "10.0.0.1:1", 200)], ms(100));
    assert_eq!(listed(&tracker), ["b"]);
    tracker.apply(Revision(3), [put_run("a", "10.0.0.1:1", 100)], ms(200));
    assert_eq!(listed(&tracker), ["b"], "its last entry lasts a while");
    tracker.apply(Revision(4), [put_run("a", "10.0.0.1:1", 300)], ms(300));
    assert_eq!(listed(&tracker), ["a"]);
    tracker.apply(Revision(5), [Change::Removed("b".into())], ms(400));
    assert_eq!(listed(&tracker), ["a"]);
}

#[test]
fn an_endpoint_that_starts_again_in_place_takes_its_address_from_who_had_it_since() {
    let mut tracker = Tracker::default();
    tracker.apply(Revision(1), [put_run("a", "10.0.0.1:1", 100)], ms(0));
    let both = ["a", "b"].map(|name| (name.into(), entry("10.0.0.1:1", State::Ready)));
    let both = Directory { entries: BTreeMap::from(both), ..Directory::default() };
    tracker.replace(Revision(2), both, ms(100));
    tracker.apply(Revision(3), [put_run("a", "10.0.0.1:1", 300)], ms(200));
    assert_eq!(listed(&tracker), ["a"]);
}

#[test]
fn what_names_no_endpoint_is_not_kept_like_what_lapsed() {
    let mut tracker = Tracker::default();
    let all = [put("a", "10.0.0.1:1", State::Ready), put("b", "10.0.0.2:1", State::Ready)];
    tracker.apply(Revision(1), all, ms(0));
    tracker.record_recovery(ms(1000), ms(1000));
    assert!(tracker.apply(Revision(2), [Change::Unusable("a".into())], ms(1010)));
    assert_eq!(listed(&tracker), ["b"]);
    let list = Directory { unusable: ["b".into()].into(), ..Directory::default() };
    assert!(tracker.replace(Revision(3), list, ms(1020)));
    assert_eq!(listed(&tracker), [""; 0]);
    // Others hear of it as well, and do not take it for lapsed either.
    let mut other = Tracker::default();
    other.apply(Revision(1), [put("b", "10.0.0.2:1", State::Ready)], ms(0));
    other.record_recovery(ms(1000), ms(1000));
    tell(&tracker, &mut other, 1030);
    assert_eq!(listed(&other), [""; 0]);
    tracker.apply(Revision(4), [put("b", "10.0.0.2:1", State::Ready)], ms(1040));
    assert_eq!(listed(&tracker), ["b"], "until an endpoint writes it");
}

#[test]
fn an_entry_of_no_known_service_displaces_nobody() {
    let mut tracker = Tracker::default();
    tracker.set_services(["say".into()].into());
    tracker.apply(Revision(1), [put("a", "10.0.0.1:1", State::Ready)], ms(0));
    let other = Entry { service: "unheard of".into(), ..entry("10.0.0.1:1", State::Ready) };
    tracker.apply(Revision(2), [Change::Put("x".into(), other)], ms(100));
    assert!(listed(&tracker).contains(&"a".to_owned()));
    tracker.apply(Revision(3), [put("b", "10.0.0.1:1", State::Ready)], ms(200));
    assert!(!listed(&tracker).contains(&"a".to_owned()), "one of a known service does");
}

// The return is noticed up to 1.2 s late; an endpoint that left may get nothing 3 s after it.
#[test]
fn what_lapsed_is_kept_by_when_the_platform_was_last_known_to_be_away() {
    let mut tracker = Tracker::default();
    tracker.apply(Revision(1), [put("a", "10.0.0.1:1", State::Ready)], ms(0));
    tracker.record_recovery(ms(2200), ms(1000));
    tracker.apply(Revision(2), [Change::Removed("a".into())], ms(2210));
    assert!(!tracker.expire(ms(3700)));
    assert!(tracker.expire(ms(3900)), "and not until 2.2 s after the return, at 4400");
    assert_eq!(listed(&tracker), [""; 0]);
}
