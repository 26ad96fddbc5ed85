//! Test of the time until a release is in force when connections to the platform are silent.

use std::time::Duration;

use ragwortbeam::document::Note;
use ragwortbeam_testbed::world::{World, WorldConfig};
use tokio::time::sleep;

/// Time within which a change has to be in force on all VMs.
const APPLY_TIMEOUT: Duration = Duration::from_secs(4);

/// Guards against VMs that wait for a note on a connection that has gone silent: both readers of a
/// data centre may do so at the same time.
#[tokio::test(flavor = "multi_thread")]
async fn a_release_is_in_force_in_time_when_all_connections_to_the_platform_are_silent() {
    let world = World::start(WorldConfig {
        vms: 2,
        executable: env!("CARGO_BIN_EXE_ragwortbeam-testbed").into(),
        ..WorldConfig::default()
    })
    .await
    .unwrap();
    // The silence begins at different moments of a watch.
    for delay_ms in [0, 400, 800] {
        sleep(Duration::from_millis(delay_ms)).await;
        world.platform_proxy.silence_open_connections();
        let number = world.platform.publish(Note::default());
        let elapsed = world.wait_release(number, APPLY_TIMEOUT).await;
        println!("in force after {elapsed:?}");
        assert!(elapsed.is_some(), "release {number} is not in force");
        sleep(Duration::from_secs(2)).await;
    }
    world.close();
}
