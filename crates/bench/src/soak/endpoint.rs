//! The stand-in of an endpoint: a plain service, or a model engine's requests.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use anyhow::Result;
use axum::Router;
use axum::body::Body;
use axum::extract::State;
use axum::middleware::{Next, from_fn_with_state};
use bytes::Bytes;
use cinderspoke_stand_ins::request::{self, Received};
use cinderspoke_stand_ins::spec;
use cinderspoke_test_support::oracle::attempt::Run;
use cinderspoke_test_support::oracle::disturbance::{Kind, Whom};
use cinderspoke_test_support::{address, proxy::Proxy};
use futures::{StreamExt, stream};
use http::header::CONTENT_TYPE;
use http::{Request, Response};
use http_body_util::BodyExt;
use serde_json::Value;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::sleep;

use super::configuration::ZONE;
use super::engine::Engine;
use super::fatal;
use super::framing::{self, Framing, Listener};
use super::oracle::{Oracle, Work};
use super::parts::{self, Fate};
use super::sized;
use super::spoil;

/// How many events a stream has.
pub(crate) const EVENTS: u64 = 12;

/// How many requests it works on at once; more are turned away.
const SLOTS: usize = 16;

/// An endpoint and the link to it.
pub(crate) struct Endpoint {
    pub(crate) name: String,
    pub(crate) service: &'static str,
    pub(crate) link: Arc<Proxy>,
    pub(crate) engine: Option<Arc<Engine>>,
    pub(crate) notice: Arc<Notice>,
    ended: Arc<AtomicBool>,
}

/// What an endpoint says in its answers besides them.
#[derive(Debug, Default)]
pub(crate) struct Notice {
    leaves: AtomicBool,
    rest: Mutex<Option<Duration>>,
    // Whether it turns all requests away as if it were full.
    full: AtomicBool,
    // Requests a second that it accepts, if it says so.
    limit: Mutex<Option<f64>>,
    // Whether it says nothing at all, and leaves its connections open.
    silent: watch::Sender<bool>,
}

impl Notice {
    /// Says from now on that it leaves.
    pub(crate) fn leave(&self) {
        self.leaves.store(true, Ordering::SeqCst);
    }

    /// Turns requests away from now on, and asks for so long a rest; takes them with none.
    pub(crate) fn set_rest(&self, rest: Option<Duration>) {
        *self.rest.lock().unwrap_or_else(PoisonError::into_inner) = rest;
    }

    /// Turns all requests away from now on as if it were full, or takes them again.
    pub(crate) fn set_full(&self, full: bool) {
        self.full.store(full, Ordering::SeqCst);
    }

    /// Names a limit in all answers from now on; none with none.
    pub(crate) fn set_limit(&self, per_s: Option<f64>) {
        *self.limit.lock().unwrap_or_else(PoisonError::into_inner) = per_s;
    }

    /// Falls silent, or goes on where it stopped.
    pub(crate) fn set_silent(&self, silent: bool) {
        self.silent.send_replace(silent);
    }

    /// Waits until it is not silent.
    pub(crate) async fn goes_on(&self) {
        // Fails only where the notice is gone, which this holds.
        _ = self.silent.subscribe().wait_for(|silent| !silent).await;
    }

