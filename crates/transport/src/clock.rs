//! The boot-time clock, and random bits of the system.

/// Milliseconds since boot, sleep included; setting the wall clock does not move it.
pub fn clock_ms() -> u64 {
    let mut time = libc::timespec { tv_sec: 0, tv_nsec: 0 };
    let done = unsafe { libc::clock_gettime(libc::CLOCK_BOOTTIME, &mut time) };
    assert_eq!(done, 0, "the boot-time clock is there on every Linux");
    time.tv_sec as u64 * 1_000 + time.tv_nsec as u64 / 1_000_000
}

/// 64 random bits of the system, never zero: identifiers of members and incarnations.
pub fn random() -> u64 {
    let mut bytes = [0u8; 8];
    let got = unsafe { libc::getrandom(bytes.as_mut_ptr().cast(), bytes.len(), 0) };
    assert_eq!(got, 8, "the system gives eight random bytes");
    u64::from_le_bytes(bytes).max(1)
}
