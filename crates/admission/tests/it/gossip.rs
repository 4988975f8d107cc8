//! Messages of a gossip fleet: their volume, and what malformed ones may do.
use crate::common::*;
use irishinge_admission::*;

/// If a request had to be reported to every gateway, a fleet of ten times as many would send ten times the
/// bytes for each, and exceed the messages that a gateway accepts. From 40 gateways to 400 the bytes for a
/// request hardly grow.
#[test]
fn message_bytes_for_each_request_do_not_grow_with_the_fleet() {
    let bytes_per_request = |gateways: usize| {
        let mut fleet = gossip_fleet(gateways, plan(10.0, 40.0));
        let before = fleet.message_bytes;
        for step in 0..400 {
            fleet.submit(step * 17 % gateways, |r| r.customer = CustomerId(step as u64 % 50 + (5 << 40)));
            fleet.advance(10.0);
        }
        (fleet.message_bytes - before) as f64 / 400.0
    };
    let (small, large) = (bytes_per_request(40), bytes_per_request(400));
    assert!(small < 150.0 && large < 1.2 * small + 10.0, "{small} {large}");
}

/// Every gateway receives messages that are cut short, of another kind, from senders that do not exist, with
/// figures that cannot be, or for the second time. Accepted as grants or releases, they would raise a
/// customer's hard ceiling; parsed without checks, they would end processes. The ceiling of 12 units is what
/// it was.
#[test]
fn foreign_truncated_replayed_and_absurd_messages_change_no_ceiling() {
    let limits =
        PlanSettings { ceiling_rate_per_second: 0.001, ceiling_burst_units: 12.0, ..plan(1000.0, 4000.0) };
    let mut fleet = gossip_fleet(40, limits);
    let bodies = [
        "",
        "w",
        "w0000",
        "h001010_0W",
        "wzzzzzz",
        "w000000a",
        "w000000aF___________0_00________",
        "w000000aF___________0100f000_0_0",
        "w000000r000_",
        "w000000r00__",
        "w000000e0000000000000000__",
        "w______s_______",
        "w000000\u{e9}",
    ];
    for me in 0..40 {
        for body in bodies {
            for from in [0, 7, 39, 40, usize::MAX] {
                fleet.handle_event(
                    me,
                    Event::PeerMessage { from: GatewayIndex(from), body: body.to_string() },
                );
            }
        }
    }
    for step in 0..200 {
        fleet.submit(step % 40, |_| {});
        fleet.advance(10.0);
    }
    assert!(fleet.sent.len() <= 13, "{}", fleet.sent.len());
}
