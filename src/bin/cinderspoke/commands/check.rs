//! `cinderspoke check`

use anyhow::Result;
use cinderspoke::ops::{self, Report};
use clap::{ArgMatches, Command};

use crate::cli::{Context, directory, directory_of};

pub(crate) fn cli() -> Command {
    Command::new("check")
        .about("Check a set of files, and show every finding with its position")
        .arg(directory())
        .after_help("Example:\n  cinderspoke check examples/adjei-bross")
}

pub(crate) async fn exec(_: Context, matches: ArgMatches) -> Result<Report> {
    ops::check::check(&directory_of(&matches))
}
