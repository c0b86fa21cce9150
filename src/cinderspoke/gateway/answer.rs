//! Answers of endpoints: one send, and streams that are passed on and resumed.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cinderspoke_core::gateway::attempt::{Fate, Next};
use cinderspoke_core::gateway::catalog::Kind;
use cinderspoke_core::gateway::event::{Splitter, Whole};
use cinderspoke_core::gateway::health::Sign;
use cinderspoke_ports::gateway::Sending;
use futures::stream;
use http::{HeaderMap, Request, Response, StatusCode, header, response};
use http_body_util::{BodyExt, Full, Limited, StreamBody};
use hyper::body::{Frame, Incoming};
use tokio::time::{Instant, timeout, timeout_at};

use super::choose::{Chosen, Sends};
use super::context::Context;
use super::pool::Connection;
use super::record::Record;
use super::refusal::Body;
use super::target::Target;
use super::understand::Asked;

/// The largest answer that is held until it is whole.
const MOST_HELD: usize = 8 << 20;

/// How long an endpoint may be silent in the middle of a stream before another
/// one goes on with it: callers leave after two seconds.
const SILENCE: Duration = Duration::from_millis(1100);

/// How much longer than expected a stream's first event may take at least.
const FIRST_SILENCE: Duration = Duration::from_millis(1300);

/// How much later than expected a request may begin on an old version; less than
/// the margin that is kept when it is sent.
const BEGIN_MARGIN: Duration = Duration::from_millis(400);

/// How long the rest of a refusal may take to come.
const REFUSAL: Duration = Duration::from_millis(100);

/// What became of one send.
pub enum Attempt {
    /// A whole answer.
    Whole(Response<Bytes>),
    /// A stream whose first events are there.
    Stream(response::Parts, Box<Live>),
    /// No success; an endpoint's own failure may be passed on.
    Failed(Fate, Option<Response<Bytes>>),
}

/// A request at an endpoint, counted there until it is dropped.
struct Sent {
    target: Arc<Target>,
    number: u64,
}

impl Drop for Sent {
    fn drop(&mut self) {
        self.target.tracking().load.ended(self.number);
    }
}

/// A stream that an endpoint is writing.
pub struct Live {
    sent: Sent,
    body: Incoming,
    connection: Connection,
    keep: Option<Duration>,
    splitter: Splitter,
    // Whole events that are to be passed on.
    ready: Option<Whole>,
    // Whether the endpoint has ended the stream.
    ended: bool,
}

/// Sends a request to an endpoint and reads as much of the answer as has to be
/// there before the caller is told anything.
pub async fn attempt(
    context: &Arc<Context>,
    asked: &Asked,
    chosen: &Chosen,
    record: &mut Record,
) -> Attempt {
    let streams = asked.route.kind.streams();
    let patience = match asked.route.kind {
        Kind::Stream { resumable: true } => chosen.first * 2 + FIRST_SILENCE,
        _ => Duration::MAX,
    };
    let until = begins_until(context, asked, chosen, patience);
    let silent = |target: &Target| {
        target.sign(Sign::Silence, context.clock.now());
        Attempt::Failed(Fate::Lost, None)
    };
    let (head, body, connection, sent) = match send(context, asked, chosen, None, until).await {
        Ok(answer) => answer,
        Err(fate) => return Attempt::Failed(fate, None),
    };
    let answer = context.dialect.answer(&head);
    if answer.request.as_ref() != Some(&asked.call.id) {
        // The answer of another request, or none of an endpoint: nothing is known of ours.
        return silent(&chosen.target);
    }
    if answer.not_run {
        refused(context, asked, chosen, &head, body, connection).await;
        return Attempt::Failed(Fate::Refused, None);
    }
    let encoded = head.headers.contains_key(header::CONTENT_ENCODING);
    if encoded || (head.status.is_success() && !answer.signed) {
        return silent(&chosen.target);
    }
    if head.status.is_success() && streams {
        let keep = keep_alive(&head.headers);
        let mut live = Live {
            sent,
            body,
            connection,
            keep,
            splitter: Splitter::default(),
            ready: None,
            ended: false,
        };
        return match live.first(until).await {
            Ok(()) => {
                live.sent.target.tracking().load.begun(live.sent.number);
                chosen.target.sign(Sign::Good, context.clock.now());
                record.began();
                Attempt::Stream(head, Box::new(live))
            }
            Err(Silent) => silent(&chosen.target),
        };
    }
    let read = timeout_at(asked.end, Limited::new(body, MOST_HELD).collect()).await;
    let Ok(Ok(body)) = read else { return silent(&chosen.target) };
    drop(sent);
    chosen.target.pool.keep(connection, keep_alive(&head.headers));
    let good = !head.status.is_server_error();
    let sign = if good { Sign::Good } else { Sign::Failure };
    chosen.target.sign(sign, context.clock.now());
    let response = Response::from_parts(passed_on(head), body.to_bytes());
    if good && !is_promise(response.status()) {
        Attempt::Whole(response)
    } else if is_promise(response.status()) {
        // Such a status would promise that the request has not run.
        Attempt::Failed(Fate::Failed, None)
    } else {
        Attempt::Failed(Fate::Failed, Some(response))
    }
}

