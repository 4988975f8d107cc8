//! What a gateway observed of an endpoint, as gossip carries it.
use crate::id::{ClassIndex, PlanIndex};
use crate::messages::base64_digits::{put, take};

/// Codes of one class: its responses by response time, and its failure.
const CODES_PER_CLASS: u32 = 64;

/// Code, within its class, of a failure.
const FAILED: u32 = 63;

/// Codes from here on name the plan whose request was rejected; codes below belong to classes.
const FIRST_PLAN_CODE: u32 = 4000;

/// Highest code that two digits hold.
const MAX_CODE: u32 = 4095;

/// Steps of the scale of response times for each doubling.
const STEPS_PER_OCTAVE: f64 = 5.0;

/// Doublings between the first step of the scale and the latency objective.
const OCTAVES_BELOW_OBJECTIVE: f64 = 6.0;

/// Highest step of the scale.
const MAX_STEP: f64 = 60.0;

/// Shortest response time that is distinguished, as a fraction of the latency objective.
const MIN_OBJECTIVE_FRACTION: f64 = 1e-3;

/// What a gateway observed of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Observation {
    /// The endpoint's tag, 24 bits.
    pub endpoint: u32,
    /// What was observed.
    pub kind: ObservationKind,
}

/// What an attempt showed of its endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ObservationKind {
    /// It responded to a request of a class.
    Responded {
        /// The class, an index into the settings.
        class: ClassIndex,
        /// How long that took.
        response_time: ResponseTimeCode,
    },
    /// A request of a class failed, or got no response in time.
    Failed {
        /// The class, an index into the settings.
        class: ClassIndex,
    },
    /// It rejected a request of a plan.
    Rejected {
        /// The plan, an index into the settings.
        plan: PlanIndex,
    },
}

/// A response time as a fraction of the class's latency objective, on a logarithmic scale.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ResponseTimeCode(u32);

impl ResponseTimeCode {
    /// The code next to a response time, given as a fraction of the objective.
    pub(crate) fn from_objective_fraction(fraction: f64) -> Self {
        let octaves = fraction.max(MIN_OBJECTIVE_FRACTION).log2() + OCTAVES_BELOW_OBJECTIVE;
        ResponseTimeCode((octaves * STEPS_PER_OCTAVE).round().clamp(0.0, MAX_STEP) as u32)
    }

    /// The response time that the code stands for, as a fraction of the objective.
    pub(crate) fn objective_fraction(self) -> f64 {
        2f64.powf(f64::from(self.0) / STEPS_PER_OCTAVE - OCTAVES_BELOW_OBJECTIVE)
    }
}

impl ObservationKind {
    /// The number that stands for it on the wire.
    fn code(self) -> u32 {
        match self {
            ObservationKind::Responded { class, response_time } => {
                CODES_PER_CLASS * class.0 as u32 + response_time.0
            }
            ObservationKind::Failed { class } => CODES_PER_CLASS * class.0 as u32 + FAILED,
            ObservationKind::Rejected { plan } => FIRST_PLAN_CODE + plan.0 as u32,
        }
    }

    /// What a number on the wire stands for.
    fn from_code(code: u32) -> Self {
        if code >= FIRST_PLAN_CODE {
            return ObservationKind::Rejected { plan: PlanIndex((code - FIRST_PLAN_CODE) as usize) };
        }
        let class = ClassIndex((code / CODES_PER_CLASS) as usize);
        match code % CODES_PER_CLASS {
            FAILED => ObservationKind::Failed { class },
            step => ObservationKind::Responded { class, response_time: ResponseTimeCode(step) },
        }
    }
}

impl Observation {
    /// Adds the observation's digits to a message.
    pub(crate) fn encode(&self, text: &mut String) {
        put(text, self.endpoint, 4);
        put(text, self.kind.code().min(MAX_CODE), 2);
    }

    /// Reads an observation from a message; `None` where digits are missing.
    pub(crate) fn decode(bytes: &mut std::str::Bytes<'_>) -> Option<Self> {
        let endpoint = take(bytes, 4)?;
        let kind = ObservationKind::from_code(take(bytes, 2)?);
        Some(Observation { endpoint, kind })
    }
}
