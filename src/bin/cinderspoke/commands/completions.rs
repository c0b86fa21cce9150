//! `cinderspoke completions`

use anyhow::Result;
use cinderspoke::ops::{Exit, Report};
use clap::{Arg, ArgMatches, Command, value_parser};
use clap_complete::Shell;

use crate::cli::{self, Context};

pub(crate) fn cli() -> Command {
    let shell =
        Arg::new("shell").required(true).value_parser(value_parser!(Shell)).help("The shell");
    Command::new("completions")
        .about("Generate shell completions")
        .arg(shell)
        .after_help("Example:\n  cinderspoke completions bash > cinderspoke.bash")
}

pub(crate) async fn exec(_: Context, matches: ArgMatches) -> Result<Report> {
    let shell = matches.get_one::<Shell>("shell").copied().unwrap_or(Shell::Bash);
    let mut script = Vec::new();
    clap_complete::generate(shell, &mut cli::cli(), "cinderspoke", &mut script);
    let text = String::from_utf8(script)?;
    Report::new(text.clone(), &serde_json::json!({ "script": text }), Exit::Done)
}
