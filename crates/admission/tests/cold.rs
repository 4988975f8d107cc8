//! Rule 4 over a whole fleet: many gateways together must not send a cold endpoint more than it bears. Each draw is a
//! day of its own with made-up time: gateways that hear each other and the list late, clients that come by chance,
//! endpoints that answer first come first, with a capacity that rises from their start.
use irishinge_admission::*;
use std::collections::{BTreeMap, VecDeque};

/// Some gateways of a day with uneven traffic get so many times what the others get.
const FAVOURED: f64 = 6.0;
/// In waves the traffic is so many times the mean for this long, and then as much less.
const WAVE: f64 = 1.7;
const WAVE_MS: f64 = 1200.0;
/// From here endpoints join, cold: what comes before shows the gateways what warm ones take.
const JOIN_MS: f64 = 1000.0;
const LOADS: [f64; 3] = [0.5, 0.75, 1.0];
const AIM_MS: f64 = 800.0;
const WARM_UP_MS: f64 = 4000.0;
/// So long after the warm-up the day ends.
const AFTER_MS: f64 = 800.0;

#[derive(Debug, Clone, Copy, PartialEq)]
enum Traffic {
    Even,
    /// One gateway in ten gets several times what the others get.
    Uneven,
    /// Much and little by turns, at all gateways at once.
    Waves,
}

#[derive(Debug, Clone, Copy, PartialEq)]
struct Cell {
    gateways: usize,
    endpoints: usize,
    cold: usize,
    traffic: Traffic,
    load: f64,
}

/// Seeded chance.
struct Chance(u64);

