//! Why a stand-in can't start.

use std::io;
use tools_shared::UnknownTargetFault;

/// Why a stand-in can't start.
#[derive(Debug, thiserror::Error)]
pub enum StandInError {
    /// The command line names no command.
    #[error("a command is needed; --help lists them")]
    NoCommand,
    /// The address can't be listened on.
    #[error("{0}")]
    Listen(#[source] io::Error),
    /// The file of the execution records can't be opened.
    #[error("{file}: {source}")]
    Records {
        /// The file.
        file: String,
        /// What the system says.
        source: io::Error,
    },
    /// The command line names a fault that there is not.
    #[error(transparent)]
    Fault(#[from] UnknownTargetFault),
}
