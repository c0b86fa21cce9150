//! Structured logs.

use std::time::Duration;

use cinderspoke_schema::settings::{Log, LogFormat};
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

/// Sends the process's log events to standard error, as its settings say.
///
/// # Errors
///
/// When the filter cannot be read, or logs already go somewhere.
pub fn open(log: &Log) -> anyhow::Result<()> {
    let filter = EnvFilter::try_new(&log.filter)?;
    let builder = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
    let opened = match log.format {
        LogFormat::Text => builder.try_init(),
        LogFormat::Json => builder.json().flatten_event(true).try_init(),
    };
    opened.map_err(|error| anyhow::anyhow!("{error}"))
}

/// Lines that may wait to be written; more are dropped and counted.
const WAITING_LINES: usize = 4096;

/// Keeps lines going to standard output until it is dropped.
pub struct Guard {
    _worker: WorkerGuard,
}

/// Sends the process's log events to standard output as JSON lines, without
/// ever waiting for whoever reads them.
///
/// # Errors
///
/// When the filter cannot be read, or logs already go somewhere.
pub fn open_bounded(log: &Log) -> anyhow::Result<Guard> {
    let filter = EnvFilter::try_new(&log.filter)?;
    let (writer, worker) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(WAITING_LINES)
        .finish(std::io::stdout());
    let dropped = writer.error_counter();
    let builder = tracing_subscriber::fmt().with_env_filter(filter).with_writer(writer);
    let opened = match log.format {
        LogFormat::Text => builder.try_init(),
        LogFormat::Json => builder.json().flatten_event(true).with_target(false).try_init(),
    };
    opened.map_err(|error| anyhow::anyhow!("{error}"))?;
    tokio::spawn(count_dropped(dropped));
    Ok(Guard { _worker: worker })
}

/// How often lines that were dropped are counted.
const COUNT: Duration = Duration::from_secs(10);

/// Tells from time to time how many lines were dropped.
async fn count_dropped(dropped: tracing_appender::non_blocking::ErrorCounter) {
    let mut told = 0;
    loop {
        tokio::time::sleep(COUNT).await;
        let lines = dropped.dropped_lines();
        if lines != told {
            told = lines;
            tracing::warn!(lines, "log lines were dropped");
        }
    }
}
