//! The simulated fleet of one run.
use super::random::RandomNumbers;
use crate::common::*;
use irishinge_admission::*;
use std::collections::{BTreeMap, VecDeque};

/// With uneven traffic a busy gateway gets this multiple of what the others get.
const BUSY_GATEWAY_WEIGHT: f64 = 6.0;
/// In waves the traffic is this multiple of the mean for this long, and then as much less.
const WAVE_PEAK: f64 = 1.7;
const WAVE_MS: f64 = 1200.0;
/// From here the warming endpoints join: the time before shows the gateways what warm ones can do.
pub(super) const JOIN_MS: f64 = 1000.0;
const JOIN_SPAN_MS: f64 = 500.0;
const LATENCY_OBJECTIVE_MS: f64 = 800.0;
const DEADLINE_MS: f64 = 2500.0;
pub(super) const WARM_UP_MS: f64 = 4000.0;
/// A run ends this long after the warm-up.
const AFTER_WARM_UP_MS: f64 = 800.0;

#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Traffic {
    Even,
    /// One gateway in ten gets several times what the others get.
    Uneven,
    /// Much and little in turn, at all gateways at once.
    Waves,
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Scenario {
    pub(super) gateways: usize,
    pub(super) endpoints: usize,
    /// How many of the endpoints join later, warming up.
    pub(super) warming: usize,
    pub(super) traffic: Traffic,
    /// Offered work, as a fraction of the endpoints' capacity.
    pub(super) load: f64,
}

/// An endpoint: `cores` that each work off one request at a time.
pub(super) struct SimulatedEndpoint {
    pub(super) started_at_ms: Option<f64>,
    cores: usize,
    /// Requests a second that it answers when warm.
    pub(super) capacity: f64,
    busy_cores: usize,
    queue: VecDeque<Attempt>,
    pub(super) sent_ms: Vec<f64>,
}

#[derive(Clone, Copy)]
struct Attempt {
    gateway: usize,
    request: RequestId,
    number: u32,
    sent_ms: f64,
}

enum DueEvent {
    ClientRequest { gateway: usize },
    Gateway { gateway: usize, event: Event },
    Response { endpoint: usize, attempt: Attempt },
}

struct SubmittedRequest {
    at_ms: f64,
    attempts: u32,
}

pub(super) struct Simulation {
    scenario: Scenario,
    pub(super) settings: Settings,
    random: RandomNumbers,
    gateways: Vec<Gateway>,
    pub(super) endpoints: Vec<SimulatedEndpoint>,
    now_ms: f64,
    events: EventQueue<DueEvent>,
    requests: BTreeMap<RequestId, SubmittedRequest>,
    /// Requests that came while endpoints warmed up, and those of them answered within the objective.
    pub(super) submitted: f64,
    pub(super) within_objective: f64,
}

fn random_settings(gateways: usize, random: &mut RandomNumbers) -> Settings {
    let (overload_multiple, overload_window_ms) =
        random.one_of(&[(2.0, 2000.0), (4.0, 1500.0), (2.0, 1000.0)]);
    let class = ClassSettings {
        latency_objective_ms: LATENCY_OBJECTIVE_MS,
        deadline_ms: DEADLINE_MS,
        ..class(Idempotency::Idempotent)
    };
    Settings {
        classes: vec![class],
        plans: vec![plan(1000.0, 4000.0)],
        peer_messages_per_second: 40.0,
        max_units: 1.0,
        cold_start_fraction: random.one_of(&[0.19, 0.3, 0.5]),
        warm_up_ms: WARM_UP_MS,
        overload_multiple,
        overload_window_ms,
        ..fleet_settings(gateways, plan(1000.0, 4000.0))
    }
}

fn random_endpoints(scenario: Scenario, random: &mut RandomNumbers) -> Vec<SimulatedEndpoint> {
    let cores = random.one_of(&[1, 1, 2]);
    let endpoints = (0..scenario.endpoints).map(|n| SimulatedEndpoint {
        started_at_ms: (n < scenario.warming).then(|| random.between(JOIN_MS, JOIN_MS + JOIN_SPAN_MS)),
        cores,
        // Work of 160 ms, on machines that are not quite alike.
        capacity: 6.25 * cores as f64 * random.between(0.85, 1.15),
        busy_cores: 0,
        queue: VecDeque::new(),
        sent_ms: Vec::new(),
    });
    endpoints.collect()
}

