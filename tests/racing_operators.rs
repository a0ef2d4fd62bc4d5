//! Guards against two accepted changes of one generation, a different response to a resend, and
//! reads of an older generation. Two operators change one record through two entries while the
//! control leader is killed repeatedly.

#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
use support::{Deployment, STEP_TIMEOUT, organisation, seed, submit, wait_for_leader};
use tokio::sync::watch;
use tokio::task::JoinSet;
use yuccatack_stand_ins::CallerStandIn;

const PATH: &str = "/v1/records/organisation/putrajaya-club";
const LEADER_KILL_COUNT: usize = 3;
const DOWN_TIME: Duration = Duration::from_millis(700);
/// Shorter than an election, so that responses are lost and changes are sent again.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(250);
const RESEND_DELAY: Duration = Duration::from_millis(20);
/// Share of submissions whose caller disconnects before the response, and the time until it does.
const ABANDONED_RATIO: f64 = 0.25;
const ABANDONED_AFTER_MS: std::ops::Range<u64> = 1..10;
/// Share of accepted or refused changes that are sent again.
const RESEND_RATIO: f64 = 0.25;

/// A change that was accepted or refused.
#[derive(Clone, Debug)]
struct DecidedChange {
    change_id: String,
    replaces: u64,
    value: u64,
    answer: Value,
}

/// Changes and counts of one operator.
#[derive(Debug, Default)]
struct History {
    decided: Vec<DecidedChange>,
    lost_count: usize,
    /// Number of changes that were decided although a response was lost.
    applied_count: usize,
    resend_count: usize,
    read_count: usize,
}

struct Operator {
    number: u64,
    entries: Vec<CallerStandIn>,
    random: ChaCha8Rng,
    history: History,
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
        self.entries[index].clone().with_timeout(RESPONSE_TIMEOUT)
    }

    /// Reads the generation in force and checks that it is not older than one seen before.
    async fn read(&mut self) -> u64 {
        let deadline = Instant::now() + STEP_TIMEOUT;
        loop {
            let answer = self.entry().get(PATH).await;
            if let Ok(answer) = &answer
                && let Some(generation) = answer.json()["generation"].as_u64()
            {
                self.history.read_count += 1;
                self.check_generation(generation);
                return generation;
            }
            assert!(Instant::now() < deadline, "the record was not read in time: {answer:?}");
            tokio::time::sleep(RESEND_DELAY).await;
        }
    }

    fn check_generation(&mut self, generation: u64) {
        let newest = self.newest_seen;
        assert!(generation >= newest, "generation {generation} was read after {newest}");
        self.newest_seen = generation;
    }

    /// Sends a change with the same id through any entry until it is accepted or refused.
    async fn send(&mut self, change_id: &str, replaces: u64, value: u64) -> Value {
        let deadline = Instant::now() + STEP_TIMEOUT;
        let mut retained = None;
        loop {
            let mut entry = self.entry();
            if self.random.random_bool(ABANDONED_RATIO) {
                let wait_ms = self.random.random_range(ABANDONED_AFTER_MS);
                entry = entry.with_timeout(Duration::from_millis(wait_ms));
            }
            let answer = entry.change(change_id, "change", replaces, record(value)).await;
            if let Ok(answer) = &answer {
                let document = answer.json();
                if document["outcome"] == "accepted" || document["outcome"] == "refused" {
                    if let Some(retained) = retained {
                        assert_eq!(document, retained, "{change_id} got a different response");
                        self.history.applied_count += 1;
                    }
                    return document;
                }
            }
            self.history.lost_count += 1;
            assert!(Instant::now() < deadline, "{change_id} was not decided in time: {answer:?}");
            tokio::time::sleep(RESEND_DELAY).await;
            retained = self.retained_outcome(change_id).await.or(retained);
        }
    }

    /// Returns the retained outcome of a change, if the control leader has decided it.
    async fn retained_outcome(&mut self, change_id: &str) -> Option<Value> {
        let answer = self.entry().get(&format!("/v1/changes/{change_id}")).await.ok()?;
        let document = answer.json();
        (document["known"] == true).then(|| document["answer"].clone())
    }

    /// Reads the generation in force and replaces it, in a race with the other operator.
    async fn race(&mut self, round: u64) {
        let replaces = self.read().await;
        let change_id = format!("operator-{}-{round}", self.number);
        let value = 1000 + 2 * round + self.number;
        let answer = self.send(&change_id, replaces, value).await;
        if let Some(generation) = answer["generation"].as_u64() {
            self.check_generation(generation);
        }
        self.history.decided.push(DecidedChange { change_id, replaces, value, answer });
        if self.random.random_bool(RESEND_RATIO) {
            let index = self.random.random_range(0..self.history.decided.len());
            self.resend(index).await;
        }
    }

    async fn resend(&mut self, index: usize) {
        let DecidedChange { change_id, replaces, value, answer } =
            self.history.decided[index].clone();
        let again = self.send(&change_id, replaces, value).await;
        assert_eq!(again, answer, "the resend of {change_id} got a different response");
        self.history.resend_count += 1;
    }

    async fn run(mut self, stop: watch::Receiver<bool>) -> History {
        let mut round = 0;
        while !*stop.borrow() {
            self.race(round).await;
            round += 1;
        }
        self.history
    }
}

/// Checks that each generation has exactly one accepted change, and returns the values by
/// generation.
fn accepted_values(histories: &[History], last: u64) -> BTreeMap<u64, u64> {
    let mut values = BTreeMap::new();
    for change in histories.iter().flat_map(|history| &history.decided) {
        if change.answer["outcome"] == "accepted" {
            assert_eq!(change.answer["generation"], change.replaces + 1, "{change:?}");
            let other = values.insert(change.replaces + 1, change.value);
            assert_eq!(other, None, "two changes of one generation were accepted: {change:?}");
        } else {
            assert_eq!(change.answer["kind"], "conflict", "{change:?}");
            let current = change.answer["current_generation"].as_u64().unwrap();
            assert!(
                current > change.replaces,
                "refused although its generation was current: {change:?}"
            );
        }
    }
    assert_eq!(values.keys().copied().collect::<Vec<u64>>(), (2..=last).collect::<Vec<u64>>());
    values
}

#[tokio::test(flavor = "multi_thread")]
async fn one_change_per_generation() {
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
            history: History::default(),
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
    let histories = operators.join_all().await;

    let stored = entries[1].get(PATH).await.unwrap().json();
    let last = stored["generation"].as_u64().unwrap();
    let values = accepted_values(&histories, last);
    assert_eq!(stored["record"]["request_rate_per_s"], values[&last]);
    let decided: usize = histories.iter().map(|history| history.decided.len()).sum();
    let lost: usize = histories.iter().map(|history| history.lost_count).sum();
    let resends: usize = histories.iter().map(|history| history.resend_count).sum();
    let reads: usize = histories.iter().map(|history| history.read_count).sum();
    let applied: usize = histories.iter().map(|history| history.applied_count).sum();
    eprintln!("seed {seed}: {decided} changes, {} accepted, {reads} reads", values.len());
    eprintln!("{lost} responses lost, {applied} of these changes already decided");
    eprintln!("{resends} resends of decided changes");
    assert!(decided > values.len(), "the operators caused no conflict");
    assert!(applied > 0, "no response to a decided change was lost");
}
