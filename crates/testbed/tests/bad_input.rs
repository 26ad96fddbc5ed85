//! A node that receives invalid datagrams and frames counts each by reason and keeps serving.

use std::net::SocketAddr;
use std::time::Duration;

use coap_lite::{CoapOption, MessageClass, MessageType, Packet, RequestType};
use ragwortbeam::admin::Report;
use ragwortbeam::clock;
use ragwortbeam::id;
use ragwortbeam::message::Ping;
use ragwortbeam::message::frame::Body;
use ragwortbeam::refusal::Reason;
use ragwortbeam::wire::frame::{Key, Sealer};
use ragwortbeam_testbed::world::{World, WorldConfig};
use tokio::net::UdpSocket;
use tokio::time::{sleep, timeout};

/// Longest wait for a condition that has to occur; the checks do not depend on how soon it does.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(30);

async fn start_world(vms: usize) -> World {
    World::start(WorldConfig {
        vms,
        executable: env!("CARGO_BIN_EXE_ragwortbeam-testbed").into(),
        ..WorldConfig::default()
    })
    .await
    .unwrap()
}

async fn wait_until_counted(world: &World, reason: Reason) {
    let until_counted = async {
        loop {
            let report = world.vms[&0].status().await;
            if report.is_some_and(|report| report.refusals.contains_key(&reason)) {
                return;
            }
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(CONDITION_TIMEOUT, until_counted)
        .await
        .unwrap_or_else(|_| panic!("{reason} is not counted"));
}

/// Sends a datagram once and returns the response; nothing is lost on loopback.
async fn exchange(destination: SocketAddr, datagram: &[u8]) -> Packet {
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let mut buffer = [0; 2048];
    socket.send_to(datagram, destination).await.unwrap();
    let len = timeout(CONDITION_TIMEOUT, socket.recv(&mut buffer))
        .await
        .expect("no response in time")
        .unwrap();
    Packet::from_bytes(&buffer[..len]).unwrap()
}

fn request(method: RequestType, message_id: u16) -> Packet {
    let mut packet = Packet::new();
    packet.header.set_type(MessageType::Confirmable);
    packet.header.code = MessageClass::Request(method);
    packet.header.message_id = message_id;
    packet.set_token(vec![4, 5]);
    packet.add_option(CoapOption::UriPath, b"certificate".to_vec());
    packet
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_datagrams_are_counted_and_requests_are_answered_with_their_code() {
    struct Dropped {
        datagram: Vec<u8>,
        reason: Reason,
    }
    struct Answered {
        datagram: Vec<u8>,
        code: &'static str,
        message_type: MessageType,
    }
    let world = start_world(1).await;
    let service_address = world.entry_address(0, 1);
    let mut unknown_option = request(RequestType::Get, 1);
    unknown_option.add_option(CoapOption::from(2051), vec![1]);
    let mut proxy_request = request(RequestType::Get, 2);
    proxy_request.add_option(CoapOption::ProxyUri, b"coap://x/".to_vec());
    let dropped = [
        Dropped {
            datagram: vec![0x40],
            reason: Reason::DatagramShort,
        },
        Dropped {
            datagram: vec![0x40; 1400],
            reason: Reason::DatagramLong,
        },
        Dropped {
            datagram: vec![0xc0, 1, 0, 1],
            reason: Reason::DatagramMalformed,
        },
        // A response, which callers must not send.
        Dropped {
            datagram: vec![0x50, 0x45, 0, 1],
            reason: Reason::MessageUnexpected,
        },
    ];
    let answered = [
        // An empty confirmable message, which is a CoAP ping.
        Answered {
            datagram: vec![0x40, 0, 0, 9],
            code: "0.00",
            message_type: MessageType::Reset,
        },
        Answered {
            datagram: unknown_option.to_bytes().unwrap(),
            code: "4.02",
            message_type: MessageType::Acknowledgement,
        },
        Answered {
            datagram: proxy_request.to_bytes().unwrap(),
            code: "5.05",
            message_type: MessageType::Acknowledgement,
        },
        Answered {
            datagram: request(RequestType::Get, 3).to_bytes().unwrap(),
            code: "2.05",
            message_type: MessageType::Acknowledgement,
        },
    ];
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    for case in dropped {
        socket
            .send_to(&case.datagram, service_address)
            .await
            .unwrap();
        wait_until_counted(&world, case.reason).await;
    }
    for case in answered {
        let response = exchange(service_address, &case.datagram).await;
        assert_eq!(response.header.get_code(), case.code);
        assert_eq!(response.header.get_type(), case.message_type);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn rejected_frames_are_counted_by_reason() {
    struct Case {
        datagram: Vec<u8>,
        reason: Reason,
    }
    let mut world = start_world(2).await;
    let destination = world.fleet_config().listed_address(0);
    // The address of a member is free to bind once its process has been killed.
    world.vms.get_mut(&1).unwrap().kill().await;
    let socket = UdpSocket::bind(world.fleet_config().real_address(1))
        .await
        .unwrap();
    let key = Key::derive(&world.key().unwrap());
    let ping = || Body::Ping(Ping::default());
    let member_sealer = Sealer::new(key.clone(), id::Vm::of("vm-1"), clock::wall_ms());
    let unknown_sealer = Sealer::new(key, id::Vm::of("nobody"), 1);
    let accepted_frame = member_sealer.seal(ping());
    socket.send_to(&accepted_frame, destination).await.unwrap();
    let cases = [
        Case {
            datagram: vec![1, 2, 3],
            reason: Reason::FrameShort,
        },
        Case {
            datagram: vec![0; 2049],
            reason: Reason::FrameLong,
        },
        Case {
            datagram: vec![0; 100],
            reason: Reason::FrameMac,
        },
        Case {
            datagram: unknown_sealer.seal(ping()),
            reason: Reason::FrameStranger,
        },
        Case {
            datagram: accepted_frame,
            reason: Reason::FrameReplayed,
        },
    ];
    for case in cases {
        socket.send_to(&case.datagram, destination).await.unwrap();
        wait_until_counted(&world, case.reason).await;
    }
    // A valid frame of a member is refused when it comes from another address than the member's.
    // It is sent to the real address, as the relay drops datagrams from unknown addresses.
    let foreign_socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let earlier_report = world.vms[&0].status().await.unwrap();
    let real_address = world.fleet_config().real_address(0);
    foreign_socket
        .send_to(&member_sealer.seal(ping()), real_address)
        .await
        .unwrap();
    wait_until_counted_again(&world, Reason::FrameStranger, &earlier_report).await;
}

async fn wait_until_counted_again(world: &World, reason: Reason, earlier_report: &Report) {
    let until_counted = async {
        loop {
            let report = world.vms[&0].status().await;
            if report
                .is_some_and(|report| report.refusals[&reason] > earlier_report.refusals[&reason])
            {
                return;
            }
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(CONDITION_TIMEOUT, until_counted)
        .await
        .expect("no further refusal is counted");
}
