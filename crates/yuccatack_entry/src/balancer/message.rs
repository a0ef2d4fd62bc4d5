//! Messages that the balancer task receives.

use std::time::Instant;

use tokio::sync::oneshot;
use yuccatack_core::prelude::*;
use yuccatack_requests::dispatch::{ChoiceKind, Target};
use yuccatack_requests::prelude::*;
use yuccatack_requests::routing::Feedback;

/// A request for a minion that can run an attempt.
#[derive(Debug)]
pub struct ChooseRequest {
    /// Organisation of the caller.
    pub organisation: OrganisationName,
    /// Priority class, which orders waiting requests.
    pub class: PriorityClass,
    /// Service whose minions are candidates.
    pub service: ServiceName,
    /// Time after which the caller no longer waits for a response.
    pub deadline: Instant,
    /// Kind of attempt; retries and hedges draw on the retry budget.
    pub kind: ChoiceKind,
    /// Nodes that should not be chosen again for this request.
    pub excluded: Vec<NodeName>,
    /// Receives the chosen minion or the reason for the refusal.
    pub reply: oneshot::Sender<Result<Target, NotRun>>,
}

/// A message to the balancer.
#[derive(Debug)]
pub enum BalancerMessage {
    /// Counts a request against the limits of its organisation.
    Admit(OrganisationName, oneshot::Sender<Result<(), NotRun>>),
    /// Ends an admitted request.
    Release(OrganisationName),
    /// Returns the number of requests in flight of each organisation that has any.
    ListInFlight(oneshot::Sender<Vec<(OrganisationName, u32)>>),
    /// Chooses a minion, or queues the request until a slot is free.
    Choose(ChooseRequest),
    /// Releases a chosen minion and records how its attempt ended.
    RecordFeedback(Target, Feedback),
}
