//! Sets up logging with `log4rs`, to standard error or to a file. The daemons log one line per
//! change of state.

use log::LevelFilter;
use log4rs::append::Append;
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::append::file::FileAppender;
use log4rs::config::{Appender, Config, Root};
use log4rs::encode::pattern::PatternEncoder;

/// The `log4rs` pattern of a log line: time, level, target, message.
const PATTERN: &str = "{d(%Y-%m-%dT%H:%M:%S%.3f%:z)} {l} {t} {m}{n}";

/// Initialises logging to `file`, or to standard error if there is none.
///
/// # Errors
///
/// Fails if the file can't be opened for writing, or if a logger is already set.
pub fn start(file: Option<&str>, level: LevelFilter) -> Result<(), String> {
    let encoder = Box::new(PatternEncoder::new(PATTERN));
    let appender: Box<dyn Append> = match file {
        None => Box::new(
            ConsoleAppender::builder()
                .target(Target::Stderr)
                .encoder(encoder)
                .build(),
        ),
        Some(path) => {
            let built = FileAppender::builder().encoder(encoder).build(path);
            let remedy =
                |e| format!("log_file = {path:?}: {e}; set it to the path of a writable file");
            Box::new(built.map_err(remedy)?)
        }
    };
    let config = Config::builder()
        .appender(Appender::builder().build("main", appender))
        .build(Root::builder().appender("main").build(level))
        .map_err(|e| e.to_string())?;
    log4rs::init_config(config)
        .map(drop)
        .map_err(|e| e.to_string())
}
