//! Tests of fleets too wide for every gateway to hear every other: keepers of counts, gossip, endpoints by chance.
use irishinge_admission::*;
use std::collections::{BTreeMap, BTreeSet};

const AIM_MS: f64 = 1000.0;

fn plan(rate_per_second: f64, burst_units: f64) -> PlanSettings {
    PlanSettings {
        rate_per_second,
        burst_units,
        open_limit: 0,
        plan_weight: 1.0,
        over_quota_value: 0.0,
        over_quota_cost: 1.0,
        ceiling_rate_per_second: 0.0,
        ceiling_burst_units: 0.0,
        ceiling_slack_units: 0.0,
    }
}

fn settings(gateways: usize, plan: PlanSettings) -> Settings {
    let class = ClassSettings {
        latency_objective_ms: AIM_MS,
        deadline_ms: 3000.0,
        priority_weight: 1.0,
        late_value_fraction: 0.0,
        idempotency: Idempotency::Idempotent,
    };
    Settings {
        gateways,
        tick_ms: 2.0,
        classes: vec![class.clone(), class],
        plans: vec![plan.clone(), plan],
        max_attempts: 4,
        hedging_allowed: true,
        cancel_allowed: true,
        peer_messages_allowed: true,
        peer_messages_per_second: 60.0,
        max_retry_after_ms: 1000.0,
        max_units: 4.0,
        drain_grace_ms: 250.0,
        cold_start_fraction: 0.2,
        warm_up_ms: 10_000.0,
        overload_multiple: 2.0,
        overload_window_ms: 1000.0,
        ..Settings::default()
    }
}

fn endpoint(n: u64, started_at_ms: Option<f64>) -> EndpointEntry {
    EndpointEntry { id: EndpointId(n), zone: 0, kind: 0, cell: 0, state: EndpointState::Ready, started_at_ms }
}

/// A send: when, of which customer, class and plan, where.
#[derive(Debug, Clone, Copy)]
struct Sent {
    at_ms: f64,
    customer: u64,
    class: usize,
    plan: usize,
    endpoint: EndpointId,
}

/// Many gateways that hear each other a little later, and endpoints that answer after 100 ms unless told otherwise.
/// It holds no policy: it carries messages and answers, to the letter of the interface.
struct Fleet {
    settings: Settings,
    endpoints: Vec<EndpointEntry>,
    gateways: BTreeMap<usize, Gateway>,
    now: f64,
    next: u64,
    /// Due events, in order of time and number.
    due: BTreeMap<(u64, u64), (usize, Event)>,
    sent: Vec<Sent>,
    refused: BTreeSet<RequestId>,
    chance: u64,
    bytes: usize,
    /// Whom the last message went to.
    told_last: Option<usize>,
    /// Every so many-th message is lost; 0 loses none.
    lose: u64,
    asked: BTreeMap<RequestId, (u64, usize, usize, u32)>,
    outcome: fn(class: usize, plan: usize, endpoint: EndpointId) -> Outcome,
    /// What the counter holds, and the calls it has had.
    totals: BTreeMap<u64, f64>,
    calls: usize,
    /// A span of 100 ms and the calls in it.
    span: (u64, usize),
    /// How it answers the call of this number in a span of 100 ms.
    counter: fn(call: usize) -> Counter,
}

#[derive(Clone, Copy, PartialEq)]
enum Counter {
    Answers,
    TurnsAway,
    /// It adds the amount, and nobody hears of it.
    Silent,
}

impl Fleet {
    fn new(settings: Settings, endpoints: Vec<EndpointEntry>) -> Self {
        Self::drawn(settings, endpoints, 0)
    }

    /// A fleet whose gateways draw other chances.
    fn drawn(settings: Settings, endpoints: Vec<EndpointEntry>, chance: u64) -> Self {
        let mut fleet = Fleet {
            endpoints,
            gateways: BTreeMap::new(),
            now: 0.0,
            next: 0,
            due: BTreeMap::new(),
            sent: Vec::new(),
            refused: BTreeSet::new(),
            chance,
            bytes: 0,
            told_last: None,
            lose: 0,
            asked: BTreeMap::new(),
            outcome: |_, _, _| Outcome::Ok,
            totals: BTreeMap::new(),
            calls: 0,
            span: (0, 0),
            counter: |_| Counter::Answers,
            settings,
        };
        for me in 0..fleet.settings.gateways {
            fleet.start(me);
        }
        fleet
    }

    fn start(&mut self, me: usize) {
        let settings = Settings { me, ..self.settings.clone() };
        let seed = 7777 * self.chance + 1000 + me as u64 + self.now as u64 * 7919;
        self.gateways.insert(me, Gateway::new(settings, seed, self.now).expect("sound settings"));
        self.event(me, Event::EndpointList { kind: ListKind::Remembered, entries: self.endpoints.clone() });
    }

    fn later(&mut self, after_ms: f64, to: usize, event: Event) {
        self.next += 1;
        self.due.insert((((self.now + after_ms) * 1000.0) as u64, self.next), (to, event));
    }

