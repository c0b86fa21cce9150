//! Distribution of a new version under faults: every fault at every step.
//!
//! Everything runs in memory on a paused clock, with live requests. Each
//! combination asserts the guarantees, not timings.

use std::time::Duration;

use cinderspoke_test_support::engine::Behaviour;
use cinderspoke_test_support::fault::{Fault, Injector, STEPS, Spread, Step, reach};
use cinderspoke_test_support::fleet::{AgentMachine, Fleet, Options, check};
use cinderspoke_test_support::load::{self, Load, tally};
use cinderspoke_test_support::network::{Delays, Network};
use cinderspoke_test_support::node::Ground;
use cinderspoke_test_support::world::World;
use cinderspoke_types::counter::Generation;
use cinderspoke_types::rate::ByteRate;
use cinderspoke_types::size::Bytes;
use yare::parameterized;

/// The time limit for a version to be live, under any fault.
const LIVE: Duration = Duration::from_secs(300);

/// The number of instances without replicas until another instance fails.
const SPARES: usize = 2;

fn world() -> World {
    World {
        zones: vec![("a-1", "a"), ("a-2", "a"), ("b-1", "b")],
        replicas: 6,
        plain: 3,
        size: Bytes::from_mib(1),
        chunk: Bytes::new(64 << 10),
        origin_weight: 0.9,
    }
}

fn options(world: &World) -> Options {
    Options {
        ground: Ground::Memory(Network::new(Delays::default())),
        engines: Some(world.replicas as usize + SPARES),
        origin_rate: ByteRate::new(Bytes::from_mib(2)),
        link_rate: ByteRate::new(Bytes::from_mib(1)),
        chunk: world.chunk,
        ..Options::default()
    }
}

/// Injects the faults when the distribution reaches `step`, and asserts the guarantees.
async fn run(faults: &[Fault], step: Step, victim: usize) {
    let world = world();
    let files = [world.files("old"), world.files("new")];
    let configuration = check(&files[0]).unwrap();
    let mut fleet = Fleet::spawn(&files[0], &options(&world)).await.unwrap();
    fleet.expect_weights(&configuration);
    let service = &configuration.services[&"say".parse().unwrap()];
    let weights = configuration.weights(service).unwrap();
    for engine in fleet.agents.iter().filter_map(AgentMachine::engine) {
        engine.preload(weights.clone());
    }
    let first = fleet.apply(files[0].clone()).await.unwrap();
    fleet.live(first, LIVE).await.unwrap();
    let options = load::Options { rate: 40.0, tokens: 16, seed: 1 };
    let load = Load::spawn(&configuration, &fleet, options);
    let before = fleet.weights.given();
    let spread = Spread { old: weights.manifest, new: world.manifest("new"), before };
    fleet.apply(files[1].clone()).await.unwrap();
    reach(&fleet, &spread, step).await.unwrap();
    let injector = Injector { files, victim };
    for fault in faults {
        injector.strike(&mut fleet, *fault).await.unwrap();
    }
    let newest = if faults.contains(&Fault::ManifestChanges) { 4 } else { 2 };
    fleet.live(Generation::new(newest), LIVE).await.unwrap();
    let sent = load.stop().await;
    assert_guarantees(&fleet, &sent, &spread, &world);
}

fn assert_guarantees(fleet: &Fleet, sent: &[load::Sent], spread: &Spread, world: &World) {
    let tally = tally(sent, fleet);
    let broken = (tally.wrong, tally.doubled, tally.not_run_but_ran, tally.bad);
    assert_eq!(broken, (0, 0, 0, 0), "{tally:?}");
    assert!(tally.answered > 0, "{tally:?}");
    let engines = || fleet.agents.iter().filter_map(AgentMachine::engine);
    assert!(engines().all(|engine| engine.record().wrong_loads == 0));
    let live = engines().filter(|engine| engine.loaded().contains(&spread.new)).count();
    assert!(live >= world.replicas as usize, "live on {live}");
    let sent = fleet.weights.given().bytes - spread.before.bytes;
    let copies = sent as f64 / world.size.as_u64() as f64;
    assert!(copies <= 4.0, "{copies} copies from the origin");
}

