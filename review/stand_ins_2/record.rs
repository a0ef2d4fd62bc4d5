//! Record of what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Work item that a worker runs or ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub task: String,
    pub number: u64,
    pub worker: String,
    pub begun_ms: u64,
    pub ended: Option<(u64, String)>,
}

#[derive(Clone)]
pub struct Record {
    started_at: Instant,
    state: Arc<Mutex<State>>,
}

struct State {
    file: File,
    runs: Vec<Run>,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Self> {
        let state = State { file: File::create(path)?, runs: Vec::new() };
        Ok(Self { started_at: Instant::now(), state: Arc::new(Mutex::new(state)) })
    }

    pub fn now_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let now_ms = self.now_ms();
        let mut state = self.state.lock().unwrap();
        let line = format!("{:>7.3} s  {text}", now_ms as f64 / 1000.0);
        println!("{line}");
        // Without a record the exit status still tells the result.
        let _ = writeln!(state.file, "{line}");
    }

    pub fn run_begun(&self, task: &str, number: u64, worker: &str) {
        self.line(&format!("worker {worker} begins {task} run {number}"));
        let begun_ms = self.now_ms();
        let run =
            Run { task: task.to_owned(), number, worker: worker.to_owned(), begun_ms, ended: None };
        self.state.lock().unwrap().runs.push(run);
    }

    pub fn run_ended(&self, task: &str, number: u64, worker: &str, how: &str) {
        self.line(&format!("worker {worker} ends {task} run {number}: {how}"));
        let now_ms = self.now_ms();
        let mut state = self.state.lock().unwrap();
        let is_it = |run: &&mut Run| {
            run.task == task && run.number == number && run.worker == worker && run.ended.is_none()
        };
        if let Some(run) = state.runs.iter_mut().find(is_it) {
            run.ended = Some((now_ms, how.to_owned()));
        }
    }

    pub fn runs(&self) -> Vec<Run> {
        self.state.lock().unwrap().runs.clone()
    }

    /// Returns the runs of the work items of a job.
    pub fn runs_of(&self, job: &str) -> Vec<Run> {
        let prefix = format!("{job}.");
        self.runs().into_iter().filter(|run| run.task.starts_with(&prefix)).collect()
    }
}
