//! Applies an operator's change to the configuration and records it in the audit trail.
//!
//! A change writes its files under their digests, saves the current root in the history, and then
//! replaces the root with a conditional write. The conditional write is what puts it in force.

use std::time::Duration;

use anyhow::Result;
use cinderspoke_core::change::{self, Verdict};
use cinderspoke_core::configuration::{Configuration, part_digest};
use cinderspoke_core::object::{self, Expect, Object};
use cinderspoke_schema::control::{ApplyRequest, Audit, Finding, Outcome, Root};
use cinderspoke_types::counter::Generation;
use displaydoc::Display;

use crate::ports::{Error, ObjectStore};
use crate::util::clock::unix_ms;

/// Number of attempts after which a read or write that fails is not retried. A write whose reply
/// was lost is checked by the next attempt.
const MAX_ATTEMPTS: u32 = 5;

/// Delay between two attempts.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Number of former roots kept in the history.
const MAX_HISTORY: u64 = 1000;

/// Why a change was not accepted, or why its outcome is unknown.
#[derive(Debug, Display)]
pub enum Refusal {
    /// the files have findings
    Findings(Vec<Finding>),
    /// generation {current} is in force, not the one that the change is based on
    Conflict {
        /// The generation in force.
        current: Generation,
        /// The changes since the base generation, one line each.
        changes: Vec<String>,
    },
    /// the platform refused, so nothing was changed: {0}
    NotChanged(Error),
    /// the platform stopped answering, so it is not known whether the change was accepted; ask again with the same operation: {0}
    Unknown(Error),
}

/// Applies all files of a request atomically, and records the change if it is refused.
///
/// # Errors
///
/// If the change is refused, or if its outcome cannot be determined.
pub async fn apply(store: &dyn ObjectStore, request: &ApplyRequest) -> Result<Generation, Refusal> {
    let result = try_apply(store, request).await;
    match &result {
        Ok(generation) => {
            tracing::info!(
                operation = %request.operation, author = %request.author, base = %request.base,
                %generation, "change accepted"
            );
        }
        Err(refusal) => {
            tracing::warn!(
                operation = %request.operation, author = %request.author, base = %request.base,
                reason = %refusal, "change refused"
            );
            record_refusal(store, request, refusal).await;
        }
    }
    result
}

