//! Guards against requests and responses of another version that a replica cannot read: it could
//! neither join its group nor find the leader during a rolling upgrade.

#![allow(clippy::unwrap_used, missing_docs)]

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use yuccatack_queue_client::generated::queue_control::Envelope;
use yuccatack_queue_client::protocol::{LeaveProgress, Request, Response};
use yuccatack_queues::{CallerLimits, Configuration};

/// Requests of replicas before a stopping replica could announce that.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
enum EarlierRequest {
    Join { replica_id: u64, address: SocketAddr },
    Ping,
}

#[derive(Debug, PartialEq, Serialize, Deserialize)]
enum EarlierResponse {
    Joined,
    Pong,
}

fn address() -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 7000))
}

fn read<Earlier>(message: &Earlier) -> Envelope
where
    Earlier: Serialize,
{
    Envelope { body: rmp_serde::to_vec_named(message).unwrap().into() }
}

#[test]
fn earlier_requests_read() {
    let join = read(&EarlierRequest::Join { replica_id: 4, address: address() });
    let expected = Request::Join { replica_id: 4, address: address() };
    assert_eq!(Request::try_from(join).unwrap(), expected);
    assert_eq!(Request::try_from(read(&EarlierRequest::Ping)).unwrap(), Request::Ping);
    assert_eq!(Response::try_from(read(&EarlierResponse::Joined)).unwrap(), Response::Joined);
    assert_eq!(Response::try_from(read(&EarlierResponse::Pong)).unwrap(), Response::Pong);
}

#[test]
fn earlier_replicas_read() {
    let join = Envelope::try_from(&Request::Join { replica_id: 4, address: address() }).unwrap();
    let read: EarlierRequest = rmp_serde::from_slice(&join.body).unwrap();
    assert_eq!(read, EarlierRequest::Join { replica_id: 4, address: address() });
    // A leader of an earlier version refuses the announcement before it handles it.
    let leave = Envelope::try_from(&Request::Leave { replica_id: 4 }).unwrap();
    assert!(rmp_serde::from_slice::<EarlierRequest>(&leave.body).is_err());
}

#[test]
fn leave_read() {
    let request = Request::Leave { replica_id: 4 };
    let envelope = Envelope::try_from(&request).unwrap();
    assert_eq!(Request::try_from(envelope).unwrap(), request);
    for progress in [LeaveProgress::Complete, LeaveProgress::Replacing, LeaveProgress::NoSuccessor]
    {
        let response = Response::Leaving(progress);
        let envelope = Envelope::try_from(&response).unwrap();
        assert_eq!(Response::try_from(envelope).unwrap(), response);
    }
}

/// Configuration before it had limits, as it is stored and sent.
#[derive(Serialize)]
struct EarlierConfiguration {
    version: u64,
    queues: Vec<u64>,
    services: Vec<u64>,
    organisations: Vec<u64>,
    document: String,
}

/// Guards against a stored configuration without limits that cannot be read any more, and against
/// an entry that takes a leader of an earlier version for one that answered.
#[test]
fn limits_missing() {
    let earlier = EarlierConfiguration {
        version: 7,
        queues: Vec::new(),
        services: Vec::new(),
        organisations: Vec::new(),
        document: "{}".to_owned(),
    };
    let bytes = rmp_serde::to_vec_named(&earlier).unwrap();
    let configuration: Configuration = rmp_serde::from_slice(&bytes).unwrap();
    assert_eq!(configuration.limits, CallerLimits::default());
    assert_eq!(configuration.version.get(), 7);
    let envelope = Envelope::try_from(&Request::ReadLimits).unwrap();
    assert!(rmp_serde::from_slice::<EarlierRequest>(&envelope.body).is_err());
    let response = Response::Limits(Some(configuration.limits));
    let envelope = Envelope::try_from(&response).unwrap();
    assert_eq!(Response::try_from(envelope).unwrap(), response);
}
