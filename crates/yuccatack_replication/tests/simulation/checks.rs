//! What must hold in every run.

use std::collections::BTreeMap;

use bytes::Bytes;
use yuccatack_core::Incarnation;
use yuccatack_replication::{
    EntryPayload, LogEntry, LogIndex, ProposalId, ReadId, ReplicaId, Term,
};

/// The history that all replicas must agree on.
#[derive(Default)]
pub struct History {
    /// The committed commands in order, as first delivered by any replica.
    pub commands: Vec<(LogIndex, Term, Bytes)>,
    leaders: BTreeMap<Term, (ReplicaId, Incarnation)>,
    entries: BTreeMap<(LogIndex, Term), (Option<Term>, LogEntry)>,
    /// The newest index that an answered proposal or read has shown to a client.
    pub shown: LogIndex,
    proposals: BTreeMap<ProposalId, (LogIndex, Bytes)>,
    refused: Vec<Bytes>,
    reads: BTreeMap<ReadId, LogIndex>,
    pub acknowledged_count: u64,
    pub read_count: u64,
}

impl History {
    /// At most one leader a term.
    pub fn check_leader(&mut self, term: Term, replica: ReplicaId, incarnation: Incarnation) {
        let leader = *self.leaders.entry(term).or_insert((replica, incarnation));
        assert_eq!(leader, (replica, incarnation), "two leaders in term {term}");
    }

    /// Entries of equal index and term are equal, and so are those before them.
    pub fn check_entries(&mut self, before: Option<Term>, entries: &[LogEntry]) {
        let mut previous = before;
        for entry in entries {
            let key = (entry.index, entry.term);
            let known = self.entries.entry(key).or_insert_with(|| (previous, entry.clone()));
            assert_eq!(known.1, *entry, "log matching: entry {key:?} differs");
            if let (Some(known), Some(found)) = (known.0, previous) {
                assert_eq!(known, found, "log matching: the entry before {key:?} differs");
            }
            known.0 = known.0.or(previous);
            previous = Some(entry.term);
        }
    }

    /// A replica delivers its `count`-th command.
    pub fn deliver(&mut self, count: usize, index: LogIndex, term: Term, payload: &Bytes) {
        let command = (index, term, payload.clone());
        match self.commands.get(count) {
            Some(known) => assert_eq!(*known, command, "a committed command changed or was lost"),
            None => {
                assert_eq!(count, self.commands.len());
                let last = self.commands.last().map_or(LogIndex::default(), |known| known.0);
                assert!(index > last, "a command was committed before an older one");
                self.commands.push(command);
            }
        }
    }

    /// A replica takes over a state that includes `count` commands as of `index`.
    pub fn deliver_snapshot(&mut self, count: usize, index: LogIndex) {
        assert!(count <= self.commands.len(), "a snapshot of commands that were never committed");
        let last = count.checked_sub(1).map(|position| self.commands[position].0);
        assert!(last.is_none_or(|last| last <= index));
        let next = self.commands.get(count).map(|command| command.0);
        assert!(next.is_none_or(|next| next > index), "a snapshot lacks a committed command");
    }

    pub fn propose(&mut self, proposal: ProposalId, payload: Bytes) {
        self.proposals.insert(proposal, (self.shown, payload));
    }

    pub fn acknowledge(&mut self, proposal: ProposalId, index: LogIndex, payload: &Bytes) {
        let (shown, proposed) = self.proposals.remove(&proposal).expect("a second answer");
        assert_eq!(proposed, *payload, "a proposal got the answer of another one");
        assert!(index > shown, "a proposal was committed before what its client had seen");
        self.shown = self.shown.max(index);
        self.acknowledged_count += 1;
    }

    /// The command must never be committed.
    pub fn refuse(&mut self, proposal: ProposalId) {
        let (_, payload) = self.proposals.remove(&proposal).expect("a second answer");
        self.refused.push(payload);
    }

    /// The outcome stays open.
    pub fn leave_open(&mut self, proposal: ProposalId) {
        self.proposals.remove(&proposal).expect("a second answer");
    }

    pub fn read(&mut self, read: ReadId) {
        self.reads.insert(read, self.shown);
    }

    /// A read sees at least what any client had seen when it was requested.
    pub fn answer_read(&mut self, read: ReadId, applied: LogIndex) {
        let shown = self.reads.remove(&read).expect("a second answer");
        assert!(applied >= shown, "a read at {applied} misses {shown}: not linearizable");
        self.shown = self.shown.max(applied);
        self.read_count += 1;
    }

    pub fn fail_read(&mut self, read: ReadId) {
        self.reads.remove(&read).expect("a second answer");
    }

    pub fn check_refused(&self) {
        for payload in &self.refused {
            let committed = self.commands.iter().any(|(_, _, command)| command == payload);
            assert!(!committed, "a refused command was committed: {payload:?}");
        }
    }
}

pub fn is_command(entry: &LogEntry) -> bool {
    matches!(entry.payload, EntryPayload::Command(_))
}
