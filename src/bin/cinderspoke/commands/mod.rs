//! The commands, one module each.

mod apply;
mod audit;
mod check;
mod completions;
mod diff;
mod status;

use std::pin::Pin;

use anyhow::Result;
use cinderspoke::ops::Report;
use clap::{ArgMatches, Command};

use crate::cli::Context;

/// The future of a running command.
type Running = Pin<Box<dyn Future<Output = Result<Report>>>>;

/// A command: its name, its arguments and the function that runs it.
pub(crate) struct Entry {
    pub(crate) name: &'static str,
    pub(crate) cli: fn() -> Command,
    pub(crate) exec: fn(Context, ArgMatches) -> Running,
}

/// Returns all commands, in the order in which the help lists them.
pub(crate) fn all() -> Vec<Entry> {
    vec![
        Entry {
            name: "check",
            cli: check::cli,
            exec: |context, matches| Box::pin(check::exec(context, matches)),
        },
        Entry {
            name: "diff",
            cli: diff::cli,
            exec: |context, matches| Box::pin(diff::exec(context, matches)),
        },
        Entry {
            name: "apply",
            cli: apply::cli,
            exec: |context, matches| Box::pin(apply::exec(context, matches)),
        },
        Entry {
            name: "status",
            cli: status::cli,
            exec: |context, matches| Box::pin(status::exec(context, matches)),
        },
        Entry {
            name: "audit",
            cli: audit::cli,
            exec: |context, matches| Box::pin(audit::exec(context, matches)),
        },
        Entry {
            name: "completions",
            cli: completions::cli,
            exec: |context, matches| Box::pin(completions::exec(context, matches)),
        },
    ]
}
