//! The links of this VM to endpoints.

use std::collections::HashMap;
use std::sync::Mutex;

use spdlog::warn;
use tokio::task::JoinHandle;

use super::Link;
use super::keepalive;
use crate::prelude::*;
use crate::release::Service;

/// Links by endpoint, opened on first use.
#[derive(Debug, Default)]
pub struct Links {
    by_endpoint: Mutex<HashMap<id::Endpoint, LinkEntry>>,
}

#[derive(Debug)]
struct LinkEntry {
    link: Arc<Link>,
    tasks: [JoinHandle<()>; 2],
}

impl Drop for LinkEntry {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

impl Links {
    /// Returns the link to an endpoint of a service, opening it on first use. Returns `None` if
    /// no socket can be opened or the service has no such endpoint, so that no link is opened
    /// to an endpoint of another service.
    pub fn get_or_open(
        &self,
        node: &Arc<Node>,
        service: &Service,
        endpoint: id::Endpoint,
    ) -> Option<Arc<Link>> {
        let mut links = self.by_endpoint.lock().unwrap();
        if let Some(entry) = links.get(&endpoint) {
            return Some(entry.link.clone());
        }
        let address = service.endpoint(endpoint)?.address;
        let link = self.open_link(node, endpoint, address)?;
        let tasks = [
            tokio::spawn(link.clone().run(node.clone())),
            tokio::spawn(keepalive::run(node.clone(), service.id, link.clone())),
        ];
        let entry = LinkEntry {
            link: link.clone(),
            tasks,
        };
        links.insert(endpoint, entry);
        Some(link)
    }

    /// Closes a link and aborts its tasks. The next use opens another link from a fresh port.
    pub fn close(&self, endpoint: id::Endpoint) {
        self.by_endpoint.lock().unwrap().remove(&endpoint);
    }

    /// Returns the endpoints that have an open link.
    pub fn endpoints(&self) -> Vec<id::Endpoint> {
        self.by_endpoint.lock().unwrap().keys().copied().collect()
    }

    fn open_link(
        &self,
        node: &Node,
        endpoint: id::Endpoint,
        address: SocketAddr,
    ) -> Option<Arc<Link>> {
        match Link::open(node.settings.peer_address.ip(), endpoint, address) {
            Ok(link) => Some(Arc::new(link)),
            Err(error) => {
                warn!("event=link_open_failed endpoint={address} error=\"{error}\"");
                None
            }
        }
    }
}
