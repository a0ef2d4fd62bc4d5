//! Guards against connections that a replica keeps for good after their peer was lost without a reset:
//! each takes a descriptor, until no entry or agent can connect any more.

#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use std::time::Duration;

use support::Deployment;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Beginning of an HTTP/2 connection: preface and empty settings.
const OPENING: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\x00\x00\x00\x04\x00\x00\x00\x00\x00";

/// Longest time for which a replica may keep a silent connection.
const SILENCE_LIMIT: Duration = Duration::from_secs(25);

#[tokio::test(flavor = "multi_thread")]
async fn silent_connection_closed() {
    let deployment = Deployment::start().await;
    let mut stream = TcpStream::connect(deployment.replicas[0].address).await.unwrap();
    stream.write_all(OPENING).await.unwrap();
    let mut received = Vec::new();
    // The peer reads, but answers neither settings nor pings, as one behind a dead path.
    let closed = timeout(SILENCE_LIMIT, stream.read_to_end(&mut received)).await;
    assert!(closed.is_ok(), "the replica keeps the connection of a lost peer");
    assert!(!received.is_empty(), "the replica did not accept the connection");
}
