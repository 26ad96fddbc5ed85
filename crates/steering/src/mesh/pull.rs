//! Readings of another VM's catalog, for what no datagram brought.

use std::net::Ipv4Addr;
use std::sync::atomic::Ordering;

use prost::Message;
use ragwortbeam_base::http;
use spdlog::{info, warn};
use tokio::time::sleep;

use super::Link;
use crate::message::Frame;
use crate::prelude::*;

/// Time allowed for reading a catalog from another VM.
const PULL_TIMEOUT: Duration = Duration::from_millis(800);

/// Pause after a failed reading from another VM.
const PULL_PAUSE: Duration = Duration::from_millis(100);

impl Link {
    /// Reads in the background, unless a reading is under way.
    pub(super) fn start_pull(self: &Arc<Self>, ip: Ipv4Addr) {
        if self.is_pulling.swap(true, Ordering::AcqRel) {
            return;
        }
        let link = self.clone();
        tokio::spawn(async move {
            if let Err(error) = pull(&link, ip).await {
                warn!("event=catalog_pull_failed from={ip} error=\"{error}\"");
                sleep(PULL_PAUSE).await;
            }
            link.is_pulling.store(false, Ordering::Release);
        });
    }
}

/// Reads from another VM what this one's catalog lacks.
///
/// # Errors
///
/// [`Error::Request`], [`Error::Status`] or [`Error::InvalidResponse`]; another VM may be asked.
pub async fn pull(link: &Arc<Link>, ip: Ipv4Addr) -> Result<()> {
    let revision = link.catalog.lock().unwrap().revision();
    let context = || format!("catalog of {ip}");
    let client = http::Client::new(format!("{ip}:{}", link.port));
    let answer = client
        .get(&format!("/catalog?after={revision}"), PULL_TIMEOUT)
        .await
        .map_err(|source| Error::Request {
            context: context(),
            source,
        })?;
    if !answer.status.is_success() {
        return Err(Error::Status {
            context: context(),
            status: answer.status.as_u16(),
        });
    }
    let frame =
        Frame::decode(answer.body).map_err(|error| Error::invalid_response(context(), error))?;
    info!("event=catalog_pulled from={ip} after={revision}");
    link.handle(frame, Moment::now());
    Ok(())
}
