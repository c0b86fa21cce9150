//! A request under which each endpoint ends that begins it, and which comes again and
//! again, at any gateway. It is no attempt of the oracle's: nobody misses its answer.

use std::sync::Arc;
use std::time::Duration;

use cinderspoke_stand_ins::request::{ModelRequest, Size, model_request};
use cinderspoke_test_support::oracle::fatal::Arrival;
use http::Request;
use http::header::HOST as HOST_HEADER;
use http_body_util::{BodyExt, Full};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use tokio::time::{sleep, timeout};

use super::caller::{Shared, open};
use super::configuration::{HOST, TIMEOUT};
use super::engine::MODEL;

/// Its body, always the same.
pub(crate) const BODY: &str = "a body that no endpoint outlives";

/// How long an endpoint works on it before it ends: what users' engines take.
pub(crate) const RUN: Duration = Duration::from_millis(90);

/// How long an endpoint is away after it.
pub(crate) const AWAY: Duration = Duration::from_secs(3);

/// Milliseconds between two attempts.
const BETWEEN: std::ops::Range<u64> = 100..900;

/// What begins the id of an attempt; a gateway's number and one of its own follow.
const ID: &str = "fatal";

/// Sends it until it is dropped, on a connection of its own each time.
pub(crate) async fn run(shared: Arc<Shared>, mut random: ChaCha8Rng) {
    for number in 0_u64.. {
        sleep(Duration::from_millis(random.random_range(BETWEEN))).await;
        let Some((gateway, mut connection)) = open(&shared, &mut random).await else { continue };
        let id = id(ID, gateway, shared.oracle.now(), number);
        let head = Request::post("/safe/quick").header(HOST_HEADER, HOST);
        let key = "key-0";
        let (size, parts) = (Size::SMALL, &[]);
        let asked = ModelRequest { id: &id, timeout: TIMEOUT, key, model: MODEL, size, parts };
        let request = model_request(head, &asked).body(Full::from(BODY));
        let Ok(request) = request else { return };
        let exchange = async {
            let answer = connection.send_request(request).await.ok()?;
            answer.into_body().collect().await.ok()
        };
        // Whatever comes of it.
        _ = timeout(TIMEOUT, exchange).await;
    }
}

/// The id of an attempt, by which its arrivals are known.
pub(crate) fn id(kind: &str, gateway: usize, sent: Duration, number: u64) -> String {
    format!("{kind}-{gateway}-{}-{number}", sent.as_millis())
}

/// Which gateway an attempt was sent to, and when; none for any other request.
pub(crate) fn arrival(id: &str, came: Duration) -> Option<Arrival> {
    read_id(ID, id, came)
}

/// The same of requests with ids of a kind.
pub(crate) fn read_id(kind: &str, id: &str, came: Duration) -> Option<Arrival> {
    let mut parts = id.strip_prefix(kind)?.split('-').skip(1);
    let gateway = parts.next()?.parse().ok()?;
    let sent = Duration::from_millis(parts.next()?.parse().ok()?);
    Some(Arrival { gateway, sent, came })
}
