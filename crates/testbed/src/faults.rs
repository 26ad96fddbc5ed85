//! Seeded faults: each case breaks something under load and checks every promise.

use std::pin::Pin;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::seq::{IteratorRandom, SliceRandom};
use rand::{RngExt, SeedableRng};

use crate::checker::{self, Outcomes};
use crate::demo::FRESHNESS;
use crate::fabric::Faults;
use crate::load::{self, Load};
use crate::world::{World, WorldConfig};

/// Time before the fault.
const BEFORE: Duration = Duration::from_secs(2);

/// Time after the fault, above the feeds' freshness so that a lost feed shows.
const AFTER: Duration = Duration::from_secs(10);

/// Time for which the network is cut.
const SPLIT: Duration = Duration::from_secs(6);

/// Requests queued for each service under overload.
const OVERLOAD_QUEUE: usize = 4;

/// Callers that post records under overload.
const OVERLOAD_POSTERS: usize = 120;

/// Mean pause of a caller under overload.
const OVERLOAD_PAUSE: Duration = Duration::from_millis(20);

type Action<'a> = Pin<Box<dyn Future<Output = std::io::Result<()>> + 'a>>;

/// One kind of fault.
pub struct Case {
    /// Name on the command line.
    pub name: &'static str,
    /// Brings the fault about.
    act: for<'a> fn(&'a mut World, &'a mut SmallRng) -> Action<'a>,
}

/// All kinds of faults.
pub const CASES: [Case; 15] = [
    Case {
        name: "kill",
        act: |world, rng| Box::pin(kill(world, rng)),
    },
    Case {
        name: "kill_twice",
        act: |world, rng| {
            Box::pin(async move {
                kill(world, rng).await?;
                tokio::time::sleep(Duration::from_secs(4)).await;
                kill(world, rng).await
            })
        },
    },
    Case {
        name: "replace",
        act: |world, rng| Box::pin(replace(world, rng)),
    },
    Case {
        name: "churn",
        act: |world, rng| {
            Box::pin(async move {
                for _ in 0..3 {
                    replace(world, rng).await?;
                }
                Ok(())
            })
        },
    },
    Case {
        name: "pause",
        act: |world, rng| Box::pin(pause(world, rng)),
    },
    Case {
        name: "drain",
        act: |world, _| {
            Box::pin(async move {
                world.drain(0, 0);
                world.drain(1, 0);
                Ok(())
            })
        },
    },
    Case {
        name: "drain_and_kill",
        act: |world, rng| {
            Box::pin(async move {
                world.drain(0, 0);
                kill(world, rng).await
            })
        },
    },
    Case {
        name: "server_crash",
        act: |world, _| {
            Box::pin(async move {
                world.servers[0][0].crash();
                Ok(())
            })
        },
    },
    Case {
        name: "silent_leg",
        act: |world, _| {
            Box::pin(async move {
                world.servers[0][0].drop_known_sources();
                Ok(())
            })
        },
    },
    Case {
        name: "platform_down_and_kill",
        act: |world, rng| {
            Box::pin(async move {
                world.platform.set_down(true);
                kill(world, rng).await?;
                tokio::time::sleep(Duration::from_secs(3)).await;
                world.platform.set_down(false);
                Ok(())
            })
        },
    },
    Case {
        name: "restart",
        act: |world, rng| {
            Box::pin(async move {
                let index = any_vm(world, rng);
                world.restart(index).await
            })
        },
    },
    Case {
        name: "restart_without_platform",
        act: |world, rng| {
            Box::pin(async move {
                world.platform.set_down(true);
                let index = any_vm(world, rng);
                world.restart(index).await?;
                world.platform.set_down(false);
                Ok(())
            })
        },
    },
    Case {
        name: "split",
        act: |world, rng| Box::pin(split(world, rng, 2)),
    },
    Case {
        name: "split_off_one",
        act: |world, rng| Box::pin(split(world, rng, 1)),
    },
    Case {
        name: "join_and_kill",
        act: |world, rng| {
            Box::pin(async move {
                let joined = world.join().await?;
                world.kill(joined).await;
                kill(world, rng).await
            })
        },
    },
];

