//! A piece of new weights turns bad at an engine that works slowly, while its agent verifies the
//! pieces that lie there.

use std::fs;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::engine::{self, Engine, MODEL, PIECE_BYTES, PIECES};
use crate::http::Connection;
use crate::store::Store;
use crate::world::{self, Gateway, free_address};

const SERVICE: &str = "reader-assist";
const ORIGIN: &str = "catalogue";

/// The engines, each with an agent. One of them is struck: a seventh, where the users slow down 0.15.
const ENGINES: u8 = 7;

/// The piece that turns bad there: one of 96, where the users spoil 0.06.
const SPOILT: usize = 3;

/// How long after the first piece was read back it turns bad: that piece has been read by then.
const SPOILT_AFTER: Duration = Duration::from_millis(400);

/// For how long the engine is slow: the users' usual time.
const SLOW_FOR: Duration = Duration::from_secs(5);

/// For how long a piece may have been bad without breaking the rule.
const EXCUSE: Duration = Duration::from_secs(3);

/// When the new version is named, and the length of the run.
const NAMED_AT: Duration = Duration::from_secs(5);
const LENGTH: Duration = Duration::from_secs(30);

/// How often a client sends a request, and how long it waits.
const PERIOD: Duration = Duration::from_millis(50);
const ROUTE_TIMEOUT: Duration = Duration::from_millis(6000);

/// A request, and the status of its answer; none if no complete answer came.
struct Sent {
    id: String,
    answered_at: Instant,
    status: Option<u16>,
}

/// Plays the case.
pub fn play(folder: &Path, record: &Path, has_trouble: bool) -> io::Result<Verdict> {
    let store_address = free_address(250)?;
    let store = Store::spawn(store_address)?;
    let origin = free_address(251)?;
    engine::spawn_origin(origin)?;
    store.put("config", "main", &configuration(&origin.to_string()));
    store.put("versions", MODEL, &version(1));
    let mut engines = Vec::new();
    let mut addresses = Vec::new();
    for number in 0..ENGINES {
        let address = free_address(100 + number)?;
        let engine = Engine::spawn(&format!("i-{number:08x}"), address)?;
        engine::keep_listed(&engine, &store, SERVICE, address);
        engines.push(engine);
        addresses.push(address);
    }
    let program = "target/release/cinderspoke-entry";
    let gateways = world::spawn_gateways(2, program, store_address, folder)?;
    let spawn_agent = |(number, address): (usize, &SocketAddr)| {
        let name = format!("side-{number}");
        world::spawn_agent(&name, *address, SERVICE, store_address, &gateways, folder)
    };
    let agents = addresses.iter().enumerate().map(spawn_agent);
    let agents = agents.collect::<io::Result<Vec<_>>>()?;
    let began = Instant::now();
    let over = Arc::new(AtomicBool::new(false));
    let sent = Arc::new(Mutex::new(Vec::new()));
    let client = {
        let (over, sent) = (Arc::clone(&over), Arc::clone(&sent));
        let gateway = Arc::clone(&gateways[0]);
        thread::spawn(move || send_requests(&gateway, &over, &sent))
    };
    sleep(NAMED_AT);
    let mut notes = Vec::new();
    let struck = &engines[0];
    store.put("versions", MODEL, &version(2));
    notes.push(format!("{:?}  version 2 is named", began.elapsed()));
    if has_trouble {
        let Some(checked) = wait_for_check(struck, began + LENGTH) else {
            return Err(io::Error::other("the agent verified no pieces"));
        };
        struck.set_slow(true);
        notes.push(format!("{:?}  {} works slowly", began.elapsed(), struck.id));
        sleep(SPOILT_AFTER.saturating_sub(checked.elapsed()));
        struck.spoil(SPOILT);
        notes.push(format!("{:?}  piece {SPOILT} turns bad at {}", began.elapsed(), struck.id));
        sleep(SLOW_FOR.saturating_sub(checked.elapsed()));
        struck.set_slow(false);
        notes.push(format!("{:?}  {} works as usual", began.elapsed(), struck.id));
    }
    sleep(LENGTH.saturating_sub(began.elapsed()));
    over.store(true, Ordering::SeqCst);
    client.join().map_err(|_| io::Error::other("the client failed"))?;
    drop(agents);
    world::end(&gateways);
    let sent = sent.lock().unwrap_or_else(PoisonError::into_inner);
    judge(&engines, &sent, began, &notes, record, has_trouble)
}

/// Waits until an agent verifies the pieces of version 2. Returns when it began to.
fn wait_for_check(engine: &Engine, until: Instant) -> Option<Instant> {
    let mut staged_at = None;
    while Instant::now() < until {
        if staged_at.is_none() && engine.has_staged(2) {
            staged_at = Some(Instant::now());
        }
        let read = engine.read_first_at();
        if let Some(read) = read.filter(|read| staged_at.is_some_and(|staged| *read >= staged)) {
            return Some(read);
        }
        sleep(Duration::from_millis(2));
    }
    None
}

