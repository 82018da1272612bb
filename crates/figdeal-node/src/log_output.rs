//! Log output on standard output through a bounded buffer, so that logging never blocks a thread.

use std::{
    io::{self, Write},
    sync::{Arc, Mutex, PoisonError},
    thread,
    time::Duration,
};

/// Bound of the buffered log lines in bytes; further lines are dropped and counted.
const MAX_PENDING_BYTES: usize = 512 * 1024;
/// Interval at which the background thread writes the buffered lines.
const WRITE_INTERVAL: Duration = Duration::from_millis(200);
/// Default log filter: `info` and above of these crates, warnings and above of all others.
const DEFAULT_FILTER: &str = "warn,figdeal_queue=info,figdeal_node=info,figdeal_platform=info";

#[derive(Debug, Default)]
struct PendingLines {
    bytes: Vec<u8>,
    dropped_lines: u64,
}

/// Buffers log lines for the background thread.
#[derive(Debug, Clone, Default)]
struct BufferedWriter(Arc<Mutex<PendingLines>>);

impl Write for BufferedWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut buffer = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if buffer.bytes.len() + line.len() > MAX_PENDING_BYTES {
            buffer.dropped_lines += 1;
        } else {
            buffer.bytes.extend_from_slice(line);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl BufferedWriter {
    /// Writes the buffered lines to standard output.
    fn write_pending(&self) {
        let buffer = std::mem::take(&mut *self.0.lock().unwrap_or_else(PoisonError::into_inner));
        if buffer.dropped_lines > 0 {
            log::warn!("E650 log lines dropped count={}", buffer.dropped_lines);
        }
        let mut out = io::stdout().lock();
        // If standard output fails, there is nowhere else to report it.
        let _ = out.write_all(&buffer.bytes);
        let _ = out.flush();
    }
}

/// Guard of the log output. Dropping it writes the lines that are still buffered.
#[derive(Debug)]
pub struct LogOutput(BufferedWriter);

impl Drop for LogOutput {
    fn drop(&mut self) {
        log::logger().flush();
        self.0.write_pending();
    }
}

/// Installs the logger and starts its background thread. Keep the returned guard until the process ends.
pub fn init() -> LogOutput {
    let writer = BufferedWriter::default();
    let target = env_logger::Target::Pipe(Box::new(writer.clone()));
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or(DEFAULT_FILTER))
        .target(target)
        .format_timestamp_millis()
        .init();
    let background = writer.clone();
    thread::spawn(move || {
        loop {
            thread::sleep(WRITE_INTERVAL);
            background.write_pending();
        }
    });
    LogOutput(writer)
}
