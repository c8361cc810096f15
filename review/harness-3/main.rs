//! Stand-ins for platform, servers and consumers, and the cases that start the system's own
//! program between them. Usage: `cases NAME FOLDER`; the exit status is that of `run.sh`.

mod caller;
mod deployment;
mod gateway;
mod packet;
mod paused;
mod power_loss;
mod readmitted;
mod record;
mod router;
mod server;
mod store;
mod taken_back;

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use record::Record;

/// Outcome of a case.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    Kept,
    Broken,
}

/// What a case needs to run.
pub struct Context {
    /// Folder for settings and logs of the daemons.
    pub temporary: PathBuf,
    pub record: Record,
    /// Whether the disruption takes place.
    pub trouble: bool,
}

fn main() -> ExitCode {
    match run() {
        Ok(Verdict::Kept) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}

fn run() -> std::io::Result<Verdict> {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, folder] = &arguments[..] else {
        return Err(std::io::Error::other("usage: cases NAME FOLDER"));
    };
    let temporary = std::env::temp_dir().join(format!("review-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&temporary)?;
    let context = Context {
        temporary: temporary.clone(),
        record: Record::open(&Path::new(folder).join("record.txt"))?,
        trouble: std::env::var("TROUBLE").map_or(true, |v| v != "0"),
    };
    let result = match name.as_str() {
        "paused" => paused::run(&context),
        "power-loss" => power_loss::run(&context),
        "readmitted" => readmitted::run(&context),
        "taken-back" => taken_back::run(&context),
        _ => Err(std::io::Error::other(format!("no case is named {name}"))),
    };
    if std::env::var_os("KEEP_LOGS").is_none() {
        std::fs::remove_dir_all(&temporary)?;
    }
    result
}
