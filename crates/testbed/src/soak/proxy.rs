//! TCP proxy between one VM and the store, which cuts, silences and resets.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use super::{World, port};

/// What the proxy does to bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Fault {
    /// Passes them on.
    None,
    /// Drops those of both directions.
    Silent,
    /// Drops the store's answers.
    OneWay,
    /// Closes connections.
    Reset,
    /// Passes them on late.
    Late,
}

/// State of one VM's proxy.
#[derive(Debug, Default)]
pub struct Switch(AtomicU8);

impl Switch {
    /// Changes what the proxy does.
    pub fn set(&self, fault: Fault) {
        self.0.store(fault as u8, Ordering::Relaxed);
    }

    fn is(&self, fault: Fault) -> bool {
        self.0.load(Ordering::Relaxed) == fault as u8
    }
}

/// Starts the proxy of a VM.
pub async fn start(world: &Arc<World>, number: u8) -> std::io::Result<()> {
    let address = SocketAddrV4::new(world.ip(4, 10 + number), port::STORE);
    let listener = TcpListener::bind(address).await?;
    let (store, switch) = (world.store.address, world.vms.switch(number));
    tokio::spawn(async move {
        while let Ok((near, _)) = listener.accept().await {
            let Ok(far) = TcpStream::connect(store).await else {
                continue;
            };
            let (near_read, near_write) = near.into_split();
            let (far_read, far_write) = far.into_split();
            tokio::spawn(pass(near_read, far_write, switch.clone(), false));
            tokio::spawn(pass(far_read, near_write, switch.clone(), true));
        }
    });
    Ok(())
}

async fn pass(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, switch: Arc<Switch>, back: bool) {
    let mut bytes = [0; 4096];
    loop {
        let Ok(len @ 1..) = from.read(&mut bytes).await else {
            return;
        };
        if switch.is(Fault::Reset) {
            return;
        }
        if switch.is(Fault::Late) {
            sleep(Duration::from_millis(250)).await;
        }
        let is_lost = switch.is(Fault::Silent) || (back && switch.is(Fault::OneWay));
        if !is_lost && to.write_all(&bytes[..len]).await.is_err() {
            return;
        }
    }
}
