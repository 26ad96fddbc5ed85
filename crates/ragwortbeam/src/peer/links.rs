//! gRPC client for calls to other VMs, with one channel per VM, opened on first use.

use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::Mutex;

use spdlog::info;
use tonic::transport::{Channel, Endpoint};
use tonic::{Code, Request, Response, Status};

use super::proof;
use crate::membership;
use crate::message::peer_client::PeerClient;
use crate::message::{
    Records, RecordsAnswer, ReleaseAnswer, ReleaseOfferAnswer, ReleaseQuery, Reservation,
    ReservationAnswer,
};
use crate::prelude::*;
use crate::wire::frame::Key;

/// Time allowed for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Time allowed for a reservation, short because a request waits for it.
const RESERVE_TIMEOUT: Duration = Duration::from_millis(500);

/// Time allowed for any other call.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// gRPC channels to other VMs.
#[derive(Debug)]
pub struct Links {
    members: Arc<membership::Table>,
    key: Key,
    /// Source IP of calls, which is this VM's own peer IP.
    local_ip: IpAddr,
    channels: Mutex<HashMap<SocketAddr, Channel>>,
}

impl Links {
    /// Returns links without an open channel.
    pub fn new(members: Arc<membership::Table>, key: Key, local_ip: IpAddr) -> Self {
        Self {
            members,
            key,
            local_ip,
            channels: Mutex::default(),
        }
    }

    /// Reserves a non-idempotent exchange at another VM, which records it unless it is known there.
    ///
    /// # Errors
    ///
    /// [`Error::Peer`] if the call fails; the VM may have recorded the exchange nevertheless.
    pub async fn reserve(&self, vm: id::Vm, reservation: Reservation) -> Result<ReservationAnswer> {
        let (address, mut client) = self.client(vm)?;
        let request = self.request(reservation, RESERVE_TIMEOUT);
        self.finish(address, client.reserve(request).await)
    }

    /// Stores copies of flow records at a replica.
    ///
    /// # Errors
    ///
    /// [`Error::Peer`] if the call fails; it may be repeated, since it is idempotent.
    pub async fn replicate(&self, vm: id::Vm, records: Records) -> Result<RecordsAnswer> {
        let (address, mut client) = self.client(vm)?;
        let request = self.request(records, CALL_TIMEOUT);
        self.finish(address, client.replicate(request).await)
    }

    /// Moves flow records to their new owner.
    ///
    /// # Errors
    ///
    /// [`Error::Peer`] if the call fails; the new owner may serve the flows already.
    pub async fn hand_over(&self, vm: id::Vm, records: Records) -> Result<RecordsAnswer> {
        let (address, mut client) = self.client(vm)?;
        let request = self.request(records, CALL_TIMEOUT);
        self.finish(address, client.handover(request).await)
    }

    /// Requests the releases and the VM list that this VM lacks from another VM.
    ///
    /// # Errors
    ///
    /// [`Error::Peer`] if the call fails; another VM may be tried.
    pub async fn releases(&self, vm: id::Vm, query: ReleaseQuery) -> Result<ReleaseAnswer> {
        let (address, mut client) = self.client(vm)?;
        let request = self.request(query, CALL_TIMEOUT);
        self.finish(address, client.releases(request).await)
    }

    /// Requests releases and the VM list from the VM at an address, for use before the VM list is
    /// known.
    ///
    /// # Errors
    ///
    /// [`Error::Peer`] if the call fails; another VM may be tried.
    pub async fn releases_at(
        &self,
        address: SocketAddr,
        query: ReleaseQuery,
    ) -> Result<ReleaseAnswer> {
        let mut client = PeerClient::new(self.channel(address)?);
        let request = self.request(query, CALL_TIMEOUT);
        self.finish(address, client.releases(request).await)
    }

    /// Offers releases to a VM.
    ///
    /// # Errors
    ///
    /// [`Error::Peer`] if the call fails; the VM will request the releases when it sees the newer
    /// number in a probe.
    pub async fn offer(&self, vm: id::Vm, offer: ReleaseAnswer) -> Result<ReleaseOfferAnswer> {
        let (address, mut client) = self.client(vm)?;
        let request = self.request(offer, CALL_TIMEOUT);
        self.finish(address, client.offer(request).await)
    }

    fn client(&self, vm: id::Vm) -> Result<(SocketAddr, PeerClient<Channel>)> {
        let view = self.members.view();
        let member = view.members.get(&vm);
        let address = member
            .ok_or_else(|| Error::peer(format!("{vm} is not in the VM list")))?
            .address;
        Ok((address, PeerClient::new(self.channel(address)?)))
    }

    fn channel(&self, address: SocketAddr) -> Result<Channel> {
        let mut channels = self.channels.lock().unwrap();
        if let Some(channel) = channels.get(&address) {
            return Ok(channel.clone());
        }
        let channel = Endpoint::from_shared(format!("http://{address}"))
            .map_err(Error::peer)?
            .connect_timeout(CONNECT_TIMEOUT)
            .tcp_nodelay(true)
            .local_address(Some(self.local_ip))
            .connect_lazy();
        channels.insert(address, channel.clone());
        Ok(channel)
    }

    /// Returns the message of a call's response. After a call without a response the channel is
    /// dropped, so that the next call opens a connection: this one may have gone silent.
    fn finish<T>(
        &self,
        address: SocketAddr,
        result: std::result::Result<Response<T>, Status>,
    ) -> Result<T> {
        if let Err(status) = &result
            && matches!(status.code(), Code::Cancelled | Code::DeadlineExceeded)
            && self.channels.lock().unwrap().remove(&address).is_some()
        {
            info!("event=peer_channel_dropped to={address} error=\"{status}\"");
        }
        result.map(Response::into_inner).map_err(Error::peer)
    }

    fn request<T>(&self, message: T, timeout: Duration) -> Request<T> {
        let mut request = Request::new(message);
        request.set_timeout(timeout);
        proof::attach(&self.key, self.members.view().local_vm, &mut request);
        request
    }
}
