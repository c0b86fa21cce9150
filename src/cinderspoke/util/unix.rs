//! Signals that the system sends the process.
//!
//! What nobody listens to ends the process, and all its requests with it. So all
//! signals are listened to before settings are read and any request can come; one
//! that comes before it is asked for is kept until then.

use tokio::signal::unix::{Signal, SignalKind, signal};

/// The signals that the process acts on.
#[derive(Debug)]
pub struct Signals {
    /// The settings file has changed.
    pub reload: Reload,
    /// The process is to stop.
    pub stop: Stop,
}

/// SIGHUP.
#[derive(Debug)]
pub struct Reload(Signal);

/// SIGTERM and SIGINT.
#[derive(Debug)]
pub struct Stop {
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    /// Listens from now on; within a runtime.
    ///
    /// # Errors
    ///
    /// When the signals cannot be listened to.
    pub fn open() -> std::io::Result<Self> {
        let reload = Reload(signal(SignalKind::hangup())?);
        let terminate = signal(SignalKind::terminate())?;
        let interrupt = signal(SignalKind::interrupt())?;
        Ok(Self { reload, stop: Stop { terminate, interrupt } })
    }
}

impl Reload {
    /// Waits until the process is told that its settings have changed.
    pub async fn requested(&mut self) {
        // There is always a next signal.
        let _ = self.0.recv().await;
    }
}

impl Stop {
    /// Waits until the process is asked to stop.
    pub async fn requested(&mut self) {
        tokio::select! {
            biased;
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
