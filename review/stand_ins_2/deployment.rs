//! Small deployment of the project's own programs on loopback addresses.

use std::fs::{self, File};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Response};
use crate::json::Json;
use crate::record::Record;

const FRONT_PORT: u16 = 18_521;
const READINESS_PORT: u16 = 18_523;
const CONTROL_PORT: u16 = 18_526;
const WORKER_PORT: u16 = 18_529;
const FIRST_PORT: u16 = 17_000;

const CONTROL_COUNT: usize = 3;

/// Machines with a disk come first, those of later replicas included.
const ENTRY_MACHINE: usize = 6;

const SIDE_MACHINE: usize = 9;

/// Number of machines for which the addresses are tried before they are used.
const MACHINE_COUNT: usize = 16;

/// Time limit of a consumer's call (`Deadline-Ms`).
pub const DEADLINE: Duration = Duration::from_millis(3_000);

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64, ...) -> i32;
}

/// Option of `prctl`: the signal that a process gets when its parent ends.
const PR_SET_PDEATHSIG: i32 = 1;

const SIGKILL: u64 = 9;
const SIGTERM: i32 = 15;

struct Process {
    name: String,
    child: Child,
}

#[derive(Clone)]
pub struct Deployment {
    network: [u8; 2],
    folder: PathBuf,
    record: Record,
    processes: Arc<Mutex<Vec<Process>>>,
}

impl Deployment {
    /// Starts the control replicas and an entry.
    pub fn start(record: &Record) -> Option<Self> {
        let network = free_network()?;
        let [a, b] = network;
        let folder = std::env::temp_dir().join(format!("review-{}-{a}-{b}", std::process::id()));
        fs::create_dir_all(&folder).ok()?;
        let record = record.clone();
        let deployment = Self { network, folder, record, processes: Arc::default() };
        for machine in 0..CONTROL_COUNT {
            deployment.spawn("control", machine, true)?;
        }
        deployment.spawn("entry", ENTRY_MACHINE, true)?;
        Some(deployment)
    }

    fn ip(&self, machine: usize) -> IpAddr {
        let [a, b] = self.network;
        IpAddr::V4(Ipv4Addr::new(127, a, b, machine as u8 + 1))
    }

    pub fn entry(&self) -> SocketAddr {
        SocketAddr::new(self.ip(ENTRY_MACHINE), FRONT_PORT)
    }

    fn control(&self, machine: usize) -> SocketAddr {
        SocketAddr::new(self.ip(machine), CONTROL_PORT)
    }

    fn side_machine(index: usize) -> usize {
        SIDE_MACHINE + index
    }

    /// Address at which the agent of a side machine expects its worker.
    pub fn worker(&self, index: usize) -> SocketAddr {
        SocketAddr::new(self.ip(Self::side_machine(index)), WORKER_PORT)
    }

    /// Address behind a proxy of the worker's side machine.
    pub fn hidden_worker(&self, index: usize) -> SocketAddr {
        SocketAddr::new(self.ip(Self::side_machine(index)), WORKER_PORT + 1)
    }

    /// Address at which the agent of a side machine takes the pings of its worker.
    pub fn agent(&self, index: usize) -> SocketAddr {
        SocketAddr::new(self.ip(Self::side_machine(index)), CONTROL_PORT)
    }

    pub fn start_agent(&self, index: usize) -> Option<()> {
        self.spawn("agent", Self::side_machine(index), true)
    }

    /// Starts a replica on a new machine, which comes after the first start of the deployment.
    pub fn start_later_control(&self, machine: usize) -> Option<()> {
        self.spawn("control", machine, false)
    }

    /// Kills a replica, whose disk is lost, and starts it with an empty one at its old address.
    pub fn wipe_control(&self, machine: usize, down: Duration) -> Option<()> {
        let name = format!("control-{machine}");
        {
            let mut processes = self.processes.lock().unwrap();
            let index = processes.iter().position(|process| process.name == name)?;
            let mut process = processes.remove(index);
            process.child.kill().ok()?;
            process.child.wait().ok()?;
        }
        fs::remove_dir_all(self.data_folder(machine)).ok()?;
        self.record.line(&format!("{name} has lost its power and its disk"));
        thread::sleep(down);
        self.spawn("control", machine, false)
    }

    /// Stops a process with SIGTERM and returns `true` if it ends within `GraceS`.
    pub fn remove(&self, name: &str) -> bool {
        self.signal(name, SIGTERM);
        let ended = wait_for(Duration::from_secs(6), || {
            let mut processes = self.processes.lock().unwrap();
            let process = processes.iter_mut().find(|process| process.name == name);
            process.is_none_or(|process| process.child.try_wait().is_ok_and(|end| end.is_some()))
        });
        self.record.line(&format!("{name} has ended and leaves for good"));
        ended
    }

