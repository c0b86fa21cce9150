//! Structured logging to standard error or standard output.

use std::time::Duration;

use anyhow::Context;
use cinderspoke_schema::settings::{Log, LogFormat};
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::layer::{Layer, Layered, SubscriberExt};
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::{EnvFilter, Registry, fmt, reload};

/// The subscriber with the filter, below the layer that writes events.
type Filtered = Layered<reload::Layer<EnvFilter, Registry>, Registry>;

/// A handle to change which events are logged.
#[derive(Debug, Clone)]
pub struct Filter(reload::Handle<EnvFilter, Registry>);

impl Filter {
    /// Replaces the filter.
    ///
    /// # Errors
    ///
    /// If the filter cannot be parsed; the previous one then stays in force.
    pub fn set(&self, filter: &str) -> anyhow::Result<()> {
        Ok(self.0.reload(parse(filter)?)?)
    }
}

fn parse(filter: &str) -> anyhow::Result<EnvFilter> {
    EnvFilter::try_new(filter).with_context(|| format!("the log filter {filter:?}"))
}

/// Writes the process's log events to standard error in the format of the settings.
///
/// # Errors
///
/// If the filter cannot be parsed, or a global subscriber is already installed.
pub fn open(log: &Log) -> anyhow::Result<Filter> {
    let layer = fmt::layer().with_writer(std::io::stderr);
    let layer = match log.format {
        LogFormat::Text => layer.boxed(),
        LogFormat::Json => layer.json().flatten_event(true).boxed(),
    };
    install(log, layer)
}

/// Installs the filter and the layer as the global subscriber.
fn install(log: &Log, layer: Box<dyn Layer<Filtered> + Send + Sync>) -> anyhow::Result<Filter> {
    let (filter, handle) = reload::Layer::new(parse(&log.filter)?);
    tracing_subscriber::registry().with(filter).with(layer).try_init()?;
    Ok(Filter(handle))
}

/// Capacity of the buffer of lines to be written; further lines are dropped and counted.
const BUFFERED_LINES: usize = 4096;

/// Keeps the thread that writes log lines running. Dropping it writes the buffered lines.
pub struct Guard {
    _worker: WorkerGuard,
}

/// Writes the process's log events to standard output in the format of the settings, without
/// blocking the process when the reader is slow.
///
/// # Errors
///
/// If the filter cannot be parsed, or a global subscriber is already installed.
pub fn open_bounded(log: &Log) -> anyhow::Result<(Guard, Filter)> {
    let (writer, worker) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(BUFFERED_LINES)
        .finish(std::io::stdout());
    let dropped = writer.error_counter();
    let layer = fmt::layer().with_writer(writer);
    let layer = match log.format {
        LogFormat::Text => layer.boxed(),
        LogFormat::Json => layer.json().flatten_event(true).with_target(false).boxed(),
    };
    let filter = install(log, layer)?;
    tokio::spawn(count_dropped(dropped));
    Ok((Guard { _worker: worker }, filter))
}

/// Interval at which the number of dropped lines is checked.
const DROPPED_CHECK_INTERVAL: Duration = Duration::from_secs(10);

/// Logs the total number of dropped lines whenever it has grown.
async fn count_dropped(dropped: tracing_appender::non_blocking::ErrorCounter) {
    let mut logged = 0;
    loop {
        tokio::time::sleep(DROPPED_CHECK_INTERVAL).await;
        let lines = dropped.dropped_lines();
        if lines != logged {
            logged = lines;
            tracing::warn!(lines, "log lines were dropped");
        }
    }
}
