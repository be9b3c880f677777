//! Checks of the rules, except for rate and burst, which [`admission`] checks.

use std::{collections::HashMap, sync::Arc, time::Duration};

use hibiscusladder_core::position::Position;

use super::{
    admission,
    facts::Facts,
    operation::{Kind, Operation, Outcome},
    violation::{Rule, Violation},
};

/// Checks all rules; the operations are in the order in which they were sent.
pub(super) fn check(operations: &[Operation], facts: &Facts) -> Vec<Violation> {
    let mut violations = check_read_your_writes(operations);
    violations.extend(check_final_values(operations, facts));
    violations.extend(check_replaced_terms(operations, facts));
    violations.extend(admission::check(operations, &facts.rate_limits));
    violations.extend(check_crossed_answers(operations));
    violations
}

/// Acknowledged writes and reported losses of one session.
#[derive(Default)]
struct Session<'a> {
    acknowledged: Vec<&'a Operation>,
    losses: Vec<Loss>,
}

/// A report to a session that some of its writes were lost in a promotion.
struct Loss {
    reported: Duration,
    term_start: Position,
}

impl Loss {
    /// Whether the reported loss includes `write`: a write of an earlier term past the start of the new one.
    fn covers(&self, write: &Operation) -> bool {
        write.position.is_some_and(|position| {
            position.term < self.term_start.term && position.lsn > self.term_start.lsn
        })
    }
}

fn collect_sessions(operations: &[Operation]) -> HashMap<&Arc<str>, Session<'_>> {
    let mut sessions: HashMap<&Arc<str>, Session<'_>> = HashMap::new();
    for operation in operations {
        let session = sessions.entry(&operation.session).or_default();
        match (operation.outcome, operation.answered) {
            (Outcome::Done, Some(_)) if operation.written_value().is_some() => {
                session.acknowledged.push(operation);
            }
            (Outcome::WriteLost { term_start }, Some(reported)) => {
                session.losses.push(Loss { reported, term_start });
            }
            _ => {}
        }
    }
    sessions
}

fn check_read_your_writes(operations: &[Operation]) -> Vec<Violation> {
    let sessions = collect_sessions(operations);
    let mut violations = Vec::new();
    for read in operations.iter().filter(|operation| operation.outcome == Outcome::Done) {
        let Kind::Read { values, stale: false } = &read.kind else { continue };
        let Some(session) = sessions.get(&read.session) else { continue };
        let expected = session.acknowledged.iter().filter(|write| {
            let loss_reported =
                session.losses.iter().any(|loss| loss.reported <= read.sent && loss.covers(write));
            write.key == read.key
                && write.answered.is_some_and(|at| at <= read.sent)
                && !loss_reported
        });
        for value in expected.filter_map(|write| write.written_value()) {
            if !values.contains(value) {
                let evidence = format!(
                    "session {} did not read its write {value} to {} in a read sent at {:?}",
                    read.session, read.key, read.sent
                );
                violations.push(Violation::new(Rule::ReadYourWrites, evidence));
            }
        }
    }
    violations
}

fn check_final_values(operations: &[Operation], facts: &Facts) -> Vec<Violation> {
    let Some(final_values) = &facts.final_values else { return Vec::new() };
    let mut counts: HashMap<(&Arc<str>, &Arc<str>), usize> = HashMap::new();
    for (key, values) in final_values {
        values.iter().for_each(|value| *counts.entry((key, value)).or_default() += 1);
    }
    let sessions = collect_sessions(operations);
    let mut violations = Vec::new();
    for write in operations {
        let Some(value) = write.written_value() else { continue };
        let count = counts.get(&(&write.key, value)).copied().unwrap_or(0);
        let loss_reported = sessions
            .get(&write.session)
            .is_some_and(|session| session.losses.iter().any(|loss| loss.covers(write)));
        let rule = match write.outcome {
            _ if count > 1 => Rule::NoDoubledWrite,
            Outcome::Done if count == 0 && !loss_reported => Rule::NoLostWrite,
            Outcome::NotRun | Outcome::WriteLost { .. } if count > 0 => Rule::NotRunIsTrue,
            _ => continue,
        };
        let evidence = format!(
            "write {value} to {} of session {} was answered with {:?} and is stored {count} times",
            write.key, write.session, write.outcome
        );
        violations.push(Violation::new(rule, evidence));
    }
    violations
}

fn check_replaced_terms(operations: &[Operation], facts: &Facts) -> Vec<Violation> {
    let mut violations = Vec::new();
    for write in operations.iter().filter(|operation| operation.outcome == Outcome::Done) {
        let (Some(_), Some(position), Some(answered)) =
            (write.written_value(), write.position, write.answered)
        else {
            continue;
        };
        // An answer that was sent before the new term began may arrive up to `max_answer_delay` after its beginning. A
        // later answer was sent by a primary that was already replaced.
        let replaced = facts.term_changes.iter().find(|change| {
            let late =
                write.sent >= change.began || answered > change.began + facts.max_answer_delay;
            position.term < change.term && late
        });
        if let Some(change) = replaced {
            let evidence = format!(
                "write at {position} of session {} was sent at {:?} and acknowledged at {answered:?}, \
                 but term {} began at {:?}",
                write.session, write.sent, change.term, change.began
            );
            violations.push(Violation::new(Rule::NoReplacedTerm, evidence));
        }
    }
    violations
}

fn check_crossed_answers(operations: &[Operation]) -> Vec<Violation> {
    let crossed = operations.iter().filter(|operation| {
        operation.outcome == Outcome::Done
            && operation.mark.is_some()
            && operation.mark != operation.answer_mark
    });
    let violation = |operation: &Operation| {
        let evidence = format!(
            "session {} sent a request marked {:?} at {:?} and got an answer marked {:?}",
            operation.session, operation.mark, operation.sent, operation.answer_mark
        );
        Violation::new(Rule::NoCrossedAnswer, evidence)
    };
    crossed.map(violation).collect()
}
