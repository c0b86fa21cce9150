//! The stand-in of the origin of weights. It spoils some of the first listings of each version.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use anyhow::Result;
use axum::extract::{Query, State};
use axum::routing::get;
use axum::{Json, Router};
use bytes::Bytes;
use cinderspoke_stand_ins::engine;
use cinderspoke_stand_ins::origin::{CHUNK, LISTING, VERSION, listing as told};
use cinderspoke_test_support::address;
use http::StatusCode;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
use sha2::{Digest, Sha256};
use tokio::net::TcpListener;

/// How many chunks a version has.
pub(crate) const CHUNKS: usize = 16;

/// How many bytes a chunk has.
pub(crate) const CHUNK_BYTES: usize = 16 << 10;

/// A chunk: different for each version and number.
pub(crate) fn chunk(version: u64, number: usize) -> Bytes {
    let seed = format!("{version}/{number};");
    seed.bytes().cycle().take(CHUNK_BYTES).collect()
}

/// How many of the first listings of a version may be spoilt.
const SPOILT: u64 = 3;

/// How likely each of them is.
const SPOILT_SHARE: f64 = 0.6;

/// What the origin has given.
#[derive(Debug, Default)]
struct Given {
    seed: u64,
    // The number of listings, by version.
    listings: Mutex<HashMap<u64, u64>>,
}

/// Starts the origin; gives its address. The seed lays out which listings it spoils.
pub(crate) async fn spawn(seed: u64) -> Result<SocketAddr> {
    let address = address::free()?;
    let listener = TcpListener::bind(address).await?;
    let given = Arc::new(Given { seed, ..Given::default() });
    let app = Router::new()
        .route(&format!("{LISTING}/{{model}}"), get(listing))
        .route(&format!("{CHUNK}/{{model}}"), get(piece))
        .with_state(given);
    tokio::spawn(async move { axum::serve(listener, app).await });
    Ok(address)
}

fn digests(version: u64) -> Vec<String> {
    let digest = |number| {
        let digest = Sha256::digest(chunk(version, number));
        digest.iter().map(|byte| format!("{byte:02x}")).collect::<String>()
    };
    (0..CHUNKS).map(digest).collect()
}

/// Spoils the listing of a version that is the next but `number`, or leaves it as it is. Most
/// spoilt listings of a version are spoilt in the same way.
fn spoil(seed: u64, version: u64, number: u64, digests: &mut Vec<String>) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ version << 32);
    let (shared, count) = (rng.random_range(0..5), rng.random_range(1..CHUNKS));
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ version << 32 ^ (number + 1) << 16);
    if number >= SPOILT || !rng.random_bool(SPOILT_SHARE) {
        return;
    }
    let way = if rng.random_bool(0.7) { shared } else { rng.random_range(0..5) };
    match way {
        0 => digests.truncate(CHUNKS - count),
        1 => {
            let before = self::digests(version.saturating_sub(1));
            digests[count..].clone_from_slice(&before[count..]);
        }
        2 => digests[0] = digests[count].clone(),
        3 => digests.swap(0, count),
        _ => {
            let digit = if digests[count].starts_with('0') { "1" } else { "0" };
            digests[count].replace_range(..1, digit);
        }
    }
}

async fn listing(
    State(given): State<Arc<Given>>,
    Query(query): Query<HashMap<String, u64>>,
) -> Result<Json<Value>, StatusCode> {
    let version = *query.get(VERSION).ok_or(StatusCode::GONE)?;
    let number = {
        let mut listings = given.listings.lock().unwrap_or_else(PoisonError::into_inner);
        let count = listings.entry(version).or_default();
        *count += 1;
        *count - 1
    };
    let mut digests = digests(version);
    spoil(given.seed, version, number, &mut digests);
    Ok(Json(told(super::engine::MODEL, version, CHUNK_BYTES, &digests)))
}

async fn piece(Query(query): Query<HashMap<String, u64>>) -> Result<Bytes, StatusCode> {
    let version = *query.get(VERSION).ok_or(StatusCode::GONE)?;
    let number = *query.get(engine::CHUNK).ok_or(StatusCode::BAD_REQUEST)?;
    Ok(chunk(version, number as usize))
}