impl Chance {
    fn part(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((z ^ (z >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }

    fn between(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.part()
    }

    fn one_of<T: Copy>(&mut self, of: &[T]) -> T {
        of[(self.part() * of.len() as f64) as usize]
    }

    /// A time to the next of events that come by chance at a rate.
    fn gap_ms(&mut self, per_s: f64) -> f64 {
        -(1.0 - self.part()).ln() * 1000.0 / per_s
    }
}

/// A endpoint of the made-up fleet: `cores` that each work off one request at a time.
struct Machine {
    start_ms: Option<f64>,
    cores: usize,
    /// Requests a second that it answers when warm.
    capacity: f64,
    busy: usize,
    queue: VecDeque<Sent>,
    sent_ms: Vec<f64>,
}

#[derive(Clone, Copy)]
struct Sent {
    gateway: usize,
    request: RequestId,
    attempt: u32,
    at_ms: f64,
}

enum Due {
    Client { gateway: usize },
    Event { gateway: usize, event: Event },
    Done { machine: usize, sent: Sent },
}

struct Day {
    cell: Cell,
    settings: Settings,
    chance: Chance,
    gateways: Vec<Gateway>,
    machines: Vec<Machine>,
    now: f64,
    next: u64,
    due: BTreeMap<(u64, u64), Due>,
    /// When each request came, and how many attempts it has had.
    requests: BTreeMap<RequestId, (f64, u32)>,
    /// Requests that came while endpoints warmed, and those of them answered within the aim.
    asked: f64,
    in_time: f64,
}

impl Day {
    fn new(cell: Cell, seed: u64) -> Self {
        let mut chance = Chance(seed);
        let (overload_multiple, overload_window_ms) =
            chance.one_of(&[(2.0, 2000.0), (4.0, 1500.0), (2.0, 1000.0)]);
        let plan = PlanSettings {
            rate_per_second: 1000.0,
            burst_units: 4000.0,
            open_limit: 0,
            plan_weight: 1.0,
            over_quota_value: 0.0,
            over_quota_cost: 1.0,
            ceiling_rate_per_second: 0.0,
            ceiling_burst_units: 0.0,
            ceiling_slack_units: 0.0,
        };
        let class = ClassSettings {
            latency_objective_ms: AIM_MS,
            deadline_ms: 2500.0,
            priority_weight: 1.0,
            late_value_fraction: 0.0,
            idempotency: Idempotency::Idempotent,
        };
        let settings = Settings {
            gateways: cell.gateways,
            tick_ms: 2.0,
            classes: vec![class],
            plans: vec![plan],
            max_attempts: 4,
            hedging_allowed: true,
            cancel_allowed: true,
            peer_messages_allowed: true,
            peer_messages_per_second: 40.0,
            max_retry_after_ms: 1000.0,
            max_units: 1.0,
            drain_grace_ms: 250.0,
            cold_start_fraction: chance.one_of(&[0.19, 0.3, 0.5]),
            warm_up_ms: WARM_UP_MS,
            overload_multiple,
            overload_window_ms,
            ..Settings::default()
        };
        let cores = chance.one_of(&[1, 1, 2]);
        let machines = (0..cell.endpoints).map(|n| Machine {
            start_ms: (n < cell.cold).then(|| chance.between(JOIN_MS, JOIN_MS + 500.0)),
            cores,
            // Work of 160 ms, on machines that are not quite alike.
            capacity: 6.25 * cores as f64 * chance.between(0.85, 1.15),
            busy: 0,
            queue: VecDeque::new(),
            sent_ms: Vec::new(),
        });
        let machines: Vec<Machine> = machines.collect();
        let gateways = (0..cell.gateways)
            .map(|me| Gateway::new(Settings { me, ..settings.clone() }, seed ^ (me as u64) << 32, 0.0))
            .map(|gateway| gateway.expect("sound settings"));
        let gateways = gateways.collect();
        let mut day = Day {
            cell,
            settings,
            chance,
            gateways,
            machines,
            now: 0.0,
            next: 0,
            due: BTreeMap::new(),
            requests: BTreeMap::new(),
            asked: 0.0,
            in_time: 0.0,
        };
        for gateway in 0..cell.gateways {
            for n in 0..cell.endpoints {
                let started_at_ms = day.machines[n].start_ms;
                let id = EndpointId(n as u64);
                let entry = EndpointEntry {
                    id,
                    zone: 0,
                    kind: 0,
                    cell: 0,
                    state: EndpointState::Ready,
                    started_at_ms,
                };
                let told_ms = started_at_ms.map_or(0.0, |start| start + day.chance.between(20.0, 400.0));
                let event = Event::EndpointList { kind: ListKind::Changes, entries: vec![entry] };
                day.later(told_ms, Due::Event { gateway, event });
            }
            day.next_client(gateway);
        }
        day
    }

    fn later(&mut self, after_ms: f64, due: Due) {
        self.next += 1;
        self.due.insert((((self.now + after_ms) * 1000.0) as u64, self.next), due);
    }

    /// Part of its capacity that a machine has at a time.
    fn warm_part(&self, machine: usize, at_ms: f64) -> f64 {
        let Some(start) = self.machines[machine].start_ms else { return 1.0 };
        let cold = self.settings.cold_start_fraction;
        cold + (1.0 - cold) * ((at_ms - start) / WARM_UP_MS).clamp(0.0, 1.0)
    }

    /// Clients come by chance at the highest rate there is, and some of them are left out again in `play`.
    fn next_client(&mut self, gateway: usize) {
        let favoured = |g: usize| self.cell.traffic == Traffic::Uneven && g % 10 == 0;
        let weight = |g: usize| if favoured(g) { FAVOURED } else { 1.0 };
        let weights: f64 = (0..self.cell.gateways).map(weight).sum();
        let capacity: f64 = self.machines.iter().map(|m| m.capacity).sum();
        let most = if self.cell.traffic == Traffic::Waves { WAVE } else { 1.0 };
        let gap = self.chance.gap_ms(self.cell.load * most * capacity * weight(gateway) / weights);
        self.later(gap, Due::Client { gateway });
    }

    /// Part of the highest rate at which clients come now: before the cold ones join there is work for the others only.
    fn coming(&self) -> f64 {
        let ready = self.machines.iter().filter(|m| m.start_ms.is_none_or(|s| s <= self.now)).count();
        let low = self.cell.traffic == Traffic::Waves && (self.now / WAVE_MS) as u64 % 2 == 0;
        ready as f64 / self.cell.endpoints as f64 * if low { (2.0 - WAVE) / WAVE } else { 1.0 }
    }

    fn ask(&mut self, gateway: usize) {
        self.next += 1;
        let request = Request {
            id: RequestId(self.next),
            class: 0,
            plan: 0,
            customer: CustomerId(self.next % 16 + (9 << 40)),
            time_left_ms: 2500.0,
            units: 1.0,
            spread: self.cell.gateways,
            first: 0,
            repeat: false,
            write: false,
        };
        self.asked += f64::from(u8::from(self.now > JOIN_MS));
        self.requests.insert(request.id, (self.now, 0));
        self.event(gateway, Event::Request(request));
    }

    fn event(&mut self, gateway: usize, event: Event) {
        let mut actions = Vec::new();
        self.gateways[gateway].on_event(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::SetTimer { at_ms, token } => {
                    self.later(at_ms - self.now, Due::Event { gateway, event: Event::Timer { token } })
                }
                Action::SendPeerMessage { to: Some(to), body } => {
                    let way_ms = self.chance.between(2.0, 20.0);
                    let event = Event::PeerMessage { from: gateway, body };
                    self.later(way_ms, Due::Event { gateway: to, event });
                }
                Action::Send { request, endpoint, .. } => {
                    let (_, attempts) = self.requests.get_mut(&request).expect("known");
                    let sent = Sent { gateway, request, attempt: *attempts, at_ms: self.now };
                    *attempts += 1;
                    self.arrive(endpoint.0 as usize, sent);
                }
                _ => {}
            }
        }
    }

    fn arrive(&mut self, machine: usize, sent: Sent) {
        let m = &mut self.machines[machine];
        m.sent_ms.push(self.now);
        m.queue.push_back(sent);
        self.work(machine);
    }

    fn work(&mut self, machine: usize) {
        let m = &mut self.machines[machine];
        if m.busy == m.cores {
            return;
        }
        let Some(sent) = m.queue.pop_front() else { return };
        m.busy += 1;
        let per_core = m.capacity / m.cores as f64 * self.warm_part(machine, self.now);
        let took_ms = self.chance.gap_ms(per_core);
        self.later(took_ms, Due::Done { machine, sent });
    }

    fn play(&mut self) {
        let end_ms = JOIN_MS + 500.0 + WARM_UP_MS + AFTER_MS;
        while let Some(((at, _), due)) = self.due.pop_first() {
            self.now = self.now.max(at as f64 / 1000.0);
            if self.now > end_ms {
                return;
            }
            match due {
                Due::Client { gateway } => {
                    if self.chance.part() < self.coming() {
                        self.ask(gateway);
                    }
                    self.next_client(gateway);
                }
                Due::Event { gateway, event } => self.event(gateway, event),
                Due::Done { machine, sent } => {
                    self.machines[machine].busy -= 1;
                    self.work(machine);
                    let asked_ms = self.requests[&sent.request].0;
                    let counts = asked_ms > JOIN_MS && self.now - asked_ms < AIM_MS;
                    self.in_time += f64::from(u8::from(counts));
                    let end = AttemptEnd {
                        request: sent.request,
                        attempt: sent.attempt,
                        endpoint: EndpointId(machine as u64),
                        outcome: Outcome::Ok,
                        took_ms: self.now - sent.at_ms,
                        closed: true,
                        true_units: None,
                        metered_percent: None,
                        load: Vec::new(),
                    };
                    self.event(sent.gateway, Event::AttemptEnded(end));
                }
            }
        }
    }

    /// The most that any window's sends to a cold machine came to, in parts of what may be put down to chance.
    fn worst(&self) -> f64 {
        let mut worst = 0.0f64;
        let window_ms = self.settings.overload_window_ms;
        for (n, machine) in self.machines.iter().enumerate() {
            let Some(start) = machine.start_ms else { continue };
            let sent = &machine.sent_ms;
            let mut last = 0;
            for (first, at) in sent.iter().enumerate().take_while(|(_, at)| **at < start + WARM_UP_MS) {
                while last < sent.len() && sent[last] < at + window_ms {
                    last += 1;
                }
                let capacity = machine.capacity * self.warm_part(n, *at);
                let budget = self.settings.overload_multiple * capacity * window_ms / 1000.0;
                worst = worst.max((last - first) as f64 / (budget + 2.0 * budget.sqrt() + 2.0));
            }
        }
        worst
    }

    /// Sends a second to cold machines, and to warm ones as many seconds long, in parts of the capacity they have:
    /// in a span of the warm-up, from and to in parts of it.
    fn use_of(&self, from: f64, to: f64) -> (f64, f64) {
        let (mut cold, mut warm) = ((0.0, 0.0), (0.0, 0.0));
        for (n, machine) in self.machines.iter().enumerate() {
            let start = machine.start_ms.unwrap_or(JOIN_MS + 250.0);
            let (from, to) = (start + from * WARM_UP_MS, start + to * WARM_UP_MS);
            let sent = machine.sent_ms.iter().filter(|t| (from..to).contains(*t)).count() as f64;
            let able = machine.capacity * self.warm_part(n, (from + to) / 2.0) * (to - from) / 1000.0;
            let sum = if machine.start_ms.is_some() { &mut cold } else { &mut warm };
            *sum = (sum.0 + sent, sum.1 + able);
        }
        (cold.0 / cold.1, warm.0 / warm.1)
    }
}

/// What draws came to.
#[derive(Debug, Default, Clone, Copy)]
struct Figures {
    draws: f64,
    over: usize,
    worst: f64,
    /// Sends in parts of the capacity, summed over draws: cold and warm machines, at mid warm-up and after it.
    mid: (f64, f64),
    after: (f64, f64),
    asked: f64,
    in_time: f64,
}

impl Figures {
    fn of(day: &Day) -> Self {
        let worst = day.worst();
        Figures {
            draws: 1.0,
            over: usize::from(worst > 1.0),
            worst,
            mid: day.use_of(0.4, 0.6),
            after: day.use_of(1.0, 1.2),
            asked: day.asked,
            in_time: day.in_time,
        }
    }

    fn and(self, other: Self) -> Self {
        Figures {
            draws: self.draws + other.draws,
            over: self.over + other.over,
            worst: self.worst.max(other.worst),
            mid: (self.mid.0 + other.mid.0, self.mid.1 + other.mid.1),
            after: (self.after.0 + other.after.0, self.after.1 + other.after.1),
            asked: self.asked + other.asked,
            in_time: self.in_time + other.in_time,
        }
    }
}

impl std::fmt::Display for Figures {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let (mid, after, n) = (self.mid, self.after, self.draws);
        write!(f, "worst {:.2} of the limit, over it in {} of {n} draws; ", self.worst, self.over)?;
        write!(f, "use at mid warm-up {:.2} (warm {:.2}), ", mid.0 / n, mid.1 / n)?;
        write!(f, "after it {:.2} (warm {:.2}); ", after.0 / n, after.1 / n)?;
        write!(f, "in time {:.3}", self.in_time / self.asked)
    }
}

/// Plays every kind of day with one cold endpoint and with six in ten: no window may hold more than the limit, and
/// over the days with work for all a cold endpoint must do two fifths of what a warm one does for its capacity by the
/// middle of its warm-up, and its part after it.
fn play(gateways: usize, endpoints: usize, loads: &[f64], draws: u64) {
    let mut faults = Vec::new();
    for cold in [1, endpoints * 6 / 10] {
        let mut busy = Figures::default();
        for traffic in [Traffic::Even, Traffic::Uneven, Traffic::Waves] {
            for &load in loads.iter().filter(|_| gateways > 1 || traffic != Traffic::Uneven) {
                let cell = Cell { gateways, endpoints, cold, traffic, load };
                let kind = (cold as u64) << 20 | (traffic as u64) << 16 | (load * 4.0) as u64;
                let days = (0..draws).map(|draw| {
                    let mut day = Day::new(cell, draw << 40 | kind << 16 | gateways as u64);
                    day.play();
                    Figures::of(&day)
                });
                let figures = days.fold(Figures::default(), Figures::and);
                println!("{cell:?}: {figures}");
                if figures.over > 0 {
                    faults.push(format!("{cell:?}: {figures}"));
                }
                if load > 0.5 {
                    busy = busy.and(figures);
                }
            }
        }
        let least = |part: f64, use_of: (f64, f64)| use_of.0 >= part * use_of.1.min(busy.draws);
        // What a handful of cold endpoints gets is chance.
        let known = busy.draws * cold as f64 >= 20.0;
        if known && !(least(0.4, busy.mid) && least(0.8, busy.after)) {
            faults.push(format!("{gateways} gateways, {cold} of {endpoints} cold, too little: {busy}"));
        }
        println!("{gateways} gateways, {cold} of {endpoints} cold, load over 0.5: {busy}");
    }
    assert!(faults.is_empty(), "{faults:#?}");
}

#[test]
fn one_gateway_keeps_to_a_cold_servers_budget_and_uses_it() {
    play(1, 5, &LOADS, 10);
}

#[test]
fn three_gateways_keep_to_a_cold_servers_budget_and_use_it() {
    play(3, 5, &LOADS, 10);
}

/// As many as are not yet wide where 40 messages a second are taken in.
#[test]
fn twelve_gateways_keep_to_a_cold_servers_budget_and_use_it() {
    play(12, 5, &LOADS, 10);
}

#[test]
fn thirteen_gateways_keep_to_a_cold_servers_budget_and_use_it() {
    play(13, 5, &LOADS, 10);
}

#[test]
fn twenty_gateways_keep_to_a_cold_servers_budget_and_use_it() {
    play(20, 5, &LOADS, 10);
}

#[test]
fn thirty_gateways_keep_to_a_cold_servers_budget_and_use_it() {
    play(30, 5, &LOADS, 10);
}

#[test]
fn three_hundred_gateways_keep_to_a_cold_servers_budget_and_use_it() {
    play(300, 30, &[0.75], 1);
}

/// The same at all loads and with more endpoints, which takes a minute or more.
#[test]
#[ignore]
fn three_hundred_gateways_keep_to_a_cold_servers_budget_at_all_loads() {
    play(300, 60, &LOADS, 1);
}
