//! Days of one kind of trouble each.

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path::Path;
use std::process::{Command, Output};

use tempfile::TempDir;
use toml::{Table, Value};

/// The list that the project keeps.
const KEPT: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/days/kinds.toml");

/// A small list of the tests' own.
const SMALL: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/testsuite/days/list.toml");

/// The days of a seed, by the names of their files.
type Days = BTreeMap<String, Table>;

fn run(list: &Path, out: &Path, seed: &str, more: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_cinderspoke-bench"))
        .args(["days", "--seed", seed, "--list"])
        .arg(list)
        .arg("--out")
        .arg(out)
        .args(more)
        .output()
        .unwrap()
}

fn days(list: &str, seed: &str, more: &[&str]) -> Days {
    let out = TempDir::new().unwrap();
    let output = run(Path::new(list), out.path(), seed, more);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let mut days = Days::new();
    for file in fs::read_dir(out.path()).unwrap() {
        let path = file.unwrap().path();
        let day: Table = fs::read_to_string(&path).unwrap().parse().unwrap();
        let name = path.file_stem().unwrap().to_str().unwrap().to_owned();
        assert_eq!(day["name"].as_str().unwrap(), name);
        days.insert(name, day);
    }
    // A name that stood twice would have been written over.
    let said = String::from_utf8(output.stdout).unwrap();
    assert_eq!(said.split(' ').next().unwrap(), days.len().to_string());
    days
}

/// Planned work or faults of a day.
fn entries<'a>(day: &'a Table, part: &str) -> Vec<&'a Table> {
    day[part].as_array().unwrap().iter().map(|entry| entry.as_table().unwrap()).collect()
}

/// What of a kind stands among a day's planned work or faults.
fn find<'a>(day: &'a Table, part: &str, kind: &str) -> Option<&'a Table> {
    entries(day, part).into_iter().find(|entry| entry["kind"].as_str() == Some(kind))
}

/// The names of the days of a load, without it.
fn names<'a>(days: &'a Days, load: &str) -> BTreeSet<&'a str> {
    days.keys().filter_map(|name| name.strip_prefix(load)).collect()
}

#[test]
fn the_kept_list_gives_each_variant_a_quiet_day_one_of_high_load_and_a_pair() {
    let days = days(KEPT, "3", &[]);
    let alone = names(&days, "quiet-");
    assert_eq!(names(&days, "high-"), alone);
    let pairs = names(&days, "pair-");
    let pairs: Vec<_> = pairs.iter().map(|name| name.split_once("-with-").unwrap()).collect();
    let struck: BTreeSet<_> = alone.iter().copied().filter(|name| *name != "plain").collect();
    assert_eq!(pairs.len(), struck.len());
    assert_eq!(pairs.iter().map(|(first, _)| *first).collect::<BTreeSet<_>>(), struck);
    assert!(pairs.iter().all(|(first, second)| first != second && struck.contains(second)));
}

#[test]
fn the_same_seed_gives_the_same_days() {
    assert_eq!(days(KEPT, "7", &[]), days(KEPT, "7", &[]));
    assert_ne!(days(KEPT, "7", &[]), days(KEPT, "8", &[]));
}

#[test]
fn the_names_of_a_small_list() {
    let days = days(SMALL, "1", &[]);
    let alone = ["fog", "fog-thick-cold", "night", "night-long", "plain", "works"];
    assert_eq!(names(&days, "quiet-"), alone.into());
    assert_eq!(names(&days, "high-"), alone.into());
    assert_eq!(days.len(), 2 * alone.len() + 5);
}

#[test]
fn what_strikes_stands_with_what_all_days_share() {
    for seed in ["1", "2", "3", "4"] {
        let days = days(SMALL, seed, &[]);
        let plain = &days["quiet-plain"];
        assert_eq!(entries(plain, "plan").len(), 2);
        assert!(entries(plain, "faults").is_empty());
        let fog = &days["quiet-fog-thick-cold"];
        assert_eq!(entries(fog, "plan"), entries(plain, "plan"));
        let (first, second) =
            (find(fog, "faults", "fog").unwrap(), find(fog, "faults", "rain").unwrap());
        assert_eq!(first["how"].as_str(), Some("thick cold"));
        assert!(!second.contains_key("how"));
        let moment = first["at"].as_float().unwrap();
        assert!((10.0..=14.0).contains(&moment), "{moment}");
        assert!((second["at"].as_float().unwrap() - moment - 1.5).abs() < 1e-9);
        assert!(!find(&days["quiet-fog"], "faults", "fog").unwrap().contains_key("how"));
        let works = &days["quiet-works"];
        assert!(find(works, "plan", "works").is_some() && entries(works, "faults").is_empty());
        assert!(find(&days["high-works"], "faults", "crowd").is_some());
        assert!(find(works, "faults", "crowd").is_none());
    }
}

#[test]
fn a_day_that_ends_in_a_way_of_its_own_is_as_long_as_that_takes() {
    for seed in ["1", "2", "3", "4"] {
        let days = days(SMALL, seed, &[]);
        let night = &days["quiet-night-long"];
        assert_eq!(night["length_s"].as_float(), Some(40.0));
        assert_eq!(night["closing"]["how"].as_str(), Some("long"));
        assert!(!days["quiet-fog"].contains_key("closing"));
        // No day ends in two ways.
        let pair = names(&days, "pair-night-with-").into_iter().next().unwrap();
        assert!(!pair.starts_with("night"), "{pair}");
        assert_eq!(days[&format!("pair-night-with-{pair}")]["length_s"].as_float(), Some(40.0));
    }
}

#[test]
fn a_role_is_named_as_the_deployment_names_it_or_left_to_the_seed() {
    let service = |days: &Days| {
        let entry = find(&days["quiet-works"], "plan", "works").unwrap();
        entry.get("service").and_then(Value::as_str).map(str::to_owned)
    };
    assert_eq!(service(&days(SMALL, "1", &["--service", "engines=readers"])).unwrap(), "readers");
    assert_eq!(service(&days(SMALL, "1", &[])), None);
}

#[test]
fn what_only_some_deployments_have_is_laid_out_when_asked_for() {
    assert!(!days(SMALL, "1", &[]).contains_key("quiet-snow"));
    assert!(days(SMALL, "1", &["--only", "north"]).contains_key("quiet-snow"));
}

#[yare::parameterized(
    name_that_stands_twice = { "[[kind]]\nname = \"fog\"\nstrike = []\n", "fog stands twice" },
    unknown_word = { "[[kind]]\nname = \"new\"\nstrikes = []\n", "unknown field `strikes`" },
)]
fn a_list_is_refused(extra: &str, said: &str) {
    let directory = TempDir::new().unwrap();
    let list = directory.path().join("list.toml");
    let text = fs::read_to_string(SMALL).unwrap();
    fs::write(&list, format!("{text}\n{extra}")).unwrap();
    let output = run(&list, &directory.path().join("out"), "1", &[]);
    assert!(!output.status.success());
    assert!(!directory.path().join("out").exists());
    let error = String::from_utf8_lossy(&output.stderr);
    assert!(error.contains(said), "{error}");
}
