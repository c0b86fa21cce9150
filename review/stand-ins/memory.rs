//! One gateway of two is stopped and started again, while clients send bodies of the size that the
//! configuration allows. The platform ends a process that goes over its memory.

use std::collections::BTreeSet;
use std::fs;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::endpoint::{self, Framing, Options};
use crate::http::Connection;
use crate::store::Store;
use crate::world::{self, Gateway, Process, free_address};

const SERVICE: &str = "convert-api";

/// The endpoints and what each runs at once: more than twice what is asked of them.
const ENDPOINTS: u8 = 12;
const SLOTS: usize = 16;

/// How long an endpoint works on a request: well below the route's time.
const WORK: Duration = Duration::from_millis(4500);
const ROUTE_TIMEOUT: Duration = Duration::from_millis(6000);

/// The largest body that the configuration allows, and the size of those that clients send.
const MAX_BODY_BYTES: usize = 4_194_304;
const BODY_BYTES: usize = 4_000_000;

/// Clients, and how often each sends a request: 15 a second together, which is 485 Mbit/s in and as
/// much out, together below the 1,000 of one gateway's link.
const CLIENTS: usize = 100;
const PERIOD: Duration = Duration::from_millis(6600);

/// The memory of a gateway's machine; a process over it is killed.
const MEMORY_KB: u64 = 260 * 1024;
const MEMORY_CHECK: Duration = Duration::from_millis(20);

/// How long the platform waits before it starts a process again.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// The time of the SIGTERM, and the length of the run.
const STOP_AT: Duration = Duration::from_secs(20);
const LENGTH: Duration = Duration::from_secs(55);

/// How long a stopped process may take to end.
const GRACE: Duration = Duration::from_secs(8);

/// The limit of the rule LOST.
const MAX_LOST: usize = 3;

/// What became of one request.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Outcome {
    Answered(u16),
    /// The connection ended without a complete answer.
    Closed,
    /// The client's deadline passed.
    TimedOut,
    /// Nothing was sent whole.
    NotSent,
}

struct Sent {
    id: String,
    gateway: String,
    at: Duration,
    // Whether the connection had carried an answer before.
    kept: bool,
    outcome: Outcome,
}

struct Run {
    gateways: Vec<Arc<Gateway>>,
    began: Instant,
    over: AtomicBool,
    next: AtomicU64,
    body: Vec<u8>,
    sent: Mutex<Vec<Sent>>,
    notes: Mutex<Vec<String>>,
}

impl Run {
    fn note(&self, text: &str) {
        let at = self.began.elapsed().as_secs_f64();
        let mut notes = self.notes.lock().unwrap_or_else(PoisonError::into_inner);
        notes.push(format!("{at:7.2} s  {text}"));
    }

    fn is_over(&self) -> bool {
        self.over.load(Ordering::SeqCst)
    }
}

/// Plays the case.
pub fn play(folder: &Path, record: &Path, has_trouble: bool) -> io::Result<Verdict> {
    let store_address = free_address(250)?;
    let store = Store::spawn(store_address)?;
    store.put("config", "main", &configuration());
    let log = folder.join("runs.log");
    let _endpoints = spawn_endpoints(folder, &log, store_address)?;
    let program = "target/release/cinderspoke-entry";
    let gateways = world::spawn_gateways(2, program, store_address, folder)?;
    let run = Arc::new(Run {
        gateways,
        began: Instant::now(),
        over: AtomicBool::new(false),
        next: AtomicU64::new(1),
        body: vec![b'x'; BODY_BYTES],
        sent: Mutex::default(),
        notes: Mutex::default(),
    });
    let mut threads = Vec::new();
    for number in 0..run.gateways.len() {
        let run = Arc::clone(&run);
        threads.push(thread::spawn(move || keep_within_memory(&run, number)));
    }
    for client in 0..CLIENTS {
        let run = Arc::clone(&run);
        threads.push(thread::spawn(move || send_requests(&run, client)));
    }
    sleep(STOP_AT);
    if has_trouble {
        stop_and_start(&run)?;
    }
    sleep(LENGTH.saturating_sub(run.began.elapsed()));
    run.over.store(true, Ordering::SeqCst);
    for thread in threads {
        thread.join().map_err(|_| io::Error::other("a thread failed"))?;
    }
    world::end(&run.gateways);
    judge(&run, &fs::read_to_string(log)?, record, has_trouble)
}

