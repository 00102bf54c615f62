//! Errors at the start of a process. Their texts are shown to operators.

use log4rs::config::runtime::ConfigErrors;
use std::io;
use std::path::PathBuf;

/// The settings can't be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The settings file can't be read.
    #[error("can't read the settings file {file}: {source}")]
    Unreadable {
        /// The path of the file, as given on the command line.
        file: String,
        /// The file system's error.
        source: io::Error,
    },
    /// The settings have findings: they are malformed, incomplete or invalid.
    #[error("{report}")]
    Invalid {
        /// The findings as one text, each with its field and its place in the settings' text.
        report: String,
    },
}

/// The log can't be set up.
#[derive(Debug, thiserror::Error)]
pub enum LogError {
    /// The log file can't be opened.
    #[error("can't open the log file {}: {source}", .file.display())]
    File {
        /// The path of the log file, from the settings.
        file: PathBuf,
        /// The file system's error.
        source: io::Error,
    },
    /// The logger's configuration is inconsistent.
    #[error(transparent)]
    Configuration(#[from] ConfigErrors),
    /// The process already has a logger.
    #[error(transparent)]
    Logger(#[from] log::SetLoggerError),
}
