//! Tests of the reader with a scripted catalog source, on VMs that are meshed over loopback.

mod common;

use std::collections::VecDeque;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use common::{DC_A, DC_B, configuration, entry, ledger, removed, revision, route, written};
use prost::Message;
use ragwortbeam_base::clock::Moment;
use ragwortbeam_steering::catalog::{Catalog, EvacuationUpdate, Revision, Traffic};
use ragwortbeam_steering::catalog_source::{CatalogSource, CatalogUpdate, SourceFuture};
use ragwortbeam_steering::errors::Error;
use ragwortbeam_steering::http_server::{self, HandlerState};
use ragwortbeam_steering::load::EndpointLoads;
use ragwortbeam_steering::mesh::{self, MembershipTable, PeerLink};
use ragwortbeam_steering::message::{Digest, Frame, Member, View, frame};
use ragwortbeam_steering::placement::WarmupLimit;
use ragwortbeam_steering::reader::{Reader, max_backoff, startup_delay};
use ragwortbeam_steering::settings::Settings;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, UdpSocket};
use tokio::time::sleep;

/// One response of a scripted catalog source.
enum Response {
    /// A full read or changes.
    Update(CatalogUpdate),
    /// The store no longer has the history.
    HistoryGone,
    /// An error status.
    Unavailable,
    /// No response for this long, then an error status.
    Hang(Duration),
    /// A full read or changes after this time.
    Late(Duration, CatalogUpdate),
}

/// A call of a scripted catalog source.
#[derive(Clone, Copy, Debug)]
struct Call {
    called_at: Moment,
    /// Wait that a watch requests; zero for a full read.
    wait: Duration,
}

/// Catalog source that returns scripted responses in order. When none is left, it waits and reports
/// that nothing changed.
#[derive(Clone, Default)]
struct ScriptedSource {
    responses: Arc<Mutex<VecDeque<Response>>>,
    calls: Arc<Mutex<Vec<&'static str>>>,
    timed_calls: Arc<Mutex<Vec<Call>>>,
}

impl ScriptedSource {
    fn of(responses: impl IntoIterator<Item = Response>) -> Self {
        Self {
            responses: Arc::new(Mutex::new(responses.into_iter().collect())),
            calls: Arc::default(),
            timed_calls: Arc::default(),
        }
    }

    fn push(&self, responses: impl IntoIterator<Item = Response>) {
        self.responses.lock().unwrap().extend(responses);
    }

    async fn next_response(
        &self,
        revision: Revision,
        wait: Duration,
    ) -> Result<Option<CatalogUpdate>, Error> {
        let unavailable = || Error::Status {
            context: "script".to_owned(),
            status: 503,
        };
        self.timed_calls.lock().unwrap().push(Call {
            called_at: Moment::now(),
            wait,
        });
        let response = self.responses.lock().unwrap().pop_front();
        match response {
            Some(Response::Update(update)) => Ok(Some(update)),
            Some(Response::HistoryGone) => Ok(None),
            Some(Response::Unavailable) => Err(unavailable()),
            Some(Response::Late(time, update)) => {
                sleep(time).await;
                Ok(Some(update))
            }
            Some(Response::Hang(time)) => {
                sleep(time).await;
                Err(unavailable())
            }
            None => {
                sleep(wait.min(Duration::from_millis(50))).await;
                Ok(Some(CatalogUpdate {
                    revision,
                    ..CatalogUpdate::default()
                }))
            }
        }
    }
}

impl CatalogSource for ScriptedSource {
    fn read_all(&self) -> SourceFuture<'_, CatalogUpdate> {
        self.calls.lock().unwrap().push("all");
        Box::pin(async {
            Ok(self
                .next_response(Revision::NONE, Duration::ZERO)
                .await?
                .unwrap_or_default())
        })
    }

    fn watch(&self, revision: Revision, wait: Duration) -> SourceFuture<'_, Option<CatalogUpdate>> {
        self.calls.lock().unwrap().push("changes");
        Box::pin(self.next_response(revision, wait))
    }
}

fn full_update(number: u64, ids: &[u64]) -> CatalogUpdate {
    let entry_updates = ids
        .iter()
        .map(|id| written(*id, 2 + id, entry("ledger", *id as u8, DC_A)));
    CatalogUpdate {
        revision: revision(number),
        configuration: Some(configuration(
            5,
            2,
            vec![route(ledger(), Traffic::Idempotent, &[("ledger", 1)])],
        )),
        entry_updates: entry_updates.collect(),
        evacuation_updates: Vec::new(),
    }
}

