//! Errors of a process's start, with the texts that operators read.

use log4rs::config::runtime::ConfigErrors;
use std::io;
use std::path::PathBuf;

/// Settings that can't be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The settings file can't be read.
    #[error("{file}: {source}")]
    Unreadable {
        /// The file as it was named on the command line.
        file: String,
        /// What the file system reported.
        source: io::Error,
    },
    /// The settings are unsound.
    #[error("{report}")]
    Unsound {
        /// All findings, each with its place in the text.
        report: String,
    },
}

/// The log can't be set up.
#[derive(Debug, thiserror::Error)]
pub enum LogError {
    /// The log file can't be opened.
    #[error("{}: {source}", .file.display())]
    File {
        /// The file of the settings.
        file: PathBuf,
        /// What the file system reported.
        source: io::Error,
    },
    /// The logger's configuration is inconsistent.
    #[error(transparent)]
    Configuration(#[from] ConfigErrors),
    /// Another logger is in place already.
    #[error(transparent)]
    Logger(#[from] log::SetLoggerError),
}
