use std::fs::File;
use std::path::Path;
use std::process::{Child, Command, Stdio};

/// One process of the fleet, which can be ended and begun again with the same words.
pub struct Process {
    pub name: String,
    program: String,
    words: Vec<String>,
    output: String,
    variables: Vec<(String, String)>,
    child: Option<Child>,
}

/// What the fleet's processes are started with beside their words; `{clock}` is the file of a
/// process's jumps.
fn variables(folder: &str, name: &str) -> Vec<(String, String)> {
    let Ok(lines) = std::fs::read_to_string(format!("{folder}/variables")) else {
        return Vec::new();
    };
    let file = format!("{folder}/{name}.clock");
    let _ = std::fs::write(&file, "0");
    let rows = lines.lines().filter_map(|line| line.split_once('='));
    rows.map(|(name, value)| (name.to_string(), value.replace("{clock}", &file))).collect()
}

impl Process {
    pub fn start(
        programs: &str,
        program: &str,
        name: &str,
        words: Vec<String>,
        folder: &str,
    ) -> Result<Process, String> {
        let mut process = Process {
            name: name.into(),
            program: Path::new(programs).join(program).display().to_string(),
            words,
            output: format!("{folder}/{name}.out"),
            variables: variables(folder, name),
            child: None,
        };
        process.begin()?;
        Ok(process)
    }

    pub fn begin(&mut self) -> Result<(), String> {
        let text = |error: std::io::Error| format!("{}: {error}", self.name);
        let output = File::options().create(true).append(true).open(&self.output).map_err(text)?;
        let errors = output.try_clone().map_err(text)?;
        let mut command = Command::new(&self.program);
        command.envs(self.variables.iter().cloned());
        let child = command
            .args(&self.words)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(errors)
            .spawn()
            .map_err(text)?;
        self.child = Some(child);
        Ok(())
    }

    pub fn with_words(&mut self, words: Vec<String>) {
        self.words = words;
    }

    pub fn words(&self) -> &[String] {
        &self.words
    }

    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            unsafe { libc::kill(child.id() as i32, signal) };
        }
    }

    /// From now on its files may not grow past so many bytes.
    pub fn limit_files(&self, size_bytes: u64) -> Result<(), String> {
        let child = self.child.as_ref().ok_or("not running")?;
        let limit = libc::rlimit { rlim_cur: size_bytes, rlim_max: size_bytes };
        let old = std::ptr::null_mut();
        let done = unsafe { libc::prlimit(child.id() as i32, libc::RLIMIT_FSIZE, &limit, old) };
        if done == 0 { Ok(()) } else { Err(std::io::Error::last_os_error().to_string()) }
    }

    /// Most memory it ever held in MiB, and its threads now.
    pub fn size(&self) -> Option<(u64, u64)> {
        let file = format!("/proc/{}/status", self.child.as_ref()?.id());
        let text = std::fs::read_to_string(file).ok()?;
        let number = |name: &str| {
            let line = text.lines().find(|line| line.starts_with(name))?;
            line.split_whitespace().nth(1)?.parse::<u64>().ok()
        };
        Some((number("VmHWM:")? / 1_024, number("Threads:")?))
    }

    /// Whether this library is loaded in it.
    pub fn has_loaded(&self, library: &str) -> bool {
        let maps = self.child.as_ref().map(|child| format!("/proc/{}/maps", child.id()));
        let maps = maps.and_then(|maps| std::fs::read_to_string(maps).ok());
        maps.is_some_and(|maps| maps.contains(library))
    }

    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    pub fn kill(&mut self) {
        self.signal(libc::SIGKILL);
        self.reap();
    }

    pub fn reap(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.wait();
        }
    }

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
