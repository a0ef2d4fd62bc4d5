//! Messages to the balancer.

use std::time::Instant;

use tokio::sync::oneshot;
use yuccatack_core::prelude::*;
use yuccatack_requests::dispatch::{ChoiceKind, Target};
use yuccatack_requests::prelude::*;
use yuccatack_requests::routing::Feedback;

/// A request for a minion.
#[derive(Debug)]
pub struct ChooseRequest {
    /// Who asks.
    pub organisation: OrganisationName,
    /// How urgent it is.
    pub class: PriorityClass,
    /// The service.
    pub service: ServiceName,
    /// When an answer is of no use any more.
    pub deadline: Instant,
    /// Why a minion is needed.
    pub kind: ChoiceKind,
    /// Nodes that should not be chosen again.
    pub excluded: Vec<NodeName>,
    /// Where the choice goes.
    pub reply: oneshot::Sender<Result<Target, NotRun>>,
}

/// Messages to the balancer.
#[derive(Debug)]
pub enum BalancerMessage {
    /// Count a request against its organisation's limits.
    Admit(OrganisationName, oneshot::Sender<Result<(), NotRun>>),
    /// An admitted request has ended.
    Release(OrganisationName),
    /// Tell which organisations have requests in flight, and how many.
    ListInFlight(oneshot::Sender<Vec<(OrganisationName, u32)>>),
    /// Choose a minion, now or once one is free.
    Choose(ChooseRequest),
    /// An attempt on a chosen minion has ended.
    Finished(Target, Feedback),
}
