//! `cinderspoke-bench serve`: stand-ins and a fleet to try the command line against.

use anyhow::{Context, Result};
use cinderspoke::util::unix::Handlers;
use cinderspoke_test_support::fleet::{Fleet, Options};
use clap::{ArgMatches, Command};

use crate::cli::{sample, sample_of};

pub(crate) fn cli() -> Command {
    Command::new("serve")
        .about("Keep a fleet on stand-ins running until interrupted; nothing is applied at first")
        .arg(sample())
        .after_help(
            "Example:\n  cinderspoke-bench serve\n  \
             then, as it shows, export CINDERSPOKE_ADMIN and run cinderspoke apply",
        )
}

pub(crate) async fn exec(matches: &ArgMatches) -> Result<()> {
    let mut signals = Handlers::open()?.listen()?;
    let sample = sample_of(matches);
    let fleet = Fleet::spawn(&sample.files(), &Options::default()).await?;
    let first = fleet.entries.first().context("the sample has no availability zone")?;
    let directory = match sample {
        cinderspoke_test_support::samples::Sample::AdjeiBross => "examples/adjei-bross",
        cinderspoke_test_support::samples::Sample::PrairieShelf => "examples/prairie-shelf",
    };
    println!("{} entry instances and {} agents run.", fleet.entries.len(), fleet.agents.len());
    println!("Try:");
    println!("  export CINDERSPOKE_ADMIN={}", first.settings.admin);
    println!("  cinderspoke apply {directory} --base 0 --wait 60");
    println!("  cinderspoke status");
    println!("Callers are answered at http://{}", first.settings.callers);
    println!("Stop with Ctrl-C.");
    tokio::select! {
        () = signals.stop.requested() => {}
        // The terminal is gone.
        () = signals.reload.requested() => {}
    }
    Ok(())
}
