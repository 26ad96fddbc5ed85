//! Faults and changes, chosen by the seed: a burst of several that overlap, then a calm.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use nix::sys::signal::Signal;
use ragwortbeam_platform_standin::endpoint_key;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use tokio::time::sleep;

use super::endpoint::{Link, SERVICES};
use super::promises::Routes;
use super::proxy::Fault;
use super::store::Mode;
use super::{World, vms};

/// Many requests on a flow; an even port.
pub(crate) const LEDGER_FEED: SocketAddrV4 = address(1, 8080);
/// One request on a flow, which must not be repeated; an odd port.
pub(crate) const LEDGER_RECORD: SocketAddrV4 = address(1, 8081);
/// The other service.
pub(crate) const VAULT: SocketAddrV4 = address(2, 8080);
/// A route that configurations move, remove and add.
pub(crate) const MOVING: SocketAddrV4 = address(3, 8080);

/// Faults in a burst, at most.
const MAX_FAULTS: usize = 4;

/// Changes in a burst, at most.
const MAX_CHANGES: usize = 3;

/// Time after a burst in which all bounds hold again and are checked.
const CALM: Duration = Duration::from_millis(9500);

/// First number of addresses that are free for new endpoints.
const NEW_ENDPOINTS: std::ops::Range<u8> = 20..60;

const fn address(last: u8, port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, last), port)
}

#[derive(Clone, Copy, Debug)]
enum Kind {
    Kill,
    KillAll,
    Pause,
    Terminate,
    Store(Mode),
    Lapse,
    Forget,
    Cut(Fault),
    Crash,
    Dark,
    LateEndpoint,
    Reuse,
    Apart,
    Alone,
    Deaf,
    Poor,
}

const KINDS: [Kind; 21] = [
    Kind::Kill,
    Kind::KillAll,
    Kind::Pause,
    Kind::Terminate,
    Kind::Store(Mode::Silent),
    Kind::Store(Mode::Busy),
    Kind::Store(Mode::Slow),
    Kind::Store(Mode::Torn),
    Kind::Lapse,
    Kind::Forget,
    Kind::Cut(Fault::Silent),
    Kind::Cut(Fault::OneWay),
    Kind::Cut(Fault::Reset),
    Kind::Crash,
    Kind::Dark,
    Kind::LateEndpoint,
    Kind::Reuse,
    Kind::Apart,
    Kind::Alone,
    Kind::Deaf,
    Kind::Poor,
];

#[derive(Clone, Copy, Debug)]
enum Change {
    Configure,
    Drain,
    Add,
    Garbage,
    Settings,
}

const CHANGES: [Change; 5] = [
    Change::Configure,
    Change::Drain,
    Change::Add,
    Change::Garbage,
    Change::Settings,
];

/// Plays one burst and the calm after it, with changes in both.
pub(crate) async fn burst(world: &Arc<World>, random: &mut StdRng) {
    let mut playing = Vec::new();
    for _ in 0..random.random_range(1..=MAX_FAULTS) {
        let kind = *KINDS.choose(random).expect("there are kinds");
        println!("seed {}: {kind:?}", world.options.seed);
        let (world, seed) = (world.clone(), random.random());
        playing.push(tokio::spawn(async move {
            if let Err(error) = play(&world, kind, StdRng::seed_from_u64(seed)).await {
                println!("{kind:?}: {error}");
            }
        }));
        sleep(Duration::from_millis(random.random_range(50..800))).await;
    }
    change_some(world, random).await;
    for fault in playing {
        fault.await.expect("a fault does not panic");
    }
    world.promises.note_fault();
    sleep(CALM).await;
    change_some(world, random).await;
    // What the last changes led to shows in the time after them.
    sleep(CALM / 2).await;
    world.vms.check_running(world);
}

