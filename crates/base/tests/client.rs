//! The HTTP client on connections that break or go silent.

use std::time::Duration;

use ragwortbeam_base::http::{Client, Failure};
use ragwortbeam_base::logging::Budget;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
const LIMIT: Duration = Duration::from_millis(300);

/// Serves one connection for each script: each request gets the next of its answers, and
/// the connection stays open without an answer after the last one.
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
async fn a_connection_is_kept_until_it_fails() {
    let client = client(vec![vec![ANSWER, ANSWER], vec![ANSWER]]).await;
    for _ in 0..2 {
        assert_eq!(client.get("/", LIMIT).await.unwrap().body, "ok");
    }
    let silent = client.get("/", LIMIT).await.unwrap_err();
    assert!(matches!(silent, Failure::Timeout(_)), "{silent}");
    assert_eq!(client.get("/", LIMIT).await.unwrap().body, "ok");
}

#[tokio::test]
async fn an_answer_that_breaks_off_is_none() {
    let half: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nok";
    let client = client(vec![
        vec![half, b""],
        vec![b"no answer at all\r\n\r\n"],
        vec![ANSWER],
    ])
    .await;
    let error = client.get("/", LIMIT).await.unwrap_err();
    assert!(
        matches!(error, Failure::Timeout(_) | Failure::Body(_)),
        "{error}"
    );
    let error = client.get("/", LIMIT).await.unwrap_err();
    assert!(matches!(error, Failure::Connection(_)), "{error}");
    assert!(client.get("/", LIMIT).await.is_ok());
}

#[test]
fn a_budget_of_lines_says_how_many_it_left_out() {
    let budget = Budget::new(2);
    let taken: Vec<Option<u64>> = (0..4).map(|_| budget.take()).collect();
    // The second may change between two lines, once.
    assert!(taken.iter().filter(|line| line.is_some()).count() >= 2);
    std::thread::sleep(Duration::from_millis(1100));
    let left_out = taken.iter().filter(|line| line.is_none()).count() as u64;
    assert_eq!(budget.take(), Some(left_out));
}
