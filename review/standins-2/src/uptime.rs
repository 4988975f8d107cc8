//! A gateway that has run for a day, and for some seconds more. `review/uptime/show.sh` starts this with a copy of
//! the program whose clock started a day before the process; with the program itself it shows nothing.
use crate::client::{new_id, Request};
use crate::discovery::{Discovery, Entry};
use crate::host::{self, Arrivals};
use crate::site;
use crate::util::{sleep_ms, Record};
use crate::Verdict;

/// The time between two requests.
const INTERVAL_MS: u64 = 500;
/// The number of requests.
const REQUESTS: usize = 30;

pub fn play(record: &Record) -> Verdict {
    let mut settings = site::nairobi_orders();
    settings.counter = false;
    let arrivals: Arrivals = Arrivals::default();
    let hosts = (0..2).map(|n| host::start(&format!("host-{n}"), &arrivals, record, host::answer_after(10)));
    let discovery = Discovery::start(hosts.map(|h| Entry::up(&h.name, h.addr)).collect(), record);
    let Some(gateways) = site::start_fleet(&settings, &discovery, None, 256, record) else {
        return Verdict::CouldNotRun;
    };
    let mut answered = 0;
    let mut unanswered = 0;
    for turn in 0..REQUESTS {
        let request = Request {
            id: new_id(),
            class: "stock-check",
            plan: "hotel",
            customer: 0x55,
            budget_s: 1.0,
            units: 1,
            spread: 3,
            first: 0,
            key: None,
            body: None,
        };
        match request.send(gateways[turn % gateways.len()].config.listen, record) {
            Some(_) => answered += 1,
            None => unanswered += 1,
        }
        sleep_ms(INTERVAL_MS);
    }
    record.say(&format!("answered {answered}, without an answer {unanswered}"));
    if unanswered > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
