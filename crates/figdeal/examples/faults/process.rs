//! A child process of the run.

use std::{
    fs::OpenOptions,
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{Mutex, MutexGuard, PoisonError},
    thread,
    time::Duration,
};

use crate::Result;

/// Delay after which a process that cannot bind its ports has exited.
const START_CHECK_DELAY: Duration = Duration::from_millis(150);
/// Number of attempts to start a process. An outgoing connection may use one of its ports for a short time.
const MAX_START_ATTEMPTS: u32 = 20;

/// A process that can be killed and restarted with the same arguments.
#[derive(Debug)]
pub(crate) struct Process {
    pub(crate) name: String,
    pub(crate) log: PathBuf,
    program: PathBuf,
    args: Vec<String>,
    child: Mutex<Option<Child>>,
}

impl Process {
    pub(crate) fn new(name: String, program: PathBuf, args: Vec<String>, log: PathBuf) -> Process {
        Process {
            name,
            log,
            program,
            args,
            child: Mutex::new(None),
        }
    }

    pub(crate) fn start(&self) -> Result<()> {
        for _ in 0..MAX_START_ATTEMPTS {
            let mut child = self.spawn()?;
            thread::sleep(START_CHECK_DELAY);
            if child.try_wait()?.is_none() {
                *self.lock() = Some(child);
                return Ok(());
            }
        }
        Err(format!(
            "step start, {}: the process exits at once, see {}",
            self.name,
            self.log.display()
        )
        .into())
    }

    fn spawn(&self) -> Result<Child> {
        let log = OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)?;
        let child = Command::new(&self.program)
            .args(&self.args)
            .env("RUST_LOG", "info")
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
            .map_err(|e| format!("step start, {}: {e}", self.name))?;
        Ok(child)
    }

    /// Sends SIGKILL. Does nothing when the process is not running.
    pub(crate) fn kill(&self) {
        if let Some(mut child) = self.lock().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    fn lock(&self) -> MutexGuard<'_, Option<Child>> {
        self.child.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
