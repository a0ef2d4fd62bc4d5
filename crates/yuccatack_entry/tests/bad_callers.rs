//! Callers that send malformed, truncated, oversized, slow or pipelined requests.

#![allow(clippy::unwrap_used, missing_docs)]

mod common;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use common::{IDEMPOTENT, System};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use yuccatack_stand_ins::MinionBehaviour;

/// Five times the timeout for receiving a request in these tests. A request that is still open
/// then shows that the timeout is not enforced.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

struct BadCase {
    name: &'static str,
    request: String,
    /// Expected start of the response.
    answer: &'static str,
}

fn head(more: &str) -> String {
    format!(
        "POST /v1/requests/reviews HTTP/1.1\r\nhost: x\r\nyuccatack-organisation: lender\r\n\
         yuccatack-idempotent: true\r\n{more}\r\n"
    )
}

fn cases() -> Vec<BadCase> {
    let case = |name, request, answer| BadCase { name, request, answer };
    vec![
        case("no HTTP", "hello\r\n\r\n".to_owned(), "HTTP/1.1 400"),
        case("large header", head(&format!("x: {}\r\n", "y".repeat(100_000))), "HTTP/1.1 431"),
        case("many headers", head(&"x: y\r\n".repeat(200)), "HTTP/1.1 431"),
        case("two lengths", head("content-length: 1\r\ncontent-length: 2\r\n"), "HTTP/1.1 400"),
        case("bad length", head("content-length: many\r\n"), "HTTP/1.1 400"),
        case("announced too large", head("content-length: 99999999\r\n"), "HTTP/1.1 413"),
        case(
            "chunks too large",
            head("transfer-encoding: chunked\r\n")
                + &format!("200000\r\n{}\r\n0\r\n\r\n", "z".repeat(0x20_0000)),
            "HTTP/1.1 413",
        ),
        case("bad chunk", head("transfer-encoding: chunked\r\n") + "nonsense\r\n", "HTTP/1.1 400"),
        case("body missing", head("content-length: 10\r\n") + "12345", "HTTP/1.1 400"),
        case("head missing", "POST /v1/requ".to_owned(), "HTTP/1.1 400"),
    ]
}

/// Reads everything that the entry sends until it closes the connection.
async fn read_all(stream: &mut TcpStream) -> String {
    let mut answer = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        match stream.read(&mut buffer).await {
            // The entry resets the connection if it responds before it has read the whole request.
            Ok(0) | Err(_) => return String::from_utf8_lossy(&answer).into_owned(),
            Ok(count) => answer.extend_from_slice(&buffer[..count]),
        }
    }
}

async fn send_raw(address: SocketAddr, request: &str) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    // The write fails if the entry responds and closes before it has read everything.
    let _ = stream.write_all(request.as_bytes()).await;
    read_all(&mut stream).await
}

/// Guards against a malformed request that hangs, gets several responses or affects other requests.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn single_error_response() {
    let system = System::start(&[MinionBehaviour::default()]).await;
    for case in cases() {
        let sent = send_raw(system.entry.address, &case.request);
        let answer = tokio::time::timeout(RESPONSE_TIMEOUT, sent).await.expect(case.name);
        assert!(answer.starts_with(case.answer), "{}: {answer}", case.name);
        assert!(answer.matches("HTTP/1.1 ").count() <= 1, "{}: {answer}", case.name);
        let other = system.post(IDEMPOTENT, case.name).await;
        assert_eq!(other.body, case.name.as_bytes(), "{other:?}");
    }
    assert_eq!(system.run_count().await, cases().len());
}

/// Guards against a caller that keeps a connection open by sending a byte every 250 ms.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn slow_callers() {
    let system = System::start(&[MinionBehaviour::default()]).await;
    for (request, answer) in [
        ("POST /v1/requests/reviews HTTP/1.1\r\n".to_owned(), "HTTP/1.1 400"),
        (head("content-length: 60\r\n"), "HTTP/1.1 400"),
    ] {
        let mut stream = TcpStream::connect(system.entry.address).await.unwrap();
        stream.write_all(request.as_bytes()).await.unwrap();
        let started = Instant::now();
        let (mut reader, mut writer) = stream.split();
        let slow_writes = async {
            loop {
                tokio::time::sleep(Duration::from_millis(250)).await;
                if writer.write_all(b"x").await.is_err() {
                    std::future::pending::<()>().await;
                }
            }
        };
        let mut received = Vec::new();
        tokio::select! {
            _ = reader.read_to_end(&mut received) => {}
            () = slow_writes => {}
            () = tokio::time::sleep(RESPONSE_TIMEOUT) => panic!("{request}: still open"),
        }
        let received = String::from_utf8_lossy(&received);
        assert!(received.starts_with(answer), "{received}");
        assert!(started.elapsed() < RESPONSE_TIMEOUT);
    }
}

/// Guards against bodies that together exceed the body memory, and against memory that is not
/// freed: 40 callers send almost the whole of a body of the maximum size and stop.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn body_memory() {
    let system = System::start(&[MinionBehaviour::default()]).await;
    let part = "z".repeat(1024 * 1024 - 1024);
    let request = head("content-length: 1048576\r\n") + &part;
    let mut held = Vec::new();
    for _ in 0..40 {
        let mut stream = TcpStream::connect(system.entry.address).await.unwrap();
        stream.write_all(request.as_bytes()).await.unwrap();
        held.push(stream);
    }
    let mut refused = 0;
    for stream in &mut held {
        let answer = read_all(stream).await;
        refused += usize::from(answer.contains("yuccatack-reason: queue_full"));
    }
    // 32 bodies of the maximum size fit, so at least 8 of the 40 are refused; the others time out.
    assert!((8..40).contains(&refused), "{refused}");
    let after = system.post(IDEMPOTENT, "after").await;
    assert_eq!(after.status, 200, "{after:?}");
}

/// Guards against pipelined requests whose responses are reordered or lost.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn pipelined_requests() {
    let system = System::start(&[MinionBehaviour::default()]).await;
    let first = head("content-length: 3\r\nstand-in-delay-ms: 50\r\n") + "one";
    let second = head("content-length: 3\r\nconnection: close\r\n") + "two";
    let answer = send_raw(system.entry.address, &(first + &second)).await;
    let (one, two) = (answer.find("one"), answer.find("two"));
    assert!(one.is_some() && two.is_some() && one < two, "{answer}");
    assert_eq!(answer.matches("HTTP/1.1 200").count(), 2, "{answer}");
}
