//! A simulated fleet: many gateways that exchange messages, and endpoints that respond after 100 ms unless a
//! test says otherwise. It makes no decisions of its own: it only executes the actions of the gateways.
//!
//! Not simulated are cancellations, the time-outs that gateways give attempts, and clients that stop waiting:
//! each attempt ends with its outcome, `TimedOut` after 2000 ms and any other, such as `ConnectFailed`, after
//! 100 ms.
use super::builders::*;
use super::event_queue::EventQueue;
use super::fleet_counter::FleetCounter;
use irishinge_admission::*;
use std::collections::{BTreeMap, BTreeSet};

/// Customer of each request that a test does not give another.
pub(crate) const CUSTOMER: u64 = 0xfeed_0000_0000_0001;

/// Response time of an endpoint, in ms.
const RESPONSE_MS: f64 = 100.0;

/// Time until a message between gateways arrives, in ms.
const MESSAGE_DELAY_MS: f64 = 8.0;

/// Time for which the gateways run before a test begins, in ms. A gateway limits bursts only for a shorter
/// time after its start.
const STARTUP_MS: f64 = 1100.0;

/// An attempt that a gateway of the fleet sent.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FleetAttempt {
    pub(crate) at_ms: f64,
    pub(crate) customer: u64,
    pub(crate) class: usize,
    pub(crate) plan: usize,
    pub(crate) endpoint: EndpointId,
}

/// A request that was submitted, and the number of its attempts so far.
struct SubmittedRequest {
    customer: u64,
    class: usize,
    plan: usize,
    attempts: u32,
}

/// An event that is due at a gateway.
struct GatewayEvent {
    gateway: usize,
    event: Event,
}

/// A fleet of gateways with their endpoints and, if allowed, their quota counter.
pub(crate) struct Fleet {
    pub(crate) settings: Settings,
    pub(crate) endpoints: Vec<EndpointEntry>,
    /// The running gateways by index. A test removes one to simulate its crash.
    pub(crate) gateways: BTreeMap<usize, Gateway>,
    pub(crate) now_ms: f64,
    events: EventQueue<GatewayEvent>,
    /// All attempts so far, in the order in which they were sent.
    pub(crate) sent: Vec<FleetAttempt>,
    /// Requests that a gateway rejected or failed.
    pub(crate) rejected_or_failed: BTreeSet<RequestId>,
    seed: u64,
    /// Total bytes of all messages between gateways.
    pub(crate) message_bytes: usize,
    /// Receiver of the last message.
    pub(crate) last_message_receiver: Option<usize>,
    /// A message is lost if its number is a multiple of this, which is about one in this many; 0 means that
    /// none is lost. Messages are numbered along with events and requests, so that the exact fraction depends
    /// on the traffic.
    pub(crate) lose_one_in: u64,
    submitted: BTreeMap<RequestId, SubmittedRequest>,
    /// Outcome of an attempt, by the class and plan of its request and by its endpoint.
    pub(crate) outcome: fn(class: usize, plan: usize, endpoint: EndpointId) -> Outcome,
    pub(crate) counter: FleetCounter,
}

/// Returns a fleet in gossip mode, with 40 endpoints, whose gateways started 1.1 s ago.
pub(crate) fn gossip_fleet(gateways: usize, plan: PlanSettings) -> Fleet {
    let mut fleet = Fleet::new(fleet_settings(gateways, plan), warm_endpoints(40));
    fleet.advance(STARTUP_MS);
    fleet
}

/// Returns a fleet in counter mode, with 40 endpoints, whose gateways started 1.1 s ago. They may call the
/// quota counter and may not send each other messages.
pub(crate) fn counter_fleet(gateways: usize, plan: PlanSettings) -> Fleet {
    counter_fleet_with_seed(gateways, plan, 0)
}

/// Returns a fleet in counter mode as `counter_fleet` does, with other random numbers for each seed.
pub(crate) fn counter_fleet_with_seed(gateways: usize, plan: PlanSettings, seed: u64) -> Fleet {
    let settings =
        Settings { peer_messages_allowed: false, counter_allowed: true, ..fleet_settings(gateways, plan) };
    let mut fleet = Fleet::with_seed(settings, warm_endpoints(40), seed);
    fleet.advance(STARTUP_MS);
    fleet
}

impl Fleet {
    /// Creates a fleet whose gateways start now.
    pub(crate) fn new(settings: Settings, endpoints: Vec<EndpointEntry>) -> Self {
        Self::with_seed(settings, endpoints, 0)
    }

    /// Creates a fleet whose gateways start now. Fleets with different seeds draw different random
    /// numbers.
    fn with_seed(settings: Settings, endpoints: Vec<EndpointEntry>, seed: u64) -> Self {
        let mut fleet = Fleet {
            settings,
            endpoints,
            gateways: BTreeMap::new(),
            now_ms: 0.0,
            events: EventQueue::new(),
            sent: Vec::new(),
            rejected_or_failed: BTreeSet::new(),
            seed,
            message_bytes: 0,
            last_message_receiver: None,
            lose_one_in: 0,
            submitted: BTreeMap::new(),
            outcome: |_, _, _| Outcome::Ok,
            counter: FleetCounter::new(),
        };
        for gateway in 0..fleet.settings.gateways {
            fleet.start_gateway(gateway);
        }
        fleet
    }

    /// Starts a gateway, or restarts it without its state.
    pub(crate) fn start_gateway(&mut self, gateway: usize) {
        // Each fleet, gateway and time of start has another seed.
        let seed = 7777 * self.seed + 1000 + gateway as u64 + self.now_ms as u64 * 7919;
        self.start_gateway_with(
            Settings { this_gateway: GatewayIndex(gateway), ..self.settings.clone() },
            seed,
        );
    }