/// Until when a request has to have begun, so that it is not tried elsewhere.
fn begins_until(context: &Context, asked: &Asked, chosen: &Chosen, patience: Duration) -> Instant {
    let model = asked.call.model.as_ref().zip(chosen.version);
    let version_left =
        model.and_then(|(model, version)| context.knowledge.version_left(model, version));
    // What has not begun by then may not begin on the old version any more.
    let patience = patience.min(version_left.map_or(Duration::MAX, |left| left + BEGIN_MARGIN));
    Instant::now().checked_add(patience).map_or(asked.end, |until| until.min(asked.end))
}

/// Whether callers take a status for the promise that their request has not run.
fn is_promise(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

type Answer = (response::Parts, Incoming, Connection, Sent);

/// Sends a request and waits for the head of the answer.
async fn send(
    context: &Arc<Context>,
    asked: &Asked,
    chosen: &Chosen,
    after: Option<u64>,
    until: Instant,
) -> Result<Answer, Fate> {
    let target = &chosen.target;
    let mut connection = match target.pool.take().await {
        Ok(connection) => connection,
        Err(error) => {
            tracing::debug!(endpoint = %target.name, error = format!("{error:#}"), "connecting");
            target.sign(Sign::Silence, context.clock.now());
            return Err(Fate::NotSent);
        }
    };
    let number = context.number();
    let prompt = asked.call.size.prompt;
    target.tracking().load.sent(number, prompt, chosen.first, context.clock.now());
    let sent = Sent { target: Arc::clone(target), number };
    let request = request(context, asked, chosen, after);
    let silent = || target.sign(Sign::Silence, context.clock.now());
    match timeout_at(until, connection.try_send_request(request)).await {
        Ok(Ok(response)) => {
            let (head, body) = response.into_parts();
            Ok((head, body, connection, sent))
        }
        Ok(Err(mut error)) => {
            let unsent = error.take_message().is_some();
            let cause = error.error().to_string();
            tracing::debug!(endpoint = %target.name, unsent, cause, "sending");
            silent();
            Err(if unsent { Fate::NotSent } else { Fate::Lost })
        }
        Err(_) => {
            target.sign(Sign::Stall, context.clock.now());
            Err(Fate::Lost)
        }
    }
}

/// The request as the endpoint gets it.
fn request(
    context: &Context,
    asked: &Asked,
    chosen: &Chosen,
    after: Option<u64>,
) -> Request<Full<Bytes>> {
    let path = asked.head.uri.path_and_query().map_or("/", |path| path.as_str());
    let mut request = Request::new(Full::new(asked.body.clone()));
    *request.method_mut() = asked.head.method.clone();
    *request.uri_mut() = path.parse().unwrap_or_default();
    *request.headers_mut() = asked.head.headers.clone();
    let sending = Sending {
        endpoint: &chosen.target.name,
        version: chosen.version,
        left: asked.end.saturating_duration_since(Instant::now()),
        team: asked.team.as_ref(),
        priority: asked.priority,
        after: after.or(asked.call.after),
    };
    context.dialect.address(request.headers_mut(), &sending);
    request
}

/// An endpoint has refused a request without running it.
async fn refused(
    context: &Context,
    asked: &Asked,
    chosen: &Chosen,
    head: &response::Parts,
    body: Incoming,
    connection: Connection,
) {
    chosen.target.rest(context.clock.now());
    tracing::info!(
        id = %asked.call.id,
        endpoint = %chosen.target.name,
        status = head.status.as_u16(),
        "an endpoint refused a request"
    );
    if let Ok(Ok(_)) = timeout(REFUSAL, Limited::new(body, MOST_HELD).collect()).await {
        chosen.target.pool.keep(connection, keep_alive(&head.headers));
    }
}

/// How long the endpoint lets the connection rest, in whole seconds as it says.
fn keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let number = text.split(',').find_map(|part| {
        let part = part.trim();
        part.strip_prefix("timeout=").unwrap_or(part).parse().ok()
    });
    number.map(Duration::from_secs)
}

