//! Test of the time until a change is in force when the reader of the store fails, with real
//! processes.

use std::process::Command;

/// Guards against a sum of waits that exceeds the bound although each of them keeps it: the age at
/// which a VM takes over, a request on a connection that has gone silent, and the retry.
#[test]
fn a_change_is_in_force_in_time_when_the_reader_fails_and_connections_are_silent() {
    let output = Command::new(env!("CARGO_BIN_EXE_ragwortbeam-testbed"))
        .args(["takeover", "--seed", "1"])
        .output()
        .unwrap();
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success(), "{text}");
}
