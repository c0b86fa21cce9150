//! `cinderspoke diff`

use anyhow::Result;
use cinderspoke::ops::{self, Report};
use clap::{ArgMatches, Command};

use crate::cli::{Context, directory, directory_of};

pub(crate) fn cli() -> Command {
    Command::new("diff")
        .about("Show what applying a set of files would change")
        .arg(directory())
        .after_help("Example:\n  cinderspoke diff examples/adjei-bross --admin 10.0.0.7:7300")
}

pub(crate) async fn exec(context: Context, matches: ArgMatches) -> Result<Report> {
    ops::diff::diff(&directory_of(&matches), &context.admin).await
}
