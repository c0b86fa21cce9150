//! Unix signals that the process handles.
//!
//! A signal without a handler ends the process and all its requests. The handlers are therefore
//! installed by the first statement of `main`, as [`Handlers`], which the functions that run a
//! program take. [`Handlers::listen`] hands on what has arrived by then; from there on a signal
//! stays pending until a task waits for it.
//!
//! While the system loads the program, before `main`, a signal has its default action and ends the
//! process unless the parent has it ignored; no code of the program runs before.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::flag;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// The handlers of all signals that the process handles, before a runtime listens to them.
#[derive(Debug)]
pub struct Handlers {
    // Set by SIGHUP.
    reload: Arc<AtomicBool>,
    // Set by SIGTERM and SIGINT.
    stop: Arc<AtomicBool>,
}

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
pub struct Reload {
    // Whether a signal arrived before the process listened.
    is_requested: bool,
    hangup: Signal,
}

/// SIGTERM and SIGINT: shut down.
#[derive(Debug)]
pub struct Stop {
    // Whether a signal arrived before the process listened.
    is_requested: bool,
    terminate: Signal,
    interrupt: Signal,
}

impl Handlers {
    /// Installs the handlers.
    ///
    /// # Errors
    ///
    /// If a handler cannot be installed.
    pub fn open() -> io::Result<Self> {
        let handlers = Self { reload: Arc::default(), stop: Arc::default() };
        flag::register(SIGHUP, Arc::clone(&handlers.reload))?;
        flag::register(SIGTERM, Arc::clone(&handlers.stop))?;
        flag::register(SIGINT, Arc::clone(&handlers.stop))?;
        Ok(handlers)
    }

    /// Listens to the signals. Those that have arrived before count as requests. Must be called
    /// within a Tokio runtime.
    ///
    /// # Errors
    ///
    /// If a handler of the runtime cannot be installed.
    pub fn listen(self) -> io::Result<Signals> {
        let hangup = signal(SignalKind::hangup())?;
        let terminate = signal(SignalKind::terminate())?;
        let interrupt = signal(SignalKind::interrupt())?;
        // Read last: a signal that arrives meanwhile counts twice, and never not at all.
        let is_reload_requested = self.reload.load(Ordering::SeqCst);
        let is_stop_requested = self.stop.load(Ordering::SeqCst);
        Ok(Signals {
            reload: Reload { is_requested: is_reload_requested, hangup },
            stop: Stop { is_requested: is_stop_requested, terminate, interrupt },
        })
    }
}

impl Reload {
    /// Waits for SIGHUP.
    pub async fn requested(&mut self) {
        if std::mem::take(&mut self.is_requested) {
            return;
        }
        // The stream of signals never ends.
        let _ = self.hangup.recv().await;
    }
}

impl Stop {
    /// Waits for SIGTERM or SIGINT.
    pub async fn requested(&mut self) {
        if std::mem::take(&mut self.is_requested) {
            return;
        }
        tokio::select! {
            biased;
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
