//! Limits that endpoints name: how one gateway keeps them and sends them to others.

use std::time::Duration;

use cinderspoke_core::gateway::directory::State;
use cinderspoke_core::gateway::limit::{Change, Limit, Table, Update};
use cinderspoke_core::gateway::notice::Run;

use super::directory::entry;
use super::ms;

fn run(name: &str) -> Run {
    Run::of(&name.into(), &entry("10.0.0.1:80", State::Ready))
}

fn limit(per_s: &str) -> Limit {
    per_s.parse().unwrap()
}

/// What a table says to another gateway of one run.
fn update(table: &mut Table, name: &str, now: Duration) -> Update {
    let updates = table.updates(now);
    *updates.iter().find(|update| update.run == run(name)).unwrap()
}

#[test]
fn a_limit_holds_until_an_answer_names_another_one_or_none() {
    let (mut table, run) = (Table::default(), run("e"));
    let (slow, fast) = (limit("1.5"), limit("3"));
    assert_eq!(table.record(run, None, ms(0)), Change::Confirmed);
    assert_eq!(table.get(run), None, "endpoints without a limit are not kept");
    assert_eq!(table.record(run, Some(slow), ms(1)), Change::Learnt(slow));
    assert_eq!(table.record(run, Some(slow), ms(2)), Change::Confirmed);
    let changed = Change::Changed { before: slow, limit: fast };
    assert_eq!(table.record(run, Some(fast), ms(3)), changed);
    assert_eq!(table.record(run, None, ms(4)), Change::Ended(fast));
    assert_eq!(table.in_force(), 0);
}

// An answer that came earlier may be handled later, by another task.
#[test]
fn the_later_answer_holds_whatever_was_recorded_last() {
    let (mut table, run) = (Table::default(), run("e"));
    table.record(run, Some(limit("1.5")), ms(100));
    table.record(run, None, ms(50));
    assert_eq!(table.get(run).unwrap().limit, Some(limit("1.5")));
}

// Gossip that was on its way for long must not bring back a limit that has ended since, nor
// replace a newer one.
#[test]
fn late_gossip_does_not_replace_what_a_later_answer_said() {
    let (mut one, mut other) = (Table::default(), Table::default());
    one.record(run("e"), Some(limit("1.5")), ms(1000));
    let before = update(&mut one, "e", ms(1500));
    let (learnt, now) = (Change::Learnt(limit("1.5")), ms(1510));
    assert_eq!(other.merge(&[before], now), [(run("e"), learnt)]);
    other.record(run("e"), None, ms(1600));
    assert_eq!(other.merge(&[before], ms(1650)), [], "it is 500 ms older than its age says");
    let ended = update(&mut other, "e", ms(1700));
    assert_eq!(one.merge(&[ended], ms(1800)), [(run("e"), Change::Ended(limit("1.5")))]);
}

#[test]
fn gateways_inform_each_other_at_once_of_what_changes_much() {
    let (one, much, little) = (limit("1.5"), limit("1.8"), limit("1.6"));
    assert!(Change::Learnt(one).is_notable());
    assert!(Change::Ended(one).is_notable());
    assert!(Change::Changed { before: one, limit: much }.is_notable());
    assert!(!Change::Changed { before: one, limit: little }.is_notable());
    assert!(!Change::Confirmed.is_notable());
}

// With more endpoints in need than fit into one packet, all of them reach others in turn.
#[test]
fn all_limits_reach_others_also_if_there_are_many() {
    let (mut one, mut other) = (Table::default(), Table::default());
    let all: Vec<_> = (0..200).map(|number| run(&format!("e{number}"))).collect();
    for (number, run) in all.iter().enumerate() {
        one.record(*run, Some(limit("0.5")), ms(number as u64));
    }
    for _ in 0..20 {
        let updates = one.updates(ms(1000));
        assert!(updates.len() <= 24, "{} updates", updates.len());
        other.merge(&updates, ms(1000));
    }
    assert!(all.iter().all(|run| other.get(*run).is_some()));
}

#[test]
fn the_limits_of_runs_that_are_gone_are_forgotten_after_a_while() {
    let mut table = Table::default();
    for name in ["listed", "gone", "ended"] {
        table.record(run(name), Some(limit("1")), ms(0));
    }
    table.record(run("ended"), None, ms(1));
    let expire = |table: &mut Table, now| table.expire(|one| one != run("gone"), now);
    expire(&mut table, Duration::from_secs(60));
    assert!(["listed", "gone", "ended"].iter().all(|name| table.get(run(name)).is_some()));
    expire(&mut table, Duration::from_secs(180));
    assert!(table.get(run("listed")).is_some());
    assert!(["gone", "ended"].iter().all(|name| table.get(run(name)).is_none()));
    let late = Update { run: run("gone"), limit: Some(limit("1")), ago: ms(180_000).into() };
    assert_eq!(
        table.merge(&[late], Duration::from_secs(181)),
        [],
        "nobody may have heard of it since"
    );
}
