//! Test deployment of control replicas and agents with test doubles of workers, all in one process
//! on loopback ports.

#![allow(clippy::unwrap_used, dead_code, missing_docs)]

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde_json::Value;
use tempfile::TempDir;
use tokio::runtime::{Builder, Runtime};
use tokio::sync::{mpsc, watch};
use tokio::task::{JoinHandle, spawn_blocking};
use tokio::time::{Instant, sleep, timeout};
use yuccatack_core::{
    DataCentreName, DurationMs, NodeName, OrganisationName, QueueName, Resources, ServiceName,
    WorkerName,
};
use yuccatack_dispatch::{DispatchSettings, WorkerState};
use yuccatack_lifecycle::{ShutdownPhase, ShutdownTrigger, shutdown_channel};
use yuccatack_queue_client::QueueClient;
use yuccatack_queue_client::protocol::{CallTarget, Request, Response};
use yuccatack_queue_control::{ControlConfig, run};
use yuccatack_queues::{
    AccessKey, CallerLimits, Configuration, ConfigurationVersion, Organisation, Queue, Service,
};
use yuccatack_replication::{
    Committed, ProposalClass, ProposalId, ReplicaId, ReplicationConfig, RoleName, encode, start,
};
use yuccatack_runs::{JobPhase, JobSpec, StepSpec, WorkerIncarnation};
use yuccatack_stand_ins::{DiskStandIn, QueueWorkerHandle, QueueWorkerStandIn};
use yuccatack_storage::DiskSettings;
use yuccatack_telemetry::Metrics;
use yuccatack_worker_agent::{Agent, AgentConfig, Announcement};

/// Timeout of one step of a test. It allows for an election on a busy machine.
pub const STEP_TIMEOUT: Duration = Duration::from_secs(20);

/// Size of a disk that no test fills by accident.
pub const LARGE_DISK_BYTES: u64 = 1 << 30;

const CALL_TIMEOUT: Duration = Duration::from_secs(2);

pub struct Replica {
    folder: Option<TempDir>,
    pub address: SocketAddr,
    pub metrics: Metrics,
    trigger: ShutdownTrigger,
    task: JoinHandle<()>,
    /// Runtime of the replica alone, whose end also ends the tasks that the replica has spawned.
    runtime: Option<Runtime>,
}

pub struct Deployment {
    pub replicas: Vec<Replica>,
    pub client: QueueClient,
    /// Disks of the replicas by their address; a disk outlasts a restart of its replica.
    pub disks: BTreeMap<SocketAddr, DiskStandIn>,
    /// Capacity that replicas started from now on assume for their disks.
    pub disk_bytes: u64,
    seeds: Vec<SocketAddr>,
    /// Kept so that the agents' announcement and shutdown channels stay open.
    agents: Vec<(mpsc::Sender<Announcement>, ShutdownTrigger)>,
}

/// Returns a loopback address with an unused port. The port is free again on return, so the caller
/// must bind it soon.
pub fn free_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

/// Returns a loopback address per founder, since a founder's ID is derived from its IP address.
fn founder_address(index: usize) -> SocketAddr {
    let host = format!("127.0.{}.{}:0", std::process::id() % 200 + 1, index + 1);
    std::net::TcpListener::bind(host).unwrap().local_addr().unwrap()
}

fn start_replica(
    folder: TempDir,
    disk: &DiskStandIn,
    disk_bytes: u64,
    address: SocketAddr,
    seeds: &[SocketAddr],
    first_start: bool,
) -> Replica {
    let (_, seeds) = watch::channel(seeds.to_vec());
    let (trigger, shutdown) = shutdown_channel();
    let config = ControlConfig {
        address,
        data_folder: folder.path().join("replica"),
        disk: DiskSettings::new(disk_bytes).with_file_system(Arc::new(disk.clone())),
        seeds: seeds.clone(),
        first_start,
        tolerated_loss_count: 1,
        dispatch: DispatchSettings::new(DurationMs::new(3_000), DurationMs::new(200)),
    };
    let client = QueueClient::new(seeds);
    let runtime = Builder::new_multi_thread().worker_threads(2).enable_all().build().unwrap();
    let metrics = Metrics::new();
    let process = run(config, client, metrics.clone(), shutdown);
    let task = runtime.spawn(async move { process.await.unwrap() });
    Replica { folder: Some(folder), address, metrics, trigger, task, runtime: Some(runtime) }
}

impl Replica {
    async fn end_runtime(&mut self) {
        let runtime = self.runtime.take().unwrap();
        spawn_blocking(move || runtime.shutdown_timeout(STEP_TIMEOUT)).await.unwrap();
    }