/// Plays one fault to its end.
async fn play(world: &Arc<World>, kind: Kind, mut random: StdRng) -> std::io::Result<()> {
    world.promises.note_fault();
    let number = random.random_range(1..=world.options.vms);
    let time = Duration::from_millis(random.random_range(300..5000));
    let serving = world.endpoints.serving();
    let endpoint = *serving.choose(&mut random).expect("an endpoint serves");
    match kind {
        Kind::Kill => {
            world.vms.kill(number).await;
            sleep(time / 4).await;
            world.vms.start(world, number)?;
        }
        Kind::KillAll => {
            for number in 1..=world.options.vms {
                world.vms.kill(number).await;
            }
            sleep(time / 4).await;
            for number in 1..=world.options.vms {
                world.vms.start(world, number)?;
            }
        }
        Kind::Pause => {
            world.vms.signal(number, Signal::SIGSTOP);
            sleep(time).await;
            world.vms.signal(number, Signal::SIGCONT);
        }
        Kind::Terminate => {
            world.vms.stop(world, number).await;
            world.vms.start(world, number)?;
        }
        Kind::Store(mode) => {
            world.store.set_mode(mode);
            sleep(time).await;
            world.store.set_mode(Mode::Well);
        }
        Kind::Lapse => {
            world.store.set_mode(Mode::Busy);
            sleep(time).await;
            world.endpoints.lapse_all();
            world.store.set_mode(Mode::Well);
            sleep(Duration::from_millis(random.random_range(100..1500))).await;
            world.endpoints.register_all();
        }
        Kind::Forget => world.store.forget(),
        Kind::Cut(fault) => {
            world.vms.switch(number).set(fault);
            sleep(time).await;
            world.vms.switch(number).set(Fault::None);
        }
        Kind::Crash => crash(world, endpoint, Duration::from_millis(500)).await?,
        Kind::Dark => {
            world.endpoints.set_link(endpoint, Link::Silent);
            sleep(time).await;
            world.endpoints.set_link(endpoint, Link::Well);
        }
        Kind::LateEndpoint => {
            world.endpoints.set_link(endpoint, Link::Late);
            sleep(time).await;
            world.endpoints.set_link(endpoint, Link::Well);
        }
        Kind::Apart => {
            let is_between =
                |(from, to): &(u8, u8)| vms::data_centre(*from) != vms::data_centre(*to);
            cut(world, time, is_between).await;
        }
        Kind::Alone => cut(world, time, |(from, to)| [*from, *to].contains(&number)).await,
        Kind::Deaf => cut(world, time, |(_, to)| *to == number).await,
        Kind::Poor => {
            world.wires.set_poor(number, true);
            sleep(time).await;
            world.wires.set_poor(number, false);
        }
        Kind::Reuse => {
            let other = SERVICES
                .iter()
                .find(|(name, _)| world.endpoints.service(endpoint) != Some(name));
            crash(world, endpoint, Duration::from_millis(1500)).await?;
            if let Some((service, _)) = other
                && world.endpoints.serving().len() > 4
            {
                world.endpoints.end(endpoint, true);
                sleep(Duration::from_millis(500)).await;
                world.endpoints.start(endpoint, service).await?;
            }
        }
    }
    world.promises.note_fault();
    Ok(())
}

/// Cuts wires between VMs for a time.
async fn cut(world: &World, time: Duration, is_cut: impl Fn(&(u8, u8)) -> bool) {
    let vms = 1..=world.options.vms;
    let pairs = vms
        .clone()
        .flat_map(|from| vms.clone().map(move |to| (from, to)));
    let pairs: Vec<(u8, u8)> = pairs.filter(is_cut).collect();
    world.wires.set_cut(&pairs, true);
    sleep(time).await;
    world.wires.set_cut(&pairs, false);
}

/// Ends an endpoint without notice and starts another at its address.
async fn crash(world: &World, endpoint: u8, unnoticed: Duration) -> std::io::Result<()> {
    let Some(service) = world.endpoints.service(endpoint) else {
        return Ok(());
    };
    let id = world.endpoints.id(endpoint);
    world.endpoints.end(endpoint, false);
    sleep(unnoticed).await;
    if let Some(id) = id {
        world.endpoints.forget(id);
    }
    world.endpoints.start(endpoint, service).await
}

async fn change_some(world: &Arc<World>, random: &mut StdRng) {
    for _ in 0..random.random_range(1..=MAX_CHANGES) {
        let change = *CHANGES.choose(random).expect("there are changes");
        println!("seed {}: {change:?}", world.options.seed);
        if let Err(error) = make(world, change, random).await {
            println!("{change:?}: {error}");
        }
        sleep(Duration::from_millis(random.random_range(20..400))).await;
    }
}

async fn make(world: &Arc<World>, change: Change, random: &mut StdRng) -> std::io::Result<()> {
    match change {
        Change::Configure => configure(world, random),
        Change::Drain => {
            let serving = world.endpoints.serving();
            let leaves = serving.iter().filter(|number| {
                let service = world.endpoints.service(**number);
                let same = serving
                    .iter()
                    .filter(|it| world.endpoints.service(**it) == service);
                same.count() > 2
            });
            let leaves: Vec<u8> = leaves.copied().collect();
            if let Some(number) = leaves.choose(random) {
                world.endpoints.drain(*number);
            }
        }
        Change::Add => {
            let free = NEW_ENDPOINTS.filter(|it| world.endpoints.service(*it).is_none());
            let (service, _) = SERVICES[random.random_range(0..SERVICES.len())];
            if let Some(number) = free.min() {
                world.endpoints.start(number, service).await?;
            }
        }
        Change::Garbage => {
            let key = endpoint_key(random.random_range(1..99));
            world.store.put(&key, "{\"service\": 5}");
        }
        Change::Settings => {
            let number = random.random_range(1..=world.options.vms);
            world
                .vms
                .write_settings(world, number, random.random_range(0..9))?;
            if random.random() {
                world.vms.signal(number, Signal::SIGHUP);
            }
        }
    }
    Ok(())
}

/// Writes the next configuration: the moving route leads to either service or is gone.
pub(crate) fn configure(world: &World, random: &mut StdRng) {
    let mut routes = Routes::from([
        (LEDGER_FEED, "ledger".to_owned()),
        (LEDGER_RECORD, "ledger".to_owned()),
        (VAULT, "vault".to_owned()),
    ]);
    match random.random_range(0..3) {
        0 => drop(routes.insert(MOVING, "ledger".to_owned())),
        1 => drop(routes.insert(MOVING, "vault".to_owned())),
        _ => {}
    }
    let version = world.promises.configurations() as u64 * 3 + 1;
    world.store.configure(version, &routes);
}
