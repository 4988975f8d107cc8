//! A fifth of the endpoints hang, so that customers run out of slots and their requests wait for one at the owner
//! of the quota. The hard ceilings of their plan have to hold all the same.
use crate::client::{new_id, Request};
use crate::counter;
use crate::discovery::{Discovery, Entry};
use crate::host::{self, Arrival, Arrivals, Behaviour};
use crate::http::write_response;
use crate::site;
use crate::store::ceiling_held;
use crate::util::{sleep_ms, trouble, Record};
use crate::Verdict;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;

/// The number of endpoints, and of those that hang.
const HOSTS: usize = 10;
const HANGING: usize = 2;
/// How long they hang.
const HANG_MS: f64 = 22_000.0;
/// The customers. The set of each is three gateways.
const CUSTOMERS: usize = 4;
const SPREAD: usize = 3;
/// The units of each request, the most that one may have.
const UNITS: u32 = 3;

pub fn play(record: &Record) -> Verdict {
    let settings = site::permit_desk_with_ceilings();
    let plan = &settings.plans[1];
    let arrivals: Arrivals = Arrivals::default();
    let hangs = Arc::new(AtomicBool::new(false));
    let hosts = (0..HOSTS).map(|n| {
        let hangs = hangs.clone();
        let behaviour: Behaviour = Arc::new(move |_, arrival, stream| {
            while n < HANGING && hangs.load(Ordering::Relaxed) {
                sleep_ms(10);
            }
            sleep_ms(150);
            write_response(stream, "200 OK", "", &format!("done {}", arrival.id))
        });
        host::start(&format!("host-{n}"), &arrivals, record, behaviour)
    });
    let discovery = Discovery::start(hosts.map(|h| Entry::up(&h.name, h.addr)).collect(), record);
    let Some(gateways) = site::start_fleet(&settings, &discovery, Some(counter::start()), 256, record) else {
        return Verdict::CouldNotRun;
    };
    sleep_ms(5000);
    if trouble() {
        record.line(&format!("{HANGING} of {HOSTS} endpoints hang from now on"));
        hangs.store(true, Ordering::Relaxed);
    }
    // Each customer asks for 3.7 times its quota.
    let interval_ms = (1000.0 * f64::from(UNITS) / (3.7 * plan.refill)) as u64;
    let until = record.now_ms() + HANG_MS;
    let mut turn = 0;
    while record.now_ms() < until {
        for customer in 0..CUSTOMERS {
            let first = customer * SPREAD;
            let request = Request {
                id: new_id(),
                class: "file",
                plan: plan.name,
                customer: 0x2000_0000 + customer as u64,
                budget_s: 9.0,
                units: UNITS,
                spread: SPREAD,
                first,
                key: None,
                body: Some(format!("customer {customer}")),
            };
            let (record, to) = (record.clone(), gateways[first + turn % SPREAD].config.listen);
            thread::spawn(move || request.send(to, &record));
        }
        turn += 1;
        sleep_ms(interval_ms);
    }
    hangs.store(false, Ordering::Relaxed);
    record.line("no endpoint hangs any longer");
    sleep_ms(2000);
    let arrivals = arrivals.lock().expect("the arrivals' lock");
    let mut broken = 0;
    for customer in 0..CUSTOMERS {
        let name = format!("customer {customer}");
        let own: Vec<Arrival> = arrivals.iter().filter(|a| a.body == name).cloned().collect();
        record.say(&format!("{name}:"));
        if !ceiling_held(plan, UNITS, &own, record) {
            broken += 1;
        }
    }
    record.say(&format!("ceilings exceeded: {broken} of {CUSTOMERS}"));
    if broken > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
