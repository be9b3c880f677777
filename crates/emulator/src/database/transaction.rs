//! An open transaction with its slot, writer, writes and savepoints.

use hibiscusladder_core::position::Position;
use smol::lock::{MutexGuardArc, SemaphoreGuardArc};

use super::{error::SqlError, log::Write, member::Member, sqlite::Sqlite};

/// Exclusive access to the database for writes of a member; dropping it rolls back the open transaction.
#[derive(Debug)]
pub(crate) struct Writer(pub(crate) MutexGuardArc<Sqlite>);

impl Drop for Writer {
    fn drop(&mut self) {
        self.0.rollback();
    }
}

/// A transaction: explicit after `BEGIN`, otherwise until the end of the query message or the next `Sync`.
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
    /// Commits and returns the position of the commit; `None` when nothing was written.
    pub(crate) fn commit(mut self, member: &Member) -> Result<Option<Position>, SqlError> {
        let Some(mut writer) = self.writer.take() else { return Ok(None) };
        if self.writes.is_empty() {
            return Ok(None);
        }
        let writes = std::mem::take(&mut self.writes);
        member.commit(&mut writer.0, writes).map(Some)
    }

    /// Marks the transaction as failed; its writes are rolled back unless a savepoint is left to roll back to.
    pub(crate) fn fail(&mut self) {
        self.failed = true;
        let rolled_back = self.writer.as_ref().is_some_and(|writer| !writer.0.in_transaction());
        if self.savepoints.is_empty() || rolled_back {
            self.savepoints.clear();
            self.writes.clear();
            self.writer = None;
        }
    }

    /// Removes the savepoints after `name`, and `name` itself if `inclusive`; false when there is no such savepoint.
    pub(crate) fn remove_savepoints(&mut self, name: &str, inclusive: bool) -> bool {
        let Some(at) = self.savepoints.iter().rposition(|savepoint| savepoint == name) else {
            return false;
        };
        self.savepoints.truncate(if inclusive { at } else { at + 1 });
        true
    }
}
