//! The project's programs as processes, and the platform's limit on their memory.

use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// A program of the project with its settings.
#[derive(Debug)]
pub struct Program {
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    starts: u32,
    child: Option<Child>,
}

impl Program {
    /// Starts a program. Its settings and logs lie in a folder under its name.
    ///
    /// # Errors
    ///
    /// If it cannot be started.
    pub fn start(program: &Path, folder: &Path, name: &str, settings: &str) -> io::Result<Self> {
        let path = folder.join(format!("{name}.toml"));
        fs::write(&path, settings)?;
        let log = folder.join(name);
        let program = program.to_owned();
        let mut started = Self { program, settings: path, log, starts: 0, child: None };
        started.again()?;
        Ok(started)
    }

    /// Starts the program again after it has ended.
    ///
    /// # Errors
    ///
    /// If it cannot be started.
    pub fn again(&mut self) -> io::Result<()> {
        self.starts += 1;
        let log = File::create(self.log.with_extension(format!("{}.log", self.starts)))?;
        let child = Command::new(&self.program)
            .args(["--adapter", "platform"])
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Replaces its settings file.
    ///
    /// # Errors
    ///
    /// If it cannot be written.
    pub fn change(&self, settings: &str) -> io::Result<()> {
        fs::write(&self.settings, settings)
    }

    /// The number of its process; 0 if none runs.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// The memory that its process holds, in bytes, without pages of files; 0 if none runs.
    #[must_use]
    pub fn memory(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.id())).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"));
        let kib = line.and_then(|text| text.trim().trim_end_matches(" kB").parse::<u64>().ok());
        kib.unwrap_or(0) << 10
    }

    /// Whether its process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| !matches!(child.try_wait(), Ok(None)))
    }

    /// Sends its process a signal, such as `-TERM`.
    pub fn signal(&self, signal: &str) {
        if self.child.is_some() {
            let _ = Command::new("kill").arg(signal).arg(self.id().to_string()).status();
        }
    }

    /// Kills its process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        self.kill();
    }
}
