//! Tests of the calls to other VMs.

use std::sync::Arc;

use ragwortbeam::membership::Table;
use ragwortbeam::message::ReleaseQuery;
use ragwortbeam::peer::Links;
use ragwortbeam::wire::frame::Key;
use tokio::net::TcpListener;

/// Guards against calls that all end at their time limit because they use a connection that has
/// gone silent.
#[tokio::test]
async fn a_call_without_a_response_is_not_followed_by_one_on_the_same_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let members = Arc::new(Table::new("vm", "dc-a", 1));
    let links = Links::new(members, Key::derive(b"test"), address.ip());
    let mut connections = Vec::new();
    for _ in 0..2 {
        // The connection is accepted, and stays open without a response.
        let (result, connection) = tokio::join!(
            links.releases_at(address, ReleaseQuery::default()),
            tokio::time::timeout(std::time::Duration::from_secs(1), listener.accept())
        );
        assert!(result.is_err());
        connections.push(connection.expect("each call opens a connection").unwrap());
    }
}
