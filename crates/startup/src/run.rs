//! Runs a process from its settings to its graceful shutdown.

use crate::error::SettingsError;
use crate::{
    ProgramKind, Startup, UncheckedSettings, reload_requested, start_logs, stop_requested,
    watch_signals,
};
use postbarrow_constants::traffic::SIGNAL_CHECK_MS;
use std::fmt::Display;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

/// Exit status of a process whose settings are invalid or whose log can't be set up.
const SETTINGS_STATUS: u8 = 2;

impl Startup {
    /// Reads the settings file, if one is named, and lets the flags override it.
    ///
    /// # Errors
    /// The file can't be read, or the file or the flags have findings.
    pub fn load(
        program: ProgramKind,
        file: Option<&str>,
        flags: &UncheckedSettings,
    ) -> Result<Startup, SettingsError> {
        let text = match file {
            Some(file) => std::fs::read_to_string(file)
                .map_err(|source| SettingsError::Unreadable { file: file.into(), source })?,
            None => "{}".into(),
        };
        Startup::read(program, &text, flags).map_err(|findings| {
            let report = findings.report(file.unwrap_or("flags"), &text);
            SettingsError::Invalid { report: format!("{report:?}") }
        })
    }

    /// Runs a process until a signal stops it. On SIGHUP the settings are loaded again and the
    /// seeds among them are passed to the process. Invalid settings are logged and change nothing.
    pub fn serve<P, E: Display>(
        &self,
        start: impl FnOnce(&Startup) -> std::io::Result<P>,
        reload: impl Fn() -> Result<Startup, E>,
        set_seeds: impl Fn(&P, Vec<SocketAddr>),
        stop: impl FnOnce(&P),
    ) -> ExitCode {
        if let Err(error) = start_logs(self) {
            eprintln!("logs: {error}");
            return ExitCode::from(SETTINGS_STATUS);
        }
        watch_signals();
        let process = match start(self) {
            Ok(process) => process,
            Err(error) => {
                log::error!("startup: failed error={error}");
                return ExitCode::FAILURE;
            }
        };
        while !stop_requested() {
            std::thread::sleep(Duration::from_millis(SIGNAL_CHECK_MS));
            if reload_requested() {
                match reload() {
                    Ok(startup) => set_seeds(&process, startup.seeds),
                    Err(error) => {
                        log::warn!("startup: reload refused, settings unchanged error={error}")
                    }
                }
            }
        }
        stop(&process);
        ExitCode::SUCCESS
    }
}

/// Calls `then` with valid settings and returns its exit status. For invalid settings, prints the
/// error to standard error and returns exit status 2.
pub fn run_if_valid<E: Display>(
    loaded: Result<Startup, E>,
    then: impl FnOnce(&Startup) -> ExitCode,
) -> ExitCode {
    match loaded {
        Ok(startup) => then(&startup),
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(SETTINGS_STATUS)
        }
    }
}
