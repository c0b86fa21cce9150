//! Settings that change while a program runs.
//!
//! Guards against a reload that ends the program: nothing handled SIGHUP, whose default action
//! ends a process at once, with exit code 129 (128 + SIGHUP) and without a log line. Requests in
//! progress got no answer, and their callers' connections were closed.

use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::routing::get;
use cinderspoke::util::log;
use cinderspoke::util::reload::File;
use cinderspoke::util::unix::Handlers;
use cinderspoke_schema::settings::{EndpointKind, Node};
use cinderspoke_test_support::caller::{Answer, Caller};
use cinderspoke_test_support::fleet::{Fleet, Options};
use cinderspoke_test_support::samples::small;
use cinderspoke_test_support::service::answer;
use serde_json::json;
use tempfile::TempDir;
use tokio::sync::Semaphore;
use tokio::time::timeout;
use yare::parameterized;

use crate::program::{AGENT, ENTRY, Program, TIMEOUT, node, write};

#[tokio::test(flavor = "multi_thread")]
async fn no_program_ends_on_a_reload() {
    let fleet =
        Fleet::prepare(&small(), &Options { entries: 1, ..Options::default() }).await.unwrap();
    let directory = tempfile::tempdir().unwrap();
    let on_platform = ["--adapter", "platform"];
    let entry = write(&directory, "entry", &fleet.entries[0].settings);
    let agent = write(&directory, "agent", &fleet.agents[0].settings);
    let (gateway, staging) =
        (write(&directory, "gateway", &node("info")), write(&directory, "staging", &node("info")));
    let programs = [
        (Program::spawn(ENTRY, &[], &entry), "started"),
        (Program::spawn(AGENT, &[], &agent), "started"),
        (Program::spawn(ENTRY, &on_platform, &gateway), "gateway started"),
        (Program::spawn(AGENT, &on_platform, &staging), "agent started"),
    ];
    for (program, started) in programs {
        program.wait_line(started);
        for _ in 0..2 {
            program.signal("-HUP");
            program.wait_line("settings reloaded");
        }
        assert_eq!(program.stop(), Some(0));
    }
}

/// An endpoint that answers each request only when the test permits it.
#[derive(Debug)]
struct Gate {
    // A permit for each request that has arrived.
    arrived: Semaphore,
    // A permit for each request that may be answered.
    open: Semaphore,
}

