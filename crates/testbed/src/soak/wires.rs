//! Wires between VMs: each VM is reached at an address of the soak, which passes datagrams
//! and connections on, or loses, holds up and cuts them by sender and receiver.

use std::collections::HashSet;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rand::RngExt;
use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::time::sleep;

use super::{World, port};

/// Largest datagram between VMs, bytes.
const MAX_DATAGRAM_LEN: usize = 65_536;

/// Longest time for which a poor wire holds up a datagram.
const MAX_DELAY_MS: u64 = 120;

/// Share of its datagrams that a poor wire loses, percent.
const LOSS_PERCENT: u32 = 30;

/// What is wrong with the wires.
#[derive(Debug, Default)]
pub(crate) struct Wires {
    /// Pairs of sender and receiver between which nothing passes.
    cut: Mutex<HashSet<(u8, u8)>>,
    /// Receivers to which datagrams come late, out of order or not at all.
    poor: Mutex<HashSet<u8>>,
}

impl Wires {
    /// Cuts or mends pairs of sender and receiver.
    pub(crate) fn set_cut(&self, pairs: &[(u8, u8)], is_cut: bool) {
        let mut cut = self.cut.lock().unwrap();
        for pair in pairs {
            if is_cut {
                cut.insert(*pair);
            } else {
                cut.remove(pair);
            }
        }
    }

    /// Makes the wire to a VM poor or mends it.
    pub(crate) fn set_poor(&self, number: u8, is_poor: bool) {
        let mut poor = self.poor.lock().unwrap();
        if is_poor {
            poor.insert(number);
        } else {
            poor.remove(&number);
        }
    }

    fn is_cut(&self, from: u8, to: u8) -> bool {
        self.cut.lock().unwrap().contains(&(from, to))
    }

    /// A connection does not tell its sender: it passes unless nobody reaches the VM.
    fn is_alone(&self, to: u8, vms: u8) -> bool {
        (1..=vms).all(|from| from == to || self.is_cut(from, to))
    }

    fn is_poor(&self, to: u8) -> bool {
        self.poor.lock().unwrap().contains(&to)
    }
}

/// Starts the wire to a VM.
pub(crate) async fn start(world: &Arc<World>, number: u8) -> std::io::Result<()> {
    let outside = SocketAddrV4::new(world.ip(5, number), port::PEER);
    let inside = SocketAddrV4::new(world.ip(1, number), port::PEER);
    let socket = Arc::new(UdpSocket::bind(outside).await?);
    let listener = TcpListener::bind(outside).await?;
    tokio::spawn(pass_datagrams(world.clone(), number, socket, inside));
    tokio::spawn(pass_connections(world.clone(), number, listener, inside));
    Ok(())
}

async fn pass_datagrams(
    world: Arc<World>,
    number: u8,
    socket: Arc<UdpSocket>,
    inside: SocketAddrV4,
) {
    let mut bytes = vec![0; MAX_DATAGRAM_LEN];
    loop {
        // An error here says that the VM's port was closed while it was down.
        let Ok((len, SocketAddr::V4(from))) = socket.recv_from(&mut bytes).await else {
            continue;
        };
        if world.wires.is_cut(vm_number(*from.ip()), number) {
            continue;
        }
        if !world.wires.is_poor(number) {
            // As on a network, a datagram to a process that is down is lost.
            let _ = socket.try_send_to(&bytes[..len], inside.into());
            continue;
        }
        if rand::rng().random_range(0..100) < LOSS_PERCENT {
            continue;
        }
        let delay = Duration::from_millis(rand::rng().random_range(0..MAX_DELAY_MS));
        let (socket, datagram) = (socket.clone(), bytes[..len].to_vec());
        tokio::spawn(async move {
            sleep(delay).await;
            let _ = socket.try_send_to(&datagram, inside.into());
        });
    }
}

async fn pass_connections(
    world: Arc<World>,
    number: u8,
    listener: TcpListener,
    inside: SocketAddrV4,
) {
    while let Ok((mut near, _)) = listener.accept().await {
        if world.wires.is_alone(number, world.options.vms) {
            continue;
        }
        tokio::spawn(async move {
            if let Ok(mut far) = TcpStream::connect(inside).await {
                // Either side may end the connection at any time.
                let _ = copy_bidirectional(&mut near, &mut far).await;
            }
        });
    }
}

/// Returns the number of the VM with this address.
fn vm_number(ip: Ipv4Addr) -> u8 {
    ip.octets()[3]
}
