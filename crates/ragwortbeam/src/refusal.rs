//! Reasons for refusing packets and requests, and a counter of refusals for each reason.

use std::collections::BTreeMap;
use std::sync::Mutex;

use derive_more::Display;
use metrics::counter;
use serde::{Deserialize, Serialize};

use crate::verdict::Verdict;

/// Reason for refusing a packet, frame, peer call or request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The caller's datagram is shorter than a CoAP header.
    #[display("datagram_short")]
    DatagramShort,
    /// The caller's datagram exceeds the size limit.
    #[display("datagram_long")]
    DatagramLong,
    /// The caller's datagram is not a valid CoAP message.
    #[display("datagram_malformed")]
    DatagramMalformed,
    /// The caller's message is neither a request, a reply to a notification nor a ping.
    #[display("message_unexpected")]
    MessageUnexpected,
    /// The request has an unknown option that is unsafe to forward.
    #[display("option_unknown")]
    OptionUnknown,
    /// The request asks for forward proxying, which is not supported.
    #[display("proxying")]
    Proxying,
    /// The peer frame is too short to contain a MAC.
    #[display("frame_short")]
    FrameShort,
    /// The peer frame exceeds the size limit.
    #[display("frame_long")]
    FrameLong,
    /// The peer frame's MAC is invalid.
    #[display("frame_mac")]
    FrameMac,
    /// The peer frame cannot be decoded.
    #[display("frame_malformed")]
    FrameMalformed,
    /// The peer frame is of an unknown kind.
    #[display("frame_unknown_kind")]
    FrameUnknownKind,
    /// The peer frame's send time differs too much from this VM's clock.
    #[display("frame_stale")]
    FrameStale,
    /// The peer frame was received before, or is too old for the replay window or the sender's
    /// incarnation.
    #[display("frame_replayed")]
    FrameReplayed,
    /// The peer frame's sender is not in the VM list, or the list has another address for it than
    /// the frame came from.
    #[display("frame_stranger")]
    FrameStranger,
    /// The peer call carries no valid proof that its sender has the key.
    #[display("call_unproved")]
    CallUnproved,
    /// The packet is for a service that this VM does not know.
    #[display("service_unknown")]
    ServiceUnknown,
    /// No endpoint of the service accepts new requests.
    #[display("no_endpoint")]
    NoEndpoint,
    /// The service's queue is full.
    #[display("queue_full")]
    QueueFull,
    /// The deadline passed before dispatch.
    #[display("deadline_queued")]
    DeadlineQueued,
    /// The deadline passed after dispatch.
    #[display("deadline_dispatched")]
    DeadlineDispatched,
    /// A backend server shed the request without running it.
    #[display("shed")]
    Shed,
    /// The request or datagram could not be sent, the backend server reset it, or the server's
    /// port was closed.
    #[display("backend_reset")]
    BackendReset,
    /// A reservation peer did not answer the reservation of a non-idempotent request in time, or
    /// could not record it.
    #[display("replica_unreachable")]
    ReplicaUnreachable,
    /// This VM sees no majority of the data centre's VMs, so VMs in another partition may serve
    /// non-idempotent requests.
    #[display("minority")]
    Minority,
    /// A previous owner of the flow was lost and may have dispatched the request.
    #[display("owner_lost")]
    OwnerLost,
    /// The flow table is full.
    #[display("flows_full")]
    FlowsFull,
    /// This VM is stopping.
    #[display("stopping")]
    Stopping,
    /// The packet has reached the limit of hops between VMs.
    #[display("hop_limit")]
    HopLimit,
}

/// Refusal of a request, with the verdict on its execution.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Display)]
#[display("reason={reason} verdict={verdict}")]
pub struct Refusal {
    /// Reason for the refusal.
    pub reason: Reason,
    /// `NotRun` only where no backend server can have run the request or will run it.
    pub verdict: Verdict,
}

impl Refusal {
    /// Returns a refusal of a request that no backend server has run or will run: it was not
    /// sent, or the server shed it.
    pub fn not_run(reason: Reason) -> Self {
        Self {
            reason,
            verdict: Verdict::NotRun,
        }
    }

    /// Returns a refusal of a request that a backend server may have run.
    pub fn may_have_run(reason: Reason) -> Self {
        Self {
            reason,
            verdict: Verdict::MayHaveRun,
        }
    }
}

/// Number of refusals since the process started, by reason.
#[derive(Debug, Default)]
pub struct Counts {
    by_reason: Mutex<BTreeMap<Reason, u64>>,
}

impl Counts {
    /// Counts one refusal, here and in the metrics.
    pub fn add(&self, reason: Reason) {
        counter!("ragwortbeam_refusals_total", "reason" => reason.to_string()).increment(1);
        *self.by_reason.lock().unwrap().entry(reason).or_default() += 1;
    }

    /// Returns a copy of the counts; a reason that has not occurred is missing.
    pub fn all(&self) -> BTreeMap<Reason, u64> {
        self.by_reason.lock().unwrap().clone()
    }
}
