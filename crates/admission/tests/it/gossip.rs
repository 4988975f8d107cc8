//! The messages of a fleet in gossip mode: their volume, and the effect of malformed ones.
use crate::common::*;
use irishinge_admission::*;

/// If each request were reported to every gateway, a fleet with ten times as many gateways would send ten
/// times the bytes per request, and exceed the messages that a gateway accepts. From 40 gateways to 400
/// the bytes per request hardly grow.
#[test]
fn message_bytes_per_request_do_not_grow_with_the_fleet() {
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

/// Every gateway receives messages that are cut short, of another kind, from senders that do not exist,
/// with impossible values, or repeated. If they were accepted as grants or releases, a customer could
/// exceed its hard ceiling; if they were decoded without checks, they would end processes. The bucket of the
/// ceiling starts empty and gains far less than a unit during the test. Of 200 requests of one unit at most
/// 13 are sent, one more than the ceiling's burst of 12.
#[test]
fn invalid_and_repeated_messages_do_not_raise_the_ceiling() {
    let limits =
        PlanSettings { ceiling_rate_per_second: 0.001, ceiling_burst_units: 12.0, ..plan(1000.0, 4000.0) };
    let mut fleet = gossip_fleet(40, limits);
    let bodies = [
        // The version or the means end early.
        "",
        "w",
        "w0000",
        // A counts message of broadcast mode.
        "h001010_0W",
        // Means with a watermark of 124, above the highest of 64.
        "wzzzzzz",
        // A quota request that ends after its marker.
        "w000000a",
        // A quota request with extreme values, and two characters too many.
        "w000000aF___________0_00________",
        // A quota request whose first gateway, 64, is not in the fleet, and two characters too many.
        "w000000aF___________0100f000_0_0",
        // A grant of a quota request that was not sent.
        "w000000r000_",
        // A response with an unknown verdict.
        "w000000r00__",
        // A release with three characters too many.
        "w000000e0000000000000000__",
        // The highest means, and an observation with one character too many.
        "w______s_______",
        // A character that is not ASCII.
        "w000000\u{e9}",
    ];
    for gateway in 0..40 {
        for body in bodies {
            // The fleet has no gateway 40 and none with the highest index.
            for from in [0, 7, 39, 40, usize::MAX] {
                fleet.handle_event(
                    gateway,
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
