//! Notices of endpoints: how one gateway keeps them and sends them to others.

use std::time::Duration;

use cinderspoke_core::gateway::directory::{Entry, Start, State};
use cinderspoke_core::gateway::notice::{Run, Table, Update};

use super::directory::entry;
use super::ms;

/// Longer than draining runs that are in no list are remembered.
const LONG: Duration = Duration::from_secs(601);

fn started(address: &str, start: Option<u64>) -> Entry {
    Entry { start: start.map(Start), ..entry(address, State::Ready) }
}

fn run(name: &str) -> Run {
    Run::of(&name.into(), &started("10.0.0.1:80", None))
}

#[test]
fn a_run_is_identified_by_name_address_and_start_only() {
    let of = |name: &str, address, start| Run::of(&name.into(), &started(address, start));
    let (here, there) = ("10.0.0.1:80", "10.0.0.1:81");
    let first = of("e", here, Some(1));
    let others = [
        of("f", here, Some(1)),
        of("e", there, Some(1)),
        of("e", here, Some(2)),
        of("e", here, None),
    ];
    for other in others {
        assert_ne!(first, other);
    }
    let changed = Entry { slots: 9, state: State::Draining, ..started(here, Some(1)) };
    assert_eq!(first, Run::of(&"e".into(), &changed));
}

#[test]
fn an_update_is_new_to_another_gateway_once() {
    let (mut one, mut other) = (Table::default(), Table::default());
    assert!(one.record_drain(run("e"), ms(1000)));
    assert!(!one.record_drain(run("e"), ms(2000)), "it is known already");
    let updates = one.updates([run("e"), run("f")], ms(3000));
    assert_eq!(updates.len(), 1);
    assert_eq!(other.merge(&updates, ms(50)), [run("e")]);
    assert!(other.merge(&updates, ms(60)).is_empty());
    assert!(other.is_draining(run("e")) && !other.is_draining(run("f")));
}

#[test]
fn runs_that_the_list_shows_as_draining_are_not_sent() {
    let mut table = Table::default();
    table.record_drain(run("e"), ms(0));
    assert!(table.updates([run("f")], ms(1)).is_empty(), "e is not ready in the list");
}

#[test]
fn a_draining_run_expires_after_it_is_no_longer_listed_and_no_update_renews_it() {
    let mut table = Table::default();
    table.record_drain(run("e"), ms(0));
    table.expire(|run_listed| run_listed == run("e"), LONG);
    assert!(table.is_draining(run("e")), "it is still listed");
    let updates: Vec<Update> = table.updates([run("e")], LONG);
    table.expire(|_| false, ms(1000));
    assert!(table.is_draining(run("e")), "its entry may come back");
    let mut other = Table::default();
    other.merge(&updates, LONG);
    other.expire(|_| false, LONG);
    assert!(!other.is_draining(run("e")), "it counts from the notice of the endpoint");
}

#[test]
fn a_backoff_is_extended_and_never_shortened() {
    let mut table = Table::default();
    table.record_backoff(run("e"), ms(3000));
    table.record_backoff(run("e"), ms(2000));
    assert_eq!(table.backoff_until(run("e")), ms(3000));
    table.record_backoff(run("e"), ms(4000));
    table.expire(|_| false, ms(3999));
    assert_eq!(table.backoff_until(run("e")), ms(4000));
    table.expire(|_| true, ms(4000));
    assert_eq!(table.backoff_until(run("e")), ms(0));
}

#[test]
fn runs_and_updates_are_bounded_and_the_newest_stay() {
    let mut table = Table::default();
    let names: Vec<_> = (0..5000).map(|number| run(&number.to_string())).collect();
    for (number, name) in (0..).zip(&names) {
        table.record_drain(*name, ms(number));
    }
    assert!(!table.is_draining(names[0]) && table.is_draining(names[4999]));
    let updates = table.updates(names.iter().copied(), ms(5000));
    assert!(updates.len() < 64, "{} are too many for a datagram", updates.len());
    assert_eq!(updates[0].run, names[4999]);
}
