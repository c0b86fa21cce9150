//! The retry delay of rate-limited calls to the platform.
//!
//! Guards against retries that always come after one second: by its interface, an answer of 429
//! names the seconds after which to retry, and callers that ignored them were refused again.

use std::net::SocketAddr;
use std::time::Duration;

use axum::Router;
use axum::http::StatusCode;
use cinderspoke::ports::http::Platform;
use cinderspoke::ports::{Error, ObjectStore};
use cinderspoke::util::http::Client;
use cinderspoke_test_support::address;
use tokio::net::TcpListener;

/// Starts a platform that refuses all calls with 429 and a retry delay.
async fn overloaded(retry_after: &'static str) -> SocketAddr {
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
    unreadable = { "Wed, 21 Oct 2015 07:28:00 GMT", Duration::from_secs(1) },
    beyond_the_maximum = { "1e300", Duration::from_secs(86_400) },
)]
#[test_macro(tokio::test)]
async fn rate_limited_calls_are_retried_after_the_delay_that_the_platform_names(
    named: &'static str,
    expected: Duration,
) {
    let platform = Platform::new(Client::new(), overloaded(named).await);
    let Err(Error::RateLimited(after)) = platform.read("key").await else {
        panic!("the call is not rate-limited")
    };
    assert_eq!(after, expected);
}
