//! Test support: an entry, agents and minion test doubles on real sockets, and an HTTP caller.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::{Builder, Runtime};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use yuccatack_agent::{AgentError, AgentInputs};
use yuccatack_control_client::{ControlClient, ControlClientConfig};
use yuccatack_core::prelude::*;
use yuccatack_entry::{BalancerSettings, EntryError, EntryInputs};
use yuccatack_lifecycle::{Shutdown, ShutdownPhase, ShutdownTrigger, shutdown_channel};
use yuccatack_records::{OrganisationRecord, Record, RecordKind};
use yuccatack_requests::claims::{ClaimLimits, ClaimMessage, ClaimTable, claim_channel};
use yuccatack_requests::dispatch::DispatchSettings;
use yuccatack_requests::routing::RoutingSettings;
use yuccatack_settings::{AgentSettings, EntrySettings};
use yuccatack_stand_ins::{MinionBehaviour, MinionStandIn};
use yuccatack_telemetry::Telemetry;
use yuccatack_view::{
    MinionEntry, MinionState, MinionStatus, RecordEntry, RecordKey, View, ViewHandle,
};

pub const SERVICE: &str = "reviews";

/// A view whose content and freshness are set by the test instead of a control leader.
#[derive(Clone)]
pub struct ManualView {
    view: watch::Sender<Arc<View>>,
    fresh_until: watch::Sender<Option<Instant>>,
}

impl ManualView {
    pub fn new() -> Self {
        let fresh_until = Some(Instant::now() + Duration::from_secs(3600));
        Self {
            view: watch::channel(Arc::new(View::default())).0,
            fresh_until: watch::channel(fresh_until).0,
        }
    }

    pub fn handle(&self) -> ViewHandle {
        ViewHandle::new(self.view.subscribe(), self.fresh_until.subscribe())
    }

    pub fn set_fresh(&self, fresh: bool) {
        let limit = fresh.then(|| Instant::now() + Duration::from_secs(3600));
        self.fresh_until.send_replace(limit);
    }

    pub fn change(&self, change: impl FnOnce(&mut View)) {
        self.view.send_modify(|view| change(Arc::make_mut(view)));
    }

    /// Copies each report of an agent into the entry of its minion, with `address` as its address.
    pub fn copy_reports(
        &self,
        node: NodeName,
        incarnation: Incarnation,
        address: SocketAddr,
        mut reports: watch::Receiver<Option<MinionStatus>>,
    ) {
        let view = self.clone();
        tokio::spawn(async move {
            while reports.changed().await.is_ok() {
                let Some(mut status) = reports.borrow_and_update().clone() else {
                    continue;
                };
                status.agent_address = address;
                view.change(|view| {
                    let entry = MinionEntry {
                        node: node.clone(),
                        incarnation,
                        data_centre: DataCentreName::new("langkawi").unwrap(),
                        status,
                    };
                    view.minions.insert(node.clone(), Arc::new(entry));
                });
            }
        });
    }

    pub async fn wait_for_ready(&self, count: usize) {
        let ready = |entry: &&Arc<MinionEntry>| entry.status.state == MinionState::Ready;
        self.wait_for(|view| view.minions.values().filter(ready).count() >= count).await;
    }

    pub async fn wait_for_incarnation(&self, incarnation: Incarnation) {
        let found = |entry: &Arc<MinionEntry>| {
            entry.incarnation == incarnation && entry.status.state == MinionState::Ready
        };
        self.wait_for(|view| view.minions.values().any(found)).await;
    }

    async fn wait_for(&self, mut condition: impl FnMut(&View) -> bool) {
        let mut view = self.view.subscribe();
        let met = view.wait_for(|view| condition(view));
        tokio::time::timeout(Duration::from_secs(10), met).await.unwrap().unwrap();
    }

    /// Adds a record with these limits for an organisation.
    pub fn set_limits(&self, name: &str, rate_per_s: u32, concurrency_count: u32) {
        let record = OrganisationRecord {
            name: OrganisationName::new(name).unwrap(),
            accelerator_quota_count: 0,
            fair_share_weight: 1,
            request_rate_per_s: rate_per_s,
            request_concurrency_count: concurrency_count,
        };
        let name = RecordName::new(name).unwrap();
        let key = RecordKey { kind: RecordKind::Organisation, name };
        let entry = RecordEntry {
            generation: Generation::new(1),
            revision: Revision::new(1),
            record: Record::Organisation(record),
        };
        self.change(|view| {
            view.records.insert(key, Arc::new(entry));
        });
    }
}

