use crate::Startup;
use log4rs::append::Append;
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::append::file::FileAppender;
use log4rs::config::{Appender, Config, Root};
use log4rs::encode::pattern::PatternEncoder;

/// One line a sentence: time, level, and the part's prefix at the front of the text.
const PATTERN: &str = "{d(%Y-%m-%dT%H:%M:%S%.3f)(utc)} {l} {m}{n}";

pub fn start_logs(startup: &Startup) -> Result<(), String> {
    let encoder = Box::new(PatternEncoder::new(PATTERN));
    let appender: Box<dyn Append> = match &startup.log {
        Some(file) => Box::new(
            FileAppender::builder()
                .encoder(encoder)
                .build(file)
                .map_err(|error| format!("{}: {error}", file.display()))?,
        ),
        None => {
            Box::new(ConsoleAppender::builder().target(Target::Stderr).encoder(encoder).build())
        }
    };
    let config = Config::builder()
        .appender(Appender::builder().build("log", appender))
        .build(Root::builder().appender("log").build(startup.level))
        .map_err(|error| error.to_string())?;
    log4rs::init_config(config).map(|_| ()).map_err(|error| error.to_string())
}
