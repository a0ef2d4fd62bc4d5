//! Worker (a minion that runs work items), as the pages describe it.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Request, Response};
use crate::json::Json;
use crate::record::Record;

/// `MaxHoldMs` of the settings.
const MAX_HOLD_MS: u64 = 10_000;

/// `HeartbeatMs` of the settings.
const HEARTBEAT: Duration = Duration::from_millis(1_500);

const ZONE: &str = "zone-a";

/// GPUs of a worker in the site files.
const GPU_COUNT: u64 = 8;

/// Number of ends that a poll lists.
const LISTED_END_COUNT: usize = 500;

/// One boot of a worker.
#[derive(Clone)]
pub struct Worker {
    id: String,
    born: u64,
    address: SocketAddr,
    service: String,
    /// Time that a start or stop takes until it is answered.
    answer_delay: Duration,
    record: Record,
    state: Arc<Mutex<State>>,
    started_at: Instant,
    alive: Arc<AtomicBool>,
}

struct Running {
    begun_at: Instant,
    length: Duration,
    gpus: u64,
}

#[derive(Default)]
struct State {
    fence: u64,
    lease_ms: u64,
    running: BTreeMap<(String, u64), Running>,
    /// Highest run of each work item that was stopped or ended here.
    barred: BTreeMap<String, u64>,
    ended: Vec<(u64, String, u64, &'static str)>,
    end_count: u64,
    announcement_count: u64,
    draining: bool,
}

/// What a `Spec` of the review says: `ms=LENGTH;gpus=COUNT`.
fn spec_value(spec: &str, name: &str) -> u64 {
    let value = spec.split(';').find_map(|part| part.strip_prefix(name)?.strip_prefix('='));
    value.and_then(|value| value.parse().ok()).unwrap_or(0)
}

impl Worker {
    /// Starts a boot. Its requests come to [`Self::listen`] or [`Self::handle`].
    pub fn new(
        id: &str,
        address: SocketAddr,
        service: &str,
        answer_delay: Duration,
        record: &Record,
    ) -> Self {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
        let worker = Self {
            id: id.to_owned(),
            born,
            address,
            service: service.to_owned(),
            answer_delay,
            record: record.clone(),
            state: Arc::default(),
            started_at: Instant::now(),
            alive: Arc::new(AtomicBool::new(true)),
        };
        record.line(&format!("worker {} starts, born {born}", worker.name()));
        let ticking = worker.clone();
        thread::spawn(move || {
            while ticking.is_alive() {
                ticking.advance();
                thread::sleep(Duration::from_millis(5));
            }
        });
        worker
    }

    /// Serves requests at `address`.
    pub fn listen(&self, address: SocketAddr) -> std::io::Result<()> {
        let worker = self.clone();
        http::serve(TcpListener::bind(address)?, move || {
            let worker = worker.clone();
            move |request: &Request| worker.handle(request)
        });
        Ok(())
    }

    /// Name in the record: the ID and the boot.
    pub fn name(&self) -> String {
        format!("{}/{}", self.id, self.born % 1_000_000)
    }

    fn is_alive(&self) -> bool {
        self.alive.load(Ordering::SeqCst)
    }

    fn clock_ms(&self) -> u64 {
        // The clock of a boot starts anew; 1 s stands for the time before its server listens.
        self.started_at.elapsed().as_millis() as u64 + 1_000
    }

    /// Ends the boot; everything that runs on it terminates.
    pub fn end(&self) {
        self.alive.store(false, Ordering::SeqCst);
        let mut state = self.state.lock().unwrap();
        let running = std::mem::take(&mut state.running);
        for (task, number) in running.keys() {
            self.record.run_ended(task, *number, &self.name(), "ended with the worker");
        }
        self.record.line(&format!("worker {} has ended", self.name()));
    }

    pub fn set_draining(&self) {
        self.state.lock().unwrap().draining = true;
    }

