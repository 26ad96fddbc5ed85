//! HTTP/1.1 client with one persistent connection to one server.

use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error, From};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{HOST, HeaderMap};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::time::timeout;

use crate::clock::Moment;

/// Maximum length of a body, bytes; enough for several of the largest values that a store holds.
const MAX_BODY_LEN: usize = 16 << 20;

/// Idle time after which a connection is replaced rather than used again. It may have gone silent
/// without a reset, and then a request on it only ends at its time limit.
const MAX_IDLE_TIME: Duration = Duration::from_secs(2);

/// Error of a request without a complete answer. The request may be repeated on a new connection.
#[derive(Debug)]
#[derive(Display, Error, From)]
pub enum Failure {
    /// There was no complete answer within the time allowed.
    #[display(
        "no answer within {} ms on a connection that was idle for {} ms",
        time_limit.as_millis(),
        idle.as_millis()
    )]
    #[from(skip)]
    Timeout {
        /// Time allowed for the request.
        time_limit: Duration,
        /// Time since the last answer on the connection; zero for a new one.
        idle: Duration,
    },
    /// The connection could not be opened.
    #[display("connect: {_0}")]
    Connect(std::io::Error),
    /// The connection failed or carried bytes that are not HTTP.
    #[display("connection: {_0}")]
    Connection(hyper::Error),
    /// The body was truncated or too long.
    #[display("body: {_0}")]
    #[from(skip)]
    Body(#[error(not(source))] String),
    /// The request could not be built from the path.
    #[display("request: {_0}")]
    Request(hyper::http::Error),
}

/// Complete answer of a server.
#[derive(Clone, Debug)]
pub struct Answer {
    /// HTTP status, of any class.
    pub status: StatusCode,
    /// Headers as received.
    pub headers: HeaderMap,
    /// Complete body, at most 16 MiB.
    pub body: Bytes,
}

type Sender = SendRequest<Empty<Bytes>>;

/// Open connection without an outstanding request.
#[derive(Debug)]
struct Connection {
    sender: Sender,
    answered_at: Moment,
}

impl Connection {
    /// Returns the time since the last answer.
    fn idle(&self) -> Duration {
        Moment::now().since(self.answered_at)
    }
}

/// Client of one server.
///
/// Requests are sent one after the other on one connection. It is closed after any failure, since
/// a connection on which an answer was lost may never deliver another one, and replaced when it has
/// been idle for two seconds.
#[derive(Debug)]
pub struct Client {
    server: String,
    connection: Mutex<Option<Connection>>,
}

impl Client {
    /// Returns a client of `server`, a host and port. It connects on the first request.
    pub fn new(server: impl ToString) -> Self {
        Self {
            server: server.to_string(),
            connection: Mutex::new(None),
        }
    }

    /// Requests `path`, which may include a query. The total time, including the connection, is
    /// limited to `time_limit`.
    ///
    /// # Errors
    ///
    /// [`Failure`] if there is no complete answer. An answer with an error status is not a failure.
    pub async fn get(&self, path: &str, time_limit: Duration) -> Result<Answer, Failure> {
        let mut connection = self.connection.lock().await;
        let previous = connection.take().filter(|it| it.idle() <= MAX_IDLE_TIME);
        let idle = previous.as_ref().map_or(Duration::ZERO, Connection::idle);
        let sender = previous.map(|connection| connection.sender);
        let (answer, sender) = timeout(time_limit, self.exchange(sender, path))
            .await
            .map_err(|_| Failure::Timeout { time_limit, idle })??;
        *connection = Some(Connection {
            sender,
            answered_at: Moment::now(),
        });
        Ok(answer)
    }

    async fn exchange(
        &self,
        previous_sender: Option<Sender>,
        path: &str,
    ) -> Result<(Answer, Sender), Failure> {
        let open_sender = previous_sender.filter(|sender| !sender.is_closed());
        let mut sender = match open_sender {
            Some(sender) => sender,
            None => self.connect().await?,
        };
        sender.ready().await?;
        let request = Request::get(path)
            .header(HOST, &self.server)
            .body(Empty::new())?;
        let response = sender.send_request(request).await?;
        let status = response.status();
        let headers = response.headers().clone();
        let body = Limited::new(response.into_body(), MAX_BODY_LEN)
            .collect()
            .await
            .map_err(|error| Failure::Body(error.to_string()))?
            .to_bytes();
        let answer = Answer {
            status,
            headers,
            body,
        };
        Ok((answer, sender))
    }

    async fn connect(&self) -> Result<Sender, Failure> {
        let stream = TcpStream::connect(&self.server).await?;
        stream.set_nodelay(true)?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        tokio::spawn(async move {
            // An error of the connection is reported by the next use of the sender.
            let _ = connection.await;
        });
        Ok(sender)
    }
}
