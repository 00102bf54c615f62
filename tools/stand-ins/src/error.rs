//! The errors of starting a stand-in.

use std::io;
use tools_shared::UnknownTargetFault;

/// Why a stand-in can't start.
#[derive(Debug, thiserror::Error)]
pub enum StandInError {
    /// The command line names no command.
    #[error("a command is needed; --help lists them")]
    NoCommand,
    /// The target can't listen on its address.
    #[error("can't listen on the address: {0}")]
    Listen(#[source] io::Error),
    /// The file of the execution records can't be opened.
    #[error("can't open the file of execution records {file}: {source}")]
    Records {
        /// The path of the file.
        file: String,
        /// The error that the system returned.
        source: io::Error,
    },
    /// The command line names an unknown fault of a target.
    #[error(transparent)]
    Fault(#[from] UnknownTargetFault),
}
