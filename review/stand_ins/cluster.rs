//! A small deployment: the project's own programs as processes on loopback addresses, and the
//! stand-ins of the operator, the consumers and the minions.

use std::fs;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::json::Json;
use crate::worker::{MAX_HOLD_MS, unix_ms};

/// Command of the deploy file that starts a role.
const PROGRAM: &str = "target/release/yuccatack";

pub const CONTROL_COUNT: usize = 5;
const FIRST_WORKER: usize = CONTROL_COUNT + 1;
const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;
const PARENT_DEATH_SIGNAL: i32 = 1;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64) -> i32;
}

/// Manifest with one queue, one pool and one tenant.
pub const MANIFEST: &str = r#"{"Version":3,"Routes":[{"Name":"r-1","Host":"jobs.example","PathPrefix":"/q/","Kind":"non_idempotent","TimeoutMs":3000,"SloMs":3000,"Priority":1,"Service":"pool","MaxAttempts":3,"Stretch":3.0,"Public":false}],"Services":[{"Name":"pool","HealthPath":"/health","MaxConns":64,"Protocol":"h1","Tls":false,"AdmissionControl":true,"Standby":false}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},"Tenants":[{"Name":"t1","ApiKeys":["k1"],"Priority":1,"Guaranteed":{"Gpus":0}}]}"#;

/// Outcome of a case that could not run.
#[derive(Debug)]
pub struct CannotRun(pub String);

pub type Outcome<T> = Result<T, CannotRun>;

fn cannot<T>(text: &str) -> Outcome<T> {
    Err(CannotRun(text.to_owned()))
}

pub struct Cluster {
    folder: PathBuf,
    network: [u8; 2],
    port: u16,
    processes: Vec<(String, Child)>,
    record: Vec<(u64, String)>,
    worker_count: usize,
}

impl Cluster {
    /// Starts the control replicas, an entry, and an agent for each worker. The workers themselves
    /// are started by the case.
    pub fn start(worker_count: usize) -> Outcome<Self> {
        let id = std::process::id();
        let folder = std::env::temp_dir().join(format!("yuccatack-review-{id}-{}", unix_ms()));
        fs::create_dir_all(&folder).map_err(|error| CannotRun(error.to_string()))?;
        let network = [64 + (id % 128) as u8, (id / 128 % 250) as u8];
        let mut cluster = Self {
            folder,
            network,
            port: 0,
            processes: Vec::new(),
            record: Vec::new(),
            worker_count,
        };
        cluster.port = cluster.free_ports()?;
        for machine in 0..CONTROL_COUNT {
            cluster.start_role("control", machine, true)?;
        }
        cluster.start_role("entry", CONTROL_COUNT, true)?;
        for worker in 0..worker_count {
            cluster.start_role("agent", FIRST_WORKER + worker, true)?;
        }
        Ok(cluster)
    }

    /// Finds 20 ports that are free on all addresses of the deployment.
    fn free_ports(&self) -> Outcome<u16> {
        let first = 20_000 + (unix_ms() % 400) as u16 * 20;
        for port in (first..30_000).step_by(20) {
            let machines = 0..FIRST_WORKER + self.worker_count;
            let all_free = machines
                .flat_map(|machine| (0..20).map(move |n| (machine, n)))
                .all(|(machine, n)| TcpListener::bind(self.address(machine, port + n)).is_ok());
            if all_free {
                return Ok(port);
            }
        }
        cannot("no free ports")
    }

