//! How chunk requests to peers affect the state of an instance's link.
//!
//! Guards against links being reported as congested, which keeps gateways from sending requests
//! to the old version, when peers do not hold the awaited chunks because the origin is
//! unavailable.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::routing::get;
use cinderspoke::agent::cache::Cache;
use cinderspoke::agent::peers::{self, Uploader};
use cinderspoke::agent::transfer::{Context, Members, collect};
use cinderspoke::util::pacer::Pacer;
use cinderspoke_types::size;
use http::StatusCode;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::silent_peer::{context, manifest, member};

/// How long the transfer runs: longer than an awaited chunk request takes to time out.
const TRANSFER_TIME: Duration = Duration::from_millis(2500);

/// When a late refusal is sent: after the requested wait and the time of a slow link, and before
/// the request times out.
const LATE: Duration = Duration::from_millis(1500);

async fn serve(app: Router) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(axum::serve(listener, app).into_future());
    address
}

/// Runs a transfer whose origin is unavailable and whose only peer is in another availability
/// zone, and returns whether the instance's link is then considered congested.
async fn is_link_congested(peer: SocketAddr) -> bool {
    let own = member("e0", SocketAddr::from(([127, 0, 0, 1], 9)));
    let mut other = member("e1", peer);
    (other.zone, other.region) = ("b".parse().unwrap(), "b".parse().unwrap());
    let members = Members { own, peers: vec![other], origin_weight: 0.5 };
    let (_sender, members) = watch::channel(members);
    let context: Arc<Context> = Arc::new(context());
    let transfer = tokio::spawn(collect(Arc::clone(&context), manifest(), members));
    sleep(TRANSFER_TIME).await;
    transfer.abort();
    context.link.lock().unwrap().is_congested(context.clock.now())
}

#[tokio::test]
async fn a_peer_without_the_chunk_does_not_mark_the_link_congested() {
    let cache = Arc::new(Cache::new(size::Bytes::new(1 << 20)));
    cache.add_version(&manifest());
    let pacer = Arc::new(Pacer::new(None));
    let uploader = Uploader::new(cache, pacer, 2, Duration::from_millis(400));
    assert!(!is_link_congested(serve(peers::app(Arc::new(uploader))).await).await);
}

#[tokio::test]
async fn a_refused_connection_does_not_mark_the_link_congested() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    assert!(!is_link_congested(address).await);
}

#[tokio::test]
async fn a_peer_that_never_responds_marks_the_link_congested() {
    let never_respond = || async { std::future::pending::<()>().await };
    let app = Router::new().route("/v1/chunks/{digest}", get(never_respond));
    assert!(is_link_congested(serve(app).await).await);
}

#[tokio::test]
async fn a_refusal_that_arrives_late_marks_the_link_congested() {
    let refuse_late = || async {
        sleep(LATE).await;
        StatusCode::NOT_FOUND
    };
    let app = Router::new().route("/v1/chunks/{digest}", get(refuse_late));
    assert!(is_link_congested(serve(app).await).await);
}
