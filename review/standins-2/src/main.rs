//! Plays one case of the review: `review-standins-2 CASE`, from the root of the repository. `RECORD` names the
//! record to write, `CASE_TMP` a temporary folder, and `TROUBLE=0` leaves the disruption out. Exits with 1 if the
//! rule was broken, 0 if it held, and 2 if the case couldn't run.
mod ceiling;
mod client;
mod cold;
mod counter;
mod crowd;
mod discovery;
mod gateway;
mod host;
mod http;
mod site;
mod slots;
mod store;
mod uptime;
mod util;
mod window;

use util::Record;

/// The time after which a case is given up.
const LONGEST_MS: u64 = 110_000;

/// The result of a case.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun,
}

fn main() {
    let case = std::env::args().nth(1).unwrap_or_default();
    let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".to_string());
    let record = Record::create(&path);
    let watched = record.clone();
    std::thread::spawn(move || {
        util::sleep_ms(LONGEST_MS);
        watched.say("the case takes too long");
        // The kernel ends the gateways with this process.
        std::process::exit(2);
    });
    let played = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| play(&case, &record)));
    std::process::exit(match played {
        Ok(Verdict::Held) => 0,
        Ok(Verdict::Broken) => 1,
        Ok(Verdict::CouldNotRun) | Err(_) => 2,
    });
}

fn play(case: &str, record: &Record) -> Verdict {
    match case {
        "killed-gateway" => ceiling::play(record),
        "idle-crowd" => crowd::play(record),
        "hung-endpoints" => slots::play(record),
        "cold-room" => cold::play(record),
        "uptime" => uptime::play(record),
        "key-window" => window::play(record),
        _ => {
            eprintln!("unknown case {case:?}");
            Verdict::CouldNotRun
        }
    }
}
