//! Updates the agent's metrics and readiness from its view and the status of its minion.

use std::time::{Duration, Instant};

use tokio::sync::watch;
use yuccatack_lifecycle::{Shutdown, ShutdownPhase};
use yuccatack_telemetry::Telemetry;
use yuccatack_view::{MinionState, MinionStatus, ViewHandle};

const OBSERVE_INTERVAL: Duration = Duration::from_secs(1);

/// Updates metrics and readiness every second until the task is aborted.
pub async fn observe_agent(
    view: ViewHandle,
    reports: watch::Receiver<Option<MinionStatus>>,
    telemetry: Telemetry,
    shutdown: Shutdown,
) {
    let mut interval = tokio::time::interval(OBSERVE_INTERVAL);
    loop {
        interval.tick().await;
        telemetry.metrics.view.set_revision(view.view().revision);
        if let Some(age) = view.age(Instant::now()) {
            telemetry.metrics.view.set_age(age);
        }
        let status = reports.borrow().clone();
        let slots_in_use = status.as_ref().map_or(0, |status| status.slots_in_use);
        telemetry.metrics.agent.set_slots_in_use(slots_in_use);
        let mut reasons = Vec::new();
        if !view.is_fresh(Instant::now()) {
            reasons.push("the view of records is not confirmed; check the control replicas".into());
        }
        if shutdown.phase() != ShutdownPhase::Running {
            reasons.push("the agent is shutting down; use another minion".into());
        } else if status.is_none_or(|status| status.state != MinionState::Ready) {
            reasons.push("the minion does not take requests; check it".into());
        }
        telemetry.set_readiness(reasons);
    }
}