    fn limit(&self) -> Option<f64> {
        *self.limit.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn rest(&self) -> Option<Duration> {
        *self.rest.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[derive(Clone)]
struct Shared {
    name: String,
    oracle: Oracle,
    engine: Option<Arc<Engine>>,
    working: Arc<AtomicUsize>,
    notice: Arc<Notice>,
    ended: Arc<AtomicBool>,
    link: Arc<Proxy>,
    // Of the soak.
    seed: u64,
}

/// Under what an endpoint ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Cause {
    /// A whole request.
    Request,
    /// A part of a prompt.
    Part,
}

/// What an endpoint does for a request: it sleeps for the first, and in a stream
/// before each event.
#[derive(Debug, Clone, Copy)]
struct Pace {
    first: Duration,
    event: Duration,
}

impl Pace {
    /// Two events come before the endpoint ends.
    const FATAL: Self = Self { first: Duration::from_millis(10), event: Duration::from_millis(15) };

    /// Slow requests are those whose callers may leave meanwhile.
    fn of(path: &str) -> Self {
        let [first, event] = if path.ends_with("/slow") { [900, 150] } else { [30, 15] };
        Self { first: Duration::from_millis(first), event: Duration::from_millis(event) }
    }
}

/// The whole answer to a request that is no stream.
pub(crate) fn answer(id: &str) -> String {
    format!("answer to {id}")
}

/// An event of the answer to a request.
pub(crate) fn event(id: &str, number: u64) -> String {
    format!("id: {number}\ndata: {id} {number}\n\n")
}

impl Endpoint {
    /// Starts an endpoint of a service.
    pub(crate) async fn spawn(
        name: String,
        service: &'static str,
        engine: Option<Arc<Engine>>,
        oracle: &Oracle,
        seed: u64,
    ) -> Result<Self> {
        let (notice, ended) = (Arc::<Notice>::default(), Arc::new(AtomicBool::new(false)));
        let inner = address::free()?;
        let link = Arc::new(Proxy::spawn(address::free()?, inner).await?);
        let shared = Shared {
            name: name.clone(),
            oracle: oracle.clone(),
            engine: engine.clone(),
            working: Arc::default(),
            notice: Arc::clone(&notice),
            ended: Arc::clone(&ended),
            link: Arc::clone(&link),
            seed,
        };
        let mut app = Router::new().fallback(serve).with_state(shared);
        if let Some(engine) = &engine {
            let silence = from_fn_with_state(Arc::clone(&notice), silence);
            app = app.merge(super::engine::app(Arc::clone(engine)).layer(silence));
        }
        let listener = Listener(TcpListener::bind(inner).await?);
        tokio::spawn(async move { axum::serve(listener, app).await });
        Ok(Self { name, service, link, engine, notice, ended })
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.link.address
    }

    /// Its entry in the store.
    pub(crate) fn entry(&self, leaves: bool) -> Value {
        let models = self.engine.as_ref().map(|engine| engine.models());
        let (service, address) = (self.service, self.address());
        let endpoint =
            spec::Endpoint { service, address, zone: ZONE, slots: SLOTS, is_draining: leaves };
        spec::entry(endpoint, models)
    }

    /// Ends it, in the midst of whatever it works on.
    pub(crate) fn end(&self) {
        self.ended.store(true, Ordering::SeqCst);
        self.link.close();
    }
}

/// A place that a request takes, and the work on it.
struct Place {
    working: Arc<AtomicUsize>,
    ended: Arc<AtomicBool>,
    engine: Option<Arc<Engine>>,
    notice: Arc<Notice>,
    // Changes when the engine breaks off what runs.
    cuts: Option<watch::Receiver<u64>>,
    work: Work,
}

impl Place {
    /// Works for a time, longer where its endpoint is silent then; an error if the work is broken
    /// off meanwhile.
    async fn work(&mut self, time: Duration) -> io::Result<()> {
        let worked = self.wait(time).await;
        self.notice.goes_on().await;
        worked
    }

    async fn wait(&mut self, time: Duration) -> io::Result<()> {
        let Some(cuts) = &mut self.cuts else {
            sleep(time).await;
            return Ok(());
        };
        tokio::select! {
            () = sleep(time) => Ok(()),
            _ = cuts.changed() => {
                self.work.break_off();
                Err(io::Error::other("broken off"))
            }
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.working.fetch_sub(1, Ordering::SeqCst);
        if let Some(engine) = &self.engine {
            engine.done();
        }
        if self.ended.load(Ordering::SeqCst) {
            self.work.break_off();
        }
    }
}

impl Shared {
    /// Begins a request that it does not outlive; it is back after a while.
    async fn suffer(&self, arrival: &Received) -> Response<Body> {
        if arrival.target != self.name {
            let answer = request::not_run(request::answer_head(&arrival.id, None));
            return with(answer, 421, Body::empty());
        }
        if let Some(arrival) = fatal::arrival(&arrival.id, self.oracle.now()) {
            self.oracle.fatal(arrival);
        }
        let endpoint = self.clone();
        tokio::spawn(async move {
            sleep(fatal::RUN).await;
            endpoint.crash(Cause::Request, fatal::AWAY).await;
        });
        std::future::pending().await
    }

    /// Ends soon after it began an answer to a request.
    fn succumb(&self, fate: Fate) {
        let endpoint = self.clone();
        tokio::spawn(async move {
            sleep(fate.life).await;
            endpoint.crash(Cause::Part, fate.away).await;
        });
    }

    /// Ends in the midst of whatever it works on, and starts again after a while.
    async fn crash(&self, cause: Cause, away: Duration) {
        if self.ended.swap(true, Ordering::SeqCst) {
            return;
        }
        let number = self.oracle.struck(Kind::Crash, Whom::Endpoint(self.name.clone()));
        match cause {
            Cause::Request => self.link.close(),
            Cause::Part => {
                self.oracle.ended_by_part();
                self.link.end();
            }
        }
        sleep(away).await;
        self.ended.store(false, Ordering::SeqCst);
        self.link.open();
        self.oracle.passed(number);
    }
}

/// Has what is asked of an engine wait while it is silent.
async fn silence(
    State(notice): State<Arc<Notice>>,
    request: Request<Body>,
    next: Next,
) -> Response<Body> {
    notice.goes_on().await;
    next.run(request).await
}

async fn serve(State(shared): State<Shared>, request: Request<Body>) -> Response<Body> {
    let notice = Arc::clone(&shared.notice);
    let mut answer = work(shared, request).await;
    notice.goes_on().await;
    if notice.leaves.load(Ordering::SeqCst) {
        request::set_draining(answer.headers_mut());
    }
    if let Some(per_s) = notice.limit() {
        request::set_limit(answer.headers_mut(), per_s);
    }
    answer
}

async fn work(shared: Shared, request: Request<Body>) -> Response<Body> {
    let (head, body) = request.into_parts();
    let arrival = Received::read(&head.headers);
    if head.uri.path() == request::HEALTH {
        return with(request::health(&shared.name), 200, Body::empty());
    }
    let id = arrival.id.clone();
    // A caller that leaves while its request comes has had nothing run.
    let body = body.collect().await.map(|body| body.to_bytes()).unwrap_or_default();
    if body == fatal::BODY {
        return shared.suffer(&arrival).await;
    }
    let version = shared.engine.as_ref().map(|engine| engine.version());
    let other = arrival.target != shared.name;
    let older = arrival.version.is_some() && arrival.version != version;
    let working = shared.working.fetch_add(1, Ordering::SeqCst);
    let closed = shared.engine.as_ref().is_some_and(|engine| !engine.begin());
    let full = working >= SLOTS || closed || shared.notice.full.load(Ordering::SeqCst);
    let rest = shared.notice.rest().filter(|_| !other);
    let ran = !(other || older || full || rest.is_some());
    let run = Run {
        endpoint: shared.name.clone(),
        came: shared.oracle.now(),
        ran,
        ended: None,
        broken_off: false,
        version,
        wrong: differs(&arrival, &body),
    };
    let fatal = parts::arrival(&id, run.came).filter(|_| parts::is_fatal(&arrival.parts));
    let work = match fatal {
        Some(arrival) => shared.oracle.part_came(&id, arrival),
        None => shared.oracle.came(&id, run),
    };
    if let Some(rest) = rest {
        shared.oracle.rests(&shared.name, &id, rest);
    }
    let engine = shared.engine.clone().filter(|_| !closed);
    let ended = Arc::clone(&shared.ended);
    let cuts = engine.as_ref().map(|engine| engine.cuts());
    let (working, notice) = (Arc::clone(&shared.working), Arc::clone(&shared.notice));
    let mut place = Place { working, ended, engine, notice, cuts, work };
    let answered = request::answer_head(&id, version);
    if !ran {
        let refusal = request::not_run(answered);
        let (status, refusal) = match rest {
            Some(rest) => (503, request::backoff(refusal, rest)),
            None => (if other || older { 421 } else { 503 }, refusal),
        };
        return with(refusal, status, Body::empty());
    }
    let mut random = framing::drawn(shared.seed, &id);
    let (framing, fate) = (Framing::draw(&mut random), fatal.map(|_| Fate::draw(&mut random)));
    if let Some(fate) = fate {
        shared.succumb(fate);
        if fate.events == 0 {
            return std::future::pending().await;
        }
    }
    let path = head.uri.path();
    let pace = if fate.is_some() { Pace::FATAL } else { Pace::of(path) };
    let engine = shared.engine.as_ref().filter(|_| path.ends_with(sized::PACE));
    let worked = match engine {
        Some(engine) => {
            // Prompts are read one after the other.
            let _reader = engine.reader().await;
            place.work(engine.reading(arrival.prompt)).await
        }
        None => place.work(pace.first).await,
    };
    let mut signed = request::sign(answered, &shared.name);
    if fate.is_none() {
        signed = spoil::mark(signed, shared.seed, &id, &shared.name);
    }
    if !is_stream(path) {
        let (body, bytes) = (Body::from(answer(&id)), answer(&id).len());
        return framing.frame(with(signed, 200, body), bytes);
    }
    let signed = signed.header(CONTENT_TYPE, "text/event-stream");
    let stream = Stream { id, after: arrival.last_event, pace, framing };
    let bytes = stream.bytes();
    let events = match worked {
        Ok(()) => stream.events(place).left_stream(),
        Err(error) => stream::iter([stream.broken_off(error)]).right_stream(),
    };
    let body = match fate {
        Some(fate) => Body::from_stream(events.take(fate.events).chain(stream::pending())),
        None => Body::from_stream(events),
    };
    framing.frame(with(signed, 200, body), bytes)
}

/// Whether requests on a path are answered in events.
pub(crate) fn is_stream(path: &str) -> bool {
    path.starts_with("/go/") || path.starts_with("/stop/") || path.starts_with("/model")
}

/// What is not as the caller sent it.
fn differs(arrival: &Received, body: &Bytes) -> Option<String> {
    if *body != super::caller::body(&arrival.id) {
        return Some("another body".to_owned());
    }
    let Received { team, key, .. } = arrival;
    let sound = team == spec::TEAM && key.is_empty();
    (!sound).then(|| format!("the team is {team:?} and the key {key:?}"))
}

fn with(answer: http::response::Builder, status: u16, body: Body) -> Response<Body> {
    // Names and ids are plain text, so that the head can be made.
    answer.status(status).body(body).unwrap_or_default()
}

/// The events of an answer after one.
struct Stream {
    id: String,
    after: u64,
    pace: Pace,
    framing: Framing,
}

impl Stream {
    fn bytes(&self) -> usize {
        (self.after + 1..=EVENTS).map(|number| event(&self.id, number).len()).sum()
    }

    /// What comes where the next event would, of a stream that is broken off: an error closes the
    /// connection, which tells nothing of an answer that ends with it anyway, but inside an event.
    fn broken_off(&self, error: io::Error) -> io::Result<String> {
        let mut event = event(&self.id, self.after + 1);
        event.truncate(event.len() / 2);
        if self.framing == Framing::Neither { Ok(event) } else { Err(error) }
    }

    /// All events; what holds its place goes with the stream.
    fn events(self, place: Place) -> impl futures::Stream<Item = io::Result<String>> {
        let next = async |(mut stream, mut place): (Self, Place)| {
            if stream.after >= EVENTS {
                return Ok(None);
            }
            if let Err(error) = place.work(stream.pace.event).await {
                let broken_off = stream.broken_off(error)?;
                stream.after = EVENTS;
                return Ok(Some((broken_off, (stream, place))));
            }
            stream.after += 1;
            Ok(Some((event(&stream.id, stream.after), (stream, place))))
        };
        stream::try_unfold((self, place), next)
    }
}
