//! An open transaction with what it holds.

use hibiscusladder_core::position::Position;
use smol::lock::{MutexGuardArc, SemaphoreGuardArc};

use super::{error::SqlError, log::Write, member::Member, sqlite::Sqlite};

/// The member's only writer; dropping it rolls back.
#[derive(Debug)]
pub(crate) struct Writer(pub(crate) MutexGuardArc<Sqlite>);

impl Drop for Writer {
    fn drop(&mut self) {
        self.0.rollback();
    }
}

/// A transaction: explicit after BEGIN, otherwise up to the end of the message batch.
#[derive(Debug, Default)]
pub(crate) struct Transaction {
    pub(crate) explicit: bool,
    pub(crate) failed: bool,
    pub(crate) slot: Option<SemaphoreGuardArc>,
    pub(crate) writer: Option<Writer>,
    pub(crate) writes: Vec<Write>,
    pub(crate) savepoints: Vec<String>,
}

impl Transaction {
    /// Commits; the position is absent when nothing was written.
    pub(crate) fn commit(mut self, member: &Member) -> Result<Option<Position>, SqlError> {
        let Some(mut writer) = self.writer.take() else { return Ok(None) };
        if self.writes.is_empty() {
            return Ok(None);
        }
        let writes = std::mem::take(&mut self.writes);
        member.commit(&mut writer.0, writes).map(Some)
    }

    /// Marks the transaction as failed; without a savepoint to return to, it gives up its writes.
    pub(crate) fn fail(&mut self) {
        self.failed = true;
        let rolled_back = self.writer.as_ref().is_some_and(|writer| !writer.0.in_transaction());
        if self.savepoints.is_empty() || rolled_back {
            self.savepoints.clear();
            self.writes.clear();
            self.writer = None;
        }
    }

    /// Removes the savepoints after `name`, and itself when `inclusive` is set; false when there is none.
    pub(crate) fn remove_savepoints(&mut self, name: &str, inclusive: bool) -> bool {
        let Some(at) = self.savepoints.iter().rposition(|savepoint| savepoint == name) else {
            return false;
        };
        self.savepoints.truncate(if inclusive { at } else { at + 1 });
        true
    }
}
