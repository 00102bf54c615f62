//! The boot-time clock, and random bits from the operating system.

/// Returns the milliseconds since the machine booted, including time in suspend (`CLOCK_BOOTTIME`).
/// Setting the wall clock does not change them.
///
/// # Panics
/// If the system has no boot-time clock, which every Linux has.
pub fn clock_ms() -> u64 {
    let mut time = libc::timespec { tv_sec: 0, tv_nsec: 0 };
    let status = unsafe { libc::clock_gettime(libc::CLOCK_BOOTTIME, &mut time) };
    assert_eq!(status, 0, "clock_gettime(CLOCK_BOOTTIME) failed");
    time.tv_sec as u64 * 1_000 + time.tv_nsec as u64 / 1_000_000
}

/// Returns 64 random bits from the operating system, never zero, for identifiers of members and
/// incarnations.
///
/// # Panics
/// If the system returns fewer than 64 bits.
pub fn random() -> u64 {
    let mut bytes = [0u8; 8];
    let received_bytes = unsafe { libc::getrandom(bytes.as_mut_ptr().cast(), bytes.len(), 0) };
    assert_eq!(received_bytes, 8, "getrandom(2) did not return eight bytes");
    u64::from_le_bytes(bytes).max(1)
}
