//! Calls to other VMs over tonic, one channel for each VM, opened on first use.

use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::Mutex;

use tonic::transport::{Channel, Endpoint};
use tonic::{Request, Response, Status};

use super::proof;
use crate::membership;
use crate::message::peer_client::PeerClient;
use crate::message::{
    Records, RecordsAnswer, ReleaseAnswer, ReleaseOfferAnswer, ReleaseQuery, Reservation,
    ReservationAnswer,
};
use crate::prelude::*;
use crate::wire::frame::Key;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Time allowed for a reservation; a request waits for it.
const RESERVE_TIMEOUT: Duration = Duration::from_millis(500);

/// Time allowed for other calls.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Channels to other VMs.
#[derive(Debug)]
pub struct Links {
    members: Arc<membership::Table>,
    key: Key,
    /// Source of calls, this VM's own peer IP.
    local_ip: IpAddr,
    channels: Mutex<HashMap<SocketAddr, Channel>>,
}

impl Links {
    /// Returns links with no channel open yet.
    pub fn new(members: Arc<membership::Table>, key: Key, local_ip: IpAddr) -> Self {
        Self {
            members,
            key,
            local_ip,
            channels: Mutex::default(),
        }
    }

    /// Records a non-idempotent exchange at a replica.
    ///
    /// # Errors
    ///
    /// [`Error::Peer`]; the replica may have recorded it.
    pub async fn reserve(&self, vm: id::Vm, reservation: Reservation) -> Result<ReservationAnswer> {
        let mut client = self.client(vm)?;
        finish(
            client
                .reserve(self.request(reservation, RESERVE_TIMEOUT))
                .await,
        )
    }

    /// Stores soft copies at a replica.
    ///
    /// # Errors
    ///
    /// [`Error::Peer`]; sending again is idempotent.
    pub async fn replicate(&self, vm: id::Vm, records: Records) -> Result<RecordsAnswer> {
        let mut client = self.client(vm)?;
        finish(client.replicate(self.request(records, CALL_TIMEOUT)).await)
    }

    /// Moves records to their new owner.
    ///
    /// # Errors
    ///
    /// [`Error::Peer`]; the new owner may serve them already.
    pub async fn hand_over(&self, vm: id::Vm, records: Records) -> Result<RecordsAnswer> {
        let mut client = self.client(vm)?;
        finish(client.handover(self.request(records, CALL_TIMEOUT)).await)
    }

    /// Asks for releases.
    ///
    /// # Errors
    ///
    /// [`Error::Peer`]; ask another VM.
    pub async fn releases(&self, vm: id::Vm, query: ReleaseQuery) -> Result<ReleaseAnswer> {
        let mut client = self.client(vm)?;
        finish(client.releases(self.request(query, CALL_TIMEOUT)).await)
    }

    /// Asks for releases at an address, before this VM has a list.
    ///
    /// # Errors
    ///
    /// [`Error::Peer`]; ask another VM.
    pub async fn releases_at(
        &self,
        address: SocketAddr,
        query: ReleaseQuery,
    ) -> Result<ReleaseAnswer> {
        let mut client = PeerClient::new(self.channel(address)?);
        finish(client.releases(self.request(query, CALL_TIMEOUT)).await)
    }

    /// Offers releases.
    ///
    /// # Errors
    ///
    /// [`Error::Peer`]; the VM will ask when it sees the newer number in a probe.
    pub async fn offer(&self, vm: id::Vm, offer: ReleaseAnswer) -> Result<ReleaseOfferAnswer> {
        let mut client = self.client(vm)?;
        finish(client.offer(self.request(offer, CALL_TIMEOUT)).await)
    }

    fn client(&self, vm: id::Vm) -> Result<PeerClient<Channel>> {
        let view = self.members.view();
        let member = view.members.get(&vm);
        let address = member
            .ok_or_else(|| Error::peer(format!("{vm} is not listed")))?
            .address;
        self.channel(address).map(PeerClient::new)
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

    fn request<T>(&self, message: T, allowed: Duration) -> Request<T> {
        let mut request = Request::new(message);
        request.set_timeout(allowed);
        proof::attach(&self.key, self.members.view().local_vm, &mut request);
        request
    }
}

fn finish<T>(result: std::result::Result<Response<T>, Status>) -> Result<T> {
    result.map(Response::into_inner).map_err(Error::peer)
}
