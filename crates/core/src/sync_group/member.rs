//! State of one member of a group at an instance.

use std::time::Duration;

use super::{MemberStatus, Role};
use crate::{
    clock::Instant,
    name::LogId,
    position::{Position, Term},
};

/// Time for which a member counts as unresponsive after another instance reported so; it covers two messages.
pub(super) const REPORT_TTL: Duration = Duration::from_millis(700);

#[derive(Debug, Clone, Default)]
pub(super) struct Member {
    /// The log that the member keeps; `None` only before the member is listed.
    pub(super) log: Option<LogId>,
    /// Role that the member has published, used until the member answers a poll.
    pub(super) published: Option<Role>,
    /// Latest status, and the sending time of its poll; the origin of the clock for a status that is not from a poll.
    pub(super) latest: Option<(MemberStatus, Instant)>,
    /// Newest evidence that the member led a term: the term, and the sending time of the request that showed it.
    pub(super) led: Option<(Term, Instant)>,
    /// Latest sending time of a request that the member refused because it does not lead.
    pub(super) refused: Option<Instant>,
    /// Sending time of the first poll since the latest answer.
    pub(super) unanswered_since: Option<Instant>,
    /// Latest sending time of a request or poll that the member has answered.
    pub(super) answered: Option<Instant>,
    /// Until when the member counts as unresponsive because another instance that polls it reported so.
    pub(super) reported_until: Option<Instant>,
    /// End of the member's log before it was restarted, and until when it may have received more; `None` once it has
    /// answered after the restart.
    pub(super) before_restart: Option<(Position, Instant)>,
}

impl Member {
    /// Whether what the member last said of itself, in the answer to a poll or by a refusal, contradicts that it leads `term`,
    /// as a request that was sent at `at` shows.
    ///
    /// Within a term a primary becomes a replica, and not the other way round unless it is restarted. So the order of the
    /// requests decides, and not the order in which their answers arrive, possibly through other instances.
    pub(super) fn contradicts(&self, term: Term, at: Option<Instant>) -> bool {
        let is_refused = self.refused.is_some() && self.refused >= at;
        is_refused
            || self.latest.is_some_and(|(status, sent)| {
                let is_replica = status.role == Role::Replica && status.term == term;
                status.term > term || is_replica && Some(sent) >= at
            })
    }

    /// Whether the answer to a poll that was sent at `sent` is older than evidence that the member leads.
    pub(super) fn is_outdated(&self, status: &MemberStatus, sent: Instant) -> bool {
        status.role == Role::Replica
            && self
                .led
                .is_some_and(|(term, at)| term > status.term || term == status.term && at > sent)
    }

    /// Whether the member has refused a request as a replica since it was last known to lead.
    pub(super) fn has_refused(&self) -> bool {
        let Some((status, sent)) = self.latest else { return false };
        let led = self.led.filter(|(term, _)| *term >= status.term).map(|(_, at)| at);
        self.refused.is_some_and(|refused| refused >= sent && Some(refused) >= led)
    }

    /// Whether the member was the primary of `term` when it last answered.
    pub(super) fn is_primary_of(&self, term: Term) -> bool {
        self.latest.is_some_and(|(status, _)| status.role == Role::Primary && status.term == term)
    }

    /// Records that the member answered a request that was sent at `sent`.
    pub(super) fn record_answer(&mut self, sent: Instant) {
        self.answered = self.answered.max(Some(sent));
        self.unanswered_since = self.unanswered_since.filter(|since| *since > sent);
        self.reported_until = self.reported_until.filter(|until| *until > sent.plus(REPORT_TTL));
    }
}
