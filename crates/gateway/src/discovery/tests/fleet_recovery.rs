//! Simulations of a fleet whose discovery returns after an outage or is slow at the start.
use super::{schedule_for_polled_lists, silent_call, silent_watch, unreachable, LEASE_DURATION};
use crate::discovery::error::DiscoveryError;
use crate::discovery::list_lease::MAX_REJECTION_RENEWAL;
use crate::discovery::refresh_policy::INITIAL_BACKOFF;
use crate::discovery::refresh_schedule::{CallPosition, RefreshSchedule};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;
use tokio::time::Instant;

/// Seconds of work in discovery's queue beyond which a call is rejected or abandoned.
const MAX_QUEUED_S: f64 = 2.0;
/// Seconds between two looks at how many gateways have a valid list.
const OBSERVATION_PERIOD_S: f64 = 0.5;
/// Seconds that a call and its response are on their way.
const NETWORK_DELAY_S: f64 = 0.01;

/// What the simulated discovery does with calls beyond its capacity.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Overload {
    /// The queue holds 2 s of work. A call that finds it full is rejected at once, at no cost.
    Rejects,
    /// The same, but such a call gets no response.
    IsSilent,
    /// The queue holds 4 s of work. A call that has waited 2 s is rejected then, and still served.
    WorksThrough,
}

/// What became of a fleet.
#[derive(Debug, Default)]
struct Recovery {
    /// When the last gateway had its first list.
    last_first_list_s: f64,
    /// Fraction of the gateways that had a list.
    reached_fraction: f64,
    /// Lists that discovery served in a second.
    lists_per_second: f64,
    /// Fraction of the served calls whose caller had abandoned them.
    wasted_fraction: f64,
    /// Calls that brought no list.
    failed_calls: usize,
    /// Fraction of the fleet with a valid list, on the mean over time.
    valid_fraction: f64,
    /// The longest time from the last list that a gateway received to the end of its lease.
    max_list_age: Duration,
}

/// A call to come. The order is that of time, then of the gateway.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct PendingCall {
    at_us: u64,
    gateway: usize,
    /// It goes over a connection that has brought a list.
    is_established: bool,
}

/// How a call ended: without an error it brought a list.
struct CallEnd {
    error: Option<DiscoveryError>,
    took_s: f64,
}

/// A fleet whose discovery, unreachable for long, returns at 0 with a fixed capacity. Each call takes a place
/// in the queue. A watch is answered when its wait is over, counted from when its turn came; the next follows
/// at once.
struct FleetSimulation {
    base: Instant,
    calls_per_second: f64,
    overload: Overload,
    duration_s: f64,
    schedules: Vec<RefreshSchedule>,
    first_list_s: Vec<Option<f64>>,
    last_list_at: Vec<Instant>,
    pending: BinaryHeap<Reverse<PendingCall>>,
    /// When discovery has worked through its queue.
    idle_at_s: f64,
    observed_s: f64,
    served: f64,
    wasted: f64,
    recovery: Recovery,
}

impl FleetSimulation {
    fn new(gateways: usize, calls_per_second: f64, overload: Overload, duration_s: f64) -> Self {
        let mut simulation = FleetSimulation {
            base: Instant::now(),
            calls_per_second,
            overload,
            duration_s,
            schedules: Vec::new(),
            first_list_s: vec![None; gateways],
            last_list_at: Vec::new(),
            pending: BinaryHeap::new(),
            idle_at_s: 0.0,
            observed_s: 0.0,
            served: 0.0,
            wasted: 0.0,
            recovery: Recovery::default(),
        };
        let mut random = fastrand::Rng::with_seed(calls_per_second as u64);
        for gateway in 0..gateways {
            simulation.add_gateway(gateway, gateways, &mut random);
        }
        simulation
    }

    /// Adds a gateway, with its last call that failed in the outage and the first one after it.
    fn add_gateway(&mut self, gateway: usize, gateways: usize, random: &mut fastrand::Rng) {
        let last_s = -INITIAL_BACKOFF.as_secs_f64() * random.f64();
        let mut schedule = schedule_for_polled_lists(gateways, gateway as u64, self.instant(last_s));
        let error = unreachable(self.instant(last_s));
        let mut next_s = last_s;
        while next_s < 0.0 {
            next_s += schedule.on_error(&error, self.instant(next_s)).as_secs_f64();
        }
        self.push_call(next_s, gateway, false);
        self.last_list_at.push(schedule.list_expires_at().expect("a lease") - LEASE_DURATION);
        self.schedules.push(schedule);
    }