/// The head of an answer without what concerns the endpoint's connection.
fn passed_on(mut head: response::Parts) -> response::Parts {
    for name in ["connection", "keep-alive", "proxy-connection", "transfer-encoding", "upgrade"] {
        head.headers.remove(name);
    }
    head.version = http::Version::HTTP_11;
    head
}

/// The endpoint broke off or was silent for too long.
struct Silent;

/// What a stream brings next.
enum Part {
    /// Whole events.
    Events(Whole),
    /// The endpoint has ended it.
    End,
}

impl Live {
    /// Waits for the first whole event, or the end of a stream without any.
    async fn first(&mut self, until: Instant) -> Result<(), Silent> {
        match self.next(until).await? {
            Part::Events(events) => self.ready = Some(events),
            Part::End => self.ended = true,
        }
        Ok(())
    }

    async fn next(&mut self, until: Instant) -> Result<Part, Silent> {
        if let Some(events) = self.ready.take() {
            return Ok(Part::Events(events));
        }
        if self.ended {
            return Ok(Part::End);
        }
        loop {
            let frame = timeout_at(until, self.body.frame()).await.map_err(|_| Silent)?;
            let Some(frame) = frame else {
                return if self.splitter.is_torn() { Err(Silent) } else { Ok(Part::End) };
            };
            let Ok(data) = frame.map_err(|_| Silent)?.into_data() else { continue };
            if let Some(events) = self.splitter.push(&data).map_err(|_| Silent)? {
                return Ok(Part::Events(events));
            }
        }
    }

    /// Keeps the connection for other requests.
    fn finish(self) {
        let Self { sent, body, connection, keep, .. } = self;
        drop(body);
        sent.target.pool.keep(connection, keep);
    }
}

/// Passes a stream on to its caller.
struct Passing {
    context: Arc<Context>,
    asked: Asked,
    sends: Sends,
    record: Record,
    live: Option<Box<Live>>,
    // The last event that was passed on.
    last: Option<u64>,
    status: StatusCode,
}

