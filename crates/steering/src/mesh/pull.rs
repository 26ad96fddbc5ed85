//! Pulls of a peer's catalog over HTTP, for changes that no datagram delivered.

use std::net::Ipv4Addr;

use prost::Message;
use ragwortbeam_base::http;
use spdlog::{info, warn};
use tokio::time::sleep;

use super::PeerLink;
use crate::catalog::{Revision, saturating_ms};
use crate::message::Frame;
use crate::prelude::*;

/// Timeout of a catalog request to a peer.
const PULL_TIMEOUT: Duration = Duration::from_millis(800);

/// Delay after a failed pull before the same peer is asked again.
const PULL_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Age of a pull from which it does not keep another peer from being asked.
const HEDGE_DELAY: Duration = Duration::from_millis(200);

/// Maximum number of pulls at the same time.
const MAX_PULLS: usize = 2;

/// Pulls in progress: the peer, and the time at which its pull began.
pub(super) type Pulls = Vec<(Ipv4Addr, Moment)>;

impl PeerLink {
    /// Starts a pull from a peer in the background, unless one from that peer is running, another
    /// one has begun less than [`HEDGE_DELAY`] ago, or there are [`MAX_PULLS`].
    pub(super) fn start_pull(self: &Arc<Self>, ip: Ipv4Addr, now: Moment) {
        {
            let mut pulls = self.pulls.lock().unwrap();
            let blocks = |(peer, started_at): &(Ipv4Addr, Moment)| {
                *peer == ip || now.since(*started_at) < HEDGE_DELAY
            };
            if pulls.len() >= MAX_PULLS || pulls.iter().any(blocks) {
                return;
            }
            pulls.push((ip, now));
        }
        let link = self.clone();
        tokio::spawn(async move {
            if let Err(error) = pull_catalog(&link, ip).await {
                warn!("event=catalog_pull_failed from={ip} error=\"{error}\"");
                sleep(PULL_RETRY_DELAY).await;
            }
            link.pulls.lock().unwrap().retain(|(peer, _)| *peer != ip);
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
    let (revision, version) = {
        let catalog = link.catalog.lock().unwrap();
        (catalog.revision(), catalog.configuration().version)
    };
    let context = || format!("catalog of {ip}");
    let client = http::Client::new(format!("{ip}:{}", link.port));
    let Revision { era, number } = revision;
    let path = format!("/catalog?after={number}&era={era}&version={version}");
    let sent_at = Moment::now();
    let response = client
        .get(&path, PULL_TIMEOUT)
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
    let mut frame =
        Frame::decode(response.body).map_err(|error| Error::invalid_response(context(), error))?;
    info!("event=catalog_pulled from={ip} after={number} era={era} version={version}");
    let now = Moment::now();
    if let Some(view) = &mut frame.view {
        // The peer may have stated the age at any time since the request.
        let transfer_ms = saturating_ms(now.since(sent_at));
        view.age_ms = view.age_ms.saturating_add(transfer_ms);
    }
    link.handle_frame(frame, now);
    Ok(())
}