    fn event(&mut self, me: usize, event: Event) {
        let mut actions = Vec::new();
        let Some(gateway) = self.gateways.get_mut(&me) else { return };
        gateway.on_event(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::SetTimer { at_ms, token } => self.later(at_ms - self.now, me, Event::Timer { token }),
                Action::SendPeerMessage { .. } if !self.settings.peer_messages_allowed => {
                    panic!("the settings allow no messages")
                }
                Action::AddToCounter { .. } if !self.settings.counter_allowed => {
                    panic!("the settings allow no counter")
                }
                Action::AddToCounter { name, amount, ttl_ms } => {
                    assert!(amount.abs() < 1e9 && (1.0..=60_000.0).contains(&ttl_ms) && name < 1 << 63);
                    self.calls += 1;
                    let total = self.totals.entry(name).or_insert(0.0);
                    let span = (self.now / 100.0) as u64;
                    self.span = (span, if span == self.span.0 { self.span.1 + 1 } else { 1 });
                    let how = (self.counter)(self.span.1);
                    *total += if how == Counter::TurnsAway { 0.0 } else { amount };
                    let (outcome, took_ms) = match how {
                        Counter::Answers => (CounterOutcome::Total(*total), 4.0),
                        Counter::TurnsAway => (CounterOutcome::Rejected, 4.0),
                        Counter::Silent => (CounterOutcome::Unanswered, 50.0),
                    };
                    self.later(took_ms, me, Event::CounterReply { name, outcome, took_ms });
                }
                Action::SendPeerMessage { to: Some(to), body } => {
                    assert!(body.len() <= 256, "{} bytes", body.len());
                    self.bytes += body.len();
                    self.told_last = Some(to);
                    self.next += 1;
                    if self.lose == 0 || self.next % self.lose != 0 {
                        self.later(8.0, to, Event::PeerMessage { from: me, body });
                    }
                }
                Action::SendPeerMessage { to: None, .. } => panic!("a message to all cannot scale"),
                Action::Send { request, endpoint, .. } => {
                    let (customer, class, plan, attempts) = self.asked.get_mut(&request).expect("known");
                    let (customer, class, plan) = (*customer, *class, *plan);
                    let attempt = *attempts;
                    *attempts += 1;
                    self.sent.push(Sent { at_ms: self.now, customer, class, plan, endpoint });
                    let outcome = (self.outcome)(class, plan, endpoint);
                    let took_ms = if outcome == Outcome::TimedOut { 2.0 * AIM_MS } else { 100.0 };
                    let end = AttemptEnd {
                        request,
                        attempt,
                        endpoint,
                        outcome,
                        took_ms,
                        closed: outcome == Outcome::Ok,
                        true_units: None,
                        metered_percent: None,
                        load: Vec::new(),
                    };
                    self.later(took_ms, me, Event::AttemptEnded(end));
                }
                Action::Reject { request, .. } | Action::Fail { request } => {
                    assert!(self.refused.insert(request), "{request:?} answered twice");
                }
                _ => {}
            }
        }
    }

    fn ask(&mut self, me: usize, change: impl FnOnce(&mut Request)) -> RequestId {
        self.next += 1;
        let mut request = Request {
            id: RequestId(self.next),
            class: 0,
            plan: 0,
            customer: CustomerId(0xfeed_0000_0000_0001),
            time_left_ms: 3000.0,
            units: 1.0,
            spread: self.settings.gateways,
            first: 0,
            repeat: false,
            write: false,
        };
        change(&mut request);
        let id = request.id;
        self.asked.insert(id, (request.customer.0, request.class, request.plan, 0));
        self.event(me, Event::Request(request));
        id
    }

    fn pass(&mut self, ms: f64) {
        let end = self.now + ms;
        while let Some(entry) = self.due.first_entry() {
            let at = entry.key().0 as f64 / 1000.0;
            if at > end {
                break;
            }
            let (to, event) = entry.remove();
            self.now = self.now.max(at);
            self.event(to, event);
        }
        self.now = end;
    }

    fn sent_of(&self, customer: u64) -> usize {
        self.sent.iter().filter(|s| s.customer == customer).count()
    }
}

fn warm(count: u64) -> Vec<EndpointEntry> {
    (0..count).map(|n| endpoint(n, None)).collect()
}

fn wide(gateways: usize, plan: PlanSettings) -> Fleet {
    let mut fleet = Fleet::new(settings(gateways, plan), warm(40));
    fleet.pass(1100.0);
    fleet
}

const ONE: u64 = 0xfeed_0000_0000_0001;

#[test]
fn gateways_that_know_nothing_spread_their_first_sends() {
    let mut fleet = Fleet::new(settings(200, plan(10.0, 400.0)), warm(40));
    for me in 0..200 {
        fleet.ask(me, |r| r.customer = CustomerId(me as u64 + (9 << 40)));
    }
    fleet.pass(400.0);
    let mut count = BTreeMap::new();
    fleet.sent.iter().for_each(|s| *count.entry(s.endpoint).or_insert(0) += 1);
    assert_eq!(fleet.sent.len(), 200);
    assert!(count.len() > 35 && count.values().all(|n| *n < 20), "{count:?}");
}

