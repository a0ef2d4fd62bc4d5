//! Cases of the review, and what they share.

mod dropped_queue;
mod late_departure;
mod planned_replacement;
mod silent_channels;

use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::deployment::Deployment;
use crate::http::Response;
use crate::json::Json;
use crate::record::Record;
use crate::worker::Worker;

pub enum Verdict {
    Held,
    Broken(String),
}

pub struct Setup {
    /// `false` leaves the disruption out.
    pub trouble: bool,
    pub record: Record,
}

/// Processes that must end with the case.
#[derive(Clone, Default)]
pub struct Context {
    deployment: Arc<Mutex<Option<Deployment>>>,
}

impl Context {
    /// Starts three control replicas and one entry.
    fn start(&self, setup: &Setup) -> Option<Deployment> {
        let deployment = Deployment::start(&setup.record)?;
        *self.deployment.lock().unwrap() = Some(deployment.clone());
        Some(deployment)
    }

    pub fn end(&self) {
        if let Some(deployment) = self.deployment.lock().unwrap().take() {
            deployment.end();
        }
    }
}

/// Runs a case and returns `None` if it could not run.
type Case = fn(&Setup, &Context) -> Option<Verdict>;

pub fn find(name: &str) -> Option<Case> {
    match name {
        "planned-replacement" => Some(planned_replacement::run),
        "late-departure" => Some(late_departure::run),
        "dropped-queue" => Some(dropped_queue::run),
        "silent-channels" => Some(silent_channels::run),
        _ => None,
    }
}

const SERVICE: &str = "pool-a";
const KEY: &str = "k1a2b3c4d5e6f7g8h9j0";
const QUEUE: &str = "/recon/";

/// Time that a worker takes to answer a start or a stop.
const ANSWER_DELAY: Duration = Duration::from_millis(2);

fn worker(deployment: &Deployment, id: &str, setup: &Setup) -> Option<Worker> {
    let worker = Worker::new(id, deployment.worker(0), SERVICE, ANSWER_DELAY, &setup.record);
    worker.listen(deployment.worker(0)).ok()?;
    Some(worker)
}

fn route(name: &str, prefix: &str) -> String {
    format!(
        "{{\"Name\":\"{name}\",\"Host\":\"review.example\",\"PathPrefix\":\"{prefix}\",\
         \"Kind\":\"non_idempotent\",\"TimeoutMs\":3000,\"SloMs\":3000,\"Priority\":1,\
         \"Service\":\"{SERVICE}\",\"MaxAttempts\":2,\"Stretch\":3.0,\"Public\":false}}"
    )
}

fn manifest(version: u64, routes: &[String]) -> String {
    format!(
        "{{\"Version\":{version},\"Routes\":[{}],\"Services\":[{{\"Name\":\"{SERVICE}\",\
         \"HealthPath\":\"/health\",\"MaxConns\":64,\"Protocol\":\"h1\",\"Tls\":false,\
         \"AdmissionControl\":true,\"Standby\":false}}],\"Limits\":{{\"MaxHeaderBytes\":16384,\
         \"MaxBodyBytes\":262144,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}},\
         \"Tenants\":[{{\"Name\":\"tenant-1\",\"ApiKeys\":[\"{KEY}\"],\"Priority\":1}}]}}",
        routes.join(",")
    )
}

/// Job of one step whose work items run for `length_ms` on one GPU each.
fn job(count: u32, length_ms: u64) -> String {
    format!(
        "{{\"Spec\":\"ms={length_ms};gpus=1\",\"Phases\":[{{\"Count\":{count},\"Cpu\":1000,\
         \"MemMb\":1024,\"Gpus\":1,\"EstRuntimeMs\":{length_ms}}}]}}"
    )
}

/// Returns the state that an answer shows, or its status.
fn state_of(answer: Option<Response>) -> String {
    let Some(answer) = answer else { return "no answer".to_owned() };
    let json = Json::parse(&answer.body);
    let state = json.as_ref().and_then(|json| json.text("State"));
    state.map_or_else(|| answer.status.to_string(), str::to_owned)
}
