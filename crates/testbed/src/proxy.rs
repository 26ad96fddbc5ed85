//! TCP proxy in front of the platform, with injected faults.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, AtomicU32, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// Fault that the proxy injects into its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum ProxyFault {
    /// No fault: all data is relayed.
    None,
    /// Drops the data of both directions.
    DropAll,
    /// Drops the store's responses.
    DropResponses,
    /// Closes a direction of a connection when data arrives on it.
    Close,
    /// Relays all data after a delay of 250 ms.
    Delay,
}

/// Faults that a proxy injects at present; none by default.
#[derive(Debug, Default)]
pub struct ProxySwitch {
    /// The [`ProxyFault`] of all connections.
    fault: AtomicU8,
    /// Number of times that the open connections were silenced.
    silence_count: AtomicU32,
}

impl ProxySwitch {
    /// Sets the fault for open and new connections.
    pub fn set(&self, fault: ProxyFault) {
        self.fault.store(fault as u8, Ordering::Relaxed);
    }

    /// Makes the open connections silent for good: they stay open, and their data is dropped. New
    /// connections are not affected.
    pub fn silence_open_connections(&self) {
        self.silence_count.fetch_add(1, Ordering::Relaxed);
    }

    fn is_set(&self, fault: ProxyFault) -> bool {
        self.fault.load(Ordering::Relaxed) == fault as u8
    }

    fn silence_count(&self) -> u32 {
        self.silence_count.load(Ordering::Relaxed)
    }
}

/// Relays the connections of a listener to `target` until the process ends.
pub fn spawn(listener: TcpListener, target: SocketAddr, fault_switch: Arc<ProxySwitch>) {
    tokio::spawn(async move {
        while let Ok((client_stream, _)) = listener.accept().await {
            let Ok(target_stream) = TcpStream::connect(target).await else {
                continue;
            };
            let (client_reader, client_writer) = client_stream.into_split();
            let (target_reader, target_writer) = target_stream.into_split();
            tokio::spawn(relay(
                client_reader,
                target_writer,
                fault_switch.clone(),
                false,
            ));
            tokio::spawn(relay(
                target_reader,
                client_writer,
                fault_switch.clone(),
                true,
            ));
        }
    });
}

/// Relays one direction of a connection until either side closes it. `is_response` is true in
/// the direction from the target to the client.
async fn relay(
    mut reader: OwnedReadHalf,
    mut writer: OwnedWriteHalf,
    fault_switch: Arc<ProxySwitch>,
    is_response: bool,
) {
    let mut buffer = [0; 4096];
    let silence_count = fault_switch.silence_count();
    loop {
        let Ok(len @ 1..) = reader.read(&mut buffer).await else {
            return;
        };
        if fault_switch.is_set(ProxyFault::Close) {
            return;
        }
        if fault_switch.is_set(ProxyFault::Delay) {
            sleep(Duration::from_millis(250)).await;
        }
        let is_lost = fault_switch.silence_count() != silence_count
            || fault_switch.is_set(ProxyFault::DropAll)
            || (is_response && fault_switch.is_set(ProxyFault::DropResponses));
        if !is_lost && writer.write_all(&buffer[..len]).await.is_err() {
            return;
        }
    }
}
