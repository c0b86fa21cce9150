//! Generates the schema crate's types from `schema/*.json`.
//!
//! `cargo run -p cinderspoke-codegen` writes the generated files;
//! with `--check` it writes nothing and exits with 1 when one is stale.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use anyhow::{Context, Result};
use clap::{Arg, ArgAction, Command};
use schemars::schema::RootSchema;
use typify::{TypeSpace, TypeSpaceImpl, TypeSpaceSettings};

/// The schemas that become modules of their own.
const MODULES: [&str; 3] = ["control", "operator", "settings"];

/// The schema whose definitions stand for types written by hand.
const NAMES: &str = "names";

/// Definitions of `names.json` and the types that they stand for.
const REPLACEMENTS: [(&str, &str); 17] = [
    ("Address", "std::net::SocketAddr"),
    ("AuthorName", "cinderspoke_types::id::Author"),
    ("ByteRate", "cinderspoke_types::rate::ByteRate"),
    ("Digest", "cinderspoke_types::digest::Digest"),
    ("Fence", "cinderspoke_types::counter::Fence"),
    ("Generation", "cinderspoke_types::counter::Generation"),
    ("Incarnation", "cinderspoke_types::counter::Incarnation"),
    ("InstanceName", "cinderspoke_types::id::Instance"),
    ("ModelName", "cinderspoke_types::id::Model"),
    ("OperationName", "cinderspoke_types::id::Operation"),
    ("RegionName", "cinderspoke_types::id::Region"),
    ("ServiceName", "cinderspoke_types::id::Service"),
    ("Size", "cinderspoke_types::size::Bytes"),
    ("TeamName", "cinderspoke_types::id::Team"),
    ("Term", "cinderspoke_types::counter::Term"),
    ("VersionName", "cinderspoke_types::id::Version"),
    ("ZoneName", "cinderspoke_types::id::Zone"),
];

fn main() -> Result<ExitCode> {
    let check = Arg::new("check").long("check").action(ArgAction::SetTrue);
    let matches = Command::new("cinderspoke-codegen").arg(check).get_matches();
    let check = matches.get_flag("check");
    let mut stale = false;
    for module in MODULES {
        let text = generate(module).with_context(|| format!("in schema/{module}.json"))?;
        let path = output(module);
        if check {
            let current = std::fs::read_to_string(&path).unwrap_or_default();
            if current != text {
                eprintln!("{} is stale: run cargo run -p cinderspoke-codegen", path.display());
                stale = true;
            }
        } else {
            std::fs::write(&path, text).with_context(|| format!("writing {}", path.display()))?;
        }
    }
    Ok(if stale { ExitCode::FAILURE } else { ExitCode::SUCCESS })
}

fn workspace() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn output(module: &str) -> PathBuf {
    workspace().join(format!("crates/schema/src/generated/{module}.rs"))
}

fn read(name: &str) -> Result<RootSchema> {
    let path = workspace().join(format!("schema/{name}.json"));
    let text =
        std::fs::read_to_string(&path).with_context(|| format!("reading {}", path.display()))?;
    serde_json::from_str(&text).context("reading the schema")
}

fn generate(module: &str) -> Result<String> {
    let mut settings = TypeSpaceSettings::default();
    settings.with_derive("PartialEq".to_owned());
    for (name, path) in REPLACEMENTS {
        let impls = [TypeSpaceImpl::Display, TypeSpaceImpl::FromStr];
        settings.with_replacement(name, path, impls.into_iter());
    }
    let mut schema = read(module)?;
    schema.definitions.extend(read(NAMES)?.definitions);
    let mut space = TypeSpace::new(&settings);
    space.add_ref_types(schema.definitions).context("converting the definitions")?;
    let file = syn::parse2(space.to_stream()).context("parsing the generated code")?;
    let header = format!(
        "// Generated from schema/{module}.json by cinderspoke-codegen; not to be edited.\n\n"
    );
    Ok(header + &prettyplease::unparse(&file))
}
