//! The system's programs as processes, with settings like those of a small deployment, and the
//! platform beside them.

use std::fs::{self, File};
use std::io::{self, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::http;

/// How often the platform asks a gateway whether it is ready; after two misses it is out.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
const MISSES: u32 = 2;

/// How long the gateways may take to be ready at first.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// A process that is ended when it is dropped.
pub struct Process {
    command: Vec<String>,
    log: PathBuf,
    child: Option<Child>,
}

impl Process {
    /// Starts a process, which appends what it prints to a file.
    pub fn spawn(command: Vec<String>, log: PathBuf) -> io::Result<Self> {
        let mut process = Self { command, log, child: None };
        process.start()?;
        Ok(process)
    }

    /// Starts it again.
    pub fn start(&mut self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(&self.command[0])
            .args(&self.command[1..])
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.record(child.id())?;
        self.child = Some(child);
        Ok(())
    }

    /// Records a process beside its log, so that it can be ended whatever becomes of this one.
    fn record(&self, id: u32) -> io::Result<()> {
        let path = self.log.with_file_name("processes");
        let mut processes = File::options().create(true).append(true).open(path)?;
        writeln!(processes, "{id}")
    }

    /// Returns the id of the process while it runs.
    pub fn id(&mut self) -> Option<u32> {
        let child = self.child.as_mut()?;
        match child.try_wait() {
            Ok(None) => Some(child.id()),
            Ok(Some(_)) | Err(_) => None,
        }
    }

    /// Sends it a signal.
    pub fn signal(&mut self, signal: &str) -> io::Result<()> {
        let id = self.id().ok_or(io::ErrorKind::NotFound)?;
        Command::new("kill").args([signal, &id.to_string()]).status().map(|_| ())
    }

    /// Kills it.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A gateway: its process, where it is reached, and whether it gets new connections.
pub struct Gateway {
    /// Its name.
    pub name: String,
    /// Where clients connect.
    pub callers: SocketAddr,
    /// Where other processes of the system reach it.
    pub internal: SocketAddr,
    ready: SocketAddr,
    process: Mutex<Process>,
    is_in: AtomicBool,
}

impl Gateway {
    /// Locks its process.
    pub fn process(&self) -> MutexGuard<'_, Process> {
        self.process.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether it gets new connections.
    pub fn is_in(&self) -> bool {
        self.is_in.load(Ordering::SeqCst)
    }

    fn is_ready(&self) -> bool {
        let timeout = Duration::from_millis(900);
        let answer = http::call(self.ready, "GET", "/readyz", "", timeout);
        answer.is_ok_and(|(status, _)| status == 200)
    }
}

/// Returns an address of this run whose port is free.
pub fn free_address(number: u8) -> io::Result<SocketAddr> {
    let own = std::process::id();
    let address = Ipv4Addr::new(127, 64 + (own >> 8) as u8 % 128, own as u8, number);
    TcpListener::bind((address, 0))?.local_addr()
}

/// Starts gateways that know each other by their seeds, and waits until they are ready.
pub fn spawn_gateways(
    count: u8,
    program: &str,
    store: SocketAddr,
    folder: &Path,
) -> io::Result<Vec<Arc<Gateway>>> {
    let own: Vec<_> = (1..=count).map(free_address).collect::<io::Result<_>>()?;
    let port = own.first().map_or(0, SocketAddr::port);
    let seeds: Vec<_> = own.iter().map(|own| SocketAddr::new(own.ip(), port)).collect();
    let mut gateways = Vec::new();
    for number in 1..=count {
        let address = own[usize::from(number) - 1].ip();
        let name = format!("front-{number}");
        let listen: Vec<_> = (0..3).map(|_| free_address(number)).collect::<io::Result<_>>()?;
        let (callers, ready, control) = (listen[0], listen[1], listen[2]);
        let listen = format!(
            "[listen]\ncallers = \"{callers}\"\nready = \"{ready}\"\ncontrol = \"{control}\"\n"
        );
        let limits = "[limits]\nlink_mbps = 1000.0\ndescriptors = 4200\nmemory_mb = 260\n";
        let internal = SocketAddr::new(address, port);
        let text = settings(&name, internal, store, &seeds) + &listen + limits;
        let settings = folder.join(format!("{name}.toml"));
        fs::write(&settings, text)?;
        let settings = settings.to_string_lossy().into_owned();
        let command = [program, "--adapter", "platform", &settings].map(str::to_owned).to_vec();
        let process = Process::spawn(command, folder.join(format!("{name}.log")))?.into();
        let is_in = AtomicBool::new(true);
        gateways.push(Arc::new(Gateway { name, callers, internal, ready, process, is_in }));
    }
    let until = Instant::now() + START_TIMEOUT;
    while !gateways.iter().all(|gateway| gateway.is_ready()) {
        if Instant::now() > until {
            return Err(io::Error::other("the gateways are not ready"));
        }
        sleep(Duration::from_millis(100));
    }
    for gateway in &gateways {
        let gateway = Arc::clone(gateway);
        thread::spawn(move || watch_readiness(&gateway));
    }
    Ok(gateways)
}

/// The settings that all roles have, as the template of the deploy file fills them in.
fn settings(name: &str, internal: SocketAddr, store: SocketAddr, seeds: &[SocketAddr]) -> String {
    let (address, first, last) = (internal.ip(), internal.port(), internal.port() + 15);
    let seeds: Vec<_> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
    let seeds = seeds.join(",");
    format!(
        "instance = \"{name}\"\nzone = \"zone-a\"\nregion = \"region-a\"\n\
         address = \"{address}\"\nstore = \"{store}\"\nseeds = [{seeds}]\n\
         heartbeat_ms = 1200\n\n[regions]\nzone-a = \"region-a\"\n\n\
         [ports]\nfirst = {first}\nlast = {last}\n\n\
         [bounds]\ndrain_ms = 2000\ngrace_s = 8\nconfig_apply_ms = 2000\n\
         rollback_slack_ms = 250\nmax_skew_ms = 5000\ncontact_ms = 3000\n\
         retry_budget_ratio = 0.2\nbudget_window_s = 10\nbudget_slack = 100\n\
         version_ms = 8000\npass_ms = 120\nloss_slack_ms = 200\n\n\
         [log]\nformat = \"json\"\nfilter = \"info\"\n\n"
    )
}

/// Starts the agent of an engine.
pub fn spawn_agent(
    name: &str,
    engine: SocketAddr,
    service: &str,
    store: SocketAddr,
    gateways: &[Arc<Gateway>],
    folder: &Path,
) -> io::Result<Process> {
    let seeds: Vec<_> = gateways.iter().map(|gateway| gateway.internal).collect();
    let port = seeds.first().map_or(0, SocketAddr::port);
    let internal = SocketAddr::new(engine.ip(), port);
    let beside = format!("[beside]\naddress = \"{engine}\"\nservice = \"{service}\"\n");
    let limits = "[limits]\nlink_mbps = 7.3\ndescriptors = 2048\nmemory_mb = 128\n";
    let text = settings(name, internal, store, &seeds) + &beside + limits;
    let path = folder.join(format!("{name}.toml"));
    fs::write(&path, text)?;
    let program = "target/release/cinderspoke-agent".to_owned();
    let path = path.to_string_lossy().into_owned();
    let command = vec![program, "--adapter".to_owned(), "platform".to_owned(), path];
    Process::spawn(command, folder.join(format!("{name}.log")))
}

/// Kills all gateways.
pub fn end(gateways: &[Arc<Gateway>]) {
    gateways.iter().for_each(|gateway| gateway.process().kill());
}

/// Asks a gateway every second whether it is ready, as the platform does.
fn watch_readiness(gateway: &Gateway) {
    let mut misses = 0;
    loop {
        misses = if gateway.is_ready() { 0 } else { misses + 1 };
        gateway.is_in.store(misses < MISSES, Ordering::SeqCst);
        sleep(CHECK_INTERVAL);
    }
}

/// Selects the gateway for a client's next connection: by the client among those that are in, or
/// among all if fewer than half are; later tries go to others.
pub fn select(gateways: &[Arc<Gateway>], client: usize, attempt: usize) -> Arc<Gateway> {
    let are_in: Vec<_> = gateways.iter().filter(|gateway| gateway.is_in()).collect();
    let all: Vec<_> = gateways.iter().collect();
    let chosen = if are_in.len() * 2 < gateways.len() { all } else { are_in };
    Arc::clone(chosen[(client + attempt) % chosen.len()])
}