/// Makes the answer to a caller out of a stream that has begun.
pub fn stream(
    context: &Arc<Context>,
    asked: Asked,
    mut sends: Sends,
    record: Record,
    head: response::Parts,
    live: Box<Live>,
) -> Response<Body> {
    let head = passed_on(head);
    // The send that runs counts as one that has run.
    sends.record(Fate::Lost);
    let last = asked.call.after;
    let passing = Passing {
        context: Arc::clone(context),
        asked,
        sends,
        record,
        live: Some(live),
        last,
        status: head.status,
    };
    let events = stream::unfold(Some(passing), |passing| async {
        let mut passing = passing?;
        match passing.next().await {
            Some(Ok(bytes)) => Some((Ok(Frame::data(bytes)), Some(passing))),
            Some(Err(error)) => Some((Err(error), None)),
            None => None,
        }
    });
    let body: Body = StreamBody::new(events).boxed_unsync();
    let mut response = Response::from_parts(head, body);
    // Another endpoint may go on with another length.
    response.headers_mut().remove(header::CONTENT_LENGTH);
    response
}

impl Passing {
    /// The next events for the caller; none at the end.
    async fn next(&mut self) -> Option<io::Result<Bytes>> {
        loop {
            let Some(live) = &mut self.live else {
                return Some(Err(self.break_off("no endpoint could go on")));
            };
            let until = (Instant::now() + SILENCE).min(self.asked.end);
            match live.next(until).await {
                Ok(Part::Events(events)) => {
                    if let (Some(last), Some(new)) = (self.last, events.last)
                        && new <= last
                    {
                        return Some(Err(self.break_off("events came twice")));
                    }
                    self.last = events.last.or(self.last);
                    return Some(Ok(events.bytes.into()));
                }
                Ok(Part::End) => {
                    if let Some(live) = self.live.take() {
                        live.finish();
                    }
                    self.record.answered(self.status);
                    return None;
                }
                Err(Silent) => {
                    if Instant::now() >= self.asked.end {
                        return Some(Err(self.break_off("no time is left")));
                    }
                    self.resume().await;
                }
            }
        }
    }

    fn break_off(&mut self, why: &'static str) -> io::Error {
        self.live = None;
        self.record.broken(why);
        io::Error::other(why)
    }

    /// Has another endpoint go on after the last whole event.
    async fn resume(&mut self) {
        let Some(live) = self.live.take() else { return };
        live.sent.target.sign(Sign::Silence, self.context.clock.now());
        self.record.failed_send(&live.sent.target.name, Fate::Lost);
        drop(live);
        // Without a number there is nothing to go on after.
        let Some(last) = self.last else { return };
        loop {
            let resumable = self.asked.route.kind.repeatable();
            let time_left = Instant::now() < self.asked.end;
            let next = self.sends.history.next(resumable, self.asked.route.attempts, time_left);
            if next != Next::Retry || !self.context.spend_repeat(&self.asked.service) {
                return;
            }
            let Ok(chosen) = self.sends.choose(&self.context, &self.asked, &mut self.record) else {
                return;
            };
            self.sends.tried.push(chosen.target.name.clone());
            match self.go_on(&chosen, last).await {
                Ok(live) => {
                    self.sends.record(Fate::Lost);
                    self.record.resumed();
                    self.live = Some(live);
                    return;
                }
                Err(fate) => {
                    self.record.failed_send(&chosen.target.name, fate);
                    self.sends.record(fate);
                }
            }
        }
    }

    async fn go_on(&self, chosen: &Chosen, last: u64) -> Result<Box<Live>, Fate> {
        let until = begins_until(&self.context, &self.asked, chosen, SILENCE);
        let (head, body, connection, sent) =
            send(&self.context, &self.asked, chosen, Some(last), until).await?;
        let answer = self.context.dialect.answer(&head);
        if answer.request.as_ref() != Some(&self.asked.call.id) {
            return Err(Fate::Lost);
        }
        if answer.not_run {
            refused(&self.context, &self.asked, chosen, &head, body, connection).await;
            return Err(Fate::Refused);
        }
        if !head.status.is_success() || !answer.signed {
            return Err(Fate::Failed);
        }
        let keep = keep_alive(&head.headers);
        sent.target.tracking().load.begun(sent.number);
        Ok(Box::new(Live {
            sent,
            body,
            connection,
            keep,
            splitter: Splitter::default(),
            ready: None,
            ended: false,
        }))
    }
}