pub struct RunningAgent {
    pub node: NodeName,
    pub address: SocketAddr,
    pub incarnation: Incarnation,
    pub trigger: ShutdownTrigger,
    pub task: JoinHandle<Result<(), AgentError>>,
    /// Separate runtime, so that a test can kill all tasks of the agent at once.
    runtime: Option<Runtime>,
    /// View of this agent only, so that a test can make it stale.
    pub view: ManualView,
}

impl Drop for RunningAgent {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

impl RunningAgent {
    /// Stops all tasks of the agent without a drain and waits until its sockets are closed.
    pub async fn kill(mut self) -> SocketAddr {
        let runtime = self.runtime.take().unwrap();
        let timeout = Duration::from_secs(5);
        tokio::task::spawn_blocking(move || runtime.shutdown_timeout(timeout)).await.unwrap();
        self.address
    }

    pub async fn start(name: &str, minion: SocketAddr, view: &ManualView) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        Self::start_on(name, minion, view, listener, address).await
    }

    pub async fn start_on(
        name: &str,
        minion: SocketAddr,
        view: &ManualView,
        listener: TcpListener,
        advertised_address: SocketAddr,
    ) -> Self {
        let address = listener.local_addr().unwrap();
        let node = NodeName::new(name).unwrap();
        let settings = AgentSettings {
            node: node.clone(),
            data_centre: DataCentreName::new("langkawi").unwrap(),
            service: ServiceName::new(SERVICE).unwrap(),
            minion: MinionName::new(name).unwrap(),
            minion_address: minion,
            listen_address: address,
            metrics_address: None,
            control_addresses: Vec::new(),
            slot_count: 8,
            connection_count: 64,
            drain_limit_ms: 1_000,
            body_limit_bytes: 1024 * 1024,
        };
        let incarnation = Incarnation::random();
        let (reports, reports_receiver) = watch::channel(None);
        view.copy_reports(node.clone(), incarnation, advertised_address, reports_receiver);
        let agent_view = ManualView::new();
        let handle = agent_view.handle();
        let (trigger, shutdown) = shutdown_channel();
        let listener = listener.into_std().unwrap();
        let runtime = Builder::new_multi_thread().worker_threads(1).enable_all().build().unwrap();
        let task = runtime.spawn(async move {
            let listener = TcpListener::from_std(listener).unwrap();
            let inputs = AgentInputs {
                listener,
                incarnation,
                view: handle,
                reports,
                telemetry: Telemetry::without_server(),
            };
            yuccatack_agent::serve(settings, inputs, shutdown).await
        });
        let runtime = Some(runtime);
        Self { node, address, incarnation, trigger, task, runtime, view: agent_view }
    }
}

/// Applies claims to one table, as a control leader does.
pub fn spawn_claim_server(mut messages: mpsc::Receiver<ClaimMessage>) -> JoinHandle<()> {
    tokio::spawn(async move {
        let mut table = ClaimTable::new(ClaimLimits::default());
        while let Some(message) = messages.recv().await {
            let outcome = table.apply(message.command, unix_time());
            let _ = message.reply.send(Ok(outcome));
        }
    })
}

pub fn unix_time() -> TimestampMs {
    let now = std::time::SystemTime::now();
    let since_epoch = now.duration_since(std::time::UNIX_EPOCH).unwrap();
    TimestampMs::new(since_epoch.as_millis() as u64)
}

pub struct RunningEntry {
    pub address: SocketAddr,
    pub trigger: ShutdownTrigger,
    pub task: JoinHandle<Result<(), EntryError>>,
}

