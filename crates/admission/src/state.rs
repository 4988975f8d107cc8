//! What a gateway remembers: plain records, changed by `rules.rs` alone.
use crate::interface::{CustomerId, EndpointEntry, EndpointId, EndpointState, Request, RequestId, Settings};
use crate::peer_text::Observation;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// What a peer told of one customer.
#[derive(Debug, Clone, Default)]
pub(crate) struct PeerCount {
    pub(crate) incarnation: u32,
    pub(crate) consumed: u32,
    pub(crate) in_flight: u32,
    pub(crate) received_ms: f64,
}

/// A customer's quota and ceiling as this gateway knows them.
#[derive(Debug, Clone)]
pub(crate) struct Customer {
    pub(crate) plan: Option<usize>,
    pub(crate) first: usize,
    pub(crate) spread: usize,
    /// Units in the quota store; before the plan is known, the part of the burst last told.
    pub(crate) tokens: f64,
    /// Units in this gateway's own part of the ceiling.
    pub(crate) ceiling_tokens: f64,
    pub(crate) filled_ms: f64,
    pub(crate) used_ms: f64,
    /// Units drawn since this gateway's start.
    pub(crate) consumed: f64,
    pub(crate) in_flight: u32,
    pub(crate) peers: BTreeMap<usize, PeerCount>,
    pub(crate) pending_rounds: u8,
    pub(crate) ceiling_requested: bool,
    pub(crate) ceiling_transfers: BTreeMap<usize, f64>,
    /// Part of the ceiling that is this gateway's own.
    pub(crate) ceiling_fraction: f64,
    /// What its keeper granted and still counts or would grant again to the same question.
    pub(crate) grants: Vec<Grant>,
    /// Questions waiting at its keeper for an active slot, first come first.
    pub(crate) waiters: VecDeque<Grant>,
    /// Units asked of its keeper and granted a second, smoothed.
    pub(crate) requested_rate: DecayingRate,
    pub(crate) granted_rate: DecayingRate,
    /// Part of its requests that its keeper wants to be asked about, and when that was told.
    pub(crate) sampling_fraction: f64,
    pub(crate) sampling_fraction_ms: f64,
    pub(crate) count: Count,
}

/// A customer's dealings with the counter.
#[derive(Debug, Clone, Default)]
pub(crate) struct Count {
    /// The call that is out, and what it put right along with its own amount.
    pub(crate) calling: Option<(Call, f64)>,
    /// Calls to come, first come first.
    pub(crate) queue: VecDeque<Call>,
    /// Units to be put right with the next call.
    pub(crate) owed: f64,
    /// The store's level as last told, and when.
    pub(crate) level: Option<(f64, f64)>,
}

/// A call to the counter.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Call {
    /// Takes a request's units, and those of others that are not asked about, and asks whether its own were there.
    Ask { id: RequestId, units: f64, takes: f64 },
    /// Brings a count that lies behind up to the clock, from the total seen.
    Raise { by: f64, seen: f64 },
    /// Puts right what is owed.
    Settle,
}

/// A question put to a customer's keeper: by whom, its number, and for how long it matters.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Grant {
    pub(crate) from: usize,
    pub(crate) number: u32,
    pub(crate) until_ms: f64,
}

/// A smoothed rate a second.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct DecayingRate {
    per_s: f64,
    at_ms: f64,
}

impl DecayingRate {
    pub(crate) fn now(&self, now: f64, span_s: f64) -> f64 {
        self.per_s * (-(now - self.at_ms) / 1000.0 / span_s).exp()
    }

    pub(crate) fn add(&mut self, amount: f64, now: f64, span_s: f64) {
        self.per_s = self.now(now, span_s) + amount / span_s;
        self.at_ms = now;
    }
}

/// Where a request stands with its customer's keeper.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub(crate) enum QuotaState {
    /// Nobody needs to be asked.
    #[default]
    Own,
    Asked {
        keeper: usize,
        number: u32,
        at_ms: f64,
        tries: u32,
    },
    /// The keeper holds the question until a slot is free.
    Queued {
        keeper: usize,
        number: u32,
    },
    Granted {
        keeper: usize,
        number: u32,
    },
    Beyond {
        ceiling: bool,
    },
    /// The counter is asked.
    Counting,
    /// It may go, by the counter or since that was not asked about it.
    Counted {
        asked: bool,
    },
}

