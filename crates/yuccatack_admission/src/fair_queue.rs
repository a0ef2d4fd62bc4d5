//! Bounded queue that shares capacity fairly among organisations and serves urgent classes first.

use std::collections::{BTreeMap, VecDeque};

use yuccatack_core::prelude::*;

/// Limits on the length of a [`FairQueue`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QueueLimits {
    /// Maximum number of queued requests.
    pub length_count: usize,
    /// Maximum number of queued requests of one organisation in a class, in percent of
    /// `length_count`. A burst of one organisation then leaves capacity for the others.
    pub organisation_share_percent: usize,
}

impl Default for QueueLimits {
    fn default() -> Self {
        Self { length_count: 256, organisation_share_percent: 50 }
    }
}

/// Queued request with its scheduling attributes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QueuedRequest<Item> {
    /// Organisation that sent the request.
    pub organisation: OrganisationName,
    /// Share of the organisation relative to other organisations; zero counts as one.
    pub weight: u32,
    /// Priority class, which takes precedence over the weight.
    pub class: PriorityClass,
    /// Time after which a response is useless.
    pub deadline: TimestampMs,
    /// Payload that the queue returns unchanged.
    pub item: Item,
}

/// Result of removing a request from a [`FairQueue`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Dequeued<Item> {
    /// Next request to execute.
    Next(QueuedRequest<Item>),
    /// Request that cannot be completed before its deadline; it must not be executed.
    Late(QueuedRequest<Item>),
}

#[derive(Clone, Debug)]
struct OrganisationQueue<Item> {
    requests: VecDeque<QueuedRequest<Item>>,
    /// Number of requests that the organisation may still dequeue in its current turn.
    credit: u32,
}

/// Queue of one priority class: deficit round robin over organisations, in which each request
/// costs one and the weight of an organisation is its quantum.
#[derive(Clone, Debug)]
struct ClassQueue<Item> {
    organisations: BTreeMap<OrganisationName, OrganisationQueue<Item>>,
    turn_order: VecDeque<OrganisationName>,
    length: usize,
}

impl<Item> Default for ClassQueue<Item> {
    fn default() -> Self {
        Self { organisations: BTreeMap::new(), turn_order: VecDeque::new(), length: 0 }
    }
}

impl<Item> ClassQueue<Item> {
    fn push(&mut self, request: QueuedRequest<Item>) {
        let name = request.organisation.clone();
        let queue = self.organisations.entry(name.clone()).or_insert_with(|| {
            self.turn_order.push_back(name);
            OrganisationQueue { requests: VecDeque::new(), credit: request.weight.max(1) }
        });
        queue.requests.push_back(request);
        self.length += 1;
    }

    fn pop(&mut self) -> Option<QueuedRequest<Item>> {
        let name = self.turn_order.front()?.clone();
        let queue = self.organisations.get_mut(&name)?;
        let request = queue.requests.pop_front()?;
        self.length -= 1;
        queue.credit = queue.credit.saturating_sub(1);
        if queue.requests.is_empty() {
            self.remove_organisation(&name);
        } else if queue.credit == 0 {
            queue.credit = request.weight.max(1);
            self.turn_order.rotate_left(1);
        }
        Some(request)
    }

    /// Removes the newest request of the organisation with the most queued requests.
    fn evict(&mut self) -> Option<QueuedRequest<Item>> {
        let longest = self.organisations.iter().max_by_key(|(_, queue)| queue.requests.len());
        let name = longest.map(|(name, _)| name.clone())?;
        let queue = self.organisations.get_mut(&name)?;
        let request = queue.requests.pop_back()?;
        self.length -= 1;
        if queue.requests.is_empty() {
            self.remove_organisation(&name);
        }
        Some(request)
    }

    fn remove_organisation(&mut self, name: &OrganisationName) {
        self.organisations.remove(name);
        self.turn_order.retain(|waiting| waiting != name);
    }

    fn organisation_length(&self, name: &OrganisationName) -> usize {
        self.organisations.get(name).map_or(0, |queue| queue.requests.len())
    }
}

/// Bounded queue with strict priority between classes and weighted sharing within a class.
///
/// Urgent requests are served first, then standard ones, then batch.
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
    /// Creates an empty queue.
    pub fn new(limits: QueueLimits) -> Self {
        Self { limits, classes: Default::default() }
    }

    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.classes.iter().map(|class| class.length).sum()
    }

    /// Returns `true` if no request is queued.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the number of queued requests of `class` and of more urgent classes, which precede a
    /// new request of `class`.
    pub fn ahead_of(&self, class: PriorityClass) -> usize {
        self.classes[..=class_index(class)].iter().map(|class| class.length).sum()
    }

    /// Adds a request. If a limit is reached, returns the rejected request as the error: the new
    /// one, or an evicted request of a less urgent class.
    pub fn push(&mut self, request: QueuedRequest<Item>) -> Result<(), QueuedRequest<Item>> {
        let index = class_index(request.class);
        let share = self.limits.length_count * self.limits.organisation_share_percent / 100;
        let queued_count = self.classes[index].organisation_length(&request.organisation);
        if queued_count >= share.max(1) {
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

    /// Removes the next request. A request with at most `run_time` left until its deadline is
    /// returned as [`Dequeued::Late`], because executing it would only take a slot from a request
    /// that can still be completed.
    pub fn pop(&mut self, now: TimestampMs, run_time: DurationMs) -> Option<Dequeued<Item>> {
        let request = self.classes.iter_mut().find_map(ClassQueue::pop)?;
        if now + run_time >= request.deadline {
            return Some(Dequeued::Late(request));
        }
        Some(Dequeued::Next(request))
    }
}
