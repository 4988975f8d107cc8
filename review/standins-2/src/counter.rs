//! The counter: keeps numbers by name, and serves each call at once.
use crate::http::{read_message, write_response};
use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Starts the counter and returns its address.
pub fn start() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind the counter");
    let addr = listener.local_addr().expect("the counter's address");
    let counts: Arc<Mutex<HashMap<String, (f64, Instant)>>> = Arc::default();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let counts = counts.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let mut buffer = Vec::new();
                while let Some(call) = read_message(&mut stream, &mut buffer) {
                    let total = add(&counts, call.target());
                    let answer = match total {
                        Some(total) => write_response(&mut stream, "200 OK", "", &format!("{total:.6}")),
                        None => write_response(&mut stream, "400 Bad Request", "", "no such call"),
                    };
                    if answer.is_err() {
                        return;
                    }
                }
            });
        }
    });
    addr
}

/// Adds what the call says, and returns the total.
fn add(counts: &Mutex<HashMap<String, (f64, Instant)>>, target: &str) -> Option<f64> {
    let (path, query) = target.split_once('?')?;
    let name = path.strip_prefix("/counters/")?;
    let value = |key: &str| query.split('&').find_map(|part| part.strip_prefix(key)?.strip_prefix('='));
    let by: f64 = value("by")?.parse().ok()?;
    let life_ms: u64 = value("expire_ms")?.parse().ok()?;
    let mut counts = counts.lock().expect("the counts' lock");
    let now = Instant::now();
    let end = now + Duration::from_millis(life_ms.clamp(1, 60_000));
    let count = counts.entry(name.to_string()).or_insert((0.0, end));
    if count.1 <= now {
        *count = (0.0, end);
    }
    count.0 += by;
    Some(count.0)
}
