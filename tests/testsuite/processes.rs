//! Runs each program as a separate process.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use cinderspoke_schema::control::Part;
use cinderspoke_test_support::caller::{Answer, Caller};
use cinderspoke_test_support::fleet::{Beside, Fleet, Options};
use cinderspoke_test_support::samples::small;
use serde::Serialize;
use tempfile::TempDir;
use tokio::time::{Instant, sleep};

use crate::path::LIVE;

/// A process that is killed when the test ends.
pub(crate) struct Process(Child);

impl Process {
    fn spawn(program: &str, settings: &Path) -> Self {
        let mut command = Command::new(program);
        let child = command.arg(settings).stdout(Stdio::null()).stderr(Stdio::null()).spawn();
        Self(child.unwrap())
    }

    /// Sends SIGTERM, waits for the process to end and returns its exit code.
    fn stop(mut self) -> Option<i32> {
        let id = self.0.id().to_string();
        assert!(Command::new("kill").args(["-TERM", &id]).status().unwrap().success());
        self.0.wait().unwrap().code()
    }

    fn kill(mut self) {
        self.0.kill().unwrap();
        self.0.wait().unwrap();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Both fail if the process has already ended.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// A fleet whose stand-ins run in the test's process and each program in a process of its own.
pub(crate) struct Processes {
    pub(crate) fleet: Fleet,
    pub(crate) directory: TempDir,
    entries: Vec<Process>,
    agents: Vec<Process>,
}

impl Processes {
    pub(crate) async fn spawn() -> Self {
        let fleet =
            Fleet::prepare(&small(), &Options { entries: 1, ..Options::default() }).await.unwrap();
        let directory = tempfile::tempdir().unwrap();
        let mut processes = Self { fleet, directory, entries: Vec::new(), agents: Vec::new() };
        for number in 0..processes.fleet.entries.len() {
            let entry = processes.entry(number);
            processes.entries.push(entry);
        }
        for number in 0..processes.fleet.agents.len() {
            let agent = processes.agent(number);
            processes.agents.push(agent);
        }
        processes.write_files(&small());
        processes
    }

    fn entry(&self, number: usize) -> Process {
        let path = self.settings(&format!("entry-{number}"), &self.fleet.entries[number].settings);
        Process::spawn(env!("CARGO_BIN_EXE_cinderspoke-entry"), &path)
    }

    fn agent(&self, number: usize) -> Process {
        let path = self.settings(&format!("agent-{number}"), &self.fleet.agents[number].settings);
        Process::spawn(env!("CARGO_BIN_EXE_cinderspoke-agent"), &path)
    }

    fn settings<T: Serialize>(&self, name: &str, settings: &T) -> PathBuf {
        let path = self.directory.path().join(format!("{name}.settings"));
        std::fs::write(&path, toml::to_string(settings).unwrap()).unwrap();
        path
    }

    pub(crate) fn write_files(&self, files: &[Part]) {
        for file in files {
            std::fs::write(self.directory.path().join(&file.name), &file.text).unwrap();
        }
    }

    pub(crate) fn admin(&self) -> SocketAddr {
        self.fleet.entries[0].settings.admin
    }

    /// Waits until the administration API answers.
    pub(crate) async fn ready(&self) {
        let started = Instant::now();
        while tokio::net::TcpStream::connect(self.admin()).await.is_err() {
            assert!(started.elapsed() < LIVE);
            sleep(Duration::from_millis(10)).await;
        }
    }

    /// Runs the operator's command-line tool; returns its exit code and output.
    pub(crate) fn cinderspoke(&self, arguments: &[&str]) -> (Option<i32>, String) {
        let output = Command::new(env!("CARGO_BIN_EXE_cinderspoke"))
            .args(arguments)
            .current_dir(self.directory.path())
            .env("CINDERSPOKE_ADMIN", self.admin().to_string())
            .output()
            .unwrap();
        let errors = String::from_utf8(output.stderr).unwrap();
        (output.status.code(), String::from_utf8(output.stdout).unwrap() + &errors)
    }
}

async fn request(processes: &Processes) -> Answer {
    let caller = Caller::new("readers".parse().unwrap());
    let entry = processes.fleet.entries[0].settings.callers;
    caller.generate(entry, &"say".parse().unwrap(), "hello", 12).await.answer
}

#[tokio::test(flavor = "multi_thread")]
async fn the_programs_apply_a_change_answer_requests_and_stop_gracefully() {
    let mut processes = Processes::spawn().await;
    processes.ready().await;
    let applied =
        processes.cinderspoke(&["apply", ".", "--base", "0", "--author", "me", "--wait", "120"]);
    assert_eq!(applied, (Some(0), "generation 1 accepted\n".into()));
    assert!(matches!(request(&processes).await, Answer::Whole { .. }));
    let agent = processes.agents.remove(0);
    assert_eq!(agent.stop(), Some(0));
    assert!(matches!(request(&processes).await, Answer::Whole { .. }));
    let entry = processes.entries.remove(0);
    assert_eq!(entry.stop(), Some(0));
}

#[tokio::test(flavor = "multi_thread")]
async fn killed_processes_recover_after_a_restart_and_load_nothing_partially() {
    let mut processes = Processes::spawn().await;
    processes.ready().await;
    let (code, _) = processes.cinderspoke(&["apply", ".", "--base", "0", "--author", "me"]);
    assert_eq!(code, Some(0));
    processes.entries.remove(0).kill();
    processes.agents.remove(0).kill();
    let (entry, agent) = (processes.entry(0), processes.agent(0));
    processes.entries.insert(0, entry);
    processes.agents.insert(0, agent);
    processes.ready().await;
    let (code, text) =
        processes.cinderspoke(&["apply", ".", "--base", "1", "--author", "me", "--wait", "120"]);
    assert_eq!((code, text.as_str()), (Some(0), "generation 2 accepted\n"));
    assert!(matches!(request(&processes).await, Answer::Whole { .. }));
    for agent in &processes.fleet.agents {
        if let Beside::Engine(engine) = &agent.beside {
            assert_eq!(engine.record().wrong_loads, 0);
        }
    }
}
