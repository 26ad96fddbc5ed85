//! Simulated network fabric: sends each datagram to a random VM, with faults drawn from a seed.

use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use tokio::net::UdpSocket;
use tokio::time::sleep;

/// Faults of the fabric, as probabilities for each datagram.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Faults {
    /// Probability that a copy of a datagram is lost.
    pub loss: f64,
    /// Probability that a datagram is sent twice, each copy to a random VM.
    pub duplication: f64,
    /// Probability that a datagram is delayed by up to `longest_delay`, and so reordered.
    pub delay: f64,
    /// Upper bound of the uniformly distributed delay.
    pub longest_delay: Duration,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            loss: 0.01,
            duplication: 0.02,
            delay: 0.05,
            longest_delay: Duration::from_millis(40),
        }
    }
}

/// Fabric between the callers and the VMs of one data centre.
#[derive(Debug)]
pub struct Fabric {
    faults: Faults,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    rng: SmallRng,
    vms: Vec<IpAddr>,
}

impl Fabric {
    /// Returns a fabric without VMs; it drops all datagrams until [`Self::set_vms`] is called.
    pub fn new(seed: u64, faults: Faults) -> Self {
        Self {
            faults,
            state: Mutex::new(State {
                rng: SmallRng::seed_from_u64(seed),
                vms: Vec::new(),
            }),
        }
    }

    /// Replaces the VMs that datagrams are sent to.
    pub fn set_vms(&self, vms: Vec<IpAddr>) {
        self.state.lock().unwrap().vms = vms;
    }

    /// Sends a caller's datagram to the service's port of a random VM.
    pub fn send(&self, socket: &Arc<UdpSocket>, port: u16, datagram: &[u8]) {
        let copies = if self.sample_fault(self.faults.duplication) {
            2
        } else {
            1
        };
        for _ in 0..copies {
            if !self.sample_fault(self.faults.loss) {
                self.send_copy(socket, port, datagram);
            }
        }
    }

    /// Draws whether a datagram from a VM reaches its caller.
    pub fn delivers_to_caller(&self) -> bool {
        !self.sample_fault(self.faults.loss)
    }

    fn send_copy(&self, socket: &Arc<UdpSocket>, port: u16, datagram: &[u8]) {
        let Some(destination) = self.pick_vm(port) else {
            return;
        };
        if !self.sample_fault(self.faults.delay) {
            // Sending fails when the VM's process has ended; the datagram is lost then.
            let _ = socket.try_send_to(datagram, destination);
            return;
        }
        let delay_fraction: f64 = self.state.lock().unwrap().rng.random();
        let delay = self.faults.longest_delay.mul_f64(delay_fraction);
        let (socket, datagram) = (socket.clone(), datagram.to_vec());
        tokio::spawn(async move {
            sleep(delay).await;
            let _ = socket.try_send_to(&datagram, destination);
        });
    }

    fn pick_vm(&self, port: u16) -> Option<SocketAddr> {
        let mut state = self.state.lock().unwrap();
        if state.vms.is_empty() {
            return None;
        }
        let count = state.vms.len();
        let index = state.rng.random_range(0..count);
        Some(SocketAddr::new(state.vms[index], port))
    }

    fn sample_fault(&self, probability: f64) -> bool {
        probability > 0.0 && self.state.lock().unwrap().rng.random_bool(probability)
    }
}
