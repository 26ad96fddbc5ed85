//! Fault injection on real VM processes, checked for the guarantees that hold at any machine
//! speed.
//!
//! Gaps in feeds and drain times depend on the speed; the `faults` command checks them.

use std::process::Command;
use std::time::Duration;

use ragwortbeam_testbed::checker::Guarantee;
use ragwortbeam_testbed::faults::{CASES, run_case_in};
use ragwortbeam_testbed::load::Load;
use ragwortbeam_testbed::world::WorldConfig;

/// Guarantees whose check does not depend on timing.
const TIME_INDEPENDENT: [Guarantee; 7] = [
    Guarantee::AtMostOnce,
    Guarantee::NoFalseNotRun,
    Guarantee::NoFalseRan,
    Guarantee::RightService,
    Guarantee::OwnCompleteResponse,
    Guarantee::DatagramAffinity,
    Guarantee::MonotonicRelease,
];

fn world_config(seed: u64) -> WorldConfig {
    WorldConfig {
        seed,
        executable: env!("CARGO_BIN_EXE_ragwortbeam-testbed").into(),
        ..WorldConfig::default()
    }
}

fn load() -> Load {
    Load {
        feeds: 6,
        datagram_flows: 6,
        posting_callers: 6,
        fetching_callers: 3,
        pause: Duration::from_millis(80),
    }
}

/// A misspelt name would otherwise pass as a run without violations.
#[test]
fn an_unknown_case_is_an_error() {
    let output = Command::new(env!("CARGO_BIN_EXE_ragwortbeam-testbed"))
        .args(["faults", "--case", "splitt"])
        .output()
        .unwrap();
    let message = String::from_utf8_lossy(&output.stderr);
    assert!(!output.status.success());
    assert!(
        message.contains("--case: expected one of") && message.contains("found splitt"),
        "{message}"
    );
}

async fn expect_no_violations(name: &str, seed: u64) {
    let case = CASES.iter().find(|case| case.name == name).unwrap();
    let outcomes = run_case_in(world_config(seed), load(), case).await.unwrap();
    for guarantee in TIME_INDEPENDENT {
        if let Some(outcome) = outcomes.get(&guarantee) {
            assert!(
                outcome.violations.is_empty(),
                "{guarantee}: {:?}",
                outcome.violations
            );
        }
    }
    assert!(outcomes[&Guarantee::AtMostOnce].checks > 0);
    assert!(outcomes[&Guarantee::NoFalseRan].checks > 0);
    assert!(outcomes[&Guarantee::DatagramAffinity].checks > 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn killed_vm_violates_no_guarantee() {
    expect_no_violations("kill", 11).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn three_replaced_vms_violate_no_guarantee() {
    expect_no_violations("churn", 12).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn paused_vm_violates_no_guarantee() {
    expect_no_violations("pause", 13).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn partitioned_data_centre_violates_no_guarantee() {
    expect_no_violations("split", 14).await;
}