async fn try_apply(store: &dyn ObjectStore, request: &ApplyRequest) -> Result<Generation, Refusal> {
    Configuration::check(&request.files).map_err(Refusal::Findings)?;
    let mut swapping = false;
    let mut attempt = 0;
    loop {
        attempt += 1;
        let failed = match step(store, request, &mut swapping).await {
            Ok(Step::Accepted(generation)) => return Ok(generation),
            Ok(Step::Conflict(current)) => return conflict(store, request, current).await,
            Ok(Step::Retry) => None,
            Err(error @ Error::Refused(_)) => return Err(Refusal::NotChanged(error)),
            Err(error) => Some(error),
        };
        if let (Some(error), true) = (failed, attempt >= MAX_ATTEMPTS) {
            return Err(if swapping {
                Refusal::Unknown(error)
            } else {
                Refusal::NotChanged(error)
            });
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

async fn write_parts(store: &dyn ObjectStore, request: &ApplyRequest) -> Result<(), Error> {
    for part in &request.files {
        let key = object::part(part_digest(&part.text));
        match store.write(&key, part.text.clone(), Expect::Absent).await {
            // The key is the digest of the content, so an existing object is identical.
            Ok(_) | Err(Error::Conflict) => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

/// The result of one attempt at a change.
enum Step {
    Accepted(Generation),
    Conflict(Generation),
    /// The root changed between the read and the write; the attempt has to be repeated.
    Retry,
}

/// Writes the files and replaces the root if its generation is the base of the change.
///
/// Sets `swapping` before it sends the replacement of the root, which may take effect even if the
/// reply is lost.
async fn step(
    store: &dyn ObjectStore,
    request: &ApplyRequest,
    swapping: &mut bool,
) -> Result<Step, Error> {
    write_parts(store, request).await?;
    let read = store.read(object::ROOT).await?;
    let root = read.as_ref().and_then(parse);
    let next = match change::decide(request, root.as_ref(), unix_ms()) {
        Verdict::Accepted(generation) => return Ok(Step::Accepted(generation)),
        Verdict::Conflict { current } => return Ok(Step::Conflict(current)),
        Verdict::Swap(next) => next,
    };
    if let Some(root) = &root {
        save_history(store, root).await?;
    }
    let expect = read.map_or(Expect::Absent, |object| Expect::Revision(object.revision));
    let value = serde_json::to_string(&next).unwrap_or_default();
    *swapping = true;
    match store.write(object::ROOT, value, expect).await {
        Ok(_) => Ok(Step::Accepted(next.generation)),
        Err(Error::Conflict) => Ok(Step::Retry),
        Err(error) => Err(error),
    }
}

/// Saves the current root in the history before it is replaced, and removes the oldest entry.
async fn save_history(store: &dyn ObjectStore, root: &Root) -> Result<(), Error> {
    let value = serde_json::to_string(root).unwrap_or_default();
    match store.write(&object::history(root.generation), value, Expect::Absent).await {
        Ok(_) | Err(Error::Conflict) => {}
        Err(error) => return Err(error),
    }
    if let Some(oldest) = root.generation.as_u64().checked_sub(MAX_HISTORY) {
        store.remove(&object::history(Generation::new(oldest))).await?;
    }
    Ok(())
}

/// Returns a conflict, unless the history shows that this operation was accepted and that later
/// changes have replaced it.
async fn conflict(
    store: &dyn ObjectStore,
    request: &ApplyRequest,
    current: Generation,
) -> Result<Generation, Refusal> {
    let successor = read_root(store, &object::history(request.base.next())).await;
    if let Some(successor) = successor.filter(|root| root.operation == request.operation) {
        return Ok(successor.generation);
    }
    let changes = changes_since(store, request.base).await.unwrap_or_default();
    Err(Refusal::Conflict { current, changes })
}

/// Returns the changes since a generation, one line each; `None` if an object that is needed
/// cannot be read.
async fn changes_since(store: &dyn ObjectStore, base: Generation) -> Option<Vec<String>> {
    let current = read_root(store, object::ROOT).await?;
    let after = configuration(store, &current).await?;
    let before = read_root(store, &object::history(base)).await?;
    let before = configuration(store, &before).await?;
    let changes = cinderspoke_core::configuration::changes(&before, &after);
    Some(changes.iter().map(ToString::to_string).collect())
}

async fn configuration(store: &dyn ObjectStore, root: &Root) -> Option<Configuration> {
    let mut files = Vec::new();
    for reference in &root.parts {
        let text = store.read(&object::part(reference.digest)).await.ok()??.value?;
        files.push(cinderspoke_schema::control::Part { name: reference.name.clone(), text });
    }
    Configuration::check(&files).ok()
}

async fn read_root(store: &dyn ObjectStore, key: &str) -> Option<Root> {
    store.read(key).await.ok()?.as_ref().and_then(parse)
}

fn parse(object: &Object) -> Option<Root> {
    serde_json::from_str(object.value.as_ref()?).ok()
}

async fn record_refusal(store: &dyn ObjectStore, request: &ApplyRequest, refusal: &Refusal) {
    let outcome = match refusal {
        Refusal::Conflict { .. } => Outcome::Conflict,
        Refusal::Findings(_) | Refusal::NotChanged(_) => Outcome::Refused,
        // If it was accepted, the history of roots shows it.
        Refusal::Unknown(_) => return,
    };
    let at_ms = unix_ms();
    let record = Audit {
        operation: request.operation.clone(),
        author: request.author.clone(),
        at_ms,
        base: request.base,
        outcome,
        detail: refusal.to_string(),
        generation: None,
    };
    let value = serde_json::to_string(&record).unwrap_or_default();
    let key = object::refused(at_ms, &request.operation);
    if let Err(error) = store.write(&key, value, Expect::Any).await {
        tracing::warn!(%error, "failed to record a refused change");
    }
}

/// Returns the audit trail of accepted and refused changes, newest first.
///
/// # Errors
///
/// If the platform does not answer.
pub async fn audit(store: &dyn ObjectStore) -> Result<Vec<Audit>, Error> {
    let mut records = Vec::new();
    let history = store.list(object::HISTORY).await?.objects;
    let current = store.read(object::ROOT).await?;
    let mut roots: Vec<_> = history.iter().chain(&current).filter_map(parse).collect();
    roots.sort_by_key(|root| root.generation);
    roots.dedup_by_key(|root| root.generation);
    records.extend(roots.into_iter().map(accepted));
    let refused = store.list(object::REFUSED).await?.objects;
    let refused =
        refused.iter().filter_map(|object| serde_json::from_str(object.value.as_ref()?).ok());
    records.extend(refused);
    records.sort_by_key(|record| std::cmp::Reverse((record.at_ms, record.generation)));
    Ok(records)
}

/// Converts the root of an accepted change into its audit record.
fn accepted(root: Root) -> Audit {
    Audit {
        operation: root.operation,
        author: root.author,
        at_ms: root.at_ms,
        base: root.base,
        outcome: Outcome::Accepted,
        detail: format!("{} files", root.parts.len()),
        generation: Some(root.generation),
    }
}
