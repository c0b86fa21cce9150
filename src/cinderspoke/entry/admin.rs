//! The administration API for operators, with the endpoints for metrics and health checks.
//!
//! | call | answer |
//! |---|---|
//! | `POST /v1/check` | a check report |
//! | `POST /v1/apply` | the accepted generation, or a problem |
//! | `GET /v1/configuration` | the configuration in force |
//! | `GET /v1/status` | a status report |
//! | `GET /v1/audit` | the audit trail |
//! | `GET /metrics` | metrics for scraping |
//! | `GET /healthz`, `GET /readyz` | 200, or 503 with the reason |

use std::sync::Arc;

use axum::extract::{DefaultBodyLimit, State};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use cinderspoke_core::configuration::Configuration;
use cinderspoke_schema::control::{
    ApplyReply, ApplyRequest, AuditReport, CheckReport, CheckRequest, ConfigurationReport, Problem,
    StatusReport,
};
use http::StatusCode;
use metrics_exporter_prometheus::PrometheusHandle;
use tokio_util::sync::CancellationToken;

use super::apply::{self, Refusal};
use super::control::Handle;
use super::status;
use crate::ports::ObjectStore;

/// Limit on the size of a request body, which holds a set of files, in bytes.
const MAX_BODY: usize = 64 << 20;

/// The shared state of the request handlers.
#[derive(Clone)]
pub struct Context {
    /// Handle of the control task.
    pub control: Handle,
    /// The platform's object API.
    pub store: Arc<dyn ObjectStore>,
    /// Cancelled when the process begins to shut down; `/readyz` then fails.
    pub draining: CancellationToken,
    /// The metrics recorder; `None` if metrics are not collected.
    pub metrics: Option<PrometheusHandle>,
}

/// Builds the router of the administration API.
pub fn app(context: Context) -> Router {
    Router::new()
        .route("/v1/check", post(check))
        .route("/v1/apply", post(apply))
        .route("/v1/configuration", get(configuration))
        .route("/v1/status", get(report))
        .route("/v1/audit", get(audit))
        .route("/metrics", get(scrape))
        .route("/healthz", get(|| async { "ok" }))
        .route("/readyz", get(ready))
        .layer(DefaultBodyLimit::max(MAX_BODY))
        .with_state(context)
}

async fn check(Json(request): Json<CheckRequest>) -> Json<CheckReport> {
    let findings = Configuration::check(&request.files).err().unwrap_or_default();
    Json(CheckReport { findings })
}

async fn apply(State(context): State<Context>, Json(request): Json<ApplyRequest>) -> Response {
    match apply::apply(context.store.as_ref(), &request).await {
        Ok(generation) => Json(ApplyReply { generation }).into_response(),
        Err(refusal) => problem(refusal).into_response(),
    }
}

fn problem(refusal: Refusal) -> (StatusCode, Json<Problem>) {
    let title = refusal.to_string();
    let (status, kind, detail, findings) = match refusal {
        Refusal::Findings(findings) => {
            (StatusCode::UNPROCESSABLE_ENTITY, "findings", None, findings)
        }
        Refusal::Conflict { changes, .. } => {
            (StatusCode::CONFLICT, "conflict", Some(changes.join("\n")), Vec::new())
        }
        Refusal::NotChanged(_) => {
            (StatusCode::SERVICE_UNAVAILABLE, "not-changed", None, Vec::new())
        }
        Refusal::Unknown(_) => (StatusCode::GATEWAY_TIMEOUT, "unknown", None, Vec::new()),
    };
    let status_number = u32::from(status.as_u16());
    (status, Json(Problem { type_: kind.into(), title, status: status_number, detail, findings }))
}

async fn configuration(State(context): State<Context>) -> Json<ConfigurationReport> {
    let view = context.control.view();
    Json(ConfigurationReport {
        generation: view.generation(),
        root: view.active.as_ref().map(|active| active.root.clone()),
        files: view.active.as_ref().map(|active| active.parts.clone()).unwrap_or_default(),
    })
}

async fn report(State(context): State<Context>) -> Json<StatusReport> {
    Json(status::report(&context.control.view()))
}

async fn audit(State(context): State<Context>) -> Response {
    match apply::audit(context.store.as_ref()).await {
        Ok(records) => Json(AuditReport { records }).into_response(),
        Err(error) => problem(Refusal::NotChanged(error)).into_response(),
    }
}

async fn scrape(State(context): State<Context>) -> String {
    context.metrics.map(|metrics| metrics.render()).unwrap_or_default()
}

async fn ready(State(context): State<Context>) -> (StatusCode, &'static str) {
    if context.draining.is_cancelled() {
        return (StatusCode::SERVICE_UNAVAILABLE, "stopping");
    }
    match context.control.view().active {
        Some(_) => (StatusCode::OK, "ready"),
        None => (StatusCode::SERVICE_UNAVAILABLE, "no configuration is known yet"),
    }
}
