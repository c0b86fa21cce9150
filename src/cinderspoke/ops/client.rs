//! The administration API, as operators' programs call it.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Result;
use cinderspoke_schema::control::{
    ApplyReply, ApplyRequest, AuditReport, ConfigurationReport, Problem, StatusReport,
};
use displaydoc::Display;
use http::Method;

use crate::util::http::{Call, Client, Error};

/// How long an entry instance may take to carry out a change.
const APPLY_TIMEOUT: Duration = Duration::from_secs(60);

/// A change that was refused.
#[derive(Debug, Display)]
pub enum ApplyError {
    /// {title}
    Problem {
        /// What is wrong.
        title: String,
        /// The whole problem.
        problem: Box<Problem>,
    },
    /// {0}
    Failed(Error),
}

impl std::error::Error for ApplyError {}

/// The administration API of an entry instance.
#[derive(Debug, Clone)]
pub struct Admin {
    client: Client,
    address: SocketAddr,
}

impl Admin {
    /// The administration API at an address.
    #[must_use]
    pub fn new(client: Client, address: SocketAddr) -> Self {
        Self { client, address }
    }

    /// The configuration in force.
    ///
    /// # Errors
    ///
    /// When no answer came.
    pub async fn configuration(&self) -> Result<ConfigurationReport> {
        Ok(self.client.fetch_json(Call::get(self.address, "/v1/configuration")).await?)
    }

    /// Puts files in force as a whole.
    ///
    /// # Errors
    ///
    /// When the change was refused, or no answer came.
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

    /// What runs, what moves and what is not in force yet.
    ///
    /// # Errors
    ///
    /// When no answer came.
    pub async fn status(&self) -> Result<StatusReport> {
        Ok(self.client.fetch_json(Call::get(self.address, "/v1/status")).await?)
    }

    /// The audit trail.
    ///
    /// # Errors
    ///
    /// When no answer came.
    pub async fn audit(&self) -> Result<AuditReport> {
        Ok(self.client.fetch_json(Call::get(self.address, "/v1/audit")).await?)
    }
}
