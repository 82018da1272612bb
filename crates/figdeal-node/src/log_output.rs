//! Log lines on standard output, bounded and never blocking.

use std::{
    io::{self, Write},
    sync::{Arc, Mutex, PoisonError},
    thread,
    time::Duration,
};

/// Bytes of log lines that wait for the writer; further lines are dropped and counted.
const BUFFER: usize = 512 * 1024;
/// Time between two writes.
const PERIOD: Duration = Duration::from_millis(200);
/// Own events of every level the settings allow, and warnings of libraries.
const FILTER: &str = "warn,figdeal_queue=info,figdeal_node=info,figdeal_platform=info";

#[derive(Debug, Default)]
struct Buffer {
    bytes: Vec<u8>,
    dropped: u64,
}

/// Collects lines for a thread that writes them.
#[derive(Debug, Clone, Default)]
struct Sink(Arc<Mutex<Buffer>>);

impl Write for Sink {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut buffer = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if buffer.bytes.len() + line.len() > BUFFER {
            buffer.dropped += 1;
        } else {
            buffer.bytes.extend_from_slice(line);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Sink {
    /// Writes what has been collected.
    fn drain(&self) {
        let buffer = std::mem::take(&mut *self.0.lock().unwrap_or_else(PoisonError::into_inner));
        if buffer.dropped > 0 {
            log::warn!("E650 log lines dropped count={}", buffer.dropped);
        }
        let mut out = io::stdout().lock();
        // Without a reader of the log there is nowhere to report the failure.
        let _ = out.write_all(&buffer.bytes);
        let _ = out.flush();
    }
}

/// Writes the last lines when it is dropped.
#[derive(Debug)]
pub struct LogOutput(Sink);

impl Drop for LogOutput {
    fn drop(&mut self) {
        log::logger().flush();
        self.0.drain();
    }
}

/// Sends the log to standard output through a bounded buffer.
pub fn init() -> LogOutput {
    let sink = Sink::default();
    let target = env_logger::Target::Pipe(Box::new(sink.clone()));
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or(FILTER))
        .target(target)
        .format_timestamp_millis()
        .init();
    let writer = sink.clone();
    thread::spawn(move || {
        loop {
            thread::sleep(PERIOD);
            writer.drain();
        }
    });
    LogOutput(sink)
}
