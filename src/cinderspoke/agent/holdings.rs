//! Following what peers hold of a version.

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

/// How long a peer waits for more chunks before it answers. Its connection may have gone
/// silent for good, which shows only when the answer is due: with [`MARGIN`] that is
/// after 6 s, and a version has to be on all instances in little more.
const HOLDINGS_WAIT: Duration = Duration::from_secs(3);

/// The least time between two looks at a peer's holdings.
const HOLDINGS_PAUSE: Duration = Duration::from_millis(20);

/// How much longer than it waits a peer may take to answer, over a link that chunks fill.
const MARGIN: Duration = Duration::from_secs(3);

/// How long to stay away from a peer that did not answer.
const RETRY: Duration = Duration::from_millis(100);

/// What a peer says that it holds.
pub(super) struct PeerHoldings {
    /// The peer.
    pub(super) peer: Instance,
    /// The chunks that it holds.
    pub(super) chunks: Bitmap,
    /// How many chunks it has given.
    pub(super) given: u64,
}

/// Follows what the neighbours hold, a task each.
pub(super) struct Followers {
    client: Client,
    sender: mpsc::Sender<PeerHoldings>,
    running: BTreeMap<Instance, (SocketAddr, AbortHandle)>,
}

impl Followers {
    /// Follows nobody yet; what peers say goes to the sender.
    pub(super) fn new(client: Client, sender: mpsc::Sender<PeerHoldings>) -> Self {
        Self { client, sender, running: BTreeMap::new() }
    }

    /// Follows the neighbours that a transfer has now, and no others.
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

/// Tells each change of what a peer holds.
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
                    .send(PeerHoldings { peer: peer.clone(), chunks, given: holdings.given })
                    .await
                    .is_err()
                {
                    return;
                }
                HOLDINGS_PAUSE
            }
            None => {
                // A peer that restarted counts its revisions anew.
                after = 0;
                RETRY
            }
        };
        sleep(pause).await;
    }
}