#[test]
fn cold_servers_get_no_more_than_their_budget_from_500_gateways_together() {
    let mut entries = warm(38);
    entries.extend([endpoint(38, Some(0.0)), endpoint(39, Some(0.0))]);
    let mut fleet = Fleet::new(settings(500, plan(100.0, 400.0)), entries);
    for step in 0..60 {
        for n in 0..20 {
            let me = (step * 20 + n) * 7 % 500;
            fleet.ask(me, |r| r.customer = CustomerId(me as u64 + (9 << 40)));
        }
        fleet.pass(50.0);
    }
    assert!(fleet.sent.len() > 900, "{}", fleet.sent.len());
    // 400 a second on 40 endpoints: 10 a second each when warm. Cold ones can do a fifth at first, a half after 3 s.
    for cold in [38, 39] {
        let times: Vec<f64> =
            fleet.sent.iter().filter(|s| s.endpoint == EndpointId(cold)).map(|s| s.at_ms).collect();
        for start in &times {
            let part = 0.2 + 0.8 * start / 10_000.0;
            let window = times.iter().filter(|t| **t >= *start && **t < start + 1000.0).count() as f64;
            // One in 100 ms is what a endpoint here answers one at a time; four of these at once are its capacity.
            assert!(window <= 2.0 * 40.0 * part, "{window} at {start}");
            assert!(window <= 10.0, "no more than a warm one gets: {window}");
        }
        assert!(!times.is_empty(), "and it is tried");
    }
}

#[test]
fn the_quota_of_a_customer_seen_rarely_at_each_gateway_holds_near_its_rate() {
    let mut fleet = wide(120, plan(2.0, 8.0));
    for step in 0..200 {
        fleet.ask(step * 17 % 120, |_| {});
        fleet.pass(100.0);
    }
    // 20 seconds at 10 a second against 2 a second and 8 at once: 48.
    let sent = fleet.sent_of(ONE);
    assert!((40..=50).contains(&sent), "{sent}");
}

#[test]
fn the_quota_holds_after_its_keeper_goes_away() {
    let mut fleet = wide(120, plan(2.0, 8.0));
    for step in 0..100 {
        fleet.ask(step * 17 % 120, |_| {});
        fleet.pass(100.0);
    }
    // Whoever heard most questions keeps the count; without it the next in line must serve the customer.
    let before = fleet.sent_of(ONE);
    let keeper = (0..120).find(|me| {
        let mut probe = Fleet::new(settings(120, plan(2.0, 8.0)), warm(40));
        probe.ask(*me, |_| {});
        probe.sent_of(ONE) == 1
    });
    let keeper = keeper.expect("the keeper answers itself at once");
    fleet.gateways.remove(&keeper);
    for step in 0..100 {
        fleet.ask((step * 17 + 1) % 120, |_| {});
        fleet.pass(100.0);
    }
    let after = fleet.sent_of(ONE) - before;
    // The second starts with a full store: 20 by the rate and 8 more.
    assert!((15..=30).contains(&after), "{after}");
}

#[test]
fn a_ceiling_holds_through_lost_messages_and_restarts_of_the_whole_set() {
    let limits =
        PlanSettings { ceiling_rate_per_second: 4.0, ceiling_burst_units: 12.0, ..plan(1000.0, 4000.0) };
    let mut fleet = wide(60, limits);
    fleet.lose = 7;
    for step in 0..300 {
        fleet.ask(step * 17 % 60, |_| {});
        fleet.pass(40.0);
        if step % 100 == 50 {
            for me in 0..60 {
                fleet.start(me);
            }
        }
        if step % 10 == 0 {
            fleet.start(step * 7 % 60);
        }
    }
    let times: Vec<f64> = fleet.sent.iter().map(|s| s.at_ms).collect();
    assert!(times.len() > 10, "{}", times.len());
    for (n, start) in times.iter().enumerate() {
        for (m, end) in times.iter().enumerate().skip(n) {
            let most = 12.0 + 4.0 * (end - start) / 1000.0 + 1.0;
            assert!((m - n + 1) as f64 <= most, "{} from {start} to {end}", m - n + 1);
        }
    }
}

#[test]
fn an_open_limit_holds_over_a_wide_set() {
    let limits = PlanSettings { open_limit: 3, ..plan(0.0, 0.0) };
    let mut fleet = wide(120, limits);
    for step in 0..300 {
        fleet.ask(step * 17 % 120, |_| {});
        fleet.pass(10.0);
    }
    let times: Vec<f64> = fleet.sent.iter().map(|s| s.at_ms).collect();
    // Three at a time for 100 ms and two ways of 8 ms over three seconds.
    assert!((60..=100).contains(&times.len()), "{}", times.len());
    for start in &times {
        let open = times.iter().filter(|t| **t <= *start && *start < **t + 100.0).count();
        assert!(open <= 3, "{open} at {start}");
    }
}

