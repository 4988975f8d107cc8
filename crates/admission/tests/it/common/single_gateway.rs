//! One gateway that a test drives event by event, on a clock that the test moves.
use super::builders::*;
use irishinge_admission::*;

/// The seed of the gateway's random numbers.
pub(crate) const SEED: u64 = 7;

/// Time between two timer events while the clock is moved.
const TIMER_MS: f64 = 20.0;

pub(crate) struct SingleGateway {
    gateway: Gateway,
    pub(crate) now_ms: f64,
    /// The id of the last request.
    pub(crate) last_request: u64,
    /// The customer whose requests `submit` makes.
    pub(crate) customer: u64,
}

/// A request that was submitted, and what the gateway did at once.
pub(crate) struct Submitted {
    pub(crate) id: RequestId,
    pub(crate) actions: Vec<Action>,
}

impl Submitted {
    pub(crate) fn sends(&self) -> Vec<SentAttempt> {
        sends(&self.actions)
    }
}

impl SingleGateway {
    /// A gateway that knows this many warm endpoints, alternating between two zones.
    pub(crate) fn new(settings: Settings, endpoints: u64) -> Self {
        let mut gateway = Self::started_at(settings, SEED, 0.0);
        gateway.update_endpoints((0..endpoints).map(endpoint_of_two_zones).collect());
        gateway
    }

    /// A gateway that has just started and knows no endpoint.
    pub(crate) fn started_at(settings: Settings, seed: u64, now_ms: f64) -> Self {
        let gateway = Gateway::new(settings, seed, now_ms).expect("sound settings");
        SingleGateway { gateway, now_ms, last_request: 0, customer: 1 }
    }

    pub(crate) fn event(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.gateway.on_event(self.now_ms, event, &mut actions);
        actions
    }

    pub(crate) fn update_endpoints(&mut self, entries: Vec<EndpointEntry>) -> Vec<Action> {
        self.event(Event::EndpointList { kind: ListUpdateKind::Changes, entries })
    }

    /// Submits a request that the test has changed.
    pub(crate) fn submit_with(&mut self, change: impl FnOnce(&mut Request)) -> Submitted {
        self.last_request += 1;
        let id = RequestId(self.last_request);
        let mut request = Request { gateway_count: 2, ..request(id, CustomerId(self.customer)) };
        change(&mut request);
        Submitted { id: request.id, actions: self.event(Event::Request(request)) }
    }

    pub(crate) fn submit(&mut self) -> Submitted {
        self.submit_with(|_| {})
    }

    /// Submits requests of as many customers, so that no quota binds.
    pub(crate) fn submit_as_new_customers(&mut self, count: usize) -> Vec<Action> {
        let mut all = Vec::new();
        for _ in 0..count {
            self.customer += 1;
            all.extend(self.submit().actions);
        }
        all
    }

    pub(crate) fn end_attempt(
        &mut self,
        sent: SentAttempt,
        attempt: u32,
        outcome: Outcome,
        took_ms: f64,
    ) -> Vec<Action> {
        let end = attempt_end(sent.request, attempt, sent.endpoint, outcome, took_ms);
        self.event(Event::AttemptEnded(end))
    }

    /// Lets time pass, with a timer event every 20 ms.
    pub(crate) fn advance(&mut self, ms: f64) -> Vec<Action> {
        let mut all = Vec::new();
        let end_ms = self.now_ms + ms;
        while self.now_ms < end_ms {
            self.now_ms = (self.now_ms + TIMER_MS).min(end_ms);
            all.extend(self.event(Event::Timer { token: 0 }));
        }
        all
    }

    /// Delivers a message of the other gateway.
    pub(crate) fn receive(&mut self, body: &str) {
        self.event(Event::PeerMessage { from: GatewayIndex(1), body: body.into() });
    }

    /// How many requests of one unit are sent at once for a customer.
    pub(crate) fn admitted_at_once(&mut self) -> usize {
        (0..60).map(|_| self.submit().sends().len()).sum()
    }
}
