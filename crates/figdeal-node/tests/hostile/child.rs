//! A program under attack that reads a settings file.

use std::{
    fs,
    net::SocketAddr,
    path::Path,
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

/// Timeout of one step. Only a failing test reaches it.
const STEP_TIMEOUT: Duration = Duration::from_secs(60);
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// A process that is killed when this value is dropped.
pub(crate) struct Attacked(Child);

impl Attacked {
    /// Starts a program with at most `descriptors` open descriptors.
    pub(crate) fn start(program: &str, arguments: &[&str], descriptors: usize) -> Attacked {
        let limit = format!("ulimit -n {descriptors} && exec \"$@\"");
        let child = Command::new("sh")
            .args(["-c", &limit, "sh", program])
            .args(arguments)
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn();
        Attacked(child.unwrap())
    }

    /// Waits until `path` is answered with one of the statuses.
    pub(crate) fn wait_for_status(&mut self, to: SocketAddr, path: &str, statuses: &[u16]) {
        let config = ureq::Agent::config_builder().http_status_as_error(false);
        let client: ureq::Agent = config.timeout_global(Some(REQUEST_TIMEOUT)).build().into();
        let start = Instant::now();
        while start.elapsed() < STEP_TIMEOUT {
            assert_eq!(self.0.try_wait().unwrap(), None, "the process has ended");
            let answer = client.get(format!("http://{to}{path}")).call();
            if answer.is_ok_and(|a| statuses.contains(&a.status().as_u16())) {
                return;
            }
            thread::sleep(RETRY_INTERVAL);
        }
        panic!("no answer: {path}");
    }

    /// Checks the peak memory and the open descriptors.
    pub(crate) fn assert_within(&mut self, max_memory_kb: u64, max_descriptors: usize) {
        assert_eq!(self.0.try_wait().unwrap(), None, "the process has ended");
        let folder = format!("/proc/{}", self.0.id());
        let status = fs::read_to_string(format!("{folder}/status")).unwrap();
        let value = |name: &str| -> u64 {
            let line = status.lines().find(|l| l.starts_with(name)).unwrap();
            line.split_whitespace().nth(1).unwrap().parse().unwrap()
        };
        let (memory_kb, threads) = (value("VmHWM:"), value("Threads:"));
        let descriptors = fs::read_dir(Path::new(&folder).join("fd")).unwrap().count();
        println!("memory_kb={memory_kb} descriptors={descriptors} threads={threads}");
        assert!(memory_kb <= max_memory_kb, "peak of {memory_kb} KiB");
        assert!(descriptors <= max_descriptors, "{descriptors} descriptors");
    }
}

impl Drop for Attacked {
    fn drop(&mut self) {
        // The process may already have ended.
        let _ = self.0.kill();
        self.0.wait().unwrap();
    }
}