impl Simulation {
    pub(super) fn new(scenario: Scenario, seed: u64) -> Self {
        let mut random = RandomNumbers(seed);
        let settings = random_settings(scenario.gateways, &mut random);
        let endpoints = random_endpoints(scenario, &mut random);
        let gateways = (0..scenario.gateways)
            .map(|me| {
                Gateway::new(
                    Settings { this_gateway: GatewayIndex(me), ..settings.clone() },
                    seed ^ (me as u64) << 32,
                    0.0,
                )
            })
            .map(|gateway| gateway.expect("valid settings"));
        let mut simulation = Simulation {
            scenario,
            gateways: gateways.collect(),
            settings,
            random,
            endpoints,
            now_ms: 0.0,
            events: EventQueue::new(),
            requests: BTreeMap::new(),
            submitted: 0.0,
            within_objective: 0.0,
        };
        for gateway in 0..scenario.gateways {
            simulation.schedule_endpoint_list(gateway);
            simulation.schedule_client(gateway);
        }
        simulation
    }

    /// A gateway receives each line of the list on its own, those of warming endpoints a while after their start.
    fn schedule_endpoint_list(&mut self, gateway: usize) {
        for n in 0..self.scenario.endpoints {
            let started_at_ms = self.endpoints[n].started_at_ms;
            let entry = EndpointEntry { started_at_ms, ..endpoint(n as u64) };
            let listed_ms = started_at_ms.map_or(0.0, |start| start + self.random.between(20.0, 400.0));
            let event = Event::EndpointList { kind: ListUpdateKind::Changes, entries: vec![entry] };
            self.schedule(listed_ms, DueEvent::Gateway { gateway, event });
        }
    }

    fn schedule(&mut self, after_ms: f64, event: DueEvent) {
        self.events.schedule(self.now_ms + after_ms, event);
    }

    /// The fraction of its capacity that an endpoint has at a time.
    pub(super) fn warm_up_capacity(&self, endpoint: usize, at_ms: f64) -> f64 {
        let Some(start) = self.endpoints[endpoint].started_at_ms else { return 1.0 };
        let at_start = self.settings.cold_start_fraction;
        at_start + (1.0 - at_start) * ((at_ms - start) / WARM_UP_MS).clamp(0.0, 1.0)
    }

    /// Clients come at random at the highest rate there is, and some of them are left out again in `run`.
    fn schedule_client(&mut self, gateway: usize) {
        let is_busy = |g: usize| self.scenario.traffic == Traffic::Uneven && g % 10 == 0;
        let weight = |g: usize| if is_busy(g) { BUSY_GATEWAY_WEIGHT } else { 1.0 };
        let weights: f64 = (0..self.scenario.gateways).map(weight).sum();
        let capacity: f64 = self.endpoints.iter().map(|e| e.capacity).sum();
        let peak = if self.scenario.traffic == Traffic::Waves { WAVE_PEAK } else { 1.0 };
        let rate = self.scenario.load * peak * capacity * weight(gateway) / weights;
        let gap_ms = self.random.exponential_ms(rate);
        self.schedule(gap_ms, DueEvent::ClientRequest { gateway });
    }

    /// The fraction of the highest rate at which clients come now: before the warming endpoints join there is work for
    /// the others only.
    fn client_rate_fraction(&self) -> f64 {
        let has_joined = |e: &&SimulatedEndpoint| e.started_at_ms.is_none_or(|s| s <= self.now_ms);
        let joined = self.endpoints.iter().filter(has_joined).count();
        let low = self.scenario.traffic == Traffic::Waves && (self.now_ms / WAVE_MS) as u64 % 2 == 0;
        let wave = if low { (2.0 - WAVE_PEAK) / WAVE_PEAK } else { 1.0 };
        joined as f64 / self.scenario.endpoints as f64 * wave
    }