fn partial_update(
    number: u64,
    entry_updates: Vec<ragwortbeam_steering::catalog::EntryUpdate>,
) -> CatalogUpdate {
    CatalogUpdate {
        revision: revision(number),
        configuration: None,
        entry_updates,
        evacuation_updates: Vec::new(),
    }
}

fn settings(peer_address: SocketAddrV4, seeds: &[SocketAddrV4]) -> Settings {
    let any = "127.0.0.1:1".parse().unwrap();
    Settings {
        vm: peer_address.to_string(),
        data_centre: DC_A.to_owned(),
        packet_address: any,
        ready_address: any,
        peer_address,
        advertised_ip: *peer_address.ip(),
        metrics_address: any,
        platform_address: any,
        seeds: seeds.iter().map(|seed| *seed.ip()).collect(),
        is_first_start: false,
        stop_timeout: Duration::from_secs(6),
        flow_lifetime: Duration::from_secs(60),
        weight: 100,
        allocation_min_vms: 12,
        warmup_limit: WarmupLimit::default(),
    }
}

/// Returns a loopback address that no other running process of these tests uses.
fn loopback_ip(last_octet: u8) -> Ipv4Addr {
    let process = std::process::id();
    let subnet = [(process % 120) as u8 + 1, (process / 120 % 250) as u8];
    Ipv4Addr::new(127, subnet[0], subnet[1], last_octet)
}

/// A VM that steers no packets: mesh, reader and the HTTP server for other VMs.
struct Vm {
    catalog: Arc<Mutex<Catalog>>,
}

impl Vm {
    /// Starts a VM of `DC_A` on a loopback address that ends in `last_octet`.
    async fn start(last_octet: u8, port: u16, seeds: &[u8], source: ScriptedSource) -> Self {
        Self::start_in(DC_A, last_octet, port, seeds, source).await
    }

    /// Starts a VM of `data_centre` on a loopback address that ends in `last_octet`.
    async fn start_in(
        data_centre: &str,
        last_octet: u8,
        port: u16,
        seeds: &[u8],
        source: ScriptedSource,
    ) -> Self {
        let address = |last_octet| SocketAddrV4::new(loopback_ip(last_octet), port);
        let seeds: Vec<SocketAddrV4> = seeds
            .iter()
            .map(|last_octet| address(*last_octet))
            .collect();
        let settings = settings(address(last_octet), &seeds);
        let socket = UdpSocket::bind(settings.peer_address).await.unwrap();
        let listener = TcpListener::bind(settings.peer_address).await.unwrap();
        let catalog: Arc<Mutex<Catalog>> = Arc::default();
        let endpoint_loads: Arc<Mutex<EndpointLoads>> = Arc::default();
        // A VM with a lower last octet ranks before the others, whatever the addresses' hashes.
        let weight = 1000 - u32::from(last_octet);
        let members = MembershipTable::new(*settings.peer_address.ip(), 1, data_centre, weight);
        let members = Arc::new(Mutex::new(members));
        let link = PeerLink::new(&settings, socket, members, catalog.clone(), endpoint_loads);
        let link = Arc::new(link);
        let reader = Reader::new(&settings, Box::new(source), catalog.clone(), link.clone());
        let state = HandlerState {
            readiness: Arc::default(),
            catalog: catalog.clone(),
            link: link.clone(),
        };
        tokio::spawn(mesh::receive_frames(link.clone()));
        tokio::spawn(mesh::send_heartbeats(link));
        tokio::spawn(http_server::serve_peers(state, listener));
        tokio::spawn(reader.run());
        Self { catalog }
    }

    /// Waits until the catalog meets a condition; panics after `limit`.
    async fn wait_until(
        &self,
        limit: Duration,
        condition: &str,
        is_met: impl Fn(&Catalog) -> bool,
    ) {
        let started_at = Moment::now();
        while !is_met(&self.catalog.lock().unwrap()) {
            let waited = Moment::now().since(started_at);
            assert!(waited < limit, "not {condition} after {waited:?}");
            sleep(Duration::from_millis(5)).await;
        }
    }
}

/// Waits until a source has been called `count` times; panics after `limit`.
async fn wait_for_calls(source: &ScriptedSource, count: usize, limit: Duration) {
    let started_at = Moment::now();
    loop {
        let found = source.timed_calls.lock().unwrap().len();
        if found >= count {
            return;
        }
        let waited = Moment::now().since(started_at);
        assert!(waited < limit, "{found} calls after {waited:?}");
        sleep(Duration::from_millis(5)).await;
    }
}

