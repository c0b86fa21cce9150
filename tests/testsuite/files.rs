//! Reports on invalid configuration files, compared exactly: all findings, each with its position.

use std::path::PathBuf;

use cinderspoke::util::settings::report;
use cinderspoke_core::configuration::Configuration;
use cinderspoke_schema::control::Part;
use yare::parameterized;

fn directory() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/testsuite/files")
}

fn read(name: &str) -> Part {
    let text = std::fs::read_to_string(directory().join(name)).unwrap();
    Part { name: name.into(), text }
}

/// Compares the report on some files with the expected one, `NAME.txt` beside them.
fn assert_report(name: &str, files: &[Part]) {
    let findings = Configuration::check(files).unwrap_err();
    let expected =
        std::fs::read_to_string(directory().join(format!("{name}.txt"))).unwrap_or_default();
    assert_eq!(report(&findings), expected.trim_end(), "the report on {name} differs");
}

#[parameterized(
    syntax = { "syntax" },
    unknown_keys = { "unknown_keys" },
    missing_keys = { "missing_keys" },
    wrong_types = { "wrong_types" },
    out_of_range = { "out_of_range" },
    bad_forms = { "bad_forms" },
    declared_twice = { "declared_twice" },
    undeclared = { "undeclared" },
    wrong_kind = { "wrong_kind" },
    nothing = { "nothing" },
)]
fn all_findings_in_an_invalid_file_are_reported(name: &str) {
    assert_report(name, &[read(&format!("{name}.toml"))]);
}

#[test]
fn findings_of_all_files_are_reported_together() {
    assert_report("together", &[read("unknown_keys.toml"), read("wrong_types.toml")]);
}

#[test]
fn a_name_declared_in_two_files_is_a_finding() {
    let mut second = read("whole.toml");
    second.name = "second.toml".into();
    assert_report("two_files", &[read("whole.toml"), second]);
}

#[test]
fn a_file_given_twice_or_too_large_is_a_finding() {
    let mut large = read("whole.toml");
    large.text.push_str(&"#".repeat(cinderspoke_core::configuration::MAX_FILE_BYTES));
    assert_report("twice", &[read("whole.toml"), large]);
}

#[test]
fn no_file_at_all_is_a_finding() {
    assert_report("no_file", &[]);
}

#[test]
fn a_valid_file_has_no_findings() {
    assert!(Configuration::check(&[read("whole.toml")]).is_ok());
}
