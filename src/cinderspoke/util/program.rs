//! What the long-running programs have in common: threads, logs and exit codes.

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
use super::unix::{Signals, Stop};

/// The exit code for settings that cannot be used.
pub const EXIT_SETTINGS: u8 = 2;

/// The exit code for any other failure.
pub const EXIT_FAILURE: u8 = 1;

/// The command line of a program that reads one settings file.
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
        .help("What the process runs on")
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

/// The adapter to a platform that keeps configuration, versions and endpoints.
const PLATFORM: &str = "platform";

/// Whether the process runs on such a platform.
#[must_use]
pub fn runs_on_platform(matches: &ArgMatches) -> bool {
    matches.get_one::<String>("adapter").is_some_and(|adapter| adapter == PLATFORM)
}

/// What a program's main task is given.
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

    /// Waits until the process is asked to stop; settings that come into force
    /// before, since the start, are applied.
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

/// Runs a program's main task on such a platform, on the process's only thread;
/// where the settings are only to be checked, it ends before.
///
/// # Errors
///
/// When the settings cannot be used, the system gives no runtime or logs already
/// go somewhere, or as the task.
pub fn run_on_platform<T>(matches: &ArgMatches, main: impl FnOnce(Running<Node>) -> T) -> Result<()>
where
    T: Future<Output = Result<()>>,
{
    let runtime = Builder::new_current_thread().enable_all().build();
    runtime.context("starting the runtime")?.block_on(async {
        let signals = Signals::open().context("listening to signals")?;
        let file: File<Node> = File::open(settings_path(matches))?;
        if matches.get_flag("check") {
            return Ok(());
        }
        let (_log, filter) = log::open_bounded(file.settings().log())?;
        main(Running::open(file, signals, filter)).await
    })
}

/// Runs a program's main task with settings of the operators' own, on threads of
/// its own for traffic; it is told where control tasks run.
///
/// # Errors
///
/// As on a platform.
pub fn run_standalone<S: Settings, T>(
    matches: &ArgMatches,
    traffic_threads: impl FnOnce(&S) -> NonZeroU32,
    main: impl FnOnce(Running<S>, Handle) -> T,
) -> Result<()>
where
    T: Future<Output = Result<()>>,
{
    let control = threads("control", 1)?;
    let _control = control.enter();
    let signals = Signals::open().context("listening to signals")?;
    let file: File<S> = File::open(settings_path(matches))?;
    if matches.get_flag("check") {
        return Ok(());
    }
    let traffic = threads("traffic", traffic_threads(file.settings()).get() as usize)?;
    let filter = log::open(file.settings().log())?;
    let running = Running::open(file, signals, filter);
    traffic.block_on(main(running, control.handle().clone()))
}

/// Starts threads of a program: one for control state, others for traffic.
fn threads(name: &str, count: usize) -> Result<Runtime> {
    let runtime =
        Builder::new_multi_thread().worker_threads(count).thread_name(name).enable_all().build();
    runtime.with_context(|| format!("starting the {name} threads"))
}

/// The path of the settings file that was given.
fn settings_path(matches: &ArgMatches) -> PathBuf {
    matches.get_one::<PathBuf>("settings").cloned().unwrap_or_default()
}

/// Turns a result into an exit code and reports an error on standard error.
#[must_use]
pub fn exit(result: Result<()>) -> ExitCode {
    let Err(error) = result else { return ExitCode::SUCCESS };
    eprintln!("error: {error:#}");
    if error.is::<settings::Error>() { EXIT_SETTINGS.into() } else { EXIT_FAILURE.into() }
}
