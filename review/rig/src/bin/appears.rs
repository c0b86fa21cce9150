//! The settings change: a field appears that the project knows.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use review_rig::engine::Engine;
use review_rig::http::Connection;
use review_rig::process::Program;
use review_rig::record::{Record, lock};
use review_rig::store::Store;
use review_rig::world::{
    Limits, Ports, entry, entry_program, front_settings, has_trouble, ip, is_ready, root,
    wait_ready,
};

const FRONTS: u8 = 6;
const ENGINES: u8 = 3;
const CLIENTS: u8 = 12;
const SLOTS: usize = 16;
const WORK: Duration = Duration::from_millis(30);
/// The pause between the signals to two fronts.
const GAP: Duration = Duration::from_millis(300);
/// The time between the last signal and the first request, and how long requests are sent.
const LEAD: Duration = Duration::from_secs(5);
const TRAFFIC: Duration = Duration::from_secs(40);
/// Fewer requests than this say nothing.
const MIN_SENT: usize = 200;

const CONFIGURATION: &str = concat!(
    "{\"version\":7,\"routes\":[{\"name\":\"renew\",\"host\":\"shop.example\",",
    "\"path_prefix\":\"/renew/\",\"kind\":\"unsafe\",\"timeout_ms\":2500,",
    "\"target_latency_ms\":200,\"priority\":2,\"service\":\"abonne-core\",\"max_attempts\":1,",
    "\"public\":true}],\"services\":[{\"name\":\"abonne-core\",\"health_path\":\"/healthz\",",
    "\"max_connections\":450,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{",
    "\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,",
    "\"idle_timeout_ms\":15000}}"
);

struct World {
    record: Record,
    fronts: Vec<SocketAddr>,
    // How many requests ended with each status; 0 stands for no answer.
    statuses: Mutex<BTreeMap<u16, usize>>,
    stop: AtomicBool,
    next: AtomicU32,
}

fn exchange(address: SocketAddr, id: &str) -> std::io::Result<u16> {
    let wait = Duration::from_millis(2500);
    let mut connection = Connection::open(address, Duration::from_secs(1), wait)?;
    let head = format!(
        "POST /renew/{id} HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {id}\r\n\
         Request-Deadline: 2500\r\nContent-Length: 0\r\n\r\n"
    );
    connection.write(head.as_bytes())?;
    let head = connection.head()?.unwrap_or_default();
    connection.answer_body(&head)?;
    Ok(head.status())
}

/// A client that asks one front after the other.
fn client(world: &World, number: u8) {
    let mut front = usize::from(number);
    while !world.stop.load(Ordering::Relaxed) {
        front = (front + 1) % world.fronts.len();
        let id = format!("{:08x}", world.next.fetch_add(1, Ordering::Relaxed));
        let status = exchange(world.fronts[front], &id).unwrap_or(0);
        world.record.line(format_args!("client {number} asks front {front}: {id} gets {status}"));
        *lock(&world.statuses).entry(status).or_default() += 1;
        thread::sleep(Duration::from_millis(300));
    }
}

fn play(folder: &Path, temporary: &Path) -> Result<bool, String> {
    let failed = |error: std::io::Error| error.to_string();
    let record = Record::create(&folder.join("record.txt")).map_err(failed)?;
    let ports = Ports::find().map_err(failed)?;
    let store_at = SocketAddr::from((ip(9, 1), ports.app));
    let store = Store::spawn(store_at).map_err(failed)?;
    for number in 1..=ENGINES {
        let (id, address) = (format!("i-{number}"), SocketAddr::from((ip(2, number), ports.app)));
        Engine::new(&id, SLOTS, WORK, &record).spawn(address).map_err(failed)?;
        store.put("servers", &id, &entry("abonne-core", address, SLOTS));
    }
    store.put("config", "main", CONFIGURATION);
    let limits = Limits { memory_mb: 260, descriptors: 4100 };
    let mut fronts = Vec::new();
    for number in 1..=FRONTS {
        let settings = front_settings(number, ports, store_at, limits);
        let name = format!("front-{number}");
        let front = Program::start(&entry_program(&root()), temporary, &name, &settings);
        fronts.push((front.map_err(failed)?, settings));
    }
    let ready = |number: u8| SocketAddr::from((ip(1, number), ports.ready));
    for number in 1..=FRONTS {
        if !wait_ready(ready(number), Duration::from_secs(10)) {
            return Err(format!("front {number} is not ready"));
        }
    }
    record.say(format_args!("{FRONTS} fronts are ready"));
    if has_trouble() {
        for (number, (front, settings)) in fronts.iter().enumerate() {
            // Where deploy/node.toml.in has it.
            let known = "loss_slack_ms = 200\n";
            let changed = settings.replace(known, &format!("{known}evacuate_ms = 5000\n"));
            front.change(&changed).map_err(failed)?;
            front.signal("-HUP");
            record.line(format_args!("front {number} has new settings and SIGHUP"));
            thread::sleep(GAP);
        }
    }
    thread::sleep(LEAD);
    let addresses = (1..=FRONTS).map(|number| SocketAddr::from((ip(1, number), ports.front)));
    let world = Arc::new(World {
        record: record.clone(),
        fronts: addresses.collect(),
        statuses: Mutex::default(),
        stop: AtomicBool::new(false),
        next: AtomicU32::new(1),
    });
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let world = Arc::clone(&world);
            thread::spawn(move || client(&world, number))
        })
        .collect();
    thread::sleep(TRAFFIC);
    world.stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let are_ready = (1..=FRONTS).filter(|number| is_ready(ready(*number))).count();
    let statuses = lock(&world.statuses).clone();
    let (sent, served) =
        (statuses.values().sum::<usize>(), statuses.get(&200).copied().unwrap_or(0));
    record.say(format_args!(
        "{sent} requests in {TRAFFIC:?}, by status: {statuses:?}; {are_ready} fronts are ready"
    ));
    record.flush();
    if sent < MIN_SENT {
        return Err("too few requests".into());
    }
    Ok(served == 0)
}

fn main() -> ExitCode {
    let folder = std::env::args_os().nth(1).map(PathBuf::from).unwrap_or_default();
    let temporary = std::env::temp_dir().join(format!("review-appears-{}", std::process::id()));
    let played = std::fs::create_dir_all(&temporary)
        .map_err(|error| error.to_string())
        .and_then(|()| play(&folder, &temporary));
    if std::env::var_os("KEEP").is_none() {
        let _ = std::fs::remove_dir_all(&temporary);
    }
    match played {
        Ok(false) => {
            println!("held: Fault");
            ExitCode::SUCCESS
        }
        Ok(true) => {
            println!("broken: Fault");
            ExitCode::FAILURE
        }
        Err(error) => {
            println!("could not run: {error}");
            ExitCode::from(2)
        }
    }
}
