//! Listening: callers' connections, and what the platform asks.

use std::convert::Infallible;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use axum::Router;
use axum::routing::get;
use http::StatusCode;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use metrics_exporter_prometheus::PrometheusHandle;
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use super::context::{Context, OpenConnection};
use super::forward;
use super::head::{AnswerBody, Progress, Stream};

/// How much longer than callers let a connection rest it is kept.
const IDLE_MARGIN: Duration = Duration::from_secs(1);

/// How long to wait when no connection can be accepted, such as for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// After how long without an acknowledgement a caller is taken to be gone.
const UNACKNOWLEDGED: Duration = Duration::from_secs(10);

/// The smallest buffer that the library allows for a request's head.
const LEAST_HEAD: usize = 8 << 10;

/// Takes callers' connections until the token is cancelled.
pub async fn callers(listener: TcpListener, context: Arc<Context>, token: CancellationToken) {
    loop {
        let accepted = tokio::select! {
            biased;
            () = token.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                tokio::spawn(caller(stream, Arc::clone(&context)));
            }
            Err(error) => {
                tracing::warn!(%error, "a connection could not be accepted");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Answers the requests of one connection.
///
/// One on which no request has come when connections are closed is kept for its
/// first, which may be on its way: the library would take it for one at rest. A
/// stop waits for it only from that request on, so that one without any does not
/// hold it up.
async fn caller(stream: TcpStream, context: Arc<Context>) {
    let prepared = stream
        .set_nodelay(true)
        .and_then(|()| SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED)));
    if let Err(error) = prepared {
        tracing::debug!(%error, "a caller's connection has ended already");
        return;
    }
    let limits = context.limits();
    let late = context.is_closing();
    let waited_for = Arc::new(Mutex::new((!late).then(|| context.track_connection())));
    let asked = CancellationToken::new();
    let (answers, opened, first) = (Arc::clone(&context), Arc::clone(&waited_for), asked.clone());
    let progress = Progress::default();
    let stream = Stream::new(stream, progress.clone(), limits.header);
    let service = service_fn(move |request| {
        progress.start();
        let (context, progress) = (Arc::clone(&answers), progress.clone());
        lock(&opened).get_or_insert_with(|| context.track_connection());
        first.cancel();
        async move {
            let response = forward::handle(&context, request).await;
            Ok::<_, Infallible>(response.map(|body| AnswerBody::new(body, progress)))
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // Counts from the end of the last answer, so it bounds rest. Heads have less time.
        .header_read_timeout(limits.idle + IDLE_MARGIN)
        .max_buf_size((limits.header_bytes as usize).max(LEAST_HEAD))
        // A connection that still comes late in a stop is for one answer: closed
        // unread, its request would be lost.
        .keep_alive(!late)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = context.wait_closing(), if !late => {
            if !asked.is_cancelled() {
                lock(&waited_for).take();
            }
            tokio::select! {
                biased;
                () = asked.cancelled() => {
                    connection.as_mut().graceful_shutdown();
                    connection.await
                }
                ended = connection.as_mut() => ended,
            }
        }
    };
    if let Err(error) = ended {
        tracing::debug!(%error, "a caller's connection broke off");
    }
}

/// A connection's place among those that a stop waits for.
fn lock(waited_for: &Mutex<Option<OpenConnection>>) -> MutexGuard<'_, Option<OpenConnection>> {
    waited_for.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Serves a router until the token is cancelled.
pub async fn router(listener: TcpListener, app: Router, token: CancellationToken) {
    let served = axum::serve(listener, app).with_graceful_shutdown(token.cancelled_owned()).await;
    if let Err(error) = served {
        tracing::error!(%error, "a listener ended");
    }
}

/// What the platform asks: whether the gateway is ready, and its metrics.
pub fn admin(context: Arc<Context>, metrics: Option<PrometheusHandle>) -> Router {
    let ready = move || async move {
        if context.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }
    };
    Router::new().route("/readyz", get(ready)).merge(metrics_router(metrics))
}

/// The process's metrics, where they are collected.
pub fn metrics_router(metrics: Option<PrometheusHandle>) -> Router {
    let scrape = || async move { metrics.map(|metrics| metrics.render()).unwrap_or_default() };
    Router::new().route("/metrics", get(scrape))
}
