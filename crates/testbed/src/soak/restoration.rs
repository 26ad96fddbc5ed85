//! Restoration of the store from a copy, beside the other faults of a burst.

use std::sync::Arc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::time::sleep;

use super::Cluster;
use super::store::ResponseMode;

/// Time after the store's return at which leases that nobody renewed end.
const LEASE_TIME: Duration = Duration::from_millis(3600);

/// Takes a copy of the store, makes the store unavailable later and restores it from the copy.
///
/// Endpoints write their entries again within two seconds; the entries of those that stopped since
/// the copy expire later.
pub(crate) async fn run(cluster: Arc<Cluster>, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let copy = cluster.store.copy();
    let age = Duration::from_millis(rng.random_range(200..6000));
    println!(
        "seed {}: restoring the store from a copy of {age:?} before",
        cluster.options.seed
    );
    sleep(age).await;
    cluster.store.set_mode(ResponseMode::Unavailable);
    sleep(Duration::from_millis(rng.random_range(100..3000))).await;
    cluster.store.restore(copy);
    cluster.store.set_mode(ResponseMode::Normal);
    let renewal_time = Duration::from_millis(rng.random_range(50..1500));
    sleep(renewal_time).await;
    cluster.endpoints.register_all();
    sleep(LEASE_TIME - renewal_time).await;
    cluster.endpoints.expire_entries_of_stopped();
    cluster.checker.record_fault();
}
