//! Stand-in for the fabric: hands each datagram to any VM, with faults from a seed.

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
    /// Lost.
    pub loss: f64,
    /// Delivered twice, to any two VMs.
    pub duplication: f64,
    /// Delayed by up to `longest_delay`, and so overtaken by others.
    pub delay: f64,
    /// Longest delay.
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

/// The fabric before one data centre.
#[derive(Debug)]
pub struct Fabric {
    faults: Faults,
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    rng: SmallRng,
    vms: Vec<IpAddr>,
}

impl Fabric {
    /// Returns a fabric that knows no VM yet.
    pub fn new(seed: u64, faults: Faults) -> Self {
        Self {
            faults,
            inner: Mutex::new(Inner {
                rng: SmallRng::seed_from_u64(seed),
                vms: Vec::new(),
            }),
        }
    }

    /// Sets the VMs that packets are handed to.
    pub fn set_vms(&self, vms: Vec<IpAddr>) {
        self.inner.lock().unwrap().vms = vms;
    }

    /// Hands a caller's datagram to a VM, at the service's port.
    pub fn send(&self, socket: &Arc<UdpSocket>, port: u16, datagram: &[u8]) {
        let copies = if self.happens(self.faults.duplication) {
            2
        } else {
            1
        };
        for _ in 0..copies {
            if !self.happens(self.faults.loss) {
                self.send_copy(socket, port, datagram);
            }
        }
    }

    /// Returns whether a datagram from a VM reaches its caller.
    pub fn delivers(&self) -> bool {
        !self.happens(self.faults.loss)
    }

    fn send_copy(&self, socket: &Arc<UdpSocket>, port: u16, datagram: &[u8]) {
        let Some(target) = self.pick(port) else {
            return;
        };
        if !self.happens(self.faults.delay) {
            // A VM that is gone refuses the datagram; that is a loss like any other.
            let _ = socket.try_send_to(datagram, target);
            return;
        }
        let share: f64 = self.inner.lock().unwrap().rng.random();
        let wait = self.faults.longest_delay.mul_f64(share);
        let (socket, datagram) = (socket.clone(), datagram.to_vec());
        tokio::spawn(async move {
            sleep(wait).await;
            let _ = socket.try_send_to(&datagram, target);
        });
    }

    fn pick(&self, port: u16) -> Option<SocketAddr> {
        let mut inner = self.inner.lock().unwrap();
        if inner.vms.is_empty() {
            return None;
        }
        let count = inner.vms.len();
        let index = inner.rng.random_range(0..count);
        Some(SocketAddr::new(inner.vms[index], port))
    }

    fn happens(&self, probability: f64) -> bool {
        probability > 0.0 && self.inner.lock().unwrap().rng.random_bool(probability)
    }
}
