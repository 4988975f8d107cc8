//! Requests with very little time left come in, and hosts drop some of them without a word. The gateway may not go
//! over its memory limit, at which the platform kills it.
use crate::client::{new_id, Request};
use crate::counter;
use crate::discovery::{Discovery, Entry};
use crate::host::{self, Arrivals, Behaviour};
use crate::http::write_response;
use crate::site;
use crate::util::{sleep_ms, trouble, Record};
use crate::Verdict;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// The memory limit of the gateway.
const MEMORY_MB: u64 = 32;
/// The number of endpoints.
const HOSTS: usize = 16;
/// The mean work of an order.
const MEAN_WORK_MS: f64 = 200.0;
/// The size of an order's body.
const BODY_BYTES: usize = 60_000;
/// The orders that come in a second. Every second one has little time left if the disruption is played.
const PER_SECOND: f64 = 60.0;
/// How long they come in.
const PLAY_MS: f64 = 95_000.0;

/// Draws numbers that are the same in each run.
struct Draws(AtomicU64);

impl Draws {
    /// A number from 0 to 1.
    fn fraction(&self) -> f64 {
        let mut z = self.0.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((z ^ (z >> 31)) >> 11) as f64 / (1_u64 << 53) as f64
    }
}

pub fn play(record: &Record) -> Verdict {
    let mut settings = site::nairobi_orders();
    settings.memory_mb = MEMORY_MB;
    settings.plans[2] = site::plan("hotel", 1000.0, 2000.0);
    let draws = Arc::new(Draws(AtomicU64::new(7)));
    let arrivals: Arrivals = Arrivals::default();
    let behaviour = endpoint(&draws, record);
    let hosts = (0..HOSTS).map(|n| host::start(&format!("host-{n}"), &arrivals, record, behaviour.clone()));
    let discovery = Discovery::start(hosts.map(|h| Entry::up(&h.name, h.addr)).collect(), record);
    let Some(gateways) = site::start_fleet(&settings, &discovery, Some(counter::start()), 512, record) else {
        return Verdict::CouldNotRun;
    };
    let to = gateways[0].config.listen;
    let counts: Arc<Mutex<BTreeMap<u16, u32>>> = Arc::default();
    let is_over = AtomicBool::new(false);
    let mut most_kb = 0;
    let body = "o".repeat(BODY_BYTES);
    thread::scope(|scope| {
        scope.spawn(|| {
            let until = record.now_ms() + PLAY_MS;
            let mut turn = 0;
            while record.now_ms() < until && !is_over.load(Ordering::Relaxed) {
                turn += 1;
                let has_little_time = turn % 2 == 0 && trouble();
                let budget_s = if has_little_time {
                    0.25 + 0.15 * draws.fraction()
                } else {
                    4.0 + 4.0 * draws.fraction()
                };
                let request = Request {
                    id: new_id(),
                    class: "place-order",
                    plan: "hotel",
                    customer: 0x500 + turn % 40,
                    budget_s,
                    units: 1,
                    spread: 3,
                    first: 0,
                    key: None,
                    body: Some(body.clone()),
                };
                let (record, counts) = (record.clone(), counts.clone());
                thread::spawn(move || {
                    let status = request.send(to, &record).map_or(0, |answer| answer.status());
                    *counts.lock().expect("the counts' lock").entry(status).or_default() += 1;
                });
                thread::sleep(Duration::from_secs_f64(1.0 / PER_SECOND));
            }
            is_over.store(true, Ordering::Relaxed);
        });
        // The platform.
        let mut last_line_ms = 0.0;
        while !is_over.load(Ordering::Relaxed) {
            let used_kb = gateways[0].resident_kb();
            most_kb = used_kb.max(most_kb);
            if record.now_ms() > last_line_ms + 5000.0 {
                last_line_ms =
                    record.line(&format!("n0 uses {used_kb} kB; answers so far: {:?}", counts.lock()));
            }
            if used_kb > MEMORY_MB * 1024 {
                record.say(&format!("n0 uses {used_kb} kB, more than {MEMORY_MB} MB: the platform kills it"));
                is_over.store(true, Ordering::Relaxed);
            }
            sleep_ms(100);
        }
    });
    record.say(&format!(
        "most memory used: {most_kb} kB; answers: {:?}",
        counts.lock().expect("the counts' lock")
    ));
    if most_kb > MEMORY_MB * 1024 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// An endpoint: works on an order for a time that varies, and drops it without a word once its time is over.
fn endpoint(draws: &Arc<Draws>, record: &Record) -> Behaviour {
    let (draws, record) = (draws.clone(), record.clone());
    Arc::new(move |request, arrival, stream| {
        let work_ms = -MEAN_WORK_MS * (1.0 - draws.fraction()).ln();
        let left_ms = 1000.0 * request.header("x-budget").and_then(|b| b.parse::<f64>().ok()).unwrap_or(0.0);
        if work_ms > left_ms {
            thread::sleep(Duration::from_secs_f64(left_ms / 1000.0));
            record.line(&format!("{}: drops {}", arrival.host, arrival.id));
            return Ok(());
        }
        thread::sleep(Duration::from_secs_f64(work_ms / 1000.0));
        write_response(stream, "200 OK", "", &format!("order {}", arrival.id))
    })
}
