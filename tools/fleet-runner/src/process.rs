//! One process of the fleet, and how it is started, signalled and ended.

use crate::error::FleetError;
use std::fs::File;
use std::path::Path;
use std::process::{Child, Command, Stdio};

/// Splits a command line at its spaces.
pub fn arguments(text: &str) -> Vec<String> {
    text.split(' ').map(str::to_string).collect()
}

/// Starts processes of one folder of programs, whose files stand in one folder of the fleet.
#[derive(Clone, Debug)]
pub struct Launcher {
    /// Where the programs stand.
    pub programs: String,
    /// Where the fleet's files stand.
    pub folder: String,
}

impl Launcher {
    /// Gives each process to come the environment variables of this file, in which `{here}` is the
    /// working directory and `{clock}` the file of the process's clock offset; empty for none.
    ///
    /// # Errors
    /// When the file can't be read, or the fleet's copy of it not written.
    pub fn set_variables(&self, file: &str) -> Result<(), FleetError> {
        if file.is_empty() {
            return Ok(());
        }
        let text = std::fs::read_to_string(file).map_err(FleetError::system(file))?;
        let here = std::env::current_dir()?;
        let text = text.replace("{here}", &here.display().to_string());
        Ok(std::fs::write(self.variables_file(), text)?)
    }

    /// The file of a process's clock offset in seconds.
    pub fn clock_file(&self, name: &str) -> String {
        format!("{}/{name}.clock", self.folder)
    }

    /// Starts a process that ends with the value returned.
    ///
    /// # Errors
    /// When its output can't be written or the program not started.
    pub fn start(
        &self,
        program: &str,
        name: &str,
        arguments: Vec<String>,
    ) -> Result<Process, FleetError> {
        let mut process = Process {
            name: name.into(),
            program: Path::new(&self.programs).join(program).display().to_string(),
            arguments,
            output: format!("{}/{name}.out", self.folder),
            variables: self.variables(name),
            child: None,
        };
        process.start()?;
        Ok(process)
    }

    fn variables_file(&self) -> String {
        format!("{}/variables", self.folder)
    }

    fn variables(&self, name: &str) -> Vec<(String, String)> {
        let Ok(lines) = std::fs::read_to_string(self.variables_file()) else {
            return Vec::new();
        };
        let file = self.clock_file(name);
        let _ = std::fs::write(&file, "0");
        let rows = lines.lines().filter_map(|line| line.split_once('='));
        rows.map(|(name, value)| (name.to_string(), value.replace("{clock}", &file))).collect()
    }
}

/// How much of the machine a process uses.
#[derive(Clone, Copy, Debug)]
pub struct ProcessSize {
    /// The most memory that it ever had.
    pub peak_memory_mib: u64,
    /// Its threads now.
    pub threads: u64,
}

/// One process of the fleet, which can be ended and started again with the same arguments.
pub struct Process {
    /// Its name in the fleet.
    pub name: String,
    program: String,
    arguments: Vec<String>,
    output: String,
    variables: Vec<(String, String)>,
    child: Option<Child>,
}

impl Process {
    /// Starts it again.
    ///
    /// # Errors
    /// When its output can't be written or the program not started.
    pub fn start(&mut self) -> Result<(), FleetError> {
        let system = || FleetError::system(self.name.clone());
        let output =
            File::options().create(true).append(true).open(&self.output).map_err(system())?;
        let errors = output.try_clone().map_err(system())?;
        let mut command = Command::new(&self.program);
        command.envs(self.variables.iter().cloned());
        let child = command
            .args(&self.arguments)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(errors)
            .spawn()
            .map_err(system())?;
        self.child = Some(child);
        Ok(())
    }

    /// Sets the arguments of its next start.
    pub fn set_arguments(&mut self, arguments: Vec<String>) {
        self.arguments = arguments;
    }

    /// Its arguments.
    pub fn arguments(&self) -> &[String] {
        &self.arguments
    }

    /// The argument after this option.
    pub fn option(&self, name: &str) -> Option<&String> {
        let at = self.arguments.iter().position(|argument| argument == name)?;
        self.arguments.get(at + 1)
    }

    /// Sends it a signal, if it runs.
    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            // SAFETY: a plain system call; the id is of a child that was not reaped yet.
            unsafe { libc::kill(child.id() as i32, signal) };
        }
    }

    /// From now on its files may not grow past so many bytes.
    ///
    /// # Errors
    /// When it does not run, or the system refuses.
    pub fn limit_files(&self, size_bytes: u64) -> Result<(), FleetError> {
        let child = self.child.as_ref().ok_or(FleetError::NotRunning)?;
        let limit = libc::rlimit { rlim_cur: size_bytes, rlim_max: size_bytes };
        let old = std::ptr::null_mut();
        // SAFETY: `limit` outlives the call, and the earlier limit is not wanted.
        let done = unsafe { libc::prlimit(child.id() as i32, libc::RLIMIT_FSIZE, &limit, old) };
        if done == 0 { Ok(()) } else { Err(std::io::Error::last_os_error().into()) }
    }

    /// Its size, if it runs.
    pub fn size(&self) -> Option<ProcessSize> {
        let file = format!("/proc/{}/status", self.child.as_ref()?.id());
        let text = std::fs::read_to_string(file).ok()?;
        let number = |name: &str| {
            let line = text.lines().find(|line| line.starts_with(name))?;
            line.split_whitespace().nth(1)?.parse::<u64>().ok()
        };
        Some(ProcessSize {
            peak_memory_mib: number("VmHWM:")? / 1_024,
            threads: number("Threads:")?,
        })
    }

    /// Whether this library is loaded in it.
    pub fn has_loaded(&self, library: &str) -> bool {
        let maps = self.child.as_ref().map(|child| format!("/proc/{}/maps", child.id()));
        let maps = maps.and_then(|maps| std::fs::read_to_string(maps).ok());
        maps.is_some_and(|maps| maps.contains(library))
    }

    /// Whether it ended by itself and was not reaped yet.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    /// Ends it at once.
    pub fn kill(&mut self) {
        self.signal(libc::SIGKILL);
        self.reap();
    }

    /// Waits for its end.
    pub fn reap(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.wait();
        }
    }

    /// Whether it was started and not reaped.
    pub fn is_running(&self) -> bool {
        self.child.is_some()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if self.is_running() {
            self.kill();
        }
    }
}