/// What a symptom of an endpoint is confined to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum EjectionScope {
    Class(usize),
    Plan(usize),
}

/// A customer's held requests, first come first.
#[derive(Debug, Default)]
pub(crate) struct Flow {
    pub(crate) queue: VecDeque<(RequestId, f64)>,
    pub(crate) last_finish: f64,
    pub(crate) units: f64,
}

#[derive(Debug, Clone)]
pub(crate) struct Attempt {
    pub(crate) endpoint: EndpointId,
    pub(crate) zone: usize,
    pub(crate) cell: u64,
    pub(crate) sent_ms: f64,
    pub(crate) pending: bool,
    pub(crate) may_have_run: bool,
}

/// A request taken in, until it is answered and all its attempts have ended.
#[derive(Debug)]
pub(crate) struct ActiveRequest {
    pub(crate) request: Request,
    pub(crate) tag: u64,
    pub(crate) objective_at_ms: f64,
    pub(crate) deadline_ms: f64,
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) answered: bool,
    /// What was out at the answer has been called off.
    pub(crate) closed: bool,
    pub(crate) within_quota: bool,
    pub(crate) quota: QuotaState,
    /// Units by which the answer's true figure passed the guess.
    pub(crate) settled_units: f64,
    /// Its keeper has so much that the true units need not be told.
    pub(crate) ample: bool,
}

#[derive(Debug)]
pub(crate) struct Endpoint {
    pub(crate) zone: usize,
    pub(crate) kind: usize,
    pub(crate) cell: u64,
    pub(crate) state: EndpointState,
    pub(crate) started_ms: Option<f64>,
    /// Own attempts out: when sent, and of which request.
    pub(crate) in_flight: Vec<(f64, RequestId, u32)>,
    /// Residence against what is usual, smoothed.
    pub(crate) relative_response_time: f64,
    pub(crate) answered_ms: f64,
    /// When its slowness was last observed or told.
    pub(crate) observed_ms: f64,
    /// When an answer of it was last seen or told, and the attempts seen or told since that brought none.
    pub(crate) last_response_ms: f64,
    pub(crate) missed_responses: u32,
    pub(crate) consecutive_failures: u32,
    pub(crate) error_fraction: f64,
    pub(crate) ejected_until_ms: f64,
    /// Own sends a second, smoothed.
    pub(crate) send_rate: f64,
    pub(crate) send_rate_ms: f64,
    pub(crate) warm_up_tokens: f64,
    pub(crate) warm_up_tokens_ms: f64,
    /// Until when it is left alone with a class or plan, and how often in a row it failed there.
    pub(crate) scoped_ejections: BTreeMap<EjectionScope, (f64, u32)>,
    /// Part of its answers to each class that failed or did not come, smoothed.
    pub(crate) class_failure_fraction: BTreeMap<usize, f64>,
}

/// What a gateway may send a cold endpoint.
#[derive(Debug, Clone, Copy)]
pub(crate) struct WarmUpBudget {
    /// Tokens a second; each send takes one.
    pub(crate) rate: f64,
    /// Tokens that may be saved up.
    pub(crate) most: f64,
}

#[derive(Debug, Default)]
pub(crate) struct Peer {
    pub(crate) incarnation: Option<u32>,
    pub(crate) seq: u32,
    pub(crate) stock: u32,
    pub(crate) watermark: f64,
    pub(crate) received_ms: f64,
    pub(crate) credit: f64,
    pub(crate) credit_ms: f64,
    pub(crate) reported_ms: f64,
    pub(crate) reported_stock: u32,
    pub(crate) sent_seq: u32,
    /// Questions to it left unanswered in a row, and until when it is not asked.
    pub(crate) missed_responses: u32,
    pub(crate) suspected_until_ms: f64,
}

impl Customer {
    /// A customer of whom nothing is known: a full store.
    pub(crate) fn new(now: f64) -> Self {
        Customer {
            plan: None,
            first: 0,
            spread: 1,
            tokens: 1.0,
            ceiling_tokens: 0.0,
            filled_ms: now,
            used_ms: now,
            consumed: 0.0,
            in_flight: 0,
            peers: BTreeMap::new(),
            pending_rounds: 0,
            ceiling_requested: false,
            ceiling_transfers: BTreeMap::new(),
            ceiling_fraction: 1.0,
            grants: Vec::new(),
            waiters: VecDeque::new(),
            requested_rate: DecayingRate::default(),
            granted_rate: DecayingRate::default(),
            sampling_fraction: 1.0,
            sampling_fraction_ms: now,
            count: Count::default(),
        }
    }
}

