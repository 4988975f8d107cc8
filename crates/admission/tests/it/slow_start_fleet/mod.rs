//! Gateways together must not send a warming endpoint more than it has capacity for, and must still use
//! it.
//!
//! A gateway learns late what the others send. If each sent a warming endpoint as much as it seems to have
//! capacity for, all together would overload it, and an overloaded endpoint fails and stays down. If they
//! sent it nothing, its capacity would be missing. Each run simulates another fleet: gateways receive
//! messages and the endpoint list late, requests come at random times, and endpoints work off attempts in
//! order of arrival, with a capacity that rises after their start.
mod measurements;
mod random;
mod simulation;

use measurements::Measurements;
use simulation::{Scenario, Simulation, Traffic};

/// Loads of the scenarios, as fractions of the endpoints' capacity.
const LOADS: [f64; 3] = [0.5, 0.75, 1.0];

/// Runs a scenario `runs` times, each with another seed, and returns the combined measurements.
fn measure_runs(scenario: Scenario, runs: u64) -> Measurements {
    let (warming, traffic) = (scenario.warming as u64, scenario.traffic as u64);
    let scenario_bits = warming << 20 | traffic << 16 | (scenario.load * 4.0) as u64;
    let measured = (0..runs).map(|run| {
        let mut simulation =
            Simulation::new(scenario, run << 40 | scenario_bits << 16 | scenario.gateways as u64);
        simulation.run();
        Measurements::of(&simulation)
    });
    measured.fold(Measurements::default(), Measurements::combined_with)
}

/// Runs every kind of traffic with one warming endpoint and with six in ten, and asserts that no window
/// has more attempts than the limit. In the runs with a load above one half, warming endpoints must reach
/// two fifths of the utilization of warm ones by the middle of their warm-up, and four fifths after it.
fn assert_budget_is_kept_and_used(gateways: usize, endpoints: usize, loads: &[f64], runs: u64) {
    let mut violations = Vec::new();
    for warming in [1, endpoints * 6 / 10] {
        let mut loaded = Measurements::default();
        for traffic in [Traffic::Even, Traffic::Uneven, Traffic::Waves] {
            for &load in loads.iter().filter(|_| gateways > 1 || traffic != Traffic::Uneven) {
                let scenario = Scenario { gateways, endpoints, warming, traffic, load };
                let measured = measure_runs(scenario, runs);
                println!("{scenario:?}: {measured}");
                if measured.runs_over_limit > 0 {
                    violations.push(format!("{scenario:?}: {measured}"));
                }
                if load > 0.5 {
                    loaded = loaded.combined_with(measured);
                }
            }
        }
        // With few warming endpoints their utilization depends on chance.
        let enough_data = loaded.runs * warming as f64 >= 20.0;
        if enough_data && !loaded.warming_endpoints_are_used() {
            violations.push(format!(
                "{gateways} gateways, {warming} of {endpoints} warming, too little use: {loaded}"
            ));
        }
        println!("{gateways} gateways, {warming} of {endpoints} warming, load over 0.5: {loaded}");
    }
    assert!(violations.is_empty(), "{violations:#?}");
}

/// A single gateway has the whole budget of an endpoint. Without the limit it would send a new endpoint as
/// much as any other.
#[test]
fn one_gateway_keeps_to_the_budget_and_uses_it() {
    assert_budget_is_kept_and_used(1, 5, &LOADS, 10);
}

/// Three gateways know each other's counts, but not what the others are about to send. If each used the
/// whole budget, they would exceed it threefold.
#[test]
fn three_gateways_keep_to_the_budget_and_use_it() {
    assert_budget_is_kept_and_used(3, 5, &LOADS, 10);
}

/// Twelve is the largest number of gateways that broadcast their counts if each accepts 40 messages per
/// second. An even fraction of an endpoint's budget is less than one attempt per window there, which must
/// not lead to none at all.
#[test]
fn twelve_gateways_keep_to_the_budget_and_use_it() {
    assert_budget_is_kept_and_used(12, 5, &LOADS, 10);
}

/// Thirteen is the smallest number of gateways that gossip. They draw endpoints at random, and chance
/// matters most with so few of them.
#[test]
fn thirteen_gateways_keep_to_the_budget_and_use_it() {
    assert_budget_is_kept_and_used(13, 5, &LOADS, 10);
}

/// In gossip mode with four gateways for each endpoint, no gateway sends an endpoint enough attempts to
/// know its capacity by itself.
#[test]
fn twenty_gateways_keep_to_the_budget_and_use_it() {
    assert_budget_is_kept_and_used(20, 5, &LOADS, 10);
}

/// The budget also holds in gossip mode with six gateways for each endpoint.
#[test]
fn thirty_gateways_keep_to_the_budget_and_use_it() {
    assert_budget_is_kept_and_used(30, 5, &LOADS, 10);
}

/// In a large fleet there are ten gateways for each endpoint. If every gateway sent a warming endpoint one
/// attempt at its start, the endpoint would fail at once.
#[test]
fn three_hundred_gateways_keep_to_the_budget_and_use_it() {
    assert_budget_is_kept_and_used(300, 30, &[0.75], 1);
}

/// The budget also holds in a large fleet at all loads and with more endpoints.
#[test]
#[ignore = "takes about a minute; run it after changes to slow start: \
    cargo test --package irishinge-admission --test it -- --ignored"]
fn three_hundred_gateways_keep_to_the_budget_at_all_loads() {
    assert_budget_is_kept_and_used(300, 60, &LOADS, 1);
}
