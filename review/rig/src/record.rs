//! The record of what was sent, answered and run.

use std::fmt::Display;
use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// Writes lines with the time since the start; clones share the file.
#[derive(Debug, Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<BufWriter<File>>>,
}

/// Locks whatever happened to other threads.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Record {
    /// Creates the file.
    ///
    /// # Errors
    ///
    /// If it cannot be created.
    pub fn create(path: &Path) -> std::io::Result<Self> {
        let file = Arc::new(Mutex::new(BufWriter::new(File::create(path)?)));
        Ok(Self { began: Instant::now(), file })
    }

    /// Seconds since the start.
    #[must_use]
    pub fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    /// Writes a line.
    pub fn line(&self, text: impl Display) {
        let _ = writeln!(lock(&self.file), "{:9.3} {text}", self.now());
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: impl Display) {
        println!("{text}");
        self.line(text);
    }

    /// Writes out what is buffered.
    pub fn flush(&self) {
        let _ = lock(&self.file).flush();
    }
}
