//! Guards against a process that lives on after a thread that it can't work without has panicked:
//! it kept its addresses and answered nobody.

use postbarrow_transport::{PANIC_STATUS, spawn_essential};
use std::env;
use std::process::{Command, ExitStatus, Stdio};
use std::thread;
use std::time::{Duration, Instant};

/// Set in the process that the test starts; its value selects the thread that panics.
const CHILD_VARIABLE: &str = "POSTBARROW_TEST_PANIC";
/// How long the process lives if no panic ends it.
const LIFETIME: Duration = Duration::from_secs(2);
/// Within this time a panic must have ended the process.
const END_TIMEOUT: Duration = Duration::from_secs(1);

/// A value whose drop takes as long as a wait for a stalled disk.
struct SlowDrop;

impl Drop for SlowDrop {
    fn drop(&mut self) {
        thread::sleep(LIFETIME);
    }
}

/// Runs this test's process a second time, as the one with the panic.
fn run_child(kind: &str) -> (ExitStatus, Duration) {
    let start = Instant::now();
    let status = Command::new(env::current_exe().unwrap())
        .args(["--exact", "child", "--nocapture"])
        .env(CHILD_VARIABLE, kind)
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .status()
        .unwrap();
    (status, start.elapsed())
}

/// The process with the panic; without the variable it does nothing.
#[test]
fn child() {
    let Ok(kind) = env::var(CHILD_VARIABLE) else { return };
    let run = || {
        let _slow = SlowDrop;
        panic!("the thread ends here");
    };
    match kind.as_str() {
        "essential" => drop(spawn_essential("control", run)),
        _ => {
            drop(spawn_essential("control", || thread::sleep(LIFETIME)));
            drop(thread::spawn(run));
        }
    }
    thread::sleep(LIFETIME);
}

#[test]
fn panic_of_an_essential_thread_ends_the_process_at_once() {
    let (status, elapsed) = run_child("essential");
    assert_eq!(status.code(), Some(PANIC_STATUS));
    assert!(elapsed < END_TIMEOUT, "the process ended after {elapsed:?}");
}

#[test]
fn panic_of_another_thread_ends_only_that_thread() {
    let (status, elapsed) = run_child("connection");
    assert!(status.success());
    assert!(elapsed >= LIFETIME);
}
