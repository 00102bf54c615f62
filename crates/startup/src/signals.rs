//! Signals that stop the process or reload its settings.

use std::sync::atomic::{AtomicBool, Ordering::SeqCst};

static STOP: AtomicBool = AtomicBool::new(false);
static RELOAD: AtomicBool = AtomicBool::new(false);

extern "C" fn on_stop(_signal: libc::c_int) {
    STOP.store(true, SeqCst);
}

extern "C" fn on_hangup(_signal: libc::c_int) {
    RELOAD.store(true, SeqCst);
}

/// Installs the signal handlers. SIGTERM and SIGINT request a graceful shutdown, SIGHUP a reload of
/// the settings. SIGPIPE and SIGXFSZ are ignored, so that the failed write reports an error
/// instead.
pub fn watch_signals() {
    let stop = on_stop as *const () as libc::sighandler_t;
    let hangup = on_hangup as *const () as libc::sighandler_t;
    // SAFETY: both handlers only store to an atomic, which is async-signal-safe.
    unsafe {
        libc::signal(libc::SIGHUP, hangup);
        libc::signal(libc::SIGTERM, stop);
        libc::signal(libc::SIGINT, stop);
        libc::signal(libc::SIGPIPE, libc::SIG_IGN);
        libc::signal(libc::SIGXFSZ, libc::SIG_IGN);
    }
}

/// Returns whether a signal has requested this process to stop.
pub fn stop_requested() -> bool {
    STOP.load(SeqCst)
}

/// Returns whether a signal has requested a reload since the last call.
pub fn reload_requested() -> bool {
    RELOAD.swap(false, SeqCst)
}
