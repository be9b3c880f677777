//! Commands that drive the quorum view, its gate, and sessions whose writes may be lost in a promotion.

use std::{collections::BTreeMap, error::Error, time::Duration};

use goldenscript::ArgumentConsumer;
use hibiscusladder_core::{
    clock::{Clock, Instant, ManualClock},
    name::MemberId,
    outcome::{Refusal, RefusalKind},
    position::{Position, Term},
    quorum::{Gate, MemberReport, MemberRole, QuorumView, REPORT_WINDOW},
    session::Session,
    term_history::TermHistory,
};

use super::{
    CommandResult,
    args::{keyed, keyed_duration, positional},
};

/// Quorum view, starts of terms and sessions of one script.
#[derive(Debug, Default)]
pub(super) struct Terms {
    quorum: Option<QuorumView>,
    history: TermHistory,
    sessions: BTreeMap<String, Session>,
}

impl Terms {
    pub(super) fn members(&mut self, args: &mut ArgumentConsumer<'_>) -> String {
        let names = std::iter::from_fn(|| args.next_pos());
        let members = names.map(MemberId::new).collect();
        self.quorum = Some(QuorumView::new(members, REPORT_WINDOW));
        String::new()
    }

    pub(super) fn report(
        &mut self,
        args: &mut ArgumentConsumer<'_>,
        clock: &ManualClock,
    ) -> CommandResult {
        let now = clock.now();
        let age = keyed_duration(args, "age", Duration::ZERO)?;
        let sent = Instant::new(now.since_origin().saturating_sub(age));
        let term = Term(keyed(args, "term", None)?);
        let report = MemberReport {
            member: MemberId::new(positional(args, "member")?),
            role: parse_role(args.take_key("role").unwrap_or("replica"))?,
            term,
            claimant: None,
            promoted_term: term,
            position: keyed(args, "position", Some(Position::default()))?,
            term_start: Position::default(),
            term_members: Vec::new(),
            source_silent: None,
            sent,
            received: now,
        };
        self.quorum()?.record(report);
        Ok(String::new())
    }

    pub(super) fn gate(
        &mut self,
        args: &mut ArgumentConsumer<'_>,
        clock: &ManualClock,
    ) -> CommandResult {
        let term = Term(positional(args, "term")?.parse()?);
        let state = match self.quorum()?.gate(term, clock.now()) {
            Gate::Open => "open",
            Gate::Closed => "closed",
        };
        Ok(format!("gate of term {term} is {state}\n"))
    }

    pub(super) fn term(&mut self, args: &mut ArgumentConsumer<'_>) -> CommandResult {
        let start = keyed(args, "start", None)?;
        let term = Term(positional(args, "term")?.parse()?);
        self.history.record(term, start);
        Ok(String::new())
    }

    pub(super) fn commit(&mut self, args: &mut ArgumentConsumer<'_>) -> CommandResult {
        let name = positional(args, "session")?;
        let position = positional(args, "position")?.parse()?;
        self.sessions.entry(name.to_owned()).or_default().committed(position);
        Ok(String::new())
    }

    pub(super) fn check(&mut self, args: &mut ArgumentConsumer<'_>) -> CommandResult {
        let name = positional(args, "session")?;
        let session = self.sessions.entry(name.to_owned()).or_default();
        let loss = session.check(&self.history).map_or("nothing lost".to_owned(), describe_refusal);
        let position =
            session.position().map_or("none".to_owned(), |position| position.to_string());
        Ok(format!("{name}: {loss}; position {position}\n"))
    }

    fn quorum(&mut self) -> Result<&mut QuorumView, Box<dyn Error>> {
        self.quorum.as_mut().ok_or_else(|| "name the members first".into())
    }
}

fn describe_refusal(kind: RefusalKind) -> String {
    match kind {
        RefusalKind::WriteLost { lost, term_start } => {
            format!("write up to {lost} lost, kept up to {term_start}")
        }
        other => Refusal::not_run(other).to_string(),
    }
}

fn parse_role(text: &str) -> Result<MemberRole, Box<dyn Error>> {
    match text {
        "primary" => Ok(MemberRole::Primary),
        "replica" => Ok(MemberRole::Replica),
        "fenced" => Ok(MemberRole::Fenced),
        _ => Err(format!("{text} is not a role").into()),
    }
}
