//! What the platform asks of those that call it too often.
//!
//! The interface says that 429 names the seconds after which to come back; callers came
//! back after one second, whatever it named, and so were turned away again.

use std::net::SocketAddr;
use std::time::Duration;

use axum::Router;
use axum::http::StatusCode;
use cinderspoke::ports::http::Platform;
use cinderspoke::ports::{Error, ObjectStore};
use cinderspoke::util::http::Client;
use cinderspoke_test_support::address;
use tokio::net::TcpListener;

/// A platform that turns all calls away, and names a time.
async fn full(retry_after: &'static str) -> SocketAddr {
    let address = address::free().unwrap();
    let refuse =
        move || async move { (StatusCode::TOO_MANY_REQUESTS, [("retry-after", retry_after)]) };
    let listener = TcpListener::bind(address).await.unwrap();
    let app = Router::new().fallback(refuse);
    tokio::spawn(async move { axum::serve(listener, app).await.unwrap() });
    address
}

#[yare::parameterized(
    seconds = { "7", Duration::from_secs(7) },
    a_fraction = { "0.25", Duration::from_millis(250) },
    none_that_can_be_read = { "Wed, 21 Oct 2015 07:28:00 GMT", Duration::from_secs(1) },
    for_ever = { "1e300", Duration::from_secs(86_400) },
)]
#[test_macro(tokio::test)]
async fn calls_that_come_too_often_are_made_again_when_the_platform_says(
    named: &'static str,
    expected: Duration,
) {
    let platform = Platform::new(Client::new(), full(named).await);
    let Err(Error::RateLimited(after)) = platform.read("key").await else {
        panic!("it is turned away")
    };
    assert_eq!(after, expected);
}
