//! The sample sets of operators' files.

use cinderspoke_core::manifest::Manifest;
use cinderspoke_schema::control::Part;
use cinderspoke_types::size::Bytes;

use crate::weights::{CHUNK, generate};

/// A sample set.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sample {
    /// Adjei Bross: time weighs more.
    AdjeiBross,
    /// Prairie Shelf: origin bytes weigh more.
    PrairieShelf,
}

macro_rules! file {
    ($set:literal, $name:literal) => {
        ($name, include_str!(concat!("../../../examples/", $set, "/", $name)))
    };
}

const ADJEI_BROSS: [(&str, &str); 4] = [
    file!("adjei-bross", "models.toml"),
    file!("adjei-bross", "places.toml"),
    file!("adjei-bross", "services.toml"),
    file!("adjei-bross", "teams.toml"),
];

const PRAIRIE_SHELF: [(&str, &str); 4] = [
    file!("prairie-shelf", "models.toml"),
    file!("prairie-shelf", "places.toml"),
    file!("prairie-shelf", "services.toml"),
    file!("prairie-shelf", "teams.toml"),
];

impl Sample {
    /// The set's files.
    #[must_use]
    pub fn files(self) -> Vec<Part> {
        let files = match self {
            Self::AdjeiBross => ADJEI_BROSS,
            Self::PrairieShelf => PRAIRIE_SHELF,
        };
        files.map(|(name, text)| Part { name: name.into(), text: text.into() }).into()
    }
}

/// A small set for tests: two zones, a model of a few chunks and a plain service.
#[must_use]
pub fn small() -> Vec<Part> {
    let versions = ["one", "two"].map(|name| {
        let (model, size) = (name_of("words"), Bytes::from_mib(2));
        let version = name_of(name);
        let digest = Manifest::build(&generate(&model, &version, size), CHUNK).digest();
        format!(
            "[[model.version]]\nname = \"{name}\"\nmanifest = \"{digest}\"\nsize = \"{size}\"\n"
        )
    });
    let text = include_str!("small.toml").replace("# versions\n", &versions.concat());
    vec![Part { name: "small.toml".into(), text }]
}

fn name_of<T: std::str::FromStr<Err: std::fmt::Debug>>(name: &str) -> T {
    name.parse().expect("names in this file are well formed")
}
