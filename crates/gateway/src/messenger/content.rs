//! What a status message says: the state of the groups, the extension and the sections.

use std::{rc::Rc, time::Duration};

use hibiscusladder_core::{clock::Instant, name::InstanceId, roster::FleetRole};

use crate::{
    adapter::Platform,
    group_state::GroupState,
    message::{
        AcknowledgedSection, Extension, GroupInfo, LeaderEntry, LeavingSection, PaceSection,
        RosterVersion, SectionKind, Sections, StoreContactSection, StoreSection,
    },
    node::Node,
    peers::{OfferedRoster, SEND_INTERVAL},
    promotion_records,
};

/// Time after its latest commit of a group for which an instance tells the position. A claim for a failover that follows a crash is
/// made by then.
const POSITION_TIME: Duration = Duration::from_secs(10);
/// Time without an answer to a poll after which a hub reports a member as unresponsive.
const UNRESPONSIVE_AFTER: Duration = Duration::from_millis(300);

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

/// The sections of a message to `receiver`: what it says of restores of the store, of evacuations, of cold or overloaded
/// members, of leaving ones, and of promotions.
pub(super) fn sections<P>(node: &Node<P>, receiver: &InstanceId, now: Instant) -> Sections
where
    P: Platform,
{
    let mut sections = Sections::default();
    let is_hub = node.role() == FleetRole::Hub;
    let is_for_hub = node.topology().is_hub(receiver);
    let pace = PaceSection {
        cold: node.cold.report(now).filter(|_| is_hub),
        pace: node.paces.reports(node.instance(), receiver, is_for_hub, now),
    };
    if pace != PaceSection::default() {
        // Names and numbers can always be encoded.
        let _ = sections.insert(SectionKind::Pace, &pace);
    }
    let era = node.store_era.known();
    if era > 0 {
        let members = node.members_version().era;
        let roster = node.roster.borrow().version().era;
        // Numbers can always be encoded.
        let _ = sections.insert(SectionKind::Store, &StoreSection { era, members, roster });
    }
    let contacts = StoreContactSection::from(node.succession.contact_ages(is_hub, now));
    let tells = is_hub || contacts != StoreContactSection::default();
    if !node.topology().is_flat() && tells {
        // Numbers can always be encoded.
        let _ = sections.insert(SectionKind::StoreContact, &contacts);
    }
    if let Some(notice) = node.evacuations.notice(now) {
        // Names and numbers cannot fail to be encoded.
        let _ = sections.insert(SectionKind::Evacuations, &notice);
    }
    let members = node.members.borrow().leaving(now);
    if !members.is_empty() {
        // Names and numbers can always be encoded.
        let _ = sections.insert(SectionKind::Leaving, &LeavingSection { members });
    }
    if may_replace_primaries(node, receiver)
        && let Some(section) = promotion_records::section(&node.failover_claims.borrow(), now)
    {
        let _ = sections.insert(SectionKind::Promotions, &section);
    }
    sections
}

/// Whether an instance may replace primaries: a hub, or one that becomes a hub next.
pub(super) fn may_replace_primaries<P>(node: &Node<P>, instance: &InstanceId) -> bool
where
    P: Platform,
{
    let topology = node.topology();
    topology.is_hub(instance) || topology.is_successor(instance)
}

/// The positions of acknowledged commits that this instance tells: all that it knows if it is a hub, else those of the
/// commits that it has passed on lately.
pub(super) fn acknowledged_positions<P>(node: &Node<P>, now: Instant) -> AcknowledgedSection
where
    P: Platform,
{
    let is_hub = node.role() == FleetRole::Hub && !node.topology().is_flat();
    let positions = node.groups().into_iter().filter_map(|group| {
        let view = group.view.borrow();
        let is_recent = view.passed_on_at().is_some_and(|at| now.since(at) < POSITION_TIME);
        let position = view.acknowledged_position().filter(|_| is_hub || is_recent)?;
        Some((group.name.as_str().into(), position.term.0, position.lsn.0))
    });
    AcknowledgedSection { positions: positions.collect() }
}

/// The extension of a message to a hub, or to another instance (`is_for_follower`).
pub(super) fn extension<P>(node: &Node<P>, is_for_follower: bool, now: Instant) -> Extension
where
    P: Platform,
{
    let is_hub = node.role() == FleetRole::Hub;
    let offers_roster = is_hub && node.knows_fleet();
    let mut extension = Extension {
        roster: offers_roster.then(|| {
            let OfferedRoster { version, digest } = node.roster_version();
            RosterVersion { revision: version.revision, digest }
        }),
        members: is_hub.then(|| node.members_digest()),
        ..Extension::default()
    };
    for group in node.groups() {
        if !is_hub {
            extension.slow.extend(group.take_slow().iter().map(|id| Box::from(id.as_str())));
        } else if is_for_follower {
            let view = group.view.borrow();
            let unresponsive = view
                .members()
                .filter(|id| view.unanswered_for(id, now) >= UNRESPONSIVE_AFTER)
                .map(|id| Box::from(id.as_str()));
            extension.unresponsive.extend(unresponsive);
        }
    }
    extension
}

pub(super) fn group_infos<P>(node: &Node<P>, relays_fences: bool, now: Instant) -> Vec<GroupInfo>
where
    P: Platform,
{
    let groups = node.groups();
    let is_follower = node.role() == FleetRole::Follower;
    // Hubs know what a follower has only learned from them.
    let is_news =
        |group: &&Rc<GroupState>| !is_follower || group.has_answers_within(SEND_INTERVAL * 2, now);
    let info = groups.iter().filter(is_news).map(|group| {
        let view = group.view.borrow();
        let leader = view.leader_info(now).map(|info| LeaderEntry {
            member: info.member.as_str().into(),
            term: info.term.0,
            proof_age: info.proof_sent.map(|sent| micros(now.since(sent))),
            position: info.position.map(|latest| {
                (latest.position.term.0, latest.position.lsn.0, micros(now.since(latest.sent)))
            }),
        });
        let own = group.failover.borrow().fence();
        let learned =
            || view.fenced_term(now).map(|term| (term, view.confirmed_term(now) >= Some(term)));
        let fence = if relays_fences { own.or_else(learned) } else { own };
        GroupInfo {
            group: group.name.as_str().into(),
            leader,
            fence: fence.map(|(term, held)| (term.0, held)),
            confirmed: view.confirmed_term(now).unwrap_or_default().0,
            suspected: crate::control::suspected_term(node, group, now).map(|term| term.0),
        }
    });
    info.collect()
}
