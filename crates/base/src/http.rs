//! HTTP/1.1 client that keeps one connection to one server.

use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error, From};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::time::timeout;

/// Largest body that is read, bytes: several of the largest values a store holds.
const MAX_BODY_LEN: usize = 16 << 20;

/// Why a call brought no answer. The call may be repeated on a new connection.
#[derive(Debug)]
#[derive(Display, Error, From)]
pub enum Failure {
    /// No whole answer within the time allowed.
    #[display("no answer within {} ms", _0.as_millis())]
    #[from(skip)]
    Timeout(#[error(not(source))] Duration),
    /// The connection could not be opened.
    #[display("connect: {_0}")]
    Connect(std::io::Error),
    /// The connection broke or carried bytes that are not HTTP.
    #[display("connection: {_0}")]
    Connection(hyper::Error),
    /// The body broke off or was too long.
    #[display("body: {_0}")]
    #[from(skip)]
    Body(#[error(not(source))] String),
    /// The request could not be built from the path.
    #[display("request: {_0}")]
    Request(hyper::http::Error),
}

/// Status and whole body of an answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Status.
    pub status: StatusCode,
    /// Body.
    pub body: Bytes,
}

type Sender = SendRequest<Empty<Bytes>>;

/// Client of one server. Calls are made one after the other on one connection, which is
/// dropped after any failure, since a connection that lost an answer may stay silent.
#[derive(Debug)]
pub struct Client {
    server: String,
    connection: Mutex<Option<Sender>>,
}

impl Client {
    /// Returns a client of `server`, a host and port, that connects when it is first used.
    pub fn new(server: impl ToString) -> Self {
        Self {
            server: server.to_string(),
            connection: Mutex::new(None),
        }
    }

    /// Gets `path`, with a query where it has one, within `limit` in all.
    ///
    /// # Errors
    ///
    /// [`Failure`] when there is no whole answer; any status is an answer.
    pub async fn get(&self, path: &str, limit: Duration) -> Result<Answer, Failure> {
        let mut connection = self.connection.lock().await;
        let kept = connection.take();
        let (answer, sender) = timeout(limit, self.exchange(kept, path))
            .await
            .map_err(|_| Failure::Timeout(limit))??;
        *connection = Some(sender);
        Ok(answer)
    }

    async fn exchange(
        &self,
        kept: Option<Sender>,
        path: &str,
    ) -> Result<(Answer, Sender), Failure> {
        let usable = kept.filter(|sender| !sender.is_closed());
        let mut sender = match usable {
            Some(sender) => sender,
            None => self.connect().await?,
        };
        sender.ready().await?;
        let request = Request::get(path)
            .header(HOST, &self.server)
            .body(Empty::new())?;
        let response = sender.send_request(request).await?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_BODY_LEN)
            .collect()
            .await
            .map_err(|error| Failure::Body(error.to_string()))?
            .to_bytes();
        Ok((Answer { status, body }, sender))
    }

    async fn connect(&self) -> Result<Sender, Failure> {
        let stream = TcpStream::connect(&self.server).await?;
        stream.set_nodelay(true)?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        tokio::spawn(async move {
            // The sender's next use reports why the connection ended.
            let _ = connection.await;
        });
        Ok(sender)
    }
}
