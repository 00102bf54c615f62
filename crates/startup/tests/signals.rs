use postbarrow_startup::{Flags, ProgramKind, Startup};
use std::process::ExitCode;
use std::sync::mpsc::channel;
use std::time::Duration;

fn startup(seed: &str) -> Startup {
    let text = |text: &str| Some(text.to_string());
    let flags = Flags {
        name: text("n"),
        zone: text("a"),
        address: text("127.0.0.1:7001"),
        http: text("127.0.0.1:8001"),
        seeds: vec![seed.to_string()],
        level: text("off"),
        ..Flags::default()
    };
    Startup::read(ProgramKind::DataPlane, "{}", &flags).unwrap()
}

/// One test in this file, for signals are the whole process's.
#[test]
fn a_hangup_reads_the_settings_again_and_ends_nothing_and_a_term_ends_cleanly() {
    let (begun, began) = channel();
    let (told, seeds) = channel();
    let (ended, ends) = channel();
    let serving = std::thread::spawn(move || {
        startup("127.0.0.1:1").serve(
            move |_| {
                begun.send(()).unwrap();
                Ok(())
            },
            || Ok(startup("127.0.0.1:2")),
            move |(), seeds| told.send(seeds).unwrap(),
            move |()| ended.send(()).unwrap(),
        )
    });
    began.recv().unwrap();
    for _ in 0..2 {
        unsafe { libc::raise(libc::SIGHUP) };
        let seeds = seeds.recv_timeout(Duration::from_secs(60)).expect("read again, not ended");
        assert_eq!(seeds, ["127.0.0.1:2".parse().unwrap()]);
    }
    assert!(ends.try_recv().is_err(), "nothing ended by it");
    unsafe { libc::raise(libc::SIGTERM) };
    ends.recv_timeout(Duration::from_secs(60)).expect("a term ends it");
    assert_eq!(format!("{:?}", serving.join().unwrap()), format!("{:?}", ExitCode::SUCCESS));
}
