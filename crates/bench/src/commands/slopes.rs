//! `cinderspoke-bench slopes`: what each member, replica and candidate costs.

use std::hint::black_box;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use cinderspoke_core::configuration::Configuration;
use cinderspoke_core::coordinator::{Coordinator, Event, Settings};
use cinderspoke_core::placement::{Placements, place};
use cinderspoke_core::rendezvous::Key;
use cinderspoke_core::route::{self, Candidate, Distance};
use cinderspoke_core::swarm::{self, Swarm};
use cinderspoke_schema::control::{Heartbeat, Kind, Load, Member, Phase, Replica, State};
use cinderspoke_test_support::fleet::check;
use cinderspoke_test_support::world::{World, ZONES};
use cinderspoke_types::counter::{Fence, Incarnation};
use cinderspoke_types::size::Bytes;
use clap::{ArgMatches, Command};
use serde::Serialize;

use crate::console::Console;

/// The sizes at which everything is measured.
const SIZES: [u32; 4] = [64, 256, 1024, 4096];

/// How often each figure is taken; the least one counts.
const ROUNDS: usize = 5;

/// What one size costs.
#[derive(Debug, Serialize)]
struct Row {
    members: u32,
    heartbeat_bytes: usize,
    members_bytes: usize,
    plan_bytes: usize,
    roster_bytes: usize,
    place_us: f64,
    heartbeats_us: f64,
    roles_us: f64,
    pick_us: f64,
}

pub(crate) fn cli() -> Command {
    Command::new("slopes")
        .about("Measure what each member, replica and candidate costs, at four sizes")
}

pub(crate) fn exec(_: &ArgMatches, json: bool) -> Result<()> {
    let rows: Vec<_> = SIZES.into_iter().map(measure).collect::<Result<_>>()?;
    let head =
        "members heartbeat_B members_B plan_B roster_B place_us heartbeats_us roles_us pick_us";
    let lines = rows.iter().map(|row| {
        format!(
            "{:>7} {:>11} {:>9} {:>6} {:>8} {:>8.0} {:>13.0} {:>8.1} {:>7.2}",
            row.members,
            row.heartbeat_bytes,
            row.members_bytes,
            row.plan_bytes,
            row.roster_bytes,
            row.place_us,
            row.heartbeats_us,
            row.roles_us,
            row.pick_us,
        )
    });
    let text = [head.to_owned()].into_iter().chain(lines).collect::<Vec<_>>().join("\n");
    Console { json }.write(&text, &rows)
}

fn measure(members: u32) -> Result<Row> {
    let world = World {
        zones: ZONES.to_vec(),
        replicas: members,
        plain: 0,
        size: Bytes::from_mib(1),
        chunk: Bytes::new(64 << 10),
        origin_weight: 0.9,
    };
    let configuration = check(&world.files("new"))?;
    let all: Vec<_> =
        (0..members).map(|number| member(number, &configuration)).collect::<Result<_>>()?;
    let placements = place(&configuration, &all, &Placements::new());
    let peers: Vec<_> = all.iter().map(swarm::peer).collect();
    let own = peers.first().context("there is a member")?.clone();
    let swarm = Swarm::new(world.manifest("new"), own, peers.clone());
    let candidates: Vec<_> = all.iter().map(candidate).collect();
    let request = |salt| route::Request { prefix: Some(Key::of_number(salt)), salt };
    Ok(Row {
        members,
        heartbeat_bytes: length(&heartbeat(all.first().context("there is a member")?)),
        members_bytes: length(&all),
        plan_bytes: length(&placements),
        roster_bytes: length(&peers),
        place_us: least(|| place(&configuration, &all, &placements)),
        heartbeats_us: least(|| heartbeats(&all, &configuration)),
        roles_us: least(|| (0..16).map(|chunk| swarm.role(chunk)).collect::<Vec<_>>()) / 16.0,
        pick_us: least(|| {
            (0..16).filter_map(|salt| route::pick(&request(salt), &candidates)).count()
        }) / 16.0,
    })
}

/// The time that one heartbeat of every member takes in the control state.
fn heartbeats(members: &[Member], configuration: &Configuration) -> Coordinator {
    let zone = configuration.zones.keys().next();
    let settings = Settings {
        instance: "entry".parse().unwrap_or_else(|_| unreachable!("a name")),
        zone: zone.cloned().unwrap_or_else(|| unreachable!("a checked configuration has zones")),
        heartbeat: Duration::from_secs(1),
        lease: Duration::from_secs(5),
    };
    let mut coordinator = Coordinator::new(settings);
    for member in members {
        coordinator.handle(Event::Heartbeat(heartbeat(member)), Duration::ZERO);
    }
    coordinator
}

fn member(number: u32, configuration: &Configuration) -> Result<Member> {
    let zones = configuration.zones.len();
    let zone =
        configuration.zones.values().nth(number as usize % zones).context("there are zones")?;
    let service = configuration.services.values().next().context("there is a service")?;
    Ok(Member {
        instance: format!("{}-engine-{number}", zone.name).parse()?,
        zone: zone.name.clone(),
        region: zone.region.clone(),
        incarnation: Incarnation::new(1_700_000_000_000_000),
        address: SocketAddr::from(([10, 0, (number >> 8) as u8, number as u8], 7000)),
        kind: Kind::Model,
        service: None,
        state: State::Ready,
        memory: Bytes::from_mib(16 << 10),
        fence: Fence::new(12),
        replicas: vec![Replica {
            service: service.name.clone(),
            phase: Phase::Live,
            weights: configuration.weights(service),
            chunks_held: 16,
            chunks_total: 16,
        }],
        load: Some(Load { running: 3, queued: 0 }),
    })
}

fn heartbeat(member: &Member) -> Heartbeat {
    Heartbeat { member: member.clone(), sequence: 1, roster: 0 }
}

fn candidate(member: &Member) -> Candidate {
    Candidate {
        instance: member.instance.clone(),
        key: Key::of(member.instance.as_str()),
        address: member.address,
        distance: Distance::Zone,
        in_flight: 2,
        reported: 3,
    }
}

fn length<T: Serialize>(value: &T) -> usize {
    serde_json::to_vec(value).map_or(0, |bytes| bytes.len())
}

/// The least time of some rounds, in microseconds.
fn least<T>(task: impl Fn() -> T) -> f64 {
    let time = || {
        let started = Instant::now();
        black_box(task());
        started.elapsed().as_secs_f64() * 1e6
    };
    (0..ROUNDS).map(|_| time()).fold(f64::INFINITY, f64::min)
}
