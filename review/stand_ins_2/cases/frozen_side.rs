//! The machine beside a worker stands still while jobs come, and the queue's count of waiting jobs is
//! read.

use std::thread;
use std::time::{Duration, Instant};

use super::{Context, KEY, QUEUE, Setup, Verdict, job, manifest, route, worker};
use crate::deployment::{Deployment, SIGCONT, SIGSTOP, wait_for};
use crate::json::Json;

/// Largest length of `node_freeze` in the site file.
const FREEZE: Duration = Duration::from_millis(6_900);

/// `visible_ms` and 2 s.
const BOUND: Duration = Duration::from_millis(3_000 + 2_000);

const JOB_COUNT: usize = 4;

pub fn run(setup: &Setup, context: &Context) -> Option<Verdict> {
    let record = &setup.record;
    let deployment = context.start(setup)?;
    let worker = worker(&deployment, "i-0000e001", setup)?;
    deployment.start_agent(0)?;
    if !deployment.configure(&manifest(1, &[route("r-a", QUEUE)])) {
        return None;
    }
    worker.keep_pinging(deployment.agent(0));
    if !deployment.submit(&format!("{QUEUE}00000000000000f0"), KEY, &job(1, 500)) {
        return None;
    }
    let first_is_over = || record.runs().first().is_some_and(|run| run.ended.is_some());
    if !wait_for(Duration::from_secs(10), first_is_over) {
        return None;
    }
    thread::sleep(Duration::from_secs(1));
    let begun_count = || record.runs().len() - 1;
    let agent = Deployment::agent_name(0);
    if setup.trouble {
        deployment.signal(&agent, SIGSTOP);
    }
    let frozen_at = Instant::now();
    for number in 1..=JOB_COUNT {
        let path = format!("{QUEUE}00000000000000f{number}");
        if !deployment.submit(&path, KEY, &job(1, 500)) {
            return None;
        }
    }
    let accepted_at = Instant::now();
    let mut verdict = Verdict::Held;
    while frozen_at.elapsed() < FREEZE {
        thread::sleep(Duration::from_millis(200));
        let age = accepted_at.elapsed();
        let answer = deployment.consume(deployment.entry(), "GET", QUEUE, KEY, "");
        let waiting = answer.and_then(|answer| Json::parse(&answer.body)?.number("Waiting"));
        let not_begun_count = JOB_COUNT.saturating_sub(begun_count());
        let is_low = waiting.is_some_and(|waiting| 2 * waiting < not_begun_count as u64);
        if age > BOUND && is_low {
            verdict = Verdict::Broken(format!(
                "`Waiting` is {}, and {not_begun_count} jobs that were accepted {} ms before have \
                 not begun",
                waiting.unwrap_or_default(),
                age.as_millis()
            ));
        }
    }
    if setup.trouble {
        deployment.signal(&agent, SIGCONT);
    }
    thread::sleep(Duration::from_secs(5));
    Some(verdict)
}
