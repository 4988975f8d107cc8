//! The project's gateway as a process, started by the `run` command of the deploy file.
use crate::http::call;
use crate::util::{send_signal, sleep_ms, Record, SIGKILL};
use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::os::unix::process::CommandExt;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// A configuration of a gateway, whose settings are a JSON object that the case writes.
#[derive(Clone)]
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub memory_mb: u64,
    pub sockets: u32,
    pub peer_listen: Option<SocketAddr>,
    pub peers: Vec<SocketAddr>,
    pub counter: Option<SocketAddr>,
    pub known: String,
    pub settings: String,
}

impl Config {
    fn json(&self, seed: u64) -> String {
        let peers: Vec<String> = self.peers.iter().map(|p| format!("\"{p}\"")).collect();
        let peer_listen = self.peer_listen.map_or(String::new(), |a| format!("\"peer_listen\":\"{a}\","));
        let counter = self.counter.map_or(String::new(), |a| format!("\"counter\":\"{a}\","));
        format!(
            "{{\"name\":\"{}\",\"listen\":\"{}\",\"discovery\":\"{}\",\"seed\":\"{seed:016x}\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":{},\"sockets\":{}}},{peer_listen}{counter}\
             \"peers\":[{}],\"known\":{},\"settings\":{}}}",
            self.name,
            self.listen,
            self.discovery,
            self.memory_mb,
            self.sockets,
            peers.join(","),
            self.known,
            self.settings
        )
    }
}

/// A running gateway. Dropping it kills the process.
pub struct Gateway {
    child: Child,
    pub config: Config,
    record: Record,
}

extern "C" {
    fn prctl(option: i32, argument: u64) -> i32;
}

/// Asks the kernel to kill this process when the thread that started it ends, so that no gateway is left behind.
fn end_with_parent() -> std::io::Result<()> {
    const PR_SET_PDEATHSIG: i32 = 1;
    // SAFETY: the call takes numbers and touches no memory.
    unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL as u64) };
    Ok(())
}

static SEEDS: AtomicU64 = AtomicU64::new(1);

/// The folder of the case's temporary files.
pub fn temporary_folder() -> String {
    std::env::var("CASE_TMP").expect("CASE_TMP names the temporary folder")
}

/// The command `run` of the deploy file, or that of a copy of the program that `COPY_RUN` names.
fn run_command() -> String {
    if let Ok(command) = std::env::var("COPY_RUN") {
        return command;
    }
    let deploy = fs::read_to_string("deploy/balancer.toml").expect("the deploy file, from the root");
    let line = deploy.lines().find(|l| l.starts_with("run = ")).expect("the deploy file has run");
    line.split('"').nth(1).expect("run is a string").to_string()
}

impl Gateway {
    /// Starts a gateway. Each start of a run has a new seed, the next multiple of a constant.
    pub fn start(config: Config, record: &Record) -> Gateway {
        let path = format!("{}/{}.json", temporary_folder(), config.name);
        let seed = SEEDS.fetch_add(1, Ordering::Relaxed).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        fs::write(&path, config.json(seed)).expect("write the configuration");
        let log = format!("{}/{}.log", temporary_folder(), config.name);
        let log = File::options().create(true).append(true).open(log).expect("open the log");
        let mut command = Command::new("/bin/sh");
        // SAFETY: the call between fork and exec only asks the kernel to end the gateway with this program.
        unsafe { command.pre_exec(end_with_parent) };
        let child = command
            .args(["-c", &run_command()])
            .env("LB_CONFIG", &path)
            .env("LB_NAME", &config.name)
            .env("LB_LISTEN", config.listen.to_string())
            .env("LB_DISCOVERY", config.discovery.to_string())
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("start the gateway");
        record.line(&format!("{}: started on {}", config.name, config.listen));
        Gateway { child, config, record: record.clone() }
    }

    /// Waits until `/healthz` answers 200. `false` if it does not within 10 s.
    pub fn wait_ready(&self) -> bool {
        let start = Instant::now();
        while start.elapsed() < Duration::from_secs(10) {
            let request = "GET /healthz HTTP/1.1\r\nHost: origin.svc\r\nConnection: close\r\n\r\n";
            if call(self.config.listen, request, Duration::from_millis(500))
                .is_some_and(|r| r.status() == 200)
            {
                self.record.line(&format!("{}: ready", self.config.name));
                return true;
            }
            sleep_ms(5);
        }
        false
    }

    pub fn signal(&self, signal: i32) {
        self.record.line(&format!("{}: signal {signal}", self.config.name));
        send_signal(self.child.id(), signal);
    }

