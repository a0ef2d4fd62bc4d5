//! Guards against a wrong result of a claim that is sent again after its response was lost.
#![allow(clippy::unwrap_used, missing_docs)]

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tonic::{Request, Response, Status};
use yuccatack_control_client::{ControlClient, ControlClientConfig};
use yuccatack_requests::generated::claims as wire;
use yuccatack_requests::generated::claims::claim_response::Outcome;
use yuccatack_requests::generated::claims::claims_server::{Claims, ClaimsServer};

/// Test double of a leader that has one claim; its first response may be lost.
struct Leader {
    holder: wire::Attempt,
    loses_first_response: bool,
    calls: Arc<AtomicU64>,
}

#[tonic::async_trait]
impl Claims for Leader {
    async fn claim(
        &self,
        _request: Request<wire::ClaimRequest>,
    ) -> Result<Response<wire::ClaimResponse>, Status> {
        let call = self.calls.fetch_add(1, Ordering::Relaxed);
        if call == 0 && self.loses_first_response {
            return Err(Status::unavailable("leadership was lost"));
        }
        let existing = wire::Existing {
            attempt: Some(self.holder.clone()),
            state: wire::ClaimState::Dispatched.into(),
        };
        Ok(Response::new(wire::ClaimResponse { outcome: Some(Outcome::Existing(existing)) }))
    }

    async fn settle(
        &self,
        _request: Request<wire::SettleRequest>,
    ) -> Result<Response<wire::SettleResponse>, Status> {
        Ok(Response::new(wire::SettleResponse { settled: true }))
    }
}

fn attempt(id: u8) -> wire::Attempt {
    wire::Attempt { attempt_id: vec![id; 16].into(), ..wire::Attempt::default() }
}

async fn claim(holder: u8, loses_first_response: bool) -> Outcome {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address: SocketAddr = listener.local_addr().unwrap();
    let calls = Arc::new(AtomicU64::new(0));
    let leader = Leader { holder: attempt(holder), loses_first_response, calls };
    let incoming = tokio_stream::wrappers::TcpListenerStream::new(listener);
    let server = tonic::transport::Server::builder().add_service(ClaimsServer::new(leader));
    tokio::spawn(server.serve_with_incoming(incoming));
    let client = ControlClient::spawn(ControlClientConfig {
        control_addresses: vec![address],
        call_deadline: Duration::from_secs(3),
    });
    let request = wire::ClaimRequest { attempt: Some(attempt(1)), ..wire::ClaimRequest::default() };
    client.claim(request).await.unwrap().outcome.unwrap()
}

/// Guards against a caller that is denied its own claim. The first response is lost, so the resend
/// finds the claim that the first call made.
#[tokio::test]
async fn resent_own_claim_granted() {
    assert!(matches!(claim(1, true).await, Outcome::Granted(_)));
}

/// Guards against two attempts that both assume to hold the claim.
#[tokio::test]
async fn other_claim_not_granted() {
    assert!(matches!(claim(2, true).await, Outcome::Existing(_)));
    // Without a resend, an existing claim of the same attempt was made by another caller.
    assert!(matches!(claim(1, false).await, Outcome::Existing(_)));
}
