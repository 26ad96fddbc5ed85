//! `ragwortbeam serve`.

use std::path::Path;

use spdlog::warn;
use tokio::runtime::Runtime;
use tokio::signal::unix::{Signal, SignalKind, signal};

use super::{EXIT_CUT_OFF, EXIT_OK, failed, run_process};
use crate::prelude::*;
use crate::settings;

/// Runs a node until it is told to stop; returns the exit code.
pub fn run(path: &Path) -> u8 {
    run_process(|| match start(path) {
        Ok(true) => EXIT_OK,
        Ok(false) => EXIT_CUT_OFF,
        Err(error) => failed(&error, matches!(error, Error::Settings(_))),
    })
}

/// Returns whether the stop was complete.
fn start(path: &Path) -> Result<bool> {
    let settings = settings::load(path)?;
    let runtime = Runtime::new().map_err(|source| Error::io("runtime", source))?;
    runtime.block_on(serve(settings))
}

async fn serve(settings: settings::Settings) -> Result<bool> {
    let mut terminate = listen(SignalKind::terminate())?;
    let mut interrupt = listen(SignalKind::interrupt())?;
    let node = tokio::select! {
        node = Node::start(settings) => node?,
        () = either(&mut terminate, &mut interrupt) => return Ok(true),
    };
    either(&mut terminate, &mut interrupt).await;
    tokio::select! {
        is_complete = node.stop() => Ok(is_complete),
        () = either(&mut terminate, &mut interrupt) => {
            warn!("event=stop_cut_short in_flight={}", node.in_flight());
            Ok(false)
        }
    }
}

fn listen(kind: SignalKind) -> Result<Signal> {
    signal(kind).map_err(|source| Error::io("signal", source))
}

async fn either(one: &mut Signal, other: &mut Signal) {
    tokio::select! {
        _ = one.recv() => {}
        _ = other.recv() => {}
    }
}
