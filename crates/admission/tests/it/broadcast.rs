//! Counts that gateways of a small fleet broadcast to each other, and what becomes of them on the way.
use crate::common::*;
use irishinge_admission::*;

/// What a gateway lets out of a bucket of 40 units after its peer has sent ten requests and broadcast its counts,
/// where the messages arrive as the deliveries say: `all`, `lossy`, `reversed`, or a text in place of a message.
fn admitted_after(deliveries: &[&str]) -> usize {
    let mut settings = broadcast_settings(Idempotency::Idempotent);
    settings.plans = vec![plan(0.001, 40.0)];
    let mut sender = SingleGateway::new(Settings { me: GatewayIndex(1), ..settings.clone() }, 60);
    let mut receiver = SingleGateway::new(settings, 60);
    sender.advance(1100.0);
    receiver.advance(1100.0);
    let mut bodies = Vec::new();
    for _ in 0..10 {
        sender.submit();
        bodies.extend(peer_messages(&sender.advance(60.0)));
    }
    receiver.now_ms = sender.now_ms;
    for delivery in deliveries {
        match *delivery {
            "all" => bodies.iter().for_each(|b| receiver.receive(b)),
            "lossy" => bodies.iter().step_by(3).chain(bodies.last()).for_each(|b| receiver.receive(b)),
            "reversed" => bodies.iter().rev().for_each(|b| receiver.receive(b)),
            other => receiver.receive(other),
        }
    }
    receiver.admitted_at_once()
}

#[test]
fn counts_of_a_peer_drain_the_bucket_whether_lost_doubled_or_reversed() {
    assert_eq!(admitted_after(&[]), 40);
    // Tokens are reported in 63rds of the burst, rounded down: one unit of 40 may be lost in the report.
    for deliveries in
        [vec!["all"], vec!["lossy"], vec!["all", "all"], vec!["reversed"], vec!["all", "reversed"]]
    {
        let admitted = admitted_after(&deliveries);
        assert!((29..=30).contains(&admitted), "{deliveries:?}: {admitted}");
    }
}

#[test]
fn ignores_malformed_messages() {
    let malformed = ["", "h", "h001", "x0010010_0W", "h001010_0Wq00", "h001010_0W\u{e9}", "h001010_0Wz"];
    assert_eq!(admitted_after(&malformed), 40);
}
