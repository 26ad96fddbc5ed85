//! Stand-ins for a `datagrams` service: servers that echo and callers that check.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

use crate::caller::Target;
use crate::fabric::Fabric;
use crate::history::{Event, History};

/// Time between two datagrams of a caller.
const SEND_INTERVAL: Duration = Duration::from_millis(100);

/// Length of the server's name before the echoed payload, bytes.
const NAME_LEN: usize = 2;

/// Largest datagram.
const MAX_LEN: usize = 2048;

/// A server that answers each datagram with its port and the datagram.
#[derive(Debug)]
pub struct EchoServer {
    /// Where it listens.
    pub address: SocketAddr,
    task: JoinHandle<()>,
}

impl EchoServer {
    /// Starts a server.
    pub async fn start() -> std::io::Result<Self> {
        let socket = UdpSocket::bind("127.0.0.1:0").await?;
        let address = socket.local_addr()?;
        let task = tokio::spawn(async move {
            let mut buffer = vec![0; MAX_LEN];
            buffer[..NAME_LEN].copy_from_slice(&address.port().to_be_bytes());
            loop {
                if let Ok((len, source)) = socket.recv_from(&mut buffer[NAME_LEN..]).await {
                    let _ = socket.send_to(&buffer[..NAME_LEN + len], source).await;
                }
            }
        });
        Ok(Self { address, task })
    }
}

impl Drop for EchoServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Sends numbered datagrams from one address and notes which server echoes each.
pub async fn run_datagram_flow(target: Target, fabric: Arc<Fabric>, history: Arc<History>) {
    let Ok(socket) = UdpSocket::bind("127.0.0.1:0").await.map(Arc::new) else {
        return;
    };
    let id = history.next_id();
    let mut buffer = [0; MAX_LEN];
    loop {
        let payload = id.0.to_be_bytes();
        fabric.send(&socket, target.port, &payload);
        while let Ok(Ok(len)) = timeout(SEND_INTERVAL, socket.recv(&mut buffer)).await {
            let (name, echoed) = buffer[..len].split_at(len.min(NAME_LEN));
            history.add(Event::Echoed {
                id,
                server: name.try_into().map_or(0, u16::from_be_bytes),
                is_own: echoed == payload,
            });
        }
        sleep(SEND_INTERVAL).await;
    }
}