    fn data_folder(&self, machine: usize) -> PathBuf {
        self.folder.join(format!("data-{machine}"))
    }

    fn settings(&self, role: &str, machine: usize, first_start: bool) -> String {
        let ip = self.ip(machine);
        let seeds: Vec<String> = (0..CONTROL_COUNT)
            .map(|seed| format!("\"{}:{CONTROL_PORT}\"", self.ip(seed)))
            .collect();
        let (class, listen) = match role {
            "entry" => (
                "front",
                format!("Front = \"{ip}:{FRONT_PORT}\"\nReadiness = \"{ip}:{READINESS_PORT}\""),
            ),
            "agent" => ("side", format!("Control = \"{ip}:{CONTROL_PORT}\"")),
            _ => ("core", format!("Control = \"{ip}:{CONTROL_PORT}\"")),
        };
        let data = match role {
            "control" => format!("DataDir = \"{}\"\n", self.data_folder(machine).display()),
            _ => String::new(),
        };
        let worker = match role {
            "agent" => format!("app = \"{ip}:{WORKER_PORT}\"\n"),
            _ => String::new(),
        };
        let disk_mb = if role == "control" { 128 } else { 0 };
        format!(
            "Node = \"{role}-{machine}\"\nRole = \"{role}\"\nMachineClass = \"{class}\"\n\
             Ip = \"{ip}\"\nZone = \"zone-a\"\nRegion = \"region-a\"\n\
             PortRange = [{FIRST_PORT},{}]\nSeeds = [{}]\nBootstrap = {first_start}\n\
             ToleranceMember = {}\n{data}{worker}Discovery = \"local\"\nEntry = \"vip\"\n\
             HeartbeatMs = 1500\nconfig_mode = \"highest\"\nOrders = \"rpc\"\n\
             [Zones]\nzone-a = \"region-a\"\n[Listen]\n{listen}\n\
             [Limits]\nCpuShare = 0.5\nCores = 1\nMemoryMb = 256\nMaxFds = 4096\n\
             LinkMbps = 1000.0\nDiskMb = {disk_mb}\n\
             [FaultTolerance]\nMachines = 1\nZones = 0\nRegions = 0\n\
             [Bounds]\nSeedLagS = 3\nAddrReuseS = 2\nContactMs = 3000\nAckMs = 4000\n\
             CatchUpS = 4\nDrainMs = 2000\nGraceS = 6\nLossSlackMs = 200\nConfigApplyMs = 2000\n\
             RollbackSlackMs = 250\nMaxStretchMs = 5000\nStrictRevoke = true\nRevokeMs = 5000\n\
             RecoveryS = 12\nMaxHoldMs = 10000\nStopTimeoutMs = 400\nGangWaitMs = 3000\n\
             cancel_ms = 3000\nvisible_ms = 3000\nearly_ms = 250\nfinish_s = 14\n\
             status_s = 120\nFarFactor = 3\nCheckpointS = 1\nRestoreMs = 100\n\
             EnforceFencing = true\nLeaseMs = 3000\nThawSlackMs = 300\nReclaimMs = 2900\n",
            FIRST_PORT + 15,
            seeds.join(","),
            role == "control",
        )
    }

    fn spawn(&self, role: &str, machine: usize, first_start: bool) -> Option<()> {
        let name = format!("{role}-{machine}");
        let settings = self.folder.join(format!("{name}.toml"));
        fs::write(&settings, self.settings(role, machine, first_start)).ok()?;
        let path = self.folder.join(format!("{name}.log"));
        let log = File::options().create(true).append(true).open(path).ok()?;
        let mut command = Command::new("target/release/yuccatack");
        // No process outlives the case, even if the case is killed.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            })
        };
        let child = command
            .args(["host", role])
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("HOME", &self.folder)
            .env("YUCCATACK_BOOT", &settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn()
            .ok()?;
        self.record.line(&format!("process {name} starts"));
        self.processes.lock().unwrap().push(Process { name, child });
        Some(())
    }

    /// Sends a signal to a process that this deployment has started.
    fn signal(&self, name: &str, signal: i32) {
        let processes = self.processes.lock().unwrap();
        if let Some(process) = processes.iter().find(|process| process.name == name) {
            self.record.line(&format!("signal {signal} to {name}"));
            // The process is a child that was not waited for, so its ID is still its own.
            unsafe { kill(process.child.id() as i32, signal) };
        }
    }

