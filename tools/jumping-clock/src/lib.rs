//! Loaded before a process under test, it makes the wall clock read wrong: by as many seconds as
//! the file that `JUMPING_CLOCK` names says when the clock is read. Other clocks are left alone.

#![deny(missing_docs)]

use libc::{c_int, c_long, clockid_t, timespec};
use std::ffi::CStr;
use std::sync::OnceLock;

/// Room for a 64-bit number in decimal digits with its sign, and more.
const OFFSET_TEXT_BYTES: usize = 24;

static OFFSET_FILE: OnceLock<Option<c_int>> = OnceLock::new();

/// The descriptor of the offset's file, opened at the first use; `None` if there is none.
fn offset_file() -> Option<c_int> {
    *OFFSET_FILE.get_or_init(|| {
        // SAFETY: the name is a C string, and nothing in the process changes its environment.
        let name = unsafe { libc::getenv(c"JUMPING_CLOCK".as_ptr()) };
        if name.is_null() {
            return None;
        }
        // SAFETY: `getenv` returned a C string.
        let name = unsafe { CStr::from_ptr(name) };
        // SAFETY: the name is a C string that outlives the call.
        let descriptor = unsafe { libc::open(name.as_ptr(), libc::O_RDONLY | libc::O_CLOEXEC) };
        (descriptor >= 0).then_some(descriptor)
    })
}

/// Seconds to add, as the file has them now; 0 if it has no number.
fn offset_s() -> i64 {
    let Some(file) = offset_file() else { return 0 };
    let mut text = [0u8; OFFSET_TEXT_BYTES];
    // SAFETY: at most `text.len()` bytes are written to `text`.
    let read = unsafe { libc::pread(file, text.as_mut_ptr().cast(), text.len(), 0) };
    let read = usize::try_from(read).unwrap_or(0);
    std::str::from_utf8(&text[..read]).ok().and_then(|text| text.trim().parse().ok()).unwrap_or(0)
}

/// Reads a clock as the C library does, and adds the offset to the wall clock's time.
///
/// # Safety
/// As the C library's own: `time` is null or points to a timespec.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    // SAFETY: the system call checks `time`, which the caller vouches for.
    let done = unsafe { libc::syscall(libc::SYS_clock_gettime, clock as c_long, time) } as c_int;
    if done == 0 && clock == libc::CLOCK_REALTIME && !time.is_null() {
        // SAFETY: the caller says that a pointer that is not null points to a timespec.
        unsafe { (*time).tv_sec += offset_s() };
    }
    done
}
