//! Command line: arguments, subcommands and exit codes.

mod check;
mod serve;
mod status;
mod steer;

use std::fmt::Display;
use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use ragwortbeam_base::{logging, telemetry};
use spdlog::error;

/// Exit code of a command that succeeded.
pub const EXIT_OK: u8 = 0;
/// Exit code when an external resource failed, such as a file, an address or another VM.
pub const EXIT_FAILED: u8 = 1;
/// Exit code when the settings, a release or the arguments are invalid.
pub const EXIT_INVALID_INPUT: u8 = 2;
/// Exit code of a stop that timed out, was cut short by a second signal, or left records not handed
/// over or requests unfinished.
pub const EXIT_INCOMPLETE_STOP: u8 = 3;

/// Layer-4 load balancer for small fleets of entry VMs.
#[derive(Debug)]
#[derive(FromArgs)]
pub struct Arguments {
    /// print the version and exit
    #[argh(switch)]
    version: bool,
    #[argh(subcommand)]
    command: Option<Command>,
}

#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Serve(Serve),
    Steer(Steer),
    Check(Check),
    Status(Status),
}

/// Run one VM's process until SIGTERM or SIGINT.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
struct Serve {
    /// settings file
    #[argh(option)]
    settings: PathBuf,
}

/// Run one VM's process that steers the packets of flows, until SIGTERM or SIGINT.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "steer")]
struct Steer {
    /// settings file
    #[argh(option)]
    settings: PathBuf,
}

/// Check a settings file, or a release note against a snapshot.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct Check {
    /// settings file
    #[argh(option)]
    settings: Option<PathBuf>,
    /// release note
    #[argh(option)]
    release: Option<PathBuf>,
    /// snapshot that the release note follows
    #[argh(option)]
    after: Option<PathBuf>,
}

/// Print the status of VMs.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
struct Status {
    /// admin addresses, IP:port
    #[argh(positional)]
    addresses: Vec<String>,
    /// print JSON, one line for each VM
    #[argh(switch)]
    json: bool,
}

/// Runs the command that the arguments select; returns its exit code.
pub fn run(arguments: Arguments) -> ExitCode {
    if arguments.version {
        println!("ragwortbeam {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::from(EXIT_OK);
    }
    let code = match arguments.command {
        Some(Command::Serve(command)) => serve::run(&command.settings),
        Some(Command::Steer(command)) => steer::run(&command.settings),
        Some(Command::Check(command)) => check::run(&command),
        Some(Command::Status(command)) => status::run(&command),
        None => {
            eprintln!("expected a command: serve, steer, check or status; see --help");
            EXIT_INVALID_INPUT
        }
    };
    ExitCode::from(code)
}

/// Runs a VM's process with logging and metrics installed; returns its exit code.
fn run_process(process: impl FnOnce() -> u8) -> u8 {
    logging::install();
    telemetry::install();
    let code = process();
    logging::flush();
    code
}

/// Logs the error that ended a process; returns the exit code for it.
fn log_failure(error: &impl Display, is_settings_error: bool) -> u8 {
    error!("event=failed error=\"{error}\"");
    if is_settings_error {
        EXIT_INVALID_INPUT
    } else {
        EXIT_FAILED
    }
}
