//! A bounded queue that is fair between organisations and serves urgent classes first.

use std::collections::{BTreeMap, VecDeque};

use yuccatack_core::prelude::*;

/// Bounds of a queue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QueueLimits {
    /// The most requests that wait.
    pub length_count: usize,
    /// The most requests of one organisation that wait, in percent of `length_count`. One
    /// organisation's burst then leaves room for the others.
    pub organisation_share_percent: usize,
}

impl Default for QueueLimits {
    fn default() -> Self {
        Self { length_count: 256, organisation_share_percent: 50 }
    }
}

/// A request that waits.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QueuedRequest<Item> {
    /// Who asks.
    pub organisation: OrganisationName,
    /// The organisation's share in comparison with others.
    pub weight: u32,
    /// How urgent it is.
    pub class: PriorityClass,
    /// When an answer is of no use any more.
    pub deadline: TimestampMs,
    /// What waits.
    pub item: Item,
}

/// What comes out of a queue.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Dequeued<Item> {
    /// The next request to run.
    Next(QueuedRequest<Item>),
    /// A request that cannot be answered before its deadline.
    Late(QueuedRequest<Item>),
}

#[derive(Clone, Debug)]
struct Lane<Item> {
    requests: VecDeque<QueuedRequest<Item>>,
    /// How many more requests the organisation may send before it is the next one's turn.
    credit: u32,
}

/// The requests of one class: deficit round robin over organisations, where each request costs
/// one and an organisation's weight is its quantum.
#[derive(Clone, Debug)]
struct ClassQueue<Item> {
    lanes: BTreeMap<OrganisationName, Lane<Item>>,
    turns: VecDeque<OrganisationName>,
    length: usize,
}

impl<Item> Default for ClassQueue<Item> {
    fn default() -> Self {
        Self { lanes: BTreeMap::new(), turns: VecDeque::new(), length: 0 }
    }
}

impl<Item> ClassQueue<Item> {
    fn push(&mut self, request: QueuedRequest<Item>) {
        let name = request.organisation.clone();
        let lane = self.lanes.entry(name.clone()).or_insert_with(|| {
            self.turns.push_back(name);
            Lane { requests: VecDeque::new(), credit: request.weight.max(1) }
        });
        lane.requests.push_back(request);
        self.length += 1;
    }

    fn pop(&mut self) -> Option<QueuedRequest<Item>> {
        let name = self.turns.front()?.clone();
        let lane = self.lanes.get_mut(&name)?;
        let request = lane.requests.pop_front()?;
        self.length -= 1;
        lane.credit = lane.credit.saturating_sub(1);
        if lane.requests.is_empty() {
            self.remove_lane(&name);
        } else if lane.credit == 0 {
            lane.credit = request.weight.max(1);
            self.turns.rotate_left(1);
        }
        Some(request)
    }

    /// Takes the newest request of the organisation with the most.
    fn evict(&mut self) -> Option<QueuedRequest<Item>> {
        let longest = self.lanes.iter().max_by_key(|(_, lane)| lane.requests.len());
        let name = longest.map(|(name, _)| name.clone())?;
        let lane = self.lanes.get_mut(&name)?;
        let request = lane.requests.pop_back()?;
        self.length -= 1;
        if lane.requests.is_empty() {
            self.remove_lane(&name);
        }
        Some(request)
    }

    fn remove_lane(&mut self, name: &OrganisationName) {
        self.lanes.remove(name);
        self.turns.retain(|turn| turn != name);
    }

    fn organisation_length(&self, name: &OrganisationName) -> usize {
        self.lanes.get(name).map_or(0, |lane| lane.requests.len())
    }
}

/// Urgent requests come first, then standard ones, then batch; within a class organisations share
/// by weight.
#[derive(Clone, Debug)]
pub struct FairQueue<Item> {
    limits: QueueLimits,
    classes: [ClassQueue<Item>; 3],
}

fn class_index(class: PriorityClass) -> usize {
    match class {
        PriorityClass::Urgent => 0,
        PriorityClass::Standard => 1,
        PriorityClass::Batch => 2,
    }
}

impl<Item> FairQueue<Item> {
    /// An empty queue.
    pub fn new(limits: QueueLimits) -> Self {
        Self { limits, classes: Default::default() }
    }

    /// The requests that wait.
    pub fn len(&self) -> usize {
        self.classes.iter().map(|class| class.length).sum()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The requests that wait and would be served before a new one of `class`.
    pub fn ahead_of(&self, class: PriorityClass) -> usize {
        self.classes[..=class_index(class)].iter().map(|class| class.length).sum()
    }

    /// Adds a request. Gives back the request for which there is no room, which is the new one or
    /// one of a less urgent class.
    pub fn push(&mut self, request: QueuedRequest<Item>) -> Result<(), QueuedRequest<Item>> {
        let index = class_index(request.class);
        let share = self.limits.length_count * self.limits.organisation_share_percent / 100;
        let held = self.classes[index].organisation_length(&request.organisation);
        if held >= share.max(1) {
            return Err(request);
        }
        if self.len() < self.limits.length_count {
            self.classes[index].push(request);
            return Ok(());
        }
        let less_urgent = self.classes[index + 1..].iter_mut().rev();
        match less_urgent.filter(|class| class.length > 0).find_map(ClassQueue::evict) {
            Some(evicted) => {
                self.classes[index].push(request);
                Err(evicted)
            }
            None => Err(request),
        }
    }

    /// Takes the next request. One that has less than `run_time` left until its deadline comes
    /// out as late, because running it would only take a slot from one that can be answered.
    pub fn pop(&mut self, now: TimestampMs, run_time: DurationMs) -> Option<Dequeued<Item>> {
        let request = self.classes.iter_mut().find_map(ClassQueue::pop)?;
        if now + run_time >= request.deadline {
            return Some(Dequeued::Late(request));
        }
        Some(Dequeued::Next(request))
    }
}