impl Gate {
    async fn spawn() -> (Arc<Self>, std::net::SocketAddr) {
        let gate = Arc::new(Self { arrived: Semaphore::new(0), open: Semaphore::new(0) });
        let shared = Arc::clone(&gate);
        let run = async move |body: String| {
            shared.arrived.add_permits(1);
            shared.open.acquire().await.unwrap().forget();
            answer(&"jobs".parse().unwrap(), "POST", "/run", &body)
        };
        let app = Router::new().route("/healthz", get(|| async { "ok" }));
        let app = app.route("/run", axum::routing::post(run));
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        tokio::spawn(async move { axum::serve(listener, app).await });
        (gate, address)
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_in_progress_survives_a_reload_of_all_programs_on_its_path() {
    let mut fleet =
        Fleet::prepare(&small(), &Options { entries: 1, ..Options::default() }).await.unwrap();
    let (gate, address) = Gate::spawn().await;
    let plain = fleet.agents.iter_mut().map(|agent| &mut agent.settings.endpoint);
    plain.filter(|it| it.kind == EndpointKind::Plain).for_each(|it| it.address = address);
    let directory = tempfile::tempdir().unwrap();
    let mut programs = Vec::new();
    for (number, entry) in fleet.entries.iter().enumerate() {
        let entry = write(&directory, &format!("entry-{number}"), &entry.settings);
        programs.push(Program::spawn(ENTRY, &[], &entry));
    }
    for (number, agent) in fleet.agents.iter().enumerate() {
        let agent = write(&directory, &format!("agent-{number}"), &agent.settings);
        programs.push(Program::spawn(AGENT, &[], &agent));
    }
    for program in &programs {
        program.wait_line("started");
    }
    for file in small() {
        std::fs::write(directory.path().join(&file.name), &file.text).unwrap();
    }
    let admin = fleet.entries[0].settings.admin.to_string();
    let mut command = Command::new(env!("CARGO_BIN_EXE_cinderspoke"));
    let command = command.args(["apply", ".", "--base", "0", "--author", "me", "--wait", "120"]);
    let command = command.current_dir(directory.path()).env("CINDERSPOKE_ADMIN", admin);
    let applied = command.output().unwrap();
    assert!(applied.status.success(), "{applied:?}");
    let (caller, callers) =
        (Caller::new("readers".parse().unwrap()), fleet.entries[0].settings.callers);
    let call = tokio::spawn(async move {
        caller.call(callers, &"jobs".parse().unwrap(), "/run", "one", true).await.answer
    });
    gate.arrived.acquire().await.unwrap().forget();
    for program in &programs {
        program.signal("-HUP");
        program.wait_line("settings reloaded");
    }
    gate.open.add_permits(1);
    assert_eq!(call.await.unwrap(), Answer::Whole { manifest: None });
}

/// Replaces a settings file atomically.
fn replace(path: &Path, settings: &serde_json::Value) {
    let next = path.with_extension("next");
    std::fs::write(&next, toml::to_string(settings).unwrap()).unwrap();
    std::fs::rename(next, path).unwrap();
}

/// Returns the settings that a log line names as changed and those that take effect at the next
/// start.
fn changed_settings(line: &str) -> (String, String) {
    let line: serde_json::Value = serde_json::from_str(line).unwrap();
    let field = |name: &str| line[name].as_str().unwrap().to_owned();
    (field("changed"), field("at_next_start"))
}

/// Starts a gateway; returns it with the file and the value of its settings.
fn gateway(directory: &TempDir, filter: &str) -> (Program, PathBuf, serde_json::Value) {
    let settings = node(filter);
    let path = write(directory, "gateway", &settings);
    let gateway = Program::spawn(ENTRY, &["--adapter", "platform"], &path);
    gateway.wait_line("gateway started");
    (gateway, path, settings)
}

#[test]
fn invalid_settings_leave_the_last_valid_ones_in_force_and_are_reported_completely() {
    let directory = tempfile::tempdir().unwrap();
    let (gateway, path, good) = gateway(&directory, "info");
    let mut wrong = good.clone();
    wrong["log"]["filter"] = "off".into();
    wrong["colour"] = "red".into();
    wrong["limits"]["link_mbps"] = "fast".into();
    replace(&path, &wrong);
    // The invalid settings' filter would suppress all lines, had it taken effect.
    for _ in 0..2 {
        gateway.signal("-HUP");
        let line = gateway.wait_line("settings cannot be used");
        assert!(line.contains("unknown key `colour`"), "{line}");
        assert!(line.contains("\\\"fast\\\" is not allowed here"), "{line}");
    }
    let mut other = good;
    other["bounds"]["version_ms"] = 7000.into();
    replace(&path, &other);
    gateway.signal("-HUP");
    let changed = changed_settings(&gateway.wait_line("settings reloaded"));
    assert_eq!(changed, ("bounds.version_ms".into(), String::new()));
    assert_eq!(gateway.stop(), Some(0));
}

#[parameterized(
    a_filter = { "/log/filter", json!("cinderspoke=loud"), "the log filter" },
    an_unlimited_window = { "/bounds/budget_window_s", json!(1e300), "at most 86400" },
    an_unlimited_grace_time = { "/bounds/grace_s", json!(1e300), "at most 86400" },
)]
fn values_that_would_end_the_program_are_findings(
    place: &str,
    value: serde_json::Value,
    finding: &str,
) {
    let directory = tempfile::tempdir().unwrap();
    let (gateway, path, mut settings) = gateway(&directory, "info");
    *settings.pointer_mut(place).unwrap() = value;
    replace(&path, &settings);
    gateway.signal("-HUP");
    let line = gateway.wait_line("settings cannot be used");
    assert!(line.contains(finding), "{line}");
    assert_eq!(gateway.stop(), Some(0));
}

#[test]
fn a_missing_file_leaves_the_last_settings_in_force() {
    let directory = tempfile::tempdir().unwrap();
    let (gateway, path, settings) = gateway(&directory, "info");
    std::fs::remove_file(&path).unwrap();
    gateway.signal("-HUP");
    assert!(gateway.wait_line("settings cannot be used").contains("not found"));
    replace(&path, &settings);
    gateway.signal("-HUP");
    gateway.wait_line("settings reloaded");
    assert_eq!(gateway.stop(), Some(0));
}

/// A log filter that passes only warnings and the messages on reloads.
const QUIET: &str = "warn,cinderspoke::util::reload=info";

