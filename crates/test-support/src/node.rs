//! Machines that can be killed, on loopback or on a network in memory.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Result;
use axum::Router;
use cinderspoke::util::http::Client;
use cinderspoke_types::rate::ByteRate;
use tokio::runtime::{Builder, Handle, Runtime};
use tokio_util::sync::CancellationToken;

use crate::address;
use crate::network::{Network, Side};

/// How long a killed node may take to close its sockets.
const SHUTDOWN: Duration = Duration::from_secs(5);

/// What machines stand on.
#[derive(Debug, Clone, Default)]
pub enum Ground {
    /// Real TCP on loopback, with threads for each machine.
    #[default]
    Loopback,
    /// A network in memory, with all machines on the current runtime.
    Memory(Arc<Network>),
}

/// A machine's name and place.
#[derive(Debug, Clone)]
pub struct Machine {
    /// Its name.
    pub name: String,
    /// Where it stands.
    pub side: Side,
    /// What its link carries, on a network in memory.
    pub rate: Option<ByteRate>,
}

impl Machine {
    /// A machine beside the platform, whose link is not a limit.
    #[must_use]
    pub fn platform(name: &str) -> Self {
        Self { name: name.into(), side: Side::Platform, rate: None }
    }
}

impl Ground {
    /// An address that nothing else uses.
    ///
    /// # Errors
    ///
    /// When the system has no free port.
    pub fn address(&self) -> Result<SocketAddr> {
        Ok(match self {
            Self::Loopback => address::free()?,
            Self::Memory(network) => network.address(),
        })
    }

    /// How a machine reaches others.
    #[must_use]
    pub fn client(&self, machine: &Machine) -> Client {
        match self {
            Self::Loopback => Client::new(),
            Self::Memory(network) => {
                network.add(&machine.name, machine.side.clone(), machine.rate);
                Client::with_transport(network.transport(&machine.name))
            }
        }
    }

    /// How callers reach entry instances.
    #[must_use]
    pub fn callers(&self) -> Client {
        self.client(&Machine { name: "callers".into(), side: Side::Callers, rate: None })
    }

    /// Starts a machine with no tasks yet.
    ///
    /// # Errors
    ///
    /// When the system gives no threads.
    pub fn node(&self, machine: &Machine) -> Result<Node> {
        let life = match self {
            Self::Loopback => {
                let threads = Builder::new_multi_thread().worker_threads(1).enable_all().build()?;
                Life::Threads(threads)
            }
            Self::Memory(network) => {
                network.add(&machine.name, machine.side.clone(), machine.rate);
                let (network, alive) = (Arc::clone(network), CancellationToken::new());
                Life::Tasks { network, machine: machine.name.clone(), alive }
            }
        };
        Ok(Node { life: Some(life) })
    }
}

#[derive(Debug)]
enum Life {
    Threads(Runtime),
    Tasks { network: Arc<Network>, machine: String, alive: CancellationToken },
}

/// A process's worth of tasks; dropping it kills them all at once.
#[derive(Debug)]
pub struct Node {
    // Invariant: there until the node is killed.
    life: Option<Life>,
}

impl Node {
    /// Where the node's tasks run.
    ///
    /// # Panics
    ///
    /// When there is no runtime.
    #[must_use]
    pub fn handle(&self) -> Handle {
        match &self.life {
            Some(Life::Threads(runtime)) => runtime.handle().clone(),
            _ => Handle::current(),
        }
    }

    /// Runs a task on the node and waits for it.
    ///
    /// # Errors
    ///
    /// When the task fails or the node is killed.
    pub async fn run<T: Send + 'static>(
        &self,
        task: impl Future<Output = Result<T>> + Send + 'static,
    ) -> Result<T> {
        match &self.life {
            Some(Life::Threads(runtime)) => runtime.spawn(task).await?,
            _ => task.await,
        }
    }

    /// Lets a router be reached in memory; on loopback, programs listen by themselves.
    pub fn mount(&self, address: SocketAddr, router: Router) {
        if let Some(Life::Tasks { network, machine, alive }) = &self.life {
            network.mount(machine, address, router, alive.clone());
        }
    }

    /// Whether the node's programs listen by themselves.
    #[must_use]
    pub fn listens(&self) -> bool {
        matches!(self.life, Some(Life::Threads(_)))
    }

    /// Kills the node, and waits until its sockets are closed.
    pub async fn kill(mut self) {
        if let Some(Life::Threads(runtime)) =
            self.life.take_if(|life| matches!(life, Life::Threads(_)))
        {
            let shut = move || runtime.shutdown_timeout(SHUTDOWN);
            // Fails only when this process is ending.
            let _ = tokio::task::spawn_blocking(shut).await;
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        match self.life.take() {
            // Does not wait: connections break off where they are.
            Some(Life::Threads(runtime)) => runtime.shutdown_background(),
            Some(Life::Tasks { alive, .. }) => alive.cancel(),
            None => {}
        }
    }
}

/// A stand-in that answers, on a machine that may be shared with an agent.
#[derive(Debug)]
pub struct Server {
    /// Where it answers; the same after a restart.
    pub address: SocketAddr,
    ground: Ground,
    machine: Machine,
    node: Option<Node>,
    app: Router,
}

impl Server {
    /// Starts a server.
    ///
    /// # Errors
    ///
    /// When it cannot listen.
    pub async fn spawn(ground: &Ground, machine: Machine, app: Router) -> Result<Self> {
        let (address, ground) = (ground.address()?, ground.clone());
        let mut server = Self { address, ground, machine, node: None, app };
        server.start().await?;
        Ok(server)
    }

    /// Starts it again after it was killed.
    ///
    /// # Errors
    ///
    /// When it cannot listen.
    pub async fn start(&mut self) -> Result<()> {
        let node = self.ground.node(&self.machine)?;
        let (app, address) = (self.app.clone(), self.address);
        if node.listens() {
            node.run(async move {
                let (listener, _) = cinderspoke::entry::listen(address).await?;
                cinderspoke::entry::serve(listener, app, CancellationToken::new());
                Ok(())
            })
            .await?;
        } else {
            node.mount(address, app);
        }
        self.node = Some(node);
        Ok(())
    }

    /// Kills it: connections break off where they are.
    pub async fn kill(&mut self) {
        if let Some(node) = self.node.take() {
            node.kill().await;
        }
    }
}
