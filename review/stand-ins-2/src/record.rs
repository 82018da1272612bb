//! The record of a script: what was sent, answered and run, with the time since its start.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

#[derive(Debug, Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).expect("the record can be written");
        Record {
            start: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    pub fn write(&self, text: impl AsRef<str>) {
        self.write_at(Instant::now(), text);
    }

    /// Writes a line about something that happened at `at`.
    pub fn write_at(&self, at: Instant, text: impl AsRef<str>) {
        let line = format!("{:9.3} {}\n", self.seconds(at), text.as_ref());
        let mut file = self.file.lock().unwrap();
        file.write_all(line.as_bytes())
            .expect("the record can be written");
    }

    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.start).as_secs_f64()
    }
}
