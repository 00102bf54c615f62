//! The start and the end of a process: its settings from file and flags, its log, its signals, and
//! its graceful shutdown.

#![deny(missing_docs)]

mod bounds;
mod error;
mod logs;
mod run;
mod settings;
mod signals;

pub use bounds::Bounds;
pub use error::{LogError, SettingsError};
pub use run::run_if_valid;
pub use settings::{ProgramKind, Startup, UncheckedSettings};
pub use signals::stop_requested;

use logs::start_logs;
use signals::{reload_requested, watch_signals};
