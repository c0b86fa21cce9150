//! The stand-in of the origin of weights.

use std::collections::HashMap;
use std::net::SocketAddr;

use anyhow::Result;
use axum::extract::Query;
use axum::routing::get;
use axum::{Json, Router};
use bytes::Bytes;
use cinderspoke_stand_ins::engine;
use cinderspoke_stand_ins::origin::{CHUNK, LISTING, VERSION, listing as told};
use cinderspoke_test_support::address;
use http::StatusCode;
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

/// Starts the origin; gives its address.
pub(crate) async fn spawn() -> Result<SocketAddr> {
    let address = address::free()?;
    let listener = TcpListener::bind(address).await?;
    let app = Router::new()
        .route(&format!("{LISTING}/{{model}}"), get(listing))
        .route(&format!("{CHUNK}/{{model}}"), get(piece));
    tokio::spawn(async move { axum::serve(listener, app).await });
    Ok(address)
}

async fn listing(Query(query): Query<HashMap<String, u64>>) -> Result<Json<Value>, StatusCode> {
    let version = *query.get(VERSION).ok_or(StatusCode::GONE)?;
    let digest = |number| {
        let digest = Sha256::digest(chunk(version, number));
        digest.iter().map(|byte| format!("{byte:02x}")).collect::<String>()
    };
    let digests: Vec<_> = (0..CHUNKS).map(digest).collect();
    Ok(Json(told(super::engine::MODEL, version, CHUNK_BYTES, &digests)))
}

async fn piece(Query(query): Query<HashMap<String, u64>>) -> Result<Bytes, StatusCode> {
    let version = *query.get(VERSION).ok_or(StatusCode::GONE)?;
    let number = *query.get(engine::CHUNK).ok_or(StatusCode::BAD_REQUEST)?;
    Ok(chunk(version, number as usize))
}
