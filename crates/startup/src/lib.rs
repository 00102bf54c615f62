//! A process's place: its settings file or flags, its logs, and its clean stop.

mod logs;
mod place;
mod stop;

pub use logs::start_logs;
pub use place::{Flags, Part, Startup};
pub use stop::{stop_asked, watch_signals};
