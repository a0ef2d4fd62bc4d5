//! Guards against two winners of one generation, a changed answer to a resend, and generations that
//! go back, while two operators race through two entries and the control leader is killed.

#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
use support::{Deployment, STEP_LIMIT, organisation, seed, submit, wait_for_leader};
use tokio::sync::watch;
use tokio::task::JoinSet;
use yuccatack_stand_ins::CallerStandIn;

const PATH: &str = "/v1/records/organisation/putrajaya-club";
const LEADER_KILL_COUNT: usize = 3;
const DOWN_TIME: Duration = Duration::from_millis(700);
/// Shorter than an election, so that answers are lost and changes are sent again.
const ANSWER_LIMIT: Duration = Duration::from_millis(250);
const RESEND_WAIT: Duration = Duration::from_millis(20);
/// The share of sendings whose caller goes away before the answer, and when it goes.
const ABANDONED_SHARE: f64 = 0.25;
const ABANDONED_AFTER_MS: std::ops::Range<u64> = 1..10;
/// The share of accepted or refused changes that are sent once more.
const RESEND_SHARE: f64 = 0.25;

/// A change that was answered.
#[derive(Clone, Debug)]
struct Answered {
    change_id: String,
    replaces: u64,
    value: u64,
    answer: Value,
}

/// What one operator saw.
#[derive(Debug, Default)]
struct Log {
    answered: Vec<Answered>,
    lost_count: usize,
    /// The changes that were decided although an answer was lost.
    applied_count: usize,
    resend_count: usize,
    read_count: usize,
}

struct Operator {
    number: u64,
    entries: Vec<CallerStandIn>,
    random: ChaCha8Rng,
    log: Log,
    newest_seen: u64,
}

fn record(value: u64) -> Value {
    let mut record = organisation();
    record["request_rate_per_s"] = Value::from(value);
    record
}

impl Operator {
    fn entry(&mut self) -> CallerStandIn {
        let index = self.random.random_range(0..self.entries.len());
        self.entries[index].clone().with_timeout(ANSWER_LIMIT)
    }

    /// Reads the generation in force, which must not go back.
    async fn read(&mut self) -> u64 {
        let deadline = Instant::now() + STEP_LIMIT;
        loop {
            let answer = self.entry().get(PATH).await;
            if let Ok(answer) = &answer
                && let Some(generation) = answer.json()["generation"].as_u64()
            {
                self.log.read_count += 1;
                self.see(generation);
                return generation;
            }
            assert!(Instant::now() < deadline, "no read in time: {answer:?}");
            tokio::time::sleep(RESEND_WAIT).await;
        }
    }

    fn see(&mut self, generation: u64) {
        let newest = self.newest_seen;
        assert!(generation >= newest, "generation {generation} was read after {newest}");
        self.newest_seen = generation;
    }

    /// Sends a change with the same id through any entry until it is accepted or refused.
    async fn send(&mut self, change_id: &str, replaces: u64, value: u64) -> Value {
        let deadline = Instant::now() + STEP_LIMIT;
        let mut remembered = None;
        loop {
            let mut entry = self.entry();
            if self.random.random_bool(ABANDONED_SHARE) {
                let wait_ms = self.random.random_range(ABANDONED_AFTER_MS);
                entry = entry.with_timeout(Duration::from_millis(wait_ms));
            }
            let answer = entry.change(change_id, "change", replaces, record(value)).await;
            if let Ok(answer) = &answer {
                let document = answer.json();
                if document["outcome"] == "accepted" || document["outcome"] == "refused" {
                    if let Some(remembered) = remembered {
                        assert_eq!(document, remembered, "{change_id} got another answer");
                        self.log.applied_count += 1;
                    }
                    return document;
                }
            }
            self.log.lost_count += 1;
            assert!(Instant::now() < deadline, "{change_id} has no answer in time: {answer:?}");
            tokio::time::sleep(RESEND_WAIT).await;
            remembered = self.remembered_answer(change_id).await.or(remembered);
        }
    }

    /// The answer to a change that was decided although its answer was lost.
    async fn remembered_answer(&mut self, change_id: &str) -> Option<Value> {
        let answer = self.entry().get(&format!("/v1/changes/{change_id}")).await.ok()?;
        let document = answer.json();
        (document["known"] == true).then(|| document["answer"].clone())
    }

