//! Text log: lines with time, level, part of the system and a sentence.

use log::LevelFilter;
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::append::file::FileAppender;
use log4rs::append::Append;
use log4rs::config::{Appender, Config, Root};
use log4rs::encode::pattern::PatternEncoder;

const PATTERN: &str = "{d(%Y-%m-%dT%H:%M:%S%.3f)} {l} {t}: {m}{n}";
/// Libraries that log warnings and errors only.
pub(crate) const LIBRARIES: &[&str] = &["hyper", "hyper_util", "reqwest", "axum", "opentelemetry"];
/// Libraries that log nothing, since their errors are reported by this program.
const SILENT: &[&str] = &["tarpc", "tracing"];

/// Initialises logging to a file, or to standard error.
///
/// # Errors
///
/// The error of opening the file, or an error if logging is already initialised.
pub fn open(level: LevelFilter, file: Option<&str>) -> std::io::Result<()> {
    let encoder = || Box::new(PatternEncoder::new(PATTERN));
    let appender: Box<dyn Append> = match file {
        Some(path) => Box::new(FileAppender::builder().encoder(encoder()).build(path)?),
        None => {
            let console = ConsoleAppender::builder().target(Target::Stderr);
            Box::new(console.encoder(encoder()).build())
        }
    };
    let library_level = level.min(LevelFilter::Warn);
    let mut config = Config::builder().appender(Appender::builder().build("main", appender));
    for library in LIBRARIES {
        let logger = log4rs::config::Logger::builder().build(*library, library_level);
        config = config.logger(logger);
    }
    for library in SILENT {
        let logger = log4rs::config::Logger::builder().build(*library, LevelFilter::Off);
        config = config.logger(logger);
    }
    let config = config
        .build(Root::builder().appender("main").build(level))
        .map_err(std::io::Error::other)?;
    log4rs::init_config(config).map_err(std::io::Error::other)?;
    Ok(())
}
