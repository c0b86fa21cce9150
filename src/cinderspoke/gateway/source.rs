//! The kinds of data that a gateway reads from the platform's store, and how each is read.

use std::cmp::Ordering;
use std::future::pending;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use cinderspoke_core::gateway::catalog::{Catalog, Declared};
use cinderspoke_core::gateway::fact::{Fact, Revision};
use cinderspoke_core::gateway::region::Role;
use cinderspoke_core::gateway::rollout::Rollout;
use cinderspoke_core::gateway::watch::Freshness;
use cinderspoke_ports::Error;
use cinderspoke_ports::client::Progress;
use cinderspoke_ports::gateway::{Listed, Registry, Watched};
use tokio::time::sleep;

use super::fetch_log;
use super::state::State;

/// The maximum batching of endpoint changes while entries that expired in an outage may return:
/// a small part of the time that they have to return.
const MAX_BATCH_AFTER_OUTAGE: Duration = Duration::from_millis(250);

/// How long a starting gateway waits for another one to announce a configuration: some round
/// trips to a seed and to the gateways that it names.
const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_millis(300);

/// How long it waits after each newly discovered gateway, and the maximum for the whole wait.
/// When hundreds start at once, each discovers the others over some tenths of a second, and every
/// one that knows of no reader would read.
const DISCOVERY_TIMEOUT: Duration = Duration::from_millis(200);
const MAX_ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_millis(1200);

/// How long it waits for a configuration that was announced: less than the time for which it may
/// be without one.
const FETCH_TIMEOUT: Duration = Duration::from_millis(1500);

/// How often it checks whether the data has arrived.
const START_POLL: Duration = Duration::from_millis(20);

/// How often a follower checks whether its role has changed.
pub(super) const ROLE_POLL: Duration = Duration::from_millis(150);

/// Applies an answer of the store. Returns what to do next.
///
/// Separate from the call, since an answer that ends an outage must not be applied before the
/// end of the outage is recorded: the entries that it removes may have expired in the outage.
pub(super) type Answer<'a> = Box<dyn FnOnce(Freshness) -> Next + Send + 'a>;

/// What to do after an answer of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Next {
    /// Watch for changes after a revision, up to which they are known.
    Watch(Revision),
    /// Watch for changes after the revision of a list that was read whole.
    WatchList(Revision),
    /// Only a part of a list could be read, at a revision: read the list again later.
    Part(Revision),
    /// Read everything: the store lacks the changes after the watched revision, or it came back
    /// from an older copy of itself.
    Read,
    /// Make the call again later: the answer is older than what is known here.
    Retry,
}

/// A kind of data in the store.
#[async_trait]
pub(super) trait Source: Send + Sync {
    /// The name in logs.
    fn name(&self) -> &'static str;

    /// Reads all of it.
    async fn read(&self, progress: &Progress) -> Result<Answer<'_>, Error>;

    /// Waits for changes after a revision.
    async fn watch(
        &self,
        after: Revision,
        wait: Duration,
        progress: &Progress,
    ) -> Result<Answer<'_>, Error>;

    /// Whether changes are watched for while only a part of the list is known. If not, the list is
    /// read again and again.
    fn watches_part(&self) -> bool {
        false
    }

    /// How long changes are batched before the next watch.
    fn gather(&self) -> Duration {
        Duration::ZERO
    }

    /// Waits before the first read for other gateways to send the data.
    async fn start(&self) {}

    /// The last revision at which the data here is known to be the newest, from any origin.
    fn known(&self) -> Option<Revision> {
        None
    }

    /// When other gateways last raised that revision; zero if they did not.
    fn gossiped_at(&self) -> Duration {
        Duration::ZERO
    }

    /// Whether this gateway watches the store for changes, or receives them from other gateways.
    fn role(&self) -> Role {
        self.shared().state.role()
    }

    /// Waits until a call that starts now is no longer needed, because the data arrived from
    /// other gateways first or they are to send it from now on.
    async fn needless(&self) {
        pending().await
    }

    /// Whether data that other gateways were to send is overdue.
    fn is_overdue(&self) -> bool {
        false
    }

