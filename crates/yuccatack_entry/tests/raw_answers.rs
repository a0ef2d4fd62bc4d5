//! Malformed and unsolicited HTTP responses of a minion.

#![allow(clippy::unwrap_used, missing_docs)]

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::{IDEMPOTENT, ManualView, RunningAgent, RunningEntry, post, spawn_claim_server};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use yuccatack_requests::claims::claim_channel;

/// Starts a minion that sends `answer` for each request and then closes the connection if `closes`.
async fn raw_minion(answer: &'static str, closes: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut buffer = [0; 4096];
                while stream.read(&mut buffer).await.is_ok_and(|count| count > 0) {
                    stream.write_all(answer.as_bytes()).await.unwrap();
                    if closes {
                        return;
                    }
                }
            });
        }
    });
    address
}

struct RawCase {
    name: &'static str,
    answer: &'static str,
    closes: bool,
    outcome: &'static str,
}

const CASES: &[RawCase] = &[
    RawCase {
        name: "whole",
        answer: "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole",
        closes: false,
        outcome: "completed",
    },
    RawCase {
        name: "whole in chunks",
        answer: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
        closes: false,
        outcome: "completed",
    },
    RawCase {
        name: "end marked by close only",
        answer: "HTTP/1.1 200 OK\r\n\r\npart",
        closes: true,
        outcome: "unknown",
    },
    RawCase {
        name: "last chunk missing",
        answer: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\npart\r\n",
        closes: true,
        outcome: "unknown",
    },
    RawCase {
        name: "body short",
        answer: "HTTP/1.1 200 OK\r\ncontent-length: 50\r\n\r\npart",
        closes: true,
        outcome: "unknown",
    },
    RawCase { name: "not HTTP", answer: "hello\r\n\r\n", closes: false, outcome: "unknown" },
    RawCase {
        name: "another's attempt",
        answer: "HTTP/1.1 200 OK\r\nyuccatack-attempt: 00\r\ncontent-length: 5\r\n\r\nother",
        closes: false,
        outcome: "unknown",
    },
];

async fn system(minion: SocketAddr) -> (ManualView, RunningAgent, RunningEntry) {
    let view = ManualView::new();
    let agent = RunningAgent::start("minion-0", minion, &view).await;
    let (claims, messages) = claim_channel();
    spawn_claim_server(messages);
    view.wait_for_ready(1).await;
    let entry = RunningEntry::start(&view, claims, |_, _| {}).await;
    (view, agent, entry)
}

/// Guards against a partial response, or one for another attempt, that is passed on as completed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn complete_or_unknown() {
    for case in CASES {
        let (_view, _agent, entry) = system(raw_minion(case.answer, case.closes).await).await;
        let mut headers = IDEMPOTENT.to_vec();
        headers.push(("yuccatack-deadline-ms", "500"));
        let answer = post(entry.address, &headers, "body").await;
        assert_eq!(answer.outcome(), case.outcome, "{}: {answer:?}", case.name);
        if case.outcome == "completed" {
            assert_eq!(answer.body, b"whole".as_ref(), "{}", case.name);
        }
    }
}

/// Guards against an unsolicited second response on a connection that is delivered to the next
/// request.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unsolicited_response() {
    let twice = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nfirst\
                 HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nextra";
    let (_view, _agent, entry) = system(raw_minion(twice, false).await).await;
    for pause_ms in [0, 0, 50, 0, 50] {
        let answer = post(entry.address, IDEMPOTENT, "body").await;
        assert_eq!((answer.status, answer.body.as_ref()), (200, b"first".as_ref()), "{answer:?}");
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    }
}
