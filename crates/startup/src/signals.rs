use std::sync::atomic::{AtomicBool, Ordering::SeqCst};

static STOP: AtomicBool = AtomicBool::new(false);
static RELOAD: AtomicBool = AtomicBool::new(false);

extern "C" fn on_signal(_signal: libc::c_int) {
    STOP.store(true, SeqCst);
}

extern "C" fn on_hangup(_signal: libc::c_int) {
    RELOAD.store(true, SeqCst);
}

/// SIGTERM and SIGINT ask for a clean stop, SIGHUP to read the settings again; SIGPIPE and SIGXFSZ are left to the writer's error.
pub fn watch_signals() {
    let handler = on_signal as *const () as libc::sighandler_t;
    let hangup = on_hangup as *const () as libc::sighandler_t;
    unsafe {
        libc::signal(libc::SIGHUP, hangup);
        libc::signal(libc::SIGTERM, handler);
        libc::signal(libc::SIGINT, handler);
        libc::signal(libc::SIGPIPE, libc::SIG_IGN);
        libc::signal(libc::SIGXFSZ, libc::SIG_IGN);
    }
}

/// Whether a signal asked this process to stop.
pub fn stop_requested() -> bool {
    STOP.load(SeqCst)
}

/// Whether the settings are to be read again; true once a signal.
pub fn reload_requested() -> bool {
    RELOAD.swap(false, SeqCst)
}
