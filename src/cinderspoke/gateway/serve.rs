//! HTTP servers for callers, and for the platform's readiness checks and metrics.

use std::convert::Infallible;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use axum::Router;
use axum::routing::get;
use http::{Request, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use metrics_exporter_prometheus::PrometheusHandle;
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use super::context::{Context, OpenConnection};
use super::cut::Watch;
use super::forward;
use super::head::{AnswerBody, Progress, Stream};

/// hyper's own timeout between requests: never reached, since a connection has shorter ones of its
/// own. With it, hyper looks for the next request after each response.
const MAX_REST: Duration = Duration::from_secs(365 * 24 * 3600);

/// Delay after a failure to accept a connection, such as for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Time without a TCP acknowledgement after which a caller counts as disconnected.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(10);

/// Minimum size of the buffer for a request's head that hyper allows, in bytes.
const MIN_HEAD_BUFFER: usize = 8 << 10;

/// Accepts callers' connections until the token is cancelled.
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
                tracing::warn!(%error, "cannot accept a connection");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Serves the requests of one connection.
///
/// If no request has been received when connections are closed, the connection is kept for its
/// first request, which may be in flight. A stop waits for the connection only from that request
/// on, so that a connection without requests does not delay it.
async fn caller(stream: TcpStream, context: Arc<Context>) {
    let prepared = stream
        .set_nodelay(true)
        .and_then(|()| SockRef::from(&stream).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT)));
    if let Err(error) = prepared {
        tracing::debug!(%error, "caller's connection closed before it was served");
        return;
    }
    let limits = context.limits();
    let accepted_late = context.is_closing();
    let open = Arc::new(Mutex::new((!accepted_late).then(|| context.track_connection())));
    let requested = CancellationToken::new();
    let (answers, opened, first) = (Arc::clone(&context), Arc::clone(&open), requested.clone());
    let progress = Progress::default();
    let stream = Stream::new(stream, progress.clone(), Arc::clone(&context));
    let closing = progress.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        let (head, body) = request.into_parts();
        progress.start(answers.dialect.request_id(&head));
        let request = Request::from_parts(head, body);
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
        .header_read_timeout(MAX_REST)
        .max_buf_size((limits.header_bytes as usize).max(MIN_HEAD_BUFFER))
        // A connection accepted late in a stop serves one request: if it were closed unread, the
        // request would be lost.
        .keep_alive(!accepted_late)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    // Dropped before the connection.
    let mut watch = Watch::new(closing.clone());
    let serving = async {
        tokio::select! {
            ended = connection.as_mut() => ended,
            () = context.wait_closing(), if !accepted_late => {
                if !requested.is_cancelled() {
                    lock(&open).take();
                }
                tokio::select! {
                    biased;
                    () = requested.cancelled() => {
                        // Not hyper's own shutdown, which drops a head that has arrived in part.
                        closing.close();
                        connection.await
                    }
                    ended = connection.as_mut() => ended,
                }
            }
        }
    };
    tokio::select! {
        ended = serving => {
            watch.ended();
            if let Err(error) = ended {
                tracing::debug!(%error, "caller's connection failed");
            }
        }
        () = context.wait_ending() => watch.stopped(),
    }
}

/// Locks a connection's count among those that a stop waits for.
fn lock(open: &Mutex<Option<OpenConnection>>) -> MutexGuard<'_, Option<OpenConnection>> {
    open.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Serves a router until the token is cancelled.
pub async fn router(listener: TcpListener, app: Router, token: CancellationToken) {
    let served = axum::serve(listener, app).with_graceful_shutdown(token.cancelled_owned()).await;
    if let Err(error) = served {
        tracing::error!(%error, "listener failed");
    }
}

/// Returns the router for the platform: the readiness check and the metrics.
pub fn admin(context: Arc<Context>, metrics: Option<PrometheusHandle>) -> Router {
    let ready = move || async move {
        if context.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }
    };
    Router::new().route("/readyz", get(ready)).merge(metrics_router(metrics))
}

/// Returns the router for the process's metrics, which are empty if none are collected.
pub fn metrics_router(metrics: Option<PrometheusHandle>) -> Router {
    let scrape = || async move { metrics.map(|metrics| metrics.render()).unwrap_or_default() };
    Router::new().route("/metrics", get(scrape))
}
