//! Many users come at once and send bodies of the size that the operator allows.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use review_rig::engine::{Engine, Run};
use review_rig::http::Connection;
use review_rig::process::Program;
use review_rig::record::{Record, lock};
use review_rig::store::Store;
use review_rig::world::{
    Limits, Ports, entry, entry_program, front_settings, has_trouble, ip, root, wait_ready,
};

/// The clients of the zone, as the site file has them, and how many times as many come in a burst.
const CLIENTS: usize = 39;
const BURST: f64 = 1.7;
/// How long the burst lasts.
const BURST_TIME: Duration = Duration::from_secs(3);
/// How long clients send before it, and after it.
const BEFORE: Duration = Duration::from_secs(8);
const AFTER: Duration = Duration::from_secs(5);
/// What a client of the site's zone sends at most: `limits.max_body_bytes`.
const LARGE_BODY: usize = 4 << 20;
const SMALL_BODY: usize = 600;
/// The rate of a client's link, in bytes per second, and the data of a packet on it.
const CLIENT_RATE: f64 = 12e6 / 8.0;
const PIECE: usize = 1400;
/// The memory of a front, in megabytes, and what the platform counts as one.
const MEMORY_MB: u64 = 260;
const MEGABYTE: u64 = 1 << 20;
const FRONTS: u8 = 2;
const ENGINES: u8 = 3;
const SLOTS: usize = 6;
const WORK: Duration = Duration::from_millis(200);
/// The time for which a front has to have run undisturbed to be in touch: `contact_ms`.
const CONTACT: Duration = Duration::from_secs(3);
/// How many requests may be lost at a front in touch.
const MAX_LOST: usize = 3;

const CONFIGURATION: &str = concat!(
    "{\"version\":7,\"routes\":[{\"name\":\"pages\",\"host\":\"pages.example\",",
    "\"path_prefix\":\"/convert/\",\"kind\":\"unsafe\",\"timeout_ms\":6000,",
    "\"target_latency_ms\":300,\"priority\":2,\"service\":\"convert-api\",\"max_attempts\":1,",
    "\"public\":true,\"sticky\":false}],\"services\":[{\"name\":\"convert-api\",",
    "\"health_path\":\"/healthz\",\"max_connections\":100,\"protocol\":\"h1\",\"tls\":false}],",
    "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,",
    "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}"
);

/// How a client's request ended.
#[derive(Debug, Clone)]
struct Sent {
    id: String,
    front: usize,
    // Whether the connection had carried a request before.
    kept: bool,
    // The status, or none if the connection ended without an answer.
    status: Option<u16>,
    ended: Instant,
}

struct World {
    record: Record,
    fronts: Vec<SocketAddr>,
    sent: Mutex<Vec<Sent>>,
    stop: AtomicBool,
    burst: AtomicBool,
    next: AtomicU32,
}

/// One request on a connection; the status, or none without an answer.
fn exchange(connection: &mut Connection, id: &str, size: usize) -> Option<u16> {
    let head = format!(
        "POST /convert/{id} HTTP/1.1\r\nHost: pages.example\r\nRequest-Id: {id}\r\n\
         Request-Deadline: 6000\r\nContent-Length: {size}\r\n\r\n"
    );
    connection.write(head.as_bytes()).ok()?;
    let (piece, began) = (vec![b'x'; PIECE], Instant::now());
    let mut sent = 0;
    while sent < size {
        let length = PIECE.min(size - sent);
        connection.write(&piece[..length]).ok()?;
        sent += length;
        let due = Duration::from_secs_f64(sent as f64 / CLIENT_RATE);
        thread::sleep(due.saturating_sub(began.elapsed()));
    }
    let head = connection.head().ok()??;
    connection.answer_body(&head).ok()?;
    Some(head.status())
}

