//! Test of odd entries among those of the endpoints, with real processes.

use std::process::Command;

/// Guards against VMs that end, or stop following the store, because one entry cannot be used.
#[test]
fn the_vms_serve_on_and_follow_the_store_beside_odd_entries() {
    let output = Command::new(env!("CARGO_BIN_EXE_ragwortbeam-testbed"))
        .args(["odd-entries", "--seed", "1"])
        .output()
        .unwrap();
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success(), "{text}");
}
