//! Sets up the process's log.

use crate::Startup;
use crate::error::LogError;
use log4rs::append::Append;
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::append::file::FileAppender;
use log4rs::config::{Appender, Config, Root};
use log4rs::encode::pattern::PatternEncoder;

/// The format of the log, one line per event: UTC time, level, and the text, which begins with its
/// subject.
const PATTERN: &str = "{d(%Y-%m-%dT%H:%M:%S%.3f)(utc)} {l} {m}{n}";

/// Starts logging to the log file that the settings name, or to standard error if they name none.
pub fn start_logs(startup: &Startup) -> Result<(), LogError> {
    let encoder = Box::new(PatternEncoder::new(PATTERN));
    let appender: Box<dyn Append> = match &startup.log {
        Some(file) => Box::new(
            FileAppender::builder()
                .encoder(encoder)
                .build(file)
                .map_err(|source| LogError::File { file: file.clone(), source })?,
        ),
        None => {
            Box::new(ConsoleAppender::builder().target(Target::Stderr).encoder(encoder).build())
        }
    };
    let config = Config::builder()
        .appender(Appender::builder().build("log", appender))
        .build(Root::builder().appender("log").build(startup.level))?;
    log4rs::init_config(config)?;
    Ok(())
}
