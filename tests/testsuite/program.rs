//! The long-running programs as separate processes, with their output lines.

use std::io::{BufRead, BufReader, Read};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::time::Duration;

use cinderspoke_test_support::address;
use serde_json::json;
use tempfile::TempDir;

/// The timeout of waiting for a program's log line or change; long, since machines may be busy.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(20);

pub(crate) const ENTRY: &str = env!("CARGO_BIN_EXE_cinderspoke-entry");
pub(crate) const AGENT: &str = env!("CARGO_BIN_EXE_cinderspoke-agent");

/// A program whose output lines are read; it is killed when the test ends.
pub(crate) struct Program {
    pub(crate) child: Child,
    pub(crate) lines: Receiver<String>,
}

impl Program {
    pub(crate) fn spawn(program: &str, arguments: &[&str], settings: &Path) -> Self {
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

    /// Returns the next output line that contains a text; fails if the program ends before.
    pub(crate) fn wait_line(&self, text: &str) -> String {
        loop {
            let line = self.lines.recv_timeout(TIMEOUT);
            let line = line.unwrap_or_else(|error| panic!("no line contains {text:?}: {error}"));
            if line.contains(text) {
                return line;
            }
        }
    }

    pub(crate) fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &id]).status().unwrap().success());
    }

    /// Sends SIGTERM, waits for the process to end and returns its exit code.
    pub(crate) fn stop(mut self) -> Option<i32> {
        self.signal("-TERM");
        self.child.wait().unwrap().code()
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        // Both fail if the process has already ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the settings of a process on a platform whose store is never reachable.
pub(crate) fn node(filter: &str) -> serde_json::Value {
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

pub(crate) fn write<T: serde::Serialize>(directory: &TempDir, name: &str, settings: &T) -> PathBuf {
    let path = directory.path().join(name);
    std::fs::write(&path, toml::to_string(settings).unwrap()).unwrap();
    path
}
