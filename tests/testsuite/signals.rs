//! Signals of planned work at each moment of a program's life.
//!
//! Guards against planned work that acts as a kill: a program that has begun to run and has not
//! yet installed its handlers ends at SIGHUP, SIGTERM and SIGINT by their default action, with an
//! exit code of 128 plus the signal's number.

use std::fmt::Write as _;
use std::fs::OpenOptions;
use std::io::{ErrorKind, Read, Write};
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::process::{Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use cinderspoke::util::unix::Handlers;
use cinderspoke_test_support::fleet::{Fleet, Options};
use cinderspoke_test_support::samples::small;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use signal_hook::consts::{SIGHUP, SIGTERM};
use signal_hook::low_level::raise;
use tempfile::TempDir;
use tokio::time::timeout;
use yare::parameterized;

use crate::program::{AGENT, ENTRY, Program, TIMEOUT, node, write};

/// The signals of planned work, by the names and numbers of Linux.
const PLANNED: [(&str, u32); 3] = [("-HUP", 1), ("-INT", 2), ("-TERM", 15)];

/// SIGBUS, whose handler is the last thing that Rust's runtime installs before `main`.
const BUS: u32 = 7;

/// How often a process is looked at while a test waits for it.
const POLL: Duration = Duration::from_millis(1);

/// What the system tells of a process.
#[derive(Debug)]
struct Status(String);

impl Status {
    /// Reads the status of a process that has not been waited for.
    fn read(process: u32) -> Self {
        let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap();
        let is_of_use =
            |line: &&str| ["State", "Threads", "Sig"].iter().any(|it| line.starts_with(it));
        Self(status.lines().filter(is_of_use).collect::<Vec<_>>().join("\n"))
    }

    fn field(&self, name: &str) -> &str {
        let line = self.0.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(':'));
        line.unwrap_or_default().trim()
    }

    fn contains(&self, mask: &str, signal: u32) -> bool {
        let mask = u64::from_str_radix(self.field(mask), 16).unwrap_or_default();
        mask >> (signal - 1) & 1 == 1
    }

    /// Whether Rust's runtime has prepared the process for `main`.
    fn is_prepared(&self) -> bool {
        self.contains("SigCgt", BUS)
    }

    fn is_asleep(&self) -> bool {
        self.field("State").starts_with('S')
    }

    /// Whether the process has threads besides the first, which only its own code starts.
    fn has_threads(&self) -> bool {
        !matches!(self.field("Threads"), "" | "1")
    }

    fn handles_planned_work(&self) -> bool {
        PLANNED.iter().all(|(_, number)| self.contains("SigCgt", *number))
    }
}

/// Reads the status of a process until it is as expected.
fn wait_status(process: u32, is_expected: impl Fn(&Status) -> bool) -> Status {
    let began = Instant::now();
    loop {
        let status = Status::read(process);
        if is_expected(&status) {
            return status;
        }
        assert!(began.elapsed() < TIMEOUT, "{status:?}");
        std::thread::sleep(POLL);
    }
}

fn signal(process: u32, name: &str) {
    let id = process.to_string();
    assert!(Command::new("kill").args([name, &id]).status().unwrap().success());
}

/// Waits for a program to end, and kills it if it does not.
fn wait_end(program: &mut Program) -> ExitStatus {
    let began = Instant::now();
    loop {
        if let Some(status) = program.child.try_wait().unwrap() {
            return status;
        }
        assert!(began.elapsed() < TIMEOUT, "the program does not end");
        std::thread::sleep(POLL);
    }
}

/// Returns both ends of a stream, the first of which takes no more bytes until the other is read.
fn full_stream() -> (UnixStream, UnixStream) {
    let (mut full, other) = UnixStream::pair().unwrap();
    full.set_nonblocking(true).unwrap();
    let error = loop {
        if let Err(error) = full.write(&[b' '; 512]) {
            break error;
        }
    };
    assert_eq!(error.kind(), ErrorKind::WouldBlock);
    full.set_nonblocking(false).unwrap();
    (full, other)
}

