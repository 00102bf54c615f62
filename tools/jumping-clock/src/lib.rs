//! A library for `LD_PRELOAD` that shifts the wall clock of a process under test. The offset, in
//! seconds, is read from the file that `JUMPING_CLOCK` names each time the clock is read. Other
//! clocks are not changed.

#![deny(missing_docs)]

use libc::{c_int, c_long, clockid_t, timespec};
use std::ffi::CStr;
use std::sync::OnceLock;

/// The size of the buffer for the offset's text, in bytes; a signed 64-bit number in decimal digits
/// needs at most 20.
const OFFSET_TEXT_BYTES: usize = 24;

/// The file descriptor that `offset_file` opened; unset before its first call.
static OFFSET_FILE: OnceLock<Option<c_int>> = OnceLock::new();

/// Returns the file descriptor of the offset's file, which is opened at the first call; `None` if
/// `JUMPING_CLOCK` is not set or the file can't be opened.
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

/// Returns the offset that the file contains at present, in seconds; 0 if there is no file or it
/// contains no number.
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
/// As for the C library's `clock_gettime`: `time` is null or points to a timespec.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    // SAFETY: the system call checks `time`, which the caller guarantees to be valid.
    let result = unsafe { libc::syscall(libc::SYS_clock_gettime, clock as c_long, time) } as c_int;
    if result == 0 && clock == libc::CLOCK_REALTIME && !time.is_null() {
        // SAFETY: the caller guarantees that a pointer that is not null points to a timespec.
        unsafe { (*time).tv_sec += offset_s() };
    }
    result
}
