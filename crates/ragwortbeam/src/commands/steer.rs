//! The `steer` subcommand, which runs one VM's process that steers the packets of flows.

use std::path::Path;

use ragwortbeam_platform::{PacketCodec, StoreClient};
use ragwortbeam_steering::errors::{Error, Result};
use ragwortbeam_steering::node::{self, Adapter};
use ragwortbeam_steering::settings;
use tokio::runtime::Builder;

use super::{EXIT_OK, log_failure, run_process};

/// Runs a steering node until SIGTERM or SIGINT; returns the exit code.
pub fn run(path: &Path) -> u8 {
    run_process(|| match load_and_run(path) {
        Ok(()) => EXIT_OK,
        Err(error) => log_failure(&error, matches!(error, Error::Settings(_))),
    })
}

fn load_and_run(path: &Path) -> Result<()> {
    let settings = settings::load(path)?;
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|source| Error::io("runtime", source))?;
    let adapter = Adapter {
        codec: Box::new(PacketCodec),
        catalog_source: Box::new(StoreClient::new(settings.platform_address)),
    };
    runtime.block_on(node::run(path.to_owned(), settings, adapter))
}
