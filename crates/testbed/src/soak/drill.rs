//! Frame of the drills: starts a cluster without random faults, and stops and checks it at the end.

use std::sync::Arc;

use rand::rngs::StdRng;
use tempfile::TempDir;
use tokio::task::JoinHandle;

use super::{Cluster, Options, start_cluster};

/// A running drill.
pub(crate) struct Drill {
    pub(crate) cluster: Arc<Cluster>,
    /// Random numbers of the configurations.
    pub(crate) rng: StdRng,
    rotation_task: JoinHandle<()>,
    /// Settings files and logs of the VMs.
    directory: TempDir,
}

impl Drill {
    /// Starts the cluster; returns once all VMs are ready.
    ///
    /// # Errors
    ///
    /// Returns the I/O error of a stand-in or VM process that cannot be started.
    ///
    /// # Panics
    ///
    /// Panics if the VMs are not all ready within 20 s.
    pub(crate) async fn start(seed: u64, vms: u8, callers: u8) -> std::io::Result<Self> {
        let directory = tempfile::tempdir()?;
        let options = Options {
            seed,
            bursts: 0,
            vms,
            callers,
            other_binary: None,
            restores_store: false,
        };
        let (cluster, rng, rotation_task) = start_cluster(options, directory.path()).await?;
        Ok(Self {
            cluster,
            rng,
            rotation_task,
            directory,
        })
    }

    /// Stops the VMs; returns the deviations and the violations of guarantees. The logs are kept if
    /// there are any.
    pub(crate) async fn finish(self, mut deviations: Vec<String>) -> Vec<String> {
        self.cluster.vms.stop_all(&self.cluster).await;
        self.rotation_task.abort();
        deviations.extend(self.cluster.checker.violations());
        if !deviations.is_empty() {
            println!("logs are kept in {}", self.directory.keep().display());
        }
        deviations
    }
}
