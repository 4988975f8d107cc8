//! Quotas in a large fleet: one of the gateways that a customer's requests come through owns its quota, and
//! the others ask it.
use crate::gateway::Gateway;
use crate::id::{CustomerTag, GatewayIndex, RequestId};
use crate::messages::quota_message::{QuotaVerdict, SamplingFraction};
use crate::policy::attempt_timeout::ATTEMPT_TIMEOUT_OBJECTIVES;
use crate::policy::coordination::PEER_MESSAGE_FRACTION;
use crate::policy::quota_counter::AMPLE_FRACTION;
use crate::settings::{PlanSettings, Settings};
use crate::state::{ActiveRequest, Customer, GatewaySet, QuotaExpectation, QuotaRoute, QuotaState};

/// How long a gateway waits for an owner's response: this fraction of the shortest latency objective, and
/// this time at least.
const RESPONSE_WAIT_FRACTION: f64 = 0.1;
const MIN_RESPONSE_WAIT_MS: f64 = 60.0;

/// After this many missed responses in a row a gateway is suspected to be down. It is then sent no quota
/// requests for this time.
pub(crate) const SUSPECT_MISSED_RESPONSES: u32 = 2;
pub(crate) const SUSPECT_MS: f64 = 2500.0;

/// A quota request is sent again at most this often, and only while more than this fraction of the message
/// tokens is left.
const MAX_QUOTA_RETRIES: u32 = 3;
const RETRY_TOKENS_FRACTION: f64 = 0.5;

/// Fractions of the messages a gateway takes in that others' quota requests and the responses to its own may
/// use together, and that its own may use at least.
const QUOTA_MESSAGE_FRACTION: f64 = 0.9;
const MIN_QUOTA_MESSAGE_FRACTION: f64 = 0.2;

/// Message tokens for quota requests that a gateway starts with.
pub(crate) const INITIAL_QUOTA_MESSAGES: f64 = 10.0;

/// Fraction of a ceiling that the quota's owner holds. The next in the ranking, which takes over when the
/// owner is silent, holds the rest.
const OWNER_CEILING_FRACTION: f64 = 0.6;

/// Where the owner receives more requests than it grants, it wants to be asked about this multiple of what it
/// grants.
const SAMPLING_HEADROOM: f64 = 1.5;

/// The owner wants to be asked about this fraction of the requests at least. A fraction that it gave loses
/// weight over this time; then the other gateways ask about all requests again.
const MIN_SAMPLING_FRACTION: f64 = 0.05;
pub(crate) const SAMPLING_TTL_MS: f64 = 3000.0;

/// Span over which an owner smooths what is requested and granted.
pub(crate) const QUOTA_RATE_SPAN_S: f64 = 1.5;

/// Mean response times that must be left once a request is granted: a later grant is of no use.
const RESERVED_RESPONSE_TIMES: f64 = 0.8;

/// Requests that may wait at the owner for each slot of the plan.
const MAX_WAITING_PER_SLOT: usize = 4;

impl Gateway {
    /// Until when a grant is of use to a request.
    pub(crate) fn grant_useful_until_ms(&self, active: &ActiveRequest) -> f64 {
        let reserved_ms = RESERVED_RESPONSE_TIMES * self.latency.response_ms(active.request.class);
        active.objective_at_ms.min(active.deadline_ms) - reserved_ms
    }

    /// Whether the owner is asked about a request. Where it wants to be asked about some only, the others are
    /// most likely over the quota.
    pub(crate) fn quota_route(
        &mut self,
        owner: GatewayIndex,
        tries: u32,
        sampling: SamplingFraction,
    ) -> QuotaRoute {
        let sampled = self.random.next_fraction() <= sampling.fraction();
        let message_tokens = self.coordination.gossip().map_or(0.0, |gossip| gossip.message_tokens());
        if owner == self.settings.me {
            QuotaRoute::AskOwner
        } else if tries == 0 && !sampled {
            QuotaRoute::DecideAlone(QuotaExpectation::Over)
        } else if message_tokens < 1.0 {
            QuotaRoute::DecideAlone(QuotaExpectation::within_if(sampling == SamplingFraction::ALL))
        } else {
            QuotaRoute::AskOwner
        }
    }

    /// Decides on a request whose quota's owner can't be asked, or does not respond. Most customers are well
    /// inside their quota, so while the band has room this gateway's own bucket decides. It does not where
    /// the owner lately granted less than was requested, and never under a ceiling.
    pub(crate) fn decide_without_owner(&mut self, id: RequestId, expected: QuotaExpectation) {
        let room = self.band_is_ungated();
        let Some(active) = self.requests.get_mut(id) else { return };
        let no_ceiling = self.settings.plan(active.request.plan).ceiling_rate_per_second <= 0.0;
        let within_quota = expected == QuotaExpectation::Within && room && no_ceiling;
        let over_quota = QuotaState::OverQuota { within_ceiling: false };
        active.set_quota(if within_quota { QuotaState::LocalBucket { within_quota } } else { over_quota });
    }

