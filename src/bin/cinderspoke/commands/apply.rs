//! `cinderspoke apply`

use std::time::Duration;

use anyhow::{Context as _, Result};
use cinderspoke::ops::{self, Report};
use cinderspoke::util::clock::incarnation;
use cinderspoke_types::counter::Generation;
use cinderspoke_types::id::{Author, Operation};
use clap::{Arg, ArgMatches, Command, value_parser};

use crate::cli::{Context, directory, directory_of};

pub(crate) fn cli() -> Command {
    let base = Arg::new("base")
        .long("base")
        .value_name("GENERATION")
        .required(true)
        .value_parser(value_parser!(Generation))
        .help("The generation that the files are based on; 0 for the first");
    let author = Arg::new("author")
        .long("author")
        .value_parser(value_parser!(Author))
        .help("The author of the change; defaults to the user's name");
    let operation = Arg::new("operation")
        .long("operation")
        .value_parser(value_parser!(Operation))
        .help("The name of the operation; a change with the same name takes effect at most once");
    let wait = Arg::new("wait")
        .long("wait")
        .value_name("SECONDS")
        .value_parser(value_parser!(u64))
        .help("Wait until every replica is live, for at most this many seconds");
    Command::new("apply")
        .about("Apply a set of files atomically")
        .arg(directory())
        .args([base, author, operation, wait])
        .after_help(
            "Examples:\n  cinderspoke apply examples/adjei-bross --base 0\n  \
             cinderspoke apply examples/adjei-bross --base 4 --wait 600",
        )
}

pub(crate) async fn exec(context: Context, matches: ArgMatches) -> Result<Report> {
    let change = ops::apply::Change {
        base: matches.get_one::<Generation>("base").copied().unwrap_or_default(),
        author: matches.get_one::<Author>("author").cloned().map_or_else(user, Ok)?,
        operation: matches
            .get_one::<Operation>("operation")
            .cloned()
            .map_or_else(new_operation, Ok)?,
        wait: matches.get_one::<u64>("wait").copied().map(Duration::from_secs),
    };
    let directory = directory_of(&matches);
    ops::apply::apply(&directory, &context.admin, change, context.console).await
}

/// Returns the name of the user who runs the command.
fn user() -> Result<Author> {
    let name = std::env::var("USER").or_else(|_| std::env::var("LOGNAME"));
    name.unwrap_or_else(|_| "unknown".into()).parse().context("the user's name; give --author")
}

/// Returns an operation name that no other run of this command uses.
fn new_operation() -> Result<Operation> {
    Ok(format!("apply-{}-{}", incarnation(), std::process::id()).parse()?)
}