    /// Replaces the generation in force, which the other operator replaces too.
    async fn race(&mut self, round: u64) {
        let replaces = self.read().await;
        let change_id = format!("operator-{}-{round}", self.number);
        let value = 1000 + 2 * round + self.number;
        let answer = self.send(&change_id, replaces, value).await;
        if let Some(generation) = answer["generation"].as_u64() {
            self.see(generation);
        }
        self.log.answered.push(Answered { change_id, replaces, value, answer });
        if self.random.random_bool(RESEND_SHARE) {
            let index = self.random.random_range(0..self.log.answered.len());
            self.resend(index).await;
        }
    }

    async fn resend(&mut self, index: usize) {
        let Answered { change_id, replaces, value, answer } = self.log.answered[index].clone();
        let again = self.send(&change_id, replaces, value).await;
        assert_eq!(again, answer, "the resend of {change_id} got another answer");
        self.log.resend_count += 1;
    }

    async fn run(mut self, stop: watch::Receiver<bool>) -> Log {
        let mut round = 0;
        while !*stop.borrow() {
            self.race(round).await;
            round += 1;
        }
        self.log
    }
}

/// Requires exactly one winner for each generation and returns the values by generation.
fn winners(logs: &[Log], last: u64) -> BTreeMap<u64, u64> {
    let mut values = BTreeMap::new();
    for change in logs.iter().flat_map(|log| &log.answered) {
        if change.answer["outcome"] == "accepted" {
            assert_eq!(change.answer["generation"], change.replaces + 1, "{change:?}");
            let other = values.insert(change.replaces + 1, change.value);
            assert_eq!(other, None, "two changes won: {change:?}");
        } else {
            assert_eq!(change.answer["kind"], "conflict", "{change:?}");
            let current = change.answer["current_generation"].as_u64().unwrap();
            assert!(current > change.replaces, "refused without a winner: {change:?}");
        }
    }
    assert_eq!(values.keys().copied().collect::<Vec<u64>>(), (2..=last).collect::<Vec<u64>>());
    values
}

#[tokio::test(flavor = "multi_thread")]
async fn one_winner_per_generation() {
    let seed = seed(20_261_204);
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut deployment = Deployment::start(3).await;
    let entries = vec![deployment.operator(), deployment.add_second_entry()];
    submit(&entries[0], "organisation-1", record(1000)).await;

    let (stop, stopped) = watch::channel(false);
    let mut operators = JoinSet::new();
    for number in 0..2 {
        let operator = Operator {
            number,
            entries: entries.clone(),
            random: ChaCha8Rng::seed_from_u64(random.random()),
            log: Log::default(),
            newest_seen: 0,
        };
        operators.spawn(operator.run(stopped.clone()));
    }
    let mut leader = wait_for_leader(&entries[0], None).await;
    for _ in 0..LEADER_KILL_COUNT {
        tokio::time::sleep(Duration::from_millis(random.random_range(500..1000))).await;
        let name = format!("control-{leader}");
        deployment.kill(&name);
        tokio::time::sleep(DOWN_TIME).await;
        leader = wait_for_leader(&entries[0], Some(leader)).await;
        deployment.restart(&name);
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    stop.send_replace(true);
    let logs = operators.join_all().await;

    let stored = entries[1].get(PATH).await.unwrap().json();
    let last = stored["generation"].as_u64().unwrap();
    let values = winners(&logs, last);
    assert_eq!(stored["record"]["request_rate_per_s"], values[&last]);
    let answered: usize = logs.iter().map(|log| log.answered.len()).sum();
    let lost: usize = logs.iter().map(|log| log.lost_count).sum();
    let resends: usize = logs.iter().map(|log| log.resend_count).sum();
    let reads: usize = logs.iter().map(|log| log.read_count).sum();
    let applied: usize = logs.iter().map(|log| log.applied_count).sum();
    eprintln!("seed {seed}: {answered} changes, {} accepted, {reads} reads", values.len());
    eprintln!("{lost} answers lost, {applied} of these changes already decided");
    eprintln!("{resends} resends of answered changes");
    assert!(answered > values.len(), "no conflict arose");
    assert!(applied > 0, "no answer of a decided change was lost");
}
