//! Starts the roles as separate processes on loopback ports, with stand-ins inside the test.

#![allow(clippy::unwrap_used, dead_code, missing_docs)]

pub mod minion_port;

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use tempfile::TempDir;
use yuccatack_core::prelude::*;
use yuccatack_leases::WorkerRegistration;
use yuccatack_stand_ins::{
    CallerAnswer, CallerStandIn, MinionBehaviour, MinionStandIn, WorkerSettings, WorkerStandIn,
};

/// Longer than an election and the first report of every process together.
pub const STEP_LIMIT: Duration = Duration::from_secs(30);

const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The processes of a deployment with `control_count` replicas, one entry and one agent.
pub struct Deployment {
    pub folder: TempDir,
    pub control_addresses: Vec<SocketAddr>,
    pub worker_addresses: Vec<SocketAddr>,
    pub entry_address: SocketAddr,
    pub agent_address: SocketAddr,
    pub metrics_addresses: Vec<SocketAddr>,
    pub minion: MinionStandIn,
    pub worker: WorkerStandIn,
    processes: Vec<RoleProcess>,
}

/// One process of the system.
pub struct RoleProcess {
    pub name: String,
    settings: PathBuf,
    child: Option<Child>,
}

impl Deployment {
    pub async fn start(control_count: usize) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let mut addresses = free_addresses(2 * control_count + 5);
        let metrics_addresses = addresses.split_off(2 * control_count + 2);
        let agent_address = addresses.pop().unwrap();
        let entry_address = addresses.pop().unwrap();
        let worker_addresses = addresses.split_off(control_count);
        let control_addresses = addresses;
        let minion = MinionStandIn::start(MinionBehaviour::default()).await.unwrap();
        let worker = WorkerStandIn::start(worker_settings(&worker_addresses));
        let mut deployment = Self {
            folder,
            control_addresses,
            worker_addresses,
            entry_address,
            agent_address,
            metrics_addresses,
            minion,
            worker,
            processes: Vec::new(),
        };
        for number in 1..=control_count {
            deployment.add_control(number);
        }
        let metrics_addresses = deployment.metrics_addresses.clone();
        deployment.add_entry(1, entry_address, Some(metrics_addresses[1]));
        let minion_address = deployment.minion.address();
        deployment.add_agent(1, agent_address, minion_address, Some(metrics_addresses[2]));
        deployment
    }

    /// Starts a further entry and returns a caller of it.
    pub fn add_second_entry(&mut self) -> CallerStandIn {
        let address = free_addresses(1)[0];
        self.add_entry(2, address, None);
        CallerStandIn::new(address)
    }

    /// Starts a further agent for the minion at this address.
    pub fn add_further_agent(&mut self, number: usize, minion_address: SocketAddr) {
        let address = free_addresses(1)[0];
        self.add_agent(number, address, minion_address, None);
    }

    pub fn operator(&self) -> CallerStandIn {
        CallerStandIn::new(self.entry_address)
    }

    /// Kills a process without warning.
    pub fn kill(&mut self, name: &str) {
        let process = self.process(name);
        let mut child = process.child.take().unwrap();
        child.kill().unwrap();
        child.wait().unwrap();
    }

    /// Starts a process that was killed or stopped.
    pub fn restart(&mut self, name: &str) {
        let process = self.process(name);
        assert!(process.child.is_none(), "{name} still runs");
        process.child = Some(spawn(&process.settings));
    }

    /// Sends a signal to a process.
    pub fn signal(&mut self, name: &str, signal: &str) {
        let id = self.process(name).child.as_ref().unwrap().id();
        let status = Command::new("kill").args([signal, &id.to_string()]).status().unwrap();
        assert!(status.success());
    }

    /// Waits until a process has ended by itself.
    pub fn wait_for_exit(&mut self, name: &str) -> ExitStatus {
        let deadline = Instant::now() + STEP_LIMIT;
        let mut child = self.process(name).child.take().unwrap();
        loop {
            if let Some(status) = child.try_wait().unwrap() {
                return status;
            }
            assert!(Instant::now() < deadline, "{name} did not end in time");
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    fn process(&mut self, name: &str) -> &mut RoleProcess {
        self.processes.iter_mut().find(|process| process.name == name).unwrap()
    }

    /// Starts a control replica at the next number with an empty data folder.
    pub fn add_replacement(&mut self) -> usize {
        let addresses = free_addresses(2);
        self.control_addresses.push(addresses[0]);
        self.worker_addresses.push(addresses[1]);
        let number = self.control_addresses.len();
        self.add_control(number);
        number
    }

    /// Removes the data folder of a killed control replica, like the loss of its disk.
    pub fn wipe(&self, number: usize) {
        std::fs::remove_dir_all(self.folder.path().join(format!("data-{number}"))).unwrap();
    }

    fn add_control(&mut self, number: usize) {
        let replicas: Vec<Value> = self
            .control_addresses
            .iter()
            .enumerate()
            .map(|(index, address)| json!({"replica_id": index + 1, "address": address}))
            .collect();
        let settings = json!({
            "role": "control",
            "node": format!("control-{number}"),
            "data_centre": "putrajaya",
            "replica_id": number,
            "listen_address": self.control_addresses[number - 1],
            "worker_address": self.worker_addresses[number - 1],
            "data_folder": self.folder.path().join(format!("data-{number}")),
            "initial_replicas": replicas,
            "metrics_address": (number == 1).then_some(self.metrics_addresses[0]),
        });
        self.add(format!("control-{number}"), &settings);
    }

    fn add_entry(&mut self, number: usize, address: SocketAddr, metrics: Option<SocketAddr>) {
        let settings = json!({
            "role": "entry",
            "node": format!("entry-{number}"),
            "data_centre": "putrajaya",
            "listen_address": address,
            "metrics_address": metrics,
            "control_addresses": self.control_addresses,
        });
        self.add(format!("entry-{number}"), &settings);
    }

    fn add_agent(
        &mut self,
        number: usize,
        address: SocketAddr,
        minion_address: SocketAddr,
        metrics: Option<SocketAddr>,
    ) {
        let settings = json!({
            "role": "agent",
            "node": format!("agent-{number}"),
            "data_centre": "putrajaya",
            "service": "results",
            "minion": format!("minion-{number}"),
            "minion_address": minion_address,
            "listen_address": address,
            "metrics_address": metrics,
            "control_addresses": self.control_addresses,
        });
        self.add(format!("agent-{number}"), &settings);
    }

    fn add(&mut self, name: String, settings: &Value) {
        let path = self.folder.path().join(format!("{name}.yaml"));
        std::fs::write(&path, settings.to_string()).unwrap();
        let child = Some(spawn(&path));
        self.processes.push(RoleProcess { name, settings: path, child });
    }
}

impl Drop for RoleProcess {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

fn spawn(settings: &PathBuf) -> Child {
    let log = std::fs::File::options()
        .create(true)
        .append(true)
        .open(settings.with_extension("log"))
        .unwrap();
    Command::new(env!("CARGO_BIN_EXE_yuccatack"))
        .arg("run")
        .arg(settings)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(log)
        .spawn()
        .unwrap()
}

fn worker_settings(control_addresses: &[SocketAddr]) -> WorkerSettings {
    let registration = WorkerRegistration {
        worker: WorkerName::new("worker-1").unwrap(),
        incarnation: Incarnation::random(),
        data_centre: DataCentreName::new("putrajaya").unwrap(),
        rack: RackName::new("rack-1").unwrap(),
        resources: Resources {
            cores_milli: 32_000,
            memory_bytes: 128_000_000_000,
            accelerator_count: 8,
        },
    };
    WorkerSettings {
        registration,
        control_addresses: control_addresses.to_vec(),
        default_run_time: DurationMs::new(300),
    }
}

fn free_addresses(count: usize) -> Vec<SocketAddr> {
    let listeners: Vec<TcpListener> =
        (0..count).map(|_| TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap()).collect();
    listeners.iter().map(|listener| listener.local_addr().unwrap()).collect()
}

pub fn organisation() -> Value {
    json!({
        "schema_version": 2, "kind": "organisation", "name": "putrajaya-club",
        "accelerator_quota_count": 8, "fair_share_weight": 1,
        "request_rate_per_s": 1000, "request_concurrency_count": 64,
    })
}

pub fn service() -> Value {
    json!({
        "schema_version": 2, "kind": "service", "name": "results",
        "slot_count": 8, "connection_count": 64,
        "queue_length_count": 100, "default_deadline_ms": 5000,
    })
}

pub fn job(name: &str) -> Value {
    json!({
        "schema_version": 2, "kind": "job", "name": name, "organisation": "putrajaya-club",
        "tasks": 2, "accelerators_per_task": 1, "cores_milli_per_task": 1000,
        "memory_bytes_per_task": 1_073_741_824_u64, "adjacency": "worker", "class": "urgent",
        "declared_run_time_s": 1, "idempotent": true, "checkpointable": false,
        "command": ["rank"],
    })
}

/// Resends a change with the same id until it is accepted.
pub async fn submit(operator: &CallerStandIn, change_id: &str, record: Value) -> Value {
    let deadline = Instant::now() + STEP_LIMIT;
    loop {
        let answer = operator.change(change_id, "submit", 0, record.clone()).await;
        if let Ok(answer) = &answer
            && answer.status.is_success()
        {
            return answer.json();
        }
        assert!(Instant::now() < deadline, "{change_id} was not accepted in time: {answer:?}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Waits until a worker has joined; jobs are accepted only on capacity that exists.
pub async fn wait_for_worker(operator: &CallerStandIn) {
    let deadline = Instant::now() + STEP_LIMIT;
    loop {
        let answer = operator.get("/v1/status").await;
        if let Ok(answer) = &answer
            && answer.json()["workers"].as_array().is_some_and(|workers| !workers.is_empty())
        {
            return;
        }
        assert!(Instant::now() < deadline, "no worker in time: {answer:?}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Waits until an entry names a control leader other than `former`, and returns its number.
pub async fn wait_for_leader(operator: &CallerStandIn, former: Option<u64>) -> u64 {
    let deadline = Instant::now() + STEP_LIMIT;
    loop {
        let answer = operator.get("/v1/status").await;
        if let Ok(answer) = &answer
            && let Some(leader) = answer.json()["replication"]["leader"].as_u64()
            && Some(leader) != former
        {
            return leader;
        }
        assert!(Instant::now() < deadline, "no leader in time: {answer:?}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Waits until this many minions take new work.
pub async fn wait_for_minions(operator: &CallerStandIn, count: usize) {
    let deadline = Instant::now() + STEP_LIMIT;
    loop {
        let answer = operator.get("/v1/status").await;
        if let Ok(answer) = &answer
            && let Some(minions) = answer.json()["minions"].as_array()
            && minions.iter().filter(|minion| minion["state"] == "ready").count() == count
        {
            return;
        }
        assert!(Instant::now() < deadline, "not {count} ready minions in time: {answer:?}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// The seed of a randomised test, which `YUCCATACK_SEED` overrides.
pub fn seed(default: u64) -> u64 {
    std::env::var("YUCCATACK_SEED").map_or(default, |text| text.parse().unwrap())
}

/// Sends an idempotent request until it is completed.
pub async fn complete_request(caller: &CallerStandIn, body: &str) -> CallerAnswer {
    let deadline = Instant::now() + STEP_LIMIT;
    loop {
        let answer = caller.request("putrajaya-club", "results", body.to_owned().into()).await;
        if let Ok(answer) = &answer
            && answer.outcome() == Some("completed")
        {
            return answer.clone();
        }
        assert!(Instant::now() < deadline, "no answer in time: {answer:?}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Waits until a job has the wanted state.
pub async fn wait_for_job(operator: &CallerStandIn, job: &str, wanted: &str) {
    let deadline = Instant::now() + STEP_LIMIT;
    loop {
        let answer = operator.get(&format!("/v1/jobs/{job}/explanation")).await;
        if let Ok(answer) = &answer
            && answer.json()["state"] == wanted
        {
            return;
        }
        assert!(Instant::now() < deadline, "{job} is not {wanted} in time: {answer:?}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
