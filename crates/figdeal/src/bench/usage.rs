//! CPU time and memory of this process by part, read from `/proc`.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    fs, io,
    time::Duration,
};

/// A kernel thread id.
pub type ThreadId = u32;

/// Parts of the process whose CPU time is told apart by their threads.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ProcessPart {
    /// The entries.
    Entry,
    /// The agents.
    Agent,
    /// The stand-in upstreams.
    Upstream,
    /// The load generator.
    Client,
    /// The thread that runs the bench.
    Other,
    /// Threads that ended before the reading.
    Ended,
}

impl ProcessPart {
    /// The name in the output.
    pub fn name(self) -> &'static str {
        match self {
            ProcessPart::Entry => "entry",
            ProcessPart::Agent => "agent",
            ProcessPart::Upstream => "upstream",
            ProcessPart::Client => "client",
            ProcessPart::Other => "other",
            ProcessPart::Ended => "ended",
        }
    }
}

/// CPU time by part.
pub type CpuTimes = BTreeMap<ProcessPart, Duration>;

/// Knows which threads belong to which part: by name, or by the time at which they appeared.
#[derive(Debug, Default)]
pub struct Threads {
    known: HashMap<ThreadId, ProcessPart>,
    seen: HashSet<ThreadId>,
}

impl Threads {
    /// Assigns the threads that appeared since the last call to a part.
    ///
    /// # Errors
    /// Fails when `/proc` cannot be read.
    pub fn assign(&mut self, part: ProcessPart) -> io::Result<()> {
        for id in thread_ids()? {
            if self.seen.insert(id) {
                self.known.insert(id, part);
            }
        }
        Ok(())
    }

    /// CPU time of this process so far.
    ///
    /// # Errors
    /// Fails when `/proc` cannot be read.
    pub fn cpu(&self) -> io::Result<CpuTimes> {
        let mut cpu = CpuTimes::new();
        let mut sum = Duration::ZERO;
        for id in thread_ids()? {
            // A thread may end between the listing and the read.
            let Ok(text) = fs::read_to_string(format!("/proc/self/task/{id}/schedstat")) else {
                continue;
            };
            let nanos = text.split(' ').next().and_then(|n| n.parse().ok());
            let time = Duration::from_nanos(nanos.unwrap_or(0));
            sum += time;
            *cpu.entry(self.part(id)).or_default() += time;
        }
        let ended = process_cpu()?.saturating_sub(sum);
        *cpu.entry(ProcessPart::Ended).or_default() += ended;
        Ok(cpu)
    }

    fn part(&self, id: ThreadId) -> ProcessPart {
        let name = fs::read_to_string(format!("/proc/self/task/{id}/comm")).unwrap_or_default();
        match name.trim_end() {
            "bench-entry" => ProcessPart::Entry,
            "bench-agent" => ProcessPart::Agent,
            "bench-upstream" => ProcessPart::Upstream,
            "bench-client" => ProcessPart::Client,
            // Only agents start threads of their own while they serve: for calls and for their HTTP interface.
            _ => self.known.get(&id).copied().unwrap_or(ProcessPart::Agent),
        }
    }
}

/// CPU time that was spent between two readings.
pub fn cpu_between(before: &CpuTimes, after: &CpuTimes) -> CpuTimes {
    after
        .iter()
        .map(|(&part, &time)| {
            let earlier = before.get(&part).copied().unwrap_or_default();
            (part, time.saturating_sub(earlier))
        })
        .collect()
}

/// A figure in KiB of `/proc/self/status`, such as `VmHWM`.
///
/// # Errors
/// Fails when `/proc` cannot be read or has no such figure.
pub fn memory_kib(field: &str) -> io::Result<u64> {
    let status = fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find_map(|l| l.strip_prefix(field));
    line.and_then(|l| l.trim_start_matches(':').split_whitespace().next())
        .and_then(|n| n.parse().ok())
        .ok_or_else(|| io::Error::other(format!("/proc/self/status has no {field}")))
}

/// The load average of the machine over one minute.
pub fn load_average() -> Option<f64> {
    let text = fs::read_to_string("/proc/loadavg").ok()?;
    text.split(' ').next()?.parse().ok()
}

fn thread_ids() -> io::Result<Vec<ThreadId>> {
    let entries = fs::read_dir("/proc/self/task")?;
    let ids = entries.filter_map(|e| e.ok()?.file_name().to_str()?.parse().ok());
    Ok(ids.collect())
}

/// Ticks of `/proc/self/stat` are 10 ms on Linux.
const TICK: Duration = Duration::from_millis(10);

fn process_cpu() -> io::Result<Duration> {
    let stat = fs::read_to_string("/proc/self/stat")?;
    // The name in parentheses may contain spaces.
    let fields = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let ticks = |i: usize| fields.get(i).and_then(|f| f.parse::<u32>().ok());
    // User and system time are fields 14 and 15; the state is field 3.
    match (ticks(11), ticks(12)) {
        (Some(user), Some(system)) => Ok(TICK * (user + system)),
        _ => Err(io::Error::other("/proc/self/stat has no CPU times")),
    }
}
