//! The addresses, settings and configuration of a small deployment.

use std::env;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use crate::http::Connection;

/// The zones of the deployment, with their regions.
pub const ZONES: [(&str, &str); 3] =
    [("hall-a", "region-a"), ("hall-b", "region-b"), ("hall-c", "region-c")];

/// What a front machine gives its process.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Megabytes of memory.
    pub memory_mb: u64,
    /// Descriptors.
    pub descriptors: u64,
}

/// The repository's root: the folder above `review`.
#[must_use]
pub fn root() -> PathBuf {
    env::var_os("REVIEW_ROOT").map_or_else(|| PathBuf::from("."), PathBuf::from)
}

/// Whether the disruption is to happen.
#[must_use]
pub fn has_trouble() -> bool {
    env::var("TROUBLE").as_deref() != Ok("0")
}

/// Finds a port that is free on all loopback addresses that a script uses.
///
/// # Errors
///
/// If there is none.
pub fn free_port() -> std::io::Result<u16> {
    Ok(TcpListener::bind((Ipv4Addr::UNSPECIFIED, 0))?.local_addr()?.port())
}

/// The address of a machine.
#[must_use]
pub fn ip(class: u8, number: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, 74, class, number)
}

/// The ports of all machines.
#[derive(Debug, Clone, Copy)]
pub struct Ports {
    /// For clients.
    pub front: u16,
    /// For the readiness check.
    pub ready: u16,
    /// For control.
    pub control: u16,
    /// Between daemons.
    pub inner: u16,
    /// Of the store and the servers.
    pub app: u16,
}

impl Ports {
    /// Finds free ones.
    ///
    /// # Errors
    ///
    /// If there are none.
    pub fn find() -> std::io::Result<Self> {
        Ok(Self {
            front: free_port()?,
            ready: free_port()?,
            control: free_port()?,
            inner: free_port()?,
            app: free_port()?,
        })
    }
}

/// The settings of a front, in the form of `deploy/node.toml.in`.
#[must_use]
pub fn front_settings(number: u8, ports: Ports, store: SocketAddr, limits: Limits) -> String {
    let (zone, region) = ZONES[usize::from(number - 1) % ZONES.len()];
    let regions: String =
        ZONES.iter().map(|(zone, region)| format!("\"{zone}\" = \"{region}\"\n")).collect();
    let (own, seed) = (ip(1, number), ip(1, 1));
    let Ports { front, ready, control, inner, .. } = ports;
    let last = inner.saturating_add(15);
    let Limits { memory_mb, descriptors } = limits;
    format!(
        "instance = \"front-{number}\"\nzone = \"{zone}\"\nregion = \"{region}\"\n\
         address = \"{own}\"\nstore = \"{store}\"\nseeds = [\"{seed}:{control}\"]\n\
         heartbeat_ms = 1200\n\n[regions]\n{regions}\n[ports]\nfirst = {inner}\nlast = {last}\n\n\
         [listen]\ncallers = \"{own}:{front}\"\nready = \"{own}:{ready}\"\n\
         control = \"{own}:{control}\"\n\n[limits]\nlink_mbps = 1000.0\n\
         descriptors = {descriptors}\nmemory_mb = {memory_mb}\n\n[bounds]\ndrain_ms = 2000\n\
         grace_s = 8\nconfig_apply_ms = 2000\nrollback_slack_ms = 250\nmax_skew_ms = 5000\n\
         contact_ms = 3000\nretry_budget_ratio = 0.2\nbudget_window_s = 10\nbudget_slack = 100\n\
         version_ms = 8000\npass_ms = 120\nloss_slack_ms = 200\n\n[overload]\n\
         shed_by_rank = true\nrecognize_returns = true\nshare_demand = true\n\n[log]\n\
         format = \"json\"\nfilter = \"info\"\n"
    )
}

/// The settings of the agent beside a model engine, in the form of `deploy/node.toml.in`.
#[must_use]
pub fn agent_settings(number: u8, ports: Ports, store: SocketAddr, service: &str) -> String {
    let limits = Limits { memory_mb: 128, descriptors: 2048 };
    let front = front_settings(number, ports, store, limits);
    let (own, app) = (ip(2, number), ports.app);
    let (before, rest) = front.split_once("[listen]").unwrap_or_default();
    let (_, limits) = rest.split_once("[limits]").unwrap_or_default();
    let before = before
        .replace(&format!("\"front-{number}\""), &format!("\"side-{number}\""))
        .replace(&format!("address = \"{}\"", ip(1, number)), &format!("address = \"{own}\""));
    let limits = limits.replace("link_mbps = 1000.0", "link_mbps = 7.3");
    let beside = format!("[beside]\naddress = \"{own}:{app}\"\nservice = \"{service}\"\n\n");
    format!("{before}{beside}[limits]{limits}")
}

/// The program that the deploy file runs beside model engines.
#[must_use]
pub fn agent_program(root: &Path) -> PathBuf {
    root.join("target/release/cinderspoke-agent")
}

/// The entry of a server.
#[must_use]
pub fn entry(service: &str, address: SocketAddr, slots: usize) -> String {
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{}\",\"version\":\"v1\",\
         \"slots\":{slots},\"state\":\"ready\",\"cold_remaining_ms\":0,\"seq\":1}}",
        ZONES[0].0
    )
}

/// The program that the deploy file runs on fronts.
#[must_use]
pub fn entry_program(root: &Path) -> PathBuf {
    root.join("target/release/cinderspoke-entry")
}

/// Whether a front says that it is ready.
#[must_use]
pub fn is_ready(address: SocketAddr) -> bool {
    let wait = Duration::from_millis(500);
    let asked = Connection::open(address, wait, wait).and_then(|mut connection| {
        connection.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")?;
        connection.head()
    });
    matches!(asked, Ok(Some(head)) if head.status() == 200)
}

/// Waits until a front says that it is ready; returns whether it did in time.
#[must_use]
pub fn wait_ready(address: SocketAddr, limit: Duration) -> bool {
    let began = Instant::now();
    while began.elapsed() < limit {
        if is_ready(address) {
            return true;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    false
}
