//! Simulated `datagrams` service: echo servers, and callers that check the echoes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

use crate::caller::Target;
use crate::fabric::Fabric;
use crate::history::{Event, History};

/// Longest wait for a further echo of a datagram, and pause after it before the next datagram.
const SEND_INTERVAL: Duration = Duration::from_millis(100);

/// Length of the port in front of the echoed payload, bytes.
const PORT_LEN: usize = 2;

/// Length of the receive buffers, bytes.
const BUFFER_LEN: usize = 2048;

/// Echo server that puts its own port in front of each datagram it returns.
#[derive(Debug)]
pub struct EchoServer {
    /// Address that the server listens on.
    pub address: SocketAddr,
    task: JoinHandle<()>,
}

impl EchoServer {
    /// Starts a server on a free port of 127.0.0.1; it stops when dropped.
    pub async fn start() -> std::io::Result<Self> {
        let socket = UdpSocket::bind("127.0.0.1:0").await?;
        let address = socket.local_addr()?;
        let task = tokio::spawn(async move {
            let mut buffer = vec![0; BUFFER_LEN];
            buffer[..PORT_LEN].copy_from_slice(&address.port().to_be_bytes());
            loop {
                if let Ok((len, source)) = socket.recv_from(&mut buffer[PORT_LEN..]).await {
                    let _ = socket.send_to(&buffer[..PORT_LEN + len], source).await;
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

/// Sends datagrams with the flow's id from one address and records the server of each echo.
pub async fn run_datagram_flow(target: Target, fabric: Arc<Fabric>, history: Arc<History>) {
    let Ok(socket) = UdpSocket::bind("127.0.0.1:0").await.map(Arc::new) else {
        return;
    };
    let id = history.next_id();
    let mut buffer = [0; BUFFER_LEN];
    loop {
        let payload = id.0.to_be_bytes();
        fabric.send(&socket, target.port, &payload);
        while let Ok(Ok(len)) = timeout(SEND_INTERVAL, socket.recv(&mut buffer)).await {
            let (port, echoed) = buffer[..len].split_at(len.min(PORT_LEN));
            history.add(Event::Echoed {
                id,
                server_port: port.try_into().map_or(0, u16::from_be_bytes),
                is_own_payload: echoed == payload,
            });
        }
        sleep(SEND_INTERVAL).await;
    }
}