impl ActiveRequest {
    /// A request just taken in.
    pub(crate) fn new(request: Request, tag: u64, now: f64, aim: f64, inside: bool) -> Self {
        ActiveRequest {
            tag,
            objective_at_ms: now + aim,
            deadline_ms: now + request.time_left_ms,
            attempts: Vec::new(),
            answered: false,
            closed: false,
            within_quota: inside,
            quota: QuotaState::Own,
            settled_units: 0.0,
            ample: false,
            request,
        }
    }
}

impl Peer {
    /// A peer that nothing was received from.
    pub(crate) fn unknown() -> Self {
        Peer { received_ms: f64::NEG_INFINITY, ..Peer::default() }
    }
}

impl Endpoint {
    /// An endpoint newly listed, with tokens for sends while cold.
    pub(crate) fn new(entry: &EndpointEntry, now: f64, cold_tokens: f64) -> Self {
        Endpoint {
            zone: entry.zone,
            kind: entry.kind,
            cell: entry.cell,
            state: entry.state,
            started_ms: entry.started_at_ms,
            in_flight: Vec::new(),
            relative_response_time: 1.0,
            answered_ms: now,
            observed_ms: now,
            last_response_ms: now,
            missed_responses: 0,
            consecutive_failures: 0,
            error_fraction: 0.0,
            ejected_until_ms: 0.0,
            send_rate: 0.0,
            send_rate_ms: now,
            warm_up_tokens: cold_tokens,
            warm_up_tokens_ms: now,
            scoped_ejections: BTreeMap::new(),
            class_failure_fraction: BTreeMap::new(),
        }
    }
}

/// One gateway's decisions: takes events in and answers with actions. Each part owns the state of one concern.
#[derive(Debug, Default)]
pub struct Gateway {
    pub(crate) settings: Settings,
    pub(crate) clock: EventClock,
    /// Tells this start of the gateway from earlier ones.
    pub(crate) incarnation: u32,
    pub(crate) random: u64,
    pub(crate) endpoints: EndpointTable,
    pub(crate) requests: RequestTable,
    pub(crate) customers: CustomerTable,
    pub(crate) queue: VirtualFinishQueue,
    pub(crate) band: InFlightBand,
    pub(crate) latency: LatencyModel,
    pub(crate) outliers: OutlierDetector,
    pub(crate) slow_start: SlowStart,
    pub(crate) retries: RetryBudget,
    pub(crate) peers: PeerTable,
    pub(crate) gossip: Gossip,
    pub(crate) quota_owner: QuotaOwner,
    pub(crate) quota_counter: QuotaCounter,
}

/// The time of the event being handled, and when the next round of upkeep is due.
#[derive(Debug, Default)]
pub(crate) struct EventClock {
    pub(crate) now_ms: f64,
    pub(crate) started_ms: f64,
    pub(crate) next_tick_ms: f64,
    /// The first round of upkeep has been asked for.
    pub(crate) ticking: bool,
}

/// The endpoints of the list.
#[derive(Debug, Default)]
pub(crate) struct EndpointTable {
    pub(crate) by_id: BTreeMap<EndpointId, Endpoint>,
    /// The endpoints by the short tag that messages name them by.
    pub(crate) by_tag: BTreeMap<u32, EndpointId>,
    /// The list is too old to send by.
    pub(crate) list_expired: bool,
}

/// Requests taken in that are not answered yet or have attempts in flight.
#[derive(Debug, Default)]
pub(crate) struct RequestTable {
    pub(crate) active: BTreeMap<RequestId, ActiveRequest>,
}

/// What is known of customers, by tag.
#[derive(Debug, Default)]
pub(crate) struct CustomerTable {
    pub(crate) by_tag: BTreeMap<u64, Customer>,
    /// Customers whose counts peers have not been sent yet.
    pub(crate) unreported: BTreeSet<u64>,
    /// When idle customers were last evicted.
    pub(crate) evicted_ms: f64,
}

/// Queued requests: one flow a customer, ordered by virtual finish time.
#[derive(Debug, Default)]
pub(crate) struct VirtualFinishQueue {
    pub(crate) flows: BTreeMap<u64, Flow>,
    pub(crate) len: usize,
    pub(crate) virtual_time: f64,
}