/// A client that keeps its connection and sends one request after the other.
fn client(world: &World, number: usize, is_guest: bool) {
    let front = number % world.fronts.len();
    let mut connection: Option<(Connection, bool)> = None;
    if !is_guest {
        // The clients of a usual day are not in step.
        thread::sleep(Duration::from_millis(number as u64 * 3000 / CLIENTS as u64));
    }
    while !world.stop.load(Ordering::Relaxed) {
        let in_burst = world.burst.load(Ordering::Relaxed);
        if is_guest && !in_burst {
            connection = None;
            thread::sleep(Duration::from_millis(10));
            continue;
        }
        let (mut open, kept) = match connection.take() {
            Some(open) => open,
            None => {
                let wait = Duration::from_secs(5);
                match Connection::open(world.fronts[front], Duration::from_secs(1), wait) {
                    Ok(open) => (open, false),
                    Err(_) => {
                        thread::sleep(Duration::from_millis(200));
                        continue;
                    }
                }
            }
        };
        // Each third client of the zone sends small requests only, the others a page at times.
        let size = if number % 6 < 2 { SMALL_BODY } else { LARGE_BODY };
        let id = format!("{:08x}", world.next.fetch_add(1, Ordering::Relaxed));
        world
            .record
            .line(format_args!("client {number} sends {id} ({size} bytes) to front {front}"));
        let status = exchange(&mut open, &id, size);
        world.record.line(format_args!("client {number} gets {status:?} for {id}"));
        let ended = Instant::now();
        lock(&world.sent).push(Sent { id, front, kept, status, ended });
        match status {
            Some(_) => connection = Some((open, true)),
            None => thread::sleep(Duration::from_millis(100)),
        }
        let rest = if size == SMALL_BODY { 20 } else { 300 };
        thread::sleep(Duration::from_millis(rest));
    }
}

/// A front and what the platform did with it.
struct Front {
    program: Program,
    started: Instant,
    peak: u64,
    // When it went over its memory.
    over: Vec<Instant>,
    // The time from which it was in touch, for each end.
    in_touch: Vec<bool>,
}

impl Front {
    /// Ends a process that holds more memory than its machine gives it, and starts it again.
    fn watch(&mut self, name: usize, record: &Record) -> std::io::Result<()> {
        let memory = self.program.memory();
        self.peak = self.peak.max(memory);
        let limit = MEMORY_MB * MEGABYTE;
        if memory <= limit && !self.program.has_ended() {
            return Ok(());
        }
        record.say(format_args!(
            "front {name} holds {} MiB of {MEMORY_MB}: the platform ends it",
            memory / MEGABYTE
        ));
        self.program.kill();
        self.in_touch.push(self.started.elapsed() > CONTACT);
        self.over.push(Instant::now());
        thread::sleep(Duration::from_millis(300));
        self.program.again()?;
        self.started = Instant::now();
        Ok(())
    }
}

/// Plays the case; returns whether the rule was broken.
fn play(folder: &Path, temporary: &Path) -> Result<bool, String> {
    let failed = |error: std::io::Error| error.to_string();
    let record = Record::create(&folder.join("record.txt")).map_err(failed)?;
    let ports = Ports::find().map_err(failed)?;
    let store_at = SocketAddr::from((ip(9, 1), ports.app));
    let store = Store::spawn(store_at).map_err(failed)?;
    let mut engines = Vec::new();
    for number in 1..=ENGINES {
        let (id, address) = (format!("i-{number}"), SocketAddr::from((ip(2, number), ports.app)));
        let engine = Engine::new(&id, SLOTS, WORK, &record);
        engine.spawn(address).map_err(failed)?;
        store.put("servers", &id, &entry("convert-api", address, SLOTS));
        engines.push(engine);
    }
    store.put("config", "main", CONFIGURATION);
    let limits = Limits { memory_mb: MEMORY_MB, descriptors: 4100 };
    let mut fronts = Vec::new();
    for number in 1..=FRONTS {
        let settings = front_settings(number, ports, store_at, limits);
        let name = format!("front-{number}");
        let program = Program::start(&entry_program(&root()), temporary, &name, &settings);
        let program = program.map_err(failed)?;
        let started = Instant::now();
        fronts.push(Front { program, started, peak: 0, over: vec![], in_touch: vec![] });
    }
    for number in 1..=FRONTS {
        let ready = SocketAddr::from((ip(1, number), ports.ready));
        if !wait_ready(ready, Duration::from_secs(10)) {
            return Err(format!("front {number} is not ready"));
        }
    }
    let addresses = (1..=FRONTS).map(|number| SocketAddr::from((ip(1, number), ports.front)));
    let world = Arc::new(World {
        record: record.clone(),
        fronts: addresses.collect(),
        sent: Mutex::default(),
        stop: AtomicBool::new(false),
        burst: AtomicBool::new(false),
        next: AtomicU32::new(1),
    });
    let guests = (CLIENTS as f64 * (BURST - 1.0)) as usize;
    let clients: Vec<_> = (0..CLIENTS + guests)
        .map(|number| {
            let world = Arc::clone(&world);
            thread::spawn(move || client(&world, number, number >= CLIENTS))
        })
        .collect();
    let began = Instant::now();
    let end = BEFORE + BURST_TIME + AFTER;
    while began.elapsed() < end {
        let in_burst = (BEFORE..BEFORE + BURST_TIME).contains(&began.elapsed()) && has_trouble();
        if world.burst.swap(in_burst, Ordering::Relaxed) != in_burst {
            record.say(format_args!("{guests} more clients come: {in_burst}"));
        }
        for (number, front) in fronts.iter_mut().enumerate() {
            front.watch(number, &record).map_err(failed)?;
        }
        thread::sleep(Duration::from_millis(10));
    }
    world.stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let broken = judge(&world, &fronts, &engines);
    record.flush();
    Ok(broken)
}

