//! Measures the packet rates of a VM in comparison with a plain UDP relay: for flows that it
//! owns and receives directly, and for flows that another VM forwards to it.

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

/// Concurrent callers, each with one datagram in flight.
const CALLERS: usize = 64;

/// Duration of one measurement.
const MEASUREMENT_TIME: Duration = Duration::from_secs(3);

/// Rounds over all paths, so that slow changes in the machine's speed affect each path alike.
const ROUNDS: usize = 3;

/// Length of each datagram.
const DATAGRAM_BYTES: usize = 64;

/// Time without a response after which a datagram counts as lost.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(200);

/// Measures all paths and prints their rates, with the ratio of each to the relay's. Always returns
/// true, as no rate counts as a failure.
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
    let [direct_address, forwarded_address] =
        [world.datagram_address(0), world.datagram_address(1)];
    let mut sums = [0.0; 3];
    for _ in 0..ROUNDS {
        let relay_callers = bind_callers(|_| true).await?;
        sums[0] += round_trip_rate(relay_callers, relay_address).await;
        let owned_callers = bind_callers(|caller| is_owned_by_first_vm(&world, caller)).await?;
        sums[1] += round_trip_rate(owned_callers, direct_address).await;
        let owned_callers = bind_callers(|caller| is_owned_by_first_vm(&world, caller)).await?;
        sums[2] += round_trip_rate(owned_callers, forwarded_address).await;
    }
    let [relay_rate, direct_rate, forwarded_rate] = sums.map(|sum| sum / ROUNDS as f64);
    println!("path=relay round_trips_per_s={relay_rate:.0} ratio=1.00");
    println!(
        "path=direct round_trips_per_s={direct_rate:.0} ratio={:.2}",
        direct_rate / relay_rate
    );
    println!(
        "path=forwarded round_trips_per_s={forwarded_rate:.0} ratio={:.2}",
        forwarded_rate / relay_rate
    );
    world.close();
    Ok(true)
}

/// Runs a plain UDP relay to `target`, with one socket towards callers and one for each flow
/// towards the target. Prints the address for callers as the first line; returns only on an error.
pub async fn relay(target: SocketAddr) -> std::io::Result<bool> {
    let listener = Arc::new(UdpSocket::bind("127.0.0.1:0").await?);
    println!("{}", listener.local_addr()?);
    let mut upstream_sockets: std::collections::HashMap<SocketAddr, Arc<UdpSocket>> =
        Default::default();
    let mut buffer = [0; 2048];
    loop {
        let (len, caller) = listener.recv_from(&mut buffer).await?;
        let upstream = match upstream_sockets.get(&caller) {
            Some(upstream) => upstream.clone(),
            None => {
                let upstream = Arc::new(UdpSocket::bind("127.0.0.1:0").await?);
                upstream.connect(target).await?;
                tokio::spawn(relay_responses(upstream.clone(), listener.clone(), caller));
                upstream_sockets.insert(caller, upstream.clone());
                upstream
            }
        };
        let _ = upstream.try_send(&buffer[..len]);
    }
}

async fn relay_responses(upstream: Arc<UdpSocket>, listener: Arc<UdpSocket>, caller: SocketAddr) {
    let mut buffer = [0; 2048];
    while let Ok(len) = upstream.recv(&mut buffer).await {
        let _ = listener.try_send_to(&buffer[..len], caller);
    }
}

async fn read_address(relay: &mut tokio::process::Child) -> std::io::Result<SocketAddr> {
    use tokio::io::{AsyncBufReadExt, BufReader};
    let output = relay.stdout.take().expect("the output is piped");
    let mut line = String::new();
    BufReader::new(output).read_line(&mut line).await?;
    line.trim().parse().map_err(std::io::Error::other)
}

/// Binds the sockets of [`CALLERS`] callers whose addresses `accept` admits.
async fn bind_callers(accept: impl Fn(SocketAddr) -> bool) -> std::io::Result<Vec<UdpSocket>> {
    let mut callers = Vec::with_capacity(CALLERS);
    while callers.len() < CALLERS {
        let socket = UdpSocket::bind("127.0.0.1:0").await?;
        if accept(socket.local_addr()?) {
            callers.push(socket);
        }
    }
    Ok(callers)
}

fn is_owned_by_first_vm(world: &World, caller: SocketAddr) -> bool {
    let service = id::Service::of(World::DATAGRAM_SERVICE);
    let key = Key { service, caller };
    let first = id::Vm::of(&world.vms[&0].name);
    let second = id::Vm::of(&world.vms[&1].name);
    let mut view = View::new(first, "", Default::default(), true);
    view.owners = vec![first, second];
    view.owner(key.hash()) == first
}

/// Returns the round trips per second of all callers together.
async fn round_trip_rate(callers: Vec<UdpSocket>, target: SocketAddr) -> f64 {
    // Opens the flows before the measurement starts.
    for caller in &callers {
        let _ = caller.send_to(&[0; DATAGRAM_BYTES], target).await;
    }
    sleep(RESPONSE_TIMEOUT).await;
    let started_at = Instant::now();
    let tasks = callers
        .into_iter()
        .map(|caller| tokio::spawn(round_trips(caller, target, started_at + MEASUREMENT_TIME)));
    let tasks: Vec<_> = tasks.collect();
    let mut count = 0;
    for task in tasks {
        count += task.await.unwrap_or(0);
    }
    count as f64 / started_at.elapsed().as_secs_f64()
}

async fn round_trips(caller: UdpSocket, target: SocketAddr, deadline: Instant) -> u64 {
    let mut buffer = [0; 2048];
    let mut count = 0;
    while Instant::now() < deadline {
        let _ = caller.send_to(&[1; DATAGRAM_BYTES], target).await;
        if timeout(RESPONSE_TIMEOUT, caller.recv(&mut buffer))
            .await
            .is_ok()
        {
            count += 1;
        }
    }
    count
}