#[test]
fn customers_whose_tags_could_meet_never_share_a_store() {
    // With 2^13 customers of one plan some pairs of 24-bit names are the same; each must get its own burst.
    let mut fleet = wide(40, plan(0.001, 1.0));
    for n in 0..8192u64 {
        fleet.ask((n % 40) as usize, |r| r.customer = CustomerId(n.wrapping_mul(0x9e37_79b9_7f4a_7c15)));
        if n % 8 == 0 {
            fleet.pass(30.0);
        }
    }
    fleet.pass(500.0);
    assert_eq!(fleet.sent.len(), 8192);
}

#[test]
fn full_for_one_plan_leaves_the_server_in_use_for_the_rest() {
    let mut fleet = wide(60, plan(1000.0, 4000.0));
    fleet.outcome =
        |_, plan, endpoint| if plan == 0 && endpoint.0 < 16 { Outcome::Overloaded } else { Outcome::Ok };
    for step in 0..2500 {
        fleet.ask(step * 17 % 60, |r| {
            (r.plan, r.customer) = (step % 2, CustomerId(step as u64 % 98 + (5 << 40)))
        });
        fleet.pass(3.0);
    }
    let share = |plan: usize| {
        let late = fleet.sent.iter().filter(|s| s.plan == plan && s.at_ms > 4000.0);
        let (bad, all) =
            late.fold((0.0, 0.0), |(b, a), s| (b + f64::from(u8::from(s.endpoint.0 < 16)), a + 1.0));
        bad / all
    };
    assert!(share(0) < 0.3 && share(1) > 0.3, "{} {}", share(0), share(1));
}

#[test]
fn failure_of_one_class_leaves_the_server_in_use_for_the_rest() {
    let mut fleet = wide(60, plan(1000.0, 4000.0));
    fleet.outcome =
        |class, _, endpoint| if class == 0 && endpoint.0 < 16 { Outcome::TimedOut } else { Outcome::Ok };
    for step in 0..2500 {
        fleet.ask(step * 17 % 60, |r| {
            (r.class, r.customer) = (step % 2, CustomerId(step as u64 % 97 + (5 << 40)))
        });
        fleet.pass(3.0);
    }
    let share = |class: usize| {
        let late = fleet.sent.iter().filter(|s| s.class == class && s.at_ms > 4500.0);
        let (bad, all) =
            late.fold((0.0, 0.0), |(b, a), s| (b + f64::from(u8::from(s.endpoint.0 < 16)), a + 1.0));
        bad / all
    };
    assert!(share(0) < 0.3 && share(1) > 0.3, "{} {}", share(0), share(1));
}

#[test]
fn a_flood_of_repeats_leaves_other_customers_their_service() {
    let mut fleet = wide(60, plan(2.0, 8.0));
    let mut calm = Vec::new();
    for step in 0..1000usize {
        for n in 0..3 {
            fleet.ask((step * 17 + n) % 60, |r| r.time_left_ms = 400.0);
        }
        if step % 20 == 0 {
            let other = CustomerId(step as u64 / 20 % 10 + (5 << 40));
            calm.push(fleet.ask(step * 7 % 60, |r| r.customer = other));
        }
        fleet.pass(10.0);
    }
    fleet.pass(1000.0);
    let served = calm.iter().filter(|id| !fleet.refused.contains(id)).count();
    assert!(served * 10 >= calm.len() * 9, "{served} of {}", calm.len());
}

#[test]
fn too_little_time_is_refused_at_once_and_just_enough_is_served() {
    let mut fleet = wide(40, plan(100.0, 400.0));
    let short = fleet.ask(3, |r| r.time_left_ms = 60.0);
    assert!(fleet.refused.contains(&short), "refused in the same round");
    let enough = fleet.ask(3, |r| r.time_left_ms = 400.0);
    fleet.pass(400.0);
    assert!(!fleet.refused.contains(&enough) && fleet.sent.len() == 1);
}

#[test]
fn a_try_whose_client_has_waited_past_the_aim_is_refused_at_once() {
    let mut fleet = wide(40, plan(100.0, 400.0));
    let unsure = fleet.ask(3, |r| r.time_left_ms = 1900.0);
    for _ in 0..8 {
        fleet.ask(3, |_| {});
    }
    let late = fleet.ask(3, |r| r.time_left_ms = 1900.0);
    assert!(fleet.refused.contains(&late) && !fleet.refused.contains(&unsure));
    let soon = fleet.ask(3, |r| r.time_left_ms = 2700.0);
    fleet.pass(300.0);
    assert!(!fleet.refused.contains(&soon));
}

#[test]
fn bytes_told_for_each_request_do_not_grow_with_the_fleet() {
    let bytes = |gateways: usize| {
        let mut fleet = wide(gateways, plan(10.0, 40.0));
        let before = fleet.bytes;
        for step in 0..400 {
            fleet.ask(step * 17 % gateways, |r| r.customer = CustomerId(step as u64 % 50 + (5 << 40)));
            fleet.pass(10.0);
        }
        (fleet.bytes - before) as f64 / 400.0
    };
    let (small, large) = (bytes(40), bytes(400));
    assert!(small < 150.0 && large < 1.2 * small + 10.0, "{small} {large}");
}

