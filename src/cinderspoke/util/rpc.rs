//! JSON-RPC over HTTP between the system's own processes.

use std::borrow::Cow;
use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Context, Result, anyhow};
use cinderspoke_schema::control::{Heartbeat, HeartbeatReply, RelayQuery, RelayState};
use http::Method;
use jsonrpsee::core::traits::ToRpcParams;
use jsonrpsee::rpc_params;
use jsonrpsee::types::{Id, Request, Response, ResponsePayload};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::util::http::{Call, Client as HttpClient};

/// The method by which agents send heartbeats.
pub const HEARTBEAT: &str = "heartbeat";

/// The method by which entry instances query each other's state.
pub const RELAY: &str = "relay";

/// The HTTP path of the RPC server.
pub const PATH: &str = "/rpc";

/// Timeout for a call.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Upper bound on the size of a message, in bytes.
pub const MAX_MESSAGE: usize = 64 << 20;

/// A client for the RPC server of an entry instance.
#[derive(Debug)]
pub struct Client {
    client: HttpClient,
    address: SocketAddr,
}

impl Client {
    /// Creates a client for the entry instance with this control address.
    #[must_use]
    pub fn new(client: HttpClient, address: SocketAddr) -> Self {
        Self { client, address }
    }

    /// Sends a heartbeat and returns the reply, which contains the orders for this instance.
    ///
    /// # Errors
    ///
    /// If the call fails or its answer is an error.
    pub async fn heartbeat(&self, heartbeat: &Heartbeat) -> Result<HeartbeatReply> {
        self.call(HEARTBEAT, heartbeat).await
    }

    /// Queries the state of the entry instance.
    ///
    /// # Errors
    ///
    /// If the call fails or its answer is an error.
    pub async fn relay(&self, query: &RelayQuery) -> Result<RelayState> {
        self.call(RELAY, query).await
    }

    async fn call<P: Serialize, R: DeserializeOwned + Clone>(
        &self,
        method: &str,
        params: &P,
    ) -> Result<R> {
        let params = rpc_params![params].to_rpc_params()?;
        let request = Request::owned(method.into(), params, Id::Number(0));
        let call = Call::new(Method::POST, self.address, PATH).json(&request);
        let answer = self.client.fetch(call.limit(MAX_MESSAGE).timeout(TIMEOUT)).await?;
        let response: Response<'_, R> =
            serde_json::from_slice(&answer).context("parsing an answer")?;
        match response.payload {
            ResponsePayload::Success(result) => Ok(Cow::into_owned(result)),
            ResponsePayload::Error(error) => Err(anyhow!("{error}")),
        }
    }
}