fn member(last_octet: u8) -> Member {
    Member {
        ip: loopback_ip(last_octet).into(),
        data_centre: DC_A.to_owned(),
        ..Member::default()
    }
}

/// Announces a revision to the VM at `receiver` in the name of a neighbour without a process;
/// returns the listener for the pulls from it.
async fn announce_revision(neighbour: u8, receiver: u8, port: u16, revision: u64) -> TcpListener {
    let address = SocketAddrV4::new(loopback_ip(neighbour), port);
    let listener = TcpListener::bind(address).await.unwrap();
    let socket = UdpSocket::bind(address).await.unwrap();
    let announcement = Frame {
        sender: Some(member(neighbour)),
        view: Some(View {
            revision,
            age_ms: 0,
            evacuations_revision: revision,
            ..View::default()
        }),
        ..Frame::default()
    };
    let receiver = SocketAddrV4::new(loopback_ip(receiver), port);
    let datagram = announcement.encode_to_vec();
    socket.send_to(&datagram, receiver).await.unwrap();
    listener
}

fn usable_ids(catalog: &Catalog) -> Vec<u64> {
    let now = Moment::now();
    let mut ids: Vec<u64> = catalog
        .endpoints()
        .filter(|(_, endpoint)| endpoint.accepts_flows(now))
        .map(|(_, endpoint)| endpoint.id)
        .collect();
    ids.sort();
    ids
}

const SHORT_LIMIT: Duration = Duration::from_secs(1);

#[tokio::test]
async fn a_reader_retries_the_full_read_and_then_watches_for_changes() {
    let source = ScriptedSource::of([
        Response::Unavailable,
        Response::Update(full_update(10, &[1, 2])),
        Response::Update(partial_update(12, vec![removed(1, 11)])),
    ]);
    let calls = source.calls.clone();
    let vm = Vm::start(1, 17701, &[], source).await;
    vm.wait_until(SHORT_LIMIT, "without endpoint 1", |it| {
        usable_ids(it) == [2]
    })
    .await;
    assert_eq!(calls.lock().unwrap()[..3], ["all", "all", "changes"]);
}

#[tokio::test]
async fn a_reader_reads_everything_again_when_the_history_is_gone() {
    let source = ScriptedSource::of([
        Response::Update(full_update(10, &[1, 2])),
        Response::HistoryGone,
        Response::Update(full_update(40, &[2, 3])),
    ]);
    let vm = Vm::start(2, 17702, &[], source).await;
    vm.wait_until(SHORT_LIMIT, "at revision 40", |it| {
        it.revision() == revision(40)
    })
    .await;
    assert_eq!(usable_ids(&vm.catalog.lock().unwrap()), [2, 3]);
}

#[tokio::test]
async fn entries_that_lapsed_in_a_store_outage_stay_usable_while_they_may_be_renewed() {
    let source = ScriptedSource::of([
        Response::Update(full_update(10, &[1, 2])),
        Response::Hang(Duration::from_millis(2000)),
        Response::Update(partial_update(20, vec![removed(1, 15), removed(2, 16)])),
        Response::Update(partial_update(
            21,
            vec![written(2, 21, entry("ledger", 2, DC_A))],
        )),
    ]);
    let vm = Vm::start(3, 17703, &[], source).await;
    let limit = Duration::from_secs(4);
    vm.wait_until(limit, "at revision 20", |it| it.revision() >= revision(20))
        .await;
    assert_eq!(usable_ids(&vm.catalog.lock().unwrap()), [1, 2]);
    vm.wait_until(limit, "without endpoint 1", |it| usable_ids(it) == [2])
        .await;
}

#[tokio::test]
async fn a_removal_takes_effect_at_once_while_the_store_responds() {
    let source = ScriptedSource::of([
        Response::Update(full_update(10, &[1, 2])),
        Response::Update(partial_update(11, vec![removed(1, 11)])),
    ]);
    let vm = Vm::start(4, 17704, &[], source).await;
    vm.wait_until(SHORT_LIMIT, "at revision 11", |it| {
        it.revision() == revision(11)
    })
    .await;
    assert_eq!(usable_ids(&vm.catalog.lock().unwrap()), [2]);
}