#[test]
fn traffic_that_moves_within_its_set_is_served_at_once() {
    let mut fleet = wide(100, plan(10.0, 20.0));
    for step in 0..100 {
        fleet.ask(step % 5, |_| {});
        fleet.pass(125.0);
    }
    let before = fleet.sent.len();
    for step in 0..16 {
        fleet.ask(60 + step % 20, |_| {});
        fleet.pass(125.0);
    }
    fleet.pass(200.0);
    assert_eq!(fleet.sent.len() - before, 16, "8 a second of a rate of 10, from gateways that never saw it");
}

#[test]
fn foreign_cut_replayed_and_absurd_messages_change_no_ceiling() {
    let limits =
        PlanSettings { ceiling_rate_per_second: 0.001, ceiling_burst_units: 12.0, ..plan(1000.0, 4000.0) };
    let mut fleet = wide(40, limits);
    let bodies = [
        "",
        "w",
        "w0000",
        "h001010_0W",
        "wzzzzzz",
        "w000000a",
        "w000000aF___________0_00________",
        "w000000aF___________0100f000_0_0",
        "w000000r000_",
        "w000000r00__",
        "w000000e0000000000000000__",
        "w______s_______",
        "w000000\u{e9}",
    ];
    for me in 0..40 {
        for body in bodies {
            for from in [0, 7, 39, 40, usize::MAX] {
                fleet.event(me, Event::PeerMessage { from, body: body.to_string() });
            }
        }
    }
    for step in 0..200 {
        fleet.ask(step % 40, |_| {});
        fleet.pass(10.0);
    }
    assert!(fleet.sent.len() <= 13, "{}", fleet.sent.len());
}

/// A number as digits of the messages' text.
fn digits(value: u32, count: u32) -> String {
    const DIGITS: &[u8; 64] = b"0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz-_";
    (0..count).rev().map(|place| DIGITS[(value >> (6 * place) & 63) as usize] as char).collect()
}

#[test]
fn a_band_told_as_narrow_as_a_small_fleets_does_not_hold_a_wide_one_back() {
    let settings = Settings { me: 3, ..settings(100, plan(100.0, 400.0)) };
    let mut gateway = Gateway::new(settings, 7, 0.0).expect("sound settings");
    let mut now = 0.0;
    let mut actions = Vec::new();
    gateway.on_event(now, Event::EndpointList { kind: ListKind::Whole, entries: warm(40) }, &mut actions);
    // 3 attempts out at each endpoint, answered promptly, and a watermark of 2.
    let body = format!("w{}{}{}", digits(120 * 64 / 100, 2), digits(2 * 32, 2), digits(12 * 32, 2));
    let mut sent = 0;
    for round in 0..100usize {
        if round == 50 {
            for n in 0..5 {
                let request = Request {
                    id: RequestId(n),
                    class: 0,
                    plan: 0,
                    customer: CustomerId(n + (3 << 40)),
                    time_left_ms: 3000.0,
                    units: 1.0,
                    spread: 1,
                    first: 3,
                    repeat: false,
                    write: false,
                };
                gateway.on_event(now, Event::Request(request), &mut actions);
            }
        }
        let from = 4 + round % 90;
        gateway.on_event(now, Event::PeerMessage { from, body: body.clone() }, &mut actions);
        gateway.on_event(now, Event::Timer { token: 0 }, &mut actions);
        sent += actions.drain(..).filter(|a| matches!(a, Action::Send { .. })).count();
        now += 20.0;
        if round == 65 {
            assert!(sent >= 4, "{sent} of 5 sent within 300 ms");
        }
    }
}

#[test]
fn a_hundred_gateways_soon_leave_a_server_alone_that_answers_none_of_them() {
    let mut fleet = Fleet::new(settings(100, plan(50.0, 400.0)), warm(40));
    fleet.outcome = |_, _, endpoint| if endpoint == EndpointId(7) { Outcome::TimedOut } else { Outcome::Ok };
    // 500 requests a second, of customers of three gateways each: a gateway sees a endpoint every 8 s.
    for step in 0..8000usize {
        let first = step * 37 % 100;
        fleet.ask((first + step % 3) % 100, |r| {
            (r.customer, r.spread, r.first) = (CustomerId(first as u64 + (5 << 40)), 3, first);
        });
        fleet.pass(2.0);
    }
    let late =
        |endpoint: u64| fleet.sent.iter().filter(move |s| s.at_ms > 5000.0 && s.endpoint.0 == endpoint);
    let usual = (0..40).filter(|s| *s != 7).map(|s| late(s).count()).sum::<usize>() as f64 / 39.0;
    let silent = late(7).count() as f64;
    assert!(usual > 50.0 && silent < 0.17 * usual, "{silent} sends to the silent one, {usual} to another");
    assert!(silent > 0.0, "some gateway tries it now and then");
}

