//! The processes of the fleet: starting, signalling and ending them.

use crate::error::FleetError;
use std::fs::File;
use std::path::Path;
use std::process::{Child, Command, Stdio};

/// Splits a command line into arguments at its spaces.
pub fn arguments(text: &str) -> Vec<String> {
    text.split(' ').map(str::to_string).collect()
}

/// A launcher of processes, with the folder of their programs and the folder of their files.
#[derive(Clone, Debug)]
pub struct Launcher {
    /// The folder of the programs.
    pub programs: String,
    /// The folder of the fleet's data, logs and records.
    pub folder: String,
}

impl Launcher {
    /// Sets the environment variables of all processes that are started later, from a file of
    /// `NAME=VALUE` lines. In a value, `{here}` stands for the working directory and `{clock}` for
    /// the file of the process's clock offset. An empty file name sets none.
    ///
    /// # Errors
    /// When the file can't be read or the fleet's copy of it can't be written.
    pub fn set_variables(&self, file: &str) -> Result<(), FleetError> {
        if file.is_empty() {
            return Ok(());
        }
        let text = std::fs::read_to_string(file).map_err(FleetError::system(file))?;
        let working_dir = std::env::current_dir()?;
        let text = text.replace("{here}", &working_dir.display().to_string());
        Ok(std::fs::write(self.variables_file(), text)?)
    }

    /// Returns the path of the file with a process's clock offset, in seconds.
    pub fn clock_file(&self, name: &str) -> String {
        format!("{}/{name}.clock", self.folder)
    }

    /// Starts a process, which is killed when the returned value is dropped.
    ///
    /// # Errors
    /// When the process's output file can't be opened or the program can't be started.
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

    /// Returns the environment variables of the process with this name, and resets its clock offset
    /// to 0 s; returns none and resets nothing if `set_variables` has set none.
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

/// The memory and the threads that a process uses.
#[derive(Clone, Copy, Debug)]
pub struct ProcessSize {
    /// The peak resident memory of the process so far, in MiB.
    pub peak_memory_mib: u64,
    /// The number of threads of the process at present.
    pub threads: u64,
}

/// One process of the fleet, which can be ended and started again with the same arguments.
pub struct Process {
    /// The name of the process in the fleet.
    pub name: String,
    program: String,
    arguments: Vec<String>,
    output: String,
    variables: Vec<(String, String)>,
    child: Option<Child>,
}

impl Process {
    /// Starts the process, for the first time or again.
    ///
    /// # Errors
    /// When the process's output file can't be opened or the program can't be started.
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

    /// Sets the arguments that the process gets at its next start.
    pub fn set_arguments(&mut self, arguments: Vec<String>) {
        self.arguments = arguments;
    }

    /// Returns the arguments with which the process is started.
    pub fn arguments(&self) -> &[String] {
        &self.arguments
    }

    /// Returns the value of this option: the argument that follows it.
    pub fn option(&self, name: &str) -> Option<&String> {
        let index = self.arguments.iter().position(|argument| argument == name)?;
        self.arguments.get(index + 1)
    }

    /// Sends the process a signal; does nothing if it is not running.
    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            // SAFETY: a plain system call; the id is of a child that was not reaped yet.
            unsafe { libc::kill(child.id() as i32, signal) };
        }
    }

    /// Limits the size up to which the process can extend any of its files from now on.
    ///
    /// # Errors
    /// When the process is not running or the system refuses the limit.
    pub fn limit_file_size(&self, size_bytes: u64) -> Result<(), FleetError> {
        let child = self.child.as_ref().ok_or(FleetError::NotRunning)?;
        let limit = libc::rlimit { rlim_cur: size_bytes, rlim_max: size_bytes };
        let old = std::ptr::null_mut();
        // SAFETY: `limit` outlives the call; the earlier limit is not returned, as `old` is null.
        let result = unsafe { libc::prlimit(child.id() as i32, libc::RLIMIT_FSIZE, &limit, old) };
        if result == 0 { Ok(()) } else { Err(std::io::Error::last_os_error().into()) }
    }

    /// Returns the memory and threads of the process; `None` if it is not running.
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

    /// Returns whether the process runs and has loaded this library.
    pub fn has_loaded(&self, library: &str) -> bool {
        let maps = self.child.as_ref().map(|child| format!("/proc/{}/maps", child.id()));
        let maps = maps.and_then(|maps| std::fs::read_to_string(maps).ok());
        maps.is_some_and(|maps| maps.contains(library))
    }

    /// Returns whether the process has exited and was not reaped yet.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    /// Kills the process and waits until it has exited.
    pub fn kill(&mut self) {
        self.signal(libc::SIGKILL);
        self.reap();
    }

    /// Waits until the process has exited.
    pub fn reap(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.wait();
        }
    }

    /// Returns whether the process was started and not reaped since.
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