/// What to run.
#[derive(Clone, Debug)]
pub struct Options {
    /// Seeds, from 1.
    pub seeds: u64,
    /// Name of the only case to run; all where empty.
    pub case: String,
    /// Whether duplicates are frequent and late, which is what finds a request that
    /// runs twice.
    pub many_duplicates: bool,
    /// Whether demand is far above the servers' slots and queues are short, so that many
    /// requests are refused.
    pub overload: bool,
}

/// Runs cases and prints the sum; returns whether every promise was kept.
pub async fn run(options: &Options) -> std::io::Result<bool> {
    let mut total = Outcomes::new();
    for case in &CASES {
        if !options.case.is_empty() && options.case != case.name {
            continue;
        }
        for seed in 1..=options.seeds {
            let outcomes = run_case(case, seed, options).await?;
            for (promise, outcome) in &outcomes {
                for violation in &outcome.violations {
                    println!(
                        "case={} seed={seed} promise=\"{promise}\" {violation}",
                        case.name
                    );
                }
            }
            println!("case={} seed={seed} done", case.name);
            checker::merge(&mut total, outcomes);
        }
    }
    crate::demo::print_outcomes(&total);
    Ok(total.values().all(|outcome| outcome.violations.is_empty()))
}

/// Runs one case with one seed.
pub async fn run_case(case: &Case, seed: u64, options: &Options) -> std::io::Result<Outcomes> {
    let faults = if options.many_duplicates {
        Faults {
            duplication: 0.5,
            delay: 0.5,
            longest_delay: Duration::from_millis(1500),
            ..Faults::default()
        }
    } else {
        Faults::default()
    };
    let mut shape = WorldConfig {
        seed,
        faults,
        ..WorldConfig::default()
    };
    let mut load = Load::default();
    if options.overload {
        shape.slots = 1;
        shape.limits = serde_json::json!({"queue_per_service": OVERLOAD_QUEUE});
        load.posting_callers = OVERLOAD_POSTERS;
        load.pause = OVERLOAD_PAUSE;
    }
    run_in(shape, load, case).await
}

/// Runs one case in a world of this shape, with the shape's seed.
pub async fn run_in(shape: WorldConfig, load: Load, case: &Case) -> std::io::Result<Outcomes> {
    let mut rng = SmallRng::seed_from_u64(shape.seed);
    let mut world = World::start(shape).await?;
    load::start(&world, load).await?;
    world.run_for(BEFORE).await;
    (case.act)(&mut world, &mut rng).await?;
    world.run_for(AFTER).await;
    world.close();
    Ok(checker::check(&world.history.entries(), FRESHNESS))
}

fn any_vm(world: &World, rng: &mut SmallRng) -> usize {
    let vms = world.vms.keys().copied();
    vms.choose(rng).expect("a world keeps at least one VM")
}

async fn kill(world: &mut World, rng: &mut SmallRng) -> std::io::Result<()> {
    let index = any_vm(world, rng);
    world.kill(index).await;
    Ok(())
}

async fn replace(world: &mut World, rng: &mut SmallRng) -> std::io::Result<()> {
    let index = any_vm(world, rng);
    world.join().await?;
    world.stop(index).await;
    Ok(())
}

/// Cuts `count` VMs off from the others for a while. The fabric still sprays all VMs.
async fn split(world: &mut World, rng: &mut SmallRng, count: usize) -> std::io::Result<()> {
    let mut ips: Vec<_> = world.vms.values().map(|vm| vm.ip).collect();
    ips.shuffle(rng);
    let (one, other) = ips.split_at(count);
    world.network.partition(one, other);
    world.run_for(SPLIT).await;
    world.network.heal_partitions();
    Ok(())
}

async fn pause(world: &mut World, rng: &mut SmallRng) -> std::io::Result<()> {
    let index = any_vm(world, rng);
    let time = Duration::from_millis(rng.random_range(500..5000));
    world.pause(index, time).await;
    Ok(())
}
