//! Connections to endpoints come up late while requests with an idempotency key are repeated. Each repeat has to
//! be sent within the key's window, since the endpoints forget the key after that.
use crate::client::{new_id, Request};
use crate::counter;
use crate::discovery::{Discovery, Entry};
use crate::host::{Arrivals, Behaviour, Gate};
use crate::http::write_response;
use crate::site;
use crate::util::{sleep_ms, trouble, Record};
use crate::Verdict;
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::thread;

/// The window of the class `place-order`, which is `by_key` here.
const WINDOW_MS: f64 = 1200.0;
/// The slack of each time limit on sockets.
const SLACK_MS: f64 = 50.0;
/// How long an endpoint works on a large order.
const LARGE_ORDER_MS: u64 = 3000;
/// The number of endpoints.
const HOSTS: usize = 4;
/// The number of large orders, one after another.
const ROUNDS: usize = 4;

/// What the endpoints, which are one group, remember of the keys.
#[derive(Default)]
struct Memory {
    /// When each key was first seen.
    seen_ms: HashMap<String, f64>,
    /// When each key was run: it is run unless it was seen within the window before.
    runs: HashMap<String, Vec<f64>>,
}

pub fn play(record: &Record) -> Verdict {
    let mut settings = site::nairobi_orders();
    settings.classes[1].repeat = "by_key";
    settings.classes[1].window_ms = WINDOW_MS;
    settings.connect_timeout_ms = 1500.0;
    settings.plans[2] = site::plan("hotel", 100.0, 200.0);

    let arrivals: Arrivals = Arc::default();
    let memory: Arc<Mutex<Memory>> = Arc::default();
    let behaviour = endpoint(&memory, record);
    let (hosts, gates): (Vec<_>, Vec<_>) =
        (0..HOSTS).map(|n| Gate::start(&format!("host-{n}"), &arrivals, record, behaviour.clone())).unzip();
    let discovery = Discovery::start(hosts.iter().map(|h| Entry::up(&h.name, h.addr)).collect(), record);
    let Some(gateways) = site::start_fleet(&settings, &discovery, Some(counter::start()), 1024, record)
    else {
        return Verdict::CouldNotRun;
    };
    let to = gateways[0].config.listen;
    let order = |body: &str| {
        let id = new_id();
        let request = Request {
            id,
            class: "place-order",
            plan: "hotel",
            customer: 0x77,
            budget_s: 8.0,
            units: 1,
            spread: 2,
            first: 0,
            key: Some(format!("order-{id:x}")),
            body: Some(body.to_string()),
        };
        request.send(to, record).map_or(0, |answer| answer.status())
    };
    for _ in 0..60 {
        if order("small") != 200 {
            record.say("a small order is not served");
            return Verdict::CouldNotRun;
        }
    }
    for _ in 0..ROUNDS {
        let before = arrivals.lock().expect("the arrivals' lock").len();
        thread::scope(|scope| {
            scope.spawn(|| order("large"));
            let first = loop {
                if let Some(arrival) = arrivals.lock().expect("the arrivals' lock").get(before) {
                    break arrival.host.clone();
                }
                sleep_ms(1);
            };
            if trouble() {
                let others: Vec<_> =
                    hosts.iter().zip(&gates).filter(|(h, _)| h.name != first).map(|(_, gate)| gate).collect();
                others.iter().for_each(|gate| gate.close());
                record.line("new connections to the other endpoints come up late from now on");
                sleep_ms(1200);
                others.iter().for_each(|gate| gate.open());
                record.line("new connections come up at once again");
            }
        });
        for _ in 0..20 {
            order("small");
        }
    }
    sleep_ms(500);
    let memory = memory.lock().expect("the memory's lock");
    judge(&memory, record)
}

/// An endpoint: runs an order unless it has seen its key within the window, and answers both times. It closes
/// the connection after its answer.
fn endpoint(memory: &Arc<Mutex<Memory>>, record: &Record) -> Behaviour {
    let (memory, record) = (memory.clone(), record.clone());
    Arc::new(move |_, arrival, stream| {
        let mut known = memory.lock().expect("the memory's lock");
        let first_ms = *known.seen_ms.entry(arrival.key.clone()).or_insert(arrival.at_ms);
        let after_ms = arrival.at_ms - first_ms;
        let is_first = !known.runs.contains_key(&arrival.key);
        if is_first || after_ms > WINDOW_MS + SLACK_MS {
            known.runs.entry(arrival.key.clone()).or_default().push(arrival.at_ms);
            record
                .line(&format!("{}: runs {} ({after_ms:.0} ms after its first)", arrival.host, arrival.key));
        } else {
            record
                .line(&format!("{}: knows {} ({after_ms:.0} ms after its first)", arrival.host, arrival.key));
        }
        drop(known);
        sleep_ms(if arrival.body == "large" { LARGE_ORDER_MS } else { 20 });
        write_response(stream, "200 OK", "Connection: close\r\n", &format!("order {}", arrival.id))?;
        Err(std::io::ErrorKind::ConnectionAborted.into())
    })
}

fn judge(memory: &Memory, record: &Record) -> Verdict {
    let mut twice = 0;
    for (key, runs) in memory.runs.iter().filter(|(_, runs)| runs.len() > 1) {
        twice += 1;
        let after_ms = runs[1] - runs[0];
        record.say(&format!(
            "{key}: ran {} times, the second time {after_ms:.0} ms after the first",
            runs.len()
        ));
    }
    record.say(&format!("orders that ran twice: {twice} of {ROUNDS} large ones (window {WINDOW_MS} ms)"));
    if twice > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
