//! `cinderspoke-bench days`: days of one kind of trouble each, laid out for the bench that
//! plays them.

use std::collections::BTreeMap;
use std::fs;
use std::path::PathBuf;

use anyhow::{Context, Result};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use crate::cli::seed;
use crate::days::{Day, List, Options};

pub(crate) fn cli() -> Command {
    let out = Arg::new("out")
        .long("out")
        .value_name("DIR")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("Where the days go, a file each");
    let list = Arg::new("list")
        .long("list")
        .value_name("FILE")
        .default_value("deploy/days/kinds.toml")
        .value_parser(value_parser!(PathBuf))
        .help("The list of kinds");
    let service = Arg::new("service")
        .long("service")
        .value_name("ROLE=NAME")
        .action(ArgAction::Append)
        .value_parser(pair)
        .help("What the deployment calls a role of the list; else the day's seed picks");
    let only = Arg::new("only")
        .long("only")
        .value_name("WORD")
        .action(ArgAction::Append)
        .help("Lay out also what only such deployments have");
    Command::new("days")
        .about("Lay out days of one kind of trouble each: quiet, at high load, and in pairs")
        .args([seed(), out, list, service, only])
        .after_help(
            "The same seed and list give the same days.\n\n\
             Example:\n  cinderspoke-bench days --seed 7 --out days --service engines=readers",
        )
}

pub(crate) fn exec(matches: &ArgMatches) -> Result<()> {
    let path = |name| matches.get_one::<PathBuf>(name).cloned().unwrap_or_default();
    let options = Options {
        seed: matches.get_one::<u64>("seed").copied().unwrap_or_default(),
        services: matches
            .get_many::<(String, String)>("service")
            .map(|pairs| pairs.cloned().collect::<BTreeMap<_, _>>())
            .unwrap_or_default(),
        only: matches
            .get_many::<String>("only")
            .map(|words| words.cloned().collect())
            .unwrap_or_default(),
    };
    let (list, out) = (path("list"), path("out"));
    let text = fs::read_to_string(&list).with_context(|| list.display().to_string())?;
    let days = List::read(&text)?.days(&options)?;
    fs::create_dir_all(&out).with_context(|| out.display().to_string())?;
    for Day { name, text } in &days {
        let file = out.join(format!("{name}.toml"));
        fs::write(&file, text).with_context(|| file.display().to_string())?;
    }
    println!("{} days in {}", days.len(), out.display());
    Ok(())
}

/// A role and its name.
fn pair(text: &str) -> Result<(String, String), String> {
    let (role, name) = text.split_once('=').ok_or("expected ROLE=NAME")?;
    Ok((role.to_owned(), name.to_owned()))
}
