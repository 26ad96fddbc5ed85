//! A node keeps serving under bad input and counts it by reason.

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

/// Longest wait for what has to happen; the checks do not depend on how soon it does.
const PATIENCE: Duration = Duration::from_secs(30);

async fn world(vms: usize) -> World {
    World::start(WorldConfig {
        vms,
        executable: env!("CARGO_BIN_EXE_ragwortbeam-testbed").into(),
        ..WorldConfig::default()
    })
    .await
    .unwrap()
}

async fn wait_count(world: &World, reason: Reason) {
    let counted = async {
        loop {
            let report = world.vms[&0].status().await;
            if report.is_some_and(|report| report.refusals.contains_key(&reason)) {
                return;
            }
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(PATIENCE, counted)
        .await
        .unwrap_or_else(|_| panic!("{reason} is not counted"));
}

/// Sends until an answer arrives; the socket's sends are not lost on loopback.
async fn ask(target: SocketAddr, datagram: &[u8]) -> Packet {
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let mut buffer = [0; 2048];
    socket.send_to(datagram, target).await.unwrap();
    let len = timeout(PATIENCE, socket.recv(&mut buffer))
        .await
        .expect("an answer")
        .unwrap();
    Packet::from_bytes(&buffer[..len]).unwrap()
}

fn request(kind: RequestType, message_id: u16) -> Packet {
    let mut packet = Packet::new();
    packet.header.set_type(MessageType::Confirmable);
    packet.header.code = MessageClass::Request(kind);
    packet.header.message_id = message_id;
    packet.set_token(vec![4, 5]);
    packet.add_option(CoapOption::UriPath, b"certificate".to_vec());
    packet
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_datagrams_are_counted_and_answered_as_the_protocol_says() {
    struct Silent {
        datagram: Vec<u8>,
        reason: Reason,
    }
    struct Answered {
        datagram: Vec<u8>,
        code: &'static str,
        kind: MessageType,
    }
    let world = world(1).await;
    let service = world.entry_address(0, 1);
    let mut unknown_option = request(RequestType::Get, 1);
    unknown_option.add_option(CoapOption::from(2051), vec![1]);
    let mut proxying = request(RequestType::Get, 2);
    proxying.add_option(CoapOption::ProxyUri, b"coap://x/".to_vec());
    let silent = [
        Silent {
            datagram: vec![0x40],
            reason: Reason::DatagramShort,
        },
        Silent {
            datagram: vec![0x40; 1400],
            reason: Reason::DatagramLong,
        },
        Silent {
            datagram: vec![0xc0, 1, 0, 1],
            reason: Reason::DatagramMalformed,
        },
        // A response from a caller.
        Silent {
            datagram: vec![0x50, 0x45, 0, 1],
            reason: Reason::MessageUnexpected,
        },
    ];
    let answered = [
        // A ping.
        Answered {
            datagram: vec![0x40, 0, 0, 9],
            code: "0.00",
            kind: MessageType::Reset,
        },
        Answered {
            datagram: unknown_option.to_bytes().unwrap(),
            code: "4.02",
            kind: MessageType::Acknowledgement,
        },
        Answered {
            datagram: proxying.to_bytes().unwrap(),
            code: "5.05",
            kind: MessageType::Acknowledgement,
        },
        Answered {
            datagram: request(RequestType::Get, 3).to_bytes().unwrap(),
            code: "2.05",
            kind: MessageType::Acknowledgement,
        },
    ];
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    for case in silent {
        socket.send_to(&case.datagram, service).await.unwrap();
        wait_count(&world, case.reason).await;
    }
    for case in answered {
        let answer = ask(service, &case.datagram).await;
        assert_eq!(answer.header.get_code(), case.code);
        assert_eq!(answer.header.get_type(), case.kind);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_frames_are_counted() {
    struct Case {
        datagram: Vec<u8>,
        reason: Reason,
    }
    let mut world = world(2).await;
    let target = world.fleet_config().listed_address(0);
    // A member's address without its process.
    world.vms.get_mut(&1).unwrap().kill().await;
    let socket = UdpSocket::bind(world.fleet_config().real_address(1))
        .await
        .unwrap();
    let key = Key::derive(&world.key().unwrap());
    let ping = || Body::Ping(Ping::default());
    let member = Sealer::new(key.clone(), id::Vm::of("vm-1"), clock::wall_ms());
    let stranger = Sealer::new(key, id::Vm::of("nobody"), 1);
    let accepted = member.seal(ping());
    socket.send_to(&accepted, target).await.unwrap();
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
            datagram: stranger.seal(ping()),
            reason: Reason::FrameStranger,
        },
        Case {
            datagram: accepted,
            reason: Reason::FrameReplayed,
        },
    ];
    for case in cases {
        socket.send_to(&case.datagram, target).await.unwrap();
        wait_count(&world, case.reason).await;
    }
    let elsewhere = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let before = world.vms[&0].status().await.unwrap();
    let peer = world.fleet_config().real_address(0);
    elsewhere.send_to(&member.seal(ping()), peer).await.unwrap();
    wait_more(&world, Reason::FrameStranger, &before).await;
}

async fn wait_more(world: &World, reason: Reason, before: &Report) {
    let counted = async {
        loop {
            let report = world.vms[&0].status().await;
            if report.is_some_and(|report| report.refusals[&reason] > before.refusals[&reason]) {
                return;
            }
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(PATIENCE, counted)
        .await
        .expect("one more is counted");
}
