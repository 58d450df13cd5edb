//! What a group has come to: who leads, what it has accepted, and that nothing is lost.

use super::{Group, Running};
use moleroad_consensus::prelude::*;

impl Group {
    /// Checks that at most one member holds a lease.
    pub(super) fn check_leases(&self) {
        assert!(self.leaseholders().count() <= 1, "two members hold a lease");
    }

    /// Returns the leader that holds a lease, if there is one.
    pub fn leader(&self) -> Option<MemberId> {
        self.leaseholders().next()
    }

    /// Returns the members that act now and hold a lease by their own clock.
    fn leaseholders(&self) -> impl Iterator<Item = MemberId> {
        let holds_lease = |id: &MemberId| {
            let member = &self.members[id];
            let running = member.running.as_ref().filter(|_| !member.frozen);
            running.is_some_and(|running| running.replica.holds_lease(self.clock_of(*id)))
        };
        self.members.keys().copied().filter(holds_lease)
    }

    /// Returns the members other than `id`.
    pub fn others(&self, id: MemberId) -> Vec<MemberId> {
        let ids = self.members.keys().copied();
        ids.filter(|other| *other != id).collect()
    }

    /// Returns the process of a member that runs.
    pub fn running(&self, id: MemberId) -> &Running {
        self.members[&id].running.as_ref().expect("the member runs")
    }

    /// Returns the replica of a member that runs.
    pub fn replica(&self, id: MemberId) -> &Replica {
        &self.running(id).replica
    }

    /// Runs until a leader holds a lease.
    pub fn await_leader(&mut self) -> MemberId {
        for _ in 0..2_000 {
            if let Some(leader) = self.leader() {
                return leader;
            }
            self.run(20);
        }
        panic!("no leader after a long time");
    }

    /// Proposes a command to the member `id`.
    pub fn propose(&mut self, id: MemberId, data: &[u8]) {
        self.next_ticket += 1;
        let ticket = ProposalTicket(self.next_ticket);
        self.pending.insert(ticket, data.to_vec());
        self.event(
            id,
            Event::Propose(vec![Proposal {
                ticket,
                data: data.to_vec(),
            }]),
        );
    }

    /// Proposes a command to the leader until it is accepted.
    pub fn propose_until_accepted(&mut self, data: &[u8]) {
        for _ in 0..200 {
            let leader = self.await_leader();
            self.propose(leader, data);
            for _ in 0..50 {
                self.run(10);
                if self.accepted.values().any(|accepted| accepted == data) {
                    return;
                }
            }
        }
        panic!("never accepted");
    }

    /// Lets all members catch up, then checks that the leader's state holds
    /// every accepted command and that the states of the voters are equal.
    pub fn check_nothing_lost(&mut self) {
        self.run(200);
        let leader = self.await_leader();
        self.run(3_000);
        let reference = self.running(leader).state.clone();
        for data in self.accepted.values() {
            assert!(reference.contains(data), "an accepted command is lost");
        }
        let voters = self.replica(leader).configuration().voters.clone();
        for id in voters {
            let Some(member) = self.members.get(&id) else {
                continue;
            };
            let Some(running) = &member.running else {
                continue;
            };
            if !member.frozen {
                assert_eq!(running.state, reference, "states differ on member {id}");
            }
        }
    }
}
