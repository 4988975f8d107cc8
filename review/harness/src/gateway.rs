//! The gateway under test, started with `run` of the deploy file. Dropping it kills the process.
use crate::Setup;
use std::fs;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::channel;
use std::thread;
use std::time::{Duration, Instant};

pub struct Gateway {
    child: Child,
    /// The address that clients connect to.
    pub addr: SocketAddr,
}

impl Gateway {
    /// Starts a gateway and waits until it listens.
    pub fn start(setup: &Setup, config: &str) -> Result<Gateway, String> {
        let path = setup.folder.join("config.json");
        fs::write(&path, config).map_err(|error| format!("cannot write the configuration: {error}"))?;
        let command = run_command(setup)?;
        let mut child = Command::new("/bin/sh")
            .arg("-c")
            .arg(&command)
            .current_dir(&setup.root)
            .env("LB_NAME", "n0")
            .env("LB_CONFIG", &path)
            .env("TMPDIR", &setup.folder)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .map_err(|error| format!("cannot start the gateway: {error}"))?;
        // run.sh kills the process by this id if this program ends without doing so.
        let _ = fs::write(setup.folder.join("gateway.pid"), child.id().to_string());
        setup.record.line(format_args!("gateway: started as process {} by: {command}", child.id()));
        let stderr = child.stderr.take().ok_or("the gateway has no standard error")?;
        let record = setup.record.clone();
        let (sender, receiver) = channel();
        thread::spawn(move || {
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                record.line(format_args!("gateway log: {line}"));
                if let Some((_, addr)) = line.split_once("listening on ") {
                    let _ = sender.send(addr.split(' ').next().unwrap_or("").to_string());
                }
            }
        });
        let gateway_addr = receiver.recv_timeout(Duration::from_secs(20));
        let mut gateway = Gateway { child, addr: SocketAddr::from(([127, 0, 0, 1], 0)) };
        let text = gateway_addr.map_err(|_| "the gateway does not listen")?;
        gateway.addr = text.parse().map_err(|_| format!("not an address: {text}"))?;
        Ok(gateway)
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        let _ = Command::new("/bin/sh").arg("-c").arg(format!("kill -TERM {}", self.child.id())).status();
    }

    /// Waits until the process has ended, at most until `deadline`. Returns its status, or `None` if it still
    /// runs.
    pub fn wait_until(&mut self, deadline: Instant) -> Option<String> {
        loop {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status.to_string());
            }
            if Instant::now() >= deadline {
                return None;
            }
            thread::sleep(Duration::from_millis(1));
        }
    }

    /// Returns the memory that the process holds, in MB (`VmRSS`).
    pub fn memory_mb(&self) -> Result<f64, String> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.map_err(|error| format!("cannot read the gateway's memory: {error}"))?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kb = line.and_then(|line| line.trim().strip_suffix("kB")?.trim().parse::<f64>().ok());
        Ok(kb.ok_or("the gateway's status has no VmRSS")? / 1024.0)
    }

    /// Returns an error if the process has ended.
    pub fn check_running(&mut self) -> Result<(), String> {
        match self.child.try_wait() {
            Ok(None) => Ok(()),
            other => Err(format!("the gateway has ended: {other:?}")),
        }
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns `run` of the deploy file.
fn run_command(setup: &Setup) -> Result<String, String> {
    let path = setup.root.join("deploy/balancer.toml");
    let text = fs::read_to_string(&path).map_err(|error| format!("cannot read the deploy file: {error}"))?;
    let run = text.lines().find_map(|line| line.strip_prefix("run = \"")?.strip_suffix('"'));
    run.map(str::to_string).ok_or_else(|| "the deploy file has no run command".to_string())
}
