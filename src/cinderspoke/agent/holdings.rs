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

use crate::util::http::{Call, Client};

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
    running: BTreeMap<Instance, (SocketAddr, AbortHandle)>,
}

impl Followers {
    /// Creates followers of no peer yet; peers' holdings are sent to `sender`.
    pub(super) fn new(client: Client, sender: mpsc::Sender<PeerHoldings>) -> Self {
        Self { client, sender, running: BTreeMap::new() }
    }

    /// Follows a transfer's current neighbours, and stops following all others.
    pub(super) fn follow(&mut self, transfer: &Transfer<Fetching>) {
        let manifest = transfer.manifest().digest();
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
                let (client, sender) = (self.client.clone(), self.sender.clone());
                let task =
                    tokio::spawn(follow(client, address, manifest, instance.clone(), sender));
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

/// Sends each change of a peer's holdings.
async fn follow(
    client: Client,
    address: SocketAddr,
    manifest: Digest,
    peer: Instance,
    sender: mpsc::Sender<PeerHoldings>,
) {
    let mut after = 0;
    loop {
        let wait = HOLDINGS_WAIT.as_millis();
        let path = format!("/v1/holdings/{manifest}?after={after}&wait_ms={wait}");
        let call = Call::get(address, path).timeout(HOLDINGS_WAIT + MARGIN);
        let holdings = client.fetch_json::<Holdings>(call).await;
        let read =
            holdings.ok().and_then(|holdings| Some((holdings.chunks.parse().ok()?, holdings)));
        let pause = match read {
            Some((chunks, holdings)) => {
                after = holdings.revision;
                if sender
                    .send(PeerHoldings { peer: peer.clone(), chunks, served_bytes: holdings.given })
                    .await
                    .is_err()
                {
                    return;
                }
                HOLDINGS_PAUSE
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
