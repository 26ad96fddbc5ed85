//! Tests of the HTTP client on connections that break or stop answering, and of the limit on
//! log lines.

use std::time::Duration;

use ragwortbeam_base::http::{Client, Failure};
use ragwortbeam_base::logging::RateLimiter;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
const TIMEOUT: Duration = Duration::from_millis(300);

/// Accepts one connection per script and answers each request with the script's next answer.
///
/// After the last answer the connection stays open, but further requests get none. An empty
/// answer closes the connection.
async fn serve(listener: TcpListener, scripts: Vec<Vec<&'static [u8]>>) {
    for script in scripts {
        let (mut stream, _) = listener.accept().await.unwrap();
        tokio::spawn(async move {
            let mut request = [0; 1024];
            for answer in script {
                if stream.read(&mut request).await.unwrap() == 0 {
                    return;
                }
                if answer.is_empty() {
                    return;
                }
                stream.write_all(answer).await.unwrap();
            }
            tokio::time::sleep(Duration::from_secs(60)).await;
        });
    }
}

async fn client(scripts: Vec<Vec<&'static [u8]>>) -> Client {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(serve(listener, scripts));
    Client::new(address)
}

#[tokio::test]
async fn a_connection_is_reused_until_it_fails() {
    let client = client(vec![vec![ANSWER, ANSWER], vec![ANSWER]]).await;
    for _ in 0..2 {
        assert_eq!(client.get("/", TIMEOUT).await.unwrap().body, "ok");
    }
    let error = client.get("/", TIMEOUT).await.unwrap_err();
    assert!(matches!(error, Failure::Timeout { .. }), "{error}");
    assert_eq!(client.get("/", TIMEOUT).await.unwrap().body, "ok");
}

/// Guards against a request that waits for its whole time limit on a connection that went silent
/// while it was idle.
#[tokio::test]
async fn an_idle_connection_is_replaced() {
    let client = client(vec![vec![ANSWER], vec![ANSWER]]).await;
    assert_eq!(client.get("/", TIMEOUT).await.unwrap().body, "ok");
    tokio::time::sleep(Duration::from_millis(2100)).await;
    assert_eq!(client.get("/", TIMEOUT).await.unwrap().body, "ok");
}

#[tokio::test]
async fn a_truncated_or_malformed_answer_is_an_error() {
    let truncated: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nok";
    let client = client(vec![
        vec![truncated, b""],
        vec![b"no answer at all\r\n\r\n"],
        vec![ANSWER],
    ])
    .await;
    let error = client.get("/", TIMEOUT).await.unwrap_err();
    assert!(
        matches!(error, Failure::Timeout { .. } | Failure::Body(_)),
        "{error}"
    );
    let error = client.get("/", TIMEOUT).await.unwrap_err();
    assert!(matches!(error, Failure::Connection(_)), "{error}");
    assert!(client.get("/", TIMEOUT).await.is_ok());
}

#[test]
fn a_rate_limiter_reports_the_number_of_suppressed_lines() {
    let limiter = RateLimiter::new(2);
    let acquired: Vec<Option<u64>> = (0..4).map(|_| limiter.try_acquire()).collect();
    // The second may change once between two lines, which allows two more.
    assert!(acquired.iter().filter(|line| line.is_some()).count() >= 2);
    std::thread::sleep(Duration::from_millis(1100));
    let suppressed = acquired.iter().filter(|line| line.is_none()).count() as u64;
    assert_eq!(limiter.try_acquire(), Some(suppressed));
}
