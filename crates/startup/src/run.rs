use crate::{Flags, Part, Startup, start_logs, stop_asked, watch_signals};
use std::process::ExitCode;
use std::time::Duration;

impl Startup {
    /// The settings file, if one is named, under the flags; findings come as one report to print.
    pub fn load(part: Part, file: Option<&str>, flags: &Flags) -> Result<Startup, String> {
        let text = match file {
            Some(file) => {
                std::fs::read_to_string(file).map_err(|error| format!("{file}: {error}"))?
            }
            None => "{}".into(),
        };
        Startup::read(part, &text, flags)
            .map_err(|findings| format!("{:?}", findings.report(file.unwrap_or("flags"), &text)))
    }

    /// Runs a process from its logs to its clean stop.
    pub fn serve<P>(
        &self,
        start: impl FnOnce(&Startup) -> std::io::Result<P>,
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
        while !stop_asked() {
            std::thread::sleep(Duration::from_millis(50));
        }
        stop(&running);
        ExitCode::SUCCESS
    }
}

/// `check`: the findings, or a word that there are none.
pub fn checked(
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
