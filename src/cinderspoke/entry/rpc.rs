//! The JSON-RPC server for agents and for other entry instances.

use std::time::Duration;

use anyhow::Result;
use axum::Router;
use axum::extract::{DefaultBodyLimit, State};
use axum::routing::post;
use cinderspoke_core::coordinator::Event;
use cinderspoke_schema::control::{Heartbeat, HeartbeatReply, RelayQuery, RelayState};
use http::StatusCode;
use jsonrpsee::RpcModule;
use jsonrpsee::types::ErrorObjectOwned;
use tokio::time::timeout;

use super::control::Handle;
use crate::util::rpc::{HEARTBEAT, MAX_MESSAGE, PATH, RELAY};

/// How long the answer to a heartbeat is held while there are no updates; shorter than an agent's
/// timeout for the call.
const MAX_HOLD: Duration = Duration::from_millis(1500);

/// The JSON-RPC error code of a process that is stopping.
const STOPPING: i32 = -32_000;

/// Builds the router for agents and other entry instances.
///
/// # Errors
///
/// If a method is registered twice.
pub fn app(control: Handle) -> Result<Router> {
    let module = module(control)?;
    let limit = DefaultBodyLimit::max(MAX_MESSAGE);
    Ok(Router::new().route(PATH, post(answer)).layer(limit).with_state(module))
}

async fn answer(
    State(module): State<RpcModule<Handle>>,
    request: String,
) -> Result<String, StatusCode> {
    let answer = module.raw_json_request(&request, 1).await;
    let (answer, _) = answer.map_err(|_| StatusCode::BAD_REQUEST)?;
    Ok(answer.get().to_owned())
}

fn module(control: Handle) -> Result<RpcModule<Handle>> {
    let mut module = RpcModule::new(control);
    module.register_async_method(HEARTBEAT, |params, control, _| async move {
        let heartbeat: Heartbeat = params.one()?;
        Ok::<HeartbeatReply, ErrorObjectOwned>(on_heartbeat(&control, heartbeat).await)
    })?;
    module.register_async_method(RELAY, |params, control, _| async move {
        let query: RelayQuery = params.one()?;
        let state: Option<RelayState> = control.relay(query).await;
        state.ok_or_else(|| ErrorObjectOwned::owned(STOPPING, "stopping", None::<()>))
    })?;
    Ok(module)
}

/// Records a heartbeat and answers as soon as there are updates for the agent (long polling).
///
/// Without updates the answer is held for at most [`MAX_HOLD`]. A later heartbeat of the agent
/// replaces one whose answer is held.
async fn on_heartbeat(control: &Handle, heartbeat: Heartbeat) -> HeartbeatReply {
    control.send(Event::Heartbeat(heartbeat.clone())).await;
    let mut published = control.published();
    let reply = async {
        loop {
            let view = control.view();
            if view.has_updates_for(&heartbeat) {
                return view.reply(&heartbeat);
            }
            published.changed().await;
        }
    };
    let reply = timeout(MAX_HOLD, reply).await;
    reply.unwrap_or_else(|_| control.view().reply(&heartbeat))
}