#[tokio::test]
async fn a_vm_that_cannot_read_the_store_gets_changes_from_another_vm() {
    let reading_source = ScriptedSource::of([Response::Update(full_update(10, &[1, 2]))]);
    let first = Vm::start(5, 17705, &[], reading_source.clone()).await;
    first
        .wait_until(SHORT_LIMIT, "loaded", Catalog::is_loaded)
        .await;
    let failing = ScriptedSource::of((0..1000).map(|_| Response::Unavailable));
    let second = Vm::start(6, 17705, &[5], failing).await;
    second
        .wait_until(SHORT_LIMIT, "loaded", Catalog::is_loaded)
        .await;
    let change = partial_update(11, vec![removed(1, 11)]);
    reading_source
        .responses
        .lock()
        .unwrap()
        .push_back(Response::Update(change));
    second
        .wait_until(SHORT_LIMIT, "without endpoint 1", |it| {
            usable_ids(it) == [2]
        })
        .await;
    // The other VM confirms that the catalog is current, although this one cannot read the store.
    sleep(Duration::from_millis(500)).await;
    let age = second.catalog.lock().unwrap().age(Moment::now());
    assert!(age < Duration::from_secs(1), "{age:?}");
}

#[tokio::test]
async fn a_hanging_reader_is_replaced_before_the_catalogs_are_outdated() {
    // The source of the first VM, which has rank 0, hangs until the end of the test.
    let hanging = || {
        ScriptedSource::of([
            Response::Update(full_update(10, &[1, 2])),
            Response::Hang(Duration::from_secs(60)),
        ])
    };
    let first = Vm::start(7, 17707, &[8], hanging()).await;
    let second_source = ScriptedSource::of([Response::Update(full_update(10, &[1, 2]))]);
    let second = Vm::start(8, 17707, &[7], second_source.clone()).await;
    first
        .wait_until(SHORT_LIMIT, "loaded", Catalog::is_loaded)
        .await;
    second
        .wait_until(SHORT_LIMIT, "loaded", Catalog::is_loaded)
        .await;
    sleep(Duration::from_millis(300)).await;
    let change = partial_update(12, vec![removed(1, 12)]);
    second_source
        .responses
        .lock()
        .unwrap()
        .push_back(Response::Update(change));
    // A change has to take effect within 3 s.
    let limit = Duration::from_secs(3);
    first
        .wait_until(limit, "without endpoint 1", |it| usable_ids(it) == [2])
        .await;
    second
        .wait_until(limit, "without endpoint 1", |it| usable_ids(it) == [2])
        .await;
}

#[tokio::test]
async fn one_data_centre_reads_for_all_until_it_loses_the_store() {
    let reading_source = ScriptedSource::of([Response::Update(full_update(10, &[1, 2]))]);
    let first = Vm::start_in(DC_A, 9, 17709, &[], reading_source.clone()).await;
    first
        .wait_until(SHORT_LIMIT, "loaded", Catalog::is_loaded)
        .await;
    let source = ScriptedSource::of([]);
    let second = Vm::start_in(DC_B, 10, 17709, &[9], source.clone()).await;
    second
        .wait_until(SHORT_LIMIT, "loaded", Catalog::is_loaded)
        .await;
    sleep(Duration::from_millis(1500)).await;
    assert_eq!(source.calls.lock().unwrap().len(), 0);
    let age = second.catalog.lock().unwrap().age(Moment::now());
    assert!(age < Duration::from_millis(500), "{age:?}");
    // The first VM cannot read the store from now on.
    let failures = (0..1000).map(|_| Response::Unavailable);
    reading_source.responses.lock().unwrap().extend(failures);
    let change = partial_update(11, vec![removed(1, 11)]);
    source
        .responses
        .lock()
        .unwrap()
        .push_back(Response::Update(change));
    let limit = Duration::from_secs(3);
    for vm in [&first, &second] {
        vm.wait_until(limit, "without endpoint 1", |it| usable_ids(it) == [2])
            .await;
    }
}

/// Guards against a retry that waits for changes although the catalogs are old already. In an outage
/// such watches would only add calls.
#[tokio::test]
async fn the_watch_after_a_first_failure_returns_at_once() {
    let source = ScriptedSource::of([
        Response::Update(full_update(10, &[1, 2])),
        Response::Update(partial_update(11, vec![removed(1, 11)])),
        Response::Hang(Duration::from_millis(1100)),
        Response::Unavailable,
        Response::Unavailable,
    ]);
    let _vm = Vm::start(11, 17711, &[], source.clone()).await;
    let limit = Duration::from_secs(3);
    wait_for_calls(&source, 7, limit).await;
    let waits = source.timed_calls.lock().unwrap()[1..7].to_vec();
    let waits_ms: Vec<u128> = waits.iter().map(|call| call.wait.as_millis()).collect();
    assert_eq!(waits_ms, [1000, 1000, 0, 1000, 1000, 1000]);
}