    fn submit(&mut self, gateway: usize) {
        let number = self.events.next_number();
        let request = Request {
            time_left_ms: DEADLINE_MS,
            gateway_count: self.scenario.gateways,
            ..request(RequestId(number), CustomerId(number % 16 + (9 << 40)))
        };
        self.submitted += f64::from(u8::from(self.now_ms > JOIN_MS));
        self.requests.insert(request.id, SubmittedRequest { at_ms: self.now_ms, attempts: 0 });
        self.gateway_event(gateway, Event::Request(request));
    }

    fn gateway_event(&mut self, gateway: usize, event: Event) {
        let mut actions = Vec::new();
        self.gateways[gateway].on_event(self.now_ms, event, &mut actions);
        for action in actions {
            self.carry_out(gateway, action);
        }
    }

    fn carry_out(&mut self, gateway: usize, action: Action) {
        match action {
            Action::SetTimer { at_ms, token } => {
                let event = Event::Timer { token };
                self.schedule(at_ms - self.now_ms, DueEvent::Gateway { gateway, event });
            }
            Action::SendPeerMessage { to, body } => {
                let delay_ms = self.random.between(2.0, 20.0);
                let event = Event::PeerMessage { from: GatewayIndex(gateway), body };
                self.schedule(delay_ms, DueEvent::Gateway { gateway: to.0, event });
            }
            Action::Send { request, endpoint, .. } => {
                let submitted = self.requests.get_mut(&request).expect("known");
                let attempt = Attempt { gateway, request, number: submitted.attempts, sent_ms: self.now_ms };
                submitted.attempts += 1;
                self.arrive(endpoint.0 as usize, attempt);
            }
            _ => {}
        }
    }

    fn arrive(&mut self, endpoint: usize, attempt: Attempt) {
        let simulated = &mut self.endpoints[endpoint];
        simulated.sent_ms.push(self.now_ms);
        simulated.queue.push_back(attempt);
        self.start_work(endpoint);
    }

    fn start_work(&mut self, endpoint: usize) {
        let simulated = &mut self.endpoints[endpoint];
        if simulated.busy_cores == simulated.cores {
            return;
        }
        let Some(attempt) = simulated.queue.pop_front() else { return };
        simulated.busy_cores += 1;
        let per_core = simulated.capacity / simulated.cores as f64;
        let rate = per_core * self.warm_up_capacity(endpoint, self.now_ms);
        let took_ms = self.random.exponential_ms(rate);
        self.schedule(took_ms, DueEvent::Response { endpoint, attempt });
    }

    fn finish_work(&mut self, endpoint: usize, attempt: Attempt) {
        self.endpoints[endpoint].busy_cores -= 1;
        self.start_work(endpoint);
        let submitted_ms = self.requests[&attempt.request].at_ms;
        let counts = submitted_ms > JOIN_MS && self.now_ms - submitted_ms < LATENCY_OBJECTIVE_MS;
        self.within_objective += f64::from(u8::from(counts));
        let took_ms = self.now_ms - attempt.sent_ms;
        let id = EndpointId(endpoint as u64);
        let end = attempt_end(attempt.request, attempt.number, id, Outcome::Ok, took_ms);
        self.gateway_event(attempt.gateway, Event::AttemptEnded(end));
    }

    pub(super) fn run(&mut self) {
        let end_ms = JOIN_MS + JOIN_SPAN_MS + WARM_UP_MS + AFTER_WARM_UP_MS;
        while let Some((at_ms, event)) = self.events.pop_until(end_ms) {
            self.now_ms = self.now_ms.max(at_ms);
            match event {
                DueEvent::ClientRequest { gateway } => {
                    if self.random.fraction() < self.client_rate_fraction() {
                        self.submit(gateway);
                    }
                    self.schedule_client(gateway);
                }
                DueEvent::Gateway { gateway, event } => self.gateway_event(gateway, event),
                DueEvent::Response { endpoint, attempt } => self.finish_work(endpoint, attempt),
            }
        }
    }
}
