//! `cinderspoke`: the operator's command line.

mod cli;
mod commands;

use std::process::ExitCode;

fn main() -> ExitCode {
    cli::main()
}
