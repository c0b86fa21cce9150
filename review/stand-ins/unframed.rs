//! A gateway stands still for some seconds, while an endpoint crashes in the middle of answers that
//! end with their connection, and is back at its address.

use std::collections::BTreeMap;
use std::fs;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::endpoint::{self, Framing, Options};
use crate::http::Connection;
use crate::store::Store;
use crate::world::{self, Gateway, Process, free_address};

const SERVICE: &str = "convert-api";

/// How long an endpoint works on a request, and the time of the route.
const WORK: Duration = Duration::from_millis(1500);
const ROUTE_TIMEOUT: Duration = Duration::from_millis(6000);

/// Clients, and how often each sends a request.
const CLIENTS: usize = 10;
const PERIOD: Duration = Duration::from_millis(2000);

/// From when to when the gateway stands still, and the endpoint is down.
const FREEZE_AT: Duration = Duration::from_millis(10_000);
const CRASH_AT: Duration = Duration::from_millis(10_300);
const RETURN_AT: Duration = Duration::from_millis(11_300);
const WAKE_AT: Duration = Duration::from_millis(13_000);

/// The length of the run.
const LENGTH: Duration = Duration::from_secs(20);

/// The time after which the store removes an entry that is not written.
const LAPSE: Duration = Duration::from_millis(3600);

/// One request and its answer; none if no complete answer came.
struct Sent {
    id: String,
    at: Duration,
    answer: Option<Answer>,
}

struct Answer {
    status: u16,
    signature: String,
    bytes: usize,
    is_whole: bool,
}

impl Sent {
    /// Whether the client got a success with a body other than the endpoint's whole one.
    fn is_mixed(&self) -> bool {
        self.answer.as_ref().is_some_and(|answer| answer.status / 100 == 2 && !answer.is_whole)
    }
}

/// Plays the case.
pub fn play(folder: &Path, record: &Path, has_trouble: bool) -> io::Result<Verdict> {
    let store_address = free_address(250)?;
    let store = Store::spawn(store_address)?;
    store.put("config", "main", &configuration());
    let log = folder.join("runs.log");
    let address = free_address(100)?;
    let mut endpoint = spawn_endpoint("i-00000001", address, store_address, folder, &log)?;
    let program = "target/release/cinderspoke-entry";
    let gateways = world::spawn_gateways(1, program, store_address, folder)?;
    let gateway = Arc::clone(&gateways[0]);
    let (began, sent) = (Instant::now(), Arc::new(Mutex::new(Vec::new())));
    let clients = (0..CLIENTS).map(|client| {
        let (gateway, sent) = (Arc::clone(&gateway), Arc::clone(&sent));
        thread::spawn(move || send_requests(client, &gateway, began, &sent))
    });
    let clients: Vec<_> = clients.collect();
    let mut notes = Vec::new();
    let mut reborn = None;
    if has_trouble {
        wait_until(began, FREEZE_AT);
        gateway.process().signal("-STOP")?;
        notes.push(format!("{:?}  the gateway stands still", began.elapsed()));
        wait_until(began, CRASH_AT);
        endpoint.kill();
        notes.push(format!("{:?}  the endpoint has crashed", began.elapsed()));
        let crashed = Instant::now();
        wait_until(began, RETURN_AT);
        let again = spawn_endpoint("i-00000002", address, store_address, folder, &log)?;
        reborn = Some(again);
        notes.push(format!("{:?}  it is back with another id", began.elapsed()));
        wait_until(began, WAKE_AT);
        gateway.process().signal("-CONT")?;
        notes.push(format!("{:?}  the gateway goes on", began.elapsed()));
        sleep(LAPSE.saturating_sub(crashed.elapsed()));
        store.remove("servers", "i-00000001");
        notes.push(format!("{:?}  the entry of the crashed run has gone", began.elapsed()));
    }
    for client in clients {
        client.join().map_err(|_| io::Error::other("a client failed"))?;
    }
    drop(reborn);
    world::end(&gateways);
    let sent = sent.lock().unwrap_or_else(PoisonError::into_inner);
    judge(&sent, &notes, &fs::read_to_string(log)?, record, has_trouble)
}

fn wait_until(began: Instant, at: Duration) {
    sleep(at.saturating_sub(began.elapsed()));
}