    fn instant(&self, at_s: f64) -> Instant {
        self.base + Duration::from_secs_f64(at_s + 10.0)
    }

    fn push_call(&mut self, at_s: f64, gateway: usize, is_established: bool) {
        self.pending.push(Reverse(PendingCall { at_us: (at_s * 1e6) as u64, gateway, is_established }));
    }

    fn run(mut self) -> Recovery {
        while let Some(Reverse(call)) = self.pending.pop() {
            let now_s = call.at_us as f64 / 1e6;
            self.observe_until(now_s);
            if now_s > self.duration_s {
                break;
            }
            self.make_call(&call, now_s);
        }
        self.summarize()
    }

    fn observe_until(&mut self, now_s: f64) {
        while self.observed_s < now_s.min(self.duration_s) {
            let at = self.instant(self.observed_s);
            let valid = self.schedules.iter().filter(|s| s.list_expires_at() > Some(at)).count();
            self.recovery.valid_fraction +=
                valid as f64 / self.schedules.len() as f64 * OBSERVATION_PERIOD_S / self.duration_s;
            self.observed_s += OBSERVATION_PERIOD_S;
        }
    }

    fn make_call(&mut self, call: &PendingCall, now_s: f64) {
        let gateway = call.gateway;
        let position = if call.is_established { CallPosition::Later } else { CallPosition::First };
        let times = self.schedules[gateway].call_times(position, self.instant(now_s));
        let wait = if self.first_list_s[gateway].is_none() { Duration::ZERO } else { times.wait };
        let wait_s = wait.as_secs_f64();
        let timeout_s = times.response_timeout.as_secs_f64();
        let end = self.respond(call.is_established, now_s, wait_s, timeout_s);
        let end_s = now_s + end.took_s;
        let ended_at = self.instant(end_s);
        let schedule = &mut self.schedules[gateway];
        let pause = match &end.error {
            Some(error) => {
                self.recovery.failed_calls += 1;
                schedule.on_error(error, ended_at)
            }
            None => {
                schedule.on_list(Duration::from_secs_f64(end.took_s - wait_s), ended_at);
                self.last_list_at[gateway] = ended_at;
                self.first_list_s[gateway].get_or_insert(end_s);
                Duration::ZERO
            }
        };
        let list_age = schedule.list_expires_at().expect("a lease") - self.last_list_at[gateway];
        self.recovery.max_list_age = self.recovery.max_list_age.max(list_age);
        self.push_call(end_s + pause.as_secs_f64(), gateway, end.error.is_none());
    }

    /// What discovery does with a call that arrives now.
    fn respond(&mut self, is_established: bool, now_s: f64, wait_s: f64, timeout_s: f64) -> CallEnd {
        let queued_s = f64::max(self.idle_at_s - now_s, 0.0);
        let max_queued_s =
            if self.overload == Overload::WorksThrough { 2.0 * MAX_QUEUED_S } else { MAX_QUEUED_S };
        if queued_s > max_queued_s {
            return match self.overload {
                Overload::IsSilent if is_established => CallEnd::failed(silent_watch(), wait_s + timeout_s),
                Overload::IsSilent => CallEnd::failed(silent_call(), wait_s + timeout_s),
                _ => CallEnd::failed(DiscoveryError::Rejected, NETWORK_DELAY_S),
            };
        }
        self.idle_at_s = f64::max(self.idle_at_s, now_s) + 1.0 / self.calls_per_second;
        let turn_s = self.idle_at_s - now_s;
        if queued_s > MAX_QUEUED_S {
            self.wasted += 1.0;
            CallEnd::failed(DiscoveryError::Rejected, MAX_QUEUED_S)
        } else if turn_s + NETWORK_DELAY_S > timeout_s {
            self.wasted += 1.0;
            CallEnd::failed(silent_watch(), wait_s + timeout_s)
        } else {
            self.served += 1.0;
            CallEnd { error: None, took_s: turn_s + wait_s + NETWORK_DELAY_S }
        }
    }

    fn summarize(self) -> Recovery {
        let mut recovery = self.recovery;
        let first_lists = self.first_list_s.iter();
        recovery.last_first_list_s = first_lists.map(|f| f.unwrap_or(self.duration_s)).fold(0.0, f64::max);
        let reached = self.first_list_s.iter().flatten().count();
        recovery.reached_fraction = reached as f64 / self.schedules.len() as f64;
        recovery.lists_per_second = self.served / self.duration_s;
        recovery.wasted_fraction = self.wasted / (self.served + self.wasted);
        recovery
    }
}

impl CallEnd {
    fn failed(error: DiscoveryError, took_s: f64) -> Self {
        CallEnd { error: Some(error), took_s }
    }
}

