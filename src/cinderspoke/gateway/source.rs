//! The kinds of facts that a gateway learns from the platform's store, and how each is read.

use std::future::pending;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use cinderspoke_core::gateway::catalog::Declared;
use cinderspoke_core::gateway::fact::{Fact, Revision};
use cinderspoke_core::gateway::region::Role;
use cinderspoke_core::gateway::rollout::Rollout;
use cinderspoke_core::gateway::watch::Freshness;
use cinderspoke_ports::Error;
use cinderspoke_ports::client::Progress;
use cinderspoke_ports::gateway::{Registry, Seen};
use tokio::time::sleep;

use super::draw;
use super::state::State;

/// How long news of endpoints gather at most while entries are awaited that lapsed in an
/// outage: a small part of the time that they have to be back.
const GATHER_AFTER_OUTAGE: Duration = Duration::from_millis(250);

/// How long a gateway that starts waits until another one says that it has a configuration:
/// some round trips to a seed and to those that it names.
const FIRST_WORD: Duration = Duration::from_millis(300);

/// How much longer it waits each time that it comes to know of another gateway, and how long
/// altogether: where hundreds start at once each hears of the others over some tenths of a
/// second, and all that heard of nobody who reads would read.
const NEXT_WORD: Duration = Duration::from_millis(200);
const ALL_WORDS: Duration = Duration::from_millis(1200);

/// How long it waits for the configuration of which it was told: less than it may be away.
const TOLD: Duration = Duration::from_millis(1500);

/// How often it looks whether it has it.
const LOOK: Duration = Duration::from_millis(20);

/// How often a gateway that follows others looks whether it still does.
pub(super) const LOOK_AT_ROLE: Duration = Duration::from_millis(150);

/// What the store has answered, to be taken in; gives the revision from which to
/// watch, none when all has to be read anew.
///
/// Apart from the asking, since what ends an outage must not be taken in before
/// it is known to end one: the entries that it removes may have lapsed meanwhile.
pub(super) type Answer<'a> = Box<dyn FnOnce(Freshness) -> Option<Revision> + Send + 'a>;

/// How a kind of fact is read.
#[async_trait]
pub(super) trait Source: Send + Sync {
    /// Its name, for logs.
    fn name(&self) -> &'static str;

    /// Reads all of it.
    async fn read(&self, progress: &Progress) -> Result<Answer<'_>, Error>;

    /// Waits for news after a revision.
    async fn watch(
        &self,
        after: Revision,
        wait: Duration,
        progress: &Progress,
    ) -> Result<Answer<'_>, Error>;

    /// How long news gather before the next watch.
    fn gather(&self) -> Duration {
        Duration::ZERO
    }

    /// Waits for what other gateways tell, before the first of it is read.
    async fn start(&self) {}

    /// The last revision at which what is known is the newest, by whoever told it.
    fn known(&self) -> Option<Revision> {
        None
    }

    /// When others last told that revision; zero if they did not.
    fn told_at(&self) -> Duration {
        Duration::ZERO
    }

    /// Whether this gateway waits for its news, or has them from others.
    fn role(&self) -> Role {
        self.shared().state.role()
    }

    /// Waits until a call that is made now is needless, since others told the news before it
    /// brought them, or are to tell them from now on.
    async fn needless(&self) {
        pending().await
    }

    /// Whether others, who were to tell the news, have not.
    fn is_left_behind(&self) -> bool {
        false
    }

    /// Among how many gateways the asking for it is shared.
    fn askers(&self) -> usize {
        self.shared().askers()
    }

    /// What it reads from, and where it brings it.
    fn shared(&self) -> &Shared;

    /// Takes in whether the store answers.
    fn answered(&self, _: bool) {}
}

/// What all sources read from, and where they bring it.
pub(super) struct Shared {
    pub(super) state: Arc<State>,
    pub(super) registry: Arc<dyn Registry>,
}

impl Shared {
    /// Waits until something is known from other gateways, as long as they may tell it: a
    /// gateway that starts while others run has it from them. Were all that start at once to
    /// read it whole, they would fill the link to the store.
    async fn wait_for<T>(&self, known: impl Fn(&State) -> Option<T>) {
        let state = &self.state;
        if state.options().seeds.is_empty() {
            return;
        }
        let began = state.clock().now();
        while known(state).is_none() && self.may_be_told(state.clock().now().saturating_sub(began))
        {
            sleep(LOOK).await;
        }
    }

