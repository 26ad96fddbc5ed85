//! Command line of the testbed: experiments, and the product's commands in the processes that
//! the experiments start.

#![forbid(unsafe_code)]

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use ragwortbeam_testbed::ceiling::{self, Class};
use ragwortbeam_testbed::{
    capacity, crest, demo, faults, soak, spread, steering_capacity, throughput,
};
use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};
use std::alloc::System;

/// Counts allocations for the capacity measurements.
#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Experiments with ragwortbeam on loopback.
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Demo(Demo),
    Faults(Faults),
    Capacity(Capacity),
    Ceiling(Ceiling),
    Throughput(Throughput),
    Spread(Spread),
    Crest(Crest),
    Relay(Relay),
    Soak(Soak),
    Rotation(Rotation),
    Takeover(Takeover),
    OddEntries(OddEntries),
}

/// Run a small data centre under load for about 20 s while VMs and servers change.
#[derive(FromArgs)]
#[argh(subcommand, name = "demo")]
struct Demo {}

/// Inject faults under load, case by case, and check every guarantee.
#[derive(FromArgs)]
#[argh(subcommand, name = "faults")]
struct Faults {
    /// number of seeds for each case
    #[argh(option, default = "3")]
    seeds: u64,
    /// name of the only case to run
    #[argh(option, default = "String::new()")]
    case: String,
    /// duplicate half and delay half of all packets in the fabric
    #[argh(switch)]
    many_duplicates: bool,
    /// send far more requests than the servers can serve
    #[argh(switch)]
    overload: bool,
}

/// Measure memory, time and message sizes for docs/CAPACITY.md.
#[derive(FromArgs)]
#[argh(subcommand, name = "capacity")]
struct Capacity {}

/// Simulate ideal request placement, as an upper bound for load balancers.
#[derive(FromArgs)]
#[argh(subcommand, name = "ceiling")]
struct Ceiling {
    /// class of requests, as
    /// rate_per_s:service_time_ms:target_ms:deadline_ms:full_credit:late_credit:round_trips:flows;
    /// may be given more than once
    #[argh(option)]
    class: Vec<Class>,
    /// number of endpoints
    #[argh(option, default = "14")]
    endpoints: usize,
    /// requests that an endpoint processes concurrently
    #[argh(option, default = "3")]
    slots: usize,
    /// duration over which callers send requests, seconds
    #[argh(option, default = "58.0")]
    length_s: f64,
    /// amplitude of the sinusoidal request rate, as a share of the mean rate
    #[argh(option, default = "0.55")]
    swing: f64,
    /// period of the request rate, seconds
    #[argh(option, default = "15.0")]
    period_s: f64,
    /// start of an outage of all VMs, seconds
    #[argh(option, default = "41.0")]
    outage_at_s: f64,
    /// duration of the outage, seconds; 0 for none
    #[argh(option, default = "0.0")]
    outage_s: f64,
    /// number of simulations, with seeds from 1
    #[argh(option, default = "5")]
    days: u64,
}

/// Compare packet rates of VMs with a plain UDP relay.
#[derive(FromArgs)]
#[argh(subcommand, name = "throughput")]
struct Throughput {}

/// Measure the overhead of an idle fleet and the propagation time of releases.
#[derive(FromArgs)]
#[argh(subcommand, name = "spread")]
struct Spread {
    /// number of VMs
    #[argh(option, default = "4")]
    vms: usize,
}

/// Measure latencies while demand rises from 1x to 6x and falls again.
#[derive(FromArgs)]
#[argh(subcommand, name = "crest")]
struct Crest {
    /// endpoint choice policy: least_of_two, round_robin or random
    #[argh(option, default = "\"least_of_two\".to_owned()")]
    policy: String,
}

/// Run the UDP relay that the throughput command compares with.
#[derive(FromArgs)]
#[argh(subcommand, name = "relay")]
struct Relay {
    /// address to relay to
    #[argh(positional)]
    target: std::net::SocketAddr,
}

/// Inject random faults into steering VMs and check the guarantees of the platform.
#[derive(FromArgs)]
#[argh(subcommand, name = "soak")]
struct Soak {
    /// first seed
    #[argh(option, default = "1")]
    seed: u64,
    /// number of seeds
    #[argh(option, default = "1")]
    seeds: u64,
    /// number of fault bursts for each seed
    #[argh(option, default = "2")]
    bursts: usize,
    /// number of VMs, up to 200
    #[argh(option, default = "6")]
    vms: u8,
    /// number of callers, up to 200
    #[argh(option, default = "12")]
    callers: u8,
    /// testbed binary of another version, which runs the VMs with odd numbers
    #[argh(option)]
    other_binary: Option<PathBuf>,
    /// restore the store from a copy in each burst
    #[argh(switch)]
    restore: bool,
}

