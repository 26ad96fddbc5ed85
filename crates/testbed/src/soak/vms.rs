//! The VMs' processes, their signals, and the rotation that the readiness check decides.

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

use super::proxy::Switch;
use super::{World, port};

/// Pause between two readiness checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Longest graceful stop, with room for the test's own machine.
const GRACE: Duration = Duration::from_millis(6500);

/// Longest start of all VMs.
const START_LIMIT: Duration = Duration::from_secs(20);

/// All VMs of a run.
pub(crate) struct Vms {
    count: u8,
    children: Mutex<HashMap<u8, Child>>,
    switches: Vec<Arc<Switch>>,
    /// VMs that the readiness check found ready, and their addresses.
    rotation: Mutex<Vec<SocketAddrV4>>,
}

impl Vms {
    pub(crate) fn new(count: u8) -> Self {
        Self {
            count,
            children: Mutex::default(),
            switches: (0..=count).map(|_| Arc::default()).collect(),
            rotation: Mutex::default(),
        }
    }

    /// Returns the switch of a VM's proxy.
    pub(crate) fn switch(&self, number: u8) -> Arc<Switch> {
        self.switches[usize::from(number)].clone()
    }

    /// Returns the VM that a flow's packets go to; all VMs when none is in rotation.
    pub(crate) fn pick(&self, world: &World, hash: u64) -> SocketAddrV4 {
        let rotation = self.rotation.lock().unwrap();
        if rotation.is_empty() {
            let number = 1 + (hash % u64::from(self.count)) as u8;
            return SocketAddrV4::new(world.ip(1, number), port::PACKET);
        }
        rotation[(hash % rotation.len() as u64) as usize]
    }

    /// Writes a VM's settings; seeds differ with `turn`.
    pub(crate) fn write_settings(
        &self,
        world: &World,
        number: u8,
        turn: u8,
    ) -> std::io::Result<()> {
        let address = |port| SocketAddrV4::new(world.ip(1, number), port).to_string();
        let seed = |place: u8| {
            let other = 1 + (number + turn + place) % self.count;
            SocketAddrV4::new(world.ip(5, other), port::PEER).to_string()
        };
        let settings = json!({
            "vm": format!("vm-{number}"),
            "data_centre": data_centre(number),
            "packet_address": address(port::PACKET),
            "ready_address": address(port::READY),
            "peer_address": address(port::PEER),
            "advertised_ip": world.ip(5, number),
            "metrics_address": address(port::METRICS),
            "platform_address": format!("{}:{}", world.ip(4, 10 + number), port::STORE),
            "seeds": [seed(0), seed(1), seed(2)],
            "is_first_start": false,
            "stop_timeout_s": 6,
            "flow_lifetime_s": 60,
            "link_mbps": 700.0,
            "cpu_share": 0.17,
        });
        std::fs::write(settings_path(world, number), settings.to_string())
    }

    /// Starts a VM's process.
    pub(crate) fn start(&self, world: &World, number: u8) -> std::io::Result<()> {
        self.write_settings(world, number, 0)?;
        world.promises.note_start();
        let log = File::options()
            .create(true)
            .append(true)
            .open(world.folder.join(format!("vm-{number}.log")))?;
        let child = Command::new(std::env::current_exe()?)
            .args(["steering-node", "--settings"])
            .arg(settings_path(world, number))
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .kill_on_drop(true)
            .spawn()?;
        self.children.lock().unwrap().insert(number, child);
        Ok(())
    }

    /// Sends a signal to a VM's process.
    pub(crate) fn signal(&self, number: u8, signal: Signal) {
        let children = self.children.lock().unwrap();
        let pid = children.get(&number).and_then(Child::id);
        if let Some(pid) = pid
            && let Err(error) = kill(Pid::from_raw(pid as i32), signal)
        {
            println!("vm {number}: {signal}: {error}");
        }
    }

    /// Kills a VM's process.
    pub(crate) async fn kill(&self, number: u8) {
        let child = self.children.lock().unwrap().remove(&number);
        if let Some(mut child) = child
            && let Err(error) = child.kill().await
        {
            println!("vm {number}: kill: {error}");
        }
    }

    /// Stops a VM gracefully and checks that it ends well and in time.
    pub(crate) async fn stop(&self, world: &World, number: u8) {
        self.signal(number, Signal::SIGTERM);
        let Some(mut child) = self.children.lock().unwrap().remove(&number) else {
            return;
        };
        let started_at = Instant::now();
        match tokio::time::timeout(GRACE, child.wait()).await {
            Ok(Ok(status)) if status.success() => {}
            ended => world.promises.break_promise(format!(
                "vm {number} did not end well on SIGTERM: {ended:?} after {:?}",
                started_at.elapsed()
            )),
        }
    }

    /// Stops all VMs at once.
    pub(crate) async fn stop_all(&self, world: &Arc<World>) {
        let stops: Vec<_> = (1..=self.count)
            .map(|number| {
                let world = world.clone();
                tokio::spawn(async move { world.vms.stop(&world, number).await })
            })
            .collect();
        for stop in stops {
            stop.await.expect("a stop does not panic");
        }
    }

    /// Checks that no process ended by itself.
    pub(crate) fn check_running(&self, world: &World) {
        for (number, child) in self.children.lock().unwrap().iter_mut() {
            if let Ok(Some(status)) = child.try_wait() {
                let what = format!("vm {number} ended by itself: {status}");
                world.promises.break_promise(what);
            }
        }
    }

    /// Waits until all VMs are in rotation.
    pub(crate) async fn wait_ready(&self) {
        let started_at = Instant::now();
        while self.rotation.lock().unwrap().len() < usize::from(self.count) {
            assert!(
                started_at.elapsed() < START_LIMIT,
                "the VMs do not become ready"
            );
            sleep(Duration::from_millis(20)).await;
        }
    }
}

/// Returns the data centre that a VM or an endpoint stands in.
pub(crate) fn data_centre(number: u8) -> &'static str {
    if number.is_multiple_of(2) {
        "dc-a"
    } else {
        "dc-b"
    }
}

fn settings_path(world: &World, number: u8) -> std::path::PathBuf {
    world.folder.join(format!("vm-{number}.json"))
}

/// Keeps the rotation as the readiness checks say; two misses take a VM out.
pub(crate) async fn watch_rotation(world: Arc<World>) {
    let client = reqwest::Client::builder()
        .timeout(Duration::from_millis(400))
        .build()
        .expect("the client has no fallible part");
    let mut misses = HashMap::<Ipv4Addr, u32>::new();
    loop {
        let checks = (1..=world.options.vms).map(|number| {
            let ip = world.ip(1, number);
            let request = client.get(format!("http://{ip}:{}/ready", port::READY));
            async move {
                let answer = request.send().await;
                (ip, answer.is_ok_and(|answer| answer.status().is_success()))
            }
        });
        let tasks: Vec<_> = checks.map(tokio::spawn).collect();
        let mut ready = Vec::new();
        for task in tasks {
            let (ip, is_ready) = task.await.expect("a check does not panic");
            let missed = misses.entry(ip).or_insert(2);
            *missed = if is_ready { 0 } else { *missed + 1 };
            if *missed < 2 {
                ready.push(SocketAddrV4::new(ip, port::PACKET));
            }
        }
        *world.vms.rotation.lock().unwrap() = ready;
        sleep(CHECK_INTERVAL).await;
    }
}
