//! Real nodes under seeded faults: what must hold whatever the machine's speed.
//!
//! Feed gaps and drain times depend on it and are checked by the `faults` command.

use std::time::Duration;

use ragwortbeam_testbed::checker::Guarantee;
use ragwortbeam_testbed::faults::{CASES, run_in};
use ragwortbeam_testbed::load::Load;
use ragwortbeam_testbed::world::WorldConfig;

/// Promises whose verdict does not depend on time.
const TIMELESS: [Guarantee; 7] = [
    Guarantee::AtMostOnce,
    Guarantee::NoFalseNotRun,
    Guarantee::NoFalseRan,
    Guarantee::RightService,
    Guarantee::OwnCompleteResponse,
    Guarantee::DatagramAffinity,
    Guarantee::MonotonicRelease,
];

fn shape(seed: u64) -> WorldConfig {
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

async fn keeps_promises(name: &str, seed: u64) {
    let case = CASES.iter().find(|case| case.name == name).unwrap();
    let outcomes = run_in(shape(seed), load(), case).await.unwrap();
    for promise in TIMELESS {
        if let Some(outcome) = outcomes.get(&promise) {
            assert!(
                outcome.violations.is_empty(),
                "{promise}: {:?}",
                outcome.violations
            );
        }
    }
    assert!(outcomes[&Guarantee::AtMostOnce].checks > 0);
    assert!(outcomes[&Guarantee::NoFalseRan].checks > 0);
    assert!(outcomes[&Guarantee::DatagramAffinity].checks > 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_killed_vm() {
    keeps_promises("kill", 11).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn three_replaced_vms() {
    keeps_promises("churn", 12).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_paused_vm() {
    keeps_promises("pause", 13).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_split_data_centre() {
    keeps_promises("split", 14).await;
}
