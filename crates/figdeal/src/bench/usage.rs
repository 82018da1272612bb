//! CPU time and memory of this process, read from `/proc`; the CPU time is attributed to parts of the process.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    fs, io,
    time::Duration,
};

/// A kernel thread id.
pub type ThreadId = u32;

/// Parts of the process. The CPU time of a part is that of its threads.
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
    /// The thread that runs the benchmark.
    Other,
    /// Threads that ended before the reading.
    Ended,
}

impl ProcessPart {
    /// Returns the name in the output.
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

/// Maps threads to parts, by the name of the thread or by the start phase in which it appeared.
#[derive(Debug, Default)]
pub struct Threads {
    known: HashMap<ThreadId, ProcessPart>,
    seen: HashSet<ThreadId>,
}

impl Threads {
    /// Assigns all threads that appeared since the last call to `part`.
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

    /// Returns the CPU time that this process has used so far.
    ///
    /// # Errors
    /// Fails when `/proc` cannot be read.
    pub fn cpu(&self) -> io::Result<CpuTimes> {
        let mut cpu = CpuTimes::new();
        let mut sum = Duration::ZERO;
        for id in thread_ids()? {
            // A thread may have ended since the threads were listed.
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
            // Only agents start threads while they serve: for calls and for their HTTP interface.
            _ => self.known.get(&id).copied().unwrap_or(ProcessPart::Agent),
        }
    }
}

/// Returns the CPU time used between two readings.
pub fn cpu_between(before: &CpuTimes, after: &CpuTimes) -> CpuTimes {
    after
        .iter()
        .map(|(&part, &time)| {
            let earlier = before.get(&part).copied().unwrap_or_default();
            (part, time.saturating_sub(earlier))
        })
        .collect()
}

/// Returns a field of `/proc/self/status` in KiB, such as `VmHWM`.
///
/// # Errors
/// Fails when `/proc` cannot be read or has no such field.
pub fn memory_kib(field: &str) -> io::Result<u64> {
    let status = fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find_map(|l| l.strip_prefix(field));
    line.and_then(|l| l.trim_start_matches(':').split_whitespace().next())
        .and_then(|n| n.parse().ok())
        .ok_or_else(|| io::Error::other(format!("/proc/self/status has no {field}")))
}

/// Returns the load average of the machine over the last minute.
pub fn load_average() -> Option<f64> {
    let text = fs::read_to_string("/proc/loadavg").ok()?;
    text.split(' ').next()?.parse().ok()
}

fn thread_ids() -> io::Result<Vec<ThreadId>> {
    let entries = fs::read_dir("/proc/self/task")?;
    let ids = entries.filter_map(|e| e.ok()?.file_name().to_str()?.parse().ok());
    Ok(ids.collect())
}

/// Unit of the CPU times in `/proc/self/stat`, which is 10 ms on Linux.
const CLOCK_TICK: Duration = Duration::from_millis(10);

fn process_cpu() -> io::Result<Duration> {
    let stat = fs::read_to_string("/proc/self/stat")?;
    // The process name in parentheses may contain spaces.
    let fields = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let ticks = |i: usize| fields.get(i).and_then(|f| f.parse::<u32>().ok());
    // User and system time are fields 14 and 15; the first field after the name is number 3.
    match (ticks(11), ticks(12)) {
        (Some(user), Some(system)) => Ok(CLOCK_TICK * (user + system)),
        _ => Err(io::Error::other("/proc/self/stat has no CPU times")),
    }
}