    /// The number of gateways among which the calls are distributed.
    fn askers(&self) -> usize {
        self.shared().askers()
    }

    /// The store and the state.
    fn shared(&self) -> &Shared;

    /// Records whether the store answered.
    fn answered(&self, _: bool) {}
}

/// The store that all sources read from, and the state that they update.
pub(super) struct Shared {
    pub(super) state: Arc<State>,
    pub(super) registry: Arc<dyn Registry>,
}

impl Shared {
    /// Waits until data has arrived from other gateways, as long as they may send it: a gateway
    /// that starts while others run gets it from them. If all gateways that start at once read
    /// everything, they would saturate the link to the store.
    async fn wait_for<T>(&self, known: impl Fn(&State) -> Option<T>) {
        let state = &self.state;
        if state.options().seeds.is_empty() {
            return;
        }
        let began = state.clock().now();
        while known(state).is_none() && self.may_arrive(state.clock().now().saturating_sub(began)) {
            sleep(START_POLL).await;
        }
    }

    /// Whether other gateways are known to have a configuration, or may still announce one.
    fn may_arrive(&self, waited: Duration) -> bool {
        let state = &self.state;
        let is_announced = state.configuration_behind() > Duration::ZERO;
        let timeout = match state.role() {
            Role::Reader if !is_announced => {
                ANNOUNCEMENT_TIMEOUT.max(self.discovery_deadline()).min(MAX_ANNOUNCEMENT_TIMEOUT)
            }
            _ => FETCH_TIMEOUT,
        };
        waited < timeout
    }

    /// Until when a starting gateway waits because others were discovered lately: the next one
    /// discovered may be a reader that ranks before it.
    fn discovery_deadline(&self) -> Duration {
        self.state.discovered_at() + DISCOVERY_TIMEOUT
    }

    /// The number of gateways that call the store for data that only readers watch.
    fn askers(&self) -> usize {
        match self.state.role() {
            Role::Reader => self.state.readers(),
            Role::Follower => self.state.view().gateways,
        }
    }
}

/// The operators' configuration.
pub(super) struct Configuration(pub(super) Shared);

/// The versions that models are to have.
pub(super) struct Versions(pub(super) Shared);

/// The list of endpoints.
pub(super) struct Endpoints(pub(super) Shared);

/// The evacuated availability zones.
pub(super) struct Evacuations(pub(super) Shared);

/// The origin of data, for logs.
const STORE: &str = "store";

/// Applies what was read, unless it is older than what is known. A list without an era counts as
/// one of the era that is known.
fn apply_list<T>(
    source: &dyn Source,
    listed: Listed<Fact<T>>,
    apply: impl FnOnce(Listed<Fact<T>>),
) -> Next {
    let (state, kind) = (&source.shared().state, source.name());
    let known = source.known();
    let listed = listed.map(|fact| Fact::new(fact.revision.or_in(state.era()), fact.value));
    let next = match &listed {
        Listed::Whole(fact) => Next::WatchList(fact.revision),
        Listed::Part(fact) => Next::Part(fact.revision),
    };
    let (Listed::Whole(Fact { revision, .. }) | Listed::Part(Fact { revision, .. })) = listed;
    state.observe_era(revision.era(), kind);
    apply(listed);
    match known.filter(|known| revision < *known) {
        None => next,
        Some(known) => {
            tracing::info!(kind, %revision, %known, "an answer of the store is older than known");
            Next::Retry
        }
    }
}

/// Applies the result of a watch from a revision. Changes are of the era of that revision: those of
/// a later one are changes of an older copy.
fn apply_watch<T>(
    source: &dyn Source,
    after: Revision,
    seen: Watched<T>,
    apply: impl FnOnce(Fact<T>),
) -> Next {
    let (state, kind) = (&source.shared().state, source.name());
    let fact = match seen {
        Watched::Updated(fact) => fact,
        Watched::Compacted => {
            tracing::info!(kind, %after, "the store lacks the watched revision");
            return Next::Read;
        }
    };
    let revision = fact.revision;
    state.observe_era(revision.era(), kind);
    match revision.era().cmp(&after.era()) {
        Ordering::Equal => {
            apply(fact);
            Next::Watch(revision)
        }
        Ordering::Greater => Next::Read,
        Ordering::Less => {
            tracing::info!(kind, %revision, known = %after, "an answer of the store is older than known");
            Next::Retry
        }
    }
}

