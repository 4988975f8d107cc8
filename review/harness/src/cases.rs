//! The cases, and the settings that they share.
pub mod crowded_discovery;
pub mod expired_requests;
pub mod late_connection;
pub mod late_request;
pub mod second_answer;
pub mod slow_hosts;

use std::fmt::Write;
use std::net::SocketAddr;

/// `limits.memory_mb`, over which the platform kills a gateway.
pub const MEMORY_MB: u32 = 48;

/// The settings of a small deployment with one gateway: the figures of `nairobi-orders`, with its three rooms,
/// two classes and three plans. A case changes what its claim names.
pub struct Deployment {
    /// `discovery` of the settings: `pushed` or `on_request`.
    pub discovery_mode: &'static str,
    /// `ceilings.connectTimeoutMs`.
    pub connect_timeout_ms: u32,
    /// The class that may simply be repeated.
    pub stock_check: Class,
    /// The class that may not.
    pub place_order: Class,
}

/// The figures of a class.
pub struct Class {
    pub objective_ms: u32,
    pub deadline_ms: u32,
    /// `repeatable`, `by_key` or `once`.
    pub repeat: &'static str,
    pub window_ms: u32,
}

impl Default for Deployment {
    fn default() -> Self {
        Deployment {
            discovery_mode: "pushed",
            connect_timeout_ms: 250,
            stock_check: Class { objective_ms: 800, deadline_ms: 2500, repeat: "repeatable", window_ms: 5000 },
            place_order: Class { objective_ms: 2000, deadline_ms: 8000, repeat: "once", window_ms: 5000 },
        }
    }
}

/// A host as the list names it.
#[derive(Clone)]
pub struct Listed {
    pub uid: &'static str,
    pub addr: SocketAddr,
    pub room: &'static str,
    /// `up` or `draining`.
    pub state: &'static str,
}

/// Returns a complete list in discovery's form.
pub fn list(revision: u64, hosts: &[Listed]) -> String {
    let mut text = format!("{{\"rev\":{revision},\"all\":true,\"targets\":[");
    for (index, host) in hosts.iter().enumerate() {
        let Listed { uid, addr, room, state } = host;
        let comma = if index > 0 { "," } else { "" };
        let _ = write!(
            text,
            "{comma}{{\"uid\":\"{uid}\",\"endpoint\":\"{addr}\",\"az\":\"{room}\",\"model\":\"small-2core\",\
             \"pod_group\":{index},\"state\":\"{state}\",\"capacity_hint\":1.0,\"boot_ms\":0}}"
        );
    }
    text.push_str("]}");
    text
}

impl Deployment {
    /// Returns the configuration of the gateway in room-a. It listens on a free port.
    pub fn config(&self, discovery: SocketAddr, known: &str) -> String {
        let class = |name: &str, class: &Class, worth: f64| {
            let Class { objective_ms, deadline_ms, repeat, window_ms } = class;
            format!(
                "{{\"name\":\"{name}\",\"objectiveMs\":{objective_ms}.0,\"deadlineMs\":{deadline_ms}.0,\
                 \"repeat\":\"{repeat}\",\"dedupScope\":\"all\",\"windowMs\":{window_ms}.0,\"worth\":{worth:.1},\
                 \"lateShare\":0.0,\"streaming\":false}}"
            )
        };
        let plan = |name: &str, refill: f64, peak: f64, factor: f64| {
            format!(
                "{{\"name\":\"{name}\",\"refill\":{refill:.1},\"peakUnits\":{peak:.1},\"open\":0,\
                 \"valueFactor\":{factor:.2},\"overWorth\":0.0,\"beyondCosts\":0.5,\"neverOverRate\":0.0,\
                 \"capDepth\":0.0,\"hardSlack\":0.0}}"
            )
        };
        let classes = [
            class("stock-check", &self.stock_check, 1.0),
            class("place-order", &self.place_order, 3.0),
        ];
        let plans =
            [plan("kiosk", 1.6, 12.0, 0.88), plan("duka", 3.1, 12.0, 1.1), plan("hotel", 10.0, 24.0, 1.6)];
        format!(
            "{{\"name\":\"n0\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"{discovery}\",\
             \"seed\":\"8c1f30d27a5be964\",\"limits\":{{\"cores\":1.0,\"memory_mb\":{MEMORY_MB},\"sockets\":1024}},\
             \"known\":{known},\"settings\":{{\"balancers\":1,\"me\":0,\"tickMs\":4.0,\"zone\":\"room-a\",\
             \"zones\":[\"room-a\",\"room-b\",\"room-c\"],\"shapes\":[\"small-2core\"],\
             \"discovery\":\"{}\",\"classes\":[{}],\"tiersOfService\":[{}],\
             \"ceilings\":{{\"cancel\":true,\"connIdleMs\":15000.0,\"connectTimeoutMs\":{}.0,\"maxAttempts\":4,\
             \"maxRetryAfterMs\":2000.0,\"peerMessages\":false,\"retryAfter\":true,\"secondCopies\":true}},\
             \"familyInfo\":{{\"mayCount\":false,\"mostUnits\":6,\"peerInPerS\":40.0,\"truedUp\":false}},\
             \"rules\":{{\"coldShare\":0.19,\"fallMultiple\":2.0,\"stopSendingWithinMs\":2000.0,\
             \"tipAfterMs\":2000.0,\"warmUpMs\":17000.0}}}}}}",
            self.discovery_mode,
            classes.join(","),
            plans.join(","),
            self.connect_timeout_ms,
        )
    }
}
