//! Test of the readiness checks while most VMs of a data centre stand still, with real processes.

use std::process::Command;

#[test]
fn the_live_minority_of_a_data_centre_leaves_the_rotation() {
    let output = Command::new(env!("CARGO_BIN_EXE_ragwortbeam-testbed"))
        .args(["rotation", "--seed", "1"])
        .output()
        .unwrap();
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success(), "{text}");
}
