//! What a list of kinds of trouble makes of a seed: days, without any I/O.

use std::collections::{BTreeMap, BTreeSet};

use anyhow::{Context, Result, bail};
use cinderspoke_core::rendezvous::{Key, weight};
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use toml::{Table, Value};

/// The list as it is written.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct List {
    day: Frame,
    high: High,
    /// Names are unique once `how` is told apart.
    kind: Vec<Kind>,
}

/// What all days share.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Frame {
    length_s: f64,
    from_s: f64,
    until_s: f64,
    plan: Vec<Table>,
}

/// What high load adds.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct High {
    faults: Vec<Table>,
}

/// One kind of trouble, with its variants.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Kind {
    name: String,
    strike: Vec<Table>,
    #[serde(default)]
    how: Vec<String>,
    #[serde(default)]
    planned: bool,
    length_s: Option<f64>,
    closing: Option<Table>,
    only: Option<String>,
}

/// One variant of a kind.
#[derive(Debug, Clone)]
struct Trouble {
    name: String,
    strike: Vec<Table>,
    planned: bool,
    length_s: f64,
    closing: Option<Table>,
}

/// What is laid out.
#[derive(Debug, Clone, Default)]
pub(crate) struct Options {
    pub(crate) seed: u64,
    /// The deployment's names of the list's roles.
    pub(crate) services: BTreeMap<String, String>,
    /// The words of `only` that the deployment fits.
    pub(crate) only: BTreeSet<String>,
}

/// A day, as the platform's bench reads it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Day {
    pub(crate) name: String,
    pub(crate) text: String,
}

impl List {
    /// Reads a list.
    pub(crate) fn read(text: &str) -> Result<Self> {
        let list: Self = toml::from_str(text).context("list of kinds")?;
        if list.day.from_s >= list.day.until_s {
            bail!("from_s is not before until_s");
        }
        let mut names = BTreeSet::new();
        for kind in &list.kind {
            for trouble in kind.troubles(list.day.length_s) {
                if !names.insert(trouble.name.clone()) {
                    bail!("{} stands twice", trouble.name);
                }
            }
        }
        Ok(list)
    }

    /// The days of a seed: each trouble alone, at high load, and beside a drawn one.
    pub(crate) fn days(&self, options: &Options) -> Result<Vec<Day>> {
        let fits = |kind: &&Kind| kind.only.as_ref().is_none_or(|only| options.only.contains(only));
        let troubles: Vec<_> = self
            .kind
            .iter()
            .filter(fits)
            .flat_map(|kind| kind.troubles(self.day.length_s))
            .collect();
        let seed = Key::of_number(options.seed);
        let mut days = Vec::new();
        for trouble in &troubles {
            let own = std::slice::from_ref(trouble);
            days.push(self.day(&format!("quiet-{}", trouble.name), "quiet", own, options)?);
            days.push(self.day(&format!("high-{}", trouble.name), "scale", own, options)?);
            let subject = seed.with(Key::of(&trouble.name));
            let other = troubles
                .iter()
                .filter(|other| other.name != trouble.name && trouble.goes_with(other))
                .max_by_key(|other| weight(subject, Key::of(&other.name)));
            let Some(other) = other else { continue };
            let name = format!("pair-{}-with-{}", trouble.name, other.name);
            let both = [trouble.clone(), other.clone()];
            days.push(self.day(&name, "trouble", &both, options)?);
        }
        Ok(days)
    }

    fn day(&self, name: &str, slot: &str, troubles: &[Trouble], options: &Options) -> Result<Day> {
        // Each day draws for itself: one more kind in the list leaves the others as they are.
        let own = Key::of(name).with(Key::of_number(options.seed));
        let mut draw = ChaCha8Rng::seed_from_u64(own.as_u64());
        let (mut plan, mut faults) = (self.day.plan.clone(), Vec::new());
        if slot == "scale" {
            faults.extend(self.high.faults.iter().cloned());
        }
        for trouble in troubles {
            let moment = tenth(draw.random_range(self.day.from_s..self.day.until_s));
            let strike = trouble.strike.iter().map(|entry| at(entry, moment));
            if trouble.planned { plan.extend(strike) } else { faults.extend(strike) }
        }
        for entry in plan.iter_mut().chain(&mut faults) {
            name_service(entry, &options.services);
        }
        let length = troubles.iter().map(|trouble| trouble.length_s).fold(0.0, f64::max);
        let mut day = Table::new();
        day.insert("name".to_owned(), name.into());
        day.insert("slot".to_owned(), slot.into());
        // The bench takes seeds that fit in 31 bits.
        day.insert("seed".to_owned(), i64::from(draw.random_range(1..i32::MAX)).into());
        day.insert("labels".to_owned(), Value::Array(Vec::new()));
        day.insert("length_s".to_owned(), length.into());
        day.insert("plan".to_owned(), plan.into());
        day.insert("faults".to_owned(), faults.into());
        if let Some(closing) = troubles.iter().find_map(|trouble| trouble.closing.clone()) {
            day.insert("closing".to_owned(), closing.into());
        }
        let text = toml::to_string(&day).with_context(|| name.to_owned())?;
        Ok(Day { name: name.to_owned(), text })
    }
}

impl Kind {
    /// The variants, one for each word of `how`.
    fn troubles(&self, usual: f64) -> Vec<Trouble> {
        let one = Trouble {
            name: self.name.clone(),
            strike: self.strike.clone(),
            planned: self.planned,
            length_s: self.length_s.unwrap_or(usual),
            closing: self.closing.clone(),
        };
        if self.how.is_empty() {
            return vec![one];
        }
        self.how.iter().map(|how| one.variant(how)).collect()
    }
}

impl Trouble {
    /// The same trouble in the way that `how` says; empty is the usual way.
    fn variant(&self, how: &str) -> Self {
        let mut variant = self.clone();
        if how.is_empty() {
            return variant;
        }
        variant.name = format!("{}-{}", self.name, how.replace(' ', "-"));
        let first = variant.strike.first_mut().or(variant.closing.as_mut());
        if let Some(first) = first {
            first.insert("how".to_owned(), how.into());
        }
        variant
    }

    /// Nothing at all goes with nothing, and a day ends in one way only.
    fn goes_with(&self, other: &Self) -> bool {
        self.strikes() && other.strikes() && (self.closing.is_none() || other.closing.is_none())
    }

    fn strikes(&self) -> bool {
        !self.strike.is_empty() || self.closing.is_some()
    }
}

/// An entry at its moment of the day.
fn at(entry: &Table, moment: f64) -> Table {
    let mut entry = entry.clone();
    let after = entry.get("at").and_then(Value::as_float).unwrap_or_default();
    entry.insert("at".to_owned(), tenth(moment + after).into());
    entry
}

/// Puts the deployment's name in the place of a role; unknown ones are left to the seed.
fn name_service(entry: &mut Table, services: &BTreeMap<String, String>) {
    let Some(role) = entry.get("service").and_then(Value::as_str).map(str::to_owned) else {
        return;
    };
    match services.get(&role) {
        Some(name) => entry.insert("service".to_owned(), name.as_str().into()),
        None => entry.remove("service"),
    };
}

fn tenth(seconds: f64) -> f64 {
    (seconds * 10.0).round() / 10.0
}
