//! Processes of the VMs, and the rotation: the VMs that receive callers' packets because they
//! pass their readiness checks.

use std::collections::HashMap;
use std::fs::File;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::process::Stdio;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::json;
use tokio::process::{Child, Command};
use tokio::time::sleep;

use super::{Cluster, endpoint, port};
use crate::proxy::ProxySwitch;

/// Live VMs of a data centre from which flows are placed through allocators.
const ALLOCATION_MIN_VMS: u32 = 2;

/// Pause between two rounds of readiness checks.
const READINESS_INTERVAL: Duration = Duration::from_millis(500);

/// Time limit of a graceful stop: 6 s as in the VMs' settings, and 500 ms for scheduling delays.
const STOP_TIMEOUT: Duration = Duration::from_millis(6500);

/// Time limit from the first start of the VMs until all are in rotation.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// All VMs of a run, numbered from 1.
pub(crate) struct Vms {
    count: u8,
    children: Mutex<HashMap<u8, Child>>,
    /// Held while a VM's process is started or ended, by VM number, as overlapping faults may do both
    /// at the same time; index 0 is unused.
    lifecycles: Vec<tokio::sync::Mutex<()>>,
    /// Fault switches of the VMs' proxies, by VM number; index 0 is unused.
    proxy_switches: Vec<Arc<ProxySwitch>>,
    /// Packet addresses of the VMs that pass the readiness check.
    rotation: Mutex<Vec<SocketAddrV4>>,
}

impl Vms {
    pub(crate) fn new(count: u8) -> Self {
        Self {
            count,
            children: Mutex::default(),
            lifecycles: (0..=count).map(|_| tokio::sync::Mutex::default()).collect(),
            proxy_switches: (0..=count).map(|_| Arc::default()).collect(),
            rotation: Mutex::default(),
        }
    }

    /// Returns the fault switch of a VM's proxy to the store.
    pub(crate) fn proxy_switch(&self, number: u8) -> Arc<ProxySwitch> {
        self.proxy_switches[usize::from(number)].clone()
    }

    /// Returns the packet address of the VM that receives a flow's packets, by the flow's
    /// hash. All VMs are candidates if none is in rotation.
    pub(crate) fn select_vm(&self, cluster: &Cluster, hash: u64) -> SocketAddrV4 {
        let rotation = self.rotation.lock().unwrap();
        if rotation.is_empty() {
            let number = 1 + (hash % u64::from(self.count)) as u8;
            return SocketAddrV4::new(cluster.ip(1, number), port::PACKET);
        }
        rotation[(hash % rotation.len() as u64) as usize]
    }

    /// Writes a VM's settings file; `seed_offset` shifts the choice of its seed addresses.
    pub(crate) fn write_settings(
        &self,
        cluster: &Cluster,
        number: u8,
        seed_offset: u8,
    ) -> std::io::Result<()> {
        let address = |port| SocketAddrV4::new(cluster.ip(1, number), port).to_string();
        let seed_address = |index: u8| {
            let other = 1 + (number + seed_offset + index) % self.count;
            SocketAddrV4::new(cluster.ip(5, other), port::PEER).to_string()
        };
        let mut settings = json!({
            "vm": format!("vm-{number}"),
            "data_centre": data_centre(number),
            "packet_address": address(port::PACKET),
            "ready_address": address(port::READY),
            "peer_address": address(port::PEER),
            "advertised_ip": cluster.ip(5, number),
            "metrics_address": address(port::METRICS),
            "platform_address": format!("{}:{}", cluster.ip(4, 10 + number), port::STORE),
            "seeds": [seed_address(0), seed_address(1), seed_address(2)],
            "is_first_start": false,
            "stop_timeout_s": 6,
            "flow_lifetime_s": 60,
            "link_mbps": 700.0,
            "cpu_share": 0.17,
        });
        // Another version may not know the settings of this one.
        if !self.runs_other_binary(cluster, number) {
            settings["allocation_min_vms"] = json!(ALLOCATION_MIN_VMS);
            settings["warmup_overrun"] = json!(endpoint::WARMUP_OVERRUN);
            settings["warmup_slack"] = json!(endpoint::WARMUP_SLACK);
        }
        std::fs::write(settings_path(cluster, number), settings.to_string())
    }

    fn runs_other_binary(&self, cluster: &Cluster, number: u8) -> bool {
        cluster.options.other_binary.is_some() && !number.is_multiple_of(2)
    }

    /// Returns the id of a VM's process; `None` if it is not running.
    pub(crate) fn pid(&self, number: u8) -> Option<u32> {
        self.children.lock().unwrap().get(&number)?.id()
    }

    /// Starts a VM's process; its output is appended to the VM's log file. Does nothing if the VM
    /// is running: overlapping faults may each start it.
    pub(crate) async fn start(&self, cluster: &Cluster, number: u8) -> std::io::Result<()> {
        let _lifecycle = self.lifecycles[usize::from(number)].lock().await;
        let mut children = self.children.lock().unwrap();
        if let Some(child) = children.get_mut(&number)
            && child.try_wait()?.is_none()
        {
            return Ok(());
        }
        self.write_settings(cluster, number, 0)?;
        cluster.checker.record_vm_start();
        let log = File::options()
            .create(true)
            .append(true)
            .open(cluster.directory.join(format!("vm-{number}.log")))?;
        let binary = match &cluster.options.other_binary {
            Some(other) if self.runs_other_binary(cluster, number) => other.clone(),
            _ => std::env::current_exe()?,
        };
        let child = Command::new(binary)
            .args(["steering-node", "--settings"])
            .arg(settings_path(cluster, number))
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .kill_on_drop(true)
            .spawn()?;
        children.insert(number, child);
        Ok(())
    }

