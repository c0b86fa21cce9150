//! Settings that change while a program runs.
//!
//! Symptom: requests that were passed on got no answer, and their callers'
//! connections closed, under planned work only. Sequence: the settings of a
//! process change; it gets SIGHUP; it ends in the same millisecond, and all that
//! it had in progress with it. Cause: nothing handled SIGHUP, whose default
//! action ends a process. What settled it: each end had the code 129, which is
//! 128 and the number of SIGHUP, and no line of the process came before it.

use std::io::{BufRead, BufReader, Read};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, channel};
use std::time::Duration;

use axum::Router;
use axum::routing::get;
use cinderspoke::gateway::options;
use cinderspoke::util::log;
use cinderspoke::util::reload::File;
use cinderspoke::util::unix::Signals;
use cinderspoke_schema::settings::{EndpointKind, Node};
use cinderspoke_test_support::address;
use cinderspoke_test_support::caller::{Answer, Caller};
use cinderspoke_test_support::fleet::{Fleet, Options};
use cinderspoke_test_support::samples::small;
use cinderspoke_test_support::service::answer;
use serde_json::json;
use tempfile::TempDir;
use tokio::sync::Semaphore;
use tokio::time::timeout;
use yare::parameterized;

/// How long a program may take to say something: long, since machines are busy.
const LONG: Duration = Duration::from_secs(20);

const ENTRY: &str = env!("CARGO_BIN_EXE_cinderspoke-entry");
const AGENT: &str = env!("CARGO_BIN_EXE_cinderspoke-agent");

/// A program whose lines are read; it is killed when the test ends.
struct Program {
    child: Child,
    lines: Receiver<String>,
}

impl Program {
    fn spawn(program: &str, arguments: &[&str], settings: &Path) -> Self {
        let mut command = Command::new(program);
        command.args(arguments).arg(settings).stdout(Stdio::piped()).stderr(Stdio::piped());
        let mut child = command.spawn().unwrap();
        let (sender, lines) = channel();
        let outputs: [Box<dyn Read + Send>; 2] =
            [Box::new(child.stdout.take().unwrap()), Box::new(child.stderr.take().unwrap())];
        for output in outputs {
            let sender = sender.clone();
            std::thread::spawn(move || {
                let lines = BufReader::new(output).lines();
                lines.map_while(Result::ok).all(|line| sender.send(line).is_ok())
            });
        }
        Self { child, lines }
    }

    /// The next line with a text in it; fails when the program ends before.
    fn says(&self, text: &str) -> String {
        loop {
            let line = self.lines.recv_timeout(LONG);
            let line = line.unwrap_or_else(|error| panic!("{text:?} was not said: {error}"));
            if line.contains(text) {
                return line;
            }
        }
    }

    fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &id]).status().unwrap().success());
    }

    /// Asks it to stop, and gives its exit code.
    fn stop(mut self) -> Option<i32> {
        self.signal("-TERM");
        self.child.wait().unwrap().code()
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        // Both fail when the process has ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The settings of a process on a platform whose store is never there.
fn node(filter: &str) -> serde_json::Value {
    let [inner, callers, ready, control, store, engine] =
        [(); 6].map(|()| address::free().unwrap());
    json!({
        "instance": "n", "zone": "a", "region": "r", "regions": { "a": "r" },
        "address": inner.ip(), "ports": { "first": inner.port(), "last": inner.port() },
        "store": store, "seeds": [],
        "listen": { "callers": callers, "ready": ready, "control": control },
        "beside": { "address": engine, "service": "svc" },
        "limits": { "link_mbps": 1000.0, "descriptors": 4000, "memory_mb": 200 },
        "bounds": {
            "drain_ms": 2000, "grace_s": 1.0, "config_apply_ms": 2000,
            "rollback_slack_ms": 250, "max_skew_ms": 5000, "contact_ms": 3000,
            "retry_budget_ratio": 0.2, "budget_window_s": 10.0, "budget_slack": 100.0,
            "version_ms": 8000, "pass_ms": 120, "loss_slack_ms": 200,
        },
        "log": { "format": "json", "filter": filter },
    })
}

fn write<T: serde::Serialize>(directory: &TempDir, name: &str, settings: &T) -> PathBuf {
    let path = directory.path().join(name);
    std::fs::write(&path, toml::to_string(settings).unwrap()).unwrap();
    path
}

#[tokio::test(flavor = "multi_thread")]
async fn a_reload_ends_no_program() {
    let fleet =
        Fleet::prepare(&small(), &Options { entries: 1, ..Options::default() }).await.unwrap();
    let directory = tempfile::tempdir().unwrap();
    let on_platform = ["--adapter", "platform"];
    let entry = write(&directory, "entry", &fleet.entries[0].settings);
    let agent = write(&directory, "agent", &fleet.agents[0].settings);
    let (gateway, stager) =
        (write(&directory, "gateway", &node("info")), write(&directory, "stager", &node("info")));
    let programs = [
        (Program::spawn(ENTRY, &[], &entry), "started"),
        (Program::spawn(AGENT, &[], &agent), "started"),
        (Program::spawn(ENTRY, &on_platform, &gateway), "gateway started"),
        (Program::spawn(AGENT, &on_platform, &stager), "agent started"),
    ];
    for (program, started) in programs {
        program.says(started);
        for _ in 0..2 {
            program.signal("-HUP");
            program.says("settings read again");
        }
        assert_eq!(program.stop(), Some(0));
    }
}

/// An endpoint that answers when it is told to.
#[derive(Debug)]
struct Gate {
    // A permit for each request that came.
    came: Semaphore,
    // A permit for each request that may be answered.
    open: Semaphore,
}

impl Gate {
    async fn spawn() -> (Arc<Self>, std::net::SocketAddr) {
        let gate = Arc::new(Self { came: Semaphore::new(0), open: Semaphore::new(0) });
        let shared = Arc::clone(&gate);
        let run = async move |body: String| {
            shared.came.add_permits(1);
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
async fn a_request_in_progress_outlasts_a_reload_of_all_programs_on_its_way() {
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
        program.says("started");
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
    gate.came.acquire().await.unwrap().forget();
    for program in &programs {
        program.signal("-HUP");
        program.says("settings read again");
    }
    gate.open.add_permits(1);
    assert_eq!(call.await.unwrap(), Answer::Whole { manifest: None });
}

/// Puts other settings in the place of a file, at one go.
fn replace(path: &Path, settings: &serde_json::Value) {
    let next = path.with_extension("next");
    std::fs::write(&next, toml::to_string(settings).unwrap()).unwrap();
    std::fs::rename(next, path).unwrap();
}

/// The fields of a line that took effect, and those that wait for the next start.
fn named(line: &str) -> (String, String) {
    let line: serde_json::Value = serde_json::from_str(line).unwrap();
    let field = |name: &str| line[name].as_str().unwrap().to_owned();
    (field("changed"), field("at_next_start"))
}

/// A gateway that runs, and the file and the text of its settings.
fn gateway(directory: &TempDir, filter: &str) -> (Program, PathBuf, serde_json::Value) {
    let settings = node(filter);
    let path = write(directory, "gateway", &settings);
    let gateway = Program::spawn(ENTRY, &["--adapter", "platform"], &path);
    gateway.says("gateway started");
    (gateway, path, settings)
}

#[test]
fn settings_with_findings_leave_the_last_ones_in_force_and_are_reported_whole() {
    let directory = tempfile::tempdir().unwrap();
    let (gateway, path, good) = gateway(&directory, "info");
    let mut wrong = good.clone();
    wrong["log"]["filter"] = "off".into();
    wrong["colour"] = "red".into();
    wrong["limits"]["link_mbps"] = "fast".into();
    replace(&path, &wrong);
    // The filter that they ask for would let no line through.
    for _ in 0..2 {
        gateway.signal("-HUP");
        let line = gateway.says("settings cannot be used");
        assert!(line.contains("unknown key `colour`"), "{line}");
        assert!(line.contains("\\\"fast\\\" is not allowed here"), "{line}");
    }
    let mut other = good;
    other["bounds"]["version_ms"] = 7000.into();
    replace(&path, &other);
    gateway.signal("-HUP");
    let changed = named(&gateway.says("settings read again"));
    assert_eq!(changed, ("bounds.version_ms".into(), String::new()));
    assert_eq!(gateway.stop(), Some(0));
}

#[parameterized(
    a_filter = { "/log/filter", json!("cinderspoke=loud"), "the log filter" },
    a_window_without_end = { "/bounds/budget_window_s", json!(1e300), "at most 86400" },
    no_time_to_stop = { "/bounds/grace_s", json!(1e300), "at most 86400" },
)]
fn what_would_end_the_program_is_a_finding(place: &str, value: serde_json::Value, finding: &str) {
    let directory = tempfile::tempdir().unwrap();
    let (gateway, path, mut settings) = gateway(&directory, "info");
    *settings.pointer_mut(place).unwrap() = value;
    replace(&path, &settings);
    gateway.signal("-HUP");
    let line = gateway.says("settings cannot be used");
    assert!(line.contains(finding), "{line}");
    assert_eq!(gateway.stop(), Some(0));
}

#[test]
fn a_file_that_is_gone_leaves_the_last_settings_in_force() {
    let directory = tempfile::tempdir().unwrap();
    let (gateway, path, settings) = gateway(&directory, "info");
    std::fs::remove_file(&path).unwrap();
    gateway.signal("-HUP");
    assert!(gateway.says("settings cannot be used").contains("not found"));
    replace(&path, &settings);
    gateway.signal("-HUP");
    gateway.says("settings read again");
    assert_eq!(gateway.stop(), Some(0));
}

/// Lets through nothing but word of a reload.
const QUIET: &str = "warn,cinderspoke::util::reload=info";

#[parameterized(
    fewer = { &[QUIET], false },
    fewer_and_more_again = { &[QUIET, "info"], true },
)]
fn a_changed_log_filter_takes_effect_at_once(filters: &[&str], says_more: bool) {
    let directory = tempfile::tempdir().unwrap();
    let (gateway, path, mut settings) = gateway(&directory, "info");
    for filter in filters {
        settings["log"]["filter"] = (*filter).into();
        replace(&path, &settings);
        gateway.signal("-HUP");
        gateway.says("log.filter");
    }
    gateway.signal("-TERM");
    // Ends with the process.
    let rest: Vec<String> = gateway.lines.iter().collect();
    assert_eq!(rest.iter().any(|line| line.contains("stopping")), says_more, "{rest:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_log_filter_that_operators_change_takes_effect_at_once() {
    let fleet =
        Fleet::prepare(&small(), &Options { entries: 1, ..Options::default() }).await.unwrap();
    let directory = tempfile::tempdir().unwrap();
    let mut settings = serde_json::to_value(&fleet.entries[0].settings).unwrap();
    let path = write(&directory, "entry", &settings);
    let entry = Program::spawn(ENTRY, &[], &path);
    entry.says("started");
    settings["log"]["filter"] = QUIET.into();
    settings["lease_ms"] = 6000.into();
    replace(&path, &settings);
    let line = entry.says("settings read again");
    assert!(line.contains("log.filter") && line.contains("lease_ms"), "{line}");
    entry.signal("-TERM");
    let rest: Vec<String> = entry.lines.iter().collect();
    assert!(!rest.iter().any(|line| line.contains("stopping")), "{rest:?}");
}

#[test]
fn a_change_without_a_signal_is_taken_in_once() {
    let directory = tempfile::tempdir().unwrap();
    let (gateway, path, mut settings) = gateway(&directory, "info");
    settings["seeds"] = json!(["10.0.0.1:1"]);
    settings["limits"]["link_mbps"] = 500.0.into();
    replace(&path, &settings);
    let changed = named(&gateway.says("settings read again"));
    assert_eq!(changed, ("limits.link_mbps, seeds".into(), String::new()));
    settings["zone"] = "b".into();
    settings["seeds"] = json!([]);
    replace(&path, &settings);
    let changed = named(&gateway.says("settings read again"));
    assert_eq!(changed, ("seeds".into(), "zone".into()));
    assert_eq!(gateway.stop(), Some(0));
}

#[parameterized(
    of_the_whole_system = { true, 0 },
    of_a_process = { false, 10 },
)]
fn only_after_the_first_start_is_the_slack_there_at_once(first_start: bool, from_s: u64) {
    let mut settings = node("info");
    settings["first_start"] = first_start.into();
    let options = options::Options::new(&serde_json::from_value(settings).unwrap());
    assert_eq!(options.budget.slack_from, Duration::from_secs(from_s));
}

