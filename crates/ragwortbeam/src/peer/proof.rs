//! Authentication of gRPC calls by the shared key.
//!
//! The proof is a MAC over the sender and the time. It shows that the calling VM holds the key
//! and that the call is recent. It does not cover the body of the call.

use tonic::metadata::MetadataMap;
use tonic::{Request, Status};

use crate::clock;
use crate::id;
use crate::refusal::Reason;
use crate::wire::frame::{Key, MAX_SKEW_MS};

const SENDER: &str = "ragwortbeam-sender";
const TIME_MS: &str = "ragwortbeam-time-ms";
const PROOF: &str = "ragwortbeam-proof-bin";

/// Adds a proof with the current time to a request.
pub fn attach<T>(key: &Key, sender: id::Vm, request: &mut Request<T>) {
    let sender = sender.to_string();
    let time_ms = clock::wall_ms().to_string();
    let mac = key.mac(&mac_input(&sender, &time_ms));
    let metadata = request.metadata_mut();
    metadata.insert(SENDER, sender.parse().expect("hexadecimal is ASCII"));
    metadata.insert(TIME_MS, time_ms.parse().expect("digits are ASCII"));
    metadata.insert_bin(PROOF, tonic::metadata::MetadataValue::from_bytes(&mac));
}

/// Checks the proof of a request.
///
/// # Errors
///
/// [`Reason::CallUnproved`] if the proof is missing, malformed or wrong, or if its time differs
/// from this VM's clock by more than [`MAX_SKEW_MS`].
pub fn check(key: &Key, metadata: &MetadataMap) -> Result<(), Reason> {
    let is_valid = || {
        let sender = metadata.get(SENDER)?.to_str().ok()?;
        let time_ms = metadata.get(TIME_MS)?.to_str().ok()?;
        let mac = metadata.get_bin(PROOF)?.to_bytes().ok()?;
        let skew = time_ms.parse::<u64>().ok()?.abs_diff(clock::wall_ms());
        let verified = key.verify(&mac_input(sender, time_ms), &mac);
        Some(verified && skew <= MAX_SKEW_MS)
    };
    if is_valid() == Some(true) {
        Ok(())
    } else {
        Err(Reason::CallUnproved)
    }
}

/// Returns the status that refuses a call without a valid proof.
pub fn unauthenticated_status() -> Status {
    Status::unauthenticated("no valid proof of the shared key")
}

fn mac_input(sender: &str, time_ms: &str) -> Vec<u8> {
    format!("call {sender} {time_ms}").into_bytes()
}
