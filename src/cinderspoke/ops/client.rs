//! A client for the administration API.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Result;
use cinderspoke_schema::control::{
    ApplyReply, ApplyRequest, AuditReport, ConfigurationReport, Problem, StatusReport,
};
use displaydoc::Display;
use http::Method;

use crate::util::http::{Call, Client, Error};

/// Timeout for a change.
const APPLY_TIMEOUT: Duration = Duration::from_secs(60);

/// Why a change was not accepted, or why its outcome is unknown.
#[derive(Debug, Display)]
pub enum ApplyError {
    /// {title}
    Problem {
        /// The title of the problem.
        title: String,
        /// The problem that the entry instance reported.
        problem: Box<Problem>,
    },
    /// {0}
    Failed(Error),
}

impl std::error::Error for ApplyError {}

/// A client for the administration API of an entry instance.
#[derive(Debug, Clone)]
pub struct Admin {
    client: Client,
    address: SocketAddr,
}

impl Admin {
    /// Creates a client for the administration API at an address.
    #[must_use]
    pub fn new(client: Client, address: SocketAddr) -> Self {
        Self { client, address }
    }

    /// Returns the configuration in force.
    ///
    /// # Errors
    ///
    /// If the call fails.
    pub async fn configuration(&self) -> Result<ConfigurationReport> {
        Ok(self.client.fetch_json(Call::get(self.address, "/v1/configuration")).await?)
    }

    /// Applies a set of files atomically.
    ///
    /// # Errors
    ///
    /// If the change is refused, or if the call fails.
    pub async fn apply(&self, request: &ApplyRequest) -> Result<ApplyReply, ApplyError> {
        let call = Call::new(Method::POST, self.address, "/v1/apply");
        let answer = self.client.fetch_json(call.json(request).timeout(APPLY_TIMEOUT)).await;
        answer.map_err(|error| match &error {
            Error::Status(_, _, body, _) => match serde_json::from_str::<Problem>(body) {
                Ok(problem) => {
                    ApplyError::Problem { title: problem.title.clone(), problem: Box::new(problem) }
                }
                Err(_) => ApplyError::Failed(error),
            },
            _ => ApplyError::Failed(error),
        })
    }

    /// Returns the status report.
    ///
    /// # Errors
    ///
    /// If the call fails.
    pub async fn status(&self) -> Result<StatusReport> {
        Ok(self.client.fetch_json(Call::get(self.address, "/v1/status")).await?)
    }

    /// Returns the audit trail.
    ///
    /// # Errors
    ///
    /// If the call fails.
    pub async fn audit(&self) -> Result<AuditReport> {
        Ok(self.client.fetch_json(Call::get(self.address, "/v1/audit")).await?)
    }
}
