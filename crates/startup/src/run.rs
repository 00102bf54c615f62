use crate::{
    Flags, ProgramKind, Startup, reload_requested, start_logs, stop_requested, watch_signals,
};
use postbarrow_constants::traffic::SIGNAL_CHECK_MS;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

impl Startup {
    /// The settings file, if one is named, under the flags; findings come as one report to print.
    pub fn load(part: ProgramKind, file: Option<&str>, flags: &Flags) -> Result<Startup, String> {
        let text = match file {
            Some(file) => {
                std::fs::read_to_string(file).map_err(|error| format!("{file}: {error}"))?
            }
            None => "{}".into(),
        };
        Startup::read(part, &text, flags)
            .map_err(|findings| format!("{:?}", findings.report(file.unwrap_or("flags"), &text)))
    }

    /// Runs a process from its logs to its clean stop. On SIGHUP the settings are read again, of
    /// which a running process takes the seeds; unsound ones change nothing.
    pub fn serve<P>(
        &self,
        start: impl FnOnce(&Startup) -> std::io::Result<P>,
        again: impl Fn() -> Result<Startup, String>,
        seeds: impl Fn(&P, Vec<SocketAddr>),
        stop: impl FnOnce(&P),
    ) -> ExitCode {
        if let Err(error) = start_logs(self) {
            eprintln!("logs: {error}");
            return ExitCode::from(2);
        }
        watch_signals();
        let running = match start(self) {
            Ok(running) => running,
            Err(error) => {
                log::error!("startup: does not start: {error}");
                return ExitCode::FAILURE;
            }
        };
        while !stop_requested() {
            std::thread::sleep(Duration::from_millis(SIGNAL_CHECK_MS));
            if reload_requested() {
                match again() {
                    Ok(startup) => seeds(&running, startup.seeds),
                    Err(findings) => {
                        log::warn!("startup: the settings stay as they were: {findings}")
                    }
                }
            }
        }
        stop(&running);
        ExitCode::SUCCESS
    }
}

/// `check`: the findings, or a word that there are none.
pub fn with_checked(
    loaded: Result<Startup, String>,
    then: impl FnOnce(&Startup) -> ExitCode,
) -> ExitCode {
    match loaded {
        Ok(startup) => then(&startup),
        Err(report) => {
            eprintln!("{report}");
            ExitCode::from(2)
        }
    }
}