/// Counts the requests that LOST names: on a kept connection, passed on to an engine, and without
/// an answer, at a front in touch.
fn judge(world: &World, fronts: &[Front], engines: &[Engine]) -> bool {
    let (record, sent) = (&world.record, lock(&world.sent));
    let ran = |id: &str| engines.iter().any(|engine| lock(&engine.runs).contains_key(id));
    let answered = sent.iter().filter(|it| it.status == Some(200)).count();
    record.say(format_args!("{} requests, {answered} answered with success", sent.len()));
    let runs: usize = engines.iter().map(|engine| lock(&engine.runs).len()).sum();
    let cut = engines.iter().map(|engine| {
        lock(&engine.runs).values().flatten().filter(|run| **run == Run::Broken).count()
    });
    record.say(format_args!("{runs} requests ran, {} of them were cut", cut.sum::<usize>()));
    let mut broken = false;
    for (number, front) in fronts.iter().enumerate() {
        let is_in_touch = |ended: Instant| {
            let near = |over: &Instant| {
                ended + Duration::from_millis(50) >= *over
                    && ended.saturating_duration_since(*over) < Duration::from_secs(2)
            };
            front.over.iter().zip(&front.in_touch).any(|(over, in_touch)| *in_touch && near(over))
        };
        let lost = sent.iter().filter(|it| {
            it.front == number
                && it.kept
                && it.status.is_none()
                && ran(&it.id)
                && is_in_touch(it.ended)
        });
        let lost: Vec<_> = lost.collect();
        for it in &lost {
            record.line(format_args!("lost: {}", it.id));
        }
        record.say(format_args!(
            "front {number}: at most {} MiB of {MEMORY_MB}, ended {} times, {} requests lost \
             that an engine had begun (allowed: {MAX_LOST})",
            front.peak / MEGABYTE,
            front.over.len(),
            lost.len()
        ));
        broken |= lost.len() > MAX_LOST;
    }
    broken
}

fn main() -> ExitCode {
    let folder = std::env::args_os().nth(1).map(PathBuf::from).unwrap_or_default();
    let temporary = std::env::temp_dir().join(format!("review-crowd-{}", std::process::id()));
    let played = std::fs::create_dir_all(&temporary)
        .map_err(|error| error.to_string())
        .and_then(|()| play(&folder, &temporary));
    if std::env::var_os("KEEP").is_none() {
        let _ = std::fs::remove_dir_all(&temporary);
    }
    match played {
        Ok(false) => {
            println!("held: LOST");
            ExitCode::SUCCESS
        }
        Ok(true) => {
            println!("broken: LOST");
            ExitCode::FAILURE
        }
        Err(error) => {
            println!("could not run: {error}");
            ExitCode::from(2)
        }
    }
}