    pub fn data_folder(&self) -> PathBuf {
        self.folder.as_ref().unwrap().path().join("replica")
    }
}

impl Drop for Replica {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

impl Deployment {
    /// Starts three replicas that found a group and waits until one leads.
    pub async fn start() -> Self {
        Self::start_on_disks(LARGE_DISK_BYTES).await
    }

    /// Starts replicas as [`Deployment::start`] does, with a disk of `disk_bytes` each.
    pub async fn start_on_disks(disk_bytes: u64) -> Self {
        let seeds: Vec<SocketAddr> = (0..3).map(founder_address).collect();
        let disks: BTreeMap<_, _> =
            seeds.iter().map(|address| (*address, DiskStandIn::new(disk_bytes))).collect();
        let replicas = disks.iter().map(|(address, disk)| {
            let folder = tempfile::tempdir().unwrap();
            start_replica(folder, disk, disk_bytes, *address, &seeds, true)
        });
        let replicas = replicas.collect();
        let (_, receiver) = watch::channel(seeds.clone());
        let client = QueueClient::new(receiver);
        let deployment = Self { replicas, client, disks, disk_bytes, seeds, agents: Vec::new() };
        deployment.call_until(&Request::Ping, |response| *response == Response::Pong).await;
        deployment
    }

    /// Starts an agent and its worker, on which each task takes `run_time`.
    pub async fn add_worker(&mut self, name: &str, run_time: Duration) -> QueueWorkerHandle {
        let node = NodeName::new(name).unwrap();
        let (worker, handle) = QueueWorkerStandIn::spawn(run_time);
        let (announcements, announced) = mpsc::channel(8);
        let (trigger, shutdown) = shutdown_channel();
        let config = AgentConfig { node: node.clone() };
        tokio::spawn(Agent::run(config, worker, self.client.clone(), announced, shutdown));
        let state = WorkerState {
            incarnation: WorkerIncarnation {
                node,
                worker: WorkerName::new(name).unwrap(),
                started_at_unix_ms: 1,
            },
            service: ServiceName::new("pool").unwrap(),
            data_centre: DataCentreName::new("here").unwrap(),
            capacity: Resources { cores_milli: 8_000, memory_bytes: 1 << 36, accelerator_count: 8 },
            labels: Vec::new(),
            rack: None,
            draining: false,
            remaining_ms: None,
            cold_left_ms: None,
        };
        announcements.send(Announcement::Present { state, sequence: 1 }).await.unwrap();
        self.agents.push((announcements, trigger));
        handle
    }

    /// Submits a configuration with one queue and one organisation that has `key`.
    pub async fn configure(&self, version: u64, key: &str) {
        let request = Request::Configure(Arc::new(configuration(version, key)));
        self.call_until(&request, |response| matches!(response, Response::Configured(_))).await;
    }

    /// Repeats a request until `is_expected` accepts the response, and returns that response.
    pub async fn call_until<Predicate>(&self, request: &Request, is_expected: Predicate) -> Response
    where
        Predicate: Fn(&Response) -> bool,
    {
        let deadline = Instant::now() + STEP_TIMEOUT;
        let mut last_result = None;
        while Instant::now() < deadline {
            let result = self.client.call(request, CALL_TIMEOUT).await;
            if let Ok(response) = &result
                && is_expected(response)
            {
                return response.clone();
            }
            last_result = Some(result);
            sleep(Duration::from_millis(20)).await;
        }
        panic!("{request:?} got no expected response in time; the last result was {last_result:?}");
    }

    pub async fn submit(&self, job: &str, spec: JobSpec) {
        let request = Request::Submit(target(job), Box::new(spec));
        self.call_until(&request, |response| *response == Response::Accepted).await;
    }

    pub async fn wait_for_phase(&self, job: &str, phase: JobPhase) {
        let expected = Response::Job(phase);
        self.call_until(&Request::Read(target(job)), |response| *response == expected).await;
    }

    /// Ends a replica without a drain, as a kill does, and returns its folder and address.
    pub async fn kill(&mut self, index: usize) -> (TempDir, SocketAddr) {
        let mut replica = self.replicas.remove(index);
        replica.end_runtime().await;
        (replica.folder.take().unwrap(), replica.address)
    }

    pub fn restart(&mut self, folder: TempDir, address: SocketAddr) {
        let disk = &self.disks[&address];
        let replica = start_replica(folder, disk, self.disk_bytes, address, &self.seeds, false);
        self.replicas.push(replica);
    }

    /// Starts a replica at a new address, which joins the group.
    pub fn add_replica(&mut self) {
        let address = founder_address(self.disks.len());
        self.disks.insert(address, DiskStandIn::new(self.disk_bytes));
        self.restart(tempfile::tempdir().unwrap(), address);
    }

