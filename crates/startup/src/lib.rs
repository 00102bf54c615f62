//! A process's place: its settings file or flags, its logs, and its clean stop.

mod bounds;
mod logs;
mod place;
mod run;
mod stop;

pub use bounds::Bounds;
pub use place::{Flags, Part, Startup};
pub use run::checked;
pub use stop::stop_asked;

use logs::start_logs;
use stop::{reread_asked, watch_signals};
