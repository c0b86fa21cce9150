//! Compares the core's decisions with naive implementations on random sequences of events.

use std::collections::BTreeMap;
use std::time::Duration;

use cinderspoke_core::change::references;
use cinderspoke_core::coordinator::{Coordinator, Event, Settings};
use cinderspoke_core::lease::{Candidate, Step as LeaseStep};
use cinderspoke_core::placement::{Placements, place};
use cinderspoke_core::replica::{Replicas, Serving, Step};
use cinderspoke_schema::control::{
    Kind, Lease, Member, Order, Part, Plan, Priority, RelayState, Root, State, Weights,
};
use cinderspoke_test_support::fleet::{check, replaced};
use cinderspoke_test_support::samples::small;
use cinderspoke_types::counter::{Fence, Generation, Incarnation, Revision, Term};
use cinderspoke_types::digest::Digest;
use cinderspoke_types::size::Bytes;
use rand::prelude::{IndexedMutRandom, IndexedRandom, SliceRandom};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const CASES: u64 = 200;

fn coordinator() -> Coordinator {
    Coordinator::new(Settings {
        instance: "north-entry-1".parse().unwrap(),
        zone: "north".parse().unwrap(),
        heartbeat: Duration::from_secs(1),
        lease: Duration::from_secs(5),
    })
}

/// Returns a root and its files; each generation has different files.
fn configuration(generation: u64) -> (Root, Vec<Part>) {
    let files = replaced(&small(), "replicas = 4", &format!("replicas = {generation}"));
    let root = Root {
        generation: Generation::new(generation),
        operation: format!("change-{generation}").parse().unwrap(),
        author: "tester".parse().unwrap(),
        base: Generation::new(generation - 1),
        at_ms: 0,
        parts: references(&files),
    };
    (root, files)
}

fn plan(fence: u64) -> Plan {
    Plan {
        zone: "north".parse().unwrap(),
        fence: Fence::new(fence),
        term: Term::new(1),
        generation: Generation::new(1),
        placements: Vec::new(),
    }
}

#[test]
fn generations_and_fences_only_increase_in_any_order_of_events() {
    // Fewer cases than elsewhere: each event checks a set of files, which is slow.
    for seed in 0..CASES / 10 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut coordinator = coordinator();
        let (mut generation, mut fence) = (Generation::default(), Fence::default());
        for _ in 0..20 {
            let (root, files) = configuration(random.random_range(1..=6));
            let newest = plan(random.random_range(1..=6));
            let event = if random.random() {
                Event::Parts(root.clone(), files)
            } else {
                let (generation, plans) = (root.generation, vec![newest.clone()]);
                let (root, parts) = (Some(root.clone()), files);
                Event::Relay(RelayState { generation, root, parts, plans, members: Vec::new() })
            };
            let relayed = matches!(event, Event::Relay(_));
            coordinator.handle(event, Duration::ZERO);
            // The naive implementation: the largest seen so far.
            generation = generation.max(root.generation);
            fence = if relayed { fence.max(newest.fence) } else { fence };
            assert_eq!(coordinator.generation(), generation, "seed {seed}");
            let known = coordinator.plans().map(|plan| plan.fence).max().unwrap_or_default();
            assert_eq!(known, fence, "seed {seed}");
        }
    }
}

#[test]
fn files_that_do_not_match_the_root_are_not_applied() {
    let mut coordinator = coordinator();
    let (root, _) = configuration(2);
    let (_, other_files) = configuration(3);
    coordinator.handle(Event::Parts(root, other_files), Duration::ZERO);
    assert_eq!(coordinator.generation(), Generation::default());
}

fn weights(name: &str) -> Weights {
    Weights {
        model: "words".parse().unwrap(),
        version: name.parse().unwrap(),
        manifest: Digest::of(name.as_bytes()),
        size: Bytes::from_mib(1),
    }
}

fn order(service: &str, version: &str) -> Order {
    Order {
        service: service.parse().unwrap(),
        priority: Priority::Normal,
        weights: Some(weights(version)),
        may_drain: false,
    }
}

