//! Log lines about packets, bounded in number; each says how many were left out before it.

use metrics::counter;
use ragwortbeam_base::logging::RateLimiter;
use spdlog::info;

use super::Steering;
use crate::catalog::Key;
use crate::choice::Wish;
use crate::load::Board;
use crate::packet::Packet;
use crate::prelude::*;

/// Lines a second about new flows.
static OPENED: RateLimiter = RateLimiter::new(20);

/// Lines a second about resets and dropped packets.
static REFUSED: RateLimiter = RateLimiter::new(20);

/// Says why a flow was reset or a packet discarded.
pub(super) fn refused(event: &str, packet: &Packet, reason: &str, steering: &Steering) {
    let Some(left_out) = REFUSED.try_acquire() else {
        return;
    };
    let catalog = steering.catalog.lock().unwrap();
    info!(
        "event={event} flow={}>{} reason={reason} opens={} copy_or_ack={} token={:08x} config={} revision={} catalog_age_ms={} left_out={left_out}",
        packet.caller,
        packet.destination,
        packet.flags.opens,
        packet.acknowledged,
        packet.token,
        catalog.configuration().version,
        catalog.revision(),
        catalog.age(Moment::now()).as_millis(),
    );
}

/// Says where a new flow went, and by which counts.
pub(super) fn flow_placed(
    packet: &Packet,
    wish: &Wish<'_>,
    catalog: &Catalog,
    board: &Board,
    key: Key,
    now: Moment,
) {
    let Some(left_out) = OPENED.try_acquire() else {
        return;
    };
    let Some(endpoint) = catalog.endpoint(key) else {
        return;
    };
    let own = board.own(key);
    let reported = board.reported(endpoint, now);
    info!(
        "event=flow_placed flow={}>{} copy={} service={} endpoint={:x} busy_here={} busy_elsewhere={} open_here={} open_elsewhere={} contributors={} config={} revision={} catalog_age_ms={} left_out={left_out}",
        packet.caller,
        packet.destination,
        packet.acknowledged,
        wish.service,
        endpoint.id,
        own.busy,
        reported.busy,
        own.open,
        reported.open,
        board.contributors(),
        catalog.configuration().version,
        catalog.revision(),
        catalog.age(now).as_millis(),
    );
}

/// Says that an endpoint leaves opening packets without an answer.
pub(super) fn endpoint_silent(catalog: &Catalog, key: Key, now: Moment) {
    let Some(endpoint) = catalog.endpoint(key) else {
        return;
    };
    counter!("ragwortbeam_endpoints_silent_total").increment(1);
    info!(
        "event=endpoint_silent endpoint={:x} service={} address={} revision={} catalog_age_ms={}",
        endpoint.id,
        endpoint.entry.service,
        endpoint.entry.address,
        endpoint.revision,
        catalog.age(now).as_millis(),
    );
}

/// Says that the system did not take a packet.
pub(super) fn send_failed(address: SocketAddrV4, error: &std::io::Error) {
    if let Some(left_out) = REFUSED.try_acquire() {
        info!("event=send_failed to={address} error=\"{error}\" left_out={left_out}");
    }
}
