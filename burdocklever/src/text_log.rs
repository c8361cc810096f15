//! Logging: short sentences, with the part of the system as prefix.

use log::LevelFilter;
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::append::file::FileAppender;
use log4rs::append::Append;
use log4rs::config::{Appender, Config, Root};
use log4rs::encode::pattern::PatternEncoder;

/// Time, level, part and sentence.
const PATTERN: &str = "{d(%Y-%m-%dT%H:%M:%S%.3f)} {l} {t}: {m}{n}";
/// Libraries underneath that are quieter than the rest.
pub(crate) const LIBRARIES: &[&str] = &["hyper", "hyper_util", "reqwest", "axum", "opentelemetry"];
/// Libraries whose errors this system reports itself.
const SILENT: &[&str] = &["tarpc", "tracing"];

/// Sets up logging to a file, or to standard error.
///
/// # Errors
///
/// The error of opening the file.
pub fn open(level: LevelFilter, file: Option<&str>) -> std::io::Result<()> {
    let encoder = || Box::new(PatternEncoder::new(PATTERN));
    let appender: Box<dyn Append> = match file {
        Some(path) => Box::new(FileAppender::builder().encoder(encoder()).build(path)?),
        None => {
            let console = ConsoleAppender::builder().target(Target::Stderr);
            Box::new(console.encoder(encoder()).build())
        }
    };
    let quiet = level.min(LevelFilter::Warn);
    let mut config = Config::builder().appender(Appender::builder().build("main", appender));
    for library in LIBRARIES {
        let logger = log4rs::config::Logger::builder().build(*library, quiet);
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