// Symptom: by reading. Settings that nobody wrote are in force for up to two seconds.
// Sequence: the file is being written; a signal comes; the rest is written. Cause: on
// a signal the file was taken as it read, and half a file may read like a whole one.
#[tokio::test(start_paused = true)]
async fn a_file_that_is_half_written_when_the_signal_comes_is_not_taken_in() {
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
    let mut in_force = file.spawn(Signals::open().unwrap().reload, filter);
    // Half of "500.0".
    std::fs::write(&path, text("50")).unwrap();
    let own = std::process::id().to_string();
    assert!(Command::new("kill").args(["-HUP", &own]).status().unwrap().success());
    // The clock stands still while there is work, so that no time passes for the
    // program before the rest of the file is there.
    let began = std::time::Instant::now();
    while began.elapsed() < Duration::from_millis(300) && !in_force.has_changed().unwrap() {
        tokio::task::yield_now().await;
    }
    std::fs::write(&path, text("500.0\n")).unwrap();
    let mut taken = Vec::new();
    while let Ok(changed) = timeout(LONG, in_force.changed()).await {
        changed.unwrap();
        taken.push(in_force.borrow_and_update().limits.link_mbps);
    }
    assert_eq!(taken, [500.0]);
}

#[tokio::test]
async fn signals_that_come_before_they_are_asked_for_are_kept() {
    let mut signals = Signals::open().unwrap();
    let own = std::process::id().to_string();
    for name in ["-HUP", "-TERM"] {
        assert!(Command::new("kill").args([name, &own]).status().unwrap().success());
    }
    signals.reload.requested().await;
    signals.stop.requested().await;
}
