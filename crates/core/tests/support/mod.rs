//! Reports, positions and times for several tests.

use std::time::Duration;

use hibiscusladder_core::{
    clock::Instant,
    name::MemberId,
    position::{Lsn, Position, Term},
    quorum::{MemberReport, MemberRole, QuorumView},
};

/// A window that never expires within a test.
pub(crate) const INFINITE: Duration = Duration::from_secs(1_000_000);

pub(crate) fn at(millis: u64) -> Instant {
    Instant::new(Duration::from_millis(millis))
}

pub(crate) fn position(term: u64, lsn: u64) -> Position {
    Position::new(Term(term), Lsn(lsn))
}

pub(crate) fn group(window: Duration) -> QuorumView {
    QuorumView::new(["a", "b", "c"].map(MemberId::from).into(), window)
}

/// Report of a member whose log ends in the term that it reports; the poll was answered after 1 ms.
pub(crate) fn report(member: &str, role: MemberRole, term: u64, sent: u64) -> MemberReport {
    MemberReport {
        member: member.into(),
        role,
        term: Term(term),
        claimant: None,
        promoted_term: Term(term),
        position: position(term, 10),
        term_start: Position::default(),
        term_members: Vec::new(),
        source_silent: None,
        sent: at(sent),
        received: at(sent + 1),
    }
}
