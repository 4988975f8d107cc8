//! Many gateways together must not send a warming endpoint more than it has capacity for, and must use it.
//!
//! Gateways learn late what the others send. If each sent a warming endpoint what it seems to have capacity for, all
//! together would overload it, and an overloaded one falls over and stays down; if they sent it nothing, its capacity
//! would be missing. Each run simulates a fleet of its own: gateways that receive messages and the endpoint list late,
//! clients that come at random, endpoints that respond first come first, with a capacity that rises from their start.
mod measurements;
mod random;
mod simulation;

use measurements::Measurements;
use simulation::{Scenario, Simulation, Traffic};

const LOADS: [f64; 3] = [0.5, 0.75, 1.0];

/// Runs one scenario `runs` times and adds up what was measured.
fn measure(scenario: Scenario, runs: u64) -> Measurements {
    let (warming, traffic) = (scenario.warming as u64, scenario.traffic as u64);
    let kind = warming << 20 | traffic << 16 | (scenario.load * 4.0) as u64;
    let measured = (0..runs).map(|run| {
        let mut simulation = Simulation::new(scenario, run << 40 | kind << 16 | scenario.gateways as u64);
        simulation.run();
        Measurements::of(&simulation)
    });
    measured.fold(Measurements::default(), Measurements::and)
}

/// Runs every kind of traffic with one warming endpoint and with six in ten. No window may have more sends than the limit.
/// Over the runs with work for all a warming endpoint must do two fifths of what a warm one does for its capacity by
/// the middle of its warm-up, and four fifths after it.
fn assert_budget_is_kept_and_used(gateways: usize, endpoints: usize, loads: &[f64], runs: u64) {
    let mut faults = Vec::new();
    for warming in [1, endpoints * 6 / 10] {
        let mut busy = Measurements::default();
        for traffic in [Traffic::Even, Traffic::Uneven, Traffic::Waves] {
            for &load in loads.iter().filter(|_| gateways > 1 || traffic != Traffic::Uneven) {
                let scenario = Scenario { gateways, endpoints, warming, traffic, load };
                let measured = measure(scenario, runs);
                println!("{scenario:?}: {measured}");
                if measured.runs_over_limit > 0 {
                    faults.push(format!("{scenario:?}: {measured}"));
                }
                if load > 0.5 {
                    busy = busy.and(measured);
                }
            }
        }
        // What a handful of warming endpoints gets is chance.
        let enough_data = busy.runs * warming as f64 >= 20.0;
        if enough_data && !busy.warming_endpoints_are_used() {
            faults.push(format!("{gateways} gateways, {warming} of {endpoints} warming, too little: {busy}"));
        }
        println!("{gateways} gateways, {warming} of {endpoints} warming, load over 0.5: {busy}");
    }
    assert!(faults.is_empty(), "{faults:#?}");
}

/// A single gateway has the budget of an endpoint for itself. Without the limit it would send the endpoint as
/// much from its start as any other.
#[test]
fn one_gateway_keeps_to_the_budget_and_uses_it() {
    assert_budget_is_kept_and_used(1, 5, &LOADS, 10);
}

/// Three gateways know each other's counts, and still not what the others are about to send. If each used the
/// budget in full, they would exceed it threefold.
#[test]
fn three_gateways_keep_to_the_budget_and_use_it() {
    assert_budget_is_kept_and_used(3, 5, &LOADS, 10);
}

/// The most gateways that broadcast their counts where each accepts 40 messages a second. An even fraction of
/// an endpoint's budget is less than one request in a window there, which must not lead to none at all.
#[test]
fn twelve_gateways_keep_to_the_budget_and_use_it() {
    assert_budget_is_kept_and_used(12, 5, &LOADS, 10);
}

/// The fewest gateways that gossip: they draw endpoints at random, and with so few of them chance weighs
/// most.
#[test]
fn thirteen_gateways_keep_to_the_budget_and_use_it() {
    assert_budget_is_kept_and_used(13, 5, &LOADS, 10);
}

/// A fleet that gossips, with four gateways for an endpoint: no gateway sees enough of an endpoint to know by
/// itself what it can do.
#[test]
fn twenty_gateways_keep_to_the_budget_and_use_it() {
    assert_budget_is_kept_and_used(20, 5, &LOADS, 10);
}

/// The same with six gateways for an endpoint.
#[test]
fn thirty_gateways_keep_to_the_budget_and_use_it() {
    assert_budget_is_kept_and_used(30, 5, &LOADS, 10);
}

/// A large fleet, with ten gateways for an endpoint: if every gateway sent a warming endpoint one request at
/// its start, it would fall over at once.
#[test]
fn three_hundred_gateways_keep_to_the_budget_and_use_it() {
    assert_budget_is_kept_and_used(300, 30, &[0.75], 1);
}

/// The same at all loads and with more endpoints.
#[test]
#[ignore = "takes about a minute; run it after changes to slow start: \
    cargo test --package irishinge-admission --test it -- --ignored"]
fn three_hundred_gateways_keep_to_the_budget_at_all_loads() {
    assert_budget_is_kept_and_used(300, 60, &LOADS, 1);
}
