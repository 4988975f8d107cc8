//! The schedule of messages between gateways, the changes that reports make, and the mode that a fleet uses.
use super::is_close;
use crate::policy::coordination_choice::{choose_coordination_mode, CoordinationMode, CoordinationModeInput};
use crate::policy::peer_messages::ceiling_transfer::{ceiling_transfer_units, max_ceiling_units};
use crate::policy::peer_messages::count_merge::{quota_fill, quota_tokens_after_report};
use crate::policy::peer_messages::fleet_mean_rules::mean_attempt_age_ms;
use crate::policy::peer_messages::quota_message_budget::{max_message_tokens, quota_requests_per_second};
use crate::policy::peer_messages::report_schedule::{
    max_report_credit, report_interval_ms, reports_per_second, should_send_report, ReportInput,
};
use crate::state::{GatewayMeans, ReportedConsumption};

/// Seven tenths of 40 messages per second are 28 per second, or 11.2 in 400 ms, so eleven peers can report.
#[test]
fn mode_follows_from_fleet_size_messages_and_counter() {
    use CoordinationMode::{Broadcast, Counter, Gossip, Isolated};
    let cases = [
        (1, false, false, Broadcast),
        (12, true, false, Broadcast),
        (13, true, true, Gossip),
        (2, false, true, Counter),
        (2, false, false, Isolated),
    ];
    for (gateways, peer_messages_allowed, counter_allowed, expected) in cases {
        let input = CoordinationModeInput {
            gateways,
            peer_messages_allowed,
            peer_messages_per_second: 40.0,
            counter_allowed,
        };
        assert_eq!(choose_coordination_mode(input), expected, "{input:?}");
    }
}

#[test]
fn reports_use_seven_tenths_of_accepted_messages() {
    // Eight gateways at 40 messages per second: each is sent 28 reports per second by seven peers.
    assert!(is_close(reports_per_second(8, 40.0), 4.0));
    assert!(is_close(report_interval_ms(8, 40.0), 250.0));
    assert_eq!(report_interval_ms(2, 400.0), 40.0, "at least 40 ms");
    assert_eq!(report_interval_ms(2, 0.0), 10_000.0, "finite if no messages are accepted");
    assert_eq!([0.5, 4.0].map(max_report_credit), [1.0, 4.0]);
}

#[test]
fn report_with_credit_is_sent_if_changed_or_after_400_ms() {
    // Credit, no entries, same attempts in flight, ms since the last report, whether it is sent.
    let cases = [
        (1.0, false, true, 40.0, true),
        (1.0, true, false, 40.0, true),
        (1.0, true, true, 399.0, false),
        (1.0, true, true, 400.0, true),
        (0.9, false, false, 400.0, false),
    ];
    for (report_credit, has_no_entries, has_same_in_flight, since_last_ms, expected) in cases {
        let input = ReportInput { report_credit, has_no_entries, has_same_in_flight, since_last_ms };
        assert_eq!(should_send_report(input), expected, "{input:?}");
    }
}

#[test]
fn quota_requests_use_remaining_messages_but_at_least_a_fifth() {
    assert!(is_close(quota_requests_per_second(60.0, 14.0), 40.0));
    assert!(is_close(quota_requests_per_second(60.0, 50.0), 12.0));
    assert!(is_close(max_message_tokens(60.0), 42.0));
}

/// Units that two gateways have at once would let the ceiling be exceeded.
#[test]
fn transfer_is_half_of_spare_units_rounded_down_to_quarters() {
    let cases = [(3.9, 0.0), (4.0, 0.0), (4.5, 0.25), (4.9, 0.25), (10.0, 3.0), (54.0, 25.0)];
    for (ceiling_tokens, expected) in cases {
        assert_eq!(ceiling_transfer_units(ceiling_tokens, 4.0), expected, "{ceiling_tokens}");
    }
    assert_eq!(max_ceiling_units(12.0, 4), 3.0);
}

#[test]
fn report_deducts_consumption_and_first_report_only_caps_tokens() {
    let since = |consumed_units| ReportedConsumption::SinceLastReport { consumed_units };
    let unknown = |fill| ReportedConsumption::Unknown { fill };
    let cases = [
        (since(3.0), 17.0),
        (since(-30.0), 40.0),
        (since(50.0), -4.0),
        (unknown(0.25), 10.0),
        (unknown(0.75), 20.0),
    ];
    for (consumption, expected) in cases {
        assert_eq!(quota_tokens_after_report(20.0, consumption, 40.0, 4.0), expected, "{consumption:?}");
    }
    assert_eq!([quota_fill(10.0, 40.0), quota_fill(0.0, 0.0)], [0.25, 1.0]);
}

#[test]
fn attempt_age_is_in_flight_over_response_rate_within_bounds() {
    // A mean response time of 100 ms, and a longest objective of 1000 ms.
    let cases = [(6.0, 20.0, 300.0), (0.1, 20.0, 50.0), (90.0, 20.0, 2000.0), (6.0, 0.0, 100.0)];
    for (in_flight, responses_per_second, expected) in cases {
        let means = GatewayMeans { in_flight, responses_per_second };
        assert!(is_close(mean_attempt_age_ms(means, 100.0, 1000.0), expected), "{means:?}");
    }
    let congested = GatewayMeans { in_flight: 900.0, responses_per_second: 1.0 };
    assert_eq!(
        mean_attempt_age_ms(congested, 1500.0, 1000.0),
        3000.0,
        "the mean response time is longer than the objective"
    );
}
