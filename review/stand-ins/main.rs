//! Stand-ins for the clients, endpoints and platform of the review's cases, and the cases.
//!
//! `stand-ins CASE FOLDER RECORD` plays a case. It exits with 1 if the rule was broken, 0 if it
//! held, and 2 if the case could not run. With the variable `TROUBLE` set to 0, the disruption is
//! left out.

mod crash;
mod endpoint;
mod engine;
mod http;
mod memory;
mod rot;
mod sha256;
mod store;
mod world;

use std::io;
use std::path::Path;
use std::process::ExitCode;

/// Whether a rule was broken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
}

fn main() -> ExitCode {
    let args: Vec<_> = std::env::args().skip(1).collect();
    match play(&args) {
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}

fn play(args: &[String]) -> io::Result<Verdict> {
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    match args {
        [command, ..] if command == "endpoint" => {
            let options = endpoint::Options::from_args(args).ok_or(io::ErrorKind::InvalidInput)?;
            endpoint::run(options).map(|()| Verdict::Held)
        }
        [case, folder, record] => {
            let (folder, record) = (Path::new(folder), Path::new(record));
            match case.as_str() {
                "crash" => crash::play(folder, record, has_trouble),
                "memory" => memory::play(folder, record, has_trouble),
                "rot" => rot::play(folder, record, has_trouble),
                _ => Err(io::ErrorKind::InvalidInput.into()),
            }
        }
        _ => Err(io::ErrorKind::InvalidInput.into()),
    }
}
