//! Startup of the long-running programs: command line, threads, signals, logs and exit codes.

use std::io::Write;
use std::num::NonZeroU32;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use anyhow::{Context, Result};
use cinderspoke_schema::settings::Node;
use clap::{Arg, ArgMatches, Command, value_parser};
use tokio::runtime::{Builder, Handle, Runtime};
use tokio::sync::watch;

use super::log;
use super::reload::File;
use super::settings::{self, Settings};
use super::unix::{Handlers, Signals, Stop};

/// The exit code for invalid settings.
pub const EXIT_SETTINGS: u8 = 2;

/// The exit code for any other failure.
pub const EXIT_FAILURE: u8 = 1;

/// Builds the command line of a program that reads one settings file.
#[must_use]
pub fn cli(name: &'static str, about: &'static str) -> Command {
    let settings = Arg::new("settings")
        .help("The settings file, in TOML")
        .required(true)
        .value_parser(value_parser!(PathBuf));
    let check = Arg::new("check")
        .long("check")
        .help("Only check the settings")
        .action(clap::ArgAction::SetTrue);
    let adapter = Arg::new("adapter")
        .long("adapter")
        .value_name("ADAPTER")
        .help("Whether the process runs on its own or on a platform")
        .value_parser(["own", PLATFORM])
        .default_value("own");
    let help =
        "Exit codes: 0 after an orderly stop, 1 on failure, 2 when the settings cannot be used.";
    Command::new(name)
        .about(about)
        .version(env!("CARGO_PKG_VERSION"))
        .arg(settings)
        .arg(check)
        .arg(adapter)
        .after_help(help)
}

/// The value of `--adapter` for a platform that stores the configuration, the versions and the list
/// of endpoints.
const PLATFORM: &str = "platform";

/// Whether the arguments select the platform adapter.
#[must_use]
pub fn runs_on_platform(matches: &ArgMatches) -> bool {
    matches.get_one::<String>("adapter").is_some_and(|adapter| adapter == PLATFORM)
}

/// The settings and the stop signal, for a program's main task.
pub struct Running<T> {
    settings: watch::Receiver<Arc<T>>,
    stop: Stop,
}

impl<T: Settings> Running<T> {
    fn open(file: File<T>, signals: Signals, filter: log::Filter) -> Self {
        Self { settings: file.spawn(signals.reload, filter), stop: signals.stop }
    }

    /// The settings in force.
    #[must_use]
    pub fn settings(&self) -> Arc<T> {
        Arc::clone(&self.settings.borrow())
    }

    /// Waits for the signal to stop, and calls `apply` with each change of the settings until then.
    pub async fn until_stop(&mut self, apply: impl Fn(&T)) {
        loop {
            tokio::select! {
                biased;
                () = self.stop.requested() => return,
                Ok(()) = self.settings.changed() => apply(&self.settings.borrow_and_update()),
            }
        }
    }
}

/// Runs a program's main task with the platform adapter, on a single-threaded runtime. With
/// `--check` it only checks the settings.
///
/// # Errors
///
/// If the settings are invalid, the runtime cannot be started, the signals cannot be received, or a
/// global log subscriber is already installed; otherwise the error of the task.
pub fn run_on_platform<T>(
    matches: &ArgMatches,
    handlers: Handlers,
    main: impl FnOnce(Running<Node>) -> T,
) -> Result<()>
where
    T: Future<Output = Result<()>>,
{
    let runtime = Builder::new_current_thread().enable_all().build();
    runtime.context("starting the runtime")?.block_on(async {
        let signals = handlers.listen().context("listening to signals")?;
        let file: File<Node> = File::open(settings_path(matches))?;
        if matches.get_flag("check") {
            return Ok(());
        }
        let (_log, filter) = log::open_bounded(file.settings().log())?;
        main(Running::open(file, signals, filter)).await
    })
}

/// Runs a program's main task without the platform adapter, on the threads for traffic. The task
/// gets the handle of a second runtime, with one thread, for control tasks. With `--check` it only
/// checks the settings.
///
/// # Errors
///
/// As [`run_on_platform`].
pub fn run_standalone<S: Settings, T>(
    matches: &ArgMatches,
    handlers: Handlers,
    traffic_threads: impl FnOnce(&S) -> NonZeroU32,
    main: impl FnOnce(Running<S>, Handle) -> T,
) -> Result<()>
where
    T: Future<Output = Result<()>>,
{
    let control = start_runtime("control", 1)?;
    let _control = control.enter();
    let signals = handlers.listen().context("listening to signals")?;
    let file: File<S> = File::open(settings_path(matches))?;
    if matches.get_flag("check") {
        return Ok(());
    }
    let traffic = start_runtime("traffic", traffic_threads(file.settings()).get() as usize)?;
    let filter = log::open(file.settings().log())?;
    let running = Running::open(file, signals, filter);
    traffic.block_on(main(running, control.handle().clone()))
}

/// Starts a runtime with `count` threads of this name.
fn start_runtime(name: &str, count: usize) -> Result<Runtime> {
    let runtime =
        Builder::new_multi_thread().worker_threads(count).thread_name(name).enable_all().build();
    runtime.with_context(|| format!("starting the {name} threads"))
}

/// Returns the path of the settings file from the arguments.
fn settings_path(matches: &ArgMatches) -> PathBuf {
    matches.get_one::<PathBuf>("settings").cloned().unwrap_or_default()
}

/// Converts a result into an exit code, and prints an error to standard error. An error that cannot
/// be printed, since nobody reads standard error, still has its exit code.
#[must_use]
pub fn exit(result: Result<()>) -> ExitCode {
    let Err(error) = result else { return ExitCode::SUCCESS };
    let _ = writeln!(std::io::stderr(), "error: {error:#}");
    if error.is::<settings::Error>() { EXIT_SETTINGS.into() } else { EXIT_FAILURE.into() }
}
