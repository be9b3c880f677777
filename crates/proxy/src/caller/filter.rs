//! The answer to a batch as the client is given it.

use bytes::{Bytes, BytesMut};

use super::{frame::Framer, plan::Plan};

/// Size at which collected messages are written to the client, in bytes.
const WRITE_BYTES: usize = 64 * 1024;

/// Counts the answers to `Parse` messages, and removes those to messages that the entry added.
pub(super) struct ReplyFilter<'a> {
    plan: &'a Plan,
    framer: Framer,
    parse_count: usize,
}

impl<'a> ReplyFilter<'a> {
    pub(super) fn new(plan: &'a Plan) -> Self {
        Self { plan, framer: Framer::new(usize::MAX), parse_count: 0 }
    }

    /// Number of `Parse` messages that succeeded.
    pub(super) const fn parsed(&self) -> usize {
        self.parse_count
    }

    /// Part of the answer that the client is given.
    pub(super) fn apply(&mut self, data: Bytes) -> Bytes {
        if self.plan.prepared.is_empty() {
            return data;
        }
        self.framer.push(&data);
        let mut kept = BytesMut::with_capacity(data.len().min(WRITE_BYTES));
        while let Ok(Some(frame)) = self.framer.pop() {
            if frame.kind() == b'1' {
                self.parse_count += 1;
                if self.plan.added_parses.contains(&(self.parse_count - 1)) {
                    continue;
                }
            }
            kept.extend_from_slice(frame.raw());
        }
        kept.freeze()
    }
}
