//! Invariants that every run must keep.

use std::collections::BTreeMap;

use bytes::Bytes;
use yuccatack_core::Incarnation;
use yuccatack_replication::{ClusterId, LogEntry, LogIndex, ProposalId, ReadId, ReplicaId, Term};

/// History that all replicas must agree on.
#[derive(Default)]
pub struct History {
    /// Committed commands in order, as first delivered by any replica.
    pub commands: Vec<(LogIndex, Term, Bytes)>,
    leaders: BTreeMap<(ClusterId, Term), (ReplicaId, Incarnation)>,
    entries: BTreeMap<(ClusterId, LogIndex, Term), (Option<Term>, LogEntry)>,
    /// Highest index that a client has observed by an acknowledged proposal or a served read.
    pub observed: LogIndex,
    proposals: BTreeMap<ProposalId, (LogIndex, Bytes)>,
    rejected: Vec<Bytes>,
    reads: BTreeMap<ReadId, LogIndex>,
    pub acknowledged_count: u64,
    pub read_count: u64,
}

impl History {
    /// Checks that a term has at most one leader.
    pub fn check_leader(
        &mut self,
        cluster: ClusterId,
        term: Term,
        replica: ReplicaId,
        incarnation: Incarnation,
    ) {
        let leader = *self.leaders.entry((cluster, term)).or_insert((replica, incarnation));
        assert_eq!(leader, (replica, incarnation), "two leaders in term {term}");
    }

    /// Checks log matching: entries of equal index and term are equal, and so are their
    /// predecessors.
    pub fn check_entries(&mut self, cluster: ClusterId, entries: &[LogEntry]) {
        let mut previous = None;
        for entry in entries {
            let key = (cluster, entry.index, entry.term);
            let known = self.entries.entry(key).or_insert_with(|| (previous, entry.clone()));
            assert_eq!(known.1, *entry, "log matching: entry {key:?} differs");
            if let (Some(known), Some(found)) = (known.0, previous) {
                assert_eq!(known, found, "log matching: the predecessor of {key:?} differs");
            }
            known.0 = known.0.or(previous);
            previous = Some(entry.term);
        }
    }

    /// Checks that a replica's command at position `count` is the one that the first replica
    /// delivered there, or records it if this replica is the first.
    pub fn deliver(&mut self, count: usize, index: LogIndex, term: Term, payload: &Bytes) {
        let command = (index, term, payload.clone());
        match self.commands.get(count) {
            Some(known) => assert_eq!(*known, command, "a committed command changed or was lost"),
            None => {
                assert_eq!(count, self.commands.len());
                let last = self.commands.last().map_or(LogIndex::default(), |known| known.0);
                assert!(index > last, "command at {index} was delivered after that at {last}");
                self.commands.push(command);
            }
        }
    }

    /// Checks that a snapshot as of `index` includes exactly the first `count` commands.
    pub fn deliver_snapshot(&mut self, count: usize, index: LogIndex) {
        assert!(count <= self.commands.len(), "snapshot at {index} has uncommitted commands");
        let last = count.checked_sub(1).map(|position| self.commands[position].0);
        assert!(last.is_none_or(|last| last <= index));
        let next = self.commands.get(count).map(|command| command.0);
        assert!(
            next.is_none_or(|next| next > index),
            "snapshot at {index} lacks a committed command"
        );
    }

    pub fn propose(&mut self, proposal: ProposalId, payload: Bytes) {
        self.proposals.insert(proposal, (self.observed, payload));
    }

    pub fn acknowledge(&mut self, proposal: ProposalId, index: LogIndex, payload: &Bytes) {
        let (observed, proposed) = self.proposals.remove(&proposal).expect("a second result");
        assert_eq!(proposed, *payload, "proposal {proposal} got the result of another one");
        assert!(
            index > observed,
            "proposal at {index} precedes {observed}, which a client observed"
        );
        self.observed = self.observed.max(index);
        self.acknowledged_count += 1;
    }

    /// Records a rejected proposal; its command must never be committed.
    pub fn mark_rejected(&mut self, proposal: ProposalId) {
        let (_, payload) = self.proposals.remove(&proposal).expect("a second result");
        self.rejected.push(payload);
    }

    /// Records that the outcome of a proposal is unknown: the command may be committed or not.
    pub fn mark_unknown(&mut self, proposal: ProposalId) {
        self.proposals.remove(&proposal).expect("a second result");
    }

    pub fn read(&mut self, read: ReadId) {
        self.reads.insert(read, self.observed);
    }

    /// Checks linearizability: a read sees at least what any client had observed when the read was
    /// requested.
    pub fn complete_read(&mut self, read: ReadId, applied: LogIndex) {
        let observed = self.reads.remove(&read).expect("a second result");
        assert!(applied >= observed, "read at {applied} misses {observed}: not linearizable");
        self.observed = self.observed.max(applied);
        self.read_count += 1;
    }

    pub fn fail_read(&mut self, read: ReadId) {
        self.reads.remove(&read).expect("a second result");
    }

    pub fn check_rejected(&self) {
        for payload in &self.rejected {
            let committed = self.commands.iter().any(|(_, _, command)| command == payload);
            assert!(!committed, "a rejected command was committed: {payload:?}");
        }
    }
}