/// Pause most steering VMs of a data centre and check which VMs stay in rotation, for about 40 s.
#[derive(FromArgs)]
#[argh(subcommand, name = "rotation")]
struct Rotation {
    /// seed of the addresses and the configuration
    #[argh(option, default = "1")]
    seed: u64,
}

/// Write odd entries among those of the endpoints and check that the steering VMs serve on and
/// follow the store, for about 30 s.
#[derive(FromArgs)]
#[argh(subcommand, name = "odd-entries")]
struct OddEntries {
    /// seed of the addresses and the configurations
    #[argh(option, default = "1")]
    seed: u64,
}

/// Take the reader of the store away in several ways, with silent connections, and check when a
/// change of the configuration is in force, for about 60 s.
#[derive(FromArgs)]
#[argh(subcommand, name = "takeover")]
struct Takeover {
    /// seed of the addresses and the configuration
    #[argh(option, default = "1")]
    seed: u64,
}

fn main() -> ExitCode {
    match std::env::args().nth(1).as_deref() {
        Some("node") => return run_product("serve"),
        Some("steering-node") => return run_product("steer"),
        _ => {}
    }
    let arguments: Arguments = argh::from_env();
    let runtime = tokio::runtime::Runtime::new().expect("the runtime starts");
    let outcome = match arguments.command {
        Command::Demo(_) => runtime.block_on(demo::run()),
        Command::Capacity(_) => {
            capacity::run(ALLOCATOR);
            steering_capacity::run(ALLOCATOR);
            Ok(true)
        }
        Command::Ceiling(ceiling) => Ok(run_ceiling(&ceiling)),
        Command::Throughput(_) => runtime.block_on(throughput::run()),
        Command::Spread(spread) => runtime.block_on(spread::run(spread.vms)),
        Command::Crest(crest) => runtime.block_on(crest::run(&crest.policy)),
        Command::Soak(soak) => {
            let options = soak::Options {
                seed: soak.seed,
                bursts: soak.bursts,
                vms: soak.vms,
                callers: soak.callers,
                other_binary: soak.other_binary,
                restores_store: soak.restore,
            };
            runtime.block_on(soak::run_seeds(&options, soak.seeds))
        }
        Command::Rotation(rotation) => runtime
            .block_on(soak::run_rotation_drill(rotation.seed))
            .map(|deviations| report_deviations(&deviations)),
        Command::OddEntries(odd_entries) => runtime
            .block_on(soak::run_odd_entries_drill(odd_entries.seed))
            .map(|deviations| report_deviations(&deviations)),
        Command::Takeover(takeover) => runtime
            .block_on(soak::run_takeover_drill(takeover.seed))
            .map(|deviations| report_deviations(&deviations)),
        Command::Relay(relay) => runtime.block_on(throughput::relay(relay.target)),
        Command::Faults(faults) => runtime.block_on(faults::run(&faults::Options {
            seeds: faults.seeds,
            case: faults.case,
            many_duplicates: faults.many_duplicates,
            overload: faults.overload,
        })),
    };
    match outcome {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

/// Prints the deviations of a drill; returns whether there are none.
fn report_deviations(deviations: &[String]) -> bool {
    for deviation in deviations {
        println!("deviation: {deviation}");
    }
    deviations.is_empty()
}

/// Simulates the given number of scenarios that differ in their seeds, and prints the results.
/// Always returns true, as no result counts as a failure.
fn run_ceiling(options: &Ceiling) -> bool {
    for seed in 1..=options.days {
        let outcome = ceiling::simulate(&ceiling::Scenario {
            seed,
            classes: options.class.clone(),
            endpoints: options.endpoints,
            slots: options.slots,
            length_s: options.length_s,
            swing: options.swing,
            period_s: options.period_s,
            outage_at_s: options.outage_at_s,
            outage_s: options.outage_s,
        });
        println!("seed={seed} {outcome:?}");
    }
    true
}

/// Runs a command of the product, in a process that an experiment has started.
fn run_product(command: &str) -> ExitCode {
    let mut args: Vec<String> = std::env::args().skip(1).collect();
    command.clone_into(&mut args[0]);
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    match ragwortbeam::commands::Arguments::from_args(&["ragwortbeam"], &args) {
        Ok(arguments) => ragwortbeam::commands::run(arguments),
        Err(exit) => {
            eprintln!("{}", exit.output);
            ExitCode::FAILURE
        }
    }
}