fn version(number: u64) -> String {
    format!(r#"{{"model":"{MODEL}","version":{number}}}"#)
}

fn configuration(origin: &str) -> String {
    let timeout = ROUTE_TIMEOUT.as_millis();
    format!(
        r#"{{"version":1,"routes":[{{"name":"say","host":"say.example","path_prefix":"/say/","kind":"streaming","timeout_ms":{timeout},"target_latency_ms":500,"priority":1,"service":"{SERVICE}","max_attempts":2,"public":true,"sticky":true,"resumable":true,"target_gap_ms":400}}],"services":[{{"name":"{SERVICE}","health_path":"/healthz","max_connections":264,"protocol":"h1","tls":false,"engine":{{"slots":16,"kv_capacity_tokens":317000,"kv_token_bytes":262144,"link_mbps":400000.0,"stride":5,"models":[{{"name":"{MODEL}","pace":1.0,"load_s":4.0,"warm_s":0.3}}],"mb":149000.0,"step_ms":9.27,"per_seq_ms":0.0232,"context_per_k":0.0322,"read_per_s":20700.0,"pairs_per_m":1.18,"chunk":2048,"report_lag_ms":200.0,"usual":{{"prompt":979,"answer":92}},"layers":16,"layer_mb":4090.0,"chunks":{PIECES},"chunk_bytes":{PIECE_BYTES}}}}},{{"name":"{ORIGIN}","origin":"{origin}","zone":"zone-a","link_mbps":7.3,"max_connections":48}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[]}}"#
    )
}

/// Sends requests one after the other until the run is over.
fn send_requests(gateway: &Gateway, over: &AtomicBool, sent: &Mutex<Vec<Sent>>) {
    let mut connection = None;
    let mut number = 0_u64;
    while !over.load(Ordering::SeqCst) {
        number += 1;
        let id = format!("{number:016x}");
        let status = send(&id, gateway, &mut connection).ok();
        let mut sent = sent.lock().unwrap_or_else(PoisonError::into_inner);
        sent.push(Sent { id, answered_at: Instant::now(), status });
        drop(sent);
        sleep(PERIOD);
    }
}

/// Sends a request and returns the status of its answer, if that looks complete.
fn send(id: &str, gateway: &Gateway, kept: &mut Option<Connection>) -> io::Result<u16> {
    let mut connection = match kept.take() {
        Some(connection) => connection,
        None => Connection::open(gateway.callers)?,
    };
    let deadline = ROUTE_TIMEOUT.as_millis();
    let head = format!(
        "POST /say/it HTTP/1.1\r\nHost: say.example\r\nRequest-Id: {id}\r\nModel: {MODEL}\r\n\
         Token-Usage: 100,60\r\nPrompt-Prefix: {id}:100\r\nRequest-Deadline: {deadline}\r\n\
         Content-Length: 2\r\n\r\n"
    );
    connection.send(&head, b"it", ROUTE_TIMEOUT + Duration::from_secs(1))?;
    let (head, _) = connection.receive()?;
    let closes = head.get("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
    *kept = Some(connection).filter(|_| !closes);
    Ok(head.status())
}

/// Counts the tokens of clients that came from weights with a piece that was bad for longer than
/// is excused.
fn judge(
    engines: &[Engine],
    sent: &[Sent],
    began: Instant,
    notes: &[String],
    record: &Path,
    has_trouble: bool,
) -> io::Result<Verdict> {
    let mut out = fs::File::create(record)?;
    writeln!(out, "disruption: {has_trouble}")?;
    for note in notes {
        writeln!(out, "{note}")?;
    }
    let (mut tokens, mut loaded) = (0, 0);
    for engine in engines {
        for order in engine.taken() {
            let is_excused = |age: Option<Duration>| age.is_some_and(|age| age < EXCUSE);
            let counted = order.bad.iter().filter(|(_, age)| !is_excused(*age)).count();
            let spoken = |sent: &&Sent| {
                sent.status == Some(200)
                    && sent.answered_at > order.at
                    && engine.begun(&sent.id) == Some(order.version)
            };
            let spoken = sent.iter().filter(spoken).count();
            loaded += usize::from(order.version == 2);
            tokens += if counted > 0 { spoken } else { 0 };
            writeln!(
                out,
                "{:?}  {} takes version {}; pieces that are not its own, and for how long: {:?}; \
                 requests that began on it later and were answered: {spoken}",
                order.at - began,
                engine.id,
                order.version,
                order.bad,
            )?;
        }
    }
    let served = sent.iter().filter(|sent| sent.status == Some(200)).count();
    writeln!(out, "requests sent: {}, answered with 200: {served}", sent.len())?;
    writeln!(out, "answers from weights with a piece that was bad for 3 s or longer: {tokens}")?;
    if loaded == 0 {
        return Err(io::Error::other("no engine took the new version"));
    }
    let verdict = if tokens > 0 { Verdict::Broken } else { Verdict::Held };
    writeln!(out, "{verdict:?}")?;
    for Sent { id, answered_at, status } in sent {
        let at = answered_at.duration_since(began).as_secs_f64();
        let begun = engines.iter().find_map(|it| Some((it.id.as_str(), it.begun(id)?)));
        let by = begun.map_or_else(
            || "not begun".to_owned(),
            |(engine, version)| format!("begun by {engine} on version {version}"),
        );
        writeln!(out, "{at:7.3} s  {id} {by}; status {status:?}")?;
    }
    Ok(verdict)
}