impl RunningEntry {
    pub async fn start(
        view: &ManualView,
        claims: yuccatack_requests::claims::ClaimClient,
        change: impl FnOnce(&mut EntrySettings, &mut EntryInputs),
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let mut settings = EntrySettings {
            node: NodeName::new("entry-1").unwrap(),
            data_centre: DataCentreName::new("langkawi").unwrap(),
            listen_address: address,
            metrics_address: None,
            control_addresses: Vec::new(),
            drain_limit_ms: 1_000,
            body_limit_bytes: 1024 * 1024,
            receive_limit_ms: 1_000,
        };
        let control = ControlClient::spawn(ControlClientConfig {
            control_addresses: Vec::new(),
            call_deadline: Duration::from_secs(1),
        });
        let mut inputs = EntryInputs {
            control,
            telemetry: Telemetry::without_server(),
            listener,
            view: view.handle(),
            claims,
            dispatch: DispatchSettings::default(),
            routing: RoutingSettings::default(),
            admission: BalancerSettings::default(),
        };
        change(&mut settings, &mut inputs);
        let (trigger, shutdown): (ShutdownTrigger, Shutdown) = shutdown_channel();
        let task = tokio::spawn(yuccatack_entry::serve(settings, inputs, shutdown));
        Self { address, trigger, task }
    }

    pub fn drain(&self) {
        self.trigger.advance(ShutdownPhase::Draining);
    }
}

/// One entry, and an agent with a minion test double for each behaviour.
pub struct System {
    pub view: ManualView,
    pub minions: Vec<MinionStandIn>,
    pub agents: Vec<RunningAgent>,
    pub claims: yuccatack_requests::claims::ClaimClient,
    pub entry: RunningEntry,
}

impl System {
    pub async fn start(behaviours: &[MinionBehaviour]) -> Self {
        Self::start_with(behaviours, |_, _| {}).await
    }

    pub async fn start_with(
        behaviours: &[MinionBehaviour],
        change: impl FnOnce(&mut EntrySettings, &mut EntryInputs),
    ) -> Self {
        let view = ManualView::new();
        let mut minions = Vec::new();
        let mut agents = Vec::new();
        for (index, behaviour) in behaviours.iter().enumerate() {
            let minion = MinionStandIn::start(*behaviour).await.unwrap();
            let name = format!("minion-{index}");
            agents.push(RunningAgent::start(&name, minion.address(), &view).await);
            minions.push(minion);
        }
        let (claims, messages) = claim_channel();
        spawn_claim_server(messages);
        view.wait_for_ready(behaviours.len()).await;
        let entry = RunningEntry::start(&view, claims.clone(), change).await;
        Self { view, minions, agents, claims, entry }
    }

    pub async fn post(&self, headers: &[(&str, &str)], body: &str) -> CallerResponse {
        post(self.entry.address, headers, body).await
    }

    pub async fn run_count(&self) -> usize {
        let mut count = 0;
        for minion in &self.minions {
            count += minion.runs().await.len();
        }
        count
    }
}

#[derive(Clone, Debug, PartialEq)]
pub struct CallerResponse {
    pub status: u16,
    pub headers: BTreeMap<String, String>,
    pub body: Bytes,
}

impl CallerResponse {
    pub fn outcome(&self) -> &str {
        self.headers.get("yuccatack-outcome").map_or("", String::as_str)
    }

    pub fn reason(&self) -> &str {
        self.headers.get("yuccatack-reason").map_or("", String::as_str)
    }
}

pub const IDEMPOTENT: &[(&str, &str)] =
    &[("yuccatack-organisation", "lender"), ("yuccatack-idempotent", "true")];

/// Sends one request on a new connection.
pub async fn post(address: SocketAddr, headers: &[(&str, &str)], body: &str) -> CallerResponse {
    let stream = TcpStream::connect(address).await.unwrap();
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.unwrap();
    tokio::spawn(connection);
    let mut request = Request::post(format!("/v1/requests/{SERVICE}/score"));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let body = Full::new(Bytes::copy_from_slice(body.as_bytes()));
    let response = sender.send_request(request.body(body).unwrap()).await.unwrap();
    let status = response.status().as_u16();
    let text = |value: &hyper::header::HeaderValue| value.to_str().unwrap().to_owned();
    let headers = response.headers();
    let headers = headers.iter().map(|(name, value)| (name.to_string(), text(value))).collect();
    let body = response.into_body().collect().await.unwrap().to_bytes();
    CallerResponse { status, headers, body }
}