// The program waits where it reads its command line, since nobody reads the help that it writes. On
// a slow machine it stays as long at any other place before its handlers.
#[parameterized(entry = { ENTRY }, agent = { AGENT })]
fn a_program_handles_signals_before_it_reads_its_command_line(program: &str) {
    let (full, mut other) = full_stream();
    let mut command = Command::new(program);
    let mut child = command.arg("--help").stdout(Stdio::from(OwnedFd::from(full))).spawn().unwrap();
    drop(command);
    let status = wait_status(child.id(), |status| status.is_prepared() && status.is_asleep());
    let is_handled = status.handles_planned_work();
    for (name, _) in PLANNED {
        signal(child.id(), name);
    }
    other.read_to_end(&mut Vec::new()).unwrap();
    let ended = child.wait().unwrap();
    assert!(ended.code() == Some(0) && is_handled, "{ended}, handled: {is_handled}");
}

/// A program, its arguments and a valid settings file.
struct Case {
    program: &'static str,
    arguments: &'static [&'static str],
    settings: PathBuf,
}

/// The long-running programs in both ways to run them.
async fn cases(directory: &TempDir) -> [Case; 4] {
    let options = Options { entries: 1, ..Options::default() };
    let fleet = Fleet::prepare(&small(), &options).await.unwrap();
    let entry = write(directory, "entry", &fleet.entries[0].settings);
    let agent = write(directory, "agent", &fleet.agents[0].settings);
    let gateway = write(directory, "gateway", &node("info"));
    let staging = write(directory, "staging", &node("info"));
    let platform: &[&str] = &["--adapter", "platform"];
    [
        Case { program: ENTRY, arguments: &[], settings: entry },
        Case { program: AGENT, arguments: &[], settings: agent },
        Case { program: ENTRY, arguments: platform, settings: gateway },
        Case { program: AGENT, arguments: platform, settings: staging },
    ]
}

/// Makes a pipe that stands in for a settings file until [`Pipe::finish`].
struct Pipe {
    path: PathBuf,
    text: String,
}

impl Pipe {
    fn new(settings: &Path) -> Self {
        let path = settings.with_extension("pipe");
        assert!(Command::new("mkfifo").arg(&path).status().unwrap().success());
        Self { path, text: std::fs::read_to_string(settings).unwrap() }
    }

