//! Whole-system tests: from an operator's files to a caller's complete answer.

use std::time::Duration;

use cinderspoke_test_support::caller::{Answer, Caller};
use cinderspoke_test_support::fleet::{AgentMachine, Fleet, Options, check, replaced};
use cinderspoke_test_support::load::{self, Load, tally};
use cinderspoke_test_support::samples::{Sample, small};

/// The timeout until a configuration is live; far longer than that takes on any machine.
pub(crate) const LIVE: Duration = Duration::from_secs(120);

#[tokio::test(flavor = "multi_thread")]
async fn a_request_is_answered_by_the_applied_version() {
    let files = Sample::AdjeiBross.files();
    let configuration = check(&files).unwrap();
    let mut fleet = Fleet::spawn(&files, &Options::default()).await.unwrap();
    fleet.expect_weights(&configuration);
    let generation = fleet.apply(files).await.unwrap();
    fleet.live(generation, LIVE).await.unwrap();
    let caller = Caller::new("bank-desk".parse().unwrap());
    let service = "cinder-readers".parse().unwrap();
    let wanted = configuration.weights(&configuration.services[&service]).unwrap().manifest;
    for entry in fleet.callers() {
        let timed = caller.generate(entry, &service, "deed 12", 20).await;
        assert_eq!(timed.answer, Answer::Whole { manifest: Some(wanted) });
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_new_version_replaces_the_old_one_under_load() {
    let files = small();
    let configuration = check(&files).unwrap();
    let mut fleet = Fleet::spawn(&files, &Options::default()).await.unwrap();
    fleet.expect_weights(&configuration);
    let first = fleet.apply(files.clone()).await.unwrap();
    fleet.live(first, LIVE).await.unwrap();
    let options = load::Options { rate: 200.0, tokens: 8, seed: 1 };
    let load = Load::spawn(&configuration, &fleet, options);
    let files = replaced(&files, "version = \"one\"", "version = \"two\"");
    let wanted = check(&files).unwrap().models.values().next().unwrap().version[1].manifest;
    let second = fleet.apply(files).await.unwrap();
    fleet.live(second, LIVE).await.unwrap();
    let sent = load.stop().await;
    let tally = tally(&sent, &fleet);
    assert_eq!(tally.answered + tally.not_run, tally.requests, "{tally:?}");
    assert_eq!((tally.doubled, tally.not_run_but_ran), (0, 0), "{tally:?}");
    for engine in fleet.agents.iter().filter_map(AgentMachine::engine) {
        assert!(engine.loaded().contains(&wanted));
        assert_eq!(engine.record().wrong_loads, 0);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn corrupt_chunks_are_fetched_again() {
    let files = small();
    let configuration = check(&files).unwrap();
    let mut fleet = Fleet::spawn(&files, &Options::default()).await.unwrap();
    fleet.expect_weights(&configuration);
    fleet.weights.set_faults(|faults| faults.corrupt = 3);
    let generation = fleet.apply(files).await.unwrap();
    fleet.live(generation, LIVE).await.unwrap();
    let engines = fleet.agents.iter().filter_map(AgentMachine::engine);
    assert!(engines.clone().all(|engine| engine.record().wrong_loads == 0));
    // Two megabytes in eight chunks of a quarter each, three of which are fetched again.
    assert!(fleet.weights.given().reads >= 8 + 3, "{:?}", fleet.weights.given());
}

#[tokio::test(flavor = "multi_thread")]
async fn stopping_an_agent_and_an_entry_instance_interrupts_no_request() {
    let files = small();
    let configuration = check(&files).unwrap();
    let mut fleet = Fleet::spawn(&files, &Options::default()).await.unwrap();
    let generation = fleet.apply(files).await.unwrap();
    fleet.live(generation, LIVE).await.unwrap();
    // The load is sent to the entry instances that are not stopped.
    let remaining = fleet.callers().split_off(1);
    let options = load::Options { rate: 200.0, tokens: 64, seed: 1 };
    let load = Load::spawn_to(&configuration, &fleet, remaining, options);
    let caller = Caller::new("readers".parse().unwrap());
    let (entry, service) = (fleet.entries[0].settings.callers, "say".parse().unwrap());
    let long = tokio::spawn(async move { caller.generate(entry, &service, "long", 2000).await });
    tokio::time::sleep(Duration::from_millis(200)).await;
    let (entries, agents) = (&mut fleet.entries, &mut fleet.agents);
    tokio::join!(entries[0].stop(), agents[0].stop());
    assert!(matches!(long.await.unwrap().answer, Answer::Whole { .. }));
    let tally = tally(&load.stop().await, &fleet);
    assert_eq!((tally.broken, tally.unknown, tally.wrong), (0, 0, 0), "{tally:?}");
    assert_eq!((tally.doubled, tally.not_run_but_ran), (0, 0), "{tally:?}");
    assert!(tally.answered > 0);
}
