//! Cancellation of tasks when the process stops.

use tokio_util::sync::CancellationToken;

/// Runs a task until it ends or the token is cancelled.
pub async fn until(token: CancellationToken, task: impl Future<Output = ()>) {
    tokio::select! {
        biased;
        () = token.cancelled() => {}
        () = task => {}
    }
}
