//! The record of one run: what was sent, answered and run, with the time since the start.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self { start: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    /// Seconds since the start.
    pub fn at(&self, time: Instant) -> f64 {
        time.saturating_duration_since(self.start).as_secs_f64()
    }

    pub fn write(&self, text: &str) {
        let at = self.at(Instant::now());
        writeln!(self.file.lock().unwrap(), "{at:9.4} {text}").expect("the record can be written");
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        self.write(text);
        println!("{text}");
    }
}
