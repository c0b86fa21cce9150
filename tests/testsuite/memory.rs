//! Whole-system tests over an in-memory network, on a paused clock.

use std::time::Duration;

use cinderspoke::ports::Listed;
use cinderspoke_schema::control::State;
use cinderspoke_test_support::caller::{Answer, Caller};
use cinderspoke_test_support::fleet::{AgentMachine, Fleet, Options, check, replaced};
use cinderspoke_test_support::load::{self, Load};
use cinderspoke_test_support::network::{Delays, Network};
use cinderspoke_test_support::node::Ground;
use cinderspoke_test_support::samples::small;
use tokio::time::Instant;

use crate::path::LIVE;

async fn run() -> (Duration, Answer) {
    let files = small();
    let started = Instant::now();
    let ground = Ground::Memory(Network::new(Delays::default()));
    let options = Options { ground: ground.clone(), ..Options::default() };
    let mut fleet = Fleet::spawn(&files, &options).await.unwrap();
    fleet.expect_weights(&check(&files).unwrap());
    let generation = fleet.apply(files).await.unwrap();
    fleet.live(generation, LIVE).await.unwrap();
    let caller = Caller::over(ground.callers(), "readers".parse().unwrap());
    let answer = caller.generate(fleet.callers()[0], &"say".parse().unwrap(), "a", 10).await.answer;
    (started.elapsed(), answer)
}

#[tokio::test(start_paused = true)]
async fn two_identical_runs_take_exactly_the_same_time() {
    let first = run().await;
    assert!(matches!(first.1, Answer::Whole { .. }), "{first:?}");
    assert_eq!(first, run().await);
}

#[tokio::test(start_paused = true)]
async fn a_stream_in_progress_completes_during_a_change_to_a_new_version() {
    let files = small();
    let ground = Ground::Memory(Network::new(Delays::default()));
    let options = Options { ground: ground.clone(), ..Options::default() };
    let mut fleet = Fleet::spawn(&files, &options).await.unwrap();
    let first = fleet.apply(files.clone()).await.unwrap();
    fleet.live(first, LIVE).await.unwrap();
    let caller = Caller::over(ground.callers(), "readers".parse().unwrap());
    let entry = fleet.callers()[0];
    let long = tokio::spawn(async move {
        caller.generate(entry, &"say".parse().unwrap(), "long", 5000).await.answer
    });
    tokio::time::sleep(Duration::from_millis(500)).await;
    let files = replaced(&files, "version = \"one\"", "version = \"two\"");
    let wanted = check(&files).unwrap().models.values().next().unwrap().version[0].manifest;
    let second = fleet.apply(files).await.unwrap();
    // The old weights stay loaded for as long as the stream takes.
    fleet.live(second, LIVE).await.unwrap();
    assert_eq!(long.await.unwrap(), Answer::Whole { manifest: Some(wanted) });
}

#[tokio::test(start_paused = true)]
async fn an_endpoint_listed_as_draining_by_the_lagging_list_gets_no_new_work() {
    let files = small();
    let ground = Ground::Memory(Network::new(Delays::default()));
    let options = Options { ground, engines: Some(5), ..Options::default() };
    let mut fleet = Fleet::spawn(&files, &options).await.unwrap();
    let configuration = check(&files).unwrap();
    let generation = fleet.apply(files).await.unwrap();
    fleet.live(generation, LIVE).await.unwrap();
    let has_weights =
        |agent: &AgentMachine| agent.engine().is_some_and(|it| !it.loaded().is_empty());
    let victim = fleet.agents.iter().position(has_weights).unwrap();
    let settings = &fleet.agents[victim].settings;
    let (instance, zone) = (settings.instance.clone(), settings.zone.clone());
    fleet.platform.set_faults(|faults| faults.list_lag = Duration::from_secs(20));
    fleet.platform.set_instances(vec![Listed { instance, zone, state: State::Leaving }]);
    // The list shows the change after 20 s; a few seconds more until it is applied.
    tokio::time::sleep(Duration::from_secs(23)).await;
    let runs = |fleet: &Fleet| fleet.agents[victim].engine().unwrap().record().runs.len();
    let before = runs(&fleet);
    let options = load::Options { rate: 100.0, tokens: 4, seed: 1 };
    let load = Load::spawn(&configuration, &fleet, options);
    tokio::time::sleep(Duration::from_secs(5)).await;
    let sent = load.stop().await;
    let tally = load::tally(&sent, &fleet);
    // One of the teams has a limit, so some of its requests are refused.
    assert_eq!(tally.answered + tally.not_run, tally.requests, "{tally:?}");
    assert!(tally.answered > 100, "{tally:?}");
    assert_eq!(runs(&fleet), before);
}
