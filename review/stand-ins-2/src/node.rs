//! The platform's part for one node: its settings file, its process, its readiness.

use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

use crate::http::ask;

/// Fills in the template of the deploy file.
pub struct Settings {
    pub name: String,
    pub service: String,
    pub zone: String,
    pub region: String,
    pub store: SocketAddr,
    pub application: SocketAddr,
    pub fail_closed: bool,
    pub revoke: &'static str,
    pub writes_per_s: u32,
    pub reads_per_s: u32,
    pub retry_budget_slack: u32,
}

pub struct Node {
    pub name: String,
    pub outbound: SocketAddr,
    pub control_plane: SocketAddr,
    pub ready: SocketAddr,
    pub child: Child,
    command: Vec<String>,
    log: PathBuf,
}

/// Returns a free port of the loopback address, for TCP and UDP. It lies below those that the
/// system gives to outgoing connections, which could take it before the node listens.
fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let first = (std::process::id() as u16).wrapping_mul(37);
    loop {
        let step = NEXT.fetch_add(1, Ordering::Relaxed);
        let port = 16_000 + first.wrapping_add(step) % 14_000;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

fn render(template: &str, values: &[(&str, String)]) -> String {
    let mut out = String::new();
    let mut skips = false;
    for line in template.lines() {
        if let Some(name) = line
            .trim()
            .strip_prefix("{{#")
            .and_then(|rest| rest.strip_suffix("}}"))
        {
            let value = values.iter().find(|(known, _)| *known == name);
            skips = value.is_none_or(|(_, value)| value.is_empty() || value == "false");
            continue;
        }
        if line.trim().starts_with("{{/") {
            skips = false;
            continue;
        }
        if skips {
            continue;
        }
        let mut line = line.to_owned();
        for (name, value) in values {
            line = line.replace(&format!("{{{{{name}}}}}"), value);
        }
        out += &line;
        out.push('\n');
    }
    out
}

impl Node {
    pub fn start(settings: &Settings, folder: &Path) -> Node {
        let [outbound, control_plane, ready, link, control] =
            std::array::from_fn(|_| free_address());
        let values = [
            ("node_name", settings.name.clone()),
            ("service", settings.service.clone()),
            ("zone", settings.zone.clone()),
            ("region", settings.region.clone()),
            ("listen_addresses.outbound", outbound.to_string()),
            ("listen_addresses.control_plane", control_plane.to_string()),
            ("listen_addresses.ready", ready.to_string()),
            ("application_address", settings.application.to_string()),
            ("ip_address", "127.0.0.1".to_owned()),
            ("internal_port_range.0", link.port().to_string()),
            ("internal_port_range.1", control.port().to_string()),
            ("platform.address", settings.store.to_string()),
            ("platform.reads_per_s", settings.reads_per_s.to_string()),
            ("platform.writes_per_s", settings.writes_per_s.to_string()),
            ("bounds.grace_period", "6s".to_owned()),
            ("bounds.retry_budget_ratio", "0.2".to_owned()),
            (
                "bounds.retry_budget_slack",
                settings.retry_budget_slack.to_string(),
            ),
            ("bounds.fail_closed", settings.fail_closed.to_string()),
            ("bounds.revoke", settings.revoke.to_owned()),
        ];
        let template = std::fs::read_to_string("deploy/settings.env").expect("deploy/settings.env");
        let file = folder.join(format!("{}.env", settings.name));
        std::fs::write(&file, render(&template, &values)).unwrap();
        let deploy = std::fs::read_to_string("deploy/system.toml").expect("deploy/system.toml");
        let run = deploy
            .lines()
            .find_map(|line| line.strip_prefix("run = \"")?.strip_suffix('"'));
        let command: Vec<String> = run
            .expect("the command of the deploy file")
            .split(' ')
            .map(|word| match word {
                "/etc/hemlocktack/settings.yaml" => file.display().to_string(),
                word => word.to_owned(),
            })
            .collect();
        let log = folder.join(format!("{}.log", settings.name));
        let child = spawn(&command, &log);
        Node {
            name: settings.name.clone(),
            outbound,
            control_plane,
            ready,
            child,
            command,
            log,
        }
    }

    /// Starts the process again with the same settings.
    pub fn start_again(&mut self) {
        let _ = self.child.wait();
        self.child = spawn(&self.command, &self.log);
    }

    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if is_ready(self.ready) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Sends SIGTERM; returns whether that was possible.
    pub fn terminate(&self) -> bool {
        let sent = Command::new("kill")
            .args(["-TERM", &self.child.id().to_string()])
            .status();
        sent.is_ok_and(|status| status.success())
    }

    /// Resident memory of the process in bytes; `None` once it has ended.
    pub fn memory(&self) -> Option<u64> {
        memory_of(self.child.id())
    }
}

/// Asks the node's readiness as the platform does.
pub fn is_ready(address: SocketAddr) -> bool {
    let request = b"GET /hemlocktack/readiness HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n";
    let answer = ask(address, request, Duration::from_millis(500));
    answer.is_some_and(|answer| answer.status() == 200)
}

pub fn memory_of(pid: u32) -> Option<u64> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    line.trim()
        .strip_suffix(" kB")?
        .trim()
        .parse::<u64>()
        .ok()
        .map(|kilobytes| kilobytes * 1024)
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn spawn(command: &[String], log: &Path) -> Child {
    let file = std::fs::OpenOptions::new()
        .create(true)
        .append(true)
        .open(log)
        .unwrap();
    let errors = file.try_clone().unwrap();
    let path = std::env::var_os("PATH").unwrap_or_default();
    let home = std::env::var_os("HOME").unwrap_or_default();
    Command::new(&command[0])
        .args(&command[1..])
        .env_clear()
        .env("PATH", path)
        .env("HOME", home)
        .stdin(Stdio::null())
        .stdout(file)
        .stderr(errors)
        .spawn()
        .expect("the program of the deploy file is built")
}