/// Guards against a takeover whose first request waits for its whole time limit on a connection that
/// does not work, and against a retry that is delayed by the backoff of an earlier turn.
#[tokio::test]
async fn the_first_watch_of_a_turn_and_its_retry_return_at_once() {
    let unavailable = |count| (0..count).map(|_| Response::Unavailable);
    let reading_source = ScriptedSource::of([Response::Update(full_update(10, &[1, 2]))]);
    let first = Vm::start_in(DC_A, 12, 17712, &[], reading_source.clone()).await;
    first
        .wait_until(SHORT_LIMIT, "loaded", Catalog::is_loaded)
        .await;
    let source = ScriptedSource::of(unavailable(1000));
    let second = Vm::start_in(DC_B, 13, 17712, &[12], source.clone()).await;
    second
        .wait_until(SHORT_LIMIT, "loaded", Catalog::is_loaded)
        .await;
    // An outage in which the second VM takes over too, until its turn of 4 s ends.
    reading_source.push(unavailable(8));
    sleep(Duration::from_millis(7000)).await;
    let calls_before = source.timed_calls.lock().unwrap().len();
    assert!(calls_before > 3, "{calls_before} calls in the first turn");
    source.responses.lock().unwrap().clear();
    source.push(unavailable(1));
    reading_source.push([Response::Hang(Duration::from_secs(60))]);
    wait_for_calls(&source, calls_before + 2, Duration::from_secs(4)).await;
    let calls = source.timed_calls.lock().unwrap()[calls_before..].to_vec();
    assert_eq!(calls[0].wait, Duration::ZERO);
    assert_eq!(calls[1].wait, Duration::ZERO);
    let delay = calls[1].called_at.since(calls[0].called_at);
    assert!(delay < Duration::from_millis(400), "retry after {delay:?}");
}

/// Guards against a catalog that seems younger than it is: changes made while the pages of a full
/// read are transferred are not in it.
#[tokio::test]
async fn a_catalog_is_as_old_as_the_start_of_its_full_read() {
    let time = Duration::from_millis(900);
    let source = ScriptedSource::of([
        Response::Late(time, full_update(10, &[1, 2])),
        Response::Hang(Duration::from_secs(60)),
    ]);
    let vm = Vm::start(14, 17714, &[], source).await;
    let limit = Duration::from_secs(3);
    vm.wait_until(limit, "loaded", Catalog::is_loaded).await;
    let age = vm.catalog.lock().unwrap().age(Moment::now());
    assert!(age >= time, "{age:?}");
}

/// Guards against a catalog that seems younger than it is after a slow transfer from a neighbour.
#[tokio::test]
async fn a_pulled_catalog_is_as_old_as_the_start_of_its_transfer() {
    let failing = ScriptedSource::of((0..1000).map(|_| Response::Unavailable));
    let vm = Vm::start(18, 17718, &[], failing).await;
    let listener = announce_revision(19, 18, 17718, 1000).await;
    let mut neighbour = Catalog::default();
    neighbour.apply_configuration(full_update(10, &[]).configuration.unwrap());
    let answer = Frame {
        sender: Some(member(19)),
        view: Some(View {
            revision: 1000,
            age_ms: 0,
            evacuations_revision: 1000,
            ..View::default()
        }),
        body: Some(frame::Body::Digest(Digest {
            changes: Some(neighbour.changed_after(revision(0), u64::MAX, Moment::now())),
            ..Digest::default()
        })),
        ..Frame::default()
    };
    let (mut stream, _) = listener.accept().await.unwrap();
    let mut request = [0; 1024];
    assert!(stream.read(&mut request).await.unwrap() > 0);
    let time = Duration::from_millis(400);
    sleep(time).await;
    let body = answer.encode_to_vec();
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
    stream.write_all(head.as_bytes()).await.unwrap();
    stream.write_all(&body).await.unwrap();
    vm.wait_until(SHORT_LIMIT, "loaded", Catalog::is_loaded)
        .await;
    let age = vm.catalog.lock().unwrap().age(Moment::now());
    assert!(age >= time && age < 2 * time, "{age:?}");
}

