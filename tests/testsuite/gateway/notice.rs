//! What endpoints say of themselves, as one gateway keeps it and tells others.

use std::time::Duration;

use cinderspoke_core::gateway::directory::{Entry, Start, State};
use cinderspoke_core::gateway::notice::{Run, Table, Update};

use super::directory::entry;
use super::ms;

/// Longer than it is kept of runs that no list names.
const LONG: Duration = Duration::from_secs(601);

fn started(address: &str, start: Option<u64>) -> Entry {
    Entry { start: start.map(Start), ..entry(address, State::Ready) }
}

fn run(name: &str) -> Run {
    Run::of(&name.into(), &started("10.0.0.1:80", None))
}

#[test]
fn a_run_is_told_by_name_address_and_start_and_by_nothing_else() {
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
fn what_one_gateway_hears_another_one_learns_once() {
    let (mut one, mut other) = (Table::default(), Table::default());
    assert!(one.record_drain(run("e"), ms(1000)));
    assert!(!one.record_drain(run("e"), ms(2000)), "it is no news twice");
    let told = one.updates([run("e"), run("f")], ms(3000));
    assert_eq!(told.len(), 1);
    assert_eq!(other.merge(&told, ms(50)), [run("e")]);
    assert!(other.merge(&told, ms(60)).is_empty());
    assert!(other.is_draining(run("e")) && !other.is_draining(run("f")));
}

#[test]
fn nothing_is_told_of_what_the_list_says_itself() {
    let mut table = Table::default();
    table.record_drain(run("e"), ms(0));
    assert!(table.updates([run("f")], ms(1)).is_empty(), "e is not ready in the list");
}

#[test]
fn it_is_forgotten_long_after_the_last_list_that_names_it_and_no_telling_renews_it() {
    let mut table = Table::default();
    table.record_drain(run("e"), ms(0));
    table.expire(|run_listed| run_listed == run("e"), LONG);
    assert!(table.is_draining(run("e")), "it is listed still");
    let told: Vec<Update> = table.updates([run("e")], LONG);
    table.expire(|_| false, ms(1000));
    assert!(table.is_draining(run("e")), "its entry may come back");
    let mut other = Table::default();
    other.merge(&told, LONG);
    other.expire(|_| false, LONG);
    assert!(!other.is_draining(run("e")), "it counts from when it was said");
}

#[test]
fn a_rest_is_made_longer_and_never_shorter() {
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
fn more_than_can_be_kept_or_told_leaves_out_the_oldest() {
    let mut table = Table::default();
    let names: Vec<_> = (0..5000).map(|number| run(&number.to_string())).collect();
    for (number, name) in (0..).zip(&names) {
        table.record_drain(*name, ms(number));
    }
    assert!(!table.is_draining(names[0]) && table.is_draining(names[4999]));
    let told = table.updates(names.iter().copied(), ms(5000));
    assert!(told.len() < 64, "{} are too many for a datagram", told.len());
    assert_eq!(told[0].run, names[4999]);
}
