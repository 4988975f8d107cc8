//! Many gateways that exchange messages, and endpoints that answer after 100 ms unless a test says otherwise. It has no
//! policy: it carries messages, counter calls and answers as the interface says.
use super::builders::*;
use super::event_queue::EventQueue;
use super::fleet_counter::FleetCounter;
use irishinge_admission::*;
use std::collections::{BTreeMap, BTreeSet};

/// The customer of all requests that a test does not change.
pub(crate) const CUSTOMER: u64 = 0xfeed_0000_0000_0001;

const RESPONSE_MS: f64 = 100.0;
const MESSAGE_DELAY_MS: f64 = 8.0;

/// How long gateways run before a test starts: longer than they limit bursts after their start.
const STARTUP_MS: f64 = 1100.0;

/// An attempt that was sent: when, for whom and where.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FleetAttempt {
    pub(crate) at_ms: f64,
    pub(crate) customer: u64,
    pub(crate) class: usize,
    pub(crate) plan: usize,
    pub(crate) endpoint: EndpointId,
}

struct SubmittedRequest {
    customer: u64,
    class: usize,
    plan: usize,
    attempts: u32,
}

struct GatewayEvent {
    gateway: usize,
    event: Event,
}

pub(crate) struct Fleet {
    pub(crate) settings: Settings,
    pub(crate) endpoints: Vec<EndpointEntry>,
    pub(crate) gateways: BTreeMap<usize, Gateway>,
    pub(crate) now_ms: f64,
    due: EventQueue<GatewayEvent>,
    pub(crate) sent: Vec<FleetAttempt>,
    pub(crate) rejected: BTreeSet<RequestId>,
    seed: u64,
    /// Bytes of all messages between gateways.
    pub(crate) message_bytes: usize,
    /// The recipient of the last message.
    pub(crate) last_message_to: Option<usize>,
    /// One message in this many is lost; 0 loses none.
    pub(crate) lose_one_in: u64,
    submitted: BTreeMap<RequestId, SubmittedRequest>,
    /// How an attempt ends.
    pub(crate) outcome: fn(class: usize, plan: usize, endpoint: EndpointId) -> Outcome,
    pub(crate) counter: FleetCounter,
}

/// A fleet too large for broadcasts, past its start, with 40 endpoints.
pub(crate) fn gossip_fleet(gateways: usize, plan: PlanSettings) -> Fleet {
    let mut fleet = Fleet::new(fleet_settings(gateways, plan), warm_endpoints(40));
    fleet.advance(STARTUP_MS);
    fleet
}

/// A fleet whose gateways may call the counter and may not send each other messages.
pub(crate) fn counter_fleet(gateways: usize, plan: PlanSettings) -> Fleet {
    counter_fleet_with_seed(gateways, plan, 0)
}

pub(crate) fn counter_fleet_with_seed(gateways: usize, plan: PlanSettings, seed: u64) -> Fleet {
    let settings =
        Settings { peer_messages_allowed: false, counter_allowed: true, ..fleet_settings(gateways, plan) };
    let mut fleet = Fleet::with_seed(settings, warm_endpoints(40), seed);
    fleet.advance(STARTUP_MS);
    fleet
}

impl Fleet {
    pub(crate) fn new(settings: Settings, endpoints: Vec<EndpointEntry>) -> Self {
        Self::with_seed(settings, endpoints, 0)
    }

    fn with_seed(settings: Settings, endpoints: Vec<EndpointEntry>, seed: u64) -> Self {
        let mut fleet = Fleet {
            settings,
            endpoints,
            gateways: BTreeMap::new(),
            now_ms: 0.0,
            due: EventQueue::new(),
            sent: Vec::new(),
            rejected: BTreeSet::new(),
            seed,
            message_bytes: 0,
            last_message_to: None,
            lose_one_in: 0,
            submitted: BTreeMap::new(),
            outcome: |_, _, _| Outcome::Ok,
            counter: FleetCounter::new(),
        };
        for me in 0..fleet.settings.gateways {
            fleet.start(me);
        }
        fleet
    }

    /// Starts a gateway, or restarts it without its state.
    pub(crate) fn start(&mut self, me: usize) {
        let seed = 7777 * self.seed + 1000 + me as u64 + self.now_ms as u64 * 7919;
        self.start_with(Settings { this_gateway: GatewayIndex(me), ..self.settings.clone() }, seed);
    }

    /// Starts a gateway with settings of its own.
    pub(crate) fn start_with(&mut self, settings: Settings, seed: u64) {
        let me = settings.this_gateway.0;
        self.gateways.insert(me, Gateway::new(settings, seed, self.now_ms).expect("sound settings"));
        let entries = self.endpoints.clone();
        self.event(me, Event::EndpointList { kind: ListUpdateKind::Cached, entries });
    }

