//! Handles events by calling the methods that each event concerns, in a fixed order. Nothing is decided here.
use crate::action::Action;
use crate::event::Event;
use crate::gateway::Gateway;
use crate::id::GatewayIndex;
use crate::policy::upkeep::UPKEEP_INTERVAL_MS;
use crate::state::FleetMode;

impl Gateway {
    /// Handles one event and appends the actions that follow to `actions`, in the order in which they are to
    /// be executed. If `now_ms` is earlier than the last event's time, the event is treated as having the
    /// last event's time.
    pub fn on_event(&mut self, now_ms: f64, event: Event, actions: &mut Vec<Action>) {
        self.clock.advance(now_ms);
        if self.clock.start_upkeep() {
            self.schedule_upkeep(UPKEEP_INTERVAL_MS, actions);
        }
        self.handle(event, actions);
        self.dispatch(actions);
        // A gateway of a large fleet without active requests schedules upkeep further ahead than this. Its
        // first request brings the next round forward. The timer that was set before still fires, but starts
        // no round that isn't due.
        if !self.requests.is_empty() && self.clock.next_upkeep_is_beyond(UPKEEP_INTERVAL_MS) {
            self.schedule_upkeep(UPKEEP_INTERVAL_MS, actions);
        }
    }

    /// Passes an event to the method that handles it.
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
            Event::ClientDisconnected { request } => self.close(request, actions),
            Event::PeerMessage { from, body } => self.on_peer_message(from, &body, actions),
            Event::CounterReply { name, outcome } => self.on_counter_reply(name, outcome, actions),
        }
    }

    /// Handles a peer's message: counts in broadcast mode, gossip in the three other modes, of which only
    /// gossip mode expects messages.
    fn on_peer_message(&mut self, from: GatewayIndex, body: &str, actions: &mut Vec<Action>) {
        match self.coordination.fleet_mode() {
            FleetMode::Broadcast => self.on_counts_message(from, body),
            FleetMode::LargeFleet => self.on_gossip_message(from, body, actions),
        }
    }

    /// Runs a round of upkeep. In broadcast mode every timer starts one. In a large fleet a timer that fires
    /// before the next round is due starts none.
    fn on_timer(&mut self, actions: &mut Vec<Action>) {
        match self.coordination.fleet_mode() {
            FleetMode::Broadcast => self.upkeep_in_broadcast_mode(actions),
            FleetMode::LargeFleet if self.upkeep_is_due() => self.upkeep_in_large_fleet(actions),
            FleetMode::LargeFleet => {}
        }
    }

    /// Schedules the next round of upkeep.
    fn schedule_upkeep(&mut self, after_ms: f64, actions: &mut Vec<Action>) {
        let at_ms = self.clock.schedule_upkeep(after_ms);
        actions.push(Action::SetTimer { at_ms, token: 0 });
    }

    /// Runs a round of upkeep in broadcast mode: all work that depends on time alone.
    fn upkeep_in_broadcast_mode(&mut self, actions: &mut Vec<Action>) {
        self.schedule_upkeep(self.upkeep_interval_ms(), actions);
        self.update_typical_attempt_age();
        self.detect_correlated_failure();
        self.refill_warm_up_tokens();
        self.measure_load();
        self.finish_overdue_requests(actions);
        self.act_on_stalled_attempts(actions);
        self.step_watermark();
        self.broadcast_counts_if_due(actions);
        self.evict_idle_customers_if_due();
    }

    /// Runs a round of upkeep in a large fleet. Work that visits all endpoints is done less often there,
    /// because it costs more.
    fn upkeep_in_large_fleet(&mut self, actions: &mut Vec<Action>) {
        self.schedule_upkeep(self.upkeep_interval_ms(), actions);
        if self.review_is_due() {
            self.detect_correlated_failure();
            self.refill_warm_up_tokens();
        }
        self.measure_load();
        self.finish_overdue_requests(actions);
        self.act_on_stalled_attempts(actions);
        if self.review_is_due() {
            self.update_means();
        }
        let seconds = self.band.begin_refill(self.clock.now_ms());
        self.refill_dispatch_credit(seconds);
        self.refill_message_tokens(seconds);
        self.resend_quota_requests(actions);
        self.step_watermark();
        self.evict_idle_customers_if_due();
    }

    /// Evicts idle customers if an eviction is due.
    fn evict_idle_customers_if_due(&mut self) {
        if self.eviction_is_due() {
            self.evict_idle_customers();
        }
    }
}