fn configuration() -> String {
    let timeout = ROUTE_TIMEOUT.as_millis();
    format!(
        r#"{{"version":1,"routes":[{{"name":"scan","host":"scans.example","path_prefix":"/scan/","kind":"unsafe","timeout_ms":{timeout},"target_latency_ms":{timeout},"priority":1,"service":"{SERVICE}","max_attempts":1,"public":true,"sticky":false,"resumable":false}}],"services":[{{"name":"{SERVICE}","health_path":"/healthz","max_connections":100,"protocol":"h1","tls":false}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":{MAX_BODY_BYTES},"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[]}}"#
    )
}

fn spawn_endpoints(folder: &Path, log: &Path, store: SocketAddr) -> io::Result<Vec<Process>> {
    let own = std::env::current_exe()?.to_string_lossy().into_owned();
    let spawn = |number: u8| {
        let options = Options {
            id: format!("i-{number:08x}"),
            service: SERVICE.to_owned(),
            address: free_address(100 + number)?,
            store,
            log: log.to_string_lossy().into_owned(),
            slots: SLOTS,
            work: WORK,
            framing: Framing::Length,
            body_bytes: 800,
        };
        let mut command = vec![own.clone()];
        command.extend(options.to_args());
        Process::spawn(command, folder.join(format!("endpoint-{number}.log")))
    };
    (0..ENDPOINTS).map(spawn).collect()
}

/// Stops the first gateway as the platform does, and starts it again.
fn stop_and_start(run: &Run) -> io::Result<()> {
    let gateway = &run.gateways[0];
    run.note(&format!("SIGTERM to {}", gateway.name));
    gateway.process().signal("-TERM")?;
    let until = Instant::now() + GRACE;
    while gateway.process().id().is_some() && Instant::now() < until {
        sleep(Duration::from_millis(20));
    }
    let mut process = gateway.process();
    process.kill();
    run.note(&format!("{} has ended", gateway.name));
    sleep(RESTART_DELAY);
    process.start()?;
    run.note(&format!("{} started again", gateway.name));
    Ok(())
}

/// Kills the process of a gateway when it goes over its memory, and starts it again.
fn keep_within_memory(run: &Run, number: usize) {
    let gateway = &run.gateways[number];
    let mut peak = 0;
    while !run.is_over() {
        sleep(MEMORY_CHECK);
        let mut process = gateway.process();
        let Some(id) = process.id() else { continue };
        let resident = resident_kb(id);
        peak = peak.max(resident);
        if resident > MEMORY_KB {
            process.kill();
            run.note(&format!("{} killed: {resident} kB of {MEMORY_KB} kB", gateway.name));
            sleep(RESTART_DELAY);
            if let Err(error) = process.start() {
                run.note(&format!("{} not started again: {error}", gateway.name));
            }
        }
    }
    run.note(&format!("{} had at most {peak} kB", gateway.name));
}

fn resident_kb(process: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.trim().trim_end_matches("kB").trim().parse().ok()).unwrap_or(0)
}

/// Sends the requests of one client, one each [`PERIOD`], over a connection that is kept.
fn send_requests(run: &Run, client: usize) {
    let mut connection = None;
    let mut due = run.began + PERIOD * client as u32 / CLIENTS as u32;
    while !run.is_over() {
        sleep(due.saturating_duration_since(Instant::now()).min(PERIOD));
        due = (due + PERIOD).max(Instant::now());
        for attempt in 0..2 {
            let retry_after = send(run, client, attempt, &mut connection);
            let Some(after) = retry_after else { break };
            sleep(after);
        }
    }
}

/// A client's connection.
struct Kept {
    connection: Connection,
    gateway: Arc<Gateway>,
    answers: usize,
}