    fn ip(&self, machine: usize) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.network[0], self.network[1], machine as u8 + 1))
    }

    fn address(&self, machine: usize, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip(machine), port)
    }

    pub fn entry(&self) -> SocketAddr {
        self.address(CONTROL_COUNT, self.port + 16)
    }

    pub fn control(&self, index: usize) -> SocketAddr {
        self.address(index, self.port + 18)
    }

    pub fn agent(&self, worker: usize) -> SocketAddr {
        self.address(FIRST_WORKER + worker, self.port + 18)
    }

    pub fn worker(&self, worker: usize) -> SocketAddr {
        self.address(FIRST_WORKER + worker, self.port + 19)
    }

    pub fn events_file(&self) -> PathBuf {
        self.folder.join("events")
    }

    fn settings(&self, role: &str, machine: usize, first_start: bool) -> String {
        let (ip, port) = (self.ip(machine), self.port);
        let seeds: Vec<String> = (0..3).map(|seed| format!("\"{}\"", self.control(seed))).collect();
        let (class, listen, extra) = match role {
            "entry" => (
                "front",
                format!("Front = \"{ip}:{}\"\nReadiness = \"{ip}:{}\"\n", port + 16, port + 17),
                String::new(),
            ),
            "agent" => (
                "side",
                format!("Control = \"{ip}:{}\"\n", port + 18),
                format!("app = \"{ip}:{}\"\n", port + 19),
            ),
            _ => (
                "core",
                format!("Control = \"{ip}:{}\"\n", port + 18),
                format!(
                    "DataDir = \"{}\"\n",
                    self.folder.join(format!("data-{machine}")).display()
                ),
            ),
        };
        format!(
            "Node = \"{role}-{machine}\"\nRole = \"{role}\"\nMachineClass = \"{class}\"\n\
             Ip = \"{ip}\"\nZone = \"zone-a\"\nRegion = \"region-a\"\nPortRange = [{port},{}]\n\
             Seeds = [{}]\nBootstrap = {first_start}\nToleranceMember = {}\n\
             Discovery = \"local\"\nEntry = \"vip\"\nHeartbeatMs = 1500\nOrders = \"rpc\"\n{extra}\
             [Listen]\n{listen}[FaultTolerance]\nMachines = 2\nZones = 0\nRegions = 0\n[Bounds]\n\
             ContactMs = 3000\nAckMs = 4000\nDrainMs = 2000\nGraceS = 6\nMaxHoldMs = {MAX_HOLD_MS}\n\
             StopTimeoutMs = 400\nGangWaitMs = 3000\ncancel_ms = 3000\nvisible_ms = 3000\n\
             FarFactor = 3\n",
            port + 15,
            seeds.join(","),
            class == "core",
        )
    }

    /// Starts a role of the project on a machine.
    fn start_role(&mut self, role: &str, machine: usize, first_start: bool) -> Outcome<()> {
        let name = format!("{role}-{machine}");
        let settings = self.folder.join(format!("{name}.toml"));
        fs::write(&settings, self.settings(role, machine, first_start))
            .map_err(|error| CannotRun(error.to_string()))?;
        let mut command = Command::new(PROGRAM);
        command.args(["host", role]).env("YUCCATACK_BOOT", &settings);
        self.spawn(name, command)
    }

    /// Starts a worker stand-in as a process, named `worker-N`.
    pub fn start_worker(
        &mut self,
        worker: usize,
        id: &str,
        label: &str,
        first_ping_ms: u64,
    ) -> Outcome<()> {
        let program = std::env::current_exe().map_err(|error| CannotRun(error.to_string()))?;
        let mut command = Command::new(program);
        command.arg("worker").arg(id).arg(self.worker(worker).to_string());
        command.arg(self.agent(worker).to_string()).arg(label);
        command.arg(self.events_file()).arg(first_ping_ms.to_string());
        self.spawn(format!("worker-{worker}"), command)
    }

    fn spawn(&mut self, name: String, mut command: Command) -> Outcome<()> {
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{name}.log")))
            .map_err(|error| CannotRun(error.to_string()))?;
        command.stdin(Stdio::null()).stderr(Stdio::null()).stdout(log);
        // The process ends with this one, however this one ends.
        unsafe {
            command.pre_exec(|| {
                prctl(PARENT_DEATH_SIGNAL, SIGKILL as u64);
                Ok(())
            });
        }
        let child = command.spawn().map_err(|error| CannotRun(format!("{name}: {error}")))?;
        self.processes.push((name, child));
        Ok(())
    }

    pub fn signal(&mut self, name: &str, signal: i32) {
        self.note(&format!("signal {signal} to {name}"));
        for (_, child) in self.processes.iter().filter(|(other, _)| other == name) {
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Kills a process without notice.
    pub fn kill(&mut self, name: &str) {
        self.note(&format!("kill {name}"));
        self.remove(name, |child| {
            let _ = child.kill();
            let _ = child.wait();
        });
    }

    /// Sends SIGTERM and waits until the process has ended.
    pub fn terminate(&mut self, name: &str) {
        self.note(&format!("terminate {name}"));
        self.remove(name, |child| {
            unsafe { kill(child.id() as i32, SIGTERM) };
            let _ = child.wait();
        });
        self.note(&format!("{name} has ended"));
    }

    fn remove(&mut self, name: &str, end: impl FnOnce(&mut Child)) {
        if let Some(index) = self.processes.iter().position(|(other, _)| other == name) {
            let (_, mut child) = self.processes.remove(index);
            end(&mut child);
        }
    }

    /// Name of the agent's process beside a worker.
    pub fn agent_name(worker: usize) -> String {
        format!("agent-{}", FIRST_WORKER + worker)
    }

    pub fn start_agent(&mut self, worker: usize) -> Outcome<()> {
        self.note(&format!("start {}", Self::agent_name(worker)));
        self.start_role("agent", FIRST_WORKER + worker, false)
    }

    pub fn start_control(&mut self, index: usize) -> Outcome<()> {
        self.note(&format!("start control-{index}"));
        self.start_role("control", index, false)
    }

    pub fn note(&mut self, text: &str) {
        self.record.push((unix_ms(), text.to_owned()));
    }

    /// Sends a manifest until it is acknowledged.
    pub fn configure(&mut self, manifest: &str, limit: Duration) -> Outcome<()> {
        let deadline = Instant::now() + limit;
        for attempt in 0.. {
            let address = self.control(attempt % CONTROL_COUNT);
            let answer =
                http::call(address, "PUT", "/config", &[], manifest, Duration::from_secs(1));
            if let Some((200, _)) = answer {
                self.note("manifest acknowledged");
                return Ok(());
            }
            if Instant::now() > deadline {
                return cannot("the manifest was not acknowledged");
            }
            thread::sleep(Duration::from_millis(200));
        }
        Ok(())
    }

    /// One call of a consumer.
    pub fn consumer_call(
        &mut self,
        method: &str,
        path: &str,
        key: &str,
        body: &str,
    ) -> Option<(u16, String)> {
        let headers = [("Host", "jobs.example"), ("Api-Key", key), ("Deadline-Ms", "3000")];
        let answer = http::call(self.entry(), method, path, &headers, body, Duration::from_secs(3));
        self.note(&format!("{method} {path} key {key} {body} -> {answer:?}"));
        answer
    }

    /// Submits a job under one name until it is accepted.
    pub fn submit(&mut self, path: &str, key: &str, body: &str, limit: Duration) -> Outcome<()> {
        let deadline = Instant::now() + limit;
        loop {
            if let Some((200, _)) = self.consumer_call("POST", path, key, body) {
                return Ok(());
            }
            if Instant::now() > deadline {
                return cannot("the job was not accepted");
            }
            thread::sleep(Duration::from_millis(300));
        }
    }

    /// State of a job as a consumer reads it.
    pub fn state(&mut self, path: &str, key: &str) -> Option<String> {
        let (status, body) = self.consumer_call("GET", path, key, "")?;
        (status == 200)
            .then(|| Json::parse(&body).map(|body| body.text("State")).unwrap_or_default())
    }

    /// What the workers have begun and ended so far.
    pub fn events(&self) -> Vec<Event> {
        let text = fs::read_to_string(self.events_file()).unwrap_or_default();
        text.lines().filter_map(Event::parse).collect()
    }

    /// Waits until an event of the workers fits.
    pub fn wait_for(
        &self,
        what: &str,
        limit: Duration,
        fits: impl Fn(&Event) -> bool,
    ) -> Outcome<Event> {
        let deadline = Instant::now() + limit;
        loop {
            if let Some(event) = self.events().into_iter().find(|event| fits(event)) {
                return Ok(event);
            }
            if Instant::now() > deadline {
                return cannot(&format!("not seen in time: {what}"));
            }
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// Ends all processes and writes `record.txt`; keeps the processes' output if `KEEP` is set.
    pub fn finish(&mut self, case: &Path, verdict: &str) {
        for (_, child) in &mut self.processes {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.processes.clear();
        let events = self.events();
        let mut lines: Vec<(u64, String)> = self.record.clone();
        lines.extend(events.iter().map(|event| (event.at_ms, event.to_string())));
        lines.sort_by_key(|(at_ms, _)| *at_ms);
        let first = lines.first().map_or(0, |(at_ms, _)| *at_ms);
        let mut text = String::new();
        for (at_ms, line) in lines {
            text.push_str(&format!("{:8.3} s  {line}\n", (at_ms - first) as f64 / 1000.0));
        }
        text.push_str(&format!("{verdict}\n"));
        let _ = fs::write(case.join("record.txt"), text);
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        } else {
            println!("output of the processes: {}", self.folder.display());
        }
    }
}

/// Starts a deployment, plays a case on it, ends all processes and writes the record.
pub fn play_on(
    worker_count: usize,
    case: &Path,
    run: impl FnOnce(&mut Cluster) -> Outcome<Vec<String>>,
) -> Outcome<Vec<String>> {
    let mut cluster = Cluster::start(worker_count)?;
    let result = run(&mut cluster);
    let verdict = match &result {
        Ok(breaks) if breaks.is_empty() => "the rule held".to_owned(),
        Ok(breaks) => format!("the rule was broken: {}", breaks.join("; ")),
        Err(error) => format!("the case could not run: {}", error.0),
    };
    cluster.finish(case, &verdict);
    result
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for (_, child) in &mut self.processes {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Line of the workers' file.
#[derive(Clone, Debug)]
pub struct Event {
    pub at_ms: u64,
    pub kind: String,
    pub boot: String,
    pub task: String,
    pub run: u64,
    pub how: String,
}

impl Event {
    /// Start of the boot, which the events name.
    pub fn at_born(&self) -> u64 {
        self.boot.split('@').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    fn parse(line: &str) -> Option<Self> {
        let mut words = line.split(' ');
        Some(Self {
            at_ms: words.next()?.parse().ok()?,
            kind: words.next()?.to_owned(),
            boot: words.next()?.to_owned(),
            task: words.next()?.to_owned(),
            run: words.next()?.parse().ok()?,
            how: words.next().unwrap_or_default().to_owned(),
        })
    }
}

impl std::fmt::Display for Event {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self { kind, boot, task, run, how, .. } = self;
        write!(formatter, "minion {boot}: {kind} {task} run {run} {how}")
    }
}

/// Time for which each run of a work item was at work.
#[derive(Clone, Debug)]
pub struct Span {
    pub boot: String,
    pub run: u64,
    pub from_ms: u64,
    pub to_ms: u64,
    pub how: String,
}

impl std::fmt::Display for Span {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self { boot, run, from_ms, to_ms, how } = self;
        write!(formatter, "run {run} on minion {boot} ({how} after {} ms)", to_ms - from_ms)
    }
}

/// Returns the spans of the runs of `task`. A boot in `crashed` ends all its runs at the time given.
pub fn spans(events: &[Event], task: &str, crashed: &[(String, u64)], now_ms: u64) -> Vec<Span> {
    let starts = events.iter().filter(|event| event.kind == "start" && event.task == task);
    starts
        .map(|start| {
            let end = events.iter().find(|event| {
                event.kind == "end"
                    && event.task == task
                    && event.run == start.run
                    && event.boot == start.boot
            });
            let crash = crashed.iter().find(|(boot, _)| *boot == start.boot);
            let (to_ms, how) = match (end, crash) {
                (Some(end), _) => (end.at_ms, end.how.clone()),
                (None, Some((_, at_ms))) => (*at_ms, "crashed".to_owned()),
                (None, None) => (now_ms, "at work".to_owned()),
            };
            Span { boot: start.boot.clone(), run: start.run, from_ms: start.at_ms, to_ms, how }
        })
        .collect()
}

/// Breaks of rule TWICE among the runs of a work item: two at the same time, or a start after a run
/// has ended `done`, if that end is taken note of at any time.
pub fn twice(events: &[Event], task: &str, crashed: &[(String, u64)], now_ms: u64) -> Vec<String> {
    let spans = spans(events, task, crashed, now_ms);
    let noted = |span: &Span| {
        events.iter().any(|event| {
            event.kind == "noted"
                && event.task == task
                && event.run == span.run
                && event.boot == span.boot
        })
    };
    let mut breaks = Vec::new();
    for (index, one) in spans.iter().enumerate() {
        for other in &spans[index + 1..] {
            let overlap = one.to_ms.min(other.to_ms).saturating_sub(one.from_ms.max(other.from_ms));
            if overlap > 0 {
                breaks.push(format!(
                    "{task}: two runs at the same time for {overlap} ms: {one}; {other}"
                ));
                continue;
            }
            let (first, then) =
                if one.from_ms <= other.from_ms { (one, other) } else { (other, one) };
            if first.how == "done" && noted(first) {
                let after_ms = then.from_ms - first.to_ms;
                breaks.push(format!("{task}: {then} began {after_ms} ms after the end of {first}"));
            }
        }
    }
    breaks
}
