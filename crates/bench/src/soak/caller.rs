//! Callers: each keeps a connection until it is gone, and checks every answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use cinderspoke_stand_ins::request::{
    ModelRequest, Part, READY, Size, is_draining, model_request, names_limit, request_id,
    retry_after, signed_by, without_versions,
};
use cinderspoke_test_support::oracle::attempt::{Attempt, End, Kind};
use cinderspoke_test_support::oracle::judge::{LATE, MARGIN};
use http::header::HOST as HOST_HEADER;
use http::{HeaderMap, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use super::configuration::{HOST, TIMEOUT};
use super::endpoint::{EVENTS, answer, event, is_stream};
use super::engine::MODEL;
use super::oracle::Oracle;
use super::parts;

/// What callers know of a gateway.
#[derive(Debug)]
pub(crate) struct Door {
    pub(crate) address: SocketAddr,
    // Whether the balancer gives it new connections.
    pub(crate) open: AtomicBool,
}

/// What callers may ask: routes with what may be done with their requests, and keys.
#[derive(Debug, Clone, Default)]
pub(crate) struct Offer {
    pub(crate) routes: Vec<(String, Kind)>,
    pub(crate) keys: Vec<String>,
    // What was taken away.
    pub(crate) former_routes: Vec<(String, Kind)>,
    pub(crate) former_keys: Vec<String>,
    // For how long connections of callers may rest, and the time of each route.
    pub(crate) idle: Duration,
    pub(crate) timeout: Duration,
    // How many of the routes are always there.
    pub(crate) usual: usize,
    // The route for requests of all sizes, if they are played.
    pub(crate) sized: Option<(String, Kind)>,
}

/// What all callers share.
pub(crate) struct Shared {
    pub(crate) oracle: Oracle,
    pub(crate) doors: Vec<Door>,
    pub(crate) offer: watch::Receiver<Offer>,
    pub(crate) next: AtomicU64,
}

/// How long a new connection may take.
const CONNECT: Duration = Duration::from_secs(1);

/// In how many cases a caller asks for what takes long, and leaves in some of these.
const SLOW: f64 = 0.08;
const LEAVES: f64 = 0.4;

/// In how many cases a caller takes a route or key that is new or was taken away.
const UNUSUAL: f64 = 0.15;

pub(crate) type Connection = SendRequest<Full<Bytes>>;

/// The body of a request.
pub(crate) fn body(id: &str) -> String {
    format!("body of {id}")
}

/// Sends requests until it is dropped.
pub(crate) async fn run(shared: Arc<Shared>, mut random: ChaCha8Rng) {
    let mut kept: Option<(usize, Connection)> = None;
    loop {
        sleep(Duration::from_millis(random.random_range(10..120))).await;
        if kept.as_ref().is_none_or(|(_, connection)| connection.is_closed()) {
            kept = open(&shared, &mut random).await;
        }
        let Some((gateway, connection)) = kept.as_mut() else { continue };
        if !ask(&shared, *gateway, connection, &mut random).await {
            kept = None;
        }
    }
}

/// Opens a connection to a gateway that takes new ones; where none does, to any.
pub(crate) async fn open(shared: &Shared, random: &mut ChaCha8Rng) -> Option<(usize, Connection)> {
    let doors = shared.doors.iter().enumerate();
    let open: Vec<_> = doors.filter(|(_, door)| door.open.load(Ordering::Relaxed)).collect();
    let all: Vec<_> = shared.doors.iter().enumerate().collect();
    let among = if open.is_empty() { all } else { open };
    let (number, door) = among[random.random_range(0..among.len())];
    let stream = timeout(CONNECT, TcpStream::connect(door.address)).await.ok()?.ok()?;
    stream.set_nodelay(true).ok()?;
    let (connection, driver) = handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(driver);
    Some((number, connection))
}

/// Picks what to ask: mostly what is always there, sometimes what is new or taken away.
fn pick<'a, T>(
    all: &'a [T],
    former: &'a [T],
    usual: usize,
    random: &mut ChaCha8Rng,
) -> Option<&'a T> {
    let (usual, new) = all.split_at_checked(usual)?;
    let unusual: Vec<_> = new.iter().chain(former).collect();
    if !unusual.is_empty() && random.random_bool(UNUSUAL) {
        return Some(unusual[random.random_range(0..unusual.len())]);
    }
    usual.get(random.random_range(0..usual.len().max(1)))
}

/// Sends one request; whether the connection can take another.
async fn ask(
    shared: &Shared,
    gateway: usize,
    connection: &mut Connection,
    random: &mut ChaCha8Rng,
) -> bool {
    let offer = shared.offer.borrow().clone();
    let Some((route, kind)) = pick(&offer.routes, &offer.former_routes, offer.usual, random) else {
        return true;
    };
    let Some(key) = pick(&offer.keys, &offer.former_keys, 1, random) else { return true };
    let slow = random.random_bool(SLOW);
    let leaves = slow && random.random_bool(LEAVES);
    let leaves = leaves.then(|| Duration::from_millis(random.random_range(60..900)));
    let (route, key, kind) = (route.clone(), key.clone(), *kind);
    let wanted = Wanted {
        route,
        kind,
        key,
        pace: if slow { "slow" } else { "quick" },
        size: Size::SMALL,
        leaves,
    };
    match send(shared, gateway, connection, wanted).await {
        Some(ended) => matches!(ended.end, End::Answered { .. }),
        None => false,
    }
}

