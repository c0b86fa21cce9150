//! Unix signals that the process handles.
//!
//! A signal without a handler ends the process and all its requests. The handlers are therefore
//! installed before the settings are read and any request can arrive. A signal that arrives before
//! a task waits for it stays pending.

use tokio::signal::unix::{Signal, SignalKind, signal};

/// The signals that the process handles.
#[derive(Debug)]
pub struct Signals {
    /// Requests a reload of the settings.
    pub reload: Reload,
    /// Requests a shutdown.
    pub stop: Stop,
}

/// SIGHUP: reload the settings.
#[derive(Debug)]
pub struct Reload(Signal);

/// SIGTERM and SIGINT: shut down.
#[derive(Debug)]
pub struct Stop {
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    /// Installs the handlers. Must be called within a Tokio runtime.
    ///
    /// # Errors
    ///
    /// If a handler cannot be installed.
    pub fn open() -> std::io::Result<Self> {
        let reload = Reload(signal(SignalKind::hangup())?);
        let terminate = signal(SignalKind::terminate())?;
        let interrupt = signal(SignalKind::interrupt())?;
        Ok(Self { reload, stop: Stop { terminate, interrupt } })
    }
}

impl Reload {
    /// Waits for SIGHUP.
    pub async fn requested(&mut self) {
        // The stream of signals never ends.
        let _ = self.0.recv().await;
    }
}

impl Stop {
    /// Waits for SIGTERM or SIGINT.
    pub async fn requested(&mut self) {
        tokio::select! {
            biased;
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
