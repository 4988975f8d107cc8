//! Counts that the gateways of a small fleet broadcast to each other, with lost, repeated and malformed
//! messages.
use crate::common::*;
use irishinge_admission::*;

/// Returns how many requests a gateway sends at once from a bucket of 40 units, after its peer has sent
/// ten requests and the peer's messages were delivered. Each delivery is `all`, all messages in order;
/// `lossy`, every third message and the last; `reversed`, all messages in reverse order; or the text of a
/// message to deliver instead.
fn admitted_after_deliveries(deliveries: &[&str]) -> usize {
    let mut settings = broadcast_settings(Idempotency::Idempotent);
    settings.plans = vec![plan(0.001, 40.0)];
    let mut sender = SingleGateway::new(Settings { this_gateway: GatewayIndex(1), ..settings.clone() }, 60);
    let mut receiver = SingleGateway::new(settings, 60);
    // For its first second a gateway withholds a part of each burst.
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
    receiver.submit_60_and_count_sent()
}

/// A peer has sent ten requests of a customer, and its counts arrive complete, with losses, twice, or in
/// reverse order. Guards against a lost message that lets the customer spend the same ten units again here,
/// and against a repeated message that takes units which the customer never used. Counts are totals with
/// sequence numbers, so that ten of 40 units are gone in every case.
#[test]
fn peer_counts_apply_once_despite_loss_duplication_and_reordering() {
    assert_eq!(admitted_after_deliveries(&[]), 40);
    // A count carries the tokens in 63rds of the burst, rounded down: one unit of 40 may be lost.
    for deliveries in
        [vec!["all"], vec!["lossy"], vec!["all", "all"], vec!["reversed"], vec!["all", "reversed"]]
    {
        let admitted = admitted_after_deliveries(&deliveries);
        assert!((29..=30).contains(&admitted), "{deliveries:?}: {admitted}");
    }
}

/// Guards against datagrams that are empty, cut short, of another version, or not ASCII. If they were
/// decoded in part, they would take units that nobody used; without checks they would end the process.
/// They have no effect: the bucket still has its 40 units.
#[test]
fn ignores_malformed_messages() {
    let malformed = [
        "",
        // The head ends early.
        "h",
        "h001",
        // Another version.
        "x0010010_0W",
        // A complete head and a count that ends early.
        "h001010_0Wq00",
        // A complete head and a character that is not ASCII.
        "h001010_0W\u{e9}",
        // A complete head and an unknown marker.
        "h001010_0Wz",
    ];
    assert_eq!(admitted_after_deliveries(&malformed), 40);
}