    /// Kills the process outright and waits for its end.
    pub fn kill(mut self) -> Config {
        self.signal(SIGKILL);
        let _ = self.child.wait();
        self.config.clone()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns a free TCP address on a loopback address of its own, which outgoing connections do not use.
pub fn free_tcp(last: u8) -> SocketAddr {
    let listener = TcpListener::bind((own_address(last), 0)).expect("bind a free port");
    listener.local_addr().expect("the free port")
}

/// Returns a free UDP address.
pub fn free_udp(last: u8) -> SocketAddr {
    let socket = UdpSocket::bind((own_address(last), 0)).expect("bind a free port");
    socket.local_addr().expect("the free port")
}

fn own_address(last: u8) -> std::net::Ipv4Addr {
    let pid = std::process::id();
    std::net::Ipv4Addr::new(127, 64 + (pid >> 8) as u8 % 128, pid as u8, last.max(1))
}

/// One request class of the settings.
pub struct Class {
    pub name: &'static str,
    pub deadline_ms: f64,
    pub objective_ms: f64,
    pub repeat: &'static str,
    pub window_ms: f64,
    pub worth: f64,
}

/// One plan of the settings.
pub struct Plan {
    pub name: &'static str,
    pub refill: f64,
    pub peak_units: f64,
    pub open: u32,
    pub over_worth: f64,
    pub beyond_costs: f64,
    pub never_over_rate: f64,
    pub cap_depth: f64,
    pub hard_slack: f64,
}

/// The settings of a deployment, of which each gateway gets its own number.
pub struct Settings {
    pub gateways: usize,
    pub classes: Vec<Class>,
    pub plans: Vec<Plan>,
    pub discovery: &'static str,
    pub connect_timeout_ms: f64,
    pub peer_messages: bool,
    pub peer_in_per_s: f64,
    pub counter: bool,
    pub second_copies: bool,
    pub most_units: u32,
    pub memory_mb: u64,
    pub rules: &'static str,
}

/// The rules of the example of the wire page.
pub const RULES: &str =
    "{\"answerSlackMs\":16.0,\"askWithinMs\":10000.0,\"coldShare\":0.19,\"fallMultiple\":2.0,\
    \"stopSendingWithinMs\":2000.0,\"tipAfterMs\":2000.0,\"warmUpMs\":17000.0}";

impl Settings {
    /// The settings object for the gateway with the number `me`.
    pub fn json(&self, me: usize) -> String {
        let classes: Vec<String> = self
            .classes
            .iter()
            .map(|c| {
                format!(
                    "{{\"name\":\"{}\",\"deadlineMs\":{:.1},\"objectiveMs\":{:.1},\"worth\":{:.1},\
                     \"lateShare\":0.0,\"repeat\":\"{}\",\"dedupScope\":\"all\",\"windowMs\":{:.1},\"streaming\":false}}",
                    c.name, c.deadline_ms, c.objective_ms, c.worth, c.repeat, c.window_ms
                )
            })
            .collect();
        let plans: Vec<String> = self
            .plans
            .iter()
            .map(|p| {
                format!(
                    "{{\"name\":\"{}\",\"refill\":{:.2},\"peakUnits\":{:.2},\"open\":{},\"valueFactor\":1.0,\
                     \"overWorth\":{:.2},\"beyondCosts\":{:.2},\"neverOverRate\":{:.2},\"capDepth\":{:.2},\
                     \"hardSlack\":{:.2}}}",
                    p.name,
                    p.refill,
                    p.peak_units,
                    p.open,
                    p.over_worth,
                    p.beyond_costs,
                    p.never_over_rate,
                    p.cap_depth,
                    p.hard_slack
                )
            })
            .collect();
        format!(
            "{{\"balancers\":{},\"me\":{me},\"tickMs\":4.0,\"tier\":0,\"zone\":\"room-a\",\
             \"zones\":[\"room-a\",\"room-b\",\"room-c\"],\"shapes\":[\"small-2core\"],\
             \"stages\":[\"order-servers\"],\"workload\":\"gate\",\"weightKind\":\"off\",\"discovery\":\"{}\",\
             \"classes\":[{}],\"tiersOfService\":[{}],\
             \"ceilings\":{{\"cancel\":true,\"connIdleMs\":15000.0,\"connectTimeoutMs\":{:.1},\"maxAttempts\":4,\
             \"maxOpen\":20000,\"maxRetryAfterMs\":2000.0,\"maxStreams\":32,\"peerMessages\":{},\"probing\":true,\
             \"retryAfter\":true,\"secondCopies\":{}}},\
             \"familyInfo\":{{\"mayCount\":{},\"mostUnits\":{},\"peerInPerS\":{:.1},\"countLimitMs\":50.0,\
             \"countFee\":0.005,\"meterPeriodMs\":0.0,\"truedUp\":true}},\
             \"clients\":{{\"marksRetry\":false}},\"feedback\":{{\"how\":\"off\",\"names\":[]}},\
             \"rules\":{}}}",
            self.gateways,
            self.discovery,
            classes.join(","),
            plans.join(","),
            self.connect_timeout_ms,
            self.peer_messages,
            self.second_copies,
            self.counter,
            self.most_units,
            self.peer_in_per_s,
            self.rules
        )
    }
}
