//! A manifest drops a queue, and another queue gets a job whose ID was used in the dropped one.

use std::thread;
use std::time::Duration;

use super::{Context, KEY, QUEUE, Setup, Verdict, job, manifest, route, state_of, worker};
use crate::deployment::wait_for;

const OTHER_QUEUE: &str = "/rank/";
const ID: &str = "00000000000000b1";

pub fn run(setup: &Setup, context: &Context) -> Option<Verdict> {
    let record = &setup.record;
    let deployment = context.start(setup)?;
    let worker = worker(&deployment, "i-0000b001", setup)?;
    deployment.start_agent(0)?;
    let (queue, other_queue) = (route("r-a", QUEUE), route("r-b", OTHER_QUEUE));
    if !deployment.configure(&manifest(1, &[queue.clone(), other_queue.clone()])) {
        return None;
    }
    worker.keep_pinging(deployment.agent(0));
    let path = format!("{QUEUE}{ID}");
    if !deployment.submit(&path, KEY, &job(1, 500)) {
        return None;
    }
    let entry = deployment.entry();
    let is_completed = |path: &str| {
        thread::sleep(Duration::from_millis(500));
        state_of(deployment.consume(entry, "GET", path, KEY, "")) == "completed"
    };
    if !wait_for(Duration::from_secs(15), || is_completed(&path)) {
        return None;
    }
    let routes = if setup.trouble { vec![other_queue] } else { vec![queue, other_queue] };
    if !deployment.configure(&manifest(5, &routes)) {
        return None;
    }
    // `ConfigApplyMs` and more.
    thread::sleep(Duration::from_secs(4));
    let earlier_count = record.runs().len();
    let other_path = format!("{OTHER_QUEUE}{ID}");
    if !deployment.submit(&other_path, KEY, &job(1, 700)) {
        return None;
    }
    // `finish_s` and more.
    let mut shown_without_run = false;
    for _ in 0..32 {
        let is_completed = is_completed(&other_path);
        let has_run = record.runs().len() > earlier_count;
        shown_without_run |= is_completed && !has_run;
        if is_completed && has_run {
            break;
        }
    }
    let has_run = record.runs().len() > earlier_count;
    Some(match (shown_without_run, has_run) {
        (true, _) => Verdict::Broken(
            "an accepted job is shown as completed, and no worker was told to start it".to_owned(),
        ),
        (false, false) => Verdict::Broken("an accepted job was never started".to_owned()),
        (false, true) => Verdict::Held,
    })
}
