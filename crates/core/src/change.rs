//! Changes of the configuration, by an atomic swap of one root object.
//!
//! A change is accepted when a conditional write swaps the root. If the response
//! to that write is lost, reading the root shows whether it took effect, since
//! the root names the operation that wrote it.

use cinderspoke_schema::control::{ApplyRequest, Part, PartReference, Root};
use cinderspoke_types::counter::Generation;

use crate::configuration::part_digest;

/// The decision on a change, based on the current root.
#[derive(Debug, Clone, PartialEq)]
pub enum Verdict {
    /// The change is already accepted: the root names this operation.
    Accepted(Generation),
    /// The change can be attempted by writing this root.
    Swap(Root),
    /// The change is based on another generation than the current one.
    Conflict {
        /// The current generation.
        current: Generation,
    },
}

/// Decides on a change, given the root as it was read and the time in milliseconds since the Unix
/// epoch.
#[must_use]
pub fn decide(request: &ApplyRequest, root: Option<&Root>, at_ms: u64) -> Verdict {
    let current = root.map(|root| root.generation).unwrap_or_default();
    match root {
        Some(root) if root.operation == request.operation => Verdict::Accepted(root.generation),
        _ if current != request.base => Verdict::Conflict { current },
        _ => Verdict::Swap(next_root(request, current, at_ms)),
    }
}

fn next_root(request: &ApplyRequest, current: Generation, at_ms: u64) -> Root {
    Root {
        generation: current.next(),
        operation: request.operation.clone(),
        author: request.author.clone(),
        base: request.base,
        at_ms,
        parts: references(&request.files),
    }
}

/// References to the files by their digests, ordered by name.
#[must_use]
pub fn references(files: &[Part]) -> Vec<PartReference> {
    let reference =
        |part: &Part| PartReference { name: part.name.clone(), digest: part_digest(&part.text) };
    let mut references: Vec<_> = files.iter().map(reference).collect();
    references.sort_by(|left, right| left.name.cmp(&right.name));
    references
}
