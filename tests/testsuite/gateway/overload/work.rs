//! The workload: kinds of requests, and the sizes of their prompts.

use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::super::ms;
use super::engine::PROMPT;

/// A kind of requests.
#[derive(Clone, Copy)]
struct Kind {
    // Its fraction of all requests.
    fraction: f64,
    ttft_target: Duration,
    sizes: Sizes,
}

/// The distribution of the tokens of prompts.
#[derive(Clone, Copy)]
enum Sizes {
    /// Uniform, up to twice the usual prompt.
    Uniform,
    /// Lognormal, with a standard deviation equal to the mean, truncated at `most`.
    Lognormal { mean: f64, most: f64 },
}

impl Sizes {
    fn sample(self, random: &mut ChaCha8Rng) -> f64 {
        match self {
            Self::Uniform => random.random_range(100.0..2.0 * PROMPT - 100.0),
            Self::Lognormal { mean, most } => {
                let variance = std::f64::consts::LN_2;
                let exponent = mean.ln() - variance / 2.0 + variance.sqrt() * normal(random);
                exponent.exp().clamp(40.0, most)
            }
        }
    }
}

/// A standard normal deviate, by the Box-Muller transform.
fn normal(random: &mut ChaCha8Rng) -> f64 {
    let radius = (-2.0 * random.random_range(1e-12..1.0_f64).ln()).sqrt();
    radius * (std::f64::consts::TAU * random.random_range(0.0..1.0_f64)).cos()
}

/// The workload of callers.
#[derive(Clone)]
pub(crate) struct Work {
    kinds: Vec<Kind>,
}

impl Work {
    /// One kind, with uniformly distributed prompts.
    pub(crate) fn uniform() -> Self {
        Self { kinds: vec![Kind { fraction: 1.0, ttft_target: ms(400), sizes: Sizes::Uniform }] }
    }

    /// Three kinds with many short prompts and few long ones.
    pub(crate) fn lognormal() -> Self {
        let kind = |fraction, ttft_target, mean, most| Kind {
            fraction,
            ttft_target,
            sizes: Sizes::Lognormal { mean, most },
        };
        let kinds = [
            kind(0.41, ms(500), 1290.0, 3880.0),
            kind(0.31, ms(400), 787.0, 3330.0),
            kind(0.28, ms(400), 607.0, 2640.0),
        ];
        Self { kinds: kinds.into() }
    }

    /// Number of kinds.
    pub(crate) fn kinds(&self) -> usize {
        self.kinds.len()
    }

    /// Target of the time to first token of a kind's requests.
    pub(crate) fn ttft_target(&self, kind: usize) -> Duration {
        self.kinds[kind].ttft_target
    }

    /// Samples one request: its kind, and the tokens of its prompt.
    pub(crate) fn sample(&self, random: &mut ChaCha8Rng) -> (usize, f64) {
        let kind = self.sample_kind(random);
        (kind, self.kinds[kind].sizes.sample(random))
    }

    fn sample_kind(&self, random: &mut ChaCha8Rng) -> usize {
        if self.kinds.len() == 1 {
            return 0;
        }
        let mut left = random.random_range(0.0..1.0_f64);
        let found = self.kinds.iter().position(|kind| {
            left -= kind.fraction;
            left < 0.0
        });
        found.unwrap_or(self.kinds.len() - 1)
    }
}