    fn schedule(&mut self, after_ms: f64, gateway: usize, event: Event) {
        self.due.schedule(self.now_ms + after_ms, GatewayEvent { gateway, event });
    }

    pub(crate) fn event(&mut self, me: usize, event: Event) {
        let mut actions = Vec::new();
        let Some(gateway) = self.gateways.get_mut(&me) else { return };
        gateway.on_event(self.now_ms, event, &mut actions);
        for action in actions {
            self.carry_out(me, action);
        }
    }

    fn carry_out(&mut self, me: usize, action: Action) {
        match action {
            Action::SetTimer { at_ms, token } => {
                self.schedule(at_ms - self.now_ms, me, Event::Timer { token });
            }
            Action::AddToCounter { name, amount, ttl_ms } => self.call_counter(me, name, amount, ttl_ms),
            Action::SendPeerMessage { to, body } => self.send_message(me, to, body),
            Action::Send { request, endpoint, .. } => self.start_attempt(me, request, endpoint),
            Action::Reject { request, .. } | Action::Fail { request } => {
                assert!(self.rejected.insert(request), "{request:?} answered twice");
            }
            _ => {}
        }
    }

    fn call_counter(&mut self, me: usize, name: u64, amount: f64, ttl_ms: f64) {
        assert!(self.settings.counter_allowed, "the settings allow no counter");
        assert!(amount.abs() < 1e9 && (1.0..=60_000.0).contains(&ttl_ms) && name < 1 << 63);
        let reply = self.counter.add(self.now_ms, name, amount);
        let event = Event::CounterReply { name, outcome: reply.outcome };
        self.schedule(reply.took_ms, me, event);
    }

    fn send_message(&mut self, me: usize, to: GatewayIndex, body: String) {
        assert!(self.settings.peer_messages_allowed, "the settings allow no messages");
        let to = to.0;
        assert!(body.len() <= 256, "{} bytes", body.len());
        self.message_bytes += body.len();
        self.last_message_to = Some(to);
        let number = self.due.next_number();
        if self.lose_one_in == 0 || number % self.lose_one_in != 0 {
            self.schedule(MESSAGE_DELAY_MS, to, Event::PeerMessage { from: GatewayIndex(me), body });
        }
    }

    fn start_attempt(&mut self, me: usize, request: RequestId, endpoint: EndpointId) {
        let submitted = self.submitted.get_mut(&request).expect("known");
        let (customer, class, plan) = (submitted.customer, submitted.class, submitted.plan);
        let attempt = submitted.attempts;
        submitted.attempts += 1;
        self.sent.push(FleetAttempt { at_ms: self.now_ms, customer, class, plan, endpoint });
        let outcome = (self.outcome)(class, plan, endpoint);
        let took_ms = if outcome == Outcome::TimedOut { 2.0 * OBJECTIVE_MS } else { RESPONSE_MS };
        let end = attempt_end(request, attempt, endpoint, outcome, took_ms);
        self.schedule(took_ms, me, Event::AttemptEnded(end));
    }

    /// Submits a request, which the test may change, at a gateway.
    pub(crate) fn submit(&mut self, me: usize, change: impl FnOnce(&mut Request)) -> RequestId {
        let id = RequestId(self.due.next_number());
        let mut request =
            Request { gateway_count: self.settings.gateways, ..request(id, CustomerId(CUSTOMER)) };
        change(&mut request);
        let id = request.id;
        let (customer, class, plan) = (request.customer.0, request.class, request.plan);
        self.submitted.insert(id, SubmittedRequest { customer, class: class.0, plan: plan.0, attempts: 0 });
        self.event(me, Event::Request(request));
        id
    }

    /// Lets time pass.
    pub(crate) fn advance(&mut self, ms: f64) {
        let end_ms = self.now_ms + ms;
        while let Some((at_ms, GatewayEvent { gateway, event })) = self.due.pop_until(end_ms) {
            self.now_ms = self.now_ms.max(at_ms);
            self.event(gateway, event);
        }
        self.now_ms = end_ms;
    }

    /// How many attempts were sent for a customer.
    pub(crate) fn sent_for(&self, customer: u64) -> usize {
        self.sent.iter().filter(|sent| sent.customer == customer).count()
    }

    /// How many attempts each endpoint was sent; those with none are left out.
    pub(crate) fn sent_by_endpoint(&self) -> BTreeMap<EndpointId, usize> {
        let mut count = BTreeMap::new();
        self.sent.iter().for_each(|sent| *count.entry(sent.endpoint).or_insert(0) += 1);
        count
    }
}
