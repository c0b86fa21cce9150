//! Follows which chunks of a version the peers hold, by long polling.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use cinderspoke_core::bitmap::Bitmap;
use cinderspoke_core::transfer::{Fetching, Transfer};
use cinderspoke_schema::control::Holdings;
use cinderspoke_types::digest::Digest;
use cinderspoke_types::id::Instance;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;
use tokio::time::sleep;

use super::finding::{Finding, Findings};
use crate::util::http::{Call, Client, Path};

/// How long a peer waits for more chunks before it answers. A connection may stop responding for
/// good, which is noticed only when the answer is due: with [`MARGIN`], that is after 6 s, and a
/// version has to reach all instances in little more.
const HOLDINGS_WAIT: Duration = Duration::from_secs(3);

/// The pause between two requests for a peer's holdings.
const HOLDINGS_PAUSE: Duration = Duration::from_millis(20);

/// The time allowed for a peer's answer beyond [`HOLDINGS_WAIT`], over a link saturated by chunks.
const MARGIN: Duration = Duration::from_secs(3);

/// Delay before the next request to a peer that did not answer.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// The holdings that a peer reports.
pub(super) struct PeerHoldings {
    /// The peer.
    pub(super) peer: Instance,
    /// The chunks that it holds.
    pub(super) chunks: Bitmap,
    /// The bytes of chunks that it has served to peers.
    pub(super) served_bytes: u64,
}

/// Follows the neighbours' holdings, with one task for each neighbour.
pub(super) struct Followers {
    client: Client,
    sender: mpsc::Sender<PeerHoldings>,
    findings: Findings,
    running: BTreeMap<Instance, (SocketAddr, AbortHandle)>,
}

impl Followers {
    /// Creates followers of no peer yet; peers' holdings are sent to `sender`, and peers with
    /// another listing to `findings`.
    pub(super) fn new(
        client: Client,
        sender: mpsc::Sender<PeerHoldings>,
        findings: Findings,
    ) -> Self {
        Self { client, sender, findings, running: BTreeMap::new() }
    }

    /// Follows a transfer's current neighbours, and stops following all others.
    pub(super) fn follow(&mut self, transfer: &Transfer<Fetching>) {
        let manifest = transfer.manifest();
        let neighbours = transfer.neighbours();
        let wanted: BTreeMap<_, _> =
            neighbours.iter().map(|peer| (peer.instance.clone(), peer.address)).collect();
        self.running.retain(|instance, (address, task)| {
            let keep = wanted.get(instance) == Some(address);
            if !keep {
                task.abort();
            }
            keep
        });
        for (instance, address) in wanted {
            if !self.running.contains_key(&instance) {
                let follower = Follower {
                    client: self.client.clone(),
                    address,
                    version: manifest.version(),
                    manifest: manifest.is_listed().then(|| manifest.digest()),
                    peer: instance.clone(),
                    sender: self.sender.clone(),
                    findings: self.findings.clone(),
                };
                let task = tokio::spawn(follower.run());
                self.running.insert(instance, (address, task.abort_handle()));
            }
        }
    }
}

impl Drop for Followers {
    fn drop(&mut self) {
        self.running.values().for_each(|(_, task)| task.abort());
    }
}

/// Follows the holdings of one peer.
struct Follower {
    client: Client,
    address: SocketAddr,
    // Identifies the version.
    version: Digest,
    // The digest of the manifest by which chunks are counted, if it is listed.
    manifest: Option<Digest>,
    peer: Instance,
    sender: mpsc::Sender<PeerHoldings>,
    findings: Findings,
}

impl Follower {
    /// Sends each change of the peer's holdings, for as long as they are received.
    async fn run(self) {
        let mut after = 0;
        loop {
            let pause = match self.read(after).await {
                Some(holdings) if holdings.manifest == self.manifest => {
                    after = holdings.revision;
                    if self.send(&holdings).await.is_err() {
                        return;
                    }
                    HOLDINGS_PAUSE
                }
                Some(_) => {
                    // Its chunks are not those of the same numbers here.
                    after = 0;
                    self.findings.report(Finding::OtherListing { peer: self.address });
                    RETRY_DELAY
                }
                None => {
                    // A peer that has restarted counts its revisions from the start again.
                    after = 0;
                    RETRY_DELAY
                }
            };
            sleep(pause).await;
        }
    }

    /// Reads the peer's holdings once their revision is not `after` any more.
    async fn read(&self, after: u64) -> Option<Holdings> {
        let (version, wait) = (self.version, HOLDINGS_WAIT.as_millis());
        let path = Path::from("/v1/holdings").segment(version);
        let path = path.pair("after", after).pair("wait_ms", wait);
        let call = Call::get(self.address, path).timeout(HOLDINGS_WAIT + MARGIN);
        self.client.fetch_json(call).await.ok()
    }

    async fn send(&self, holdings: &Holdings) -> Result<(), mpsc::error::SendError<PeerHoldings>> {
        // What cannot be parsed counts as nothing held.
        let chunks = holdings.chunks.parse().unwrap_or_else(|_| Bitmap::new(0));
        let (peer, served_bytes) = (self.peer.clone(), holdings.given);
        self.sender.send(PeerHoldings { peer, chunks, served_bytes }).await
    }
}
