//! Node processes: the testbed's own executable, which runs the product's command line.

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

/// Longest wait for a node to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Longest wait for a node to exit.
const EXIT_TIMEOUT: Duration = Duration::from_secs(40);

/// Added to a node's number to give the last number of its relay's IP.
const RELAY_OFFSET: u8 = 128;

/// Nodes among which each has two others as seeds.
const SEED_SPAN: usize = 4;

/// Ports that all nodes of a fleet use, each on its own IP.
#[derive(Clone, Copy, Debug)]
pub struct Ports {
    /// UDP and TCP between VMs.
    pub peer: u16,
    /// HTTP for operators.
    pub admin: u16,
}

/// What all nodes of a fleet have in common.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Folder for settings, key and logs.
    pub folder: PathBuf,
    /// Data centre.
    pub data_centre: String,
    /// Base URL of the platform.
    pub platform_url: String,
    /// Ports.
    pub ports: Ports,
    /// Second and third number of the nodes' IPs.
    pub subnet: [u8; 2],
    /// Limits in the settings file.
    pub limits: serde_json::Value,
    /// The testbed's executable, which also runs nodes.
    pub executable: PathBuf,
}

/// One VM's process.
#[derive(Debug)]
pub struct Vm {
    /// Number within the fleet.
    pub index: usize,
    /// Name.
    pub name: String,
    /// Its IP.
    pub ip: IpAddr,
    plan: Plan,
    child: Child,
}

impl Plan {
    /// Writes the key file that all nodes share.
    pub fn write_key(&self) -> std::io::Result<()> {
        let key: [u8; 32] = rand::random();
        std::fs::write(self.folder.join("key"), key)
    }

    /// Returns the list entry of node `index`.
    pub fn entry(&self, index: usize, state: &str) -> VmEntry {
        VmEntry {
            name: name(index),
            data_centre: self.data_centre.clone(),
            peer_address: self.listed_address(index).to_string(),
            state: state.to_owned(),
        }
    }

    /// Starts node `index`.
    pub fn start(&self, index: usize) -> std::io::Result<Vm> {
        let ip = self.ip(index);
        let settings = json!({
            "vm": name(index),
            "data_centre": self.data_centre,
            "entry_ip": ip.to_string(),
            "peer_address": self.real_address(index).to_string(),
            "admin_address": SocketAddr::new(ip, self.ports.admin).to_string(),
            "key_file": self.folder.join("key"),
            "platform_url": self.platform_url,
            "limits": self.limits,
            "seeds": {"addresses": [
                self.listed_address((index + 1) % SEED_SPAN).to_string(),
                self.listed_address((index + 2) % SEED_SPAN).to_string(),
            ]},
        });
        let path = self.folder.join(format!("{}.json", name(index)));
        std::fs::write(&path, settings.to_string())?;
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{}.log", name(index))))?;
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
            name: name(index),
            ip,
            plan: self.clone(),
            child,
        })
    }

    /// Returns the address that node `index` binds for other VMs.
    pub fn real_address(&self, index: usize) -> SocketAddr {
        SocketAddr::new(self.ip(index), self.ports.peer)
    }

    /// Returns the address under which the platform lists node `index`.
    pub fn listed_address(&self, index: usize) -> SocketAddr {
        let [second, third] = self.subnet;
        let listed = Ipv4Addr::new(127, second, third, index as u8 + RELAY_OFFSET);
        SocketAddr::new(listed.into(), self.ports.peer)
    }

    fn ip(&self, index: usize) -> IpAddr {
        let [second, third] = self.subnet;
        IpAddr::V4(Ipv4Addr::new(127, second, third, index as u8 + 1))
    }
}

impl Vm {
    /// Returns the URL of the node's status.
    pub fn status_url(&self) -> String {
        let address = SocketAddr::new(self.ip, self.plan.ports.admin);
        format!("http://{address}/status")
    }

    /// Returns the node's status.
    pub async fn status(&self) -> Option<Report> {
        fetch_status(&reqwest::Client::new(), &self.status_url()).await
    }

    /// Returns the process id while the process runs.
    pub fn pid(&self) -> Option<u32> {
        self.child.id()
    }

    /// Returns the node's metrics as text.
    pub async fn metrics(&self) -> Option<String> {
        let address = SocketAddr::new(self.ip, self.plan.ports.admin);
        let url = format!("http://{address}/metrics");
        reqwest::get(url).await.ok()?.text().await.ok()
    }

    /// Waits until the node is ready and sees `owners` VMs that may own flows.
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

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        if let Some(pid) = self.child.id() {
            // The process may have ended already.
            let _ = kill(Pid::from_raw(pid as i32), signal);
        }
    }

    /// Kills the process.
    pub async fn kill(&mut self) {
        self.signal(Signal::SIGKILL);
        let _ = self.child.wait().await;
    }

    /// Waits for the process to exit; `None` when it does not in time.
    pub async fn wait(&mut self) -> Option<ExitStatus> {
        timeout(EXIT_TIMEOUT, self.child.wait()).await.ok()?.ok()
    }
}

/// Reads a node's status; `None` when it does not answer.
pub async fn fetch_status(client: &reqwest::Client, url: &str) -> Option<Report> {
    let request = client.get(url).timeout(Duration::from_secs(1));
    request.send().await.ok()?.json().await.ok()
}

fn name(index: usize) -> String {
    format!("vm-{index}")
}
