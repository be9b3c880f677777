//! Removes from the answer of an upstream the messages that the client does not expect.

use bytes::{Bytes, BytesMut};

use super::{frame::Framer, plan::Plan};

/// Largest initial capacity of the buffer for filtered messages, in bytes.
const MAX_INITIAL_CAPACITY: usize = 64 * 1024;

/// Counts the `ParseComplete` messages in an answer and removes those for `Parse` messages that the entry added.
pub(super) struct ReplyFilter<'a> {
    plan: &'a Plan,
    framer: Framer,
    parse_count: usize,
}

impl<'a> ReplyFilter<'a> {
    pub(super) fn new(plan: &'a Plan) -> Self {
        Self { plan, framer: Framer::new(usize::MAX), parse_count: 0 }
    }

    /// Number of `Parse` messages that succeeded, including those that the entry added.
    pub(super) const fn parsed(&self) -> usize {
        self.parse_count
    }

    /// Returns the messages of `data` that are passed on to the client.
    ///
    /// An incomplete message at the end is kept until the rest of it arrives.
    pub(super) fn apply(&mut self, data: Bytes) -> Bytes {
        if self.plan.prepared.is_empty() {
            return data;
        }
        self.framer.push(&data);
        let mut kept = BytesMut::with_capacity(data.len().min(MAX_INITIAL_CAPACITY));
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
