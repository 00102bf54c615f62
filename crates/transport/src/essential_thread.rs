//! Threads without which a process can't do its work.

use log::error;
use std::cell::Cell;
use std::io;
use std::panic::{self, PanicHookInfo};
use std::process;
use std::sync::Once;
use std::thread::{self, JoinHandle};

/// Exit status of a process in which an essential thread panicked.
pub const PANIC_STATUS: i32 = 101;

thread_local! {
    static IS_ESSENTIAL: Cell<bool> = const { Cell::new(false) };
}

/// Starts a thread without which the process can't do its work. If the thread panics, the process
/// ends with `PANIC_STATUS`, so that it is started again: a process that lives on without the
/// thread keeps its addresses, and peers and clients wait for responses that never come.
///
/// # Errors
/// The thread can't be started.
pub fn spawn_essential(
    name: &str,
    run: impl FnOnce() + Send + 'static,
) -> io::Result<JoinHandle<()>> {
    static HOOK: Once = Once::new();
    HOOK.call_once(install_panic_hook);
    thread::Builder::new().name(name.into()).spawn(move || {
        IS_ESSENTIAL.set(true);
        run();
    })
}

/// Ends the process in the panic hook and not by unwinding, which would drop the thread's values:
/// the control loop's wait for its disk.
fn install_panic_hook() {
    let report = panic::take_hook();
    panic::set_hook(Box::new(move |info| {
        report(info);
        if IS_ESSENTIAL.try_with(Cell::get).unwrap_or(false) {
            log_end(info);
            process::exit(PANIC_STATUS);
        }
    }));
}

fn log_end(info: &PanicHookInfo<'_>) {
    let thread = thread::current();
    let name = thread.name().unwrap_or_default();
    let cause = info.payload_as_str().unwrap_or("unknown");
    error!("process: ends, an essential thread panicked thread={name} cause={cause:?}");
}
