//! `cinderspoke-entry`: the program on each entry instance.

use std::process::ExitCode;
use std::sync::Arc;

use anyhow::Result;
use cinderspoke::entry::{Entry, Parts};
use cinderspoke::gateway::{self, Gateway};
use cinderspoke::ports::http::Platform;
use cinderspoke::util::http::Client;
use cinderspoke::util::program::{
    Threads, cli, exit, run_on_platform, runs_on_platform, settings_path,
};
use cinderspoke::util::{log, metrics, settings, stop};
use cinderspoke_platform::dialect::Headers;
use cinderspoke_platform::store::Store;
use cinderspoke_schema::settings::Entry as Settings;
use cinderspoke_schema::text;

fn main() -> ExitCode {
    let about = "Answers callers and operators, and relays configuration in its availability zone";
    exit(run(&cli("cinderspoke-entry", about).get_matches()))
}

fn run(matches: &clap::ArgMatches) -> Result<()> {
    if runs_on_platform(matches) { on_platform(matches) } else { on_own(matches) }
}

/// Runs behind a platform that keeps configuration, versions and endpoints.
fn on_platform(matches: &clap::ArgMatches) -> Result<()> {
    run_on_platform(matches, async |settings| {
        let client = Client::new();
        let parts = gateway::Parts {
            registry: Arc::new(Store::new(client.clone(), settings.store)),
            dialect: Arc::new(Headers),
            client,
            metrics: Some(metrics::open()?),
        };
        let gateway = Gateway::bind(&settings, parts).await?;
        stop::requested().await?;
        gateway.stop().await;
        Ok(())
    })
}

/// Runs with a configuration of its own behind the object API.
fn on_own(matches: &clap::ArgMatches) -> Result<()> {
    let settings: Settings = settings::open(&settings_path(matches), &text::entry_settings())?;
    if matches.get_flag("check") {
        return Ok(());
    }
    log::open(&settings.log)?;
    let metrics = Some(metrics::open()?);
    let threads = Threads::spawn(settings.traffic_threads.get() as usize)?;
    let client = Client::new();
    let platform = Arc::new(Platform::new(client.clone(), settings.platform));
    let control = threads.control();
    let store = platform.clone();
    let parts = Parts { store, live_list: platform, client, metrics, control };
    threads.run(async {
        let mut entry = Entry::open(&settings, parts)?;
        entry.bind(&settings).await?;
        stop::requested().await?;
        entry.stop().await;
        Ok(())
    })
}
