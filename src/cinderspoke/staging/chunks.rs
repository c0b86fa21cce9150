//! The chunks that an agent stages at its engine: uploaded, read back, and replaced if they have
//! turned bad.

use std::time::Duration;

use anyhow::{Result, bail};
use bytes::Bytes;
use cinderspoke_core::gateway::name::Model;
use cinderspoke_core::gateway::verification::{Step, Verification};
use cinderspoke_core::manifest::Manifest;
use cinderspoke_ports::Error;
use cinderspoke_ports::gateway::Engine;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use super::trust::Trust;
use crate::util::clock::Clock;

/// How many chunks are replaced in one verification before it is given up: reading them back may
/// fail by itself, again and again.
const MAX_REPLACEMENTS: usize = 32;

/// How long after an order, and after each reading of all chunks while it is pending, they are
/// read back again.
const REFRESH_DELAY: Duration = Duration::from_millis(250);

/// How a verification ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Verified {
    /// Each chunk was verified recently enough for an order.
    InTime,
    /// The engine is too slow for that: the chunks have to be verified again after the order.
    TooSlow,
}

/// The chunks of one version at an engine.
pub(super) struct Chunks<'a> {
    engine: &'a dyn Engine,
    model: &'a Model,
    manifest: &'a Manifest,
    // The whole chunks, in the order of the manifest.
    bytes: Vec<Bytes>,
    trust: &'a Trust,
    clock: Clock,
    verification: Verification,
}

/// A chunk that was read back.
struct Read {
    chunk: usize,
    began: Duration,
    ended: Duration,
    result: Result<Option<Bytes>, Error>,
}

impl<'a> Chunks<'a> {
    /// Creates the chunks of a version, of which nothing is known to be staged yet.
    pub(super) fn new(
        engine: &'a dyn Engine,
        model: &'a Model,
        manifest: &'a Manifest,
        bytes: Vec<Bytes>,
        trust: &'a Trust,
        clock: Clock,
    ) -> Self {
        let verification = Verification::new(bytes.len());
        Self { engine, model, manifest, bytes, trust, clock, verification }
    }

    /// What is known of the staged chunks.
    pub(super) fn verification(&mut self) -> &mut Verification {
        &mut self.verification
    }

    /// Uploads all chunks. Stops between two of them once `abandon` is cancelled: an upload that
    /// is under way has to end before anything else is staged.
    pub(super) async fn stage(&self, abandon: &CancellationToken) -> Result<()> {
        for chunk in 0..self.bytes.len() {
            if abandon.is_cancelled() {
                bail!("abandoned while chunks were staged");
            }
            self.upload(chunk).await?;
        }
        Ok(())
    }

    async fn upload(&self, chunk: usize) -> Result<(), Error> {
        let uploaded = self.engine.stage(self.model, chunk, self.bytes[chunk].clone()).await;
        if let Err(Error::Unavailable(_)) = uploaded {
            self.trust.record_lost_upload(self.clock.now());
        }
        uploaded
    }

    /// Reads chunks back and replaces those that are bad, until an order may be sent. Stops between
    /// two passes once `abandon` is cancelled.
    pub(super) async fn verify(&mut self, abandon: &CancellationToken) -> Result<Verified> {
        let mut replacements = 0;
        loop {
            if abandon.is_cancelled() {
                bail!("abandoned while staged chunks were verified");
            }
            let stale = match self.verification.step(self.clock.now()) {
                Step::Order => return Ok(Verified::InTime),
                Step::OrderThenVerify => return Ok(Verified::TooSlow),
                Step::Read(stale) => stale,
            };
            let bad = self.read_back(stale).await?;
            replacements += bad.len();
            if replacements > MAX_REPLACEMENTS {
                bail!("staged chunks turn bad again and again, the last ones: {bad:?}");
            }
            self.replace(bad).await?;
        }
    }

    /// Reads all chunks back and replaces those that are bad, again and again until `done` is
    /// cancelled: the engine may take a pending order at any time.
    pub(super) async fn keep_whole(&mut self, done: &CancellationToken) {
        loop {
            let bad = async {
                sleep(REFRESH_DELAY).await;
                self.find_bad().await
            };
            // Reads may be dropped, uploads may not.
            let bad = tokio::select! {
                biased;
                () = done.cancelled() => return,
                bad = bad => bad,
            };
            let replaced = match bad {
                Ok(bad) => self.replace(bad).await,
                Err(error) => Err(error),
            };
            if let Err(error) = replaced {
                let error = format!("{error:#}");
                tracing::debug!(model = %self.model, error, "failed to keep staged chunks whole");
            }
        }
    }

    /// Uploads chunks that are bad again.
    async fn replace(&self, bad: Vec<usize>) -> Result<()> {
        for chunk in bad {
            tracing::warn!(model = %self.model, chunk, "staged chunk is bad; replaced");
            self.upload(chunk).await?;
        }
        Ok(())
    }

    /// Reads all chunks back once, and returns those that are bad.
    pub(super) async fn find_bad(&mut self) -> Result<Vec<usize>> {
        self.read_back((0..self.bytes.len()).collect()).await
    }

    /// Reads chunks back, several at once, and returns those that are bad or missing.
    async fn read_back(&mut self, chunks: Vec<usize>) -> Result<Vec<usize>> {
        let (engine, model, clock) = (self.engine, self.model, self.clock);
        let limit = self.manifest.as_raw().chunk_size;
        let read = async |chunk| {
            let began = clock.now();
            let result = engine.staged(model, chunk, limit).await;
            Read { chunk, began, ended: clock.now(), result }
        };
        let (mut waiting, mut reads) = (chunks.into_iter(), FuturesUnordered::new());
        let mut bad = Vec::new();
        loop {
            while reads.len() < self.verification.concurrent_reads() {
                let Some(chunk) = waiting.next() else { break };
                reads.push(read(chunk));
            }
            let Some(Read { chunk, began, ended, result }) = reads.next().await else { break };
            let digest = result?.map(|bytes| self.manifest.algorithm().chunk(&bytes));
            if digest == self.manifest.chunk(chunk) {
                self.verification.record_intact(chunk, began, ended);
            } else {
                self.verification.record_bad(chunk, began, ended);
                bad.push(chunk);
            }
        }
        Ok(bad)
    }
}