/// Sends one request. Returns when to try again, if it certainly has not run.
fn send(run: &Run, client: usize, attempt: usize, kept: &mut Option<Kept>) -> Option<Duration> {
    let id = format!("{:016x}", run.next.fetch_add(1, Ordering::SeqCst));
    let at = run.began.elapsed();
    if kept.is_none() {
        let gateway = world::select(&run.gateways, client, attempt);
        let Ok(connection) = Connection::open(gateway.callers) else {
            return Some(Duration::ZERO);
        };
        *kept = Some(Kept { connection, gateway, answers: 0 });
    }
    let mut used = kept.take()?;
    let (length, deadline) = (run.body.len(), ROUTE_TIMEOUT.as_millis());
    let head = format!(
        "POST /scan/page HTTP/1.1\r\nHost: scans.example\r\nRequest-Id: {id}\r\n\
         Request-Deadline: {deadline}\r\nContent-Length: {length}\r\n\r\n"
    );
    // The client waits a little longer than its deadline, to tell a late answer from none.
    let timeout = ROUTE_TIMEOUT + Duration::from_secs(1);
    let sent = used.connection.send(&head, &run.body, timeout);
    let answer = match sent {
        Ok(()) => Some(used.connection.receive()),
        Err(_) => None,
    };
    let mut retry_after = None;
    let outcome = match &answer {
        None => Outcome::NotSent,
        Some(Err(error)) if is_timeout(error) => Outcome::TimedOut,
        Some(Err(_)) => Outcome::Closed,
        Some(Ok((head, body))) => {
            let status = head.status();
            let signature = head.get("engine-signature").unwrap_or_default();
            if status == 200 && !endpoint::is_whole(signature, body) {
                run.note(&format!("{id}: an answer that is not whole"));
            }
            if status == 503 {
                let after = head.get("retry-after").and_then(|text| text.parse().ok());
                retry_after = Some(Duration::from_secs_f64(after.unwrap_or(0.3)));
            }
            Outcome::Answered(status)
        }
    };
    let (gateway, was_kept) = (used.gateway.name.clone(), used.answers > 0);
    let closes = answer.as_ref().and_then(|answer| answer.as_ref().ok()).is_none_or(|(head, _)| {
        head.get("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"))
    });
    if !closes {
        used.answers += 1;
        *kept = Some(used);
    }
    let mut log = run.sent.lock().unwrap_or_else(PoisonError::into_inner);
    log.push(Sent { id, gateway, at, kept: was_kept, outcome });
    retry_after
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut)
}

/// Counts the requests of kept connections that reached an endpoint and whose connection ended
/// without an answer, at the gateway that nothing struck.
fn judge(run: &Run, runs: &str, record: &Path, has_trouble: bool) -> io::Result<Verdict> {
    let begun = |line: &str| line.strip_prefix("run ")?.split(' ').next().map(str::to_owned);
    let begun: BTreeSet<_> = runs.lines().filter_map(begun).collect();
    let sent = run.sent.lock().unwrap_or_else(PoisonError::into_inner);
    let is_lost =
        |sent: &&Sent| sent.outcome == Outcome::Closed && sent.kept && begun.contains(&sent.id);
    let struck = &run.gateways[0].name;
    let lost = sent.iter().filter(is_lost).filter(|sent| sent.gateway != *struck).count();
    let verdict = if lost > MAX_LOST { Verdict::Broken } else { Verdict::Held };
    let mut out = fs::File::create(record)?;
    writeln!(out, "disruption: {has_trouble}")?;
    for note in run.notes.lock().unwrap_or_else(PoisonError::into_inner).iter() {
        writeln!(out, "{note}")?;
    }
    let count = |wanted: &dyn Fn(&Outcome) -> bool| {
        sent.iter().filter(|sent| wanted(&sent.outcome)).count()
    };
    writeln!(out, "sent {}, begun at endpoints {}", sent.len(), begun.len())?;
    writeln!(out, "answered with 200: {}", count(&|it| *it == Outcome::Answered(200)))?;
    let others = |it: &Outcome| matches!(it, Outcome::Answered(status) if *status != 200);
    writeln!(out, "answered otherwise: {}", count(&others))?;
    writeln!(out, "connection ended: {}", count(&|it| *it == Outcome::Closed))?;
    writeln!(out, "not sent whole: {}", count(&|it| *it == Outcome::NotSent))?;
    writeln!(out, "no answer in time: {}", count(&|it| *it == Outcome::TimedOut))?;
    writeln!(out, "lost at a gateway in touch, from kept connections: {lost}, allowed {MAX_LOST}")?;
    writeln!(out, "{verdict:?}")?;
    for Sent { id, gateway, at, kept, outcome } in sent.iter() {
        let (at, begun) = (at.as_secs_f64(), begun.contains(id));
        writeln!(out, "{at:7.2} s  {id} {gateway} kept={kept} begun={begun} {outcome:?}")?;
    }
    Ok(verdict)
}
