//! Signals to a process that `Startup::serve` runs.

use postbarrow_startup::{ProgramKind, SettingsError, Startup, UncheckedSettings};
use std::process::ExitCode;
use std::sync::mpsc::channel;
use std::time::Duration;

fn startup(seed: &str) -> Startup {
    let text = |text: &str| Some(text.to_string());
    let flags = UncheckedSettings {
        name: text("n"),
        zone: text("a"),
        address: text("127.0.0.1:7001"),
        http: text("127.0.0.1:8001"),
        seeds: vec![seed.to_string()],
        level: text("off"),
        ..UncheckedSettings::default()
    };
    Startup::read(ProgramKind::DataPlane, "{}", &flags).unwrap()
}

/// This must be the only test in this file, since a signal is delivered to the whole process.
#[test]
fn sighup_reloads_the_seeds_without_a_stop_and_sigterm_stops_cleanly() {
    let (start_sender, started) = channel();
    let (seed_sender, seeds) = channel();
    let (stop_sender, stopped) = channel();
    let serving = std::thread::spawn(move || {
        startup("127.0.0.1:1").serve(
            move |_| {
                start_sender.send(()).unwrap();
                Ok(())
            },
            || Ok::<_, SettingsError>(startup("127.0.0.1:2")),
            move |(), seeds| seed_sender.send(seeds).unwrap(),
            move |()| stop_sender.send(()).unwrap(),
        )
    });
    started.recv().unwrap();
    for _ in 0..2 {
        unsafe { libc::raise(libc::SIGHUP) };
        let seeds = seeds.recv_timeout(Duration::from_secs(60)).expect("SIGHUP reloads the seeds");
        assert_eq!(seeds, ["127.0.0.1:2".parse().unwrap()]);
    }
    assert!(stopped.try_recv().is_err(), "SIGHUP stopped the process");
    unsafe { libc::raise(libc::SIGTERM) };
    stopped.recv_timeout(Duration::from_secs(60)).expect("SIGTERM stops the process");
    assert_eq!(format!("{:?}", serving.join().unwrap()), format!("{:?}", ExitCode::SUCCESS));
}
