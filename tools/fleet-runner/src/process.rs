use std::fs::File;
use std::path::Path;
use std::process::{Child, Command, Stdio};

/// One process of the fleet, which can be ended and begun again with the same words.
pub struct Process {
    pub name: String,
    program: String,
    words: Vec<String>,
    output: String,
    child: Option<Child>,
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
            child: None,
        };
        process.begin()?;
        Ok(process)
    }

    pub fn begin(&mut self) -> Result<(), String> {
        let text = |error: std::io::Error| format!("{}: {error}", self.name);
        let output = File::options().create(true).append(true).open(&self.output).map_err(text)?;
        let errors = output.try_clone().map_err(text)?;
        let child = Command::new(&self.program)
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
