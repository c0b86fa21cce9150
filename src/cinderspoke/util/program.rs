//! What the long-running programs have in common: threads, logs and exit codes.

use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::{Context, Result};
use cinderspoke_schema::settings::Node;
use cinderspoke_schema::text;
use clap::{Arg, ArgMatches, Command, value_parser};
use tokio::runtime::{Builder, Handle, Runtime};

use super::{log, settings};

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

/// Runs a program's main task on such a platform, on the process's only thread;
/// where the settings are only to be checked, it ends before.
///
/// # Errors
///
/// When the settings cannot be used, the system gives no runtime or logs already
/// go somewhere, or as the task.
pub fn run_on_platform<T>(matches: &ArgMatches, main: impl FnOnce(Node) -> T) -> Result<()>
where
    T: Future<Output = Result<()>>,
{
    let settings: Node = settings::open(&settings_path(matches), &text::node_settings())?;
    if matches.get_flag("check") {
        return Ok(());
    }
    let runtime = Builder::new_current_thread().enable_all().build();
    runtime.context("starting the runtime")?.block_on(async {
        let _log = log::open_bounded(&settings.log)?;
        main(settings).await
    })
}

/// The path of the settings file that was given.
#[must_use]
pub fn settings_path(matches: &ArgMatches) -> PathBuf {
    matches.get_one::<PathBuf>("settings").cloned().unwrap_or_default()
}

/// Turns a result into an exit code and reports an error on standard error.
#[must_use]
pub fn exit(result: Result<()>) -> ExitCode {
    let Err(error) = result else { return ExitCode::SUCCESS };
    eprintln!("error: {error:#}");
    if error.is::<settings::Error>() { EXIT_SETTINGS.into() } else { EXIT_FAILURE.into() }
}

/// The threads of a program: one for control state, others for traffic.
#[derive(Debug)]
pub struct Threads {
    control: Runtime,
    traffic: Runtime,
}

impl Threads {
    /// Starts the threads.
    ///
    /// # Errors
    ///
    /// When the system gives none.
    pub fn spawn(traffic: usize) -> Result<Self> {
        let control = Builder::new_multi_thread()
            .worker_threads(1)
            .thread_name("control")
            .enable_all()
            .build()
            .context("starting the control thread")?;
        let traffic = Builder::new_multi_thread()
            .worker_threads(traffic)
            .thread_name("traffic")
            .enable_all()
            .build()
            .context("starting the traffic threads")?;
        Ok(Self { control, traffic })
    }

    /// Where control tasks run.
    #[must_use]
    pub fn control(&self) -> Handle {
        self.control.handle().clone()
    }

    /// Runs the program's main task on the traffic threads.
    pub fn run<T>(&self, main: impl Future<Output = T>) -> T {
        self.traffic.block_on(main)
    }
}
