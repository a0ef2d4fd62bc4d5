//! Simulated user of each replica, which applies delivered items, and the requests of clients.

use bytes::Bytes;
use yuccatack_replication::state::{Input, RoleView};
use yuccatack_replication::{
    Committed, ProposalClass, ProposalFailure, ProposalId, ReadId, ReplicaId,
};

use super::simulator::{Node, Simulator};

impl Simulator {
    pub(super) fn apply(&mut self, id: ReplicaId, item: Committed) {
        let Some(process) = self.nodes.get_mut(&id).and_then(|node| node.process.as_mut()) else {
            return;
        };
        match item {
            Committed::Entry { index, term, proposal, payload } => {
                self.history.deliver(process.applied_count, index, term, &payload);
                process.applied_count += 1;
                process.applied_index = index;
                let count = process.applied_count as u64;
                if let Some(proposal) = proposal {
                    process.open_proposals.remove(&proposal);
                    self.history.acknowledge(proposal, index, &payload);
                }
                if count.is_multiple_of(20) {
                    self.input(id, Input::StateHash { index, hash: count });
                }
            }
            Committed::Snapshot { index, payload } => {
                let count = u64::from_le_bytes(payload.as_ref().try_into().unwrap()) as usize;
                self.history.deliver_snapshot(count, index);
                assert!(
                    count >= process.applied_count,
                    "snapshot at {index} reverts applied commands"
                );
                process.applied_count = count;
                process.applied_index = index;
            }
            Committed::SnapshotRequested { index } => {
                let payload = Bytes::copy_from_slice(&(process.applied_count as u64).to_le_bytes());
                self.input(id, Input::StoreSnapshot { index, payload });
            }
            Committed::ProposalFailed { proposal, failure } => {
                process.open_proposals.remove(&proposal);
                match failure {
                    ProposalFailure::NotLeader { .. } | ProposalFailure::NoSpace => {
                        self.history.mark_rejected(proposal)
                    }
                    ProposalFailure::Unknown => self.history.mark_unknown(proposal),
                }
            }
            Committed::ReadReady { read } => {
                process.open_reads.remove(&read);
                let applied_index = process.applied_index;
                self.history.complete_read(read, applied_index);
            }
            Committed::ReadFailed { read, .. } => {
                process.open_reads.remove(&read);
                self.history.fail_read(read);
            }
            Committed::Leadership(_) => {}
        }
    }

    pub fn propose(&mut self, id: ReplicaId) -> Option<ProposalId> {
        let number = self.next_number();
        let proposal = ProposalId::new(number);
        let payload = Bytes::from(format!("command {number}"));
        self.process_mut(id)?.open_proposals.insert(proposal);
        self.history.propose(proposal, payload.clone());
        self.input(id, Input::Propose { proposal, class: ProposalClass::Growth, payload });
        Some(proposal)
    }

    pub fn read(&mut self, id: ReplicaId) {
        let read = ReadId::new(self.next_number());
        let Some(process) = self.process_mut(id) else { return };
        process.open_reads.insert(read);
        self.history.read(read);
        self.input(id, Input::Read { read });
    }

    /// Checks that every request to a running process has been answered, which a client would
    /// otherwise wait for without end.
    pub fn check_nothing_pending(&self) {
        for (id, node) in &self.nodes {
            let Some(process) = &node.process else { continue };
            let proposals = &process.open_proposals;
            assert!(proposals.is_empty(), "replica {id} has not answered {proposals:?}");
            let reads = &process.open_reads;
            assert!(reads.is_empty(), "replica {id} has not answered {reads:?}");
            let changes = &process.open_changes;
            assert!(changes.is_empty(), "replica {id} has not answered {changes:?}");
            let transfers = process.replica.view().transferring_leadership;
            assert!(!transfers, "replica {id} has not ended its leadership transfer");
        }
    }

    /// Returns one line per replica with its state, for the message of a failed run.
    pub fn describe(&self) -> String {
        let line = |(id, node): (&ReplicaId, &Node)| {
            let incarnation = node.disk.incarnation;
            let process = node.process.as_ref().map(|process| process.replica.view());
            format!("replica {id} incarnation {incarnation}: {process:?}\n")
        };
        self.nodes.iter().map(line).collect()
    }

    /// Returns the replica that considers itself the leader of the newest term.
    pub fn leader(&self) -> Option<ReplicaId> {
        self.leader_except(ReplicaId::NONE)
    }

    pub fn leader_except(&self, except: ReplicaId) -> Option<ReplicaId> {
        let others = self.nodes.iter().filter(|(id, _)| **id != except);
        let leaders = others.filter_map(|(id, node)| {
            let view = node.process.as_ref()?.replica.view();
            (view.role == RoleView::Leader).then_some((view.hard_state.term, *id))
        });
        leaders.max().map(|(_, id)| id)
    }
}