    /// Body of the next ping.
    pub fn ping_body(&self) -> String {
        let mut state = self.state.lock().unwrap();
        state.announcement_count += 1;
        let (phase, remaining) =
            if state.draining { ("draining", ",\"RemainingMs\":2000") } else { ("ready", "") };
        format!(
            "{{\"Service\":\"{}\",\"Addr\":\"{}\",\"Zone\":\"{}\",\"Version\":\"v1\",\"Slots\":8,\
             \"State\":\"{phase}\",\"ColdLeftMs\":0,\"Capacity\":{{\"Cpu\":32000,\"MemMb\":131072,\
             \"Gpus\":{}}},\"Labels\":[\"a\",\"r1-1\"],\"ClockMs\":{},\"Seq\":{},\
             \"born\":{}{remaining}}}",
            self.service,
            self.address,
            ZONE,
            GPU_COUNT,
            self.clock_ms(),
            state.announcement_count,
            self.born,
        )
    }

    /// Sends a ping to `control` and returns `true` if it was acknowledged.
    pub fn ping(&self, control: SocketAddr) -> bool {
        let body = self.ping_body();
        let path = format!("/instances/{}", self.id);
        let timeout = Duration::from_secs(1);
        let answer = http::call(control, "PUT", &path, &[], &body, timeout);
        answer.is_ok_and(|answer| (200..300).contains(&answer.status))
    }

    /// Pings `control` as long as the boot lives.
    pub fn keep_pinging(&self, control: SocketAddr) {
        let worker = self.clone();
        thread::spawn(move || {
            while worker.is_alive() {
                let pause =
                    if worker.ping(control) { HEARTBEAT } else { Duration::from_millis(300) };
                thread::sleep(pause);
            }
        });
    }

    fn advance(&self) {
        let clock_ms = self.clock_ms();
        let mut state = self.state.lock().unwrap();
        let lapsed = clock_ms > state.lease_ms;
        let due: Vec<(String, u64)> = state
            .running
            .iter()
            .filter(|(_, run)| lapsed || run.begun_at.elapsed() >= run.length)
            .map(|(key, _)| key.clone())
            .collect();
        for key in due {
            self.end_run(&mut state, &key, if lapsed { "lapsed" } else { "done" });
        }
    }

    fn end_run(&self, state: &mut State, key: &(String, u64), how: &'static str) {
        if state.running.remove(key).is_none() {
            return;
        }
        let (task, number) = key;
        self.record.run_ended(task, *number, &self.name(), how);
        state.end_count += 1;
        let end = (state.end_count, task.clone(), *number, how);
        state.ended.push(end);
        let barred = state.barred.entry(task.clone()).or_default();
        *barred = (*barred).max(*number);
    }

    /// Handles a request; returns `None` once the boot has ended.
    pub fn handle(&self, request: &Request) -> Option<Response> {
        if !self.is_alive() {
            return None;
        }
        Some(self.respond(request))
    }

    fn respond(&self, request: &Request) -> Response {
        if request.header("expect-instance").is_some_and(|expected| expected != self.id) {
            return self.answer(421, "");
        }
        let Some(body) = Json::parse(&request.body) else { return self.answer(400, "") };
        match request.path.as_str() {
            "/run-start" => {
                let response = self.start(&body);
                thread::sleep(self.answer_delay);
                response
            }
            "/run-stop" => {
                let response = self.stop(&body);
                thread::sleep(self.answer_delay);
                response
            }
            "/hold" => self.hold(&body),
            _ => self.answer(404, ""),
        }
    }

    fn answer(&self, status: u16, fields: &str) -> Response {
        let body = format!("{{\"ClockMs\":{},\"born\":{}{fields}}}", self.clock_ms(), self.born);
        Response { status, body: body.into_bytes() }
    }

