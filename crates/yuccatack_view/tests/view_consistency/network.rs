//! Simulated stream between a node and a replica: two ordered queues with delays, stalls and loss.

use std::collections::VecDeque;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use yuccatack_view::{Report, Update};

/// Number of updates that the buffers of a stream hold.
const DOWN_CAPACITY_MESSAGES: usize = 4;

pub enum NodeMessage {
    Open,
    Report(Report),
}

pub enum ReplicaMessage {
    Update(Update),
    NotLeader(Option<usize>),
}

pub struct Direction<Message> {
    queue: VecDeque<(u64, Message)>,
    stalled_until: u64,
}

impl<Message> Direction<Message> {
    fn new() -> Self {
        Self { queue: VecDeque::new(), stalled_until: 0 }
    }

    pub fn send(&mut self, message: Message, now: u64, rng: &mut ChaCha8Rng) {
        let earliest = self.queue.back().map_or(0, |(at, _)| *at);
        let arrival = now + rng.random_range(1..60);
        self.queue.push_back((arrival.max(earliest), message));
    }

    pub fn receive(&mut self, now: u64) -> Option<Message> {
        let due = self.queue.front().is_some_and(|(at, _)| *at <= now);
        if !due || now < self.stalled_until {
            return None;
        }
        self.queue.pop_front().map(|(_, message)| message)
    }

    pub fn stall(&mut self, until: u64) {
        self.stalled_until = self.stalled_until.max(until);
    }
}

pub struct Link {
    pub node: usize,
    pub replica: usize,
    pub up: Direction<NodeMessage>,
    pub down: Direction<ReplicaMessage>,
    /// True once the node has closed the stream. Messages sent before may still arrive.
    pub closed_by_node: bool,
    /// True once the replica has closed the stream.
    pub closed_by_replica: bool,
}

impl Link {
    pub fn new(node: usize, replica: usize) -> Self {
        Self {
            node,
            replica,
            up: Direction::new(),
            down: Direction::new(),
            closed_by_node: false,
            closed_by_replica: false,
        }
    }

    pub fn has_capacity(&self) -> bool {
        self.down.queue.len() < DOWN_CAPACITY_MESSAGES
    }
}
