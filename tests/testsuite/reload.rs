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
use std::sync::mpsc::{Receiver, channel};
use std::time::Duration;

use cinderspoke_test_support::address;
use cinderspoke_test_support::fleet::{Fleet, Options};
use cinderspoke_test_support::samples::small;
use serde_json::json;
use tempfile::TempDir;

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