/// Sends of 60 gateways of three zones to 30 endpoints of the same, `cold` of the first zone's ten just started:
/// the part that stays in its zone, and the sends a endpoint of each zone gets, the cold ones apart.
fn by_zone(cold: u64) -> (f64, Vec<f64>, f64) {
    let zone = |endpoint: u64| (endpoint % 3) as usize;
    let is_cold = |endpoint: u64| endpoint % 3 == 0 && endpoint / 3 < cold;
    let entry = |n| EndpointEntry { zone: zone(n), ..endpoint(n, is_cold(n).then_some(0.0)) };
    let mut fleet = Fleet::new(settings(60, plan(50.0, 400.0)), (0..30).map(entry).collect());
    for me in 0..60 {
        let settings = Settings { me, zone: me % 3, ..fleet.settings.clone() };
        fleet.gateways.insert(me, Gateway::new(settings, 5 + me as u64, 0.0).expect("sound settings"));
        let entries = fleet.endpoints.clone();
        fleet.event(me, Event::EndpointList { kind: ListKind::Remembered, entries });
    }
    let mut home = 0;
    for step in 0..1500usize {
        let me = step * 37 % 60;
        let before = fleet.sent.len();
        fleet.ask(me, |r| (r.customer, r.spread, r.first) = (CustomerId(me as u64 + (5 << 40)), 1, me));
        home += fleet.sent[before..].iter().filter(|s| zone(s.endpoint.0) == me % 3).count();
        fleet.pass(2.0);
    }
    let sent =
        |wanted: &dyn Fn(u64) -> bool| fleet.sent.iter().filter(|s| wanted(s.endpoint.0)).count() as f64;
    let warm = |z: usize| sent(&|s| zone(s) == z && !is_cold(s)) / if z == 0 { 10 - cold } else { 10 } as f64;
    let each_cold = sent(&is_cold) / cold.max(1) as f64;
    (home as f64 / 1500.0, (0..3).map(warm).collect(), each_cold)
}

#[test]
fn work_stays_in_its_zone_as_far_as_the_zones_servers_can_take_it() {
    let (home, each, _) = by_zone(0);
    assert!(home > 0.8, "{home} in the own zone, where each has as much to give");
    assert!(each.iter().all(|n| (30.0..75.0).contains(n)), "{each:?} sends to a endpoint by zone");
    // Eight of ten of a zone's endpoints have just started: most of the work of its gateways goes elsewhere.
    let (home, each, cold) = by_zone(8);
    assert!(home < 0.8 && home > 0.4, "{home}");
    assert!(cold < 0.4 * each[1], "{cold} to a cold one, {each:?} to a warm one by zone");
    assert!(each[0] < 1.7 * each[1], "{each:?} sends to a warm endpoint by zone");
}

#[test]
fn while_sends_are_short_the_dear_class_goes_before_the_cheap_one() {
    let mut limits = settings(100, plan(50.0, 400.0));
    limits.classes[0].priority_weight = 1.0;
    limits.classes[1].priority_weight = 3.0;
    limits.classes.iter_mut().for_each(|c| c.idempotency = Idempotency::NonIdempotent);
    let mut gateway = Gateway::new(Settings { me: 3, ..limits }, 7, 0.0).expect("sound settings");
    let mut actions = Vec::new();
    gateway.on_event(0.0, Event::EndpointList { kind: ListKind::Whole, entries: warm(40) }, &mut actions);
    // The band is over-full: 6 attempts out at each endpoint, at a watermark of 4.
    let body = format!("w{}{}{}", digits(240 * 64 / 100, 2), digits(4 * 32, 2), digits(12 * 32, 2));
    let (mut asked, mut sent, mut refused) = ([0; 2], [0; 2], [0; 2]);
    for round in 0..300usize {
        let now = 20.0 * round as f64;
        gateway.on_event(now, Event::PeerMessage { from: 4 + round % 90, body: body.clone() }, &mut actions);
        gateway.on_event(now, Event::Timer { token: 0 }, &mut actions);
        // 5 requests a second of each class; a send is earned every third of a second.
        if round > 50 && round % 5 == 0 {
            let class = round / 5 % 2;
            asked[class] += 1;
            let request = Request {
                id: RequestId(round as u64 * 2 + class as u64),
                class,
                plan: 0,
                customer: CustomerId(round as u64 + (3 << 40)),
                time_left_ms: 3000.0,
                units: 1.0,
                spread: 1,
                first: 3,
                repeat: false,
                write: false,
            };
            gateway.on_event(now, Event::Request(request), &mut actions);
        }
        for action in actions.drain(..) {
            match action {
                Action::Send { request, .. } => sent[request.0 as usize % 2] += 1,
                Action::Reject { request, .. } => refused[request.0 as usize % 2] += 1,
                _ => {}
            }
        }
    }
    assert!(asked.iter().all(|n| *n >= 24), "{asked:?}");
    assert!(sent[1] > 2 * sent[0], "{sent:?} sent of {asked:?}, {refused:?} refused");
    assert!(refused[0] > refused[1], "{refused:?} refused");
}

