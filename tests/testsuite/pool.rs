//! A gateway's connections to an endpoint.

use std::io::ErrorKind;

use bytes::Bytes;
use cinderspoke::gateway::pool::{Checkout, Pool};
use http::Request;
use http_body_util::Full;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::time::Instant;

#[tokio::test]
async fn the_connection_of_an_abandoned_request_is_reset() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let pool = Pool::new(listener.local_addr().unwrap());
    let (connection, accepted) = tokio::join!(pool.checkout(), listener.accept());
    let (Checkout { mut connection, .. }, (mut endpoint, _)) =
        (connection.unwrap(), accepted.unwrap());
    let request = Request::builder().uri("/").body(Full::new(Bytes::new())).unwrap();
    let answer = connection.try_send_request(request);
    let mut read = [0; 1024];
    let sent = tokio::select! {
        _ = answer => panic!("nothing answers"),
        sent = endpoint.read(&mut read) => sent.unwrap(),
    };
    assert!(sent > 0);
    // Dropping the connection abandons its request.
    drop(connection);
    let end = endpoint.read(&mut read).await;
    assert_eq!(end.map_err(|error| error.kind()), Err(ErrorKind::ConnectionReset));
}

// An endpoint may crash just after it accepted a connection. The old result said then that the
// endpoint had not crashed, so that the crash was not counted.
#[tokio::test]
async fn an_accepted_connection_does_not_deny_a_later_crash() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let pool = Pool::new(listener.local_addr().unwrap());
    assert_eq!(pool.refuses_connections(Instant::now()).await, Some(false));
    drop(listener);
    assert_eq!(pool.refuses_connections(Instant::now()).await, Some(true));
}

#[tokio::test]
async fn connections_that_end_before_a_check_share_it() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let pool = Pool::new(listener.local_addr().unwrap());
    let ended = Instant::now();
    for _ in 0..3 {
        assert_eq!(pool.refuses_connections(ended).await, Some(false));
    }
    listener.accept().await.unwrap();
    let second = futures::future::FutureExt::now_or_never(listener.accept());
    assert!(second.is_none(), "one connection is enough");
}
