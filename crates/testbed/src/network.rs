//! Simulated network between VMs, which can be partitioned.
//!
//! The platform lists VMs under relay addresses. A relay forwards the frames (UDP) and calls (TCP)
//! of peers to the real address of its VM; frames arrive there from the sender's relay address.

use std::collections::{HashMap, HashSet};
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};

use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::task::JoinHandle;
use tokio::time::{Duration, sleep};

/// Interval at which an open connection checks whether a partition separates its ends.
const PARTITION_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Longest frame that is relayed, bytes.
const MAX_FRAME_LEN: usize = 65_535;

/// Relays of all VMs.
#[derive(Debug, Default)]
pub struct Network {
    state: Mutex<State>,
    tasks: Mutex<Vec<JoinHandle<()>>>,
}

#[derive(Debug, Default)]
struct State {
    /// Relay sockets by the real IP of their VM.
    sockets: HashMap<IpAddr, Arc<UdpSocket>>,
    /// Pairs of real IPs that a partition separates, in both orders.
    blocked_pairs: HashSet<(IpAddr, IpAddr)>,
}

impl Network {
    /// Opens the relay of a VM at the address under which the platform lists the VM.
    pub async fn add(
        self: &Arc<Self>,
        vm_address: SocketAddr,
        relay_address: SocketAddr,
    ) -> std::io::Result<()> {
        let socket = Arc::new(UdpSocket::bind(relay_address).await?);
        let listener = TcpListener::bind(relay_address).await?;
        self.state
            .lock()
            .unwrap()
            .sockets
            .insert(vm_address.ip(), socket.clone());
        let frames = tokio::spawn(self.clone().relay_frames(socket, vm_address));
        let connections = tokio::spawn(self.clone().relay_connections(listener, vm_address));
        self.tasks.lock().unwrap().extend([frames, connections]);
        Ok(())
    }

    /// Blocks the network between two sets of VMs, given by their real IPs.
    pub fn partition(&self, side: &[IpAddr], other_side: &[IpAddr]) {
        let mut state = self.state.lock().unwrap();
        for ip in side {
            for other_ip in other_side {
                state.blocked_pairs.insert((*ip, *other_ip));
                state.blocked_pairs.insert((*other_ip, *ip));
            }
        }
    }

    /// Removes all partitions.
    pub fn heal_partitions(&self) {
        self.state.lock().unwrap().blocked_pairs.clear();
    }

    /// Stops all relays; connections that are already open are still relayed.
    pub fn close(&self) {
        for task in self.tasks.lock().unwrap().drain(..) {
            task.abort();
        }
    }

    async fn relay_frames(self: Arc<Self>, socket: Arc<UdpSocket>, vm_address: SocketAddr) {
        let mut buffer = vec![0; MAX_FRAME_LEN];
        loop {
            let Ok((len, source)) = socket.recv_from(&mut buffer).await else {
                continue;
            };
            if self.is_blocked(source.ip(), vm_address.ip()) {
                continue;
            }
            let sender_relay = self
                .state
                .lock()
                .unwrap()
                .sockets
                .get(&source.ip())
                .cloned();
            if let Some(sender_relay) = sender_relay {
                let _ = sender_relay.try_send_to(&buffer[..len], vm_address);
            }
        }
    }

    async fn relay_connections(self: Arc<Self>, listener: TcpListener, vm_address: SocketAddr) {
        loop {
            let Ok((incoming, source)) = listener.accept().await else {
                continue;
            };
            tokio::spawn(
                self.clone()
                    .relay_connection(incoming, source.ip(), vm_address),
            );
        }
    }

    /// Relays one connection until it ends or a partition separates its ends.
    async fn relay_connection(
        self: Arc<Self>,
        mut incoming: TcpStream,
        source: IpAddr,
        vm_address: SocketAddr,
    ) {
        let Ok(mut outgoing) = TcpStream::connect(vm_address).await else {
            return;
        };
        // Calls are small; without TCP_NODELAY each would wait for the delayed acknowledgement.
        let _ = incoming.set_nodelay(true);
        let _ = outgoing.set_nodelay(true);
        let until_blocked = async {
            while !self.is_blocked(source, vm_address.ip()) {
                sleep(PARTITION_CHECK_INTERVAL).await;
            }
        };
        tokio::select! {
            _ = copy_bidirectional(&mut incoming, &mut outgoing) => {}
            () = until_blocked => {}
        }
    }

    fn is_blocked(&self, source: IpAddr, destination: IpAddr) -> bool {
        self.state
            .lock()
            .unwrap()
            .blocked_pairs
            .contains(&(source, destination))
    }
}