fn configuration() -> String {
    let timeout = ROUTE_TIMEOUT.as_millis();
    format!(
        r#"{{"version":1,"routes":[{{"name":"page","host":"pages.example","path_prefix":"/page/","kind":"unsafe","timeout_ms":{timeout},"target_latency_ms":{timeout},"priority":1,"service":"{SERVICE}","max_attempts":1,"public":true,"sticky":false,"resumable":false}}],"services":[{{"name":"{SERVICE}","health_path":"/healthz","max_connections":100,"protocol":"h1","tls":false}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[]}}"#
    )
}

fn spawn_endpoint(
    id: &str,
    address: SocketAddr,
    store: SocketAddr,
    folder: &Path,
    log: &Path,
) -> io::Result<Process> {
    let own = std::env::current_exe()?.to_string_lossy().into_owned();
    let options = Options {
        id: id.to_owned(),
        service: SERVICE.to_owned(),
        address,
        store,
        log: log.to_string_lossy().into_owned(),
        slots: 20,
        work: WORK,
        framing: Framing::Connection,
        body_bytes: 8000,
    };
    let mut command = vec![own];
    command.extend(options.to_args());
    Process::spawn(command, folder.join(format!("{id}.log")))
}

/// Sends the requests of one client, one each [`PERIOD`].
fn send_requests(client: usize, gateway: &Gateway, began: Instant, sent: &Mutex<Vec<Sent>>) {
    let mut connection = None;
    let mut due = PERIOD * client as u32 / CLIENTS as u32;
    let mut number = 0;
    while due < LENGTH {
        wait_until(began, due);
        number += 1;
        let id = format!("{client:08x}{number:08x}");
        let at = began.elapsed();
        let answer = send(&id, gateway, &mut connection).ok();
        let mut log = sent.lock().unwrap_or_else(PoisonError::into_inner);
        log.push(Sent { id, at, answer });
        drop(log);
        due = (due + PERIOD).max(began.elapsed());
    }
}

/// Sends a request and returns its answer, if that looks complete.
fn send(id: &str, gateway: &Gateway, kept: &mut Option<Connection>) -> io::Result<Answer> {
    let mut connection = match kept.take() {
        Some(connection) => connection,
        None => Connection::open(gateway.callers)?,
    };
    let deadline = ROUTE_TIMEOUT.as_millis();
    let head = format!(
        "POST /page/convert HTTP/1.1\r\nHost: pages.example\r\nRequest-Id: {id}\r\n\
         Request-Deadline: {deadline}\r\nContent-Length: 4\r\n\r\n"
    );
    connection.send(&head, b"page", ROUTE_TIMEOUT + Duration::from_secs(1))?;
    let (head, body) = connection.receive()?;
    let signature = head.get("engine-signature").unwrap_or_default().to_owned();
    let is_whole = endpoint::is_whole(&signature, &body);
    let closes = head.get("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
    *kept = Some(connection).filter(|_| !closes);
    Ok(Answer { status: head.status(), signature, bytes: body.len(), is_whole })
}

/// Counts the successes whose body is not the endpoint's whole one.
fn judge(
    sent: &[Sent],
    notes: &[String],
    runs: &str,
    record: &Path,
    has_trouble: bool,
) -> io::Result<Verdict> {
    let mut states: BTreeMap<&str, &str> = BTreeMap::new();
    for line in runs.lines() {
        let mut words = line.split(' ');
        if let (Some(what), Some(id)) = (words.next(), words.next()) {
            states.insert(id, what);
        }
    }
    let mixed = sent.iter().filter(|sent| sent.is_mixed()).count();
    let verdict = if mixed > 0 { Verdict::Broken } else { Verdict::Held };
    let mut out = fs::File::create(record)?;
    writeln!(out, "disruption: {has_trouble}")?;
    for note in notes {
        writeln!(out, "{note}")?;
    }
    writeln!(out, "sent {}, successes that lack a part of the body: {mixed}", sent.len())?;
    writeln!(out, "{verdict:?}")?;
    for request in sent {
        let Sent { id, at, answer } = request;
        let state = states.get(id.as_str()).copied().unwrap_or("not begun");
        let at = at.as_secs_f64();
        match answer {
            None => writeln!(out, "{at:6.2} s  {id} endpoint: {state}; no complete answer")?,
            Some(Answer { status, signature, bytes, is_whole }) => writeln!(
                out,
                "{at:6.2} s  {id} endpoint: {state}; status {status}, {bytes} bytes, \
                 signature {signature:?}, whole: {is_whole}"
            )?,
        }
    }
    Ok(verdict)
}
