//! Where service is lost, from logs.

use std::fs;
use std::path::Path;
use std::process::{Command, Output};

use serde_json::Value;
use tempfile::TempDir;

/// A gateway's line on a request that ended at a second.
fn line(second: u32, fields: &str) -> String {
    format!(
        "  1.0000 gateway-1 {{\"timestamp\":\"2026-01-01T00:00:{second:02}.500000Z\",\
         \"level\":\"INFO\",\"message\":\"request\",\"route\":\"r\",\"aim_ms\":400,{fields}}}"
    )
}

const IN_TIME: &str = r#""outcome":"answered","status":200,"first_ms":120,"candidates":3"#;
const LATE: &str = r#""outcome":"answered","status":200,"first_ms":401,"candidates":3"#;
const PAUSED: &str =
    r#""outcome":"answered","status":200,"first_ms":9,"gap_ms":301,"gap_aim_ms":300"#;
const RETURNED: &str = r#""outcome":"answered","status":200,"first_ms":90,"waited_ms":700"#;
const FAILED: &str = r#""outcome":"answered","status":500,"first_ms":9"#;
const NO_ROOM: &str = r#""outcome":"refused","status":503,"candidates":4"#;
const AGAIN: &str = r#""outcome":"refused","status":503,"candidates":4,"waited_ms":700"#;
const NO_ENDPOINT: &str = r#""outcome":"refused","status":503,"candidates":0"#;
const HELD_BACK: &str = r#""outcome":"refused","status":503,"fingerprint":"f5e2""#;
const BROKEN: &str = r#""outcome":"broken","status":200,"first_ms":9"#;
const LEFT: &str = r#""outcome":"left""#;

fn account(log: &Path, more: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_cinderspoke-bench"))
        .arg("account")
        .arg(log)
        .args(more)
        .output()
        .unwrap()
}

fn rows(lines: &[String]) -> Vec<Value> {
    let folder = TempDir::new().unwrap();
    let log = folder.path().join("gateways.log");
    fs::write(&log, lines.join("\n")).unwrap();
    let output = account(&log, &["--json"]);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    serde_json::from_slice(&output.stdout).unwrap()
}

#[test]
fn each_attempt_counts_once_by_what_became_of_it() {
    let fates = [
        (IN_TIME, "in time"),
        (LATE, "late first event"),
        (PAUSED, "long pause"),
        (RETURNED, "after a refusal"),
        (FAILED, "failed"),
        (NO_ROOM, "refused, no room"),
        (AGAIN, "refused again"),
        (NO_ENDPOINT, "refused, no endpoint"),
        (HELD_BACK, "failed"),
        (BROKEN, "broken off"),
        (LEFT, "left"),
    ];
    for (fields, fate) in fates {
        let rows = rows(&[line(0, fields)]);
        assert_eq!(rows[0]["of"], "all");
        assert_eq!(rows[0]["shares"][fate], 1.0, "{fields}");
        let shares = rows[0]["shares"].as_object().unwrap().values();
        let sum: f64 = shares.map(|share| share.as_f64().unwrap()).sum();
        assert!((sum - 1.0).abs() < 1e-9, "{fields}: {sum}");
    }
}

#[test]
fn routes_and_seconds_add_up_to_all_and_other_lines_are_passed_over() {
    let mut lines: Vec<_> = [(0, IN_TIME), (0, LATE), (2, LEFT)]
        .into_iter()
        .map(|(second, fields)| line(second, fields))
        .collect();
    lines.push("a line of the reader's own".into());
    lines.push(r#"{"message":"agent started"}"#.into());
    let rows = rows(&lines);
    let named: Vec<_> = rows.iter().map(|row| row["of"].as_str().unwrap()).collect();
    assert_eq!(named, ["all", "r", "second 0", "second 1", "second 2"]);
    let counts: Vec<_> = rows.iter().map(|row| row["attempts"].as_u64().unwrap()).collect();
    assert_eq!(counts, [3, 3, 2, 0, 1]);
}

// A caller that is refused and comes back counts as one that is served or not, and the largest
// requests have lines of their own: that most of them are refused shows in no other line.
#[test]
fn the_largest_requests_have_lines_of_their_own() {
    let sized = |size: u32, fields: &str| {
        line(0, &format!(r#""prompt":{size},"answer":{},{fields}"#, 100 - size))
    };
    let mut lines: Vec<_> = (1..=10).map(|size| sized(size, IN_TIME)).collect();
    // The longest prompts, whose answers are the shortest.
    lines[9] = sized(10, NO_ROOM);
    lines.push(sized(10, RETURNED));
    lines[8] = sized(9, NO_ROOM);
    lines.push(sized(9, AGAIN));
    let rows = rows(&lines);
    let served = |of: &str| {
        let row = rows.iter().find(|row| row["of"] == of).unwrap();
        (row["attempts"].as_u64().unwrap(), row["served"].as_f64().unwrap())
    };
    assert_eq!(served("r"), (12, 0.9));
    assert_eq!(served("r, longest prompts"), (2, 1.0));
    assert_eq!(served("r, longest answers"), (1, 1.0));
    assert_eq!(served("r, largest tenth"), (1, 1.0));
    assert_eq!(served("r, fifth below it"), (2, 1.0));
}

#[test]
fn the_seconds_are_drawn() {
    let folder = TempDir::new().unwrap();
    let (log, plot) = (folder.path().join("gateways.log"), folder.path().join("plot.svg"));
    fs::write(&log, line(0, IN_TIME)).unwrap();
    let output = account(&log, &["--plot", plot.to_str().unwrap()]);
    assert!(output.status.success());
    let picture = fs::read_to_string(plot).unwrap();
    assert!(picture.starts_with("<svg") && picture.trim_end().ends_with("</svg>"));
    assert_eq!(picture.matches("<text").count(), 11, "a second and ten reasons");
}

#[test]
fn all_that_cannot_be_read_is_reported_at_once_with_its_place() {
    let folder = TempDir::new().unwrap();
    let log = folder.path().join("gateways.log");
    let unknown = line(0, r#""outcome":"lost""#);
    let untimed = r#"{"message":"request","timestamp":"noon","outcome":"left"}"#;
    fs::write(&log, [line(0, IN_TIME), unknown, untimed.into()].join("\n")).unwrap();
    let output = account(&log, &["missing.log"]);
    assert!(!output.status.success());
    let report = String::from_utf8_lossy(&output.stderr).into_owned();
    for place in ["gateways.log:2", "gateways.log:3", "missing.log"] {
        assert!(report.contains(place), "{place}: {report}");
    }
    fs::write(&log, "nothing\n").unwrap();
    assert!(!account(&log, &[]).status.success(), "no request is in it");
}
