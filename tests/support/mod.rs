//! Starts the roles as separate processes on loopback ports, with test doubles of workers and
//! minions in the test process.

#![allow(clippy::unwrap_used, dead_code, missing_docs)]

pub mod minion_proxy;
mod steps;

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use tempfile::TempDir;
use yuccatack_core::prelude::*;
use yuccatack_leases::WorkerRegistration;
use yuccatack_stand_ins::{
    CallerStandIn, MinionBehaviour, MinionStandIn, WorkerSettings, WorkerStandIn,
};

pub use steps::*;

/// Timeout of each step; longer than an election and the first report of every process together.
pub const STEP_TIMEOUT: Duration = Duration::from_secs(30);

/// Number of newest log lines of each role that a failed test prints.
const PRINTED_LOG_LINE_COUNT: usize = 15;

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

/// A process that runs one role.
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
        let control_addresses = deployment.control_addresses.clone();
        deployment.add_entry(1, entry_address, Some(metrics_addresses[1]), &control_addresses);
        let minion_address = deployment.minion.address();
        deployment.add_agent(1, agent_address, minion_address, Some(metrics_addresses[2]));
        deployment
    }

    /// Starts a second entry that knows all control replicas, and returns a caller of it.
    pub fn add_second_entry(&mut self) -> CallerStandIn {
        self.add_entry_with(&self.control_addresses.clone())
    }

    /// Starts a second entry that knows only these control replicas, and returns a caller of it.
    pub fn add_entry_with(&mut self, control_addresses: &[SocketAddr]) -> CallerStandIn {
        let address = free_addresses(1)[0];
        self.add_entry(2, address, None, control_addresses);
        CallerStandIn::new(address)
    }

    /// Starts another agent, for the minion at this address.
    pub fn add_agent_for(&mut self, number: usize, minion_address: SocketAddr) {
        let address = free_addresses(1)[0];
        self.add_agent(number, address, minion_address, None);
    }

    pub fn operator(&self) -> CallerStandIn {
        CallerStandIn::new(self.entry_address)
    }

    /// Kills a process with SIGKILL.
    pub fn kill(&mut self, name: &str) {
        let process = self.process(name);
        let mut child = process.child.take().unwrap();
        child.kill().unwrap();
        child.wait().unwrap();
    }

    /// Starts a process that was killed or stopped.
    pub fn restart(&mut self, name: &str) {
        let process = self.process(name);
        assert!(process.child.is_none(), "{name} is still running");
        process.child = Some(spawn(&process.settings));
    }

    /// Sends a signal, given as an option of `kill` such as `-TERM`, to a process.
    pub fn signal(&mut self, name: &str, signal: &str) {
        let id = self.process(name).child.as_ref().unwrap().id();
        let status = Command::new("kill").args([signal, &id.to_string()]).status().unwrap();
        assert!(status.success());
    }

    /// Waits until a process has exited without being killed by the test.
    pub fn wait_for_exit(&mut self, name: &str) -> ExitStatus {
        let deadline = Instant::now() + STEP_TIMEOUT;
        let mut child = self.process(name).child.take().unwrap();
        loop {
            if let Some(status) = child.try_wait().unwrap() {
                return status;
            }
            assert!(Instant::now() < deadline, "{name} did not exit within 30 s");
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    fn process(&mut self, name: &str) -> &mut RoleProcess {
        self.processes.iter_mut().find(|process| process.name == name).unwrap()
    }

    /// Starts a control replica with the next free number and an empty data folder.
    pub fn add_replacement(&mut self) -> usize {
        let addresses = free_addresses(2);
        self.control_addresses.push(addresses[0]);
        self.worker_addresses.push(addresses[1]);
        let number = self.control_addresses.len();
        self.add_control(number);
        number
    }

    /// Deletes the data folder of a killed control replica, which simulates the loss of its disk.
    pub fn delete_data_folder(&self, number: usize) {
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
        self.start_process(format!("control-{number}"), &settings);
    }

    fn add_entry(
        &mut self,
        number: usize,
        address: SocketAddr,
        metrics: Option<SocketAddr>,
        control_addresses: &[SocketAddr],
    ) {
        let settings = json!({
            "role": "entry",
            "node": format!("entry-{number}"),
            "data_centre": "putrajaya",
            "listen_address": address,
            "metrics_address": metrics,
            "control_addresses": control_addresses,
        });
        self.start_process(format!("entry-{number}"), &settings);
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
        self.start_process(format!("agent-{number}"), &settings);
    }

    fn start_process(&mut self, name: String, settings: &Value) {
        let path = self.folder.path().join(format!("{name}.yaml"));
        std::fs::write(&path, settings.to_string()).unwrap();
        let child = Some(spawn(&path));
        self.processes.push(RoleProcess { name, settings: path, child });
    }
}

impl Drop for Deployment {
    /// Prints the newest log lines of each role if the test has failed.
    fn drop(&mut self) {
        if !std::thread::panicking() {
            return;
        }
        for process in &self.processes {
            let log = std::fs::read_to_string(process.settings.with_extension("log"));
            let log = log.unwrap_or_default();
            let lines: Vec<&str> = log.lines().collect();
            eprintln!("--- {}", process.name);
            for line in &lines[lines.len().saturating_sub(PRINTED_LOG_LINE_COUNT)..] {
                eprintln!("{line}");
            }
        }
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

/// First port that tests use. Outgoing connections use ports from 32,768 on, so that none of them
/// can take a port between its selection here and the start of the process that listens on it.
const FIRST_PORT: u16 = 10_000;
/// Number of ports for one test program. The process id selects the block of ports, so that
/// programs that run concurrently use different ones.
const PORTS_PER_PROGRAM: u16 = 100;
const PROGRAM_COUNT: u32 = 220;

fn free_addresses(count: usize) -> Vec<SocketAddr> {
    static NEXT_OFFSET: AtomicU16 = AtomicU16::new(0);
    let block = u16::try_from(std::process::id() % PROGRAM_COUNT).unwrap();
    let first = FIRST_PORT + block * PORTS_PER_PROGRAM;
    let mut addresses = Vec::new();
    while addresses.len() < count {
        let offset = NEXT_OFFSET.fetch_add(1, Ordering::Relaxed) % PORTS_PER_PROGRAM;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, first + offset));
        if TcpListener::bind(address).is_ok() {
            addresses.push(address);
        }
    }
    addresses
}
