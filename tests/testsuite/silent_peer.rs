//! A transfer whose connection for a peer's holdings has stopped responding, while new
//! connections to the peer work.

use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use async_trait::async_trait;
use axum::extract::Request;
use axum::middleware::{Next, from_fn};
use bytes::Bytes;
use cinderspoke::agent::cache::Cache;
use cinderspoke::agent::fetch::Timeouts;
use cinderspoke::agent::finding::Findings;
use cinderspoke::agent::peers::{self, Uploader};
use cinderspoke::agent::transfer::{Context, Members, collect};
use cinderspoke::util::clock::Clock;
use cinderspoke::util::pacer::Pacer;
use cinderspoke_core::manifest::{Algorithm, Manifest};
use cinderspoke_core::transfer::Policy;
use cinderspoke_ports::client::Client;
use cinderspoke_ports::{Error, Origin};
use cinderspoke_schema::control::Peer;
use cinderspoke_types::digest::Digest;
use cinderspoke_types::size;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

const CHUNKS: usize = 24;

/// The time after which a transfer waits for changes of its peer's holdings.
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// Timeout for fetching a version whose chunks are all held by a peer: the time that an outdated
/// version may still answer in the deployments that allow the least.
const FETCH_TIMEOUT: Duration = Duration::from_millis(8000);

/// An origin that is unavailable.
struct UnavailableOrigin;

#[async_trait]
impl Origin for UnavailableOrigin {
    async fn read(&self, _: Digest, _: Range<u64>) -> Result<Bytes, Error> {
        Err(Error::Unavailable("the origin is unavailable".into()))
    }
}

fn chunk(number: usize) -> Bytes {
    Bytes::from(vec![number as u8; 64])
}

pub(crate) fn manifest() -> Manifest {
    let digests = (0..CHUNKS).map(|number| Algorithm::Sha256.chunk(&chunk(number)));
    Manifest::from_chunk_digests(size::Bytes::new(64), digests.collect())
}

pub(crate) fn member(name: &str, address: SocketAddr) -> Peer {
    Peer {
        instance: name.parse().unwrap(),
        zone: "a".parse().unwrap(),
        region: "a".parse().unwrap(),
        address: address.to_string().parse().unwrap(),
    }
}

/// Starts a peer that does not answer the requests for its holdings with the given indices.
async fn peer(cache: &Arc<Cache>, unanswered: Range<usize>) -> SocketAddr {
    let pacer = Arc::new(Pacer::new(None));
    let uploader = Uploader::new(Arc::clone(cache), pacer, 2, Duration::from_millis(400));
    let calls = Arc::new(AtomicUsize::new(0));
    let app = peers::app(Arc::new(uploader)).layer(from_fn(move |request: Request, next: Next| {
        let (calls, unanswered) = (Arc::clone(&calls), unanswered.clone());
        async move {
            let is_holdings = request.uri().path().starts_with("/v1/holdings/");
            if is_holdings && unanswered.contains(&calls.fetch_add(1, Ordering::SeqCst)) {
                std::future::pending::<()>().await;
            }
            next.run(request).await
        }
    }));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(axum::serve(listener, app).into_future());
    address
}

pub(crate) fn context() -> Context {
    Context {
        cache: Arc::new(Cache::new(size::Bytes::new(1 << 20))),
        origin: Arc::new(UnavailableOrigin),
        client: Client::new(),
        pacer: Arc::new(Pacer::new(None)),
        policy: Policy::default(),
        link_rate: None,
        max_downloads: 6,
        max_origin_downloads: 1,
        origin_spacing: Duration::ZERO,
        source_backoff: Duration::from_millis(250),
        timeouts: Timeouts { chunk: Duration::from_millis(1000), wait: Duration::from_millis(700) },
        slow_chunk: None,
        link: Arc::default(),
        initial_holdings_wait: Duration::from_millis(40),
        clock: Clock::start(),
        began: None,
        findings: Findings::default(),
    }
}

/// Returns how long it takes to fetch chunks that a peer receives while the transfer runs.
async fn fetch_time(unanswered: Range<usize>) -> Duration {
    let (cache, manifest) = (Arc::new(Cache::new(size::Bytes::new(1 << 20))), manifest());
    cache.add_version(&manifest);
    cache.insert(Algorithm::Sha256.chunk(&chunk(0)), chunk(0));
    let address = peer(&cache, unanswered).await;
    let own = member("e0", SocketAddr::from(([127, 0, 0, 1], 9)));
    let members = Members { own, peers: vec![member("e1", address)], origin_weight: 0.5 };
    let (_sender, members) = watch::channel(members);
    let began = Instant::now();
    let transfer = tokio::spawn(collect(Arc::new(context()), manifest, members));
    sleep(SETTLE_TIME).await;
    (1..CHUNKS)
        .for_each(|number| cache.insert(Algorithm::Sha256.chunk(&chunk(number)), chunk(number)));
    let fetched = timeout(FETCH_TIMEOUT, transfer).await;
    assert!(fetched.is_ok(), "not fetched after {:?}", began.elapsed());
    began.elapsed()
}

#[tokio::test]
async fn chunks_that_a_peer_receives_are_fetched() {
    assert!(fetch_time(0..0).await < Duration::from_secs(3));
}

#[tokio::test]
async fn chunks_that_a_peer_receives_are_fetched_after_its_connection_stopped_responding() {
    fetch_time(1..2).await;
}

#[tokio::test]
async fn chunks_of_a_peer_are_fetched_although_its_first_connection_never_responded() {
    fetch_time(0..1).await;
}