/// What is asked in one attempt.
pub(crate) struct Wanted {
    pub(crate) route: String,
    pub(crate) kind: Kind,
    pub(crate) key: String,
    /// The end of its path, by which endpoints take their time.
    pub(crate) pace: &'static str,
    pub(crate) size: Size,
    /// After how long its caller leaves, if it does.
    pub(crate) leaves: Option<Duration>,
}

/// How an attempt ended, and when its caller is told to come back.
pub(crate) struct Ended {
    pub(crate) end: End,
    pub(crate) come_back: Option<Duration>,
}

/// Sends one request and tells the oracle of it; none where it was not sent.
pub(crate) async fn send(
    shared: &Shared,
    gateway: usize,
    connection: &mut Connection,
    wanted: Wanted,
) -> Option<Ended> {
    let Wanted { route, kind, key, pace, size, leaves } = wanted;
    let number = shared.next.fetch_add(1, Ordering::Relaxed);
    let id = format!("r{number}");
    let path = format!("{route}{pace}");
    let parts = parts::sound(&route, number, size.prompt);
    let request = request(&id, &path, &key, size, &parts).ok()?;
    connection.ready().await.ok()?;
    let sent = shared.oracle.now();
    let (runs, end) = (Vec::new(), None);
    shared.oracle.sent(Attempt { id: id.clone(), gateway, kind, route, key, sent, runs, end });
    let patience = leaves.unwrap_or(TIMEOUT + LATE + MARGIN);
    let mut told = None;
    let exchange = async {
        let (head, body) = connection.send_request(request).await?.into_parts();
        Ok::<_, hyper::Error>((head.status.as_u16(), head.headers, collect(body).await))
    };
    let end = match timeout(patience, exchange).await {
        Ok(Ok((status, headers, Some(body)))) => {
            if let Some(endpoint) = signed_by(&headers).filter(|_| is_draining(&headers)) {
                shared.oracle.says_that_it_leaves(endpoint, gateway);
            }
            if let Some(endpoint) = signed_by(&headers).filter(|_| names_limit(&headers)) {
                shared.oracle.informs_of_limit(endpoint, gateway);
            }
            told = retry_after(&headers);
            checked(&id, &path, status, &headers, &body)
        }
        Ok(Ok((_, _, None))) => End::Cut,
        Ok(Err(error)) if error.is_canceled() => {
            shared.oracle.withdrawn(&id);
            return None;
        }
        Ok(Err(_)) => End::Cut,
        Err(_) if leaves.is_some() => End::Left,
        Err(_) => End::Silent,
    };
    shared.oracle.over(&id, end.clone());
    Some(Ended { end, come_back: told })
}

fn request(
    id: &str,
    path: &str,
    key: &str,
    size: Size,
    parts: &[Part],
) -> http::Result<Request<Full<Bytes>>> {
    let head = Request::post(path).header(HOST_HEADER, HOST);
    let asked = ModelRequest { id, timeout: TIMEOUT, key, model: MODEL, size, parts };
    model_request(head, &asked).body(Full::from(body(id)))
}

/// The whole body; none if it did not come whole.
async fn collect(body: Incoming) -> Option<Bytes> {
    Some(body.collect().await.ok()?.to_bytes())
}

/// What is wrong with an answer that came whole.
fn checked(id: &str, path: &str, status: u16, headers: &HeaderMap, body: &Bytes) -> End {
    let (signed, answered) = (signed_by(headers).is_some(), request_id(headers));
    let expected = if is_stream(path) { events(id) } else { answer(id) };
    let got = String::from_utf8_lossy(body);
    let is_success = (200..300).contains(&status);
    let wrong = if !(200..600).contains(&status) {
        Some(format!("a status that is none: {status}"))
    } else if is_success && !signed {
        Some("a success that no endpoint signed".to_owned())
    } else if answered.is_some_and(|other| other != id) {
        Some(format!("the answer to {}", answered.unwrap_or_default()))
    } else if is_success && without_versions(&got) != expected {
        Some(format!("another body: {got:?}"))
    } else {
        None
    };
    End::Answered { status, signed, wrong }
}

fn events(id: &str) -> String {
    (1..=EVENTS).map(|number| event(id, number)).collect()
}

/// Whether a gateway says that it takes new connections.
pub(crate) async fn is_ready(address: SocketAddr) -> bool {
    let question = async {
        let stream = TcpStream::connect(address).await.ok()?;
        let (mut connection, driver) = handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(driver);
        let request = Request::get(READY).header(HOST_HEADER, HOST).body(Full::<Bytes>::default());
        let answer: Response<Incoming> = connection.send_request(request.ok()?).await.ok()?;
        Some(answer.status().is_success())
    };
    timeout(CONNECT, question).await.ok().flatten() == Some(true)
}
