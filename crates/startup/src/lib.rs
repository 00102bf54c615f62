//! A process's place: its settings file or flags, its logs, and its clean stop.

mod logs;
mod place;
mod run;
mod stop;

pub use place::{Flags, Part, Startup};
pub use run::checked;

use logs::start_logs;
use stop::{stop_asked, watch_signals};
