//! Stand-in of a minion that runs work items, as a process of its own.
//!
//! It serves `/run-start`, `/run-stop` and `/hold`, pings the node on its machine, and ends its
//! runs when their work is done or its lease has expired. What it begins and ends goes to a file.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http;
use crate::json::Json;

/// Longest lease, `MaxHoldMs` of the settings.
pub const MAX_HOLD_MS: u64 = 10_000;

/// Interval of the pings, `HeartbeatMs` of the settings.
pub const HEARTBEAT: Duration = Duration::from_millis(1_500);

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

#[derive(Clone, Debug)]
pub struct WorkerConfig {
    pub id: String,
    pub address: SocketAddr,
    pub agent: SocketAddr,
    pub label: String,
    pub events: String,
    /// Delay of the first ping.
    pub first_ping_ms: u64,
}

impl WorkerConfig {
    pub fn from_arguments(arguments: &[String]) -> Self {
        Self {
            id: arguments[0].clone(),
            address: arguments[1].parse().unwrap(),
            agent: arguments[2].parse().unwrap(),
            label: arguments[3].clone(),
            events: arguments[4].clone(),
            first_ping_ms: arguments[5].parse().unwrap(),
        }
    }
}

struct Run {
    began_at: Instant,
    work: Duration,
}

struct Worker {
    id: String,
    born: u64,
    started_at: Instant,
    events: File,
    token: u64,
    lease_until_ms: u64,
    running: BTreeMap<(String, u64), Run>,
    /// Highest run of each task that was stopped or has ended here.
    closed: BTreeMap<String, u64>,
    ended: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    /// Number of the last end before the lease last lapsed; ends up to it are not taken note of.
    last_end_before_lapse: u64,
}

/// Body of a ping.
pub fn ping_body(config: &WorkerConfig, born: u64, clock_ms: u64, seq: u64) -> String {
    format!(
        "{{\"Service\":\"pool\",\"Addr\":\"{}\",\"Zone\":\"zone-a\",\"Version\":\"v1\",\"Slots\":8,\
         \"State\":\"ready\",\"ColdLeftMs\":0,\
         \"Capacity\":{{\"Cpu\":32000,\"MemMb\":131072,\"Gpus\":8}},\
         \"Labels\":[\"{}\",\"r1-1\"],\"ClockMs\":{clock_ms},\"Seq\":{seq},\"born\":{born}}}",
        config.address, config.label
    )
}

/// Runs a worker until the process is killed.
pub fn run(config: WorkerConfig) {
    let listener = TcpListener::bind(config.address).expect("the worker's address is free");
    let events = File::options().create(true).append(true).open(&config.events).unwrap();
    let born = unix_ms();
    let mut worker = Worker {
        id: config.id.clone(),
        born,
        started_at: Instant::now(),
        events,
        token: 0,
        lease_until_ms: 0,
        running: BTreeMap::new(),
        closed: BTreeMap::new(),
        ended: Vec::new(),
        last_end: 0,
        last_end_before_lapse: 0,
    };
    worker.note("boot", "-", 0, "");
    let shared = Arc::new((Mutex::new(worker), Condvar::new()));
    let served = Arc::clone(&shared);
    http::serve(listener, move |request| handle(&served, &request));
    let pinging = Arc::clone(&shared);
    thread::spawn(move || {
        thread::sleep(Duration::from_millis(config.first_ping_ms));
        for seq in 1.. {
            let clock_ms = pinging.0.lock().unwrap().clock_ms();
            let body = ping_body(&config, born, clock_ms, seq);
            let path = format!("/instances/{}", config.id);
            http::call(config.agent, "PUT", &path, &[], &body, Duration::from_secs(1));
            thread::sleep(HEARTBEAT);
        }
    });
    loop {
        thread::sleep(Duration::from_millis(5));
        if shared.0.lock().unwrap().end_due_runs() {
            shared.1.notify_all();
        }
    }
}

