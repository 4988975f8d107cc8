//! Time, the record of a case, and small helpers.
use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The record of a case: one line for each thing that was sent, answered or run, with its time.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &str) -> Record {
        let file = File::create(path).expect("create record.txt");
        Record { start: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    /// Milliseconds since the case started.
    pub fn now_ms(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1000.0
    }

    /// Writes a line with the present time, and returns that time.
    pub fn line(&self, text: &str) -> f64 {
        let now = self.now_ms();
        let mut file = self.file.lock().expect("the lock of the record");
        let _ = writeln!(file, "{now:10.1} {text}");
        now
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}

pub fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("a time after 1970").as_millis() as u64
}

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGKILL: i32 = 9;

/// Sends a signal to a process that this program started.
pub fn send_signal(pid: u32, signal: i32) {
    // SAFETY: `kill` takes two numbers and touches no memory of this process.
    unsafe { kill(pid as i32, signal) };
}

/// Whether the disruption of the case is played: it is, unless `TROUBLE` is `0`.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}
