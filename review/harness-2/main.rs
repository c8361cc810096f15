//! Cases of the second review, as programs against the gateway: `cases CASE RECORD`.
//!
//! Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
//! With `TROUBLE=0` the same is done without the disruption.

mod cases;
mod packet;
mod store;
mod world;

use std::path::Path;
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, record] = &arguments[..] else {
        eprintln!("usage: cases CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    match cases::run(case, Path::new(record), trouble) {
        Ok(broken) if broken.is_empty() => {
            println!("the rule held");
            ExitCode::SUCCESS
        }
        Ok(broken) => {
            for line in broken.iter().take(5) {
                println!("{line}");
            }
            println!("{} breaches", broken.len());
            ExitCode::from(1)
        }
        Err(error) => {
            println!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