    /// Stops the replicas at these addresses together, as planned and for good.
    pub async fn stop(&mut self, addresses: &[SocketAddr]) {
        let mut stopped = Vec::new();
        for address in addresses {
            let is_stopped = |replica: &Replica| replica.address == *address;
            let index = self.replicas.iter().position(is_stopped).unwrap();
            let replica = self.replicas.remove(index);
            replica.trigger.advance(ShutdownPhase::Draining);
            stopped.push(replica);
        }
        for mut replica in stopped {
            (&mut replica.task).await.unwrap();
            replica.end_runtime().await;
        }
    }

    pub async fn stop_all(&mut self) -> Vec<(TempDir, SocketAddr)> {
        let mut stopped = Vec::new();
        for mut replica in self.replicas.drain(..) {
            replica.trigger.advance(ShutdownPhase::Draining);
            (&mut replica.task).await.unwrap();
            replica.end_runtime().await;
            stopped.push((replica.folder.take().unwrap(), replica.address));
        }
        stopped
    }
}

/// Writes a log with `commands` as the only replica of a group.
pub async fn write_log(folder: &Path, address: SocketAddr, commands: &[Value]) {
    let replica = ReplicaId::new(1);
    let config = ReplicationConfig {
        replica,
        address,
        initial_voters: BTreeMap::from([(replica, address)]),
        heartbeat_ms: 20,
        election_timeout_ms: 100,
        snapshot_entry_count: 100,
        data_folder: folder.to_owned(),
        disk: DiskSettings::new(LARGE_DISK_BYTES),
    };
    let (handle, mut committed, _service) = start(config).await.unwrap();
    let mut status = handle.status();
    status.wait_for(|status| status.role == RoleName::Leader).await.unwrap();
    for (number, command) in (1..).zip(commands) {
        let payload = Bytes::from(encode(command).unwrap());
        handle.propose(ProposalId::new(number), ProposalClass::Growth, payload);
    }
    let mut entry_count = 0;
    while entry_count < commands.len() {
        let item = timeout(STEP_TIMEOUT, committed.recv()).await.unwrap().unwrap();
        entry_count += usize::from(matches!(item, Committed::Entry { .. }));
    }
    handle.stop().await;
}

/// Starts a control replica of this version on a log that [`write_log`] wrote. It runs until the test ends.
pub fn start_on_log(data_folder: PathBuf, address: SocketAddr) -> QueueClient {
    let (sender, seeds) = watch::channel(vec![address]);
    let (trigger, shutdown) = shutdown_channel();
    let client = QueueClient::new(seeds.clone());
    let config = ControlConfig {
        address,
        data_folder,
        disk: DiskSettings::new(LARGE_DISK_BYTES),
        seeds,
        first_start: false,
        tolerated_loss_count: 0,
        dispatch: DispatchSettings::new(DurationMs::new(3_000), DurationMs::new(200)),
    };
    let process = run(config, client.clone(), Metrics::new(), shutdown);
    tokio::spawn(async move {
        let _kept = (sender, trigger);
        process.await
    });
    client
}

pub fn target(job: &str) -> CallTarget {
    CallTarget {
        host: Arc::from("host.example"),
        path: Arc::from(format!("/queue/{job}")),
        key: Some(AccessKey::new("key")),
    }
}

pub fn job(task_count: u32) -> JobSpec {
    let demand = Resources { cores_milli: 1_000, memory_bytes: 1, accelerator_count: 1 };
    let step = StepSpec { task_count, demand, ..StepSpec::default() };
    JobSpec { payload: Arc::from("payload"), steps: vec![step], schedule: None }
}

pub fn configuration(version: u64, key: &str) -> Configuration {
    let service = ServiceName::new("pool").unwrap();
    Configuration {
        version: ConfigurationVersion::new(version),
        queues: vec![Queue {
            name: QueueName::new("queue").unwrap(),
            host: Arc::from("host.example"),
            path_prefix: Arc::from("/queue/"),
            service: service.clone(),
            priority: 1,
            max_attempts: 2,
            stretch: 3.0,
            allowance_ms: DurationMs::new(1_000),
            call_timeout_ms: DurationMs::new(3_000),
            public: false,
        }],
        services: vec![Service { name: service, admission_control: true }],
        limits: CallerLimits::default(),
        organisations: vec![Organisation {
            name: OrganisationName::new("tenant").unwrap(),
            keys: vec![AccessKey::new(key)],
            guaranteed_accelerator_count: 0,
        }],
        document: Arc::from(format!("document {version}")),
    }
}