/// The in-flight stock band: its watermark, and whether it holds requests back.
#[derive(Debug, Default)]
pub(crate) struct InFlightBand {
    /// Attempts in flight for each ready endpoint at the band's middle.
    pub(crate) watermark: f64,
    /// Queued work could have gone but for the band, now and since the last step of the watermark.
    pub(crate) blocked: bool,
    pub(crate) was_blocked: bool,
    /// The endpoints have much of what the band lets them have.
    pub(crate) saturated: bool,
    pub(crate) stepped_ms: f64,
    /// Ready endpoints as the band counts them, when last looked at.
    pub(crate) ready_capacity: f64,
    /// Sends that this gateway's even part of the band has earned, and when it was last credited.
    pub(crate) dispatch_credit: f64,
    pub(crate) credited_ms: f64,
}

/// Learned response times.
#[derive(Debug, Default)]
pub(crate) struct LatencyModel {
    /// Smoothed response time in parts of the latency objective.
    pub(crate) objective_fraction: f64,
    /// Smoothed response time of each class.
    pub(crate) mean_by_class_ms: Vec<f64>,
    /// The commonest time left in each class, and how sure that is.
    pub(crate) time_budgets: Vec<(f64, i32)>,
    /// Age of own attempts in flight at an endpoint that is not among the slowest.
    pub(crate) typical_age_ms: f64,
    /// Relative response time by kind of machine.
    pub(crate) kind_baseline: BTreeMap<usize, f64>,
}

/// What is known of failures beyond single endpoints.
#[derive(Debug, Default)]
pub(crate) struct OutlierDetector {
    /// Most endpoints look ill, so the cause is not theirs.
    pub(crate) correlated_failure: bool,
    /// Answers of endpoints observed or received a second.
    pub(crate) observation_rate: DecayingRate,
}

/// What warm endpoints are sent, as the measure for those that warm up.
#[derive(Debug, Default)]
pub(crate) struct SlowStart {
    /// Own sends a second to a warm endpoint, by kind of machine.
    pub(crate) kind_send_rate: BTreeMap<usize, f64>,
}

/// Further attempts that may be made now.
#[derive(Debug, Default)]
pub(crate) struct RetryBudget {
    pub(crate) tokens: f64,
}

/// The other gateways, and the budget of messages to them.
#[derive(Debug, Default)]
pub(crate) struct PeerTable {
    pub(crate) by_index: BTreeMap<usize, Peer>,
    pub(crate) reported_ms: f64,
    /// Messages that may be sent now, so that no gateway gets more than it takes in.
    pub(crate) message_tokens: f64,
    /// Messages a second that others' quota requests and releases bring.
    pub(crate) received_rate: DecayingRate,
}

/// The fleet's means, as gossip has them, and what goes along with the next message.
#[derive(Debug, Default)]
pub(crate) struct Gossip {
    /// Mean stock of a gateway, and the same as received, smoothed.
    pub(crate) mean_stock: f64,
    pub(crate) received_stock: f64,
    /// Good answers of a gateway a second: own, the fleet's mean, and as received.
    pub(crate) answer_rate: DecayingRate,
    pub(crate) mean_answer_rate: f64,
    pub(crate) received_answer_rate: f64,
    pub(crate) measured_ms: f64,
    /// Own observations of endpoints, newest last.
    pub(crate) observations: VecDeque<Observation>,
}

/// Quota requests to owners that wait for a response, by number.
#[derive(Debug, Default)]
pub(crate) struct QuotaOwner {
    pub(crate) pending: BTreeMap<u32, RequestId>,
    pub(crate) next_number: u32,
}

/// Calls to the quota counter.
#[derive(Debug, Default)]
pub(crate) struct QuotaCounter {
    /// Part of the requests that the counter is asked about.
    pub(crate) sampling_fraction: f64,
    /// Customers with a call out, by the name of their count.
    pub(crate) calls: BTreeMap<u64, u64>,
}

/// Spreads a number's bits evenly.
pub(crate) fn mix(value: u64) -> u64 {
    let mut z = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// A customer's short name in messages.
pub(crate) fn customer_tag(id: CustomerId) -> u32 {
    short_tag(id.0)
}

/// The short name, of 24 bits, of anything with an id.
pub(crate) fn short_tag(id: u64) -> u32 {
    (mix(id) & 0xff_ffff) as u32
}
