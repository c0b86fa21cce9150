//! The operators' configuration, and the settings of programs.

use std::net::SocketAddr;
use std::time::Duration;

use cinderspoke_test_support::address::shared_port;
use cinderspoke_test_support::oracle::attempt::Kind;
use cinderspoke_test_support::oracle::judge::Bounds;
use serde_json::{Value, json};

use super::caller::Offer;
use super::engine::{MODEL, WARM};
use super::origin::{CHUNK_BYTES, CHUNKS};

/// The service of plain endpoints.
pub(crate) const PLAIN: &str = "plain";

/// The service of model engines.
pub(crate) const ENGINES: &str = "engines";

/// How long callers wait for an answer, and the time of each route.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(5);

/// How long a program that is told to stop may take.
pub(crate) const GRACE: Duration = Duration::from_secs(8);

/// The platform's bounds, those of the deployments at hand.
pub(crate) const BOUNDS: Bounds = Bounds {
    contact: Duration::from_millis(3000),
    drain: Duration::from_millis(2000),
    version: Duration::from_millis(8000),
    apply: Duration::from_millis(2000),
    loss_slack: Duration::from_millis(200),
};

/// What is offered before anything changes.
pub(crate) fn offer(engines: bool) -> Offer {
    let plain = [
        ("/safe/", Kind::Safe),
        ("/once/", Kind::Unsafe),
        ("/go/", Kind::Resumable),
        ("/stop/", Kind::Stream),
    ];
    let models = [("/model/", Kind::Resumable), ("/model-once/", Kind::Stream)];
    let routes = plain.iter().chain(models.iter().filter(|_| engines));
    let routes: Vec<_> = routes.map(|(route, kind)| ((*route).to_owned(), *kind)).collect();
    Offer { usual: routes.len(), routes, keys: vec!["key-0".to_owned()], ..Offer::default() }
}

fn route((prefix, kind): &(String, Kind)) -> Value {
    let word = match kind {
        Kind::Safe => "safe",
        Kind::Unsafe => "unsafe",
        Kind::Resumable | Kind::Stream => "streaming",
    };
    let service = if prefix.starts_with("/model") { ENGINES } else { PLAIN };
    json!({
        "name": prefix, "host": "soak.example", "path_prefix": prefix, "kind": word,
        "timeout_ms": TIMEOUT.as_millis() as u64, "target_latency_ms": 4000, "priority": 1,
        "service": service, "max_attempts": 2, "public": false, "sticky": false,
        "resumable": *kind == Kind::Resumable,
    })
}

/// The configuration of a version, with what is in force.
pub(crate) fn declared(version: u64, offer: &Offer, origin: SocketAddr) -> Value {
    let routes: Vec<_> = offer.routes.iter().map(route).collect();
    let engine = json!({
        "slots": 16, "kv_capacity_tokens": 300_000, "step_ms": 5.0, "per_seq_ms": 0.1,
        "context_per_k": 0.1, "read_per_s": 20_000.0, "pairs_per_m": 0.1, "chunk": 512,
        "stride": 1, "usual": { "prompt": 100, "answer": 60 }, "layers": 4,
        "models": [{ "name": MODEL, "warm_s": WARM.as_secs_f64() }],
        "chunks": CHUNKS, "chunk_bytes": CHUNK_BYTES,
    });
    json!({
        "version": version, "routes": routes,
        "services": [
            { "name": PLAIN, "health_path": "/healthz", "max_connections": 100 },
            { "name": ENGINES, "health_path": "/healthz", "max_connections": 100, "engine": engine },
            { "name": "weights", "origin": origin, "link_mbps": 100.0, "max_connections": 8 },
        ],
        "limits": {
            "max_header_bytes": 16384, "max_body_bytes": 10_000,
            "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
        },
        "tenants": [{ "name": "team", "api_keys": offer.keys }],
    })
}

/// The settings of a program, but for what makes it a gateway or an agent.
pub(crate) fn settings(
    name: &str,
    own: SocketAddr,
    store: SocketAddr,
    seeds: &[SocketAddr],
) -> Value {
    json!({
        "instance": name, "zone": "zone-1", "region": "region-1", "address": own.ip(),
        "store": store, "seeds": seeds, "heartbeat_ms": 1200, "first_start": true,
        "regions": { "zone-1": "region-1" },
        "ports": { "first": shared_port(), "last": shared_port() },
        "limits": { "link_mbps": 1000.0, "descriptors": 4000, "memory_mb": 260 },
        "bounds": {
            "drain_ms": BOUNDS.drain.as_millis() as u64,
            "grace_s": GRACE.as_secs_f64(),
            "config_apply_ms": BOUNDS.apply.as_millis() as u64,
            "rollback_slack_ms": 250, "max_skew_ms": 5000,
            "contact_ms": BOUNDS.contact.as_millis() as u64,
            "retry_budget_ratio": 0.2, "budget_window_s": 10.0, "budget_slack": 100.0,
            "version_ms": BOUNDS.version.as_millis() as u64,
            "pass_ms": 120, "loss_slack_ms": BOUNDS.loss_slack.as_millis() as u64,
        },
        "log": { "format": "json", "filter": "info" },
    })
}