    /// Whether other gateways are known to have a configuration, or may yet say so.
    fn may_be_told(&self, waited: Duration) -> bool {
        let state = &self.state;
        let told = state.configuration_behind() > Duration::ZERO;
        let patience = match state.role() {
            Role::Reader if !told => FIRST_WORD.max(self.others_known_at()).min(ALL_WORDS),
            _ => TOLD,
        };
        waited < patience
    }

    /// Until when after its start a gateway waits since others have lately come to be known:
    /// who comes before it and reads may be the next.
    fn others_known_at(&self) -> Duration {
        self.state.discovered_at() + NEXT_WORD
    }

    /// Among how many gateways the asking is shared for what few of them read.
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

/// The availability zones that are emptied.
pub(super) struct Evacuations(pub(super) Shared);

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
    fn learn(&self, fact: Fact<Option<Declared>>, progress: &Progress) {
        if let Some(declared) = fact.value {
            draw::came(STORE, STORE, declared.version, progress);
            self.0.state.apply_configuration(Fact::new(fact.revision, declared), STORE);
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
        let progress = progress.clone();
        Ok(Box::new(move |_| Some(take(read, |fact| self.learn(fact, &progress)))))
    }

    async fn watch(
        &self,
        after: Revision,
        wait: Duration,
        progress: &Progress,
    ) -> Result<Answer<'_>, Error> {
        let seen = self.0.registry.watch_configuration(after, wait, progress).await?;
        let progress = progress.clone();
        Ok(Box::new(move |_| take_news(seen, |fact| self.learn(fact, &progress))))
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

    /// What still comes of an answer then would take room on the link from what is news.
    async fn needless(&self) {
        let state = &self.0.state;
        let mut changes = state.subscribe();
        let (version, role) = (state.configuration_identity().0, state.role());
        loop {
            tokio::select! {
                () = changes.changed() => {}
                () = sleep(LOOK_AT_ROLE) => {}
            }
            let hands_over = role == Role::Reader && state.role() == Role::Follower;
            if hands_over || state.configuration_identity().0 != version {
                return;
            }
        }
    }

    fn is_left_behind(&self) -> bool {
        self.0.state.is_configuration_overdue()
    }

    fn answered(&self, answered: bool) {
        self.0.state.record_configuration_call(answered);
    }
}

impl Versions {
    fn learn(&self, fact: Fact<Rollout>, freshness: Freshness) {
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
        Ok(Box::new(move |freshness| Some(take(read, |fact| self.learn(fact, freshness)))))
    }

    async fn watch(
        &self,
        after: Revision,
        wait: Duration,
        _: &Progress,
    ) -> Result<Answer<'_>, Error> {
        let seen = self.0.registry.watch_rollout(after, wait).await?;
        Ok(Box::new(move |freshness| take_news(seen, |fact| self.learn(fact, freshness))))
    }

    async fn start(&self) {
        self.0.wait_for(State::rollout_revision).await;
    }

    fn known(&self) -> Option<Revision> {
        self.0.state.rollout_revision()
    }

    fn told_at(&self) -> Duration {
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
        let listed = |fact| _ = self.0.state.apply_directory(fact, STORE);
        Ok(Box::new(move |_| Some(take(read, listed))))
    }

    async fn watch(
        &self,
        after: Revision,
        wait: Duration,
        _: &Progress,
    ) -> Result<Answer<'_>, Error> {
        let seen = self.0.registry.watch_endpoints(after, wait).await?;
        let changed = |fact| _ = self.0.state.apply_directory_changes(fact, STORE);
        Ok(Box::new(move |_| take_news(seen, changed)))
    }

    fn gather(&self) -> Duration {
        let gather = self.0.state.options().gather;
        // Entries that come back late after an outage are given up for a while.
        let awaits_entries = self.0.state.next_retention_end().is_some();
        if awaits_entries { gather.min(GATHER_AFTER_OUTAGE) } else { gather }
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
        let listed = |fact| self.0.state.apply_evacuations(fact, STORE);
        Ok(Box::new(move |_| Some(take(read, listed))))
    }

    async fn watch(
        &self,
        after: Revision,
        wait: Duration,
        _: &Progress,
    ) -> Result<Answer<'_>, Error> {
        let seen = self.0.registry.watch_evacuations(after, wait).await?;
        let changed = |fact| self.0.state.apply_evacuation_changes(fact, STORE);
        Ok(Box::new(move |_| take_news(seen, changed)))
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
