//! Processes of a deployment.

use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

/// A process started by the harness; killed when dropped.
#[derive(Debug)]
pub struct Process {
    program: PathBuf,
    arguments: Vec<String>,
    log: PathBuf,
    child: Option<Child>,
}

/// A signal that tests send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// Asks the process to stop.
    Terminate,
    /// Freezes the process.
    Stop,
    /// Lets a frozen process go on.
    Continue,
}

impl Process {
    /// Starts `program`; what it prints goes to the file `log`.
    ///
    /// # Errors
    /// Passes on errors of starting it.
    pub fn start(program: &Path, arguments: Vec<String>, log: PathBuf) -> io::Result<Self> {
        let mut process = Self {
            program: program.to_path_buf(),
            arguments,
            log,
            child: None,
        };
        process.restart()?;
        Ok(process)
    }

    /// Starts the process again after it ended or was killed.
    ///
    /// # Errors
    /// Passes on errors of starting it.
    pub fn restart(&mut self) -> io::Result<()> {
        self.kill();
        let log = File::options().create(true).append(true).open(&self.log)?;
        let mut command = Command::new(&self.program);
        command.args(&self.arguments).stdin(Stdio::null());
        command.stdout(log.try_clone()?).stderr(log);
        self.child = Some(command.spawn()?);
        Ok(())
    }

    /// Kills the process at once.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Its process id, while it runs.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Sends a signal by the system's own `kill` program.
    pub fn signal(&self, signal: Signal) {
        let name = match signal {
            Signal::Terminate => "-TERM",
            Signal::Stop => "-STOP",
            Signal::Continue => "-CONT",
        };
        if let Some(id) = self.id() {
            let _ = Command::new("kill").args([name, &id.to_string()]).status();
        }
    }

    /// Its exit status, if it has ended.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.as_mut()?.try_wait().ok().flatten()
    }

    /// Everything that it printed.
    pub fn printed(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The folder that holds the built programs, found from the running one.
///
/// # Errors
/// Passes on errors of finding the running program.
pub fn program_folder() -> io::Result<PathBuf> {
    let running = std::env::current_exe()?;
    let folder = running
        .parent()
        .ok_or_else(|| io::Error::other("no folder"))?;
    // Tests stand in `deps` and examples in `examples` below the programs.
    let nested = folder.ends_with("deps") || folder.ends_with("examples");
    let folder = if nested {
        folder.parent().unwrap_or(folder)
    } else {
        folder
    };
    Ok(folder.to_path_buf())
}
