//! `ragwortbeam serve`.

use std::path::Path;

use ragwortbeam_base::telemetry;
use spdlog::{error, warn};
use tokio::runtime::Runtime;
use tokio::signal::unix::{Signal, SignalKind, signal};

use super::{EXIT_CUT_OFF, EXIT_FAILED, EXIT_OK, EXIT_WRONG};
use crate::prelude::*;
use crate::{logging, settings};

/// Runs a node until it is told to stop; returns the exit code.
pub fn run(path: &Path) -> u8 {
    logging::install();
    telemetry::install();
    let result = settings::load(path).and_then(|settings| {
        let runtime = Runtime::new().map_err(|source| Error::io("runtime", source))?;
        runtime.block_on(serve(settings))
    });
    let code = match result {
        Ok(true) => EXIT_OK,
        Ok(false) => EXIT_CUT_OFF,
        Err(error) => {
            error!("event=failed error=\"{error}\"");
            match error {
                Error::Settings(_) => EXIT_WRONG,
                _ => EXIT_FAILED,
            }
        }
    };
    logging::flush();
    code
}

/// Returns whether the stop was complete.
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
