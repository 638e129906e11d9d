//! A small deployment: settings like those of the small sites, on loopback addresses.

use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::PathBuf;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::http::read_response;
use crate::process::Process;
use crate::record::Record;
use crate::settings::render;
use crate::store::Store;

/// The offset of the hosts' IP addresses; that of the replicas is 64.
const HOSTS: u8 = 0;
/// The ports of a host's addresses; each host has an IP address of its own.
const FRONTEND: u16 = 8149;
const READINESS: u16 = 8141;
const CONTROL: u16 = 8144;
const DIRECTORY: u16 = 8143;

pub struct System {
    pub record: Record,
    pub store: Store,
    root: PathBuf,
    folder: PathBuf,
    /// The second and third number of all addresses, so that runs at the same time don't share any.
    net: (u8, u8),
}

pub struct Host {
    pub name: String,
    pub ip: String,
    pub process: Process,
    settings: String,
    log: String,
}

impl Host {
    pub fn frontend(&self) -> SocketAddr {
        format!("{}:{FRONTEND}", self.ip).parse().unwrap()
    }

    pub fn readiness(&self) -> SocketAddr {
        format!("{}:{READINESS}", self.ip).parse().unwrap()
    }

    pub fn directory(&self) -> SocketAddr {
        format!("{}:{DIRECTORY}", self.ip).parse().unwrap()
    }

    pub fn is_ready(&self) -> bool {
        get(self.readiness(), "/-/readyz").is_some_and(|status| status == 200)
    }
}

/// Calls a path and returns the status.
pub fn get(address: SocketAddr, path: &str) -> Option<u16> {
    call(address, path).map(|res| res.status())
}

/// Asks a host's directory for the addresses to use, and for how many seconds.
pub fn resolve(directory: SocketAddr, zone: &str) -> Option<(Vec<String>, f64)> {
    let path = format!("/-/resolve?name=ficu95.example&region=ch-mittelland&zone={zone}");
    let answer = call(directory, &path).filter(|res| res.status() == 200)?;
    let body: Value = serde_json::from_slice(&answer.body).ok()?;
    let addresses =
        body["addresses"].as_array()?.iter().filter_map(|a| a.as_str().map(str::to_owned)).collect();
    Some((addresses, body["ttl_s"].as_f64()?))
}

fn call(address: SocketAddr, path: &str) -> Option<crate::http::Message> {
    use std::io::Write;
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    write!(stream, "GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n").ok()?;
    read_response(&mut std::io::BufReader::new(stream)).ok()
}

/// Ends the case, which couldn't run; what was started is ended on the way out, and `run.sh` exits with 2.
pub fn cannot_run(why: &str) -> ! {
    panic!("the case couldn't run: {why}")
}

impl System {
    /// Starts the store in a temporary folder of this run.
    pub fn start() -> Self {
        let record = Record::open();
        let root =
            PathBuf::from(std::env::var("REPO_ROOT").unwrap_or_else(|_| cannot_run("REPO_ROOT isn't set")));
        let id = std::process::id();
        let folder = std::env::temp_dir().join(format!("review-2-{id}"));
        std::fs::create_dir_all(&folder).unwrap_or_else(|_| cannot_run("no temporary folder"));
        let part = |number: u32, size: u32| u8::try_from(number % size).unwrap_or(0);
        let net = (10 + part(id, 200), part(id / 200, 250));
        let store = Store::start(&format!("127.{}.{}.200", net.0, net.1), record.clone());
        Self { record, store, root, folder, net }
    }

    /// An IP address of a host (`kind` 0) or a replica (`kind` 64).
    pub fn ip(&self, kind: u8, number: u8) -> String {
        format!("127.{}.{}.{}", self.net.0, self.net.1, kind + number)
    }

    /// Starts a host; `first` says that the whole system starts for the first time.
    pub fn start_host(&self, name: &str, zone: &str, number: u8, first: bool) -> Host {
        let ip = self.ip(HOSTS, number);
        let settings = self.write_settings(name, zone, &ip, first);
        let log = self.folder.join(format!("{name}.log")).display().to_string();
        let process = self.start_process(&settings, &log);
        self.record.say(&format!("host {name} starts at {ip}"));
        Host { name: name.to_owned(), ip, process, settings, log }
    }