/// Guards against a VM that follows nobody while it waits for a neighbour that does not respond.
#[tokio::test]
async fn a_pull_without_a_response_does_not_block_one_from_another_vm() {
    let reading_source = ScriptedSource::of([Response::Update(full_update(10, &[1, 2]))]);
    let first = Vm::start(15, 17715, &[], reading_source.clone()).await;
    first
        .wait_until(SHORT_LIMIT, "loaded", Catalog::is_loaded)
        .await;
    let failing = ScriptedSource::of((0..1000).map(|_| Response::Unavailable));
    let second = Vm::start(16, 17715, &[15], failing).await;
    second
        .wait_until(SHORT_LIMIT, "loaded", Catalog::is_loaded)
        .await;
    // A neighbour announces a later revision and accepts connections, but answers nothing.
    let _listener = announce_revision(17, 16, 17715, 1000).await;
    sleep(Duration::from_millis(50)).await;
    // Too many changes for a datagram, so that they have to be pulled.
    let ids: Vec<u64> = (1..=100).collect();
    reading_source.push([Response::Update(full_update(200, &ids))]);
    second
        .wait_until(Duration::from_millis(600), "at revision 200", |it| {
            it.revision() == revision(200)
        })
        .await;
}

#[test]
fn the_request_rate_of_a_data_centre_without_the_store_is_bounded() {
    let requests_per_s = |vms: u32| -> f64 {
        let backoffs = (0..vms).map(|rank| max_backoff(rank).as_secs_f64());
        backoffs.map(|backoff| 1.0 / backoff).sum()
    };
    assert_eq!(max_backoff(0), max_backoff(7));
    assert!(max_backoff(8) > max_backoff(7));
    // Eight VMs have the shortest maximum backoff; each further eight add a lower rate.
    let first = requests_per_s(8);
    for (vms, times) in [(36, 2.5), (275, 4.5)] {
        let all = requests_per_s(vms);
        assert!(all < first * times, "{vms} VMs: {all} requests a second");
    }
}

/// The last VMs of a large data centre would otherwise wait for several seconds at the first start
/// of the system if no other VM's catalog reaches them.
#[test]
fn the_startup_delay_is_bounded_at_any_rank() {
    struct Case {
        rank: u32,
        is_first_start: bool,
        has_live_peer: bool,
        delay_ms: u64,
    }
    let cases = [
        (0, false, false, 30),
        (0, false, true, 30),
        (5, false, false, 30),
        (1, false, true, 85),
        (275, false, true, 260),
        (0, true, false, 400),
        (8, true, false, 600),
        (275, true, true, 1400),
    ];
    let cases = cases.map(|(rank, is_first_start, has_live_peer, delay_ms)| Case {
        rank,
        is_first_start,
        has_live_peer,
        delay_ms,
    });
    for case in cases {
        let delay = startup_delay(case.rank, case.is_first_start, case.has_live_peer);
        let expected = Duration::from_millis(case.delay_ms);
        assert_eq!(delay, expected, "rank {}", case.rank);
    }
}

/// Guards against an evacuation order that is missed because a VM of a version without orders read
/// the store and passed its catalog on.
#[tokio::test]
async fn a_reader_whose_catalog_may_lack_orders_reads_all() {
    let mut all = full_update(1000, &[1]);
    all.evacuation_updates.push(EvacuationUpdate {
        data_centre: DC_B.into(),
        revision: revision(900),
        is_ordered: true,
    });
    let source = ScriptedSource::of([
        Response::Update(full_update(10, &[1])),
        Response::Update(all),
    ]);
    let vm = Vm::start(20, 17720, &[], source.clone()).await;
    vm.wait_until(SHORT_LIMIT, "loaded", Catalog::is_loaded)
        .await;
    // Another VM's changes raise the revision, but not that of the orders.
    vm.catalog
        .lock()
        .unwrap()
        .advance(revision(20), Moment::now());
    vm.wait_until(SHORT_LIMIT, "evacuated", |catalog| {
        catalog.evacuations().contains(DC_B)
    })
    .await;
    assert_eq!(source.calls.lock().unwrap()[0], "all");
    let all_reads = source
        .calls
        .lock()
        .unwrap()
        .iter()
        .filter(|it| **it == "all")
        .count();
    assert_eq!(all_reads, 2);
}
