//! `cinderspoke apply`: applies a set of files atomically.

use std::path::Path;
use std::time::Duration;

use anyhow::Result;
use cinderspoke_core::configuration::Configuration;
use cinderspoke_schema::control::{ApplyRequest, Problem};
use cinderspoke_types::counter::Generation;
use cinderspoke_types::id::{Author, Operation};

use super::client::{Admin, ApplyError};
use super::{Console, Exit, Report, files, findings, status};

/// The arguments of a change, besides its files.
#[derive(Debug, Clone)]
pub struct Change {
    /// The generation on which the files are based.
    pub base: Generation,
    /// The author of the change.
    pub author: Author,
    /// The name of the operation; a change with the same name takes effect at most once.
    pub operation: Operation,
    /// How long to wait until all replicas are live; `None` to return at once.
    pub wait: Option<Duration>,
}

/// Applies the files of a directory.
///
/// # Errors
///
/// If the files cannot be read, or if not all replicas are live within the time to wait.
pub async fn apply(
    directory: &Path,
    admin: &Admin,
    change: Change,
    console: Console,
) -> Result<Report> {
    let files = files::read(directory)?;
    if let Err(found) = Configuration::check(&files) {
        return findings(&found, files.len());
    }
    let Change { base, author, operation, wait } = change;
    let request = ApplyRequest { operation: operation.clone(), author, base, files };
    let generation = match admin.apply(&request).await {
        Ok(reply) => reply.generation,
        Err(ApplyError::Problem { problem, .. }) => return refused(&problem, &operation),
        Err(ApplyError::Failed(error)) => return not_known(&operation, &error.to_string()),
    };
    if let Some(limit) = wait {
        status::wait(admin, generation, limit, console).await?;
    }
    let value = serde_json::json!({ "generation": generation, "operation": operation });
    Report::new(format!("generation {generation} accepted"), &value, Exit::Done)
}

fn refused(problem: &Problem, operation: &Operation) -> Result<Report> {
    let exit = match problem.type_.as_str() {
        "findings" => return findings(&problem.findings, 0),
        "conflict" => Exit::Conflict,
        "unknown" => return not_known(operation, &problem.title),
        _ => Exit::Failed,
    };
    let detail = problem.detail.as_deref().unwrap_or_default();
    Report::new(format!("refused: {}\n{detail}", problem.title), problem, exit)
}

fn not_known(operation: &Operation, reason: &str) -> Result<Report> {
    let text = format!(
        "not known whether the change was accepted: {reason}\n\
         ask again with --operation {operation}: it takes effect at most once"
    );
    let value = serde_json::json!({ "operation": operation, "reason": reason });
    Report::new(text, &value, Exit::Unknown)
}
