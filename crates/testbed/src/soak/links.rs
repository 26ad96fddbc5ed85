//! Links between VMs. Each VM advertises the address of a relay, which forwards datagrams and
//! connections to the VM, or drops or delays them depending on sender and receiver.

use std::collections::HashSet;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rand::RngExt;
use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::time::sleep;

use super::{Cluster, port};

/// Largest datagram between VMs, in bytes.
const MAX_DATAGRAM_LEN: usize = 65_536;

/// Upper bound of the random delay of a datagram on a degraded link.
const MAX_DEGRADED_DELAY_MS: u64 = 120;

/// Share of datagrams that a degraded link drops, in percent.
const DEGRADED_LOSS_PERCENT: u32 = 30;

/// Faults of the links between VMs.
#[derive(Debug, Default)]
pub(crate) struct Links {
    /// Pairs of sender and receiver whose datagrams are dropped.
    cut_pairs: Mutex<HashSet<(u8, u8)>>,
    /// Receivers; datagrams to them are delayed, reordered or dropped.
    degraded: Mutex<HashSet<u8>>,
}

impl Links {
    /// Cuts or restores the links of pairs of sender and receiver.
    pub(crate) fn set_cut(&self, pairs: &[(u8, u8)], is_cut: bool) {
        let mut cut_pairs = self.cut_pairs.lock().unwrap();
        for pair in pairs {
            if is_cut {
                cut_pairs.insert(*pair);
            } else {
                cut_pairs.remove(pair);
            }
        }
    }

    /// Degrades or restores the links to a VM.
    pub(crate) fn set_degraded(&self, receiver: u8, is_degraded: bool) {
        let mut degraded = self.degraded.lock().unwrap();
        if is_degraded {
            degraded.insert(receiver);
        } else {
            degraded.remove(&receiver);
        }
    }

    fn is_cut(&self, sender: u8, receiver: u8) -> bool {
        self.cut_pairs.lock().unwrap().contains(&(sender, receiver))
    }

    /// Returns whether the links from all other VMs are cut. Connections are dropped only
    /// then, since their source address does not identify the sending VM.
    fn is_isolated(&self, receiver: u8, vms: u8) -> bool {
        (1..=vms).all(|sender| sender == receiver || self.is_cut(sender, receiver))
    }

    fn is_degraded(&self, receiver: u8) -> bool {
        self.degraded.lock().unwrap().contains(&receiver)
    }
}

/// Starts the relay to a VM.
pub(crate) async fn start(cluster: &Arc<Cluster>, receiver: u8) -> std::io::Result<()> {
    let link_address = SocketAddrV4::new(cluster.ip(5, receiver), port::PEER);
    let vm_address = SocketAddrV4::new(cluster.ip(1, receiver), port::PEER);
    let socket = Arc::new(UdpSocket::bind(link_address).await?);
    let listener = TcpListener::bind(link_address).await?;
    tokio::spawn(relay_datagrams(
        cluster.clone(),
        receiver,
        socket,
        vm_address,
    ));
    tokio::spawn(relay_connections(
        cluster.clone(),
        receiver,
        listener,
        vm_address,
    ));
    Ok(())
}

async fn relay_datagrams(
    cluster: Arc<Cluster>,
    receiver: u8,
    socket: Arc<UdpSocket>,
    vm_address: SocketAddrV4,
) {
    let mut buffer = vec![0; MAX_DATAGRAM_LEN];
    loop {
        // An error means that an earlier datagram was refused while the VM was down.
        let Ok((len, SocketAddr::V4(sender))) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        if cluster.links.is_cut(vm_number(*sender.ip()), receiver) {
            continue;
        }
        if !cluster.links.is_degraded(receiver) {
            // A datagram to a stopped process is lost, as on a network.
            let _ = socket.try_send_to(&buffer[..len], vm_address.into());
            continue;
        }
        if rand::rng().random_range(0..100) < DEGRADED_LOSS_PERCENT {
            continue;
        }
        let delay = Duration::from_millis(rand::rng().random_range(0..MAX_DEGRADED_DELAY_MS));
        let (socket, datagram) = (socket.clone(), buffer[..len].to_vec());
        tokio::spawn(async move {
            sleep(delay).await;
            let _ = socket.try_send_to(&datagram, vm_address.into());
        });
    }
}

async fn relay_connections(
    cluster: Arc<Cluster>,
    receiver: u8,
    listener: TcpListener,
    vm_address: SocketAddrV4,
) {
    while let Ok((mut peer_stream, _)) = listener.accept().await {
        if cluster.links.is_isolated(receiver, cluster.options.vms) {
            continue;
        }
        tokio::spawn(async move {
            if let Ok(mut vm_stream) = TcpStream::connect(vm_address).await {
                // Either side may close or reset the connection at any time.
                let _ = copy_bidirectional(&mut peer_stream, &mut vm_stream).await;
            }
        });
    }
}

/// Returns the number of the VM with this address.
fn vm_number(ip: Ipv4Addr) -> u8 {
    ip.octets()[3]
}