fn handle(shared: &(Mutex<Worker>, Condvar), request: &http::Request) -> (u16, String) {
    let Some(body) = Json::parse(&request.body) else { return (400, "{}".to_owned()) };
    let mut worker = shared.0.lock().unwrap();
    worker.end_due_runs();
    let clock_ms = worker.clock_ms();
    if request.headers.get("expect-instance").is_some_and(|expected| *expected != worker.id) {
        return (421, format!("{{\"ClockMs\":{clock_ms}}}"));
    }
    let refused =
        |reason: &str| (409, format!("{{\"ClockMs\":{clock_ms},\"Reason\":\"{reason}\"}}"));
    if body.number("FenceToken") < worker.token {
        return refused("fence");
    }
    worker.token = body.number("FenceToken");
    let (task, run) = (body.text("Task"), body.number("RunId"));
    let until_ms = body.number("DeadlineMs").min(clock_ms + MAX_HOLD_MS);
    match request.path.as_str() {
        "/run-start" => {
            if until_ms < clock_ms {
                return refused("late");
            }
            worker.lease_until_ms = worker.lease_until_ms.max(until_ms);
            if worker.running.contains_key(&(task.clone(), run)) {
                return (200, format!("{{\"ClockMs\":{clock_ms}}}"));
            }
            if worker.closed.get(&task).is_some_and(|closed| run <= *closed) {
                return refused("old");
            }
            worker.note("start", &task, run, "");
            // The payload names the work in milliseconds.
            let work = Duration::from_millis(body.text("Spec").parse().unwrap_or(1_000));
            // Equal work items take up to a tenth longer, each by another time.
            let factor = task.bytes().fold(7_u32, |sum, byte| (sum * 31 + u32::from(byte)) % 1_009);
            let work = work + work * factor / 10_090;
            worker.running.insert((task, run), Run { began_at: Instant::now(), work });
        }
        "/run-stop" => {
            worker.close(&task, run);
            worker.end(&task, run, "stopped");
            shared.1.notify_all();
        }
        "/hold" => {
            if body.has("DeadlineMs") {
                worker.lease_until_ms = worker.lease_until_ms.max(until_ms);
            }
            let acknowledged = body.number("AckSeq");
            worker.take_note(acknowledged);
            let wait = Duration::from_millis(body.number("WaitMs").min(2_000));
            let deadline = Instant::now() + wait;
            while worker.ended.is_empty() && Instant::now() < deadline {
                let left = deadline.saturating_duration_since(Instant::now());
                worker = shared.1.wait_timeout(worker, left).unwrap().0;
            }
            return (200, worker.lists());
        }
        _ => return (404, "{}".to_owned()),
    }
    (200, format!("{{\"ClockMs\":{clock_ms}}}"))
}

impl Worker {
    fn clock_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    fn note(&mut self, event: &str, task: &str, run: u64, how: &str) {
        let line = format!("{} {event} {}@{} {task} {run} {how}\n", unix_ms(), self.id, self.born);
        let _ = self.events.write_all(line.as_bytes());
    }

    fn close(&mut self, task: &str, run: u64) {
        let closed = self.closed.entry(task.to_owned()).or_default();
        *closed = run.max(*closed);
    }

    fn end(&mut self, task: &str, run: u64, how: &'static str) {
        if self.running.remove(&(task.to_owned(), run)).is_none() {
            return;
        }
        self.note("end", task, run, how);
        self.close(task, run);
        self.last_end += 1;
        self.ended.push((self.last_end, task.to_owned(), run, how));
    }

    /// Forgets the ends up to `acknowledged`. Those since the lease last lapsed count as taken note of.
    fn take_note(&mut self, acknowledged: u64) {
        let (noted, left) = std::mem::take(&mut self.ended)
            .into_iter()
            .partition(|(number, ..)| *number <= acknowledged);
        self.ended = left;
        let noted: Vec<(u64, String, u64, &'static str)> = noted;
        for (number, task, run, how) in noted {
            if number > self.last_end_before_lapse {
                self.note("noted", &task, run, how);
            }
        }
    }

    /// Ends the runs whose work is done, or all runs once the lease has expired.
    fn end_due_runs(&mut self) -> bool {
        let lapsed = self.clock_ms() > self.lease_until_ms;
        if lapsed {
            self.last_end_before_lapse = self.last_end;
        }
        let end = |run: &Run| {
            if lapsed {
                return Some("lapsed");
            }
            (run.began_at.elapsed() >= run.work).then_some("done")
        };
        let due: Vec<(String, u64, &'static str)> = self
            .running
            .iter()
            .filter_map(|((task, number), run)| Some((task.clone(), *number, end(run)?)))
            .collect();
        for (task, run, how) in &due {
            self.end(task, *run, how);
        }
        !due.is_empty()
    }

    fn lists(&self) -> String {
        let running: Vec<String> = self
            .running
            .iter()
            .map(|((task, number), run)| {
                let percent =
                    run.began_at.elapsed().as_millis() * 100 / run.work.as_millis().max(1);
                let percent = percent.min(99);
                format!("[\"{task}\",{number},\"\",{percent},1000]")
            })
            .collect();
        let ended: Vec<String> = self
            .ended
            .iter()
            .take(500)
            .map(|(number, task, run, how)| format!("[{number},\"{task}\",{run},\"{how}\",\"\"]"))
            .collect();
        format!(
            "{{\"ClockMs\":{},\"Running\":[{}],\"EndedRuns\":[{}],\"born\":{}}}",
            self.clock_ms(),
            running.join(","),
            ended.join(","),
            self.born
        )
    }
}
