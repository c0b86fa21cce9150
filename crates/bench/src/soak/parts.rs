//! The parts of prompts, and requests that have one in common under which each engine ends that
//! begins an answer. They are no attempts of the oracle's: nobody misses their answers.

use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use cinderspoke_stand_ins::request::{ModelRequest, Part, Size, model_request};
use cinderspoke_test_support::oracle::fatal::Arrival;
use http::Request;
use http::header::HOST as HOST_HEADER;
use http_body_util::{BodyExt, Full};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use super::caller::{self, Shared, open};
use super::configuration::{ENGINES_PREFIX, HOST, TIMEOUT};
use super::engine::MODEL;
use super::{fatal, framing};

/// The part under which engines end.
const CULPRIT: u64 = 0x5000_0000;

/// What the other parts begin with, by their place in the prompt.
const PLACES: [u64; 4] = [0x1000_0000, 0x2000_0000, 0x3000_0000, 0x4000_0000];

/// How many parts there are in the second and in the third place.
const KINDS: [u64; 2] = [40, 200];

/// The places that the culprit may have: the last part is each request's own.
const CULPRITS: Range<usize> = 0..3;

/// Routes of which requests may hold it.
const ROUTES: [&str; 2] = ["/model/", "/model-once/"];

/// The key that its requests share with most sound ones.
pub(crate) const KEY: &str = "key-0";

/// When the first request with it comes: sound ones have been served by then.
const FIRST: Duration = Duration::from_secs(5);

/// Milliseconds between two requests with it.
const BETWEEN: Range<u64> = 200..600;

/// Milliseconds for which they come, and for which none comes then.
const BURST: Range<u64> = 5000..12_000;
const LULL: Range<u64> = 2000..5000;

/// Milliseconds from the begin of an answer until its engine ends.
const LIFE: Range<u64> = 50..100;

/// How many events it writes before.
const EVENTS: Range<usize> = 0..3;

/// Milliseconds for which an engine is away then.
const AWAY: Range<u64> = 1500..4000;

/// What begins the ids of its requests.
const ID: &str = "part";

/// The parts of a sound request on a route, by the request's number: the first one is shared by
/// all of the route, and the others are shared by fewer and fewer.
pub(crate) fn sound(route: &str, number: u64, prompt: u32) -> Vec<Part> {
    if !route.starts_with(ENGINES_PREFIX) {
        return Vec::new();
    }
    let mut random = framing::drawn(number, route);
    // The cube makes some parts far more popular than others.
    let mut popular = |kinds| (random.random::<f64>().powi(3) * kinds as f64) as u64;
    let [second, third] = KINDS.map(&mut popular);
    let ids = [route.len() as u64, second, third, number];
    let tokens = prompt / PLACES.len() as u32;
    let part = |(place, id): (u64, u64)| Part { id: place + id, tokens };
    PLACES.into_iter().zip(ids).map(part).collect()
}

/// Whether a prompt holds the part under which engines end.
pub(crate) fn is_fatal(parts: &[Part]) -> bool {
    parts.iter().any(|part| part.id == CULPRIT)
}

/// How an engine ends under a request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Fate {
    pub(crate) life: Duration,
    pub(crate) events: usize,
    pub(crate) away: Duration,
}

impl Fate {
    /// The fate of an engine that begins to write an answer.
    pub(crate) fn draw(random: &mut ChaCha8Rng) -> Self {
        Self {
            life: Duration::from_millis(random.random_range(LIFE)),
            events: random.random_range(EVENTS),
            away: Duration::from_millis(random.random_range(AWAY)),
        }
    }
}

/// Where requests hold the part, and on which route.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Culprit {
    pub(crate) route: &'static str,
    pub(crate) place: usize,
}

impl Culprit {
    pub(crate) fn draw(random: &mut ChaCha8Rng) -> Self {
        let route = ROUTES[random.random_range(0..ROUTES.len())];
        Self { route, place: random.random_range(CULPRITS) }
    }

    fn request(self, id: &str, number: u64) -> http::Result<Request<Full<bytes::Bytes>>> {
        let size = Size::SMALL;
        let mut parts = sound(self.route, number, size.prompt);
        parts[self.place].id = CULPRIT;
        let asked =
            ModelRequest { id, timeout: TIMEOUT, key: KEY, model: MODEL, size, parts: &parts };
        let head = Request::post(format!("{}quick", self.route)).header(HOST_HEADER, HOST);
        model_request(head, &asked).body(Full::from(caller::body(id)))
    }
}

/// Sends requests with it until it is dropped, each on a connection of its own.
pub(crate) async fn run(shared: Arc<Shared>, culprit: Culprit, mut random: ChaCha8Rng) {
    let mut requests = JoinSet::new();
    let mut numbers = 0..;
    sleep(FIRST).await;
    loop {
        let until = shared.oracle.now() + Duration::from_millis(random.random_range(BURST));
        while shared.oracle.now() < until {
            sleep(Duration::from_millis(random.random_range(BETWEEN))).await;
            let Some((gateway, mut connection)) = open(&shared, &mut random).await else {
                continue;
            };
            let Some(number) = numbers.next() else { return };
            let id = fatal::id(ID, gateway, shared.oracle.now(), number);
            // Numbers of sound requests count up from one, so that these are others.
            let Ok(request) = culprit.request(&id, u64::MAX / 2 + number) else { return };
            shared.oracle.sent_part();
            requests.spawn(async move {
                let exchange = async {
                    let answer = connection.send_request(request).await.ok()?;
                    answer.into_body().collect().await.ok()
                };
                // Whatever comes of it.
                _ = timeout(TIMEOUT, exchange).await;
            });
            while requests.try_join_next().is_some() {}
        }
        sleep(Duration::from_millis(random.random_range(LULL))).await;
    }
}

/// Which gateway a request with it was sent to, and when; none for any other request.
pub(crate) fn arrival(id: &str, came: Duration) -> Option<Arrival> {
    fatal::read_id(ID, id, came)
}
