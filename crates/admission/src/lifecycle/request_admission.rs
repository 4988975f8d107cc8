//! Admits new requests: gathers the inputs of the admission rules and applies their decisions.
use crate::action::Action;
use crate::gateway::Gateway;
use crate::id::RequestId;
use crate::policy::admission::local_bucket::{check_local_bucket, withheld_burst_units, LocalBucketInput};
use crate::policy::admission::new_request::{
    admit_in_broadcast_mode, admit_in_large_fleet, lacks_only_ceiling_units, queue_or_reject,
    reject_if_too_late, reject_without_record, Admission, BroadcastAdmissionInput, LargeFleetAdmissionInput,
};
use crate::policy::queue::flow_weight::{
    flow_weight, request_size_in_broadcast_mode, request_size_in_large_fleet,
};
use crate::settings::PlanSettings;
use crate::state::{FleetMode, GatewaySet, LocalBucketCheck, QuotaState};

impl Gateway {
    /// Admits a request in broadcast mode: it is sent at once, queued or rejected.
    pub(crate) fn admit_in_broadcast_mode(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(active) = self.requests.get(id) else { return };
        let key = active.customer_key;
        let times = self.request_times(active);
        // Comes before the quota check, which creates the customer's record: one client that names ever new
        // customers, whose requests are all rejected here, would fill the memory with records.
        if let Some(rejection) = reject_if_too_late(&times, self.settings.max_retry_after_ms) {
            self.apply_admission(id, rejection, actions);
            return;
        }
        if !self.has_room_for_customer(key) {
            let rejection = reject_without_record(self.settings.max_retry_after_ms);
            self.apply_admission(id, rejection, actions);
            return;
        }
        let Some(quota) = self.local_bucket_check(id) else { return };
        let Some(limits) = self.customer_limits(id) else { return };
        let input = BroadcastAdmissionInput {
            quota,
            limits,
            band: self.band_position(id),
            queue_is_blocked: self.band.has_waiting_request(),
            queued_requests: self.queue.len(),
        };
        if lacks_only_ceiling_units(&input) {
            self.schedule_ceiling_request(key);
        }
        let is_applied = self.apply_admission(id, admit_in_broadcast_mode(&input), actions);
        if !is_applied {
            self.apply_admission(id, queue_or_reject(&input), actions);
        }
    }

    /// Admits a request in a large fleet: it is queued until its quota is checked, or rejected.
    pub(crate) fn admit_in_large_fleet(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(active) = self.requests.get(id) else { return };
        let input = LargeFleetAdmissionInput {
            times: self.request_times(active),
            queued_requests: self.queue.len(),
            max_retry_after_ms: self.settings.max_retry_after_ms,
        };
        let key = active.customer_key;
        let mut admission = admit_in_large_fleet(&input);
        if admission == Admission::Queue && !self.has_room_for_customer(key) {
            admission = reject_without_record(self.settings.max_retry_after_ms);
        }
        self.apply_admission(id, admission, actions);
        if admission == Admission::Queue {
            self.check_quota(id, actions);
        }
    }

    /// Applies an admission decision. Returns `false` if the request is to be sent but no endpoint is found
    /// for it.
    fn apply_admission(&mut self, id: RequestId, admission: Admission, actions: &mut Vec<Action>) -> bool {
        match admission {
            Admission::Send => {
                let Some(endpoint) = self.select_endpoint(id) else { return false };
                self.send(id, endpoint, actions);
            }
            Admission::Queue => self.enqueue(id),
            Admission::Reject { retry_after_ms } => self.finish(id, retry_after_ms, actions),
        }
        true
    }

    /// Adds a request to the end of its customer's flow.
    fn enqueue(&mut self, id: RequestId) {
        let Some(active) = self.requests.get(id) else { return };
        let units = active.request.units;
        let size = match self.coordination.fleet_mode() {
            FleetMode::Broadcast => request_size_in_broadcast_mode(units),
            FleetMode::LargeFleet => {
                let priority_weight = self.settings.class(active.request.class).priority_weight;
                request_size_in_large_fleet(units, priority_weight)
            }
        };
        let weight = self.flow_weight(self.settings.plan(active.request.plan));
        self.queue.enqueue(active.customer_key, id, size, weight);
    }

    /// Returns the weight of a plan's flows in the queue, in units per second.
    pub(crate) fn flow_weight(&self, plan: &PlanSettings) -> f64 {
        flow_weight(plan, self.latency.mean_response_ms())
    }

    /// Checks a new request against its customer's token bucket at this gateway, and records the result with
    /// the request. Returns `None` if there is no such request.
    fn local_bucket_check(&mut self, id: RequestId) -> Option<LocalBucketCheck> {
        let active = self.requests.get(id)?;
        let (key, plan_index, units) = (active.customer_key, active.request.plan, active.request.units);
        let gateways = GatewaySet::of_request(&active.request, self.settings.gateways);
        let customer = self.record_customer_request(key, plan_index, gateways);
        let (quota_tokens, ceiling_tokens) = (customer.quota_tokens(), customer.ceiling_tokens());
        let plan = self.settings.plan(plan_index);
        let check = check_local_bucket(&LocalBucketInput {
            plan,
            units,
            quota_tokens,
            ceiling_tokens,
            // In broadcast mode, the only one that gets here, the size of a queued request is its units.
            queued_units: self.queue.queued_size(key),
            withheld_units: withheld_burst_units(
                plan.burst_units,
                gateways.len(),
                self.clock.since_start_ms(),
            ),
        });
        self.requests
            .get_mut(id)?
            .set_quota_state(QuotaState::LocalBucket { within_quota: check.is_within_quota });
        Some(check)
    }
}
