//! Fault injection: each case injects one kind of fault under load, with random choices from
//! a seed, and checks every guarantee.

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

/// Time under load before the fault.
const WARM_UP: Duration = Duration::from_secs(2);

/// Time under load after the fault. It exceeds the feeds' Max-Age ([`FRESHNESS`]), so that a
/// lost feed is detected.
const OBSERVATION: Duration = Duration::from_secs(10);

/// Duration of a network partition.
const PARTITION: Duration = Duration::from_secs(6);

/// Maximum length of the request queue of each service under overload.
const OVERLOAD_QUEUE_LEN: usize = 4;

/// Number of callers that post records under overload.
const OVERLOAD_POSTING_CALLERS: usize = 120;

/// Mean pause between two requests of a caller under overload.
const OVERLOAD_PAUSE: Duration = Duration::from_millis(20);

/// Future that injects the fault of a case.
type Injection<'a> = Pin<Box<dyn Future<Output = std::io::Result<()>> + 'a>>;

/// One kind of fault.
pub struct Case {
    /// Name on the command line.
    pub name: &'static str,
    /// Injects the fault.
    inject: for<'a> fn(&'a mut World, &'a mut SmallRng) -> Injection<'a>,
}

/// All cases.
pub const CASES: [Case; 15] = [
    Case {
        name: "kill",
        inject: |world, rng| Box::pin(kill(world, rng)),
    },
    Case {
        name: "kill_twice",
        inject: |world, rng| {
            Box::pin(async move {
                kill(world, rng).await?;
                tokio::time::sleep(Duration::from_secs(4)).await;
                kill(world, rng).await
            })
        },
    },
    Case {
        name: "replace",
        inject: |world, rng| Box::pin(replace(world, rng)),
    },
    Case {
        name: "churn",
        inject: |world, rng| {
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
        inject: |world, rng| Box::pin(pause(world, rng)),
    },
    Case {
        name: "drain",
        inject: |world, _| {
            Box::pin(async move {
                world.drain(0, 0);
                world.drain(1, 0);
                Ok(())
            })
        },
    },
    Case {
        name: "drain_and_kill",
        inject: |world, rng| {
            Box::pin(async move {
                world.drain(0, 0);
                kill(world, rng).await
            })
        },
    },
    Case {
        name: "server_crash",
        inject: |world, _| {
            Box::pin(async move {
                world.servers[0][0].crash();
                Ok(())
            })
        },
    },
    Case {
        name: "silent_leg",
        inject: |world, _| {
            Box::pin(async move {
                world.servers[0][0].drop_known_sources();
                Ok(())
            })
        },
    },
    Case {
        name: "platform_down_and_kill",
        inject: |world, rng| {
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
        inject: |world, rng| {
            Box::pin(async move {
                let index = random_vm(world, rng);
                world.restart(index).await
            })
        },
    },
    Case {
        name: "restart_without_platform",
        inject: |world, rng| {
            Box::pin(async move {
                world.platform.set_down(true);
                let index = random_vm(world, rng);
                world.restart(index).await?;
                world.platform.set_down(false);
                Ok(())
            })
        },
    },
    Case {
        name: "split",
        inject: |world, rng| Box::pin(partition(world, rng, 2)),
    },
    Case {
        name: "split_off_one",
        inject: |world, rng| Box::pin(partition(world, rng, 1)),
    },
    Case {
        name: "join_and_kill",
        inject: |world, rng| {
            Box::pin(async move {
                let joined = world.join().await?;
                world.kill(joined).await;
                kill(world, rng).await
            })
        },
    },
];

/// Options of the `faults` command.
#[derive(Clone, Debug)]
pub struct Options {
    /// Number of seeds for each case; the first seed is 1.
    pub seeds: u64,
    /// Name of the only case to run; empty for all cases.
    pub case: String,
    /// Whether datagrams are often duplicated and delayed by up to 1.5 s, which exposes
    /// requests that run twice.
    pub many_duplicates: bool,
    /// Whether callers send far more requests than the servers have slots for while queues
    /// are short, so that many requests are refused.
    pub overload: bool,
}

/// Runs the cases and prints their combined outcomes; returns whether no guarantee was
/// violated.
///
/// # Errors
///
/// Returns an error if no case has the given name, and the I/O error of a stand-in or VM process
/// that cannot be started.
pub async fn run(options: &Options) -> std::io::Result<bool> {
    let is_selected = |case: &&Case| options.case.is_empty() || options.case == case.name;
    let selected: Vec<&Case> = CASES.iter().filter(is_selected).collect();
    if selected.is_empty() {
        let names: Vec<&str> = CASES.iter().map(|case| case.name).collect();
        return Err(std::io::Error::other(format!(
            "--case: expected one of {}, found {}",
            names.join(", "),
            options.case
        )));
    }
    let mut total = Outcomes::new();
    for case in selected {
        for seed in 1..=options.seeds {
            let outcomes = run_case(case, seed, options).await?;
            for (guarantee, outcome) in &outcomes {
                for violation in &outcome.violations {
                    println!(
                        "case={} seed={seed} guarantee=\"{guarantee}\" {violation}",
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
    let mut config = WorldConfig {
        seed,
        faults,
        ..WorldConfig::default()
    };
    let mut load = Load::default();
    if options.overload {
        config.slots = 1;
        config.limits = serde_json::json!({"queue_per_service": OVERLOAD_QUEUE_LEN});
        load.posting_callers = OVERLOAD_POSTING_CALLERS;
        load.pause = OVERLOAD_PAUSE;
    }
    run_case_in(config, load, case).await
}

/// Runs one case in a world of the given configuration and with its seed.
pub async fn run_case_in(
    config: WorldConfig,
    load: Load,
    case: &Case,
) -> std::io::Result<Outcomes> {
    let mut rng = SmallRng::seed_from_u64(config.seed);
    let mut world = World::start(config).await?;
    load::start(&world, load).await?;
    world.run_for(WARM_UP).await;
    (case.inject)(&mut world, &mut rng).await?;
    world.run_for(OBSERVATION).await;
    world.close();
    Ok(checker::check(&world.history.entries(), FRESHNESS))
}

fn random_vm(world: &World, rng: &mut SmallRng) -> usize {
    let vms = world.vms.keys().copied();
    vms.choose(rng).expect("a world keeps at least one VM")
}

async fn kill(world: &mut World, rng: &mut SmallRng) -> std::io::Result<()> {
    let index = random_vm(world, rng);
    world.kill(index).await;
    Ok(())
}

/// Chooses a random VM, starts a new one and stops the chosen one gracefully.
async fn replace(world: &mut World, rng: &mut SmallRng) -> std::io::Result<()> {
    let index = random_vm(world, rng);
    world.join().await?;
    world.stop(index).await;
    Ok(())
}

/// Partitions the network between `count` VMs and the others for [`PARTITION`]. The fabric
/// still distributes callers' datagrams to all VMs.
async fn partition(world: &mut World, rng: &mut SmallRng, count: usize) -> std::io::Result<()> {
    let mut ips: Vec<_> = world.vms.values().map(|vm| vm.ip).collect();
    ips.shuffle(rng);
    let (group, others) = ips.split_at(count);
    world.network.partition(group, others);
    world.run_for(PARTITION).await;
    world.network.heal_partitions();
    Ok(())
}

/// Pauses a random VM for 0.5 to 5 s.
async fn pause(world: &mut World, rng: &mut SmallRng) -> std::io::Result<()> {
    let index = random_vm(world, rng);
    let time = Duration::from_millis(rng.random_range(500..5000));
    world.pause(index, time).await;
    Ok(())
}
