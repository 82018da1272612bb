//! The record of a case: what was sent, answered and run, with the milliseconds since the start.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

/// Log of one case, shared between its threads.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Creates the file.
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).expect("the record can be created");
        Record {
            start: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    /// Adds a line.
    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.start.elapsed().as_millis();
        let mut file = self.file.lock().unwrap();
        writeln!(file, "{at:>6} {}", text.as_ref()).expect("the record can be written");
    }

    /// Adds a line and prints it.
    pub fn print(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
}