fn block_on(task: impl Future<Output = ()>) {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    builder.enable_all().start_paused(true).build().unwrap().block_on(task);
}

#[parameterized(
    instance_dies = { Fault::InstanceDies },
    agent_restarts = { Fault::AgentRestarts },
    link_stalls = { Fault::LinkStalls },
    link_slows = { Fault::LinkSlows },
    corrupt_at_origin = { Fault::CorruptAtOrigin },
    corrupt_at_peer = { Fault::CorruptAtPeer },
    manifest_changes = { Fault::ManifestChanges },
    origin_down = { Fault::OriginDown },
    weight_store_limited = { Fault::WeightStoreLimited },
    entry_dies = { Fault::EntryDies },
    platform_down = { Fault::PlatformDown },
    zone_cut = { Fault::ZoneCut },
    zones_cut = { Fault::ZonesCut },
    lease_lapses = { Fault::LeaseLapses },
    reply_lost = { Fault::ReplyLost },
    watch_dies = { Fault::WatchDies },
    order_out_of_date = { Fault::OrderOutOfDate },
)]
fn a_fault_at_any_step_breaks_no_guarantee(fault: Fault) {
    for step in STEPS {
        eprintln!("{fault:?} at {step:?}");
        block_on(run(&[fault], step, 0));
    }
}

#[test]
fn two_faults_break_no_guarantee() {
    for (number, (_, first)) in Fault::NAMES.into_iter().enumerate() {
        // Pairs each fault with another one, and cycles through steps and victims.
        let (_, second) = Fault::NAMES[(5 * number + 7) % Fault::NAMES.len()];
        let step = STEPS[number % STEPS.len()];
        eprintln!("{first:?} and {second:?} at {step:?}");
        block_on(run(&[first, second], step, number));
    }
}

#[test]
fn engines_without_memory_for_both_versions_switch_a_few_at_a_time() {
    block_on(async {
        let world = world();
        let files = [world.files("old"), world.files("new")];
        let configuration = check(&files[0]).unwrap();
        let minimum = 5;
        // Memory for one and a half versions.
        let behaviour = Behaviour { load: Duration::from_secs(1), ..Behaviour::default() };
        let (memory, engines) = (Bytes::new(3 << 19), Some(6));
        let options = Options { memory, engines, behaviour, ..options(&world) };
        let mut fleet = Fleet::spawn(&files[0], &options).await.unwrap();
        fleet.expect_weights(&configuration);
        let first = fleet.apply(files[0].clone()).await.unwrap();
        fleet.live(first, LIVE).await.unwrap();
        let load =
            Load::spawn(&configuration, &fleet, load::Options { rate: 40.0, tokens: 16, seed: 1 });
        let before = fleet.weights.given();
        let second = fleet.apply(files[1].clone()).await.unwrap();
        let loaded = min_loaded(&fleet, second).await;
        assert!(loaded >= minimum, "only {loaded} of 6 engines held weights");
        let spread = Spread { old: world.manifest("old"), new: world.manifest("new"), before };
        assert_guarantees(&fleet, &load.stop().await, &spread, &world);
    });
}

/// The minimum number of engines with loaded weights until a generation is live.
async fn min_loaded(fleet: &Fleet, generation: Generation) -> usize {
    let engines = || fleet.agents.iter().filter_map(AgentMachine::engine);
    let mut minimum = usize::MAX;
    let started = tokio::time::Instant::now();
    loop {
        assert!(started.elapsed() < LIVE, "not live");
        minimum = minimum.min(engines().filter(|engine| !engine.loaded().is_empty()).count());
        let status = fleet.admin().unwrap().status().await.unwrap();
        if cinderspoke::ops::status::is_live(&status, generation) {
            return minimum;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}
