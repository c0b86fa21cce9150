//! Endpoints crash one after the other and come back, while they send answers of which some end
//! with their connection.

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

/// The endpoints: one of seven is down at a time, where the users take 0.15 or 0.17 of them.
const ENDPOINTS: usize = 7;

/// How long an endpoint works on a request, how many it runs at once, and the time of the route.
const WORK: Duration = Duration::from_millis(1500);
const SLOTS: usize = 64;
const ROUTE_TIMEOUT: Duration = Duration::from_millis(6000);

/// Clients, and how often each sends a request.
const CLIENTS: usize = 300;
const PERIOD: Duration = Duration::from_millis(1600);

/// When the first endpoint crashes, the time from one crash to the next, and for how long an
/// endpoint is down.
const FIRST_CRASH: Duration = Duration::from_secs(5);
const CRASH_INTERVAL: Duration = Duration::from_secs(5);
const DOWN: Duration = Duration::from_secs(3);

/// The time after which the store removes an entry that is not written.
const LAPSE: Duration = Duration::from_millis(3600);

/// The length of the run.
const LENGTH: Duration = Duration::from_secs(100);

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
    let address = |number: usize| free_address(100 + number as u8);
    let addresses = (0..ENDPOINTS).map(address).collect::<io::Result<Vec<_>>>()?;
    let spawn = |started: usize| {
        let address = addresses[started % ENDPOINTS];
        spawn_endpoint(&id_of(started), address, store_address, folder, &log)
    };
    let mut endpoints = (0..ENDPOINTS).map(&spawn).collect::<io::Result<Vec<_>>>()?;
    let program = "target/release/cinderspoke-entry";
    let gateways = world::spawn_gateways(2, program, store_address, folder)?;
    let (began, sent) = (Instant::now(), Arc::new(Mutex::new(Vec::new())));
    let clients = (0..CLIENTS).map(|client| {
        let (gateway, sent) = (Arc::clone(&gateways[client % gateways.len()]), Arc::clone(&sent));
        thread::spawn(move || send_requests(client, &gateway, began, &sent))
    });
    let clients: Vec<_> = clients.collect();
    let mut notes = Vec::new();
    let mut due = FIRST_CRASH;
    // Each start of an endpoint has a number of its own, which tells its address, too.
    let mut started = ENDPOINTS;
    while has_trouble && due + CRASH_INTERVAL < LENGTH {
        wait_until(began, due);
        let id = id_of(started - ENDPOINTS);
        endpoints[started % ENDPOINTS].kill();
        notes.push(format!("{:?}  {id} has crashed", began.elapsed()));
        wait_until(began, due + DOWN);
        endpoints[started % ENDPOINTS] = spawn(started)?;
        notes.push(format!("{:?}  it is back as {}", began.elapsed(), id_of(started)));
        wait_until(began, due + LAPSE);
        store.remove("servers", &id);
        started += 1;
        due += CRASH_INTERVAL;
    }
    for client in clients {
        client.join().map_err(|_| io::Error::other("a client failed"))?;
    }
    drop(endpoints);
    world::end(&gateways);
    let sent = sent.lock().unwrap_or_else(PoisonError::into_inner);
    judge(&sent, &notes, &fs::read_to_string(log)?, record, has_trouble)
}

fn id_of(started: usize) -> String {
    format!("i-{started:08x}")
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
        slots: SLOTS,
        work: WORK,
        framing: Framing::Mixed,
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
         Request-Deadline: {deadline}\r\nContent-Length: {}\r\n\r\n",
        id.len()
    );
    // Each request differs from all others.
    connection.send(&head, id.as_bytes(), ROUTE_TIMEOUT + Duration::from_secs(1))?;
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
            None => writeln!(out, "{at:.2} {id} {state}, no complete answer")?,
            Some(Answer { status: 200, is_whole: true, .. }) => {
                writeln!(out, "{at:.2} {id} {state}, 200 whole")?;
            }
            Some(Answer { status, signature, bytes, is_whole }) => writeln!(
                out,
                "{at:.2} {id} {state}, {status}, {bytes} bytes, signed {signature:?}, \
                 whole: {is_whole}"
            )?,
        }
    }
    Ok(verdict)
}
