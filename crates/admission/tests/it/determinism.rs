//! Equal events lead to equal actions, and in random orders of events no request is rejected or failed twice,
//! or sent after it was rejected or failed.
use crate::common::*;
use irishinge_admission::*;
use std::collections::{BTreeMap, BTreeSet};

/// The state of a linear congruential generator, at first the seed, which determines a run.
struct LinearCongruentialGenerator(u64);

impl LinearCongruentialGenerator {
    /// Returns a random number from 0 to `limit` - 1.
    fn below(&mut self, limit: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % limit
    }

    /// Returns one of the values at random.
    fn one_of<T: Copy>(&mut self, values: &[T]) -> T {
        values[self.below(values.len() as u64) as usize]
    }
}

/// Outcomes of random attempts. On average a third of the attempts succeed.
const OUTCOMES: [Outcome; 6] =
    [Outcome::Ok, Outcome::Ok, Outcome::Overloaded, Outcome::Reset, Outcome::TimedOut, Outcome::Cancelled];

/// States in random list entries. On average half of the entries are ready.
const STATES: [EndpointState; 4] =
    [EndpointState::Ready, EndpointState::Ready, EndpointState::Draining, EndpointState::Gone];

/// An attempt in flight, and its number among those of its request.
struct InFlight {
    sent: SentAttempt,
    number: u32,
}

/// Sends the gateway a random event and returns its actions: a new request, the end of an attempt, a
/// change of the endpoint list, a counts message, or a timer.
fn random_event(
    gateway: &mut SingleGateway,
    random: &mut LinearCongruentialGenerator,
    in_flight: &mut Vec<InFlight>,
) -> Vec<Action> {
    match random.below(10) {
        0..=3 => {
            gateway.customer = random.below(500);
            gateway.submit_with(|r| r.time_left_ms = 5.0 + (r.id.0 * 37 % 3000) as f64).actions
        }
        4..=6 if !in_flight.is_empty() => {
            let ended = in_flight.swap_remove(random.below(in_flight.len() as u64) as usize);
            let outcome = random.one_of(&OUTCOMES);
            gateway.end_attempt(ended.sent, ended.number, outcome, random.below(900) as f64)
        }
        7 => {
            let state = random.one_of(&STATES);
            let started_at_ms = if random.below(2) == 0 { None } else { Some(gateway.now_ms) };
            let id = random.below(8);
            let entry = EndpointEntry { state, started_at_ms, ..endpoint_in_zone_by_parity(id) };
            gateway.update_endpoints(vec![entry])
        }
        8 => gateway.handle_event(Event::PeerMessage {
            // The gateway itself, its peer, or one of two gateways that the fleet does not have.
            from: GatewayIndex(random.below(4) as usize),
            // A counts message with a random incarnation and sequence number, no attempts in flight and a
            // watermark of 2.
            body: format!("h00{}0{}000W", random.below(9), random.below(9)),
        }),
        _ => gateway.handle_event(Event::Timer { token: 0 }),
    }
}

/// Sends a gateway 6000 random events and returns all its actions.
fn actions_of_random_events(seed: u64) -> Vec<Action> {
    let mut random = LinearCongruentialGenerator(seed);
    let idempotency = Idempotency::IdempotencyKey { group: DedupGroup::Zone, window_ms: 2000.0 };
    let mut gateway = SingleGateway::new(broadcast_settings(idempotency), 6);
    let mut all = Vec::new();
    let mut in_flight = Vec::new();
    let mut attempts = BTreeMap::new();
    for _ in 0..6000 {
        gateway.now_ms += random.below(8) as f64;
        let actions = random_event(&mut gateway, &mut random, &mut in_flight);
        for sent in sent_attempts(&actions) {
            let number = attempts.entry(sent.request).or_insert(0u32);
            in_flight.push(InFlight { sent, number: *number });
            *number += 1;
        }
        all.extend(actions);
    }
    all.extend(gateway.advance(4000.0));
    all
}

/// Requests, ends of attempts, list changes and messages come in random order. If an action depended on
/// anything but the events and the seed, such as the order of a hash table, a decision seen in production
/// could not be reproduced. If some order of events led to two final responses, or to an attempt after the
/// final response, a client would get two responses or an endpoint would work for nobody. Two runs give
/// equal actions, each request is rejected or failed at most once, and nothing is sent for it afterwards.
/// Successful responses, which the host program passes on, are not counted.
#[test]
fn random_events_give_equal_actions_and_one_rejection_or_failure_at_most() {
    for seed in 0..4 {
        let actions = actions_of_random_events(seed);
        assert_eq!(actions, actions_of_random_events(seed));
        let mut rejected_or_failed = BTreeSet::new();
        for action in &actions {
            match action {
                Action::Reject { request, .. } | Action::Fail { request } => {
                    assert!(rejected_or_failed.insert(*request), "{request:?} rejected or failed twice");
                }
                Action::Send { request, timeout_ms, .. } => {
                    assert!(
                        !rejected_or_failed.contains(request),
                        "{request:?} sent after it was rejected or failed"
                    );
                    assert!(*timeout_ms > 0.0);
                }
                Action::SendPeerMessage { body, .. } => assert!(body.len() <= 256),
                _ => {}
            }
        }
        assert!(rejected_or_failed.len() > 100);
    }
}
