//! The plain service's stand-in: it answers with what it was sent, and counts.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use anyhow::Result;
use axum::Router;
use axum::extract::State;
use axum::routing::get;
use cinderspoke_types::id;
use http::{Method, Uri};
use tokio::time::sleep;

use crate::node::{Ground, Machine, Server};

/// The answer to a call.
#[must_use]
pub fn answer(service: &id::Service, method: &str, path: &str, body: &str) -> String {
    format!("{service} {method} {path} {body}")
}

#[derive(Debug)]
struct Shared {
    service: id::Service,
    delay: Duration,
    runs: Mutex<BTreeMap<String, u32>>,
}

/// The plain service's stand-in.
#[derive(Debug)]
pub struct Service {
    /// The listener.
    pub server: Server,
    shared: Arc<Shared>,
}

impl Service {
    /// Starts a service whose calls take so long.
    ///
    /// # Errors
    ///
    /// When it cannot listen.
    pub async fn spawn(
        ground: &Ground,
        machine: Machine,
        service: id::Service,
        delay: Duration,
    ) -> Result<Self> {
        let shared = Arc::new(Shared { service, delay, runs: Mutex::default() });
        let app = Router::new()
            .route("/healthz", get(|| async { "ok" }))
            .fallback(run)
            .with_state(Arc::clone(&shared));
        let server = Server::spawn(ground, machine, app).await?;
        Ok(Self { server, shared })
    }

    /// How often a call with each body was run.
    #[must_use]
    pub fn runs(&self) -> BTreeMap<String, u32> {
        self.shared.runs.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

async fn run(State(shared): State<Arc<Shared>>, method: Method, uri: Uri, body: String) -> String {
    {
        let mut runs = shared.runs.lock().unwrap_or_else(PoisonError::into_inner);
        *runs.entry(body.clone()).or_default() += 1;
    }
    sleep(shared.delay).await;
    answer(&shared.service, method.as_str(), uri.path(), &body)
}
