//! Callers who together ask for more than engines can do, with requests of all sizes. Who is
//! refused comes back once, when it is told to.

use std::sync::Arc;
use std::time::Duration;

use cinderspoke_stand_ins::request::Size;
use cinderspoke_test_support::oracle::attempt::{End, Kind};
use cinderspoke_test_support::oracle::size::Caller;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use tokio::time::sleep;

use super::caller::{self, Connection, Ended, Shared, Wanted, open};

/// The route of these requests.
pub(crate) const ROUTE: &str = "/model-sized/";

/// The end of their path: engines take their time by the prompt.
pub(crate) const PACE: &str = "sized";

/// Tokens of a usual prompt, and of the longest.
pub(crate) const USUAL_PROMPT: u32 = 1000;
const LONGEST_PROMPT: f64 = 4000.0;

/// The most tokens of an answer.
const ANSWER: u32 = 60;

/// How many callers there are for each engine.
pub(crate) const CALLERS: u64 = 40;

/// Milliseconds between two requests of a caller.
const BETWEEN: std::ops::Range<u64> = 50..600;

/// The most attempts at a request.
const ATTEMPTS: u32 = 2;

/// Sends requests until it is dropped.
pub(crate) async fn run(shared: Arc<Shared>, mut random: ChaCha8Rng) {
    let mut kept = None;
    loop {
        sleep(Duration::from_millis(random.random_range(BETWEEN))).await;
        let prompt = prompt(&mut random);
        if let Some(fate) = ask(&shared, &mut kept, prompt, &mut random).await {
            let (is_served, is_broken_off) = (fate == Fate::Served, fate == Fate::BrokenOff);
            shared.oracle.sized(Caller { prompt, is_served, is_broken_off });
        }
    }
}

/// What became of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fate {
    Served,
    Unserved,
    /// A fault ended its connection.
    BrokenOff,
}

/// Asks until it is answered or has been refused too often; none where it could not be sent.
async fn ask(
    shared: &Shared,
    kept: &mut Option<(usize, Connection)>,
    prompt: u32,
    random: &mut ChaCha8Rng,
) -> Option<Fate> {
    for _ in 0..ATTEMPTS {
        if kept.as_ref().is_none_or(|(_, connection)| connection.is_closed()) {
            *kept = open(shared, random).await;
        }
        let (gateway, connection) = kept.as_mut()?;
        let wanted = Wanted {
            route: ROUTE.to_owned(),
            kind: Kind::Resumable,
            key: "key-0".to_owned(),
            pace: PACE,
            size: Size { prompt, max_answer: ANSWER },
            leaves: None,
        };
        let Some(Ended { end, come_back }) =
            caller::send(shared, *gateway, connection, wanted).await
        else {
            *kept = None;
            return None;
        };
        match end {
            End::Answered { status: 200, .. } => return Some(Fate::Served),
            End::Answered { .. } => sleep(come_back.unwrap_or_default()).await,
            End::Cut | End::Silent | End::Left => {
                *kept = None;
                return Some(Fate::BrokenOff);
            }
        }
    }
    Some(Fate::Unserved)
}

/// The tokens of a prompt: many are short and few are long, with a deviation as large as the mean.
fn prompt(random: &mut ChaCha8Rng) -> u32 {
    let radius = (-2.0 * random.random_range(1e-12..1.0_f64).ln()).sqrt();
    let normal = radius * (std::f64::consts::TAU * random.random_range(0.0..1.0_f64)).cos();
    let variance = std::f64::consts::LN_2;
    let exponent = f64::from(USUAL_PROMPT).ln() - variance / 2.0 + variance.sqrt() * normal;
    exponent.exp().clamp(1.0, LONGEST_PROMPT) as u32
}