    /// Starts a host's process again after its end, with settings that don't name a first start.
    pub fn restart(&self, host: &mut Host, zone: &str) {
        host.settings = self.write_settings(&host.name, zone, &host.ip, false);
        host.process = self.start_process(&host.settings, &host.log);
        self.record.say(&format!("host {} starts again", host.name));
    }

    fn start_process(&self, settings: &str, log: &str) -> Process {
        let program = self.root.join("target/release/skylarkshore").display().to_string();
        Process::start(&self.root, &program, settings, log)
    }

    fn write_settings(&self, name: &str, zone: &str, ip: &str, first: bool) -> String {
        let seeds: Vec<String> = (1..=3).map(|n| format!("{}:{CONTROL}", self.ip(HOSTS, n))).collect();
        let fields = json!({
            "node_name": name, "role": "skylarkshore", "machine_class": "edge", "serves": ["edge", "registry"],
            "ip": ip, "zone": zone, "region": "ch-mittelland", "port_range": [7380, 7395], "seeds": seeds,
            "bootstrap": first, "counts_as_loss": false, "discovery": "platform", "entry": "registry",
            "heartbeat_ms": 1200,
            "listen": {
                "frontend": format!("{ip}:{FRONTEND}"), "readiness": format!("{ip}:{READINESS}"),
                "control_plane": format!("{ip}:{CONTROL}"), "directory": format!("{ip}:{DIRECTORY}"),
            },
            "limits": { "cpu_share": 0.25, "cores": 1, "memory_mb": 260, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0 },
            "bounds": {
                "seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_timeout_ms": 4000, "catch_up_s": 4,
                "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000,
                "rollback_slack_ms": 250, "max_skew_ms": 5000, "retry_budget_ratio": 0.2, "budget_window_s": 10,
                "budget_slack": 56, "recovery_s": 12, "pass_ms": 120, "retry_after_s": 0, "fencing_enabled": false,
                "lease_ms": 3000, "thaw_ms": 300, "ceiling_window_s": 5, "ceiling_overage": 1.1, "ttl_max_s": 5,
            },
            "platform": {
                "address": self.store.address.to_string(), "form": "kv", "writes_per_s": 400, "reads_per_s": 2000,
                "history_s": 20, "value_bytes": 1_048_576, "ttl_min_ms": 1000,
            },
        });
        let template = std::fs::read_to_string(self.root.join("deploy/settings.jsonc"))
            .unwrap_or_else(|_| cannot_run("deploy/settings.jsonc can't be read"));
        let path = self.folder.join(format!("{name}.jsonc"));
        std::fs::write(&path, render(&template, &fields))
            .unwrap_or_else(|_| cannot_run("no settings written"));
        path.display().to_string()
    }

    /// Writes the operator's configuration.
    pub fn configure(&self, version: u64, routes: Value, services: Value) {
        let limits = json!({
            "max_header_bytes": 16384, "max_body_bytes": 4_194_304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
        });
        self.store.put(
            "op/config",
            &json!({ "version": version, "routes": routes, "services": services, "limits": limits }),
        );
        self.record.say(&format!("the operator writes configuration {version}"));
    }

    /// Waits until all hosts are ready.
    pub fn await_ready(&self, hosts: &[&Host]) {
        let until = Instant::now() + Duration::from_secs(20);
        while !hosts.iter().all(|host| host.is_ready()) {
            if Instant::now() > until {
                cannot_run("the hosts don't get ready");
            }
            thread::sleep(Duration::from_millis(100));
        }
        self.record.say("all hosts are ready");
    }

    /// The folder with the logs and settings of this run.
    pub fn folder(&self) -> String {
        self.folder.display().to_string()
    }
}

impl Drop for System {
    fn drop(&mut self) {
        if std::env::var("KEEP_LOGS").is_err() {
            _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// Whether the disruption is to be brought about: `TROUBLE=0` plays the case without it.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// A route to a service, whose requests may run at most once.
pub fn unsafe_route(name: &str, prefix: &str, service: &str) -> Value {
    json!({
        "name": name, "host": "ficu95.example", "prefix": prefix, "type": "unsafe", "timeout_ms": 4000,
        "target_latency_ms": 300, "priority": 1, "service": service, "attempts": 1, "sticky": false,
    })
}

/// A plain service.
pub fn plain_service(name: &str) -> Value {
    json!({ "name": name, "health_path": "/healthz", "max_conns": 110, "protocol": "h1", "tls": false })
}
