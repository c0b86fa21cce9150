//! `cinderspoke-entry`: the program on each entry instance.

use std::process::ExitCode;
use std::sync::Arc;

use anyhow::{Context, Result};
use cinderspoke::entry::{Entry, Parts};
use cinderspoke::gateway::{self, Gateway};
use cinderspoke::ports::http::Platform;
use cinderspoke::util::http::Client;
use cinderspoke::util::metrics;
use cinderspoke::util::program::{
    Running, cli, exit, run_on_platform, run_standalone, runs_on_platform,
};
use cinderspoke::util::unix::Handlers;
use cinderspoke_platform::dialect::Headers;
use cinderspoke_platform::store::Store;
use cinderspoke_schema::settings::Entry as Settings;

fn main() -> ExitCode {
    // First, since a signal without a handler ends the process.
    let handlers = Handlers::open();
    let about =
        "Serves callers and operators, and relays the configuration in its availability zone";
    let matches = cli("cinderspoke-entry", about).get_matches();
    exit(handlers.context("handling signals").and_then(|handlers| run(&matches, handlers)))
}

fn run(matches: &clap::ArgMatches, handlers: Handlers) -> Result<()> {
    if runs_on_platform(matches) {
        on_platform(matches, handlers)
    } else {
        standalone(matches, handlers)
    }
}

/// Runs a gateway, on a platform that stores the configuration, the versions and the list of
/// endpoints.
fn on_platform(matches: &clap::ArgMatches, handlers: Handlers) -> Result<()> {
    run_on_platform(matches, handlers, async |mut running| {
        let settings = running.settings();
        let client = Client::new();
        let parts = gateway::Parts {
            registry: Arc::new(Store::new(client.clone(), settings.store)),
            quarantine: Arc::new(Store::new(client.clone(), settings.store)),
            dialect: Arc::new(Headers),
            client,
            metrics: Some(metrics::open()?),
        };
        let gateway = Gateway::bind(&settings, parts).await?;
        running.until_stop(|settings| gateway.reload(settings)).await;
        gateway.stop().await;
        Ok(())
    })
}

/// Runs an entry instance, with a configuration that is stored in the platform's object API.
fn standalone(matches: &clap::ArgMatches, handlers: Handlers) -> Result<()> {
    let threads = |settings: &Settings| settings.traffic_threads;
    run_standalone(matches, handlers, threads, async |mut running: Running<Settings>, control| {
        let settings = running.settings();
        let metrics = Some(metrics::open()?);
        let client = Client::new();
        let platform = Arc::new(Platform::new(client.clone(), settings.platform));
        let store = platform.clone();
        let parts = Parts { store, live_list: platform, client, metrics, control };
        let mut entry = Entry::open(&settings, parts)?;
        entry.bind(&settings).await?;
        running.until_stop(|_| {}).await;
        entry.stop().await;
        Ok(())
    })
}
