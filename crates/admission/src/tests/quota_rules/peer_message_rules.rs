//! How often gateways send each other messages, what reports change, and which mode a fleet uses.
use super::is_close;
use crate::policy::coordination_choice::{choose_coordination_mode, CoordinationMode, CoordinationModeInput};
use crate::policy::peer_messages::ceiling_transfer::{ceiling_transfer_units, max_ceiling_units};
use crate::policy::peer_messages::count_merge::{quota_fill, quota_tokens_after_report};
use crate::policy::peer_messages::fleet_mean_rules::mean_attempt_age_ms;
use crate::policy::peer_messages::quota_message_budget::{max_quota_messages, quota_messages_per_second};
use crate::policy::peer_messages::report_schedule::{
    max_saved_reports, report_interval_ms, reports_per_second, should_send_report, ReportInput,
};
use crate::state::{GatewayMeans, ReportedConsumption};

/// With 40 messages a second, seven tenths of them are 28, and 11.2 in 400 ms: eleven peers can report.
#[test]
fn the_mode_follows_from_messages_counter_and_size() {
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
fn reports_share_seven_tenths_of_the_messages_that_a_peer_accepts() {
    // Eight gateways at 40 messages a second: 28 a second from seven peers.
    assert!(is_close(reports_per_second(8, 40.0), 4.0));
    assert!(is_close(report_interval_ms(8, 40.0), 250.0));
    assert_eq!(report_interval_ms(2, 400.0), 40.0, "no shorter");
    assert_eq!(report_interval_ms(2, 0.0), 10_000.0, "finite without messages");
    assert_eq!([0.5, 4.0].map(max_saved_reports), [1.0, 4.0]);
}

#[test]
fn a_report_is_sent_with_something_new_or_after_400_ms() {
    // Credit, no customers, same stock, time since the last report.
    let cases = [
        (1.0, false, true, 40.0, true),
        (1.0, true, false, 40.0, true),
        (1.0, true, true, 399.0, false),
        (1.0, true, true, 400.0, true),
        (0.9, false, false, 400.0, false),
    ];
    for (message_credit, has_no_customers, has_same_stock, since_last_ms, expected) in cases {
        let input = ReportInput { message_credit, has_no_customers, has_same_stock, since_last_ms };
        assert_eq!(should_send_report(input), expected, "{input:?}");
    }
}

#[test]
fn quota_requests_use_what_others_leave_and_a_fifth_at_least() {
    assert!(is_close(quota_messages_per_second(60.0, 14.0), 40.0));
    assert!(is_close(quota_messages_per_second(60.0, 50.0), 12.0));
    assert!(is_close(max_quota_messages(60.0), 42.0));
}

/// Units that stood at two gateways at once would let the ceiling be passed.
#[test]
fn a_transfer_is_half_of_what_is_spare_in_quarters_rounded_down() {
    let cases = [(3.9, 0.0), (4.0, 0.0), (4.5, 0.25), (4.9, 0.25), (10.0, 3.0), (54.0, 25.0)];
    for (ceiling_tokens, expected) in cases {
        assert_eq!(ceiling_transfer_units(ceiling_tokens, 4.0), expected, "{ceiling_tokens}");
    }
    assert_eq!(max_ceiling_units(12.0, 4), 3.0);
}

#[test]
fn a_report_takes_what_the_peer_consumed_and_the_first_one_only_bounds() {
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
fn attempt_age_is_stock_over_response_rate_within_bounds() {
    // Mean responses of 100 ms, longest objective 1000 ms.
    let cases = [(6.0, 20.0, 300.0), (0.1, 20.0, 50.0), (90.0, 20.0, 2000.0), (6.0, 0.0, 100.0)];
    for (in_flight, responses_per_second, expected) in cases {
        let means = GatewayMeans { in_flight, responses_per_second };
        assert!(is_close(mean_attempt_age_ms(means, 100.0, 1000.0), expected), "{means:?}");
    }
    let jammed = GatewayMeans { in_flight: 900.0, responses_per_second: 1.0 };
    assert_eq!(mean_attempt_age_ms(jammed, 1500.0, 1000.0), 3000.0, "the response time is the longer one");
}