impl Configuration {
    /// Indexes the configuration of a list as [`index`](Self::index) does.
    async fn index_list(
        &self,
        read: Listed<Fact<Option<Declared>>>,
        progress: &Progress,
    ) -> Listed<Fact<Option<Catalog>>> {
        match read {
            Listed::Whole(read) => Listed::Whole(self.index(read, progress).await),
            Listed::Part(read) => Listed::Part(self.index(read, progress).await),
        }
    }

    /// Logs a configuration that was read, and indexes it if it is newer than the one in force.
    async fn index(
        &self,
        read: Fact<Option<Declared>>,
        progress: &Progress,
    ) -> Fact<Option<Catalog>> {
        let Fact { revision, value } = read;
        let Some(declared) = value else { return Fact::new(revision, None) };
        fetch_log::completed(STORE, STORE, declared.version, progress);
        Fact::new(revision, self.0.state.index(declared).await)
    }

    /// Applies the newest configuration of a list. A part of one does not show that it is the newest
    /// at the revision of the list.
    fn apply_list(&self, listed: Listed<Fact<Option<Catalog>>>) {
        match listed {
            Listed::Whole(fact) => self.apply(fact),
            Listed::Part(Fact { value, .. }) => {
                let known = self.known().unwrap_or_default();
                let newest = value.map(|catalog| Fact::new(known, catalog));
                newest.map(|newest| self.0.state.apply_catalog(newest, STORE));
            }
        }
    }

    fn apply(&self, fact: Fact<Option<Catalog>>) {
        if let Some(catalog) = fact.value {
            self.0.state.apply_catalog(Fact::new(fact.revision, catalog), STORE);
        }
        self.0.state.confirm_configuration(fact.revision);
    }
}

#[async_trait]
impl Source for Configuration {
    fn name(&self) -> &'static str {
        "configuration"
    }

    async fn read(&self, progress: &Progress) -> Result<Answer<'_>, Error> {
        let read = self.0.registry.configuration(progress).await?;
        let read = self.index_list(read, progress).await;
        Ok(Box::new(move |_| apply_list(self, read, |listed| self.apply_list(listed))))
    }

    async fn watch(
        &self,
        after: Revision,
        wait: Duration,
        progress: &Progress,
    ) -> Result<Answer<'_>, Error> {
        let seen = match self.0.registry.watch_configuration(after, wait, progress).await? {
            Watched::Updated(read) => Watched::Updated(self.index(read, progress).await),
            Watched::Compacted => Watched::Compacted,
        };
        Ok(Box::new(move |_| apply_watch(self, after, seen, |fact| self.apply(fact))))
    }

    async fn start(&self) {
        self.0.wait_for(State::configuration_revision).await;
    }

    fn known(&self) -> Option<Revision> {
        self.0.state.configuration_revision()
    }

    fn shared(&self) -> &Shared {
        &self.0
    }

    /// The rest of an unneeded answer would take bandwidth from newer data.
    async fn needless(&self) {
        let state = &self.0.state;
        let mut changes = state.subscribe();
        let (version, role) = (state.configuration_identity().0, state.role());
        loop {
            tokio::select! {
                () = changes.changed() => {}
                () = sleep(ROLE_POLL) => {}
            }
            let hands_over = role == Role::Reader && state.role() == Role::Follower;
            if hands_over || state.configuration_identity().0 != version {
                return;
            }
        }
    }

    fn is_overdue(&self) -> bool {
        self.0.state.is_configuration_overdue()
    }

    fn answered(&self, answered: bool) {
        self.0.state.record_configuration_call(answered);
    }
}

impl Versions {
    fn apply_list(&self, listed: Listed<Fact<Rollout>>, freshness: Freshness) {
        match listed {
            Listed::Whole(fact) => self.apply(fact, freshness),
            Listed::Part(fact) => self.0.state.apply_rollout_part(&fact.value, freshness),
        }
    }

