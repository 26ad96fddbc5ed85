//! Control traffic and memory of one VM stay within their budgets at the target size.

use ragwortbeam::flow::Record;
use ragwortbeam::flow::record::{CoapState, Feed};
use ragwortbeam::id;
use ragwortbeam::message::frame::Body;
use ragwortbeam::message::{Health, Ping, Rumour};
use ragwortbeam::wire::frame::{Key, Sealer};

/// Budget for the control traffic of one VM, bytes per second.
const TRAFFIC_BUDGET_BYTES_PER_S: usize = 8 * 1024;

/// Budget for the control memory of one VM, bytes.
const MEMORY_BUDGET_BYTES: usize = 128 * 1024 * 1024;

/// Open flows of one VM, with 89 million flows on 4,400 VMs.
const FLOWS_PER_VM: usize = 89_000_000 / 4400;

/// Probes and answers that a VM sends in ten seconds, with one probe every 400 ms.
const FRAMES_PER_10_S: usize = 2 * 25;

/// Maximum number of rumours in one frame: six queued ones, one about the receiver and one
/// about the sender.
const MAX_RUMOURS: usize = 8;

#[test]
fn flows_with_one_feed_each_and_as_many_replicas_fit_half_the_memory_budget() {
    let bytes = size_of::<Record>() + size_of::<CoapState>() + size_of::<Feed>();
    assert!(
        2 * FLOWS_PER_VM * bytes <= MEMORY_BUDGET_BYTES / 2,
        "{bytes} bytes per flow"
    );
}

#[test]
fn probes_with_the_maximum_of_rumours_fit_the_traffic_budget() {
    let rumour = Rumour {
        vm: u64::MAX,
        incarnation: u64::MAX,
        revision: u32::MAX,
        health: Health::Left.into(),
    };
    let ping = Ping {
        nonce: u64::MAX,
        release: u64::MAX,
        vm_list: u64::MAX,
        rumours: vec![rumour; MAX_RUMOURS],
    };
    let sealer = Sealer::new(Key::derive(&[1; 32]), id::Vm::of("vm"), u64::MAX);
    let frame = sealer.seal(Body::Ping(ping)).len();
    assert!(
        frame * FRAMES_PER_10_S / 10 <= TRAFFIC_BUDGET_BYTES_PER_S,
        "{frame} bytes per frame"
    );
}
