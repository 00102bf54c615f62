//! A process's place: its settings file or flags, its logs, and its clean stop.

mod bounds;
mod logs;
mod run;
mod settings;
mod signals;

pub use bounds::Bounds;
pub use run::with_checked;
pub use settings::{Flags, ProgramKind, Startup};
pub use signals::stop_requested;

use logs::start_logs;
use signals::{reload_requested, watch_signals};
