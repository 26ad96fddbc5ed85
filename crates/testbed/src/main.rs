//! The testbed's command.

#![forbid(unsafe_code)]

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
}

/// Run a small data centre under work and change for about 20 s.
#[derive(FromArgs)]
#[argh(subcommand, name = "demo")]
struct Demo {}

/// Break things under load, case by case, and check every promise.
#[derive(FromArgs)]
#[argh(subcommand, name = "faults")]
struct Faults {
    /// seeds for each case
    #[argh(option, default = "3")]
    seeds: u64,
    /// name of the only case to run
    #[argh(option, default = "String::new()")]
    case: String,
    /// have the fabric duplicate and delay half of all packets
    #[argh(switch)]
    many_duplicates: bool,
    /// have callers ask for far more than the servers can serve
    #[argh(switch)]
    overload: bool,
}

/// Measure the slopes that docs/CAPACITY.md uses.
#[derive(FromArgs)]
#[argh(subcommand, name = "capacity")]
struct Capacity {}

/// Model what the best placement could serve.
#[derive(FromArgs)]
#[argh(subcommand, name = "ceiling")]
struct Ceiling {
    /// kind of request, per_s:work_ms:aim_ms:deadline_ms:worth:late_worth:round_trips:flows;
    /// may be given more than once
    #[argh(option)]
    class: Vec<Class>,
    /// number of endpoints
    #[argh(option, default = "14")]
    endpoints: usize,
    /// requests that an endpoint processes at once
    #[argh(option, default = "3")]
    slots: usize,
    /// length of the day, seconds
    #[argh(option, default = "58.0")]
    length_s: f64,
    /// part of the mean rate by which it swings
    #[argh(option, default = "0.55")]
    swing: f64,
    /// period of the swing, seconds
    #[argh(option, default = "15.0")]
    period_s: f64,
    /// time from which no VM runs, seconds
    #[argh(option, default = "41.0")]
    outage_at_s: f64,
    /// time for which none runs, seconds; 0 for no outage
    #[argh(option, default = "0.0")]
    outage_s: f64,
    /// number of days with other luck
    #[argh(option, default = "5")]
    days: u64,
}

/// Compare packet rates of nodes with a bare relay.
#[derive(FromArgs)]
#[argh(subcommand, name = "throughput")]
struct Throughput {}

/// Measure the cost of control and the spreading of releases.
#[derive(FromArgs)]
#[argh(subcommand, name = "spread")]
struct Spread {
    /// number of VMs
    #[argh(option, default = "4")]
    vms: usize,
}

/// Swing the demand from 1x to 6x and back, for each policy or for one.
#[derive(FromArgs)]
#[argh(subcommand, name = "crest")]
struct Crest {
    /// policy that chooses endpoints
    #[argh(option, default = "\"least_of_two\".to_owned()")]
    policy: String,
}

/// Run a bare relay for the comparison.
#[derive(FromArgs)]
#[argh(subcommand, name = "relay")]
struct Relay {
    /// where to relay to
    #[argh(positional)]
    target: std::net::SocketAddr,
}

/// Break steering VMs in random ways and check the platform's promises.
#[derive(FromArgs)]
#[argh(subcommand, name = "soak")]
struct Soak {
    /// first seed
    #[argh(option, default = "1")]
    seed: u64,
    /// number of seeds
    #[argh(option, default = "1")]
    seeds: u64,
    /// bursts of faults for each seed
    #[argh(option, default = "2")]
    bursts: usize,
    /// number of VMs, up to 200
    #[argh(option, default = "6")]
    vms: u8,
    /// number of callers, up to 200
    #[argh(option, default = "12")]
    callers: u8,
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
        Command::Ceiling(ceiling) => Ok(model(&ceiling)),
        Command::Throughput(_) => runtime.block_on(throughput::run()),
        Command::Spread(spread) => runtime.block_on(spread::run(spread.vms)),
        Command::Crest(crest) => runtime.block_on(crest::run(&crest.policy)),
        Command::Soak(soak) => {
            let options = soak::Options {
                seed: soak.seed,
                bursts: soak.bursts,
                vms: soak.vms,
                callers: soak.callers,
            };
            runtime.block_on(soak::run_seeds(&options, soak.seeds))
        }
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

/// Prints what each day of the model came to.
fn model(options: &Ceiling) -> bool {
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

/// Runs a command of the product in a process that the testbed has started.
fn run_product(command: &str) -> ExitCode {
    let mut words: Vec<String> = std::env::args().skip(1).collect();
    command.clone_into(&mut words[0]);
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    match ragwortbeam::commands::Arguments::from_args(&["ragwortbeam"], &words) {
        Ok(arguments) => ragwortbeam::commands::run(arguments),
        Err(exit) => {
            eprintln!("{}", exit.output);
            ExitCode::FAILURE
        }
    }
}
