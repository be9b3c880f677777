//! Record of what was sent, answered and run, with the time since the start of the case.

use std::{
    fs::File,
    io::{BufWriter, Write},
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        let file = Arc::new(Mutex::new(BufWriter::new(File::create(path)?)));
        Ok(Self { started: Instant::now(), file })
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        // Long texts are cut: a value of a session may have a megabyte.
        let short: String = text.chars().take(300).collect();
        writeln!(file, "{:9.3} {short}", self.started.elapsed().as_secs_f64()).ok();
    }

    /// Writes a line to the standard output as well.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
        self.file.lock().unwrap().flush().ok();
    }
}