/// Discovery returns after a long outage with a fixed capacity, and the calls of all gateways arrive at
/// once. Without jitter and a window that widens, the fleet would keep discovery's queue full with calls
/// whose callers have timed out, and few gateways would ever get a list. Expected: each gateway gets a list
/// as soon as capacity permits, almost all of discovery's work goes to lists that are received, and no
/// gateway uses a list that is too old.
#[test]
fn fleet_of_any_size_recovers_with_a_discovery_of_any_capacity() {
    for overload in [Overload::Rejects, Overload::IsSilent, Overload::WorksThrough] {
        for gateways in [1, 30, 100, 300, 5300] {
            for per_second in [20.0, 50.0, 200.0, 2000.0] {
                let turn_s = gateways as f64 / per_second;
                let duration_s = f64::max(60.0, 4.0 * turn_s);
                let recovery = FleetSimulation::new(gateways, per_second, overload, duration_s).run();
                println!("{overload:?}, {gateways} gateways, {per_second} a second: {recovery:.2?}");
                check_recovery(&recovery, overload, turn_s, per_second);
            }
        }
    }
}

/// `turn_s` is how long discovery takes to serve each gateway once.
fn check_recovery(recovery: &Recovery, overload: Overload, turn_s: f64, per_second: f64) {
    let max_list_age = if overload == Overload::IsSilent { LEASE_DURATION } else { MAX_REJECTION_RENEWAL };
    let list_age = recovery.max_list_age;
    assert!(list_age <= max_list_age, "nothing is sent by a list that is older: {list_age:?}");
    if turn_s < 3.0 {
        // All gateways together can be served in time, so that each is.
        let last = recovery.last_first_list_s;
        assert!(last <= turn_s + 4.5, "the last one at {last} s");
        assert!(recovery.valid_fraction > 0.98, "{}", recovery.valid_fraction);
    } else if overload != Overload::WorksThrough {
        // They cannot, and nearly all of discovery's time still goes to lists.
        assert!(
            recovery.lists_per_second > 0.9 * per_second && recovery.wasted_fraction < 0.1,
            "{recovery:?}"
        );
    } else if turn_s < 8.0 {
        // Pauses stay short for as long as rejections may be an outage, which costs a third of it.
        assert!(recovery.lists_per_second > 0.3 * per_second, "{recovery:?}");
    } else {
        // The windows end short of what so slow a discovery would need of so large a fleet.
        assert!(recovery.lists_per_second > 0.05 * per_second, "{recovery:?}");
    }
}

/// When each gateway of a fleet that starts at once has its first response, in seconds, from a discovery that
/// serves a call in `service_s` and still serves those that were abandoned after 2 s. `None`: not
/// within 30 s.
fn first_responses(gateways: usize, service_s: f64) -> Vec<Option<f64>> {
    let start = Instant::now();
    let mut schedules: Vec<RefreshSchedule> =
        (0..gateways).map(|gateway| schedule_for_polled_lists(gateways, gateway as u64, start)).collect();
    let mut responses = vec![None; gateways];
    // Calls to come: when, in microseconds, and whose.
    let mut calls: BinaryHeap<Reverse<(u64, usize)>> = (0..gateways).map(|g| Reverse((0, g))).collect();
    let mut idle_at_s = 0.0;
    while let Some(Reverse((at_us, gateway))) = calls.pop() {
        let now_s = at_us as f64 / 1e6;
        if now_s > 30.0 {
            break;
        }
        idle_at_s = f64::max(idle_at_s, now_s) + service_s;
        if idle_at_s - now_s <= MAX_QUEUED_S {
            responses[gateway] = Some(idle_at_s);
        } else {
            let failed_s = now_s + MAX_QUEUED_S;
            let failed_at = start + Duration::from_secs_f64(failed_s);
            let pause = schedules[gateway].on_error(&DiscoveryError::Rejected, failed_at);
            calls.push(Reverse((((failed_s + pause.as_secs_f64()) * 1e6) as u64, gateway)));
        }
    }
    responses
}

/// A hundred gateways start at once and call a discovery that serves 20 calls a second and still serves
/// abandoned ones. With equal pauses the same gateways would lose each time. Expected: every gateway has a
/// list within 20 s.
#[test]
fn hundred_gateways_that_start_at_once_all_get_a_list_from_a_slow_discovery() {
    let responses = first_responses(100, 0.05);
    let last = responses.iter().map(|r| r.expect("a response within 30 s")).fold(0.0, f64::max);
    assert!(last < 20.0, "the last one at {last} s");
}