    /// Kills all processes. Keeps their logs if `KEEP_LOGS` names a folder.
    pub fn end(&self) {
        for process in self.processes.lock().unwrap().iter_mut() {
            // The process may have ended by itself.
            let _ = process.child.kill();
            let _ = process.child.wait();
        }
        if let Some(kept) = std::env::var_os("KEEP_LOGS") {
            for entry in fs::read_dir(&self.folder).into_iter().flatten().flatten() {
                if entry.path().extension().is_some_and(|extension| extension == "log") {
                    let _ = fs::copy(entry.path(), PathBuf::from(&kept).join(entry.file_name()));
                }
            }
        }
        let _ = fs::remove_dir_all(&self.folder);
    }

    /// Sends a manifest until it is acknowledged; returns `false` after 20 s.
    pub fn configure(&self, manifest: &str) -> bool {
        let until = Instant::now() + Duration::from_secs(20);
        let mut node = 0;
        while Instant::now() < until {
            let control = self.control(node % CONTROL_COUNT);
            node += 1;
            let timeout = Duration::from_secs(1);
            let answer = http::call(control, "PUT", "/config", &[], manifest, timeout);
            let result = match &answer {
                Ok(answer) => answer.status.to_string(),
                Err(error) => error.to_string(),
            };
            let version = Json::parse(manifest.as_bytes()).and_then(|json| json.number("Version"));
            self.record.line(&format!("operator: PUT version {version:?} -> {result}"));
            if answer.is_ok_and(|answer| answer.status == 200) {
                return true;
            }
            thread::sleep(Duration::from_millis(300));
        }
        false
    }

    /// Reads the manifest at a node and returns its version.
    pub fn read_version(&self, machine: usize) -> Option<u64> {
        let address = self.control(machine);
        let answer = http::call(address, "GET", "/config", &[], "", Duration::from_secs(1));
        let result = match &answer {
            Ok(answer) => answer.status.to_string(),
            Err(error) => error.to_string(),
        };
        let version = answer.ok().and_then(|answer| Json::parse(&answer.body)?.number("Version"));
        self.record
            .line(&format!("operator: GET at control-{machine} -> {result}, version {version:?}"));
        version
    }

    /// Sends a consumer's call and records it.
    pub fn consume(
        &self,
        entry: SocketAddr,
        method: &str,
        path: &str,
        key: &str,
        body: &str,
    ) -> Option<Response> {
        let deadline_ms = DEADLINE.as_millis().to_string();
        let mut headers = vec![("Host", "review.example"), ("Deadline-Ms", deadline_ms.as_str())];
        if !key.is_empty() {
            headers.push(("Api-Key", key));
        }
        let answer = http::call(entry, method, path, &headers, body, DEADLINE);
        let result = match &answer {
            Ok(answer) => format!("{} {}", answer.status, answer.text()),
            Err(error) => format!("no answer ({error})"),
        };
        self.record.line(&format!("consumer: {method} {path} -> {result}"));
        answer.ok()
    }

    /// Submits a job until it is accepted; returns `false` after 15 s.
    pub fn submit(&self, path: &str, key: &str, body: &str) -> bool {
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            let answer = self.consume(self.entry(), "POST", path, key, body);
            if answer.is_some_and(|answer| (200..300).contains(&answer.status)) {
                return true;
            }
            thread::sleep(Duration::from_millis(500));
        }
        false
    }
}

/// Returns a part of the loopback network whose addresses are free.
fn free_network() -> Option<[u8; 2]> {
    let mut seed = std::process::id()
        ^ std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).ok()?.subsec_nanos();
    for _ in 0..50 {
        seed = seed.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
        let network = [100 + (seed >> 8) as u8 % 100, 1 + (seed >> 16) as u8 % 250];
        let is_free = |machine: usize, port: u16| {
            let ip = Ipv4Addr::new(127, network[0], network[1], machine as u8 + 1);
            TcpListener::bind(SocketAddr::new(IpAddr::V4(ip), port)).is_ok()
        };
        let ports =
            [FRONT_PORT, READINESS_PORT, CONTROL_PORT, WORKER_PORT, WORKER_PORT + 1, FIRST_PORT];
        if (0..MACHINE_COUNT).all(|machine| ports.iter().all(|port| is_free(machine, *port))) {
            return Some(network);
        }
    }
    None
}

/// Waits until `condition` holds; returns `false` at the time limit.
pub fn wait_for<Condition>(limit: Duration, mut condition: Condition) -> bool
where
    Condition: FnMut() -> bool,
{
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if condition() {
            return true;
        }
        thread::sleep(Duration::from_millis(20));
    }
    condition()
}
