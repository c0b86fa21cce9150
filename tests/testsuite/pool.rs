//! A gateway's connections to an endpoint.

use std::io::ErrorKind;

use bytes::Bytes;
use cinderspoke::gateway::pool::{Checkout, Pool};
use http::Request;
use http_body_util::Full;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

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