    fn fenced(&self, state: &mut State, body: &Json) -> bool {
        let token = body.number("FenceToken").unwrap_or(0);
        let fenced = token < state.fence;
        state.fence = state.fence.max(token);
        fenced
    }

    fn extend_lease(&self, state: &mut State, body: &Json) {
        if let Some(deadline_ms) = body.number("DeadlineMs") {
            let longest_ms = self.clock_ms() + MAX_HOLD_MS;
            state.lease_ms = state.lease_ms.max(deadline_ms.min(longest_ms));
        }
    }

    fn start(&self, body: &Json) -> Response {
        let (Some(task), Some(number)) = (body.text("Task"), body.number("RunId")) else {
            return self.answer(400, "");
        };
        let spec = body.text("Spec").unwrap_or_default();
        let refuse = |reason: &str| self.answer(409, &format!(",\"Reason\":\"{reason}\""));
        let mut state = self.state.lock().unwrap();
        if self.fenced(&mut state, body) {
            return refuse("fence");
        }
        if body.number("DeadlineMs").is_some_and(|deadline_ms| deadline_ms <= self.clock_ms()) {
            return refuse("late");
        }
        self.extend_lease(&mut state, body);
        let key = (task.to_owned(), number);
        if state.running.contains_key(&key) {
            return self.answer(200, "");
        }
        if state.barred.get(task).is_some_and(|barred| number <= *barred) {
            return refuse("old");
        }
        let used: u64 = state.running.values().map(|run| run.gpus).sum();
        let gpus = spec_value(spec, "gpus");
        if used + gpus > GPU_COUNT {
            return refuse("room");
        }
        let length = Duration::from_millis(spec_value(spec, "ms"));
        self.record.run_begun(task, number, &self.name());
        state.running.insert(key, Running { begun_at: Instant::now(), length, gpus });
        self.answer(200, "")
    }

    fn stop(&self, body: &Json) -> Response {
        let (Some(task), Some(number)) = (body.text("Task"), body.number("RunId")) else {
            return self.answer(400, "");
        };
        let mut state = self.state.lock().unwrap();
        if self.fenced(&mut state, body) {
            return self.answer(409, ",\"Reason\":\"fence\"");
        }
        self.record.line(&format!("worker {} is told to stop {task} run {number}", self.name()));
        self.end_run(&mut state, &(task.to_owned(), number), "stopped");
        let barred = state.barred.entry(task.to_owned()).or_default();
        *barred = (*barred).max(number);
        self.answer(200, "")
    }

    fn hold(&self, body: &Json) -> Response {
        {
            let mut state = self.state.lock().unwrap();
            if self.fenced(&mut state, body) {
                return self.answer(409, ",\"Reason\":\"fence\"");
            }
            self.extend_lease(&mut state, body);
            let acknowledged = body.number("AckSeq").unwrap_or(0);
            state.ended.retain(|(end, ..)| *end > acknowledged);
        }
        let until = Instant::now() + Duration::from_millis(body.number("WaitMs").unwrap_or(0));
        while Instant::now() < until && self.state.lock().unwrap().ended.is_empty() {
            thread::sleep(Duration::from_millis(5));
        }
        let state = self.state.lock().unwrap();
        let running: Vec<String> = state
            .running
            .iter()
            .map(|((task, number), run)| {
                let length_ms = run.length.as_millis().max(1);
                let percent = (run.begun_at.elapsed().as_millis() * 100 / length_ms).min(99);
                format!("[\"{task}\",{number},\"\",{percent},1000]")
            })
            .collect();
        let ended: Vec<String> = state
            .ended
            .iter()
            .take(LISTED_END_COUNT)
            .map(|(end, task, number, how)| format!("[{end},\"{task}\",{number},\"{how}\",\"\"]"))
            .collect();
        let fields =
            format!(",\"Running\":[{}],\"EndedRuns\":[{}]", running.join(","), ended.join(","));
        drop(state);
        self.answer(200, &fields)
    }
}