    fn apply(&self, fact: Fact<Rollout>, freshness: Freshness) {
        self.0.state.apply_rollout(&fact, freshness);
    }
}

#[async_trait]
impl Source for Versions {
    fn name(&self) -> &'static str {
        "versions"
    }

    async fn read(&self, _: &Progress) -> Result<Answer<'_>, Error> {
        let read = self.0.registry.rollout().await?;
        Ok(Box::new(move |freshness| {
            apply_list(self, read, |listed| self.apply_list(listed, freshness))
        }))
    }

    async fn watch(
        &self,
        after: Revision,
        wait: Duration,
        _: &Progress,
    ) -> Result<Answer<'_>, Error> {
        let seen = self.0.registry.watch_rollout(after, wait).await?;
        Ok(Box::new(move |freshness| {
            apply_watch(self, after, seen, |fact| self.apply(fact, freshness))
        }))
    }

    async fn start(&self) {
        self.0.wait_for(State::rollout_revision).await;
    }

    fn known(&self) -> Option<Revision> {
        self.0.state.rollout_revision()
    }

    fn gossiped_at(&self) -> Duration {
        self.0.state.rollout_gossiped_at()
    }

    fn shared(&self) -> &Shared {
        &self.0
    }
}

#[async_trait]
impl Source for Endpoints {
    fn name(&self) -> &'static str {
        "endpoints"
    }

    async fn read(&self, _: &Progress) -> Result<Answer<'_>, Error> {
        let read = self.0.registry.endpoints().await?;
        let listed = |listed| match listed {
            Listed::Whole(fact) => _ = self.0.state.apply_directory(fact, STORE),
            Listed::Part(fact) => _ = self.0.state.apply_directory_part(fact, STORE),
        };
        Ok(Box::new(move |_| apply_list(self, read, listed)))
    }

    async fn watch(
        &self,
        after: Revision,
        wait: Duration,
        _: &Progress,
    ) -> Result<Answer<'_>, Error> {
        let seen = self.0.registry.watch_endpoints(after, wait).await?;
        let changed = |fact| _ = self.0.state.apply_directory_changes(fact, STORE);
        Ok(Box::new(move |_| apply_watch(self, after, seen, changed)))
    }

    /// Endpoints that leave show in changes alone.
    fn watches_part(&self) -> bool {
        true
    }

    fn gather(&self) -> Duration {
        let gather = self.0.state.options().gather;
        // Entries that return too late after an outage are removed for a time.
        let awaits_entries = self.0.state.next_retention_end().is_some();
        if awaits_entries { gather.min(MAX_BATCH_AFTER_OUTAGE) } else { gather }
    }

    async fn start(&self) {
        self.0.wait_for(State::directory_revision).await;
    }

    fn known(&self) -> Option<Revision> {
        self.0.state.directory_revision()
    }

    fn shared(&self) -> &Shared {
        &self.0
    }
}

#[async_trait]
impl Source for Evacuations {
    fn name(&self) -> &'static str {
        "evacuations"
    }

    async fn read(&self, _: &Progress) -> Result<Answer<'_>, Error> {
        let read = self.0.registry.evacuations().await?;
        let listed = |listed| match listed {
            Listed::Whole(fact) => self.0.state.apply_evacuations(fact, STORE),
            Listed::Part(fact) => self.0.state.apply_evacuations_part(fact, STORE),
        };
        Ok(Box::new(move |_| apply_list(self, read, listed)))
    }

    async fn watch(
        &self,
        after: Revision,
        wait: Duration,
        _: &Progress,
    ) -> Result<Answer<'_>, Error> {
        let seen = self.0.registry.watch_evacuations(after, wait).await?;
        let changed = |fact| self.0.state.apply_evacuation_changes(fact, STORE);
        Ok(Box::new(move |_| apply_watch(self, after, seen, changed)))
    }

    async fn start(&self) {
        self.0.wait_for(State::evacuations_revision).await;
    }

    fn known(&self) -> Option<Revision> {
        self.0.state.evacuations_revision()
    }

    fn shared(&self) -> &Shared {
        &self.0
    }
}
