//! Fixtures shared by the tests of this crate: catalog entries, packets and a steering VM.

#![allow(dead_code)]

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use ragwortbeam_base::clock::Moment;
use ragwortbeam_steering::catalog::{
    Catalog, Change, Configuration, Entry, EntryUpdate, Revision, Route, Target, Traffic,
};
use ragwortbeam_steering::load::EndpointLoads;
use ragwortbeam_steering::packet::{Flags, Packet};
use ragwortbeam_steering::steer::{Outcome, Steering};

pub const DC_A: &str = "dc-a";
pub const DC_B: &str = "dc-b";

/// Returns the moment `ms` milliseconds after the time origin of the tests.
pub fn at(ms: u64) -> Moment {
    Moment::from_ms(1_000_000 + ms)
}

/// Returns a revision of a store that was never restored.
pub fn revision(number: u64) -> Revision {
    Revision::new(0, number)
}

pub fn address(last_octet: u8, port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, last_octet), port)
}

pub fn caller(port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 7), port)
}

pub fn entry(service: &str, last_octet: u8, data_centre: &str) -> Entry {
    Entry {
        service: service.into(),
        address: SocketAddrV4::new(Ipv4Addr::new(10, 128, 0, last_octet), 8080),
        data_centre: data_centre.into(),
        slots: 2,
        is_draining: false,
        warmup_left: Duration::ZERO,
        born_ms: 1000,
    }
}

pub fn written(endpoint: u64, number: u64, entry: Entry) -> EntryUpdate {
    EntryUpdate {
        endpoint,
        revision: revision(number),
        change: Change::Written(entry),
    }
}

pub fn removed(endpoint: u64, number: u64) -> EntryUpdate {
    EntryUpdate {
        endpoint,
        revision: revision(number),
        change: Change::Removed,
    }
}

pub fn route(address: SocketAddrV4, traffic: Traffic, targets: &[(&str, u32)]) -> Route {
    let targets = targets.iter().map(|(service, weight)| Target {
        service: (*service).into(),
        weight: *weight,
    });
    Route {
        name: address.to_string(),
        address,
        traffic,
        targets: targets.collect(),
        priority: 0,
        latency_target: Duration::from_millis(400),
    }
}

pub fn configuration(version: u64, number: u64, routes: Vec<Route>) -> Configuration {
    Configuration {
        revision: revision(number),
        version,
        flow_idle: Duration::from_secs(15),
        routes: routes
            .into_iter()
            .map(|route| (route.address, route))
            .collect(),
        warmups: HashMap::new(),
    }
}

/// Returns an opening packet that the caller has sent `retransmissions` times before.
pub fn opening_packet(port: u16, destination: SocketAddrV4, retransmissions: u32) -> Packet {
    Packet {
        caller: caller(port),
        destination,
        flags: Flags {
            opens: true,
            ..Flags::default()
        },
        token: 0,
        sequence: 100,
        acknowledged: retransmissions,
        data_len: 0,
    }
}

/// Returns a packet with 50 bytes of data on an open flow.
pub fn data_packet(
    port: u16,
    destination: SocketAddrV4,
    token: u32,
    sequence: u32,
    acknowledged: u32,
) -> Packet {
    Packet {
        caller: caller(port),
        destination,
        flags: Flags {
            acknowledges: true,
            ..Flags::default()
        },
        token,
        sequence,
        acknowledged,
        data_len: 50,
    }
}

/// Steering VM in `DC_A` with two services and their endpoints; its catalog is current at `at(0)`.
pub struct Vm {
    pub catalog: Arc<Mutex<Catalog>>,
    pub endpoint_loads: Arc<Mutex<EndpointLoads>>,
    pub steering: Steering,
}

pub const LEDGER_LAST_OCTET: u8 = 1;
pub const VAULT_LAST_OCTET: u8 = 2;

pub fn ledger() -> SocketAddrV4 {
    address(LEDGER_LAST_OCTET, 443)
}

pub fn vault() -> SocketAddrV4 {
    address(VAULT_LAST_OCTET, 443)
}

impl Vm {
    /// Creates the VM. Endpoints 1 and 2 serve `ledger` in `DC_A`, 3 serves it in `DC_B`, and 9
    /// serves `vault` in `DC_A`.
    pub fn new() -> Self {
        let mut catalog = Catalog::default();
        catalog.apply_configuration(configuration(
            5,
            2,
            vec![
                route(ledger(), Traffic::Idempotent, &[("ledger", 1)]),
                route(vault(), Traffic::Bulk, &[("vault", 1)]),
            ],
        ));
        let entries = [
            (1, entry("ledger", 1, DC_A)),
            (2, entry("ledger", 2, DC_A)),
            (3, entry("ledger", 3, DC_B)),
            (9, entry("vault", 9, DC_A)),
        ];
        for (id, entry) in entries {
            catalog.apply_update(written(id, 2 + id, entry), at(0), Duration::ZERO);
        }
        catalog.advance(revision(20), at(0));
        let catalog = Arc::new(Mutex::new(catalog));
        let endpoint_loads: Arc<Mutex<EndpointLoads>> = Arc::default();
        let steering = Steering::new(
            Ipv4Addr::new(10, 1, 0, 1),
            DC_A,
            Duration::from_secs(60),
            catalog.clone(),
            endpoint_loads.clone(),
            Arc::default(),
        );
        Self {
            catalog,
            endpoint_loads,
            steering,
        }
    }

    pub fn apply_update(&self, update: EntryUpdate, now: Moment) {
        self.apply_update_with_hold(update, now, Duration::ZERO);
    }

    pub fn apply_update_with_hold(&self, update: EntryUpdate, now: Moment, hold: Duration) {
        self.catalog.lock().unwrap().apply_update(update, now, hold);
    }

    pub fn confirm_catalog(&self, now: Moment) {
        self.catalog.lock().unwrap().confirm(now);
    }

    /// Opens a flow from a caller's port; returns the chosen endpoint and the flow's token.
    pub fn open(&self, port: u16, destination: SocketAddrV4, now: Moment) -> (u64, u32) {
        expect_forwarded(
            self.steering
                .decide(&opening_packet(port, destination, 0), now),
        )
    }
}

/// Returns the endpoint and token of a forwarded packet; panics on any other outcome.
pub fn expect_forwarded(outcome: Outcome) -> (u64, u32) {
    match outcome {
        Outcome::Forward {
            endpoint, token, ..
        } => (endpoint, token.unwrap_or(0)),
        other => panic!("expected a forwarded packet, found {other:?}"),
    }
}
