//! Learning from the platform's store, one task for each kind of fact.

use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use cinderspoke_core::gateway::catalog::Declared;
use cinderspoke_core::gateway::directory::SETTLE;
use cinderspoke_core::gateway::fact::{Fact, Revision};
use cinderspoke_core::gateway::rollout::Rollout;
use cinderspoke_ports::Error;
use cinderspoke_ports::gateway::{Registry, Seen};
use cinderspoke_schema::settings;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use super::knowledge::Knowledge;
use crate::util::settings::inner_address;
use crate::util::stop;

/// How long a watch waits; each one is paid for, so they are long.
const WAIT: Duration = Duration::from_secs(20);

/// How long to stay away after a failure, at first.
const FIRST_BACKOFF: Duration = Duration::from_millis(120);

/// How long to stay away after a failure, at most: news must not come late once
/// the platform is back.
const LAST_BACKOFF: Duration = Duration::from_millis(900);

/// How often the time to stay away is doubled at most.
const MOST_DOUBLINGS: u32 = 4;

/// By how much the time to stay away differs from one gateway to the next.
const SPREAD: Range<f64> = 0.7..1.3;

/// How long news of endpoints gather before the next watch: each watch is paid
/// for, and many endpoints change at once. A small part of the time that a
/// leaving endpoint goes on to answer.
const GATHER: Duration = Duration::from_millis(250);

/// How many failures in a row mean that the platform was away.
const AWAY: u32 = 2;

/// What the store has answered, to be taken in; gives the revision from which to
/// watch, none when all has to be read anew.
///
/// Apart from the asking, since what ends an outage must not be taken in before
/// it is known to end one: the entries that it removes may have lapsed meanwhile.
type Answer<'a> = Box<dyn FnOnce() -> Option<Revision> + Send + 'a>;

/// How a kind of fact is read.
#[async_trait]
trait Source: Send + Sync {
    /// Its name, for logs.
    fn name(&self) -> &'static str;

    /// Reads all of it.
    async fn read(&self) -> Result<Answer<'_>, Error>;

    /// Waits for news after a revision.
    async fn watch(&self, after: Revision) -> Result<Answer<'_>, Error>;

    /// How long news gather before the next watch.
    fn gather(&self) -> Duration {
        Duration::ZERO
    }
}

/// What all sources read from, and where they bring it.
struct Shared {
    knowledge: Arc<Knowledge>,
    registry: Arc<dyn Registry>,
}

/// The operators' configuration.
struct Configuration(Shared);

/// The versions that models are to have.
struct Versions(Shared);

/// The list of endpoints.
struct Endpoints(Shared);

/// Where facts came from, for logs.
const STORE: &str = "store";

/// Takes in what was read; gives its revision.
fn take<T>(fact: Fact<T>, take: impl FnOnce(Fact<T>)) -> Revision {
    let revision = fact.revision;
    take(fact);
    revision
}

/// Takes in what a watch has seen; gives its revision, if the store has not
/// forgotten what lies between.
fn take_news<T>(seen: Seen<T>, news: impl FnOnce(Fact<T>)) -> Option<Revision> {
    match seen {
        Seen::News(fact) => Some(take(fact, news)),
        Seen::Forgotten => None,
    }
}

impl Configuration {
    fn learn(&self, fact: Fact<Option<Declared>>) {
        if let Some(declared) = fact.value {
            self.0.knowledge.configured(Fact::new(fact.revision, declared), STORE);
        }
    }
}

#[async_trait]
impl Source for Configuration {
    fn name(&self) -> &'static str {
        "configuration"
    }

    async fn read(&self) -> Result<Answer<'_>, Error> {
        let read = self.0.registry.configuration().await?;
        Ok(Box::new(move || Some(take(read, |fact| self.learn(fact)))))
    }

    async fn watch(&self, after: Revision) -> Result<Answer<'_>, Error> {
        let seen = self.0.registry.watch_configuration(after, WAIT).await?;
        Ok(Box::new(move || take_news(seen, |fact| self.learn(fact))))
    }
}

impl Versions {
    fn learn(&self, fact: Fact<Rollout>) {
        self.0.knowledge.named(&fact.value);
    }
}

#[async_trait]
impl Source for Versions {
    fn name(&self) -> &'static str {
        "versions"
    }

    async fn read(&self) -> Result<Answer<'_>, Error> {
        let read = self.0.registry.rollout().await?;
        Ok(Box::new(move || Some(take(read, |fact| self.learn(fact)))))
    }

    async fn watch(&self, after: Revision) -> Result<Answer<'_>, Error> {
        let seen = self.0.registry.watch_rollout(after, WAIT).await?;
        Ok(Box::new(move || take_news(seen, |fact| self.learn(fact))))
    }
}