#[parameterized(
    fewer = { &[QUIET], false },
    fewer_then_more = { &[QUIET, "info"], true },
)]
fn a_changed_log_filter_takes_effect_at_once(filters: &[&str], is_logged: bool) {
    let directory = tempfile::tempdir().unwrap();
    let (gateway, path, mut settings) = gateway(&directory, "info");
    for filter in filters {
        settings["log"]["filter"] = (*filter).into();
        replace(&path, &settings);
        gateway.signal("-HUP");
        gateway.wait_line("log.filter");
    }
    gateway.signal("-TERM");
    // The lines end with the process.
    let rest: Vec<String> = gateway.lines.iter().collect();
    assert_eq!(rest.iter().any(|line| line.contains("stopping")), is_logged, "{rest:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_changed_log_filter_of_an_entry_instance_takes_effect_at_once() {
    let fleet =
        Fleet::prepare(&small(), &Options { entries: 1, ..Options::default() }).await.unwrap();
    let directory = tempfile::tempdir().unwrap();
    let mut settings = serde_json::to_value(&fleet.entries[0].settings).unwrap();
    let path = write(&directory, "entry", &settings);
    let entry = Program::spawn(ENTRY, &[], &path);
    entry.wait_line("started");
    settings["log"]["filter"] = QUIET.into();
    settings["lease_ms"] = 6000.into();
    replace(&path, &settings);
    let line = entry.wait_line("settings reloaded");
    assert!(line.contains("log.filter") && line.contains("lease_ms"), "{line}");
    entry.signal("-TERM");
    let rest: Vec<String> = entry.lines.iter().collect();
    assert!(!rest.iter().any(|line| line.contains("stopping")), "{rest:?}");
}

#[test]
fn a_change_without_a_signal_is_applied_once() {
    let directory = tempfile::tempdir().unwrap();
    let (gateway, path, mut settings) = gateway(&directory, "info");
    settings["seeds"] = json!(["10.0.0.1:1"]);
    settings["limits"]["link_mbps"] = 500.0.into();
    replace(&path, &settings);
    let changed = changed_settings(&gateway.wait_line("settings reloaded"));
    assert_eq!(changed, ("limits.link_mbps, seeds".into(), String::new()));
    settings["zone"] = "b".into();
    settings["seeds"] = json!([]);
    replace(&path, &settings);
    let changed = changed_settings(&gateway.wait_line("settings reloaded"));
    assert_eq!(changed, ("seeds".into(), "zone".into()));
    assert_eq!(gateway.stop(), Some(0));
}

// Guards against settings that nobody wrote being in force for up to two seconds: a signal arrives
// while the file is being written, the file is read as it is, and a partly written file may parse
// like a complete one.
#[tokio::test(start_paused = true)]
async fn a_file_that_is_partly_written_at_the_signal_is_not_applied() {
    let directory = tempfile::tempdir().unwrap();
    let mut settings = node("off");
    settings.as_object_mut().unwrap().remove("limits");
    let text = |rate: &str| {
        let rest = "[limits]\ndescriptors = 4000\nmemory_mb = 200\nlink_mbps = ";
        format!("{}\n{rest}{rate}", toml::to_string(&settings).unwrap())
    };
    let path = directory.path().join("gateway");
    std::fs::write(&path, text("1000.0\n")).unwrap();
    let file: File<Node> = File::open(path.clone()).unwrap();
    let filter = log::open(&file.settings().log).unwrap();
    let mut in_force = file.spawn(Handlers::open().unwrap().listen().unwrap().reload, filter);
    // The first part of "500.0".
    std::fs::write(&path, text("50")).unwrap();
    let own = std::process::id().to_string();
    assert!(Command::new("kill").args(["-HUP", &own]).status().unwrap().success());
    // The paused clock does not advance while there is work, so no time passes for the program
    // until the rest of the file is written.
    let began = std::time::Instant::now();
    while began.elapsed() < Duration::from_millis(300) && !in_force.has_changed().unwrap() {
        tokio::task::yield_now().await;
    }
    std::fs::write(&path, text("500.0\n")).unwrap();
    let mut applied = Vec::new();
    while let Ok(changed) = timeout(TIMEOUT, in_force.changed()).await {
        changed.unwrap();
        applied.push(in_force.borrow_and_update().limits.link_mbps);
    }
    assert_eq!(applied, [500.0]);
}

#[tokio::test]
async fn signals_that_arrive_before_they_are_awaited_are_kept() {
    let mut signals = Handlers::open().unwrap().listen().unwrap();
    let own = std::process::id().to_string();
    for name in ["-HUP", "-TERM"] {
        assert!(Command::new("kill").args([name, &own]).status().unwrap().success());
    }
    signals.reload.requested().await;
    signals.stop.requested().await;
}
