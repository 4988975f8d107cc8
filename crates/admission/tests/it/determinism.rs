//! The same events give the same actions, and no order of events gives a request two final answers.
use crate::common::*;
use irishinge_admission::*;
use std::collections::{BTreeMap, BTreeSet};

/// A linear congruential generator, so that a seed determines a run.
struct RandomNumbers(u64);

impl RandomNumbers {
    fn below(&mut self, limit: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % limit
    }

    fn one_of<T: Copy>(&mut self, values: &[T]) -> T {
        values[self.below(values.len() as u64) as usize]
    }
}

const OUTCOMES: [Outcome; 6] =
    [Outcome::Ok, Outcome::Ok, Outcome::Overloaded, Outcome::Reset, Outcome::TimedOut, Outcome::Cancelled];

const STATES: [EndpointState; 4] =
    [EndpointState::Ready, EndpointState::Ready, EndpointState::Draining, EndpointState::Gone];

/// An attempt in flight, and its number.
struct InFlight {
    sent: SentAttempt,
    number: u32,
}

fn random_event(
    gateway: &mut SingleGateway,
    random: &mut RandomNumbers,
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
            from: GatewayIndex(random.below(4) as usize),
            body: format!("h00{}0{}000W", random.below(9), random.below(9)),
        }),
        _ => gateway.handle_event(Event::Timer { token: 0 }),
    }
}

/// Plays 6000 random events and returns all actions.
fn actions_of_random_events(seed: u64) -> Vec<Action> {
    let mut random = RandomNumbers(seed);
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

/// Requests, ends of attempts, changes of the list and messages come in random order. If an action depended
/// on anything but events and seed, such as the order of a hash table, a decision seen in production could
/// not be reproduced. If some order of events led to two final answers, or to an attempt after the answer, a
/// client would be answered twice or an endpoint would work for nobody. The same events give the same actions
/// twice, each request has one final answer at most, and nothing is sent after it.
#[test]
fn random_events_give_the_same_actions_twice_and_one_final_answer_at_most() {
    for seed in 0..4 {
        let actions = actions_of_random_events(seed);
        assert_eq!(actions, actions_of_random_events(seed));
        let mut answered = BTreeSet::new();
        for action in &actions {
            match action {
                Action::Reject { request, .. } | Action::Fail { request } => {
                    assert!(answered.insert(*request), "{request:?} answered twice");
                }
                Action::Send { request, timeout_ms, .. } => {
                    assert!(!answered.contains(request), "{request:?} sent after its answer");
                    assert!(*timeout_ms > 0.0);
                }
                Action::SendPeerMessage { body, .. } => assert!(body.len() <= 256),
                _ => {}
            }
        }
        assert!(answered.len() > 100);
    }
}
