//! What a gateway does with an event: it calls the parts in order, and decides nothing itself.
use crate::action::Action;
use crate::event::Event;
use crate::gateway::Gateway;
use crate::id::GatewayIndex;
use crate::policy::upkeep::UPKEEP_INTERVAL_MS;
use crate::state::FleetMode;

impl Gateway {
    /// Takes one event in and adds what is to be done, in this order, to `actions`. Times must not fall from
    /// event to event; an earlier one counts as the last.
    pub fn on_event(&mut self, now_ms: f64, event: Event, actions: &mut Vec<Action>) {
        self.clock.advance(now_ms);
        if self.clock.start_ticking() {
            self.schedule_tick(UPKEEP_INTERVAL_MS, actions);
        }
        self.handle(event, actions);
        self.dispatch(actions);
        if !self.requests.is_empty() && self.clock.next_tick_is_beyond(UPKEEP_INTERVAL_MS) {
            self.schedule_tick(UPKEEP_INTERVAL_MS, actions);
        }
    }

    /// Gives an event to the part that it concerns.
    fn handle(&mut self, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::EndpointList { kind, entries } => {
                self.endpoints.apply_list(kind, entries, self.clock.now_ms(), &mut self.random);
            }
            Event::EndpointListExpired => self.endpoints.expire_list(),
            Event::TimeAdvanced => {}
            Event::Request(request) => self.on_request(request, actions),
            Event::Timer { .. } => self.on_timer(actions),
            Event::AttemptEnded(end) => self.on_attempt_end(&end, actions),
            Event::ClientGone { request } => self.close(request, actions),
            Event::PeerMessage { from, body } => self.on_peer_message(from, &body, actions),
            Event::CounterReply { name, outcome } => self.on_counter_reply(name, outcome, actions),
        }
    }

    /// Passes a peer's message to the mode that it belongs to.
    fn on_peer_message(&mut self, from: GatewayIndex, body: &str, actions: &mut Vec<Action>) {
        match self.coordination.fleet_mode() {
            FleetMode::Broadcast => self.on_counts_message(from, body),
            FleetMode::LargeFleet => self.on_gossip_message(from, body, actions),
        }
    }

    /// Runs a round of upkeep. In broadcast mode every timer does; in a large fleet one that is early does
    /// not.
    fn on_timer(&mut self, actions: &mut Vec<Action>) {
        match self.coordination.fleet_mode() {
            FleetMode::Broadcast => self.upkeep_in_broadcast_mode(actions),
            FleetMode::LargeFleet if self.upkeep_is_due() => self.upkeep_in_large_fleet(actions),
            FleetMode::LargeFleet => {}
        }
    }

    /// Schedules the next round of upkeep.
    fn schedule_tick(&mut self, after_ms: f64, actions: &mut Vec<Action>) {
        let at_ms = self.clock.schedule_tick(after_ms);
        actions.push(Action::SetTimer { at_ms, token: 0 });
    }

    /// A round of upkeep in broadcast mode: what time alone brings about.
    fn upkeep_in_broadcast_mode(&mut self, actions: &mut Vec<Action>) {
        self.schedule_tick(self.upkeep_interval_ms(), actions);
        self.update_typical_age();
        self.detect_correlated_failure();
        self.refill_warm_up_tokens();
        self.measure_saturation();
        self.finish_overdue_requests(actions);
        self.act_on_stalled_attempts(actions);
        self.step_watermark();
        self.broadcast_counts_if_due(actions);
        self.evict_idle_customers_if_due();
    }

    /// A round of upkeep in a large fleet. Looks at all endpoints are rarer there, since each costs more.
    fn upkeep_in_large_fleet(&mut self, actions: &mut Vec<Action>) {
        self.schedule_tick(self.upkeep_interval_ms(), actions);
        if self.review_is_due() {
            self.detect_correlated_failure();
        }
        self.measure_saturation();
        self.finish_overdue_requests(actions);
        self.act_on_stalled_attempts(actions);
        if self.review_is_due() {
            self.update_means();
        }
        let seconds = self.band.begin_refill(self.clock.now_ms());
        self.refill_dispatch_credit(seconds);
        self.refill_message_tokens(seconds);
        self.retry_quota_requests(actions);
        self.step_watermark();
        self.evict_idle_customers_if_due();
    }

    /// Forgets idle customers from time to time.
    fn evict_idle_customers_if_due(&mut self) {
        if self.eviction_is_due() {
            self.evict_idle_customers();
        }
    }
}
