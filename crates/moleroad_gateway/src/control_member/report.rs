//! What the member's thread logs about its group.

use super::MemberOutput;
use super::member::MemberThread;
use moleroad_consensus::prelude::*;

impl MemberThread {
    /// Counts a dropped message, and logs the first one of a series.
    pub(super) fn report_dropped(&mut self, from: &MemberInfo, rejection: Rejection) {
        let latest = Some((from.id, rejection));
        if self.last_dropped != latest {
            self.last_dropped = latest;
            log::warn!(
                event = "control_message_dropped",
                from:% = from.id,
                at:% = from.address,
                reason:? = rejection;
                ""
            );
        }
        let _ = self.output.send(MemberOutput::Dropped);
    }

    /// Logs a change of the group's members, and whether a new voter has joined
    /// since this process started.
    pub(super) fn log_members(&mut self) {
        let members = self.replica.configuration();
        if self.logged_members.as_ref() == Some(members) {
            return;
        }
        let earlier = self.logged_members.as_ref();
        let is_new = |id: &MemberId| earlier.is_some_and(|e| !e.voters.contains(id));
        log::info!(
            event = "control_members",
            voters = members.voters.len() as u64,
            learners = members.learners.len() as u64,
            changing = members.is_joint(),
            members = describe_members(members).as_str(),
            replaced = self.replaced || members.voters.iter().any(is_new);
            ""
        );
        self.replaced |= members.voters.iter().any(is_new);
        self.logged_members = Some(members.clone());
    }
}

/// Lists the members as `id@address`, marked as voters, outgoing voters and learners.
fn describe_members(configuration: &Configuration) -> String {
    let describe = |info: &MemberInfo| {
        let role = match info.id {
            id if configuration.voters.contains(&id) => "voter",
            id if configuration.outgoing.contains(&id) => "outgoing",
            _ => "learner",
        };
        format!("{}@{} {role}", info.id, info.address)
    };
    let members: Vec<String> = configuration.members.values().map(describe).collect();
    members.join(", ")
}
