//! Stand-in for the network between VMs, which can be cut in parts.
//!
//! VMs are listed under relay addresses. A relay passes frames and calls on to the real
//! address of the VM and shows it the relay address of the sender.

use std::collections::{HashMap, HashSet};
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};

use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::task::JoinHandle;
use tokio::time::{Duration, sleep};

/// How often an open connection looks whether it was cut.
const CUT_INTERVAL: Duration = Duration::from_millis(20);

/// Largest frame relayed.
const MAX_FRAME_LEN: usize = 65_535;

/// Relays of all VMs.
#[derive(Debug, Default)]
pub struct Network {
    inner: Mutex<Inner>,
    tasks: Mutex<Vec<JoinHandle<()>>>,
}

#[derive(Debug, Default)]
struct Inner {
    /// Relay sockets by the real IP of their VM.
    sockets: HashMap<IpAddr, Arc<UdpSocket>>,
    /// Pairs of real IPs that do not reach each other, in both orders.
    cut: HashSet<(IpAddr, IpAddr)>,
}

impl Network {
    /// Opens the relay of the VM at `real`, listed at `listed`.
    pub async fn add(
        self: &Arc<Self>,
        real: SocketAddr,
        listed: SocketAddr,
    ) -> std::io::Result<()> {
        let socket = Arc::new(UdpSocket::bind(listed).await?);
        let listener = TcpListener::bind(listed).await?;
        self.inner
            .lock()
            .unwrap()
            .sockets
            .insert(real.ip(), socket.clone());
        let frames = tokio::spawn(self.clone().relay_frames(socket, real));
        let calls = tokio::spawn(self.clone().relay_calls(listener, real));
        self.tasks.lock().unwrap().extend([frames, calls]);
        Ok(())
    }

    /// Cuts the network between two sets of VMs.
    pub fn partition(&self, one: &[IpAddr], other: &[IpAddr]) {
        let mut inner = self.inner.lock().unwrap();
        for left in one {
            for right in other {
                inner.cut.insert((*left, *right));
                inner.cut.insert((*right, *left));
            }
        }
    }

    /// Joins all parts again.
    pub fn heal_partitions(&self) {
        self.inner.lock().unwrap().cut.clear();
    }

    /// Stops all relays.
    pub fn close(&self) {
        for task in self.tasks.lock().unwrap().drain(..) {
            task.abort();
        }
    }

    async fn relay_frames(self: Arc<Self>, socket: Arc<UdpSocket>, real: SocketAddr) {
        let mut buffer = vec![0; MAX_FRAME_LEN];
        loop {
            let Ok((len, source)) = socket.recv_from(&mut buffer).await else {
                continue;
            };
            if self.is_cut(source.ip(), real.ip()) {
                continue;
            }
            let shown = self
                .inner
                .lock()
                .unwrap()
                .sockets
                .get(&source.ip())
                .cloned();
            if let Some(shown) = shown {
                let _ = shown.try_send_to(&buffer[..len], real);
            }
        }
    }

    async fn relay_calls(self: Arc<Self>, listener: TcpListener, real: SocketAddr) {
        loop {
            let Ok((incoming, source)) = listener.accept().await else {
                continue;
            };
            tokio::spawn(self.clone().relay_call(incoming, source.ip(), real));
        }
    }

    /// Relays one connection until it ends or is cut.
    async fn relay_call(
        self: Arc<Self>,
        mut incoming: TcpStream,
        source: IpAddr,
        real: SocketAddr,
    ) {
        let Ok(mut outgoing) = TcpStream::connect(real).await else {
            return;
        };
        // Calls are small; without this each waits for the delayed acknowledgement.
        let _ = incoming.set_nodelay(true);
        let _ = outgoing.set_nodelay(true);
        let cut = async {
            while !self.is_cut(source, real.ip()) {
                sleep(CUT_INTERVAL).await;
            }
        };
        tokio::select! {
            _ = copy_bidirectional(&mut incoming, &mut outgoing) => {}
            () = cut => {}
        }
    }

    fn is_cut(&self, one: IpAddr, other: IpAddr) -> bool {
        self.inner.lock().unwrap().cut.contains(&(one, other))
    }
}