#[test]
fn a_zone_that_was_lost_whole_is_left_alone_and_used_again_once_it_is_back() {
    let entry = |n| EndpointEntry { zone: (n % 3) as usize, ..endpoint(n, None) };
    let mut fleet = Fleet::new(settings(100, plan(50.0, 400.0)), (0..6).map(entry).collect());
    // 500 requests a second, all of gateways in zone 0; gives the part that goes to their own zone.
    let play = |fleet: &mut Fleet, steps: usize| {
        let before = fleet.sent.len();
        for step in 0..steps {
            let first = step * 37 % 100;
            fleet.ask((first + step % 3) % 100, |r| {
                (r.customer, r.spread, r.first) = (CustomerId(first as u64 + (5 << 40)), 3, first);
            });
            fleet.pass(2.0);
        }
        let sent = &fleet.sent[before..];
        sent.iter().filter(|s| s.endpoint.0 % 3 == 0).count() as f64 / sent.len() as f64
    };
    play(&mut fleet, 1500);
    let well = play(&mut fleet, 400);
    fleet.outcome = |_, _, s| if s.0 % 3 == 0 { Outcome::ConnectFailed } else { Outcome::Ok };
    play(&mut fleet, 4000);
    let lost = play(&mut fleet, 1000);
    fleet.outcome = |_, _, _| Outcome::Ok;
    play(&mut fleet, 4000);
    let back = play(&mut fleet, 1000);
    assert!(well > 0.8, "{well} before the loss");
    assert!(lost < 0.25 && lost > 0.0, "{lost} while it is lost: less, and never nothing");
    assert!(back > 0.6, "{back} once it is back");
}

// ---- Fleets whose gateways may send each other nothing ----

/// Whose gateways may call the counter.
fn counting(gateways: usize, plan: PlanSettings) -> Fleet {
    counting_drawn(gateways, plan, 0)
}

fn counting_drawn(gateways: usize, plan: PlanSettings, chance: u64) -> Fleet {
    let settings =
        Settings { peer_messages_allowed: false, counter_allowed: true, ..settings(gateways, plan) };
    let mut fleet = Fleet::drawn(settings, warm(40), chance);
    fleet.pass(1100.0);
    fleet
}

#[test]
fn the_counter_holds_a_quota_where_gateways_may_not_tell_each_other() {
    let mut fleet = counting(120, plan(2.0, 8.0));
    for step in 0..200 {
        fleet.ask(step * 17 % 120, |_| {});
        fleet.pass(100.0);
    }
    // 20 seconds at 10 a second against 2 a second and 8 at once, and what a count may lie behind.
    let sent = fleet.sent_of(ONE);
    assert!((40..=51).contains(&sent), "{sent}");
}

/// A count that nobody raised would have saved up what the rate filled in all that time; two that raise it at once
/// must not lock the customer out.
#[test]
fn after_idle_time_a_customer_has_its_burst_and_no_more_however_many_gateways_see_it_first() {
    let mut fleet = counting(120, plan(2.0, 8.0));
    for (wait_ms, expected) in [(1000.0, 8..=12), (20_000.0, 8..=12), (20_000.0, 8..=12)] {
        fleet.pass(wait_ms);
        let before = fleet.sent_of(ONE);
        for me in 0..30 {
            fleet.ask(me * 3, |_| {});
            fleet.pass(3.0);
        }
        fleet.pass(200.0);
        let sent = fleet.sent_of(ONE) - before;
        assert!(expected.contains(&sent), "{sent} after {wait_ms} ms");
        // And it goes on at its rate.
        for step in 0..50 {
            fleet.ask(step * 7 % 120, |_| {});
            fleet.pass(200.0);
        }
        let sent = fleet.sent_of(ONE) - before;
        assert!((24..=33).contains(&sent), "{sent} with 10 s of asking");
    }
}

#[test]
fn a_request_that_was_never_sent_takes_nothing_from_the_count() {
    let mut fleet = counting(120, plan(2.0, 8.0));
    for me in 0..40 {
        let request = fleet.ask(me, |r| r.units = 2.0);
        if me % 4 > 0 {
            // Its client leaves before the counter has answered.
            fleet.event(me, Event::ClientGone { request });
        }
        fleet.pass(1000.0);
    }
    // A request of 2 units every 4 s: half the rate. The others' are given back.
    assert_eq!(fleet.sent_of(ONE), 10);
    assert!(fleet.refused.is_empty(), "{:?}", fleet.refused);
}

#[test]
fn without_the_counter_customers_are_served_and_those_just_seen_beyond_their_quota_wait() {
    for how in [Counter::TurnsAway, Counter::Silent] {
        let mut fleet = counting(12, plan(2.0, 8.0));
        for step in 0..60 {
            fleet.ask(step % 12, |_| {});
            fleet.pass(30.0);
        }
        fleet.counter = if how == Counter::Silent { |_| Counter::Silent } else { |_| Counter::TurnsAway };
        let before = fleet.sent_of(ONE);
        for step in 0..12 {
            fleet.ask(step, |r| r.customer = CustomerId(77));
            fleet.ask(step, |_| {});
            fleet.pass(10.0);
        }
        fleet.pass(200.0);
        assert_eq!(fleet.sent_of(77), 12, "nobody knows any harm of it");
        assert!(fleet.sent_of(ONE) - before < 6, "{}", fleet.sent_of(ONE) - before);
    }
}

