//! A model of an engine with continuous batching. In each pass it reads the prompts that have got
//! a slot, and every running request writes some tokens.

use std::collections::VecDeque;
use std::time::Duration;

use cinderspoke_core::gateway::catalog;

use super::super::ms;

const STEP_MS: f64 = 7.0;
const STRIDE: f64 = 6.0;
const READ_PER_MS: f64 = 30.0;
pub(crate) const PROMPT: f64 = 900.0;
pub(crate) const ANSWER: f64 = 120.0;

/// The declaration of an engine with `slots` slots.
pub(crate) fn declared(slots: usize) -> catalog::Engine {
    catalog::Engine {
        slots: slots as u32,
        capacity: 1_000_000,
        step_ms: STEP_MS,
        per_request_ms: 0.0,
        per_context_ms: 0.0,
        read_per_s: READ_PER_MS * 1000.0,
        per_pairs_ms: 0.0,
        chunk: 2048,
        stride: STRIDE as u32,
        usual_prompt: PROMPT as u32,
        usual_answer: ANSWER as u32,
        models: vec!["m".into()],
        layers: 16,
        chunks: 64,
        chunk_bytes: 32_768,
        load: ms(300),
    }
}

/// Requests per second that an engine can complete: each takes the prefill of its prompt and its
/// share of the decode steps.
pub(crate) fn capacity(slots: usize) -> f64 {
    1000.0 / (PROMPT / READ_PER_MS + ANSWER * STEP_MS / slots as f64)
}

/// A request at an engine.
pub(crate) struct Job {
    pub(crate) caller: usize,
    pub(crate) gateway: usize,
    pub(crate) number: u64,
    /// The tokens of its prompt.
    pub(crate) prompt: f64,
    /// The tokens of its answer that are not written yet.
    pub(crate) left: f64,
}

/// An engine with its waiting and running requests.
pub(crate) struct Engine {
    slots: usize,
    // Ratio of its actual to its declared processing time.
    slowdown: f64,
    waiting: VecDeque<Job>,
    running: Vec<Job>,
    // Number of waiting requests whose prompts are read in the pass; `None` between two passes.
    read: Option<usize>,
}

/// The result of an engine's pass.
pub(crate) struct Passed {
    /// Callers, gateways and numbers of the requests that have got their first token.
    pub(crate) begun: Vec<(usize, usize, u64)>,
    /// Gateways and numbers of those that have ended.
    pub(crate) ended: Vec<(usize, u64)>,
}

impl Engine {
    pub(crate) fn new(slots: usize, slowdown: f64) -> Self {
        Self { slots, slowdown, waiting: VecDeque::new(), running: Vec::new(), read: None }
    }

    pub(crate) fn push(&mut self, job: Job) {
        self.waiting.push_back(job);
    }

    /// Number of requests that have a slot or can get one.
    pub(crate) fn busy(&self) -> usize {
        (self.running.len() + self.waiting.len()).min(self.slots)
    }

    /// Begins a pass if none is in progress and there is work; returns its duration.
    pub(crate) fn begin(&mut self) -> Option<Duration> {
        if self.read.is_some() {
            return None;
        }
        let read = self.waiting.len().min(self.slots - self.running.len());
        let reading: f64 = self.waiting.iter().take(read).map(|job| job.prompt / READ_PER_MS).sum();
        let writing = if self.running.is_empty() { 0.0 } else { STRIDE * STEP_MS };
        let takes = (reading + writing) * self.slowdown;
        (takes > 0.0).then(|| {
            self.read = Some(read);
            Duration::from_secs_f64(takes / 1000.0)
        })
    }

    /// Ends the pass.
    pub(crate) fn end(&mut self) -> Passed {
        let read = self.read.take().unwrap_or_default();
        self.running.iter_mut().for_each(|job| job.left -= STRIDE);
        let done = |job: &Job| job.left <= 0.0;
        let ended = self.running.iter().filter(|job| done(job));
        let ended = ended.map(|job| (job.gateway, job.number)).collect();
        self.running.retain(|job| !done(job));
        let begun: Vec<_> = self.waiting.drain(..read).collect();
        let first = begun.iter().map(|job| (job.caller, job.gateway, job.number)).collect();
        self.running.extend(begun);
        Passed { begun: first, ended }
    }
}
