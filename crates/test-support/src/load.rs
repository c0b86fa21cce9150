//! Live requests: sent when they are due, whatever became of earlier ones.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use cinderspoke::util::http::Client;
use cinderspoke_core::configuration::Configuration;
use cinderspoke_core::outcome::{Repeat, repeat};
use cinderspoke_schema::operator::{Kind, Service};
use cinderspoke_types::id;
use rand::prelude::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};
use tokio_util::sync::CancellationToken;

use crate::caller::{Answer, Caller, Timed};
use crate::fleet::{Fleet, runs};

/// How many prefixes the requests to models share.
const PREFIXES: u32 = 16;

/// The length of a shared prefix, in characters.
const PREFIX_LENGTH: usize = 300;

/// What is sent, and how often.
#[derive(Debug, Clone)]
pub struct Options {
    /// Requests a second.
    pub rate: f64,
    /// Tokens of each answer of a model.
    pub tokens: u32,
    /// The start of the random sequence; loads on one fleet need different ones.
    pub seed: u64,
}

/// One request that was sent, and what came.
#[derive(Debug, Clone)]
pub struct Sent {
    /// The request's own text: no two are alike.
    pub text: String,
    /// Whether it may run more than once.
    pub repeat: Repeat,
    /// What came.
    pub timed: Timed,
}

/// Load that is being sent.
pub struct Load {
    stop: CancellationToken,
    task: tokio::task::JoinHandle<Vec<Sent>>,
}

/// How many requests came to what.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Tally {
    /// Requests sent.
    pub requests: u64,
    /// Whole answers.
    pub answered: u64,
    /// Refusals as not run.
    pub not_run: u64,
    /// Answers that say it may have run, or none.
    pub unknown: u64,
    /// Refusals as wrong.
    pub bad: u64,
    /// Answers that broke off visibly.
    pub broken: u64,
    /// Answers that are wrong and look whole.
    pub wrong: u64,
    /// Requests that may run once and ran more often.
    pub doubled: u64,
    /// Requests refused as not run that ran.
    pub not_run_but_ran: u64,
    /// The wrong answers, for people to read.
    pub samples: Vec<String>,
}

impl Load {
    /// Starts to send requests for every service of a configuration, as teams
    /// that may call it, to the fleet's entry instances in turn.
    #[must_use]
    pub fn spawn(configuration: &Configuration, fleet: &Fleet, options: Options) -> Self {
        Self::spawn_to(configuration, fleet, fleet.callers(), options)
    }

    /// Starts to send requests to some of a fleet's entry instances.
    #[must_use]
    pub fn spawn_to(
        configuration: &Configuration,
        fleet: &Fleet,
        entries: Vec<SocketAddr>,
        options: Options,
    ) -> Self {
        let stop = CancellationToken::new();
        let sender = Sender {
            services: configuration.services.values().cloned().collect(),
            teams: configuration.teams.keys().cloned().collect(),
            entries,
            client: fleet.ground.callers(),
            random: ChaCha8Rng::seed_from_u64(options.seed),
            callers: BTreeMap::new(),
            options,
        };
        let task = tokio::spawn(sender.run(stop.clone()));
        Self { stop, task }
    }

    /// Sends no more requests, and waits for those in progress.
    pub async fn stop(self) -> Vec<Sent> {
        self.stop.cancel();
        self.task.await.unwrap_or_default()
    }
}

struct Sender {
    services: Vec<Service>,
    teams: Vec<id::Team>,
    entries: Vec<SocketAddr>,
    client: Client,
    random: ChaCha8Rng,
    callers: BTreeMap<id::Team, Caller>,
    options: Options,
}

impl Sender {
    async fn run(mut self, stop: CancellationToken) -> Vec<Sent> {
        let sent = Arc::new(Mutex::new(Vec::new()));
        let mut running = JoinSet::new();
        let started = Instant::now();
        for number in 0_u32.. {
            let due = started + Duration::from_secs_f64(f64::from(number) / self.options.rate);
            tokio::select! {
                biased;
                () = stop.cancelled() => break,
                () = sleep_until(due) => {}
            }
            let (request, sent) = (self.request(number), Arc::clone(&sent));
            running.spawn(async move {
                let result = request.await;
                sent.lock().unwrap_or_else(PoisonError::into_inner).push(result);
            });
        }
        while running.join_next().await.is_some() {}
        let mut sent = sent.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut sent)
    }

    fn request(&mut self, number: u32) -> impl Future<Output = Sent> + use<> {
        let service = self.services.choose(&mut self.random).cloned();
        let entry = self.entries[number as usize % self.entries.len()];
        let tokens = self.random.random_range(1..=self.options.tokens);
        let prefix = self.random.random_range(0..PREFIXES);
        let seed = self.options.seed;
        let caller = service.as_ref().map(|service| self.caller(service));
        async move {
            let (Some(service), Some(caller)) = (service, caller) else {
                unreachable!("a checked configuration has services and teams")
            };
            let text = format!("{prefix:PREFIX_LENGTH$} request {number} of load {seed}");
            match service.kind {
                Kind::Model => {
                    let timed = caller.generate(entry, &service.name, &text, tokens).await;
                    Sent { text, repeat: Repeat::Allowed, timed }
                }
                Kind::Plain => {
                    let path = path(&service);
                    let repeat = repeat(&service, "POST", &path);
                    let timed = caller.call(entry, &service.name, &path, &text, true).await;
                    Sent { text, repeat, timed }
                }
            }
        }
    }

    fn caller(&mut self, service: &Service) -> Caller {
        let teams = if service.teams.is_empty() { &self.teams } else { &service.teams };
        let team = teams.choose(&mut self.random).cloned();
        let team = team.unwrap_or_else(|| unreachable!("a checked configuration has teams"));
        self.callers
            .entry(team.clone())
            .or_insert_with(|| Caller::over(self.client.clone(), team))
            .clone()
    }
}

/// A path of a plain service: one that may not be repeated, where it has one.
fn path(service: &Service) -> String {
    let path = service.not_repeatable.first().map(|call| call.path.trim_end_matches('*'));
    path.unwrap_or("/jobs").to_owned()
}

/// Adds up what came, against what the endpoints of a fleet have run.
#[must_use]
pub fn tally(sent: &[Sent], fleet: &Fleet) -> Tally {
    let runs = runs(fleet);
    let mut tally = Tally { requests: sent.len() as u64, ..Tally::default() };
    for Sent { text, repeat, timed } in sent {
        let ran = runs.get(text).copied().unwrap_or_default();
        if *repeat == Repeat::Forbidden && ran > 1 {
            tally.doubled += 1;
        }
        match &timed.answer {
            Answer::Whole { .. } => tally.answered += 1,
            Answer::NotRun(_) => {
                tally.not_run += 1;
                tally.not_run_but_ran += u64::from(ran > 0);
            }
            Answer::Unknown(_) => tally.unknown += 1,
            Answer::Bad(..) => tally.bad += 1,
            Answer::Broken(_) => tally.broken += 1,
            Answer::Wrong(what) => {
                tally.wrong += 1;
                tally.samples.push(what.clone());
            }
        }
    }
    tally
}

/// The first-byte times of whole answers, in order.
#[must_use]
pub fn first_bytes(sent: &[Sent]) -> Vec<Duration> {
    let answered = sent.iter().filter(|sent| matches!(sent.timed.answer, Answer::Whole { .. }));
    let mut times: Vec<_> = answered.map(|sent| sent.timed.first_byte).collect();
    times.sort();
    times
}
