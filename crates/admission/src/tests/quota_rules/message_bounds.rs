//! Ranges and rounding of the values that messages between gateways carry.
use crate::id::{ClassIndex, PlanIndex};
use crate::messages::counts_message::{
    CeilingRequest, CeilingTransfer, ConsumedUnits, CountEntry, CountsMessage, FixedPointWatermark, QuotaFill,
};
use crate::messages::message_entry::MessageEntry;
use crate::messages::observation_code::{Observation, ObservationKind};
use crate::messages::quota_message::{
    QuarterUnits, QuotaRelease, QuotaRequestNumber, SamplingFraction, WaitBudget,
};

/// Encodes an observation and returns what the receiver decodes.
fn received(kind: ObservationKind) -> ObservationKind {
    let mut text = String::new();
    Observation { endpoint: 7, kind }.encode(&mut text);
    Observation::decode(&mut text.bytes()).expect("all digits are there").kind
}

/// The codes of classes end where those of plans begin, so a failure of class 62 or above is received as
/// `Overloaded` for a plan.
#[test]
fn classes_above_61_and_plans_above_95_share_codes() {
    let failed = |class| ObservationKind::Failed { class: ClassIndex(class) };
    let overloaded = |plan| ObservationKind::Overloaded { plan: PlanIndex(plan) };
    let cases = [
        (failed(0), failed(0)),
        (failed(61), failed(61)),
        (failed(62), overloaded(31)),
        (failed(63), overloaded(95)),
        (failed(200), overloaded(95)),
        (overloaded(0), overloaded(0)),
        (overloaded(95), overloaded(95)),
        (overloaded(96), overloaded(95)),
    ];
    for (sent, expected) in cases {
        assert_eq!(received(sent), expected, "{sent:?}");
    }
}

/// Units are divided by a received sampling fraction, so 0 counts as 1/63.
#[test]
fn sampling_fractions_are_rounded_to_63rds() {
    assert_eq!(SamplingFraction::nearest(1.0), SamplingFraction::ALL);
    assert_eq!(SamplingFraction::nearest_above_zero(0.001).fraction(), 1.0 / 63.0);
    assert_eq!(SamplingFraction::at_most(0.999).fraction(), 62.0 / 63.0);
    assert_eq!(SamplingFraction::nearest(0.0).extrapolate(2.0), 126.0);
}

/// A wait budget has at most 4095 steps of 16 ms.
#[test]
fn wait_budgets_are_rounded_down_to_16_ms() {
    let cases = [(-5.0, 0.0), (15.9, 0.0), (16.0, 16.0), (1e9, 65_520.0)];
    for (ms, expected) in cases {
        assert_eq!(WaitBudget::from_ms(ms).ms(), expected, "{ms}");
    }
}

#[test]
fn released_units_are_rounded_to_quarters_within_512() {
    let cases = [(-600.0, -512.0), (-1.1, -1.0), (0.0, 0.0), (2.6, 2.5), (600.0, 511.75)];
    for (units, expected) in cases {
        let number = QuotaRequestNumber::default();
        let release = QuotaRelease { customer: 5, number, additional_units: QuarterUnits::nearest(units) };
        let mut text = String::new();
        release.encode(&mut text);
        let arrived = QuotaRelease::decode(&mut text.bytes()).expect("all digits are there");
        assert_eq!(arrived.additional_units.units(), expected, "{units}");
    }
}

/// A value that is too large for its digits is sent as the largest one, and transferred units are rounded
/// down.
#[test]
fn counts_message_saturates_values_and_rounds_transfers_down() {
    let message = CountsMessage {
        incarnation: 1,
        sequence: 2,
        in_flight: 5000,
        watermark: FixedPointWatermark::at_most(2.5),
        counts: vec![CountEntry {
            tag: 1,
            consumed: ConsumedUnits::new(1.25),
            fill: QuotaFill::at_most(0.5),
            in_flight: 70,
        }],
        ceiling_requests: vec![CeilingRequest { tag: 2 }],
        ceiling_transfers: vec![CeilingTransfer::new(3, 1.3)],
    };
    let text = "h00102__0eq0001005V_n0002g0003005";
    assert_eq!(message.encode(), text);
    assert_eq!(message.len(), text.len());
    let received = CountsMessage::decode(text).expect("it is of this format");
    assert_eq!((received.in_flight, received.counts[0].in_flight), (4095, 63));
    assert_eq!((received.watermark.value(), received.ceiling_transfers[0].units()), (2.5, 1.25));
}
