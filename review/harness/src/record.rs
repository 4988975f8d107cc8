//! `record.txt`: what was sent, answered and run, one line each, with the time since the start in ms.
use std::fmt::Arguments;
use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).expect("create the record");
        Record { file: Arc::new(Mutex::new(file)), start: Instant::now() }
    }

    /// Writes a line with the present time.
    pub fn line(&self, text: Arguments) {
        self.line_at(Instant::now(), text);
    }

    /// Writes a line with the time `at`.
    pub fn line_at(&self, at: Instant, text: Arguments) {
        let ms = self.ms(at);
        let mut file = self.file.lock().expect("the record's lock");
        let _ = writeln!(file, "{ms:10.1} {text}");
    }

    /// Returns a time in ms since the start.
    pub fn ms(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.start).as_secs_f64() * 1000.0
    }
}
