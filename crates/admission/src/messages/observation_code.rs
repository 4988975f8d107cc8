//! The codec of endpoint observations, which gossip messages carry.
use crate::id::{ClassIndex, PlanIndex};
use crate::messages::base64_digits::{put, take};

/// Number of codes of one class: one for each response time on the scale, and one for a failure.
const CODES_PER_CLASS: u32 = 64;

/// Code of a failure, relative to the first code of its class.
const FAILURE_CODE: u32 = 63;

/// First code of `ObservationKind::Overloaded`. The codes from here on identify the request's plan, and lower
/// codes identify a class. Only classes 0 to 61 have all their codes below it: a failure and the highest
/// steps of class 62, and all observations of higher classes, are read as `Overloaded`.
const FIRST_PLAN_CODE: u32 = 4000;

/// Highest code that two digits carry.
const MAX_CODE: u32 = 4095;

/// Number of steps for each doubling of the response time.
const STEPS_PER_OCTAVE: f64 = 5.0;

/// Number of doublings from the first step of the scale to the latency objective.
const OCTAVES_BELOW_OBJECTIVE: f64 = 6.0;

/// Highest step of the scale.
const MAX_STEP: f64 = 60.0;

/// Lower bound of a response time before its logarithm is taken, as a fraction of the latency objective. It
/// keeps the logarithm finite. Response times below 2^-6 of the objective are step 0 anyway.
const MIN_OBJECTIVE_FRACTION: f64 = 1e-3;

/// A gateway's observation of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Observation {
    /// Tag of the endpoint, 24 bits.
    pub endpoint: u32,
    /// The kind of the observation.
    pub kind: ObservationKind,
}

/// The kinds of observations that attempts give of their endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ObservationKind {
    /// The endpoint sent a good response to a request of a class.
    Responded {
        /// Class of the request, an index into the settings.
        class: ClassIndex,
        /// Response time, relative to the class's latency objective.
        response_time: ResponseTimeCode,
    },
    /// An attempt of a request of this class failed, got no response in time, or is in flight and has become
    /// slow.
    Failed {
        /// Class of the request, an index into the settings.
        class: ClassIndex,
    },
    /// The endpoint rejected an attempt of a plan's request as overloaded.
    Overloaded {
        /// Plan of the request's customer, an index into the settings.
        plan: PlanIndex,
    },
}

/// A response time as a fraction of the class's latency objective, as a step on a logarithmic scale.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ResponseTimeCode(u32);

impl ResponseTimeCode {
    /// Returns the step nearest to a response time, which is given as a fraction of the objective.
    pub(crate) fn from_objective_fraction(fraction: f64) -> Self {
        let octaves = fraction.max(MIN_OBJECTIVE_FRACTION).log2() + OCTAVES_BELOW_OBJECTIVE;
        ResponseTimeCode((octaves * STEPS_PER_OCTAVE).round().clamp(0.0, MAX_STEP) as u32)
    }

    /// Returns the response time of the step, as a fraction of the objective.
    pub(crate) fn objective_fraction(self) -> f64 {
        2f64.powf(f64::from(self.0) / STEPS_PER_OCTAVE - OCTAVES_BELOW_OBJECTIVE)
    }
}

impl ObservationKind {
    /// Returns the code of the observation in a message.
    fn code(self) -> u32 {
        match self {
            ObservationKind::Responded { class, response_time } => {
                CODES_PER_CLASS * class.0 as u32 + response_time.0
            }
            ObservationKind::Failed { class } => CODES_PER_CLASS * class.0 as u32 + FAILURE_CODE,
            ObservationKind::Overloaded { plan } => FIRST_PLAN_CODE + plan.0 as u32,
        }
    }

    /// Returns the observation that a code represents.
    fn from_code(code: u32) -> Self {
        if code >= FIRST_PLAN_CODE {
            return ObservationKind::Overloaded { plan: PlanIndex((code - FIRST_PLAN_CODE) as usize) };
        }
        let class = ClassIndex((code / CODES_PER_CLASS) as usize);
        match code % CODES_PER_CLASS {
            FAILURE_CODE => ObservationKind::Failed { class },
            step => ObservationKind::Responded { class, response_time: ResponseTimeCode(step) },
        }
    }
}

impl Observation {
    /// Appends the observation's digits to a message.
    pub(crate) fn encode(&self, text: &mut String) {
        put(text, self.endpoint, 4);
        put(text, self.kind.code().min(MAX_CODE), 2);
    }

    /// Reads an observation from a message; `None` if a digit is missing or invalid.
    pub(crate) fn decode(bytes: &mut std::str::Bytes<'_>) -> Option<Self> {
        let endpoint = take(bytes, 4)?;
        let kind = ObservationKind::from_code(take(bytes, 2)?);
        Some(Observation { endpoint, kind })
    }
}