    /// Starts a gateway with the given settings, which name its index.
    pub(crate) fn start_gateway_with(&mut self, settings: Settings, seed: u64) {
        let gateway = settings.this_gateway.0;
        self.gateways.insert(gateway, Gateway::new(settings, seed, self.now_ms).expect("valid settings"));
        let entries = self.endpoints.clone();
        self.handle_event(gateway, Event::EndpointList { kind: ListUpdateKind::Cached, entries });
    }

    /// Schedules an event at a gateway `after_ms` from now.
    fn schedule(&mut self, after_ms: f64, gateway: usize, event: Event) {
        self.events.schedule(self.now_ms + after_ms, GatewayEvent { gateway, event });
    }

    /// Passes an event to a gateway and executes the actions. A gateway that is not running ignores the
    /// event.
    pub(crate) fn handle_event(&mut self, gateway: usize, event: Event) {
        let mut actions = Vec::new();
        let Some(target) = self.gateways.get_mut(&gateway) else { return };
        target.on_event(self.now_ms, event, &mut actions);
        for action in actions {
            self.execute_action(gateway, action);
        }
    }

    fn execute_action(&mut self, gateway: usize, action: Action) {
        match action {
            Action::SetTimer { at_ms, token } => {
                self.schedule(at_ms - self.now_ms, gateway, Event::Timer { token });
            }
            Action::AddToCounter { name, amount, ttl_ms } => self.call_counter(gateway, name, amount, ttl_ms),
            Action::SendPeerMessage { to, body } => self.send_message(gateway, to, body),
            Action::Send { request, endpoint, .. } => self.start_attempt(gateway, request, endpoint),
            Action::Reject { request, .. } | Action::Fail { request } => {
                assert!(self.rejected_or_failed.insert(request), "{request:?} rejected or failed twice");
            }
            _ => {}
        }
    }

    fn call_counter(&mut self, gateway: usize, name: u64, amount: f64, ttl_ms: f64) {
        assert!(self.settings.counter_allowed, "the settings allow no counter");
        // A count lives for at most its epoch of 60 s, and its name has 63 bits.
        assert!(amount.abs() < 1e9 && (1.0..=60_000.0).contains(&ttl_ms) && name < 1 << 63);
        let reply = self.counter.add(self.now_ms, name, amount);
        let event = Event::CounterReply { name, outcome: reply.outcome };
        self.schedule(reply.took_ms, gateway, event);
    }

    fn send_message(&mut self, gateway: usize, to: GatewayIndex, body: String) {
        assert!(self.settings.peer_messages_allowed, "the settings allow no messages");
        let to = to.0;
        assert!(body.len() <= 256, "{} bytes", body.len());
        self.message_bytes += body.len();
        self.last_message_receiver = Some(to);
        let number = self.events.next_number();
        if self.lose_one_in == 0 || number % self.lose_one_in != 0 {
            self.schedule(MESSAGE_DELAY_MS, to, Event::PeerMessage { from: GatewayIndex(gateway), body });
        }
    }

    fn start_attempt(&mut self, gateway: usize, request: RequestId, endpoint: EndpointId) {
        let submitted = self.submitted.get_mut(&request).expect("the request was submitted");
        let (customer, class, plan) = (submitted.customer, submitted.class, submitted.plan);
        let attempt = submitted.attempts;
        submitted.attempts += 1;
        self.sent.push(FleetAttempt { at_ms: self.now_ms, customer, class, plan, endpoint });
        let outcome = (self.outcome)(class, plan, endpoint);
        let took_ms = if outcome == Outcome::TimedOut { 2.0 * OBJECTIVE_MS } else { RESPONSE_MS };
        let end = attempt_end(request, attempt, endpoint, outcome, took_ms);
        self.schedule(took_ms, gateway, Event::AttemptEnded(end));
    }

    /// Submits a request at a gateway after `change` has modified it. Unless `change` says otherwise, the
    /// customer's requests come through all gateways of the fleet.
    pub(crate) fn submit(&mut self, gateway: usize, change: impl FnOnce(&mut Request)) -> RequestId {
        let id = RequestId(self.events.next_number());
        let mut request =
            Request { gateway_count: self.settings.gateways, ..request(id, CustomerId(CUSTOMER)) };
        change(&mut request);
        let id = request.id;
        let (customer, class, plan) = (request.customer.0, request.class, request.plan);
        self.submitted.insert(id, SubmittedRequest { customer, class: class.0, plan: plan.0, attempts: 0 });
        self.handle_event(gateway, Event::Request(request));
        id
    }

    /// Lets time pass, and passes all events that are due in it to their gateways.
    pub(crate) fn advance(&mut self, ms: f64) {
        let end_ms = self.now_ms + ms;
        while let Some((at_ms, GatewayEvent { gateway, event })) = self.events.pop_until(end_ms) {
            self.now_ms = self.now_ms.max(at_ms);
            self.handle_event(gateway, event);
        }
        self.now_ms = end_ms;
    }

    /// Returns the number of attempts that were sent for a customer.
    pub(crate) fn sent_for(&self, customer: u64) -> usize {
        self.sent.iter().filter(|sent| sent.customer == customer).count()
    }

    /// Returns the number of attempts that each endpoint was sent, without the endpoints that were sent
    /// none.
    pub(crate) fn sent_by_endpoint(&self) -> BTreeMap<EndpointId, usize> {
        let mut attempts = BTreeMap::new();
        self.sent.iter().for_each(|sent| *attempts.entry(sent.endpoint).or_insert(0) += 1);
        attempts
    }
}
