//! The gateway as a process; ended with the test.
use super::{
    config, endpoint_entry, unique_number, use_counter, Client, ScriptedServer, SequentialDiscovery,
};
use serde_json::Value;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::thread::{self, yield_now};
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_irishinge");

pub(crate) struct GatewayProcess {
    child: Child,
    config_path: String,
    pub(crate) addr: SocketAddr,
    pub(crate) peer_addr: Option<SocketAddr>,
}

/// Writes a configuration to a file of its own, and gives its path.
fn write_config(config: &Value) -> String {
    let (process, number) = (std::process::id(), unique_number());
    let path = format!("{}/config-{process}-{number}.json", env!("CARGO_TARGET_TMPDIR"));
    std::fs::write(&path, config.to_string()).expect("a file");
    path
}

fn spawn_command(mut command: Command, config_path: &str) -> Child {
    command
        .env("LB_CONFIG", config_path)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the gateway starts")
}

/// Starts a gateway that need not get as far as listening.
pub(crate) fn spawn(config: &Value) -> Child {
    spawn_command(Command::new(PROGRAM), &write_config(config))
}

/// A gateway that knows these endpoints; discovery is silent unless the test speaks.
pub(crate) fn start_gateway(endpoints: &[&ScriptedServer]) -> (GatewayProcess, SequentialDiscovery) {
    let addrs: Vec<_> = endpoints.iter().map(|endpoint| endpoint.addr).collect();
    start_gateway_with(&addrs, |_| {})
}

/// The same with a change to its configuration.
pub(crate) fn start_gateway_with(
    endpoints: &[SocketAddr],
    change: impl Fn(&mut Value),
) -> (GatewayProcess, SequentialDiscovery) {
    let discovery = SequentialDiscovery::start();
    let known: Vec<_> = endpoints
        .iter()
        .enumerate()
        .map(|(n, addr)| endpoint_entry(&format!("s-{n}"), *addr, "up"))
        .collect();
    let mut config = config(discovery.addr, &known);
    change(&mut config);
    (GatewayProcess::start(&config), discovery)
}

/// A gateway that knows this endpoint, may call this counter, and may not send messages to its peer.
pub(crate) fn start_gateway_with_counter(
    endpoint: &ScriptedServer,
    counter: &ScriptedServer,
) -> (GatewayProcess, SequentialDiscovery) {
    start_gateway_with(&[endpoint.addr], |config| use_counter(config, counter.addr))
}

impl GatewayProcess {
    pub(crate) fn start(config: &Value) -> GatewayProcess {
        let path = write_config(config);
        let child = spawn_command(Command::new(PROGRAM), &path);
        GatewayProcess::wait_until_it_listens(path, child)
    }

    /// Starts one that can open no more descriptors than `limits.sockets` says.
    pub(crate) fn start_with_descriptor_limit(config: &Value) -> GatewayProcess {
        let path = write_config(config);
        let script = format!("ulimit -n {} && exec \"$0\"", config["limits"]["sockets"]);
        let mut command = Command::new("sh");
        command.args(["-c", &script, PROGRAM]);
        let child = spawn_command(command, &path);
        GatewayProcess::wait_until_it_listens(path, child)
    }

    /// The gateway's end of a client's connection, as the process's descriptor names it.
    pub(crate) fn socket_of(&self, client_end: &TcpStream) -> String {
        let client_port = client_end.local_addr().expect("connected").port();
        // By both addresses, as the kernel writes them.
        let ends = format!(" 0100007F:{:04X} 0100007F:{client_port:04X} ", self.addr.port());
        let table = std::fs::read_to_string("/proc/net/tcp").expect("a table");
        let line = table.lines().find(|line| line.contains(&ends)).expect("the gateway's end");
        let inode = line.split_whitespace().nth(9).expect("an inode");
        assert_ne!(inode, "0", "the gateway has accepted it");
        format!("socket:[{inode}]")
    }

    /// Waits until the gateway has closed one of its sockets. That a client has closed its end does not
    /// show that the gateway was notified: while another test starts a process, that process holds the
    /// client's end open too.
    pub(crate) fn wait_until_closed(&self, socket: &str, what: &str) {
        let start = Instant::now();
        while self.has_descriptor(socket) {
            assert!(start.elapsed() < Duration::from_secs(10), "{what}: the gateway does not see it");
            yield_now();
        }
    }

    fn has_descriptor(&self, name: &str) -> bool {
        let mut descriptors =
            std::fs::read_dir(format!("/proc/{}/fd", self.process_id())).expect("descriptors");
        descriptors.any(|descriptor| {
            let path = descriptor.expect("an entry").path();
            std::fs::read_link(path).is_ok_and(|link| link.as_os_str() == name)
        })
    }

    fn wait_until_it_listens(config_path: String, mut child: Child) -> GatewayProcess {
        let mut log = BufReader::new(child.stderr.take().expect("piped"));
        let mut line = String::new();
        let (addr, peer_addr) = loop {
            line.clear();
            assert!(log.read_line(&mut line).expect("a log") > 0, "the gateway ended");
            let Some(rest) = line.split("listening on ").nth(1) else { continue };
            let mut addrs = rest.split_whitespace().map(str::parse);
            let addr = addrs.next().expect("an address").expect("an address");
            break (addr, addrs.next().and_then(Result::ok));
        };
        // The log is read on, so that the gateway never waits for it.
        thread::spawn(move || std::io::copy(&mut log, &mut std::io::sink()));
        GatewayProcess { child, config_path, addr, peer_addr }
    }

    pub(crate) fn client(&self) -> Client {
        Client::connect(self.addr)
    }

    pub(crate) fn process_id(&self) -> u32 {
        self.child.id()
    }

    /// Sends SIGTERM.
    pub(crate) fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Replaces the configuration and sends SIGHUP.
    pub(crate) fn reload(&self, config: &str) {
        std::fs::write(&self.config_path, config).expect("a file");
        self.signal("-HUP");
    }

    fn signal(&self, signal: &str) {
        let kill = Command::new("kill").arg(signal).arg(self.child.id().to_string()).status();
        assert!(kill.expect("kill runs").success());
    }

    pub(crate) fn wait(&mut self) -> ExitStatus {
        self.child.wait().expect("the gateway ends")
    }
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
