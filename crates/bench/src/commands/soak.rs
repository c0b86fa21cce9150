//! `cinderspoke-bench soak`: the real programs while things go wrong.

use std::path::PathBuf;
use std::time::Duration;

use anyhow::{Result, ensure};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use crate::cli::seed;
use crate::console::Console;
use crate::soak::{self, Options};

/// How many model engines there are, if nothing is said of it.
const ENGINES: usize = 2;

/// The same where they end under requests.
const FATAL_ENGINES: usize = 4;

pub(crate) fn cli() -> Command {
    let seconds = Arg::new("seconds")
        .long("seconds")
        .value_name("N")
        .default_value("60")
        .value_parser(value_parser!(u64).range(1..))
        .help("How long faults are played");
    let gateways = Arg::new("gateways")
        .long("gateways")
        .value_name("N")
        .default_value("2")
        .value_parser(value_parser!(u64).range(1..=64))
        .help("How many entry processes run");
    let engines = Arg::new("engines")
        .long("engines")
        .value_name("N")
        .value_parser(value_parser!(u64).range(0..=64))
        .help(
            "How many model engines there are, each with an agent's process [default: 2, with \
             --fatal 4]",
        );
    let fatal = Arg::new("fatal").long("fatal").action(ArgAction::SetTrue).help(
        "Have a request come again and again that ends each endpoint that begins it, and requests \
             of which no two are alike, with a part in their prompts that ends each engine that \
             begins an answer on it",
    );
    let notices = Arg::new("notices")
        .long("notices")
        .action(ArgAction::SetTrue)
        .help("Have endpoints ask for rest, and say that they leave before the store knows it");
    let restores = Arg::new("restores")
        .long("restores")
        .action(ArgAction::SetTrue)
        .help("Has the store come back from older copies of itself");
    let limits = Arg::new("limits")
        .long("limits")
        .action(ArgAction::SetTrue)
        .help("Have endpoints name how many requests a second they accept from all together");
    let sizes = Arg::new("sizes")
        .long("sizes")
        .action(ArgAction::SetTrue)
        .help("Have more asked than engines can do, in requests of all sizes");
    let retries = Arg::new("retries").long("retries").action(ArgAction::SetTrue).help(
        "Have all endpoints turn requests away at times, while gateways are killed and partitioned",
    );
    let programs = Arg::new("programs")
        .long("programs")
        .value_name("DIR")
        .default_value("target/release")
        .value_parser(value_parser!(PathBuf))
        .help("Where the programs are");
    let out = Arg::new("out")
        .long("out")
        .value_name("DIR")
        .value_parser(value_parser!(PathBuf))
        .help("Where settings and logs are kept; else they are removed at the end");
    Command::new("soak")
        .about("Run the real programs on loopback while links, processes and the store fail")
        .args([
            seed(),
            seconds,
            gateways,
            engines,
            fatal,
            notices,
            limits,
            sizes,
            restores,
            retries,
            programs,
            out,
        ])
        .after_help(
            "The same seed plays the same faults. Fails when a promise is broken that no \
             fault accounts for.\n\n\
             Example:\n  cinderspoke-bench soak --seed 7 --seconds 60 --out logs",
        )
}

pub(crate) async fn exec(matches: &ArgMatches, json: bool) -> Result<()> {
    let console = Console { json };
    let number = |name| matches.get_one::<u64>(name).copied().unwrap_or_default();
    let path = |name| matches.get_one::<PathBuf>(name).cloned();
    let temporary = tempfile::tempdir()?;
    let usual_engines = if matches.get_flag("fatal") { FATAL_ENGINES } else { ENGINES };
    let options = Options {
        seed: number("seed"),
        length: Duration::from_secs(number("seconds")),
        gateways: number("gateways") as usize,
        engines: matches.get_one::<u64>("engines").map_or(usual_engines, |count| *count as usize),
        fatal: matches.get_flag("fatal"),
        notices: matches.get_flag("notices"),
        limits: matches.get_flag("limits"),
        restores: matches.get_flag("restores"),
        retries: matches.get_flag("retries"),
        sizes: matches.get_flag("sizes"),
        programs: path("programs").unwrap_or_default(),
        out: path("out").unwrap_or_else(|| temporary.path().to_owned()),
    };
    // Faults and breaches are told beside the line of JSON too: they say why it fails.
    let summary = soak::run(&options, Console { json: false }).await?;
    console.write(&summary.to_text(), &summary)?;
    ensure!(summary.is_good(), "promises were broken that no fault accounts for");
    Ok(())
}
