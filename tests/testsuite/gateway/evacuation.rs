//! Which availability zones are emptied, whoever told it.

use std::collections::BTreeSet;

use cinderspoke_core::gateway::evacuation::{Change, Table};
use cinderspoke_core::gateway::fact::{Fact, Revision};
use cinderspoke_core::gateway::name::Zone;

fn told(revision: u64, zones: &[&str]) -> Fact<BTreeSet<Zone>> {
    Fact::new(Revision(revision), zones.iter().map(|zone| Zone::from(*zone)).collect())
}

// Guards against a zone that is used again since an older word came late.
#[test]
fn an_older_word_does_not_take_an_evacuation_back() {
    let mut table = Table::default();
    assert!(table.replace(told(5, &["a"])));
    assert!(!table.replace(told(4, &[])));
    assert!(table.is_evacuated(&"a".into()));
    assert!(!table.is_evacuated(&"b".into()));
}

// Guards against changes that are lost between a list and the watch that follows it.
#[test]
fn changes_apply_on_top_of_what_is_known() {
    let mut table = Table::default();
    table.replace(told(5, &["a"]));
    assert!(table.apply(Revision(6), vec![Change::Evacuated("b".into())]));
    assert!(table.is_evacuated(&"a".into()) && table.is_evacuated(&"b".into()));
    assert!(table.apply(Revision(7), vec![Change::Reopened("a".into())]));
    assert!(!table.is_evacuated(&"a".into()) && table.is_evacuated(&"b".into()));
    assert!(!table.apply(Revision(9), Vec::new()), "nothing differs");
    assert_eq!(table.known().unwrap().revision, Revision(9));
}

// Guards against a gateway that takes an empty set for one that is not known.
#[test]
fn that_no_zone_is_emptied_is_a_word_of_its_own() {
    let mut table = Table::default();
    assert!(table.known().is_none());
    assert!(table.replace(told(0, &[])));
    assert!(table.known().is_some());
}