    /// Calls `during` while a program that was started with the pipe is reading it. Puts a file of
    /// the same content in its place before the program has read it whole, since a later reload
    /// would wait for a pipe.
    fn finish(self, during: impl FnOnce()) {
        // Opens only once the program has opened it.
        let mut pipe = OpenOptions::new().write(true).open(&self.path).unwrap();
        let (first, rest) = self.text.split_at(self.text.len() / 2);
        pipe.write_all(first.as_bytes()).unwrap();
        during();
        pipe.write_all(rest.as_bytes()).unwrap();
        let next = self.path.with_extension("next");
        std::fs::write(&next, &self.text).unwrap();
        std::fs::rename(next, &self.path).unwrap();
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_reload_requested_while_the_settings_are_read_is_carried_out() {
    let directory = tempfile::tempdir().unwrap();
    for case in cases(&directory).await {
        let pipe = Pipe::new(&case.settings);
        let program = Program::spawn(case.program, case.arguments, &pipe.path);
        pipe.finish(|| (0..5).for_each(|_| program.signal("-HUP")));
        program.wait_line("settings reloaded");
        assert_eq!(program.stop(), Some(0), "{} {:?}", case.program, case.arguments);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stop_requested_while_the_settings_are_read_is_orderly() {
    let directory = tempfile::tempdir().unwrap();
    for case in cases(&directory).await {
        let pipe = Pipe::new(&case.settings);
        let mut program = Program::spawn(case.program, case.arguments, &pipe.path);
        pipe.finish(|| ["-HUP", "-TERM", "-HUP"].iter().for_each(|name| program.signal(name)));
        let ended = wait_end(&mut program);
        assert_eq!(ended.code(), Some(0), "{} {:?}", case.program, case.arguments);
    }
}

/// How many times each program is started in each way.
const STARTS: usize = 5;

/// The most signals that a program gets until it is told to stop.
const SERIES: usize = 12;

/// The longest time between two signals of a series; some milliseconds longer than a start takes on
/// an idle machine.
const MAX_GAP_US: u64 = 20_000;

/// The seed of the series.
const SEED: u64 = 11;

/// Waits until a program handles signals. What its own code starts is only there afterwards.
fn wait_handlers(process: u32) {
    let is_reached = |status: &Status| status.has_threads() || status.handles_planned_work();
    let first = wait_status(process, is_reached);
    let after = Status::read(process);
    assert!(after.handles_planned_work(), "{first:?}\n{after:?}");
}

/// Sends reloads and stops; each of them may come again at any time, also while the program stops.
fn send_series(program: &mut Program, rng: &mut ChaCha8Rng) -> String {
    let mut sent = String::new();
    for number in 0..rng.random_range(1..=SERIES) {
        let gap = Duration::from_micros(rng.random_range(0..MAX_GAP_US));
        std::thread::sleep(gap);
        let name = if rng.random_bool(0.8) { "-HUP" } else { PLANNED[number % 3].0 };
        write!(sent, "{gap:?} {name}, ").unwrap();
        if program.child.try_wait().unwrap().is_some() {
            return sent;
        }
        program.signal(name);
    }
    if program.child.try_wait().unwrap().is_none() {
        program.signal("-TERM");
    }
    sent
}

/// Starts a program again and again, with a series of signals each time.
fn start_and_signal(case: &Case, seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    for start in 0..STARTS {
        let mut program = Program::spawn(case.program, case.arguments, &case.settings);
        wait_handlers(program.child.id());
        let sent = send_series(&mut program, &mut rng);
        let ended = wait_end(&mut program);
        let case = format!("{} {:?}, start {start}", case.program, case.arguments);
        assert_eq!(ended.code(), Some(0), "{case}: {ended} after {sent}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn no_series_of_signals_ends_a_program_other_than_in_order() {
    let directory = tempfile::tempdir().unwrap();
    let cases = cases(&directory).await;
    std::thread::scope(|scope| {
        for (case, seed) in cases.iter().zip(SEED..) {
            scope.spawn(move || start_and_signal(case, seed));
        }
    });
}

/// Set for a process that runs one test on its own.
const OWN_PROCESS: &str = "CINDERSPOKE_TEST_OWN_PROCESS";

// Guards against signals that the early handlers keep and nobody acts on.
//
// The test runs again in a process of its own, since other tests let the runtime handle signals
// first, and each handler has ended before the runtime listens, as in `main`.
#[test]
fn signals_from_before_the_runtime_listens_are_requests() {
    const NAME: &str = "signals::signals_from_before_the_runtime_listens_are_requests";
    if std::env::var_os(OWN_PROCESS).is_some() {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        return runtime.block_on(receive_early_signals());
    }
    let mut command = Command::new(std::env::current_exe().unwrap());
    let output = command.args(["--exact", NAME]).env(OWN_PROCESS, "1").output().unwrap();
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success() && text.contains("1 passed"), "{}: {text}", output.status);
}

async fn receive_early_signals() {
    let handlers = Handlers::open().unwrap();
    for signal in [SIGHUP, SIGTERM] {
        raise(signal).unwrap();
    }
    let mut signals = handlers.listen().unwrap();
    timeout(TIMEOUT, signals.reload.requested()).await.unwrap();
    timeout(TIMEOUT, signals.stop.requested()).await.unwrap();
}

// Guards against an exit code that tells nothing: the error could not be printed, since nobody read
// the program's standard error any more, and the program ended by a panic with code 101.
#[parameterized(
    entry = { ENTRY, &[], 1 },
    agent = { AGENT, &[], 1 },
    entry_on_a_platform = { ENTRY, &["--adapter", "platform"], 1 },
    check = { AGENT, &["--check"], 2 },
)]
fn a_failure_has_its_exit_code_although_nobody_reads_the_errors(
    program: &str,
    arguments: &[&str],
    code: i32,
) {
    let directory = tempfile::tempdir().unwrap();
    let settings = directory.path().join("settings");
    if code == 2 {
        std::fs::write(&settings, "colour = \"red\"\n").unwrap();
    }
    let (reader, writer) = std::io::pipe().unwrap();
    drop(reader);
    let ended = Command::new(program).args(arguments).arg(&settings).stderr(writer).status();
    assert_eq!(ended.unwrap().code(), Some(code));
}
