//! `cinderspoke status`

use anyhow::Result;
use cinderspoke::ops::{self, Report};
use clap::{ArgMatches, Command};

use crate::cli::Context;

pub(crate) fn cli() -> Command {
    Command::new("status")
        .about(
            "Show running replicas, transfers in progress and instances that lag behind the plan",
        )
        .after_help("Example:\n  cinderspoke status --json")
}

pub(crate) async fn exec(context: Context, _: ArgMatches) -> Result<Report> {
    ops::status::status(&context.admin).await
}
