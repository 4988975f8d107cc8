//! The settings of the deployments that the cases play, and small fleets of the project's gateways.
use crate::discovery::Discovery;
use crate::gateway::{free_tcp, free_udp, Class, Config, Gateway, Plan, Settings, RULES};
use crate::util::Record;
use std::net::SocketAddr;

/// The figures of a plan with a quota and nothing else.
pub fn plan(name: &'static str, refill: f64, peak_units: f64) -> Plan {
    Plan {
        name,
        refill,
        peak_units,
        open: 0,
        over_worth: 0.0,
        beyond_costs: 0.5,
        never_over_rate: 0.0,
        cap_depth: 0.0,
        hard_slack: 0.0,
    }
}

/// The settings of `nairobi-orders`: three gateways, and plans with quotas that no case of this kind reaches.
pub fn nairobi_orders() -> Settings {
    Settings {
        gateways: 3,
        classes: vec![
            Class {
                name: "stock-check",
                deadline_ms: 2500.0,
                objective_ms: 800.0,
                repeat: "repeatable",
                window_ms: 5000.0,
                worth: 1.0,
            },
            Class {
                name: "place-order",
                deadline_ms: 8000.0,
                objective_ms: 2000.0,
                repeat: "once",
                window_ms: 5000.0,
                worth: 3.0,
            },
        ],
        plans: vec![plan("kiosk", 1.6, 6.4), plan("duka", 3.4, 14.0), plan("hotel", 13.0, 26.0)],
        discovery: "pushed",
        connect_timeout_ms: 250.0,
        peer_messages: true,
        peer_in_per_s: 40.0,
        counter: true,
        second_copies: true,
        most_units: 6,
        memory_mb: 192,
        rules: RULES,
    }
}

/// Starts the gateways of the settings, and waits until they are ready. `None` if one of them does not get ready.
pub fn start_fleet(
    settings: &Settings,
    discovery: &Discovery,
    counter: Option<SocketAddr>,
    sockets: u32,
    record: &Record,
) -> Option<Vec<Gateway>> {
    let numbers = 0..settings.gateways;
    let peers: Vec<SocketAddr> = if settings.peer_messages {
        numbers.clone().map(|n| free_udp(n as u8 + 1)).collect()
    } else {
        Vec::new()
    };
    let gateways: Vec<Gateway> = numbers
        .map(|n| {
            let config = Config {
                name: format!("n{n}"),
                listen: free_tcp(n as u8 + 1),
                discovery: discovery.addr,
                memory_mb: settings.memory_mb,
                sockets,
                peer_listen: peers.get(n).copied(),
                peers: peers.clone(),
                counter,
                known: discovery.list(),
                settings: settings.json(n),
            };
            Gateway::start(config, record)
        })
        .collect();
    if gateways.iter().all(Gateway::wait_ready) {
        return Some(gateways);
    }
    record.say("a gateway does not get ready");
    None
}

/// The settings of `permit-desk` for a fleet of 13 gateways, with a hard ceiling of 1.5 times the quota on each
/// plan, as `tide-tables` has one.
pub fn permit_desk_with_ceilings() -> Settings {
    let with_ceiling = |name, refill: f64, peak_units: f64, open| {
        let cap_depth = 1.5 * peak_units;
        Plan {
            open,
            never_over_rate: 1.5 * refill,
            cap_depth,
            hard_slack: (0.1 * cap_depth).max(3.0),
            ..plan(name, refill, peak_units)
        }
    };
    let class = |name, deadline_ms, objective_ms, repeat, worth| Class {
        name,
        deadline_ms,
        objective_ms,
        repeat,
        window_ms: 5000.0,
        worth,
    };
    Settings {
        gateways: 13,
        classes: vec![
            class("search", 3000.0, 600.0, "repeatable", 1.0),
            class("draft", 5000.0, 1200.0, "once", 2.0),
            class("file", 9000.0, 2500.0, "once", 5.0),
        ],
        plans: vec![
            with_ceiling("public", 2.0, 8.0, 0),
            with_ceiling("notary", 5.0, 15.0, 2),
            with_ceiling("court", 12.0, 30.0, 0),
        ],
        discovery: "on_request",
        connect_timeout_ms: 250.0,
        peer_messages: true,
        peer_in_per_s: 40.0,
        counter: true,
        second_copies: true,
        most_units: 3,
        memory_mb: 192,
        rules: "{\"answerSlackMs\":16.0,\"askWithinMs\":10000.0,\"coldShare\":0.19,\"fallMultiple\":2.0,\
            \"stopSendingWithinMs\":3000.0,\"tipAfterMs\":2000.0,\"warmUpMs\":17000.0}",
    }
}

/// The settings of `tide-tables`, which has one room, for a fleet of 13 gateways.
pub fn tide_tables() -> Settings {
    let with_ceiling = |plan: Plan, multiple: f64| {
        let cap_depth = multiple * plan.peak_units;
        Plan {
            never_over_rate: multiple * plan.refill,
            cap_depth,
            hard_slack: (0.1 * cap_depth).max(6.0),
            ..plan
        }
    };
    Settings {
        gateways: 13,
        classes: vec![Class {
            name: "lookup",
            deadline_ms: 1200.0,
            objective_ms: 500.0,
            repeat: "once",
            window_ms: 5000.0,
            worth: 2.0,
        }],
        plans: vec![
            with_ceiling(plan("harbour", 2.5, 12.0), 2.0),
            with_ceiling(plan("ferry", 12.0, 30.0), 1.5),
        ],
        discovery: "pushed",
        connect_timeout_ms: 250.0,
        peer_messages: true,
        peer_in_per_s: 40.0,
        counter: false,
        second_copies: false,
        most_units: 6,
        memory_mb: 192,
        rules: "{\"answerSlackMs\":16.0,\"askWithinMs\":10000.0,\"coldShare\":0.19,\"fallMultiple\":2.0,\
            \"stopSendingWithinMs\":1500.0,\"tipAfterMs\":2000.0,\"warmUpMs\":17000.0}",
    }
}
