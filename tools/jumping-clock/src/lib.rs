//! Loaded before a process under test, it makes the clock that can be set read wrong: by as many
//! seconds as the file named by JUMPING_CLOCK says at that moment. Other clocks are left alone.

use libc::{c_int, c_long, clockid_t, timespec};
use std::ffi::CStr;
use std::sync::OnceLock;

static FILE: OnceLock<Option<c_int>> = OnceLock::new();

fn file() -> Option<c_int> {
    *FILE.get_or_init(|| {
        let name = unsafe { libc::getenv(c"JUMPING_CLOCK".as_ptr()) };
        if name.is_null() {
            return None;
        }
        let name = unsafe { CStr::from_ptr(name) };
        let opened = unsafe { libc::open(name.as_ptr(), libc::O_RDONLY | libc::O_CLOEXEC) };
        (opened >= 0).then_some(opened)
    })
}

/// Seconds to add, as the file has them now.
fn jump_s() -> i64 {
    let Some(file) = file() else { return 0 };
    let mut text = [0u8; 24];
    let read = unsafe { libc::pread(file, text.as_mut_ptr().cast(), text.len(), 0) };
    let read = usize::try_from(read).unwrap_or(0);
    std::str::from_utf8(&text[..read]).ok().and_then(|text| text.trim().parse().ok()).unwrap_or(0)
}

/// # Safety
/// As the C library's own: `time` is null or points to a timespec.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    let done = unsafe { libc::syscall(libc::SYS_clock_gettime, clock as c_long, time) } as c_int;
    if done == 0 && clock == libc::CLOCK_REALTIME && !time.is_null() {
        unsafe { (*time).tv_sec += jump_s() };
    }
    done
}
