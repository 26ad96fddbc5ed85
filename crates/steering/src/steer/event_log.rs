//! Rate-limited log lines about packets. Each line says how many were suppressed since the
//! previous one.

use metrics::counter;
use ragwortbeam_base::logging::RateLimiter;
use spdlog::{info, warn};

use super::Steering;
use crate::catalog::EndpointKey;
use crate::choice::PlacementRequest;
use crate::load::EndpointLoads;
use crate::packet::Packet;
use crate::prelude::*;

/// Limit for lines about new flows, 20 a second.
static NEW_FLOW_LIMITER: RateLimiter = RateLimiter::new(20);

/// Limit for lines about resets, discarded packets and failed sends, 20 a second.
static REJECTION_LIMITER: RateLimiter = RateLimiter::new(20);

/// Limit for lines about new flows to evacuated data centres, 5 a second.
static EVACUATION_LIMITER: RateLimiter = RateLimiter::new(5);

/// Limit for lines about endpoints that are silent by the report, 20 a second: many endpoints may
/// end at once, and each VM hears of all of them.
static REPORTED_SILENCE_LIMITER: RateLimiter = RateLimiter::new(20);

/// Logs why a flow was reset or a packet discarded; `event` is the event name of the line.
pub(super) fn log_rejected_packet(event: &str, packet: &Packet, reason: &str, steering: &Steering) {
    let Some(suppressed) = REJECTION_LIMITER.try_acquire() else {
        return;
    };
    let catalog = steering.catalog.lock().unwrap();
    let now = Moment::now();
    info!(
        "event={event} flow={}>{} reason={reason} opens={} copy_or_ack={} token={:08x} {} config={} revision={} catalog_age_ms={} left_out={suppressed}",
        packet.caller,
        packet.destination,
        packet.flags.opens,
        packet.acknowledged,
        packet.token,
        describe_instance(packet, &catalog, now),
        catalog.configuration().version,
        catalog.revision().number,
        catalog.age(now).as_millis(),
    );
}

/// Returns log fields about the endpoint instance that a packet's token identifies: its start, the
/// start of the endpoint's newest instance, and how long the entry of each has been gone. A time is
/// `-` while the entry stands, and each field is `-` for a packet that belongs to no instance.
fn describe_instance(packet: &Packet, catalog: &Catalog, now: Moment) -> String {
    let key = catalog
        .by_token(packet.token, packet.destination)
        .filter(|_| !packet.flags.opens);
    let instance = key.and_then(|key| catalog.endpoint(key));
    let newest = key.and_then(|key| catalog.forwarding_endpoint(key));
    let gone_ms = |endpoint: Option<&Endpoint>| {
        let gone = endpoint.and_then(|endpoint| endpoint.gone_for(now));
        or_dash(gone.map(|gone| gone.as_millis()))
    };
    format!(
        "endpoint={} born_ms={} gone_ms={} newest_born_ms={} newest_gone_ms={}",
        or_dash(instance.map(|it| format!("{:x}", it.id))),
        or_dash(instance.map(|it| it.entry.born_ms)),
        gone_ms(instance),
        or_dash(newest.map(|it| it.entry.born_ms)),
        gone_ms(newest),
    )
}

fn or_dash(value: Option<impl ToString>) -> String {
    value.map_or_else(|| "-".to_owned(), |value| value.to_string())
}

/// Logs the endpoint chosen for a new flow, with the load counts that the choice was based on.
pub(super) fn log_flow_placed(
    packet: &Packet,
    request: &PlacementRequest<'_>,
    catalog: &Catalog,
    endpoint_loads: &EndpointLoads,
    key: EndpointKey,
    now: Moment,
) {
    let Some(suppressed) = NEW_FLOW_LIMITER.try_acquire() else {
        return;
    };
    let Some(endpoint) = catalog.endpoint(key) else {
        return;
    };
    let local_load = endpoint_loads.local_load(key);
    let reported_load = endpoint_loads.reported_load(endpoint, now);
    info!(
        "event=flow_placed flow={}>{} copy={} service={} endpoint={:x} busy_here={} busy_elsewhere={} open_here={} open_elsewhere={} contributors={} config={} revision={} catalog_age_ms={} left_out={suppressed}",
        packet.caller,
        packet.destination,
        packet.acknowledged,
        request.service,
        endpoint.id,
        local_load.busy,
        reported_load.busy,
        local_load.open,
        reported_load.open,
        endpoint_loads.contributors(),
        catalog.configuration().version,
        catalog.revision().number,
        catalog.age(now).as_millis(),
    );
}

/// Logs and counts a new flow to an evacuated data centre, which happens while the service has no
/// endpoint elsewhere that answers.
pub(super) fn log_evacuation_override(
    request: &PlacementRequest<'_>,
    catalog: &Catalog,
    key: EndpointKey,
) {
    let Some(endpoint) = catalog.endpoint(key) else {
        return;
    };
    let data_centre = &endpoint.entry.data_centre;
    if !catalog.evacuations().contains(data_centre) {
        return;
    }
    counter!("ragwortbeam_evacuation_overrides_total").increment(1);
    if let Some(suppressed) = EVACUATION_LIMITER.try_acquire() {
        warn!(
            "event=evacuation_overridden data_centre={data_centre} service={} endpoint={:x} left_out={suppressed}",
            request.service, endpoint.id
        );
    }
}

/// Logs and counts an endpoint that has left this VM's packets unanswered.
pub(super) fn log_silent_endpoint(catalog: &Catalog, key: EndpointKey, now: Moment) {
    counter!("ragwortbeam_endpoints_silent_total", "evidence" => "this_vm").increment(1);
    write_silent_endpoint(catalog, key, "this_vm", 0, now);
}

/// Logs and counts an endpoint that is silent by the report of other VMs.
pub(super) fn log_reported_silence(catalog: &Catalog, key: EndpointKey, now: Moment) {
    counter!("ragwortbeam_endpoints_silent_total", "evidence" => "other_vms").increment(1);
    if let Some(suppressed) = REPORTED_SILENCE_LIMITER.try_acquire() {
        write_silent_endpoint(catalog, key, "other_vms", suppressed, now);
    }
}

fn write_silent_endpoint(
    catalog: &Catalog,
    key: EndpointKey,
    evidence: &str,
    suppressed: u64,
    now: Moment,
) {
    let Some(endpoint) = catalog.endpoint(key) else {
        return;
    };
    info!(
        "event=endpoint_silent evidence={evidence} endpoint={:x} service={} address={} revision={} catalog_age_ms={} left_out={suppressed}",
        endpoint.id,
        endpoint.entry.service,
        endpoint.entry.address,
        endpoint.revision.number,
        catalog.age(now).as_millis(),
    );
}

/// Logs that the kernel did not accept a packet for sending.
pub(super) fn log_send_failure(address: SocketAddrV4, error: &std::io::Error) {
    if let Some(suppressed) = REJECTION_LIMITER.try_acquire() {
        info!("event=packet_send_failed to={address} error=\"{error}\" left_out={suppressed}");
    }
}