#[async_trait]
impl Source for Endpoints {
    fn name(&self) -> &'static str {
        "endpoints"
    }

    async fn read(&self) -> Result<Answer<'_>, Error> {
        let read = self.0.registry.endpoints().await?;
        let listed = |fact| _ = self.0.knowledge.listed(fact, STORE);
        Ok(Box::new(move || Some(take(read, listed))))
    }

    async fn watch(&self, after: Revision) -> Result<Answer<'_>, Error> {
        let seen = self.0.registry.watch_endpoints(after, WAIT).await?;
        let changed = |fact| _ = self.0.knowledge.changed(fact, STORE);
        Ok(Box::new(move || take_news(seen, changed)))
    }

    fn gather(&self) -> Duration {
        GATHER
    }
}

/// Starts the tasks that follow the store.
pub fn spawn(
    knowledge: &Arc<Knowledge>,
    registry: &Arc<dyn Registry>,
    settings: &settings::Node,
    token: CancellationToken,
) {
    let shared = || Shared { knowledge: Arc::clone(knowledge), registry: Arc::clone(registry) };
    let sources: [Box<dyn Source>; 3] = [
        Box::new(Configuration(shared())),
        Box::new(Versions(shared())),
        Box::new(Endpoints(shared())),
    ];
    for source in sources {
        let knowledge = Arc::clone(knowledge);
        tokio::spawn(stop::until(token.clone(), follow(source, knowledge)));
    }
    let own = inner_address(settings);
    let meet = meet(shared(), settings.instance.to_string(), own);
    tokio::spawn(stop::until(token, meet));
}

/// Reads a kind of fact and then watches it, whatever fails.
async fn follow(source: Box<dyn Source>, knowledge: Arc<Knowledge>) {
    let mut revision = None;
    let mut failures = 0_u32;
    let mut heard = knowledge.clock().now();
    loop {
        let result = match revision {
            None => source.read().await,
            Some(after) => source.watch(after).await,
        };
        match result {
            Ok(answer) => {
                let unheard = knowledge.clock().now().saturating_sub(heard);
                heard = knowledge.clock().now();
                if failures > 0 {
                    let (kind, unheard_ms) = (source.name(), unheard.as_millis() as u64);
                    tracing::info!(kind, failures, unheard_ms, "store answers again");
                }
                if failures >= AWAY {
                    knowledge.platform_returned();
                    settle_later(&knowledge);
                }
                failures = 0;
                knowledge.platform_answered();
                revision = answer();
                sleep(source.gather()).await;
            }
            Err(error) => {
                failures += 1;
                if failures == 1 {
                    let unheard = knowledge.clock().now().saturating_sub(heard);
                    let (kind, unheard_ms) = (source.name(), unheard.as_millis() as u64);
                    tracing::info!(kind, unheard_ms, %error, "store did not answer");
                }
                if failures == AWAY {
                    knowledge.platform_lost();
                    tracing::warn!(kind = source.name(), %error, "store lost");
                }
                sleep(backoff(&error, failures)).await;
            }
        }
    }
}

/// Gives up entries that lapsed during an outage once they had time to be back.
pub(super) fn settle_later(knowledge: &Arc<Knowledge>) {
    let knowledge = Arc::clone(knowledge);
    tokio::spawn(async move {
        sleep(SETTLE).await;
        knowledge.settle();
    });
}

/// How long to stay away after so many failures in a row: longer where the store
/// asks for it, and a little different each time, so that gateways spread out.
fn backoff(error: &Error, failures: u32) -> Duration {
    let wait = FIRST_BACKOFF.saturating_mul(1 << failures.min(MOST_DOUBLINGS)).min(LAST_BACKOFF);
    let wait = match error {
        Error::Limited(limited) => wait.max(*limited),
        _ => wait,
    };
    wait.mul_f64(rand::random_range(SPREAD))
}

/// Tells the store that this gateway is there, and learns of the others once.
async fn meet(shared: Shared, name: String, own: SocketAddr) {
    let mut failures = 0;
    loop {
        let met = async {
            shared.registry.announce(&name, own).await?;
            shared.registry.gateways().await
        };
        match met.await {
            Ok(gateways) => {
                let others = gateways.into_iter().filter(|gateway| *gateway != own);
                others.for_each(|gateway| shared.knowledge.met(gateway, false));
                return;
            }
            Err(error) => {
                failures += 1;
                tracing::debug!(%error, "the store does not know of this gateway yet");
                sleep(backoff(&error, failures)).await;
            }
        }
    }
}
