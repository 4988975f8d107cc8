//! Counts that gateways of a small fleet broadcast to each other, and what becomes of them on the way.
use crate::common::*;
use irishinge_admission::*;

/// How many requests a gateway sends from a bucket of 40 units after its peer has sent ten requests and broadcast its
/// counts, where the messages arrive as the deliveries say: `all`, `lossy`, `reversed`, or a text in place of a message.
fn admitted_after(deliveries: &[&str]) -> usize {
    let mut settings = broadcast_settings(Idempotency::Idempotent);
    settings.plans = vec![plan(0.001, 40.0)];
    let mut sender = SingleGateway::new(Settings { this_gateway: GatewayIndex(1), ..settings.clone() }, 60);
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

/// A peer has sent ten requests of a customer, and its reports of that arrive complete, with losses, twice,
/// or in reverse order. If a lost report stayed lost, the customer could use the same ten units again here;
/// if a report counted each time it arrives, the customer would lose units that it never used. Reports carry
/// totals and sequence numbers, so that ten of 40 units are gone in every case.
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

/// Datagrams arrive that are empty, cut short, of another version, or not ASCII. Parsed in part, they would
/// take units that nobody used; parsed without checks, they would end the process. They change nothing: the
/// bucket still has its 40 units.
#[test]
fn ignores_malformed_messages() {
    let malformed = ["", "h", "h001", "x0010010_0W", "h001010_0Wq00", "h001010_0W\u{e9}", "h001010_0Wz"];
    assert_eq!(admitted_after(&malformed), 40);
}
