//! A gateway is killed outright some seconds after its start, and is back soon. The hard ceiling of a customer's
//! plan has to hold through it.
use crate::client::{new_id, Request};
use crate::counter;
use crate::discovery::{Discovery, Entry};
use crate::gateway::Gateway;
use crate::host::{self, Arrivals};
use crate::site;
use crate::store::ceiling_held;
use crate::util::{sleep_ms, trouble, Record};
use crate::Verdict;
use std::thread;

/// The number of the gateway that the customer's requests come through, and that is killed.
const KILLED: usize = 0;
/// The customer. Its set is the killed gateway and the next one, which owns its quota.
const CUSTOMER: u64 = 0x1000_0001;
/// The units of each request, the most that one may have.
const UNITS: u32 = 3;
/// How long the killed gateway is down.
const DOWN_MS: u64 = 300;

pub fn play(record: &Record) -> Verdict {
    let settings = site::permit_desk_with_ceilings();
    let plan = &settings.plans[2];
    let arrivals: Arrivals = Arrivals::default();
    let hosts = (0..10).map(|n| host::start(&format!("host-{n}"), &arrivals, record, host::answer_after(40)));
    let discovery = Discovery::start(hosts.map(|h| Entry::up(&h.name, h.addr)).collect(), record);
    let Some(mut gateways) = site::start_fleet(&settings, &discovery, Some(counter::start()), 256, record)
    else {
        return Verdict::CouldNotRun;
    };
    let to = gateways[KILLED].config.listen;
    let ask = |count: u32, interval_ms: u64| {
        for _ in 0..count {
            let request = Request {
                id: new_id(),
                class: "file",
                plan: plan.name,
                customer: CUSTOMER,
                budget_s: 9.0,
                units: UNITS,
                spread: 2,
                first: KILLED,
                key: None,
                body: Some("a file".to_string()),
            };
            let record = record.clone();
            thread::spawn(move || request.send(to, &record));
            sleep_ms(interval_ms);
        }
    };
    // The fleet is quiet for a while. Then the customer spends what its quota holds, and goes on at the quota's
    // rate, 10 units a second.
    sleep_ms(5000);
    ask(9, 60);
    ask(15, 300);
    if trouble() {
        let config = gateways.remove(KILLED).kill();
        sleep_ms(DOWN_MS);
        let again = Gateway::start(config, record);
        if !again.wait_ready() {
            record.say("the killed gateway does not get ready again");
            return Verdict::CouldNotRun;
        }
        gateways.insert(KILLED, again);
    } else {
        sleep_ms(DOWN_MS);
    }
    // A spike of 5 times the quota, for 2 s.
    ask(40, 50);
    sleep_ms(1000);
    let arrivals = arrivals.lock().expect("the arrivals' lock");
    match ceiling_held(plan, UNITS, &arrivals, record) {
        true => Verdict::Held,
        false => Verdict::Broken,
    }
}
