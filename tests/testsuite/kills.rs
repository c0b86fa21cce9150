//! Kills a process at each step between an accepted configuration and live replicas: no weights
//! are loaded partially and no answer is wrong.

use std::time::Duration;

use cinderspoke_core::object;
use cinderspoke_test_support::fleet::{AgentMachine, Fleet, Options, check};
use cinderspoke_test_support::load::{self, Load, tally};
use cinderspoke_test_support::samples::small;
use tokio::time::{Instant, sleep};
use yare::parameterized;

use crate::path::LIVE;

/// The process that is killed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Victim {
    Entry,
    Agent,
    Platform,
}

/// The step that is reached when the process is killed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    Accepted,
    Planned,
    Fetching,
    Loading,
    Live,
}

#[parameterized(
    entry_accepted = { Victim::Entry, Step::Accepted },
    entry_planned = { Victim::Entry, Step::Planned },
    entry_fetching = { Victim::Entry, Step::Fetching },
    entry_loading = { Victim::Entry, Step::Loading },
    entry_live = { Victim::Entry, Step::Live },
    agent_accepted = { Victim::Agent, Step::Accepted },
    agent_planned = { Victim::Agent, Step::Planned },
    agent_fetching = { Victim::Agent, Step::Fetching },
    agent_loading = { Victim::Agent, Step::Loading },
    agent_live = { Victim::Agent, Step::Live },
    platform_accepted = { Victim::Platform, Step::Accepted },
    platform_planned = { Victim::Platform, Step::Planned },
    platform_fetching = { Victim::Platform, Step::Fetching },
    platform_loading = { Victim::Platform, Step::Loading },
    platform_live = { Victim::Platform, Step::Live },
)]
fn a_kill_leaves_no_partial_load_and_no_wrong_answer(victim: Victim, step: Step) {
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    runtime.unwrap().block_on(kill_at(victim, step));
}

async fn kill_at(victim: Victim, step: Step) {
    let files = small();
    let configuration = check(&files).unwrap();
    let mut fleet = Fleet::spawn(&files, &Options::default()).await.unwrap();
    fleet.expect_weights(&configuration);
    // Slow enough that the steps can be distinguished.
    fleet.weights.set_faults(|faults| faults.slow = Duration::from_millis(30));
    let options = load::Options { rate: 100.0, tokens: 16, seed: 1 };
    let load = Load::spawn(&configuration, &fleet, options);
    let generation = fleet.apply(files).await.unwrap();
    wait_until_reached(&fleet, step).await;
    kill_and_restart(&mut fleet, victim).await;
    fleet.live(generation, LIVE).await.unwrap();
    sleep(Duration::from_millis(300)).await;
    let sent = load.stop().await;
    let tally = tally(&sent, &fleet);
    let violations = (tally.wrong, tally.doubled, tally.not_run_but_ran);
    assert_eq!(violations, (0, 0, 0), "{tally:?}");
    assert!(tally.answered > 0, "{tally:?}");
    for engine in fleet.agents.iter().filter_map(AgentMachine::engine) {
        assert_eq!(engine.record().wrong_loads, 0);
        assert!(!engine.loaded().is_empty());
    }
}

/// Waits until a step is reached.
async fn wait_until_reached(fleet: &Fleet, step: Step) {
    let started = Instant::now();
    while !has_reached(fleet, step).await {
        assert!(started.elapsed() < LIVE, "{step:?} was not reached");
        sleep(Duration::from_millis(1)).await;
    }
}

async fn has_reached(fleet: &Fleet, step: Step) -> bool {
    let mut engines = fleet.agents.iter().filter_map(AgentMachine::engine);
    match step {
        Step::Accepted => fleet.platform.value(object::ROOT).is_some(),
        Step::Planned => {
            let plan = fleet.platform.value(&object::plan(&"north".parse().unwrap()));
            plan.is_some_and(|plan| plan.contains("\"say\""))
        }
        Step::Fetching => fleet.weights.given().reads > 0,
        Step::Loading => engines.any(|engine| !engine.loaded().is_empty()),
        Step::Live => {
            let status = fleet.admin().unwrap().status().await.unwrap();
            status.services.iter().all(|service| service.live >= service.wanted)
        }
    }
}

/// Kills the process and restarts it after a pause.
async fn kill_and_restart(fleet: &mut Fleet, victim: Victim) {
    let pause = Duration::from_millis(300);
    match victim {
        Victim::Entry => {
            fleet.entries[0].kill().await;
            sleep(pause).await;
            fleet.entries[0].start().await.unwrap();
        }
        Victim::Agent => {
            fleet.agents[0].kill().await;
            sleep(pause).await;
            fleet.agents[0].start().await.unwrap();
        }
        Victim::Platform => {
            fleet.platform.server.kill().await;
            sleep(pause).await;
            fleet.platform.server.start().await.unwrap();
        }
    }
}
