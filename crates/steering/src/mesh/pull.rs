//! Pulls of a peer's catalog over HTTP, for changes that no datagram delivered.

use std::net::Ipv4Addr;
use std::sync::atomic::Ordering;

use prost::Message;
use ragwortbeam_base::http;
use spdlog::{info, warn};
use tokio::time::sleep;

use super::PeerLink;
use crate::message::Frame;
use crate::prelude::*;

/// Timeout of a catalog request to a peer.
const PULL_TIMEOUT: Duration = Duration::from_millis(800);

/// Delay after a failed pull before another one may start.
const PULL_RETRY_DELAY: Duration = Duration::from_millis(100);

impl PeerLink {
    /// Starts a pull from a peer in the background, unless one is already running.
    pub(super) fn start_pull(self: &Arc<Self>, ip: Ipv4Addr) {
        if self.is_pulling.swap(true, Ordering::AcqRel) {
            return;
        }
        let link = self.clone();
        tokio::spawn(async move {
            if let Err(error) = pull_catalog(&link, ip).await {
                warn!("event=catalog_pull_failed from={ip} error=\"{error}\"");
                sleep(PULL_RETRY_DELAY).await;
            }
            link.is_pulling.store(false, Ordering::Release);
        });
    }
}

/// Pulls the changes that this VM's catalog lacks from a peer; the response is handled like a frame
/// that arrived as a datagram.
///
/// # Errors
///
/// [`Error::Request`], [`Error::Status`] or [`Error::InvalidResponse`]; a pull from another
/// peer may succeed.
pub async fn pull_catalog(link: &Arc<PeerLink>, ip: Ipv4Addr) -> Result<()> {
    let revision = link.catalog.lock().unwrap().revision();
    let context = || format!("catalog of {ip}");
    let client = http::Client::new(format!("{ip}:{}", link.port));
    let response = client
        .get(&format!("/catalog?after={revision}"), PULL_TIMEOUT)
        .await
        .map_err(|source| Error::Request {
            context: context(),
            source,
        })?;
    if !response.status.is_success() {
        return Err(Error::Status {
            context: context(),
            status: response.status.as_u16(),
        });
    }
    let frame =
        Frame::decode(response.body).map_err(|error| Error::invalid_response(context(), error))?;
    info!("event=catalog_pulled from={ip} after={revision}");
    link.handle_frame(frame, Moment::now());
    Ok(())
}
