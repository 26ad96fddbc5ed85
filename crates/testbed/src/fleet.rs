//! Processes of VMs, called nodes: each runs the `node` subcommand of the testbed's executable,
//! which runs the product's `serve` command.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{ExitStatus, Stdio};
use std::time::Duration;

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use ragwortbeam::admin::Report;
use ragwortbeam::document::VmEntry;
use serde_json::json;
use tokio::process::{Child, Command};
use tokio::time::{Instant, sleep, timeout};

/// Longest wait for a node to report that it is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Longest wait for a node's process to exit.
const EXIT_TIMEOUT: Duration = Duration::from_secs(40);

/// Offset from a node's index to the last octet of its relay's IP. A fleet has fewer nodes than
/// this, since the last octet of a node's own IP is its index plus one.
const RELAY_IP_OFFSET: u8 = 128;

/// Number of nodes, from index 0, whose addresses are listed as seeds, two in each node's settings.
/// A node asks its seeds when the platform does not answer at its start.
const SEED_NODES: usize = 4;

/// Ports that all nodes of a fleet use, each on its own IP.
#[derive(Clone, Copy, Debug)]
pub struct NodePorts {
    /// UDP and TCP port for traffic between VMs.
    pub peer: u16,
    /// TCP port of the HTTP server for operators.
    pub admin: u16,
}

/// Configuration that all nodes of a fleet share.
#[derive(Clone, Debug)]
pub struct FleetConfig {
    /// Folder for the settings, key and log files.
    pub folder: PathBuf,
    /// Name of the data centre that all nodes are in.
    pub data_centre: String,
    /// Base URL of the platform.
    pub platform_url: String,
    /// Ports that each node binds on its own IP.
    pub ports: NodePorts,
    /// Second and third octet of the nodes' IPs; the first is 127.
    pub subnet: [u8; 2],
    /// `limits` object in the settings files.
    pub limits: serde_json::Value,
    /// Path of the testbed's executable, which also runs nodes.
    pub executable: PathBuf,
}

/// VM as a running node process, which is killed when dropped.
#[derive(Debug)]
pub struct Vm {
    /// Index within the fleet, from 0.
    pub index: usize,
    /// Name in the settings and in the platform's list, `vm-` and the index.
    pub name: String,
    /// Loopback IP that the node binds.
    pub ip: IpAddr,
    config: FleetConfig,
    child: Child,
}

impl FleetConfig {
    /// Writes a random 32-byte key to the key file that all nodes share.
    pub fn write_key(&self) -> std::io::Result<()> {
        let key: [u8; 32] = rand::random();
        std::fs::write(self.folder.join("key"), key)
    }

    /// Returns the entry of node `index` in the platform's list of VMs; `state` is `live` or
    /// `leaving`.
    pub fn list_entry(&self, index: usize, state: &str) -> VmEntry {
        VmEntry {
            name: vm_name(index),
            data_centre: self.data_centre.clone(),
            peer_address: self.listed_address(index).to_string(),
            state: state.to_owned(),
        }
    }

    /// Writes the settings of node `index` and starts its process; output is appended to its log.
    pub fn start(&self, index: usize) -> std::io::Result<Vm> {
        let ip = self.ip(index);
        let settings = json!({
            "vm": vm_name(index),
            "data_centre": self.data_centre,
            "entry_ip": ip.to_string(),
            "peer_address": self.real_address(index).to_string(),
            "admin_address": SocketAddr::new(ip, self.ports.admin).to_string(),
            "key_file": self.folder.join("key"),
            "platform_url": self.platform_url,
            "limits": self.limits,
            "seeds": {"addresses": [
                self.listed_address((index + 1) % SEED_NODES).to_string(),
                self.listed_address((index + 2) % SEED_NODES).to_string(),
            ]},
        });
        let path = self.folder.join(format!("{}.json", vm_name(index)));
        std::fs::write(&path, settings.to_string())?;
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{}.log", vm_name(index))))?;
        let child = Command::new(&self.executable)
            .args(["node", "--settings"])
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .kill_on_drop(true)
            .spawn()?;
        Ok(Vm {
            index,
            name: vm_name(index),
            ip,
            config: self.clone(),
            child,
        })
    }

    /// Returns the address that node `index` binds for its peers.
    pub fn real_address(&self, index: usize) -> SocketAddr {
        SocketAddr::new(self.ip(index), self.ports.peer)
    }

    /// Returns the address under which the platform lists node `index`: that of its relay.
    pub fn listed_address(&self, index: usize) -> SocketAddr {
        let [second, third] = self.subnet;
        let relay_ip = Ipv4Addr::new(127, second, third, index as u8 + RELAY_IP_OFFSET);
        SocketAddr::new(relay_ip.into(), self.ports.peer)
    }

    fn ip(&self, index: usize) -> IpAddr {
        let [second, third] = self.subnet;
        IpAddr::V4(Ipv4Addr::new(127, second, third, index as u8 + 1))
    }
}

impl Vm {
    /// Returns the URL of the node's status report.
    pub fn status_url(&self) -> String {
        let address = SocketAddr::new(self.ip, self.config.ports.admin);
        format!("http://{address}/status")
    }

    /// Fetches the node's status report; `None` when the node does not answer.
    pub async fn status(&self) -> Option<Report> {
        fetch_status(&reqwest::Client::new(), &self.status_url()).await
    }

    /// Returns the process id; `None` once the process has been waited for.
    pub fn pid(&self) -> Option<u32> {
        self.child.id()
    }

    /// Fetches the node's metrics in text format; `None` when the node does not answer.
    pub async fn metrics(&self) -> Option<String> {
        let address = SocketAddr::new(self.ip, self.config.ports.admin);
        let url = format!("http://{address}/metrics");
        reqwest::get(url).await.ok()?.text().await.ok()
    }

    /// Waits until the node is ready and reports at least `owners` VMs that may own flows; returns
    /// false when that takes longer than `READY_TIMEOUT`.
    pub async fn wait_ready(&self, owners: usize) -> bool {
        let deadline = Instant::now() + READY_TIMEOUT;
        while Instant::now() < deadline {
            if let Some(report) = self.status().await
                && report.is_ready
                && report.owners >= owners
            {
                return true;
            }
            sleep(Duration::from_millis(50)).await;
        }
        false
    }

    /// Sends a signal to the process, if it still runs.
    pub fn signal(&self, signal: Signal) {
        if let Some(pid) = self.child.id() {
            // The process may have ended already.
            let _ = kill(Pid::from_raw(pid as i32), signal);
        }
    }

    /// Kills the process and waits for its end.
    pub async fn kill(&mut self) {
        self.signal(Signal::SIGKILL);
        let _ = self.child.wait().await;
    }

    /// Waits for the process to exit; `None` when that takes longer than `EXIT_TIMEOUT`.
    pub async fn wait_exit(&mut self) -> Option<ExitStatus> {
        timeout(EXIT_TIMEOUT, self.child.wait()).await.ok()?.ok()
    }
}

/// Fetches a node's status report from its URL; `None` without a valid response within one second.
pub async fn fetch_status(client: &reqwest::Client, url: &str) -> Option<Report> {
    let request = client.get(url).timeout(Duration::from_secs(1));
    request.send().await.ok()?.json().await.ok()
}

fn vm_name(index: usize) -> String {
    format!("vm-{index}")
}