/// Executes the pending steps in a random order; unless `reliable`, some fail. Returns whether
/// there were any.
fn execute_steps(replicas: &mut Replicas, random: &mut ChaCha8Rng, reliable: bool) -> bool {
    let mut steps = replicas.steps();
    steps.shuffle(random);
    let any = !steps.is_empty();
    for step in steps {
        let succeeds = reliable || random.random_bool(0.7);
        match (step, succeeds) {
            (Step::Fetch(weights), true) => replicas.record_verified(weights.manifest),
            (Step::Fetch(weights), false) => replicas.record_fetch_failure(weights.manifest),
            (Step::Load { weights, .. }, true) => replicas.record_loaded(weights.manifest),
            (Step::Load { weights, .. }, false) => replicas.record_load_failure(weights.manifest),
            (Step::Drain(manifest), _) => replicas.record_drained(manifest),
            (Step::Unload { manifest, .. }, true) => replicas.record_unloaded(manifest),
            (Step::Unload { manifest, .. }, false) => replicas.record_unload_failure(manifest),
            (Step::Abandon(_), _) => {}
        }
    }
    any
}

#[test]
fn replicas_converge_to_the_newest_orders() {
    let versions = ["one", "two", "three"];
    for seed in 0..CASES {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut replicas = Replicas::new(Bytes::from_mib(64));
        let mut naive: (u64, BTreeMap<&str, &str>) = (0, BTreeMap::new());
        for _ in 0..12 {
            let fence = random.random_range(1..=8);
            let mut wanted = BTreeMap::new();
            for service in ["say", "sing"] {
                if random.random() {
                    wanted.insert(service, *versions.choose(&mut random).unwrap());
                }
            }
            // Two different sets of orders never have the same fence.
            if fence == naive.0 {
                continue;
            }
            let orders: Vec<_> =
                wanted.iter().map(|(service, version)| order(service, version)).collect();
            replicas.apply_orders(Fence::new(fence), &orders);
            if fence > naive.0 {
                naive = (fence, wanted);
            }
            execute_steps(&mut replicas, &mut random, false);
        }
        while execute_steps(&mut replicas, &mut random, true) {}
        for service in ["say", "sing"] {
            let serving = replicas.serving(&service.parse().unwrap());
            let expected = naive.1.get(service).map(|version| weights(version).manifest);
            assert_eq!(serving, expected.map_or(Serving::Nothing, Serving::Weights), "seed {seed}");
        }
    }
}

fn member(number: usize, zone: &str) -> Member {
    Member {
        instance: format!("{zone}-{number}").parse().unwrap(),
        zone: zone.parse().unwrap(),
        region: "here".parse().unwrap(),
        incarnation: Incarnation::new(1),
        address: "10.0.0.1:1".parse().unwrap(),
        kind: Kind::Model,
        service: None,
        state: State::Ready,
        memory: Bytes::from_mib(64),
        fence: Fence::default(),
        replicas: Vec::new(),
        load: None,
    }
}

#[test]
fn a_failed_instance_moves_only_its_own_replicas() {
    let configuration = check(&small()).unwrap();
    let zones = ["north", "south"];
    let mut members: Vec<_> = (0..8).map(|number| member(number, zones[number % 2])).collect();
    let before = place(&configuration, &members, &Placements::new());
    let all = |placements: &Placements| -> Vec<String> {
        placements.values().flatten().map(|placed| placed.instance.to_string()).collect()
    };
    let victim = all(&before)[0].clone();
    members.retain(|member| member.instance.to_string() != victim);
    let after = place(&configuration, &members, &before);
    let stayed = all(&before).into_iter().filter(|instance| all(&after).contains(instance)).count();
    assert_eq!((all(&before).len(), all(&after).len(), stayed), (4, 4, 3));
}

#[test]
fn two_candidates_never_hold_a_lease_in_the_same_term() {
    let length = Duration::from_secs(5);
    for seed in 0..CASES {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut candidates = ["a", "b"].map(|name| Candidate::new(name.parse().unwrap(), length));
        let mut object: Option<(Revision, Lease)> = None;
        let mut holders: BTreeMap<Term, String> = BTreeMap::new();
        for second in 0..60 {
            let now = Duration::from_secs(second);
            let candidate = candidates.choose_mut(&mut random).unwrap();
            // Sometimes a candidate is paused between its observation and its next step.
            if let Some((revision, lease)) = object.clone().filter(|_| random.random_bool(0.8)) {
                candidate.observe(revision, lease, now);
            }
            let LeaseStep::Write { lease, expect } = candidate.step(now) else { continue };
            if expect != object.as_ref().map(|(revision, _)| *revision) {
                continue;
            }
            let revision = Revision::new(second + 1);
            object = Some((revision, lease.clone()));
            let holder = holders.entry(lease.term).or_insert_with(|| lease.holder.to_string());
            assert_eq!(*holder, lease.holder.to_string(), "seed {seed}");
            candidate.record_write(revision, lease, now);
        }
    }
}
