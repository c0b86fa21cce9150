//! Carrying out an operator's change.

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

/// How often a write whose answer was lost is looked into.
const ATTEMPTS: u32 = 5;

/// How long to wait before looking again.
const PAUSE: Duration = Duration::from_millis(200);

/// How many former roots, and how many refused changes, are kept.
const KEPT: u64 = 1000;

/// Why a change was not accepted, or is not known to be.
#[derive(Debug, Display)]
pub enum Refusal {
    /// the files have findings
    Findings(Vec<Finding>),
    /// generation {current} is in force, not the one that the change is based on
    Conflict {
        /// The generation in force.
        current: Generation,
        /// What changed beneath the operator, a line each.
        changes: Vec<String>,
    },
    /// the platform refused, so nothing was changed: {0}
    NotChanged(Error),
    /// the platform stopped answering, so it is not known whether the change was accepted; ask again with the same operation: {0}
    Unknown(Error),
}

/// Puts files in force as a whole, and keeps a record of the attempt.
///
/// # Errors
///
/// When the change was refused, or what became of it cannot be learned.
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
            Ok(Step::Again) => None,
            Err(error @ Error::Refused(_)) => return Err(Refusal::NotChanged(error)),
            Err(error) => Some(error),
        };
        if let (Some(error), true) = (failed, attempt >= ATTEMPTS) {
            return Err(if swapping {
                Refusal::Unknown(error)
            } else {
                Refusal::NotChanged(error)
            });
        }
        tokio::time::sleep(PAUSE).await;
    }
}

async fn write_parts(store: &dyn ObjectStore, request: &ApplyRequest) -> Result<(), Error> {
    for part in &request.files {
        let key = object::part(part_digest(&part.text));
        match store.write(&key, part.text.clone(), Expect::Absent).await {
            // The key is the content's digest, so what is there is the same.
            Ok(_) | Err(Error::Conflict) => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

enum Step {
    Accepted(Generation),
    Conflict(Generation),
    /// The root changed between reading and writing it: read it again.
    Again,
}

/// Writes the files, reads the root and swaps it, if it is the one that the change is based on.
///
/// Sets `swapping` once a swap was sent, since from then on it may have taken effect.
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
        keep(store, root).await?;
    }
    let expect = read.map_or(Expect::Absent, |object| Expect::Revision(object.revision));
    let value = serde_json::to_string(&next).unwrap_or_default();
    *swapping = true;
    match store.write(object::ROOT, value, expect).await {
        Ok(_) => Ok(Step::Accepted(next.generation)),
        Err(Error::Conflict) => Ok(Step::Again),
        Err(error) => Err(error),
    }
}

/// Keeps the record of an accepted change, before the root is swapped away.
async fn keep(store: &dyn ObjectStore, root: &Root) -> Result<(), Error> {
    let value = serde_json::to_string(root).unwrap_or_default();
    match store.write(&object::history(root.generation), value, Expect::Absent).await {
        Ok(_) | Err(Error::Conflict) => {}
        Err(error) => return Err(error),
    }
    if let Some(oldest) = root.generation.as_u64().checked_sub(KEPT) {
        store.remove(&object::history(Generation::new(oldest))).await?;
    }
    Ok(())
}

/// A conflict, unless the change was accepted and others have followed since.
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

/// What changed since a generation, a line each; `None` when that cannot be told.
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
        // Whether it was accepted shows in the roots that are kept.
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
        tracing::warn!(%error, "keeping the record of a refused change");
    }
}

/// The audit trail, newest first: accepted changes and refused ones.
///
/// # Errors
///
/// When the platform does not answer.
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
