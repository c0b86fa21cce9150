//! Configurations of any size, for experiments.

use cinderspoke_core::manifest::Manifest;
use cinderspoke_schema::control::Part;
use cinderspoke_types::digest::Digest;
use cinderspoke_types::id::{Model, Version};
use cinderspoke_types::size::Bytes;

use crate::weights::generate;

/// The availability zones at the target size, with their regions.
pub const ZONES: [(&str, &str); 7] = [
    ("a-1", "a"),
    ("a-2", "a"),
    ("a-3", "a"),
    ("b-1", "b"),
    ("b-2", "b"),
    ("c-1", "c"),
    ("c-2", "c"),
];

/// The model's versions: the one in use, and the one that comes.
pub const VERSIONS: [&str; 2] = ["old", "new"];

/// A configuration with one model service and one plain service.
#[derive(Debug, Clone)]
pub struct World {
    /// Availability zones, with their regions.
    pub zones: Vec<(&'static str, &'static str)>,
    /// Replicas of the model service.
    pub replicas: u32,
    /// Replicas of the plain service.
    pub plain: u32,
    /// The size of the model's weights.
    pub size: Bytes,
    /// The size of their chunks.
    pub chunk: Bytes,
    /// What bytes from the origin count against time.
    pub origin_weight: f64,
}

impl World {
    /// The manifest of a version.
    #[must_use]
    pub fn manifest(&self, version: &str) -> Digest {
        let (model, version) = (name::<Model>("words"), name::<Version>(version));
        Manifest::build(&generate(&model, &version, self.size), self.chunk).digest()
    }

    /// The files that declare the world, with the model service at a version.
    #[must_use]
    pub fn files(&self, version: &str) -> Vec<Part> {
        let mut text = format!("[policy]\norigin_weight = {:?}\n\n", self.origin_weight);
        for (zone, region) in &self.zones {
            text += &format!("[[zone]]\nname = \"{zone}\"\nregion = \"{region}\"\n\n");
        }
        for team in ["readers", "writers", "tellers"] {
            text += &format!("[[team]]\nname = \"{team}\"\n\n");
        }
        text += "[[model]]\nname = \"words\"\n\n";
        for version in VERSIONS {
            let (digest, size) = (self.manifest(version), self.size);
            text += "[[model.version]]\n";
            text +=
                &format!("name = \"{version}\"\nmanifest = \"{digest}\"\nsize = \"{size}\"\n\n");
        }
        text += "[[service]]\nname = \"say\"\nkind = \"model\"\nmodel = \"words\"\n";
        text += &format!("version = \"{version}\"\nreplicas = {}\n\n", self.replicas);
        if self.plain > 0 {
            text += "[[service]]\nname = \"jobs\"\nkind = \"plain\"\n";
            text += &format!("replicas = {}\n", self.plain);
            text += "not_repeatable = [{ method = \"POST\", path = \"/bills*\" }]\n";
        }
        vec![Part { name: "world.toml".into(), text }]
    }
}

fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(name: &str) -> T {
    name.parse().expect("names in this file are well formed")
}