    /// Sends a signal to a VM's process, if it is running.
    pub(crate) fn signal(&self, number: u8, signal: Signal) {
        if let Some(pid) = self.pid(number)
            && let Err(error) = kill(Pid::from_raw(pid as i32), signal)
        {
            println!("vm {number}: sending {signal} failed: {error}");
        }
    }

    /// Kills a VM's process with SIGKILL, if it is running, and waits for its exit.
    pub(crate) async fn kill(&self, number: u8) {
        let _lifecycle = self.lifecycles[usize::from(number)].lock().await;
        let child = self.children.lock().unwrap().remove(&number);
        if let Some(mut child) = child
            && let Err(error) = child.kill().await
        {
            println!("vm {number}: killing the process failed: {error}");
        }
    }

    /// Stops a VM with SIGTERM and checks that it exits successfully and in time.
    pub(crate) async fn stop(&self, cluster: &Cluster, number: u8) {
        let _lifecycle = self.lifecycles[usize::from(number)].lock().await;
        self.signal(number, Signal::SIGTERM);
        let Some(mut child) = self.children.lock().unwrap().remove(&number) else {
            return;
        };
        let started_at = Instant::now();
        match tokio::time::timeout(STOP_TIMEOUT, child.wait()).await {
            Ok(Ok(status)) if status.success() => {}
            result => cluster.checker.report_violation(format!(
                "vm {number} did not stop cleanly on SIGTERM: {result:?} after {:?}",
                started_at.elapsed()
            )),
        }
    }

    /// Stops all VMs concurrently and checks that each exits successfully and in time.
    pub(crate) async fn stop_all(&self, cluster: &Arc<Cluster>) {
        let stops: Vec<_> = (1..=self.count)
            .map(|number| {
                let cluster = cluster.clone();
                tokio::spawn(async move { cluster.vms.stop(&cluster, number).await })
            })
            .collect();
        for stop in stops {
            stop.await.expect("a stop does not panic");
        }
    }

    /// Reports a violation for each process that exited without being stopped.
    pub(crate) fn check_none_exited(&self, cluster: &Cluster) {
        for (number, child) in self.children.lock().unwrap().iter_mut() {
            if let Ok(Some(status)) = child.try_wait() {
                let violation = format!("vm {number} exited unexpectedly: {status}");
                cluster.checker.report_violation(violation);
            }
        }
    }

    /// Returns the numbers of the VMs that pass their readiness checks, in ascending order.
    pub(crate) fn in_rotation(&self) -> Vec<u8> {
        let rotation = self.rotation.lock().unwrap();
        let mut numbers: Vec<u8> = rotation.iter().map(|it| it.ip().octets()[3]).collect();
        numbers.sort();
        numbers
    }

    /// Waits until all VMs are in rotation; panics after [`START_TIMEOUT`].
    pub(crate) async fn wait_ready(&self) {
        let started_at = Instant::now();
        while self.rotation.lock().unwrap().len() < usize::from(self.count) {
            assert!(
                started_at.elapsed() < START_TIMEOUT,
                "not all VMs became ready in time"
            );
            sleep(Duration::from_millis(20)).await;
        }
    }
}

/// Returns the data centre of the VM or endpoint with this number.
pub(crate) fn data_centre(number: u8) -> &'static str {
    if number.is_multiple_of(2) {
        "dc-a"
    } else {
        "dc-b"
    }
}

fn settings_path(cluster: &Cluster, number: u8) -> std::path::PathBuf {
    cluster.directory.join(format!("vm-{number}.json"))
}

/// Updates the rotation by readiness checks until the task is aborted. Two failures in a row
/// remove a VM from the rotation, and one success adds it.
pub(crate) async fn update_rotation(cluster: Arc<Cluster>) {
    let client = reqwest::Client::builder()
        .timeout(Duration::from_millis(400))
        .build()
        .expect("the HTTP client's options are valid");
    let mut failed_checks = HashMap::<Ipv4Addr, u32>::new();
    loop {
        let checks = (1..=cluster.options.vms).map(|number| {
            let ip = cluster.ip(1, number);
            let request = client.get(format!("http://{ip}:{}/ready", port::READY));
            async move {
                let response = request.send().await;
                (
                    ip,
                    response.is_ok_and(|response| response.status().is_success()),
                )
            }
        });
        let tasks: Vec<_> = checks.map(tokio::spawn).collect();
        let mut ready = Vec::new();
        for task in tasks {
            let (ip, is_ready) = task.await.expect("a check does not panic");
            // A VM that was never checked counts as having failed twice.
            let failures = failed_checks.entry(ip).or_insert(2);
            *failures = if is_ready { 0 } else { *failures + 1 };
            if *failures < 2 {
                ready.push(SocketAddrV4::new(ip, port::PACKET));
            }
        }
        *cluster.vms.rotation.lock().unwrap() = ready;
        sleep(READINESS_INTERVAL).await;
    }
}
