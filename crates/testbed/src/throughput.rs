//! Packet rates of a node, directly and through another node, beside a bare relay.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use ragwortbeam::flow::Key;
use ragwortbeam::id;
use ragwortbeam::membership::View;
use tokio::net::UdpSocket;
use tokio::process::Command;
use tokio::time::{sleep, timeout};

use crate::echo::EchoServer;
use crate::fabric::Faults;
use crate::world::{World, WorldConfig};

/// Callers at once, each with one datagram under way.
const CALLERS: usize = 64;

/// Time of one measurement.
const TIME: Duration = Duration::from_secs(3);

/// Rounds over all paths, so that slow drift of the machine meets each alike.
const ROUNDS: usize = 3;

/// Length of each datagram, bytes.
const LEN: usize = 64;

/// Time after which a datagram counts as lost.
const LOST_AFTER: Duration = Duration::from_millis(200);

/// Measures all paths and prints their rates and ratios.
pub async fn run() -> std::io::Result<bool> {
    let world = World::start(WorldConfig {
        vms: 2,
        faults: Faults {
            loss: 0.0,
            duplication: 0.0,
            delay: 0.0,
            longest_delay: Duration::ZERO,
        },
        ..WorldConfig::default()
    })
    .await?;
    let echo = EchoServer::start().await?;
    let mut relay = Command::new(std::env::current_exe()?)
        .args(["relay", &echo.address.to_string()])
        .stdout(std::process::Stdio::piped())
        .kill_on_drop(true)
        .spawn()?;
    let relay_address = read_address(&mut relay).await?;
    let [direct, forwarded] = [world.datagram_address(0), world.datagram_address(1)];
    let mut sums = [0.0; 3];
    for _ in 0..ROUNDS {
        let any = callers(|_| true).await?;
        sums[0] += rate(any, relay_address).await;
        let owned = callers(|caller| is_owned_by_first(&world, caller)).await?;
        sums[1] += rate(owned, direct).await;
        let owned = callers(|caller| is_owned_by_first(&world, caller)).await?;
        sums[2] += rate(owned, forwarded).await;
    }
    let [bare, direct, forwarded] = sums.map(|sum| sum / ROUNDS as f64);
    println!("path=relay round_trips_per_s={bare:.0} ratio=1.00");
    println!(
        "path=direct round_trips_per_s={direct:.0} ratio={:.2}",
        direct / bare
    );
    println!(
        "path=forwarded round_trips_per_s={forwarded:.0} ratio={:.2}",
        forwarded / bare
    );
    world.close();
    Ok(true)
}

/// Runs a bare relay towards `target`: one socket for callers, one for each flow.
pub async fn relay(target: SocketAddr) -> std::io::Result<bool> {
    let front = Arc::new(UdpSocket::bind("127.0.0.1:0").await?);
    println!("{}", front.local_addr()?);
    let mut legs: std::collections::HashMap<SocketAddr, Arc<UdpSocket>> = Default::default();
    let mut buffer = [0; 2048];
    loop {
        let (len, caller) = front.recv_from(&mut buffer).await?;
        let leg = match legs.get(&caller) {
            Some(leg) => leg.clone(),
            None => {
                let leg = Arc::new(UdpSocket::bind("127.0.0.1:0").await?);
                leg.connect(target).await?;
                tokio::spawn(return_answers(leg.clone(), front.clone(), caller));
                legs.insert(caller, leg.clone());
                leg
            }
        };
        let _ = leg.try_send(&buffer[..len]);
    }
}

async fn return_answers(leg: Arc<UdpSocket>, front: Arc<UdpSocket>, caller: SocketAddr) {
    let mut buffer = [0; 2048];
    while let Ok(len) = leg.recv(&mut buffer).await {
        let _ = front.try_send_to(&buffer[..len], caller);
    }
}

async fn read_address(relay: &mut tokio::process::Child) -> std::io::Result<SocketAddr> {
    use tokio::io::{AsyncBufReadExt, BufReader};
    let output = relay.stdout.take().expect("the output is piped");
    let mut line = String::new();
    BufReader::new(output).read_line(&mut line).await?;
    line.trim().parse().map_err(std::io::Error::other)
}

/// Opens callers whose addresses `accept` picks.
async fn callers(accept: impl Fn(SocketAddr) -> bool) -> std::io::Result<Vec<UdpSocket>> {
    let mut callers = Vec::with_capacity(CALLERS);
    while callers.len() < CALLERS {
        let socket = UdpSocket::bind("127.0.0.1:0").await?;
        if accept(socket.local_addr()?) {
            callers.push(socket);
        }
    }
    Ok(callers)
}

fn is_owned_by_first(world: &World, caller: SocketAddr) -> bool {
    let service = id::Service::of(World::DATAGRAM_SERVICE);
    let key = Key { service, caller };
    let first = id::Vm::of(&world.vms[&0].name);
    let second = id::Vm::of(&world.vms[&1].name);
    let mut view = View::new(first, "", Default::default(), true);
    view.owners = vec![first, second];
    view.owner(key.hash()) == first
}

/// Returns the round trips a second of all callers together.
async fn rate(callers: Vec<UdpSocket>, target: SocketAddr) -> f64 {
    // Opens the flows before the time is taken.
    for caller in &callers {
        let _ = caller.send_to(&[0; LEN], target).await;
    }
    sleep(LOST_AFTER).await;
    let begun = Instant::now();
    let tasks = callers
        .into_iter()
        .map(|caller| tokio::spawn(round_trips(caller, target, begun + TIME)));
    let tasks: Vec<_> = tasks.collect();
    let mut count = 0;
    for task in tasks {
        count += task.await.unwrap_or(0);
    }
    count as f64 / begun.elapsed().as_secs_f64()
}

async fn round_trips(caller: UdpSocket, target: SocketAddr, until: Instant) -> u64 {
    let mut buffer = [0; 2048];
    let mut count = 0;
    while Instant::now() < until {
        let _ = caller.send_to(&[1; LEN], target).await;
        if timeout(LOST_AFTER, caller.recv(&mut buffer)).await.is_ok() {
            count += 1;
        }
    }
    count
}
