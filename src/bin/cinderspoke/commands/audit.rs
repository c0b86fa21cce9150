//! `cinderspoke audit`

use anyhow::Result;
use cinderspoke::ops::{self, Report};
use clap::{Arg, ArgMatches, Command, value_parser};

use crate::cli::Context;

/// The default number of records.
const DEFAULT_MOST: &str = "20";

pub(crate) fn cli() -> Command {
    let most = Arg::new("most")
        .long("most")
        .value_name("N")
        .default_value(DEFAULT_MOST)
        .value_parser(value_parser!(usize))
        .help("How many records to show");
    Command::new("audit")
        .about("Show who changed what, when, from which generation to which")
        .arg(most)
        .after_help("Example:\n  cinderspoke audit --most 5")
}

pub(crate) async fn exec(context: Context, matches: ArgMatches) -> Result<Report> {
    let most = matches.get_one::<usize>("most").copied().unwrap_or_default();
    ops::audit::audit(&context.admin, most).await
}
