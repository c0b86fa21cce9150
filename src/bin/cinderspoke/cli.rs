//! The command line, with the arguments that all commands share.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::Result;
use cinderspoke::ops::client::Admin;
use cinderspoke::ops::{Console, EXIT_CODES, Exit, Report};
use cinderspoke::util::http::Client;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use tokio::runtime::Builder;

use crate::commands;

/// The default address of the administration API.
const DEFAULT_ADMIN: &str = "127.0.0.1:7300";

/// The environment variable with the address of the administration API.
const ADMIN_VARIABLE: &str = "CINDERSPOKE_ADMIN";

/// What every command has access to.
pub(crate) struct Context {
    pub(crate) admin: Admin,
    pub(crate) console: Console,
}

/// Builds the command line.
pub(crate) fn cli() -> Command {
    let json = Arg::new("json")
        .long("json")
        .global(true)
        .action(ArgAction::SetTrue)
        .help("Write the report as JSON");
    let admin = Arg::new("admin")
        .long("admin")
        .global(true)
        .value_name("IP:PORT")
        .value_parser(value_parser!(SocketAddr))
        .help(format!("The address of the administration API; defaults to ${ADMIN_VARIABLE}, then {DEFAULT_ADMIN}"));
    Command::new("cinderspoke")
        .about("Declares services, models and replicas, and shows how they run")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(json)
        .arg(admin)
        .subcommands(commands::all().into_iter().map(|command| (command.cli)()))
        .after_help(EXIT_CODES)
}

/// The argument for the directory of a set of files.
pub(crate) fn directory() -> Arg {
    Arg::new("directory")
        .value_name("DIRECTORY")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("The directory with the set of .toml files")
}

/// Returns the value of the [`directory`] argument.
pub(crate) fn directory_of(matches: &ArgMatches) -> PathBuf {
    matches.get_one::<PathBuf>("directory").cloned().unwrap_or_default()
}

/// Parses the arguments, runs the command and returns the exit code.
pub(crate) fn main() -> ExitCode {
    let matches = cli().get_matches();
    let console = Console { json: matches.get_flag("json") };
    let result = run(&matches, console).and_then(|report| {
        console.write(&report)?;
        Ok(report.exit)
    });
    match result {
        Ok(exit) => ExitCode::from(exit as u8),
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::from(Exit::Failed as u8)
        }
    }
}

fn run(matches: &ArgMatches, console: Console) -> Result<Report> {
    let context = Context { admin: Admin::new(Client::new(), admin_address(matches)?), console };
    let Some((name, arguments)) = matches.subcommand() else {
        anyhow::bail!("no command is given")
    };
    let command = commands::all().into_iter().find(|command| command.name == name);
    let Some(command) = command else { anyhow::bail!("there is no command {name:?}") };
    let runtime = Builder::new_current_thread().enable_all().build()?;
    runtime.block_on((command.exec)(context, arguments.clone()))
}

fn admin_address(matches: &ArgMatches) -> Result<SocketAddr> {
    if let Some(address) = matches.get_one::<SocketAddr>("admin") {
        return Ok(*address);
    }
    let text = std::env::var(ADMIN_VARIABLE).unwrap_or_else(|_| DEFAULT_ADMIN.into());
    text.parse().map_err(|error| anyhow::anyhow!("{ADMIN_VARIABLE} is {text:?}: {error}"))
}
