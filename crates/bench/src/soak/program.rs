//! A program of the system as a process, ended with whoever started it.

use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use serde_json::Value;
use tokio::process::{Child, Command};

/// A signal that a process is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Signal {
    Terminate,
    Reload,
    Freeze,
    Wake,
}

impl Signal {
    fn flag(self) -> &'static str {
        match self {
            Self::Terminate => "-TERM",
            Self::Reload => "-HUP",
            Self::Freeze => "-STOP",
            Self::Wake => "-CONT",
        }
    }
}

/// A program, and its process while it runs.
#[derive(Debug)]
pub(crate) struct Program {
    pub(crate) name: String,
    path: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    values: Value,
    child: Option<Child>,
    // Whether its process was told to stop.
    told: bool,
    // When its process was started.
    began: Instant,
}

/// How long after its start a process is out of reach of signals: before its first instruction,
/// each ends it.
pub(crate) const OUT_OF_REACH: Duration = Duration::from_millis(50);

impl Program {
    /// Starts a program of a directory with settings and a log in another.
    pub(crate) fn spawn(
        programs: &Path,
        program: &str,
        out: &Path,
        name: &str,
        values: Value,
    ) -> Result<Self> {
        let file = |end: &str| out.join(format!("{name}.{end}"));
        let mut spawned = Self {
            name: name.to_owned(),
            path: programs.join(program),
            settings: file("toml"),
            log: file("log"),
            values,
            child: None,
            told: false,
            began: Instant::now(),
        };
        spawned.change(|_| {})?;
        spawned.start()?;
        Ok(spawned)
    }

    /// Changes the settings.
    pub(crate) fn change(&mut self, change: impl FnOnce(&mut Value)) -> Result<()> {
        change(&mut self.values);
        let text = toml::to_string(&self.values)?;
        std::fs::write(&self.settings, text).context("writing settings")
    }

    /// Starts the process; its lines go behind those of earlier ones.
    pub(crate) fn start(&mut self) -> Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(&self.path)
            .args(["--adapter", "platform"])
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .kill_on_drop(true)
            .spawn();
        let child = child.with_context(|| format!("starting {}", self.path.display()))?;
        self.child = Some(child);
        (self.told, self.began) = (false, Instant::now());
        Ok(())
    }

    /// Sends its process a signal.
    pub(crate) async fn signal(&mut self, signal: Signal) -> Result<()> {
        self.told |= signal == Signal::Terminate;
        let id = self.child.as_ref().and_then(Child::id).context("the process has ended")?;
        let sent = Command::new("kill").args([signal.flag(), &id.to_string()]).status().await?;
        anyhow::ensure!(sent.success(), "{} got no {}", self.name, signal.flag());
        Ok(())
    }

    /// Whether it has a process that signals reach.
    pub(crate) fn is_in_reach(&self) -> bool {
        self.child.is_some() && self.began.elapsed() >= OUT_OF_REACH
    }

    /// Whether its process has ended, as it was told to.
    pub(crate) fn is_over(&mut self) -> Result<bool> {
        let Some(child) = self.child.as_mut() else { return Ok(true) };
        let over = child.try_wait()?.is_some();
        if over {
            self.child = None;
        }
        Ok(over)
    }

    /// Kills the process.
    pub(crate) async fn kill(&mut self) -> Result<()> {
        if let Some(mut child) = self.child.take() {
            child.kill().await?;
        }
        Ok(())
    }

    /// How the process ended, if it did so by itself.
    pub(crate) fn end(&mut self) -> Option<String> {
        let status = self.child.as_mut().filter(|_| !self.told)?.try_wait().ok()??;
        self.child = None;
        Some(format!("{} ended by itself: {status}", self.name))
    }
}
