//! `cinderspoke-agent`: the program on the instance of each endpoint.

use std::process::ExitCode;
use std::sync::Arc;

use anyhow::{Context, Result};
use cinderspoke::agent::{Agent, Endpoint, Parts};
use cinderspoke::endpoint::http::Endpoint as HttpEndpoint;
use cinderspoke::ports::http::Weights;
use cinderspoke::staging;
use cinderspoke::util::http::Client;
use cinderspoke::util::metrics;
use cinderspoke::util::program::{
    Running, cli, exit, run_on_platform, run_standalone, runs_on_platform,
};
use cinderspoke::util::unix::Handlers;
use cinderspoke_core::transfer::Policy;
use cinderspoke_platform::engine::LocalEngine;
use cinderspoke_platform::origin::RemoteOrigin;
use cinderspoke_schema::settings::{Agent as Settings, EndpointKind};

fn main() -> ExitCode {
    // First, since a signal without a handler ends the process.
    let handlers = Handlers::open();
    let about =
        "Exchanges weights with peers, sends orders to its endpoint and forwards requests to it";
    let matches = cli("cinderspoke-agent", about).get_matches();
    exit(handlers.context("handling signals").and_then(|handlers| run(&matches, handlers)))
}

fn run(matches: &clap::ArgMatches, handlers: Handlers) -> Result<()> {
    if runs_on_platform(matches) {
        on_platform(matches, handlers)
    } else {
        standalone(matches, handlers)
    }
}

/// Runs next to a model engine, on a platform that sets the version to serve.
fn on_platform(matches: &clap::ArgMatches, handlers: Handlers) -> Result<()> {
    run_on_platform(matches, handlers, async |mut running| {
        let settings = running.settings();
        let client = Client::new();
        let beside =
            settings.beside.as_ref().context("the settings contain no engine (`beside`)")?;
        let to_origin = client.clone();
        let parts = staging::Parts {
            engine: Arc::new(LocalEngine::new(client.clone(), beside.address)),
            open_origin: Arc::new(move |address| {
                Arc::new(RemoteOrigin::new(to_origin.clone(), address))
            }),
            client,
            metrics: Some(metrics::open()?),
        };
        let agent = staging::Agent::bind(&settings, parts).await?;
        running.until_stop(|settings| agent.reload(settings)).await;
        agent.stop();
        Ok(())
    })
}

/// Runs with orders from entry instances, without the platform adapter.
fn standalone(matches: &clap::ArgMatches, handlers: Handlers) -> Result<()> {
    let threads = |settings: &Settings| settings.traffic_threads;
    run_standalone(matches, handlers, threads, async |mut running: Running<Settings>, control| {
        let settings = running.settings();
        let metrics = Some(metrics::open()?);
        let client = Client::new();
        let weights = Weights::new(client.clone(), settings.weight_store, settings.origin);
        let weights = Arc::new(weights);
        let parts = Parts {
            endpoint: endpoint(&settings, client.clone()),
            weight_store: weights.clone(),
            origin: weights,
            policy: Policy::default(),
            client,
            metrics,
            control,
        };
        let mut agent = Agent::open(&settings, parts);
        agent.bind(&settings).await?;
        running.until_stop(|_| {}).await;
        agent.stop().await;
        Ok(())
    })
}

fn endpoint(settings: &Settings, client: Client) -> Endpoint {
    let endpoint = Arc::new(HttpEndpoint::new(client, settings.endpoint.address));
    match settings.endpoint.kind {
        EndpointKind::Model => Endpoint::Model(endpoint),
        EndpointKind::Plain => Endpoint::Plain(endpoint),
    }
}