    /// How long a grant counts beyond the time that its request may wait: as long as an attempt may take.
    pub(crate) fn grant_lifetime_ms(&self) -> f64 {
        ATTEMPT_TIMEOUT_OBJECTIVES * self.settings.longest_objective_ms()
    }

    /// This gateway's fraction of a customer's ceiling. With an owner, only it and the next in the ranking
    /// have one, since they decide; else all gateways have the same.
    pub(crate) fn ceiling_fraction(&self, tag: CustomerTag, gateways: &GatewaySet) -> f64 {
        if self.coordination.gossip().is_none() || gateways.len() == 1 {
            return 1.0 / gateways.len() as f64;
        }
        match gateways.ranking_position(tag, self.settings.me) {
            0 => OWNER_CEILING_FRACTION,
            1 => 1.0 - OWNER_CEILING_FRACTION,
            _ => 0.0,
        }
    }
}

/// Messages a second that own quota requests may use: what others' messages and the responses leave free.
pub(crate) fn quota_messages_per_second(settings: &Settings, received_per_second: f64) -> f64 {
    let capacity = settings.peer_messages_per_second;
    let free = QUOTA_MESSAGE_FRACTION * capacity - received_per_second;
    free.max(MIN_QUOTA_MESSAGE_FRACTION * capacity)
}

/// Quota requests that may be saved up: as many messages as a gateway's peers may send it in a second.
pub(crate) fn max_quota_messages(settings: &Settings) -> f64 {
    PEER_MESSAGE_FRACTION * settings.peer_messages_per_second
}

/// How long an owner may take to respond.
pub(crate) fn response_wait_ms(settings: &Settings) -> f64 {
    (RESPONSE_WAIT_FRACTION * settings.shortest_objective_ms()).max(MIN_RESPONSE_WAIT_MS)
}

/// Whether a quota request that has been sent again `tries` times without a response is sent once more.
pub(crate) fn may_retry_quota_request(settings: &Settings, tries: u32, message_tokens: f64) -> bool {
    tries < MAX_QUOTA_RETRIES && message_tokens > RETRY_TOKENS_FRACTION * max_quota_messages(settings)
}

/// What the owner decides on a new quota request, by ceiling, quota and slots.
pub(crate) fn verdict(customer: &Customer, plan: &PlanSettings, units: f64) -> QuotaVerdict {
    if plan.ceiling_rate_per_second > 0.0 && customer.ceiling_tokens() < units {
        return QuotaVerdict::OverQuota;
    }
    if plan.rate_per_second > 0.0 && customer.quota_tokens() < units {
        return if plan.pays_over_quota() { QuotaVerdict::OverQuotaAllowed } else { QuotaVerdict::OverQuota };
    }
    if plan.open_limit == 0 || has_free_slot(customer, plan) {
        return QuotaVerdict::Granted;
    }
    let may_wait = customer.grants.waiting() < MAX_WAITING_PER_SLOT * plan.open_limit as usize;
    if may_wait {
        QuotaVerdict::Queued
    } else {
        QuotaVerdict::OverQuota
    }
}

/// Whether a customer of a plan with an open limit has fewer requests granted than that.
pub(crate) fn has_free_slot(customer: &Customer, plan: &PlanSettings) -> bool {
    customer.grants.active() < plan.open_limit as usize
}

/// Whether a customer's quota is so full that the true units of what is granted need not be reported.
pub(crate) fn quota_is_ample(customer: &Customer, plan: &PlanSettings) -> bool {
    let ample_units = AMPLE_FRACTION * plan.burst_units;
    plan.rate_per_second > 0.0 && plan.open_limit == 0 && customer.quota_tokens() > ample_units
}

/// The fraction of requests that the owner wants to be asked about.
pub(crate) fn wanted_sampling_fraction(customer: &Customer, plan: &PlanSettings, now_ms: f64) -> f64 {
    let requested = customer.grants.requested_per_second(now_ms, QUOTA_RATE_SPAN_S);
    let granted = customer.grants.granted_per_second(now_ms, QUOTA_RATE_SPAN_S);
    let wanted = SAMPLING_HEADROOM * granted.max(plan.rate_per_second);
    (wanted / requested).clamp(MIN_SAMPLING_FRACTION, 1.0)
}
