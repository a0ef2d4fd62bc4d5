//! Connections between entry and agent that stop responding while new connections work.

#![allow(clippy::unwrap_used, missing_docs)]

mod common;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use common::{ManualView, RunningAgent, RunningEntry, post, spawn_claim_server, unix_time};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use yuccatack_requests::claims::claim_channel;
use yuccatack_stand_ins::{MinionBehaviour, MinionStandIn};

/// Forwards connections, numbered from 1, to `to`. Stops forwarding the responses on connections
/// whose number is at most `stalled`.
async fn forward(listener: TcpListener, to: SocketAddr, stalled: watch::Receiver<usize>) {
    let mut number = 0;
    while let Ok((inward, _)) = listener.accept().await {
        number += 1;
        let outward = TcpStream::connect(to).await.unwrap();
        tokio::spawn(forward_one(number, inward, outward, stalled.clone()));
    }
}

async fn forward_one(
    number: usize,
    inward: TcpStream,
    outward: TcpStream,
    mut stalled: watch::Receiver<usize>,
) {
    let (mut from_entry, mut to_entry) = inward.into_split();
    let (mut from_agent, mut to_agent) = outward.into_split();
    tokio::spawn(async move { tokio::io::copy(&mut from_entry, &mut to_agent).await });
    let stall = async move {
        let _ = stalled.wait_for(|last| number <= *last).await;
    };
    tokio::select! {
        _ = tokio::io::copy(&mut from_agent, &mut to_entry) => return,
        () = stall => {}
    }
    // The sockets stay open, but the agent's bytes are no longer forwarded.
    std::future::pending::<()>().await;
}

/// Guards against a request that waits until its deadline on a stalled connection, and against a
/// second run of it: the entry must resolve the attempt on a new connection and return the response
/// of the only run.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stalled_connection() {
    let view = ManualView::new();
    let slow = MinionBehaviour { delay: Duration::from_millis(300), ..Default::default() };
    let minion = MinionStandIn::start(slow).await.unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let agent_address = listener.local_addr().unwrap();
    let forwarder = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let advertised_address = forwarder.local_addr().unwrap();
    let (stall, stalled) = watch::channel(0);
    tokio::spawn(forward(forwarder, agent_address, stalled));
    let agent =
        RunningAgent::start_on("minion-0", minion.address(), &view, listener, advertised_address)
            .await;
    let (claims, messages) = claim_channel();
    spawn_claim_server(messages);
    view.wait_for_ready(1).await;
    let entry = RunningEntry::start(&view, claims, |_, _| {}).await;
    let key = format!("{}-review", unix_time().get());
    let headers = [("yuccatack-organisation", "lender"), ("yuccatack-key", &key)];
    let call = tokio::spawn({
        let headers = headers.map(|(name, value)| (name, value.to_owned()));
        async move {
            let headers: Vec<_> =
                headers.iter().map(|(name, value)| (*name, value.as_str())).collect();
            post(entry.address, &headers, "body").await
        }
    });
    tokio::time::sleep(Duration::from_millis(150)).await;
    stall.send_replace(1);
    let started = Instant::now();
    let answer = call.await.unwrap();
    assert_eq!((answer.status, answer.body.as_ref()), (200, b"body".as_ref()), "{answer:?}");
    // The entry resolves an attempt after 1 s without a response; keep-alive pings would detect the
    // stall only after 2 s.
    assert!(started.elapsed() < Duration::from_millis(1_500), "{:?}", started.elapsed());
    assert_eq!(minion.runs().await.len(), 1);
    drop(agent);
}