/// A counter works through calls that nobody waits for any more: asked by all about all, it would answer nobody. What a
/// few gateways pass of one customer hangs on chance, so that the mean of a dozen fleets counts.
#[test]
fn a_counter_that_can_answer_some_of_the_calls_is_asked_about_fewer_requests_and_the_quota_still_holds() {
    let mut sent_in_all = 0;
    for chance in 0..12 {
        let mut fleet = counting_drawn(20, plan(10.0, 20.0), chance);
        let asked = |fleet: &mut Fleet, steps: usize| {
            let (calls, sent) = (fleet.calls, fleet.sent_of(ONE));
            for step in 0..steps {
                fleet.ask(step * 7 % 20, |_| {});
                fleet.ask(step * 3 % 20, |r| r.customer = CustomerId(1000 + step as u64));
                fleet.pass(50.0);
            }
            (fleet.calls - calls, fleet.sent_of(ONE) - sent)
        };
        let (calls, _) = asked(&mut fleet, 200);
        assert!(calls > 200, "{calls}");
        // Without need it is asked about all; as much again comes on top for what was refused.
        fleet.counter = |call| if call <= 3 { Counter::Answers } else { Counter::Silent };
        asked(&mut fleet, 400);
        let (calls, sent) = asked(&mut fleet, 400);
        assert!(calls < 600, "{calls} calls for 800 requests");
        assert!((150..=360).contains(&sent), "{sent}");
        sent_in_all += sent;
    }
    // 20 s at 20 a second against 10 a second; blindly all 400 would have gone.
    let mean = sent_in_all as f64 / 12.0;
    println!("{mean:.1} on the mean");
    assert!(mean < 310.0, "{mean}");
}

#[test]
fn gateways_that_may_tell_nobody_spread_their_sends_all_the_same() {
    for counter_allowed in [false, true] {
        let settings =
            Settings { peer_messages_allowed: false, counter_allowed, ..settings(200, plan(10.0, 400.0)) };
        let mut fleet = Fleet::new(settings, warm(40));
        for me in 0..200 {
            fleet.ask(me, |r| r.customer = CustomerId(me as u64 + (9 << 40)));
        }
        fleet.pass(400.0);
        let mut count = BTreeMap::new();
        fleet.sent.iter().for_each(|s| *count.entry(s.endpoint).or_insert(0) += 1);
        assert_eq!(fleet.sent.len(), 200);
        assert!(count.len() > 35 && count.values().all(|n| *n < 20), "{count:?}");
    }
}

/// A ceiling is a rule, and nobody can tell what the others passed: each gateway has its even part.
#[test]
fn a_ceiling_holds_where_gateways_may_not_tell_each_other() {
    for counter_allowed in [false, true] {
        let limits =
            PlanSettings { ceiling_rate_per_second: 40.0, ceiling_burst_units: 60.0, ..plan(1000.0, 4000.0) };
        let settings = Settings { peer_messages_allowed: false, counter_allowed, ..settings(12, limits) };
        let mut fleet = Fleet::new(settings, warm(40));
        let start = fleet.now;
        for step in 0..1000 {
            fleet.ask(step * 5 % 12, |_| {});
            fleet.pass(5.0);
            let most = 60.0 + 40.0 * (fleet.now - start) / 1000.0;
            assert!(fleet.sent_of(ONE) as f64 <= most, "{} at {}", fleet.sent_of(ONE), fleet.now);
        }
        assert!(fleet.sent_of(ONE) > 100, "{}", fleet.sent_of(ONE));
    }
}

#[test]
fn a_gateway_that_is_asked_as_much_as_it_takes_in_still_serves_its_own_requests() {
    const BUSY: usize = 17;
    let mut fleet = wide(120, plan(50.0, 100.0));
    let mut owned = Vec::new();
    for n in 0..2400 {
        let customer = CustomerId(n + (9 << 40));
        fleet.told_last = None;
        fleet.ask((BUSY + 1 + n as usize % 119) % 120, |r| r.customer = customer);
        if fleet.told_last == Some(BUSY) {
            owned.push(customer);
        }
        fleet.pass(2.0);
    }
    fleet.pass(3000.0);
    let mut own = Vec::new();
    for step in 0..500 {
        // 50 questions a second from all over, of the 60 messages that it takes in, and 5 requests of its own.
        let asking = (BUSY + 1 + step % 119) % 120;
        fleet.ask(asking, |r| r.customer = owned[step % owned.len()]);
        if step % 10 == 0 {
            own.push(fleet.ask(BUSY, |r| r.customer = CustomerId(step as u64 + (8 << 40))));
        }
        fleet.pass(20.0);
    }
    fleet.pass(1000.0);
    let refused = own.iter().filter(|id| fleet.refused.contains(id)).count();
    assert!(refused <= 2, "{refused} of {} refused", own.len());
}
