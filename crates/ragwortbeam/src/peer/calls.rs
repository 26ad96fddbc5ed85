//! gRPC server for the calls of other VMs.

use tokio::net::TcpListener;
use tonic::transport::Server;
use tonic::transport::server::TcpIncoming;
use tonic::{Request, Response, Status};

use super::{proof, releases};
use crate::flow;
use crate::message::peer_server::{Peer, PeerServer};
use crate::message::{
    Records, RecordsAnswer, ReleaseAnswer, ReleaseOfferAnswer, ReleaseQuery, Reservation,
    ReservationAnswer,
};
use crate::prelude::*;
use crate::wire::frame::Key;

/// Serves calls on a bound listener until the process ends.
///
/// # Errors
///
/// [`Error::Peer`] if the server stops.
pub async fn serve(node: Arc<Node>, listener: TcpListener, key: Key) -> Result<()> {
    let counting_node = node.clone();
    let interceptor = move |request: Request<()>| match proof::check(&key, request.metadata()) {
        Ok(()) => Ok(request),
        Err(reason) => {
            counting_node.refusals.add(reason);
            Err(proof::unauthenticated_status())
        }
    };
    Server::builder()
        .add_service(PeerServer::with_interceptor(Calls { node }, interceptor))
        .serve_with_incoming(TcpIncoming::from(listener).with_nodelay(Some(true)))
        .await
        .map_err(Error::peer)
}

struct Calls {
    node: Arc<Node>,
}

type CallResult<T> = std::result::Result<Response<T>, Status>;

#[tonic::async_trait]
impl Peer for Calls {
    async fn reserve(&self, request: Request<Reservation>) -> CallResult<ReservationAnswer> {
        let reservation = request.into_inner();
        flow::replication::record_reservation(&self.node, &reservation)
            .map(Response::new)
            .ok_or_else(|| Status::invalid_argument("the reservation lacks a key or a holder"))
    }

    async fn replicate(&self, request: Request<Records>) -> CallResult<RecordsAnswer> {
        let taken = flow::replication::store(&self.node, request.into_inner());
        Ok(Response::new(RecordsAnswer { taken }))
    }

    async fn handover(&self, request: Request<Records>) -> CallResult<RecordsAnswer> {
        let taken = flow::handover::accept_handover(&self.node, request.into_inner()).await;
        Ok(Response::new(RecordsAnswer { taken }))
    }

    async fn releases(&self, request: Request<ReleaseQuery>) -> CallResult<ReleaseAnswer> {
        let query = request.into_inner();
        let mut answer = self
            .node
            .releases
            .changes_since(query.after)
            .unwrap_or_default();
        answer.vms = self.node.members.vm_list_since(query.vm_list);
        Ok(Response::new(answer))
    }

    async fn offer(&self, request: Request<ReleaseAnswer>) -> CallResult<ReleaseOfferAnswer> {
        releases::apply_answer(&self.node, request.into_inner()).await;
        let number = self.node.releases.number();
        Ok(Response::new(ReleaseOfferAnswer { number }))
    }
}
