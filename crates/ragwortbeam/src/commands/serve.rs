//! The `serve` subcommand, which runs one VM's process.

use std::path::Path;

use spdlog::warn;
use tokio::runtime::Runtime;
use tokio::signal::unix::{Signal, SignalKind, signal};

use super::{EXIT_INCOMPLETE_STOP, EXIT_OK, log_failure, run_process};
use crate::prelude::*;
use crate::settings;

/// Runs a node until SIGTERM or SIGINT; returns the exit code.
pub fn run(path: &Path) -> u8 {
    run_process(|| match load_and_serve(path) {
        Ok(true) => EXIT_OK,
        Ok(false) => EXIT_INCOMPLETE_STOP,
        Err(error) => log_failure(&error, matches!(error, Error::Settings(_))),
    })
}

/// Loads the settings and serves. Returns whether the stop handed over all records and finished
/// all requests.
fn load_and_serve(path: &Path) -> Result<bool> {
    let settings = settings::load(path)?;
    let runtime = Runtime::new().map_err(|source| Error::io("runtime", source))?;
    runtime.block_on(serve(settings))
}

async fn serve(settings: settings::Settings) -> Result<bool> {
    let mut terminate = listen_for_signal(SignalKind::terminate())?;
    let mut interrupt = listen_for_signal(SignalKind::interrupt())?;
    let node = tokio::select! {
        node = Node::start(settings) => node?,
        () = wait_for_either(&mut terminate, &mut interrupt) => return Ok(true),
    };
    wait_for_either(&mut terminate, &mut interrupt).await;
    tokio::select! {
        is_complete = node.stop() => Ok(is_complete),
        () = wait_for_either(&mut terminate, &mut interrupt) => {
            warn!("event=stop_cut_short in_flight={}", node.in_flight());
            Ok(false)
        }
    }
}

fn listen_for_signal(kind: SignalKind) -> Result<Signal> {
    signal(kind).map_err(|source| Error::io("signal", source))
}

async fn wait_for_either(one: &mut Signal, other: &mut Signal) {
    tokio::select! {
        _ = one.recv() => {}
        _ = other.recv() => {}
    }
}
