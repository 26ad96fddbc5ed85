//! Tests of the queue of a service.

use std::sync::Arc;
use std::time::{Duration, Instant};

use ragwortbeam::dispatch::choice;
use ragwortbeam::dispatch::pool::Pool;
use ragwortbeam::id;
use ragwortbeam::release::{Endpoint, Kind, Service};
use ragwortbeam_base::telemetry;

const DATA_CENTRE: &str = "dc-a";

/// Returns a service with one endpoint of one slot.
fn service() -> Service {
    Service {
        id: id::Service::of("ledger"),
        name: "ledger".to_owned(),
        kind: Kind::Requests,
        address: "127.0.0.1:5683".parse().unwrap(),
        data_centres: vec![DATA_CENTRE.to_owned()],
        endpoints: vec![Endpoint {
            id: id::Endpoint(1),
            address: "127.0.0.1:6001".parse().unwrap(),
            data_centre: DATA_CENTRE.to_owned(),
            slots: 1,
            draining: false,
        }],
    }
}

/// Returns the value of the gauge of queued requests.
fn queued_requests() -> Option<f64> {
    let metrics = telemetry::render();
    let mut lines = metrics.lines();
    let line = lines.find(|line| line.starts_with("ragwortbeam_queued_requests "))?;
    line.split(' ').nth(1)?.parse().ok()
}

#[tokio::test]
async fn the_gauge_of_queued_requests_rises_and_falls() {
    telemetry::install();
    let pools = [(), ()].map(|()| Arc::new(Pool::new(choice::policy("random").unwrap(), 8, 10)));
    let deadline = Instant::now() + Duration::from_secs(10);
    let service = service();
    let mut leases = Vec::new();
    let mut waiting = Vec::new();
    for pool in &pools {
        let lease = pool.acquire(&service, DATA_CENTRE, &[], deadline).await;
        leases.push(lease.unwrap());
        for _ in 0..2 {
            let (pool, service) = (pool.clone(), service.clone());
            waiting.push(tokio::spawn(async move {
                pool.acquire(&service, DATA_CENTRE, &[], deadline)
                    .await
                    .map(drop)
            }));
        }
    }
    while waiting.iter().any(|task| task.is_finished()) || queued_requests() != Some(4.0) {
        assert!(Instant::now() < deadline, "{:?}", queued_requests());
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    drop(leases);
    for task in waiting {
        task.await.unwrap().unwrap();
    }
    assert_eq!(queued_requests(), Some(0.0));
}
